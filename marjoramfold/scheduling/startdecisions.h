#pragma once

#include "marjoramfold/placement/placer.h"
#include "marjoramfold/placement/preemptionplanner.h"
#include "marjoramfold/scheduling/evictionpolicy.h"
#include "marjoramfold/scheduling/joblifecycle.h"
#include "marjoramfold/scheduling/largejobreservations.h"

namespace Marjoramfold
{
/// The conditions under which a job may start, and the ways to find workers for it. Used by the passes over waiting jobs.
class StartDecisions
{
public:
    /// A plan in one of several availability zones.
    struct ZonePlan {
        ZoneIndex zone_ = 0;
        PreemptionPlan plan_;
        bool isGuaranteed_ = false;
    };

    StartDecisions(SchedulerState &state, JobLifecycle &lifecycle);

    /// Whether the job is allowed in an availability zone, and tasks may start there.
    [[nodiscard]] auto allowsStart(const JobRecord &job, ZoneIndex zone) const -> bool;

    /// Whether the job may be started in an availability zone now, also by the pace at which a zone that returned is filled.
    [[nodiscard]] auto mayStartIn(const JobRecord &job, ZoneIndex zone) const -> bool;

    /// Whether the job is within its team's guarantee in an availability zone.
    [[nodiscard]] auto isWithinGuarantee(const JobRecord &job, ZoneIndex zone) const -> bool;

    /// Starts a job within its team's guarantee, evicting borrowed work when needed. False when it is not covered or there is no room.
    auto startGuaranteed(JobRecord &job) -> bool;

    /// Starts an urgent job on free workers or in the place of work that is not guaranteed.
    auto startUrgent(JobRecord &job) -> bool;

    /// Starts a job in the place of borrowed work that can be saved and should go later by the order of the queue.
    auto startByPreemptingLaterGangs(JobRecord &job) -> bool;

    /// Starts a job on free workers, within its guarantee or not. False when there is no room.
    auto startOnFree(JobRecord &job) -> bool;

    /// Starts a job on a placement, after the eviction of the given gangs.
    auto begin(JobRecord &job, ZoneIndex zone, const GangPlacement &placement, bool guaranteed, const std::vector<GangIndex> &victims = {}) -> void;

    /// A plan within the guarantee of the job's team that leaves the shapes of other teams formable.
    [[nodiscard]] auto
    planGuaranteed(const JobRecord &job, ZoneIndex zone, const Placer::WorkerFilter &filter, const PreemptionPlanner::EvictionCost &costOf) const
        -> std::optional<PreemptionPlan>;

    /// Allows all workers but those on which the job failed.
    [[nodiscard]] auto notFailedOn(const JobRecord &job) const -> Placer::WorkerFilter;

    /// Whether the job has not failed on a worker.
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
    /// The workers that a job may use in an availability zone.
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
