#pragma once

#include "marjoramfold/scheduling/gangstopper.h"

namespace Marjoramfold
{
/// Starts gangs all or nothing: Hold to all members, Start to all, then Renew to all. Any failure stops the whole gang.
class GangStarter
{
public:
    /// Called when all members of a gang are confirmed to run.
    using RunningHook = std::function<void(JobRecord &)>;

    GangStarter(SchedulerState &state, GangReservations &reservations, GangStopper &stopper);

    auto setRunningHook(RunningHook hook) -> void;

    /// Reserves a placement and sends the Hold commands, at once or when the gangs that were evicted for it are gone.
    auto begin(JobRecord &job, ZoneIndex zone, const GangPlacement &placement, bool guaranteed) -> void;

    /// Starts a gang that was stopped for a move at its destination.
    auto beginAtDestination(JobRecord &job) -> void;

    /// Sends the Hold commands of gangs that waited for the workers freed during the present event.
    auto resumeAfterEvictions() -> void;

    /// Takes a worker's answer to a Hold or Start, or to the Renew that confirms a gang.
    auto onResult(JobRecord &job, std::size_t member, const TaskCommandResult &result) -> void;

    /// Takes the end of a member whose answer may still be missing.
    auto onMemberFinished(JobRecord &job, std::size_t member) -> void;

    /// Gives up a start whose answers did not come in time.
    auto onTimer(JobRecord &job) -> void;

    /// Renews a gang that was found running, and stops it as a whole when a member does not answer.
    auto confirmRecovered(JobRecord &job) -> void;

    /// Stops a gang whose start failed; it is tried again after a delay that doubles.
    auto failStart(JobRecord &job, const std::string &reason) -> void;

private:
    auto holdWhenFree(JobRecord &job) -> void;
    auto advancePhase(JobRecord &job) -> void;
    auto holdAll(JobRecord &job) -> void;
    [[nodiscard]] auto hasRoom(const JobRecord &job) const -> bool;
    auto startAll(JobRecord &job) -> void;
    auto confirmAll(JobRecord &job) -> void;
    auto sendToAll(JobRecord &job, TaskCommandKind kind, std::chrono::milliseconds lease) -> void;
    auto enterPhase(JobRecord &job, GangPhase phase, std::chrono::milliseconds deadline) -> void;
    auto onMemberFailure(JobRecord &job, std::size_t member, const TaskCommandResult &result) -> void;

    SchedulerState *state_;
    GangReservations *reservations_;
    GangStopper *stopper_;
    RunningHook running_;
};
} // namespace Marjoramfold
