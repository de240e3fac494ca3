#pragma once

#include "marjoramfold/core/job.h"
#include "marjoramfold/rules/ruleset.h"

#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace Marjoramfold
{
/// Queueing discipline of a baseline.
enum class BaselineKind {
    /// One queue for all teams; a head-of-line job that cannot be placed blocks all later jobs.
    FirstFit,
    /// One queue for all teams; later jobs may overtake one that cannot be placed, without limit.
    FirstFitSkip,
    /// A fixed partition of the workers per team, and FirstFit within each.
    Partition,
};

/// Partition number of jobs that may use every worker.
constexpr int AllPartitions = -1;

/// State of a worker in a baseline.
struct BaselineWorker {
    WorkerInfo info_;
    Resources free_;
    bool lost_ = false;
    bool leaving_ = false;
    bool quarantined_ = false;
    /// Partition that the worker belongs to.
    int partition_ = AllPartitions;

    /// Whether new tasks may be placed on the worker.
    [[nodiscard]] auto usable() const -> bool
    {
        return !lost_ && !leaving_ && !quarantined_;
    }
};

/// Workers of a baseline, with first-fit placement of gangs.
class BaselinePlacement
{
public:
    explicit BaselinePlacement(BaselineKind kind)
        : kind_(kind)
    {
    }

    /// Adds a worker, or makes a known one usable again.
    auto addWorker(const WorkerInfo &info) -> void;
    auto setRules(RuleSetPointer rules) -> void;

    [[nodiscard]] auto indexOf(const WorkerId &worker) const -> std::optional<std::size_t>;
    [[nodiscard]] auto worker(std::size_t index) -> BaselineWorker &
    {
        return workers_[index];
    }
    [[nodiscard]] auto workerCount() const -> std::size_t
    {
        return workers_.size();
    }
    [[nodiscard]] auto isIn(const AvailabilityZoneId &zone) const -> bool;
    [[nodiscard]] auto quota(const TeamId &team) const -> std::optional<int>;

    /// Partition whose workers a job may use.
    [[nodiscard]] auto partitionOf(const JobSpec &spec) -> int;

    /// First-fit placement: the worker of each task, or nothing when the gang does not fit. Workers in avoided are skipped.
    [[nodiscard]] auto place(const JobSpec &spec, int partition, const std::vector<std::size_t> &avoided) const -> std::optional<std::vector<std::size_t>>;

    /// Whether a job would fit if all its allowed availability zones were in and all workers were free.
    [[nodiscard]] auto canEverFit(const JobSpec &spec, int partition) const -> bool;

private:
    /// Parameters of a placement; empty_ assumes that every worker is free and usable and every zone is in.
    struct Search {
        const JobSpec &spec_;
        int partition_ = AllPartitions;
        const std::vector<std::size_t> &avoided_;
        bool empty_ = false;
    };

    auto assignPartitions() -> void;
    [[nodiscard]] auto search(const Search &search) const -> std::optional<std::vector<std::size_t>>;
    [[nodiscard]] auto searchZones(const Search &search, const std::map<AvailabilityZoneId, std::vector<std::size_t>> &zones) const
        -> std::optional<std::vector<std::size_t>>;
    [[nodiscard]] auto isAllowed(const Search &search, const AvailabilityZoneId &zone) const -> bool;
    /// Places all tasks on the given workers, in order; empty when they do not fit.
    [[nodiscard]] auto fill(const Search &search, const std::vector<std::size_t> &workers) const -> std::vector<std::size_t>;
    [[nodiscard]] auto tasksThatFit(const Search &search, std::size_t worker) const -> int;

    BaselineKind kind_;
    RuleSetPointer rules_;
    std::vector<BaselineWorker> workers_;
    std::unordered_map<WorkerId, std::size_t> index_;
    /// Workers by availability zone, with and without accelerators, and by rack.
    std::map<AvailabilityZoneId, std::vector<std::size_t>> accelerated_;
    std::map<AvailabilityZoneId, std::vector<std::size_t>> plain_;
    std::map<AvailabilityZoneId, std::map<RackId, std::vector<std::size_t>>> racks_;
    std::map<TeamId, int> partitions_;
    bool partitionsAssigned_ = false;
};
} // namespace Marjoramfold
