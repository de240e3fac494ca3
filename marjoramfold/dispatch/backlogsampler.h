#pragma once

#include "marjoramfold/dispatch/backlogforecast.h"
#include "marjoramfold/dispatch/jobstate.h"
#include "marjoramfold/dispatch/workersession.h"
#include "marjoramfold/fleet/operatorconfig.h"

#include <chrono>
#include <functional>
#include <map>
#include <string>
#include <tuple>
#include <unordered_set>
#include <utility>
#include <vector>

namespace Marjoramfold
{
/// What a sample of the backlog is taken from.
struct BacklogSource {
    const std::map<JobId, TrackedJob *> &openJobs_;
    const WorkerSessionMap &sessions_;
    const OperatorConfig &config_;
    const std::unordered_set<std::string> &evacuatedZones_;
    /// Work of the tasks that ended successfully, by pool.
    const std::map<std::string, ResourceSeconds> &endedWork_;
    /// Measured run time of a queue's tasks relative to their estimates.
    std::function<double(const std::string &)> ratioOf_;
    std::chrono::milliseconds wallNow_{0};
};

/// Takes a sample of the waiting work and the capacity of all pools, without the tasks themselves: its cost grows with the steps of open jobs.
class BacklogSampler
{
public:
    explicit BacklogSampler(BacklogSource source);

    /// Takes the sample; called once.
    [[nodiscard]] auto take() -> BacklogSample;

private:
    /// A task's demand, label and limit per worker.
    using Shape = std::tuple<std::int64_t, std::int64_t, std::int64_t, std::string, std::uint32_t>;
    /// Workers of equal labels and capacity.
    struct WorkerKind {
        const WorkerEntry *entry_ = nullptr;
        std::uint64_t count_ = 0;
    };
    struct QueueTotals {
        QueueSample sample_;
        std::map<Shape, std::uint64_t> waiting_;
        std::chrono::milliseconds pathSum_{0};
        std::int64_t jobs_ = 0;
    };

    auto addWorkers() -> void;
    auto addJob(const TrackedJob &job, const QueueConfig &queue) -> void;
    auto addStep(QueueTotals &totals, const StepPlan &step, std::uint32_t waiting, int lateness) -> void;
    /// True when every worker of the pool has the label, and together, without any runs, they could hold the task, and all of a gang.
    [[nodiscard]] auto canHold(const std::string &pool, const StepPlan &step, const Shape &shape) -> bool;
    /// Smallest demand of the queue's waiting tasks that do not all fit into free capacity.
    [[nodiscard]] auto smallestBlockedTask(const QueueTotals &totals) const -> std::optional<ResourceVector>;

    BacklogSource source_;
    BacklogSample sample_;
    std::map<std::string, QueueTotals> queues_;
    std::map<std::string, std::vector<const WorkerSession *>> workers_;
    std::map<std::string, std::vector<WorkerKind>> kinds_;
    /// Number of tasks of a shape that a pool without runs holds.
    std::map<std::pair<std::string, Shape>, std::uint64_t> capacities_;
};
} // namespace Marjoramfold
