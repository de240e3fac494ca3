#pragma once

#include "marjoramfold/scheduling/gangreservations.h"

#include <functional>

namespace Marjoramfold
{
/// Stops whole gangs. Releases a member once its worker confirms the Stop or its lease has expired for certain.
class GangStopper
{
public:
    /// Called when the last member of a stopping gang is released.
    using ReleasedHook = std::function<void(JobRecord &)>;

    GangStopper(SchedulerState &state, GangReservations &reservations);

    auto setReleasedHook(ReleasedHook hook) -> void;

    /// Stops all members of a gang. For a gang that is already stopping, only a final outcome replaces the earlier one.
    auto stop(JobRecord &job, AfterStop afterStop, std::chrono::milliseconds grace = {}) -> void;

    /// Handles a worker's answer to a Stop.
    auto onResult(JobRecord &job, std::size_t member, const TaskCommandResult &result) -> void;

    /// Releases members whose lease expired and resends the Stop to the others.
    auto onTimer(JobRecord &job) -> void;

    /// Releases a member that no longer runs, in any phase of its gang.
    auto onMemberGone(JobRecord &job, std::size_t member, MemberState state) -> void;

private:
    auto sendStop(JobRecord &job, std::size_t member, std::chrono::milliseconds grace) -> void;
    auto finishIfReleased(JobRecord &job) -> void;

    SchedulerState *state_;
    GangReservations *reservations_;
    ReleasedHook released_;
};
} // namespace Marjoramfold
