#pragma once

#include "marjoramfold/scheduling/schedulerstate.h"

namespace Marjoramfold
{
/// Reserves and releases workers for gang members in the cluster state, the guarantee ledger and the usage per team.
class GangReservations
{
public:
    explicit GangReservations(SchedulerState &state);

    /// Creates the members of a gang and reserves their workers.
    auto reserve(JobRecord &job, ZoneIndex zone, const GangPlacement &placement, bool guaranteed) -> void;

    /// Does the same for a gang that was found running; workers are ordered by task index.
    auto reserveRecovered(JobRecord &job, ZoneIndex zone, const std::vector<WorkerIndex> &workers) -> void;

    /// Reserves the workers that a gang moves to, in addition to its current ones.
    auto reserveDestination(JobRecord &job, Destination destination) -> void;

    /// Releases the destination of a gang, if it has one.
    auto releaseDestination(JobRecord &job) -> void;

    /// Turns the destination of a stopped gang into its placement.
    auto adoptDestination(JobRecord &job) -> void;

    /// Releases the worker of one member and sets its final state.
    auto releaseMember(JobRecord &job, std::size_t index, MemberState state) -> void;

    /// Marks borrowing gangs of a team as guaranteed as long as they fit its guarantee.
    auto promote(ZoneIndex zone, const TeamId &team) -> void;

private:
    auto initGang(JobRecord &job, ZoneIndex zone, bool guaranteed) -> void;
    auto reserveMember(JobRecord &job, WorkerIndex worker) -> void;
    auto changeDestination(const JobRecord &job, bool isReserving) -> void;
    auto markGuaranteed(JobRecord &job) -> void;

    SchedulerState *state_;
};
} // namespace Marjoramfold
