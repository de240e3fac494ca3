#pragma once

#include "marjoramfold/scheduling/startdecisions.h"

#include <optional>
#include <vector>

namespace Marjoramfold
{
/// Moves running gangs by checkpoint, to make room for large jobs and to defragment workers.
///
/// Only gangs that can checkpoint are moved. Their destination is reserved before they are stopped.
class Relocation
{
public:
    Relocation(SchedulerState &state, JobLifecycle &lifecycle, StartDecisions &decisions);

    /// Starts a large job in an availability zone if evicting borrowing gangs and moving guaranteed ones loses no work.
    auto startLarge(ZoneIndex zone) -> void;

    /// Starts urgent jobs for which evictions alone are not enough, by moving guaranteed gangs without loss.
    auto startUrgent() -> void;

    /// Empties one partly used worker of an availability zone if its gangs fit on other partly used workers.
    auto compact(ZoneIndex zone) -> void;

    /// Moves a gang to another availability zone, within its guarantee or on free workers. Returns false when there is no room.
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
