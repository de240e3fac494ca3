#pragma once

#include "marjoramfold/scheduling/startdecisions.h"

#include <optional>
#include <vector>

namespace Marjoramfold
{
/// Moves running gangs by checkpoint: out of the way of large jobs, and together so that whole workers become free.
///
/// Only gangs that lose no work are moved. Their next workers are reserved before they are stopped.
class Relocation
{
public:
    Relocation(SchedulerState &state, JobLifecycle &lifecycle, StartDecisions &decisions);

    /// Starts a large job in an availability zone if borrowed work there can be evicted and guaranteed work moved without loss.
    auto startLarge(ZoneIndex zone) -> void;

    /// Starts urgent jobs for which evictions alone made no room, by moving guaranteed work without loss.
    auto startUrgent() -> void;

    /// Empties one partly used worker of an availability zone when its gangs fit into the gaps of others.
    auto compact(ZoneIndex zone) -> void;

    /// Moves a gang to another availability zone, if there is room for it within its guarantee or on free workers.
    auto moveElsewhere(JobRecord &gang) -> bool;

private:
    auto startByMoving(JobRecord &job, ZoneIndex zone) -> bool;
    auto reserveDestinations(const PreemptionPlan &plan, ZoneIndex from) -> std::optional<GangIndex>;
    [[nodiscard]] auto planDestination(const JobRecord &gang, ZoneIndex from, const Placer::WorkerFilter &filter) const
        -> std::optional<StartDecisions::ZonePlan>;
    [[nodiscard]] auto findFreeDestination(const JobRecord &gang, ZoneIndex from, const Placer::WorkerFilter &filter) const
        -> std::optional<StartDecisions::ZonePlan>;
    [[nodiscard]] auto longestWaitingLargeJobs(ZoneIndex zone) const -> std::vector<JobRecord *>;
    [[nodiscard]] auto isIdle(WorkerIndex worker) const -> bool;
    [[nodiscard]] auto mayBeEmptied(WorkerIndex worker) const -> bool;
    auto emptyWorker(WorkerIndex worker) -> bool;

    SchedulerState *state_;
    JobLifecycle *lifecycle_;
    StartDecisions *decisions_;
};
} // namespace Marjoramfold
