#pragma once

#include "marjoramfold/placement/placer.h"
#include "marjoramfold/placement/preemptionplanner.h"
#include "marjoramfold/scheduling/evictionpolicy.h"
#include "marjoramfold/scheduling/joblifecycle.h"
#include "marjoramfold/scheduling/largejobreservations.h"

namespace Marjoramfold
{
/// Conditions under which a job may start, and placement strategies for it. Used by the passes over waiting jobs.
class StartDecisions
{
public:
    /// A preemption plan with its availability zone.
    struct ZonePlan {
        ZoneIndex zone_ = 0;
        PreemptionPlan plan_;
        bool isGuaranteed_ = false;
    };

    StartDecisions(SchedulerState &state, JobLifecycle &lifecycle);

    /// Whether the job allows an availability zone that is open for starts.
    [[nodiscard]] auto allowsStart(const JobRecord &job, ZoneIndex zone) const -> bool;

    /// Whether allowsStart() holds and the limit of a ramp-up is not reached.
    [[nodiscard]] auto mayStartIn(const JobRecord &job, ZoneIndex zone) const -> bool;

    /// Whether the job may start within its team's guarantee in an availability zone.
    [[nodiscard]] auto isWithinGuarantee(const JobRecord &job, ZoneIndex zone) const -> bool;

    /// Starts a job within its team's guarantee, evicting borrowing gangs when needed. Returns false without a guarantee or room.
    auto startGuaranteed(JobRecord &job) -> bool;

    /// Starts an urgent job on free workers or by evicting work that is not guaranteed.
    auto startUrgent(JobRecord &job) -> bool;

    /// Starts a job by evicting borrowing gangs that can checkpoint and rank later in queue order.
    auto startByPreemptingLaterGangs(JobRecord &job) -> bool;

    /// Starts a job on free workers, within its guarantee or not. Returns false when there is no room.
    auto startOnFree(JobRecord &job) -> bool;

    /// Starts a job on a placement and evicts the given gangs.
    auto begin(JobRecord &job, ZoneIndex zone, const GangPlacement &placement, bool guaranteed, const std::vector<GangIndex> &victims = {}) -> void;

    /// Plans a start within the team's guarantee that keeps the guaranteed shapes of other teams available.
    [[nodiscard]] auto
    planGuaranteed(const JobRecord &job, ZoneIndex zone, const Placer::WorkerFilter &filter, const PreemptionPlanner::EvictionCost &costOf) const
        -> std::optional<PreemptionPlan>;

    /// Filter that excludes workers on which the job failed.
    [[nodiscard]] auto notFailedOn(const JobRecord &job) const -> Placer::WorkerFilter;

    [[nodiscard]] static auto hasNotFailedOn(const JobRecord &job, WorkerIndex worker) -> bool;

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

    [[nodiscard]] auto reservations() -> LargeJobReservations &
    {
        return reservations_;
    }

private:
    /// Builds the filter of usable workers in an availability zone.
    using ZoneFilter = std::function<Placer::WorkerFilter(ZoneIndex zone)>;

    auto startBorrowing(JobRecord &job, const PreemptionPlanner::EvictionCost &costOf, const ZoneFilter &filterIn) -> bool;
    [[nodiscard]] auto cheapestGuaranteed(const JobRecord &job, bool usesReserved) const -> std::optional<ZonePlan>;
    [[nodiscard]] auto cheapestOutsideGuarantee(const JobRecord &job) const -> std::optional<ZonePlan>;
    [[nodiscard]] auto usableWorkers(const JobRecord &job, ZoneIndex zone) const -> Placer::WorkerFilter;
    [[nodiscard]] auto unreservedWorkers(const JobRecord &job) const -> Placer::WorkerFilter;

    SchedulerState *state_;
    JobLifecycle *lifecycle_;
    Placer placer_;
    PreemptionPlanner planner_;
    EvictionPolicy evictions_;
    LargeJobReservations reservations_;
};
} // namespace Marjoramfold
