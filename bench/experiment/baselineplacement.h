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
/// How a baseline shares the workers out.
enum class BaselineKind {
    /// One queue over all teams; the first job in arrival order that cannot be placed holds up those behind it.
    FirstFit,
    /// One queue over all teams; jobs behind one that cannot be placed may go ahead of it without limit.
    FirstFitSkip,
    /// Fixed shares of workers per team, and FirstFit inside each.
    Partition,
};

/// Share number of work that may use every worker.
constexpr int SharedByAll = -1;

/// A worker as a baseline sees it.
struct BaselineWorker {
    WorkerInfo info_;
    Resources free_;
    bool lost_ = false;
    bool leaving_ = false;
    bool quarantined_ = false;
    /// Share that owns the worker.
    int share_ = SharedByAll;

    /// Whether new work may start here.
    [[nodiscard]] auto usable() const -> bool
    {
        return !lost_ && !leaving_ && !quarantined_;
    }
};

/// Workers and the first-fit search of the baselines.
class BaselinePlacement
{
public:
    explicit BaselinePlacement(BaselineKind kind)
        : kind_(kind)
    {
    }

    /// Adds a worker, or takes one back that was lost.
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

    /// Share whose workers a job may use.
    [[nodiscard]] auto shareOf(const JobSpec &spec) -> int;

    /// Workers for each task by first fit, or nothing. Some workers may be avoided.
    [[nodiscard]] auto place(const JobSpec &spec, int share, const std::vector<std::size_t> &avoided) const -> std::optional<std::vector<std::size_t>>;

    /// Whether a job fits when all its allowed availability zones are in and all workers are free.
    [[nodiscard]] auto canEverFit(const JobSpec &spec, int share) const -> bool;

private:
    /// A search over free workers, or over empty ones.
    struct Search {
        const JobSpec &spec_;
        int share_ = SharedByAll;
        const std::vector<std::size_t> &avoided_;
        bool empty_ = false;
    };

    auto shareOut() -> void;
    [[nodiscard]] auto search(const Search &search) const -> std::optional<std::vector<std::size_t>>;
    [[nodiscard]] auto searchZones(const Search &search, const std::map<AvailabilityZoneId, std::vector<std::size_t>> &zones) const
        -> std::optional<std::vector<std::size_t>>;
    [[nodiscard]] auto isAllowed(const Search &search, const AvailabilityZoneId &zone) const -> bool;
    /// Places all tasks on some workers in order; empty when they do not fit.
    [[nodiscard]] auto fill(const Search &search, const std::vector<std::size_t> &workers) const -> std::vector<std::size_t>;
    [[nodiscard]] auto tasksThatFit(const Search &search, std::size_t worker) const -> int;

    BaselineKind kind_;
    RuleSetPointer rules_;
    std::vector<BaselineWorker> workers_;
    std::unordered_map<WorkerId, std::size_t> index_;
    /// Workers by availability zone and by rack, those without accelerators apart.
    std::map<AvailabilityZoneId, std::vector<std::size_t>> accelerated_;
    std::map<AvailabilityZoneId, std::vector<std::size_t>> plain_;
    std::map<AvailabilityZoneId, std::map<RackId, std::vector<std::size_t>>> racks_;
    std::map<TeamId, int> shares_;
    bool sharedOut_ = false;
};
} // namespace Marjoramfold
