#pragma once

#include "marjoramfold/placement/placer.h"
#include "marjoramfold/placement/preemptionplanner.h"
#include "marjoramfold/scheduling/evictionpolicy.h"
#include "marjoramfold/scheduling/joblifecycle.h"

namespace Marjoramfold
{
/// The conditions under which a job may start, and the ways to find workers for it. Used by the passes over waiting jobs.
class StartDecisions
{
public:
    StartDecisions(SchedulerState &state, JobLifecycle &lifecycle);

    /// Whether the job may be started in an availability zone now.
    [[nodiscard]] auto mayRunIn(const JobRecord &job, ZoneIndex zone) const -> bool;

    /// Whether the start keeps the job's team within its quota.
    [[nodiscard]] auto isWithinQuota(const JobRecord &job) const -> bool;

    /// Whether the job is within its team's guarantee in an availability zone.
    [[nodiscard]] auto isCovered(const JobRecord &job, ZoneIndex zone) const -> bool;

    /// Starts a job within its team's guarantee, evicting borrowed work when needed. False when it is not covered or there is no room.
    auto startGuaranteed(JobRecord &job) -> bool;

    /// Starts an urgent job on free workers or in the place of work that is not guaranteed.
    auto startUrgent(JobRecord &job) -> bool;

    /// Starts a job in the place of borrowed work that can be saved and should go later by the order of the queue.
    auto startInExchange(JobRecord &job) -> bool;

    /// Starts a job on a placement, after the eviction of the given gangs.
    auto begin(JobRecord &job, ZoneIndex zone, const GangPlacement &placement, bool guaranteed, const std::vector<GangIndex> &victims = {}) -> void;

    /// Allows all workers but those on which the job failed.
    [[nodiscard]] auto filterOf(const JobRecord &job) const -> Placer::WorkerFilter;

    [[nodiscard]] auto placer() const -> const Placer &
    {
        return placer_;
    }

    [[nodiscard]] auto planner() const -> const PreemptionPlanner &
    {
        return planner_;
    }

    [[nodiscard]] auto evictions() const -> const EvictionPolicy &
    {
        return evictions_;
    }

private:
    [[nodiscard]] auto planGuaranteed(const JobRecord &job, ZoneIndex zone) const -> std::optional<PreemptionPlan>;

    SchedulerState *state_;
    JobLifecycle *lifecycle_;
    Placer placer_;
    PreemptionPlanner planner_;
    EvictionPolicy evictions_;
};
} // namespace Marjoramfold
