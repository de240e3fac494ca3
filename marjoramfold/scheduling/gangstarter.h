#pragma once

#include "marjoramfold/scheduling/gangstopper.h"

namespace Marjoramfold
{
/// Starts gangs all-or-nothing: Hold, Start and then Renew to all members. Any failure stops the whole gang.
class GangStarter
{
public:
    /// Called when all members of a gang are confirmed running.
    using RunningHook = std::function<void(JobRecord &)>;

    GangStarter(SchedulerState &state, GangReservations &reservations, GangStopper &stopper);

    auto setRunningHook(RunningHook hook) -> void;

    /// Reserves a placement and sends Hold commands once the gangs evicted for it have stopped.
    auto begin(JobRecord &job, ZoneIndex zone, const GangPlacement &placement, bool guaranteed) -> void;

    /// Starts a gang at its destination after it was stopped for a move.
    auto beginAtDestination(JobRecord &job) -> void;

    /// Sends Hold commands of gangs that waited for workers freed by the current event.
    auto resumeAfterEvictions() -> void;

    /// Handles a worker's answer to a Hold, a Start or the confirming Renew.
    auto onResult(JobRecord &job, std::size_t member, const TaskCommandResult &result) -> void;

    /// Handles the end of a member, possibly before its answer.
    auto onMemberFinished(JobRecord &job, std::size_t member) -> void;

    /// Aborts a start whose answers did not arrive before the deadline.
    auto onTimer(JobRecord &job) -> void;

    /// Renews a gang that was found running; stops the whole gang if a member does not answer.
    auto confirmRecovered(JobRecord &job) -> void;

    /// Stops a gang whose start failed; its job is retried with exponential backoff.
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
