#pragma once

#include "eventqueue.h"
#include "fakejobs.h"
#include "marjoramfold/scheduling/events.h"
#include "scenario.h"

#include <functional>
#include <unordered_map>
#include <vector>

namespace Marjoramfold
{
/// One-way delay of commands and answers.
constexpr std::chrono::milliseconds MessageDelay{2};

/// A fake worker.
struct FakeWorker {
    WorkerInfo info_;
    Resources free_;
    std::vector<FakeTask> tasks_;
    bool lost_ = false;
    SteadyTime lostAt_;
    bool failing_ = false;
    /// When the next lapse of a lease is looked for.
    SteadyTime leaseCheck_ = SteadyTime::max();
};

/// Fakes of all workers: they carry out commands by the worker contract and report by events.
class FakeCluster
{
public:
    /// Sends events to the policy; the delay of the answer has passed when it is called.
    using Deliver = std::function<void(SchedulerEvent)>;

    FakeCluster(const Scenario &scenario, EventQueue &queue, Deliver deliver);

    auto addObserver(FakeClusterObserver *observer) -> void;

    /// Plans the worker faults of the scenario.
    auto planFaults() -> void;

    /// Reports all attempts that are still there as closed, with their present progress as saved.
    auto closeAll() -> void;

    /// Carries out commands that reach the workers now.
    auto execute(const TaskCommand &command) -> void;
    auto execute(const RenewLeases &command) -> void;
    auto execute(const ProbeWorker &command) -> void;

    [[nodiscard]] auto workers() const -> const std::vector<FakeWorker> &
    {
        return workers_;
    }
    [[nodiscard]] auto jobs() const -> const std::vector<FakeJob> &
    {
        return jobs_.all();
    }
    /// Progress given by Start commands beyond what checkpoints saved; the fakes ignore it.
    [[nodiscard]] auto inventedProgress() const -> int
    {
        return inventedProgress_;
    }

private:
    auto hold(FakeWorker &worker, const TaskCommand &command) -> void;
    auto start(FakeWorker &worker, const TaskCommand &command) -> void;
    auto renew(FakeWorker &worker, const TaskCommand &command) -> void;
    auto checkpoint(FakeWorker &worker, const TaskCommand &command) -> void;
    auto throttle(FakeWorker &worker, const TaskCommand &command) -> void;
    auto stop(FakeWorker &worker, const TaskCommand &command) -> void;

    auto answer(const TaskCommand &command, std::optional<ErrorKind> error, std::chrono::milliseconds progress, std::chrono::milliseconds delay) -> void;
    auto find(FakeWorker &worker, const TaskId &task) -> FakeTask *;
    auto progressOf(const FakeTask &task) const -> std::chrono::milliseconds;
    auto planFinish(const FakeTask &task) -> void;
    auto planUsage(const FakeTask &task, std::chrono::milliseconds delay) -> void;
    auto memoryOf(const FakeTask &task) const -> std::int64_t;
    auto reportUsage(FakeWorker &worker, const FakeTask &task) -> void;
    auto killLargestOverLease(FakeWorker &worker) -> void;
    auto planLeaseCheck(FakeWorker &worker) -> void;
    auto checkLeases(FakeWorker &worker) -> void;
    auto end(FakeTask task, TaskOutcome outcome, const std::string &reason) -> void;
    auto remove(const FakeTask &task) -> void;
    auto lose(std::size_t worker) -> void;
    auto bringBack(std::size_t worker) -> void;
    auto whenCurrent(const FakeTask &task, std::chrono::milliseconds delay, std::function<void(FakeWorker &, FakeTask &)> action) -> void;

    const Scenario &scenario_;
    EventQueue &queue_;
    Deliver deliver_;
    std::vector<FakeWorker> workers_;
    FakeJobs jobs_;
    std::unordered_map<WorkerId, std::size_t> workerIndex_;
    std::uint64_t nextGeneration_ = 1;
    int inventedProgress_ = 0;
};
} // namespace Marjoramfold
