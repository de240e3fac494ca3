#pragma once

#include "marjoramfold/scheduling/schedulerstate.h"

namespace Marjoramfold
{
/// Keeps the cluster, the guarantee ledger and the use per team in step with the members of gangs.
class GangReservations
{
public:
    explicit GangReservations(SchedulerState &state);

    /// Creates and reserves the members of a gang.
    auto reserve(JobRecord &job, ZoneIndex zone, const GangPlacement &placement, bool guaranteed) -> void;

    /// Creates and reserves the members of a gang that was found running, in the order of their task indexes.
    auto reserveRecovered(JobRecord &job, ZoneIndex zone, const std::vector<WorkerIndex> &workers) -> void;

    /// Reserves the workers that a guaranteed gang moves to, besides those that it still has.
    auto reserveDestination(JobRecord &job, Destination destination) -> void;

    /// Gives up the destination of a gang.
    auto releaseDestination(JobRecord &job) -> void;

    /// Makes the destination of a stopped gang its placement.
    auto adoptDestination(JobRecord &job) -> void;

    /// Releases one member and leaves it in the given state.
    auto releaseMember(JobRecord &job, std::size_t index, MemberState state) -> void;

    /// Marks borrowed gangs of a team as guaranteed while they fit its guarantee.
    auto promote(ZoneIndex zone, const TeamId &team) -> void;

private:
    auto initGang(JobRecord &job, ZoneIndex zone, bool guaranteed) -> void;
    auto reserveMember(JobRecord &job, WorkerIndex worker) -> void;
    auto changeDestination(const JobRecord &job, bool isReserving) -> void;
    auto markGuaranteed(JobRecord &job) -> void;

    SchedulerState *state_;
};
} // namespace Marjoramfold
