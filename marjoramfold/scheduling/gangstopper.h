#pragma once

#include "marjoramfold/scheduling/gangreservations.h"

#include <functional>

namespace Marjoramfold
{
/// Stops whole gangs and releases each member once its worker confirmed, or once its lease has surely lapsed.
class GangStopper
{
public:
    /// Called when the last member of a stopping gang is released.
    using ReleasedHook = std::function<void(JobRecord &)>;

    GangStopper(SchedulerState &state, GangReservations &reservations);

    auto setReleasedHook(ReleasedHook hook) -> void;

    /// Stops all members of a gang. A gang that is already stopping only takes the new outcome if that outcome is final.
    auto stop(JobRecord &job, AfterStop afterStop, std::chrono::milliseconds grace = {}) -> void;

    /// Takes a worker's answer to a Stop.
    auto onResult(JobRecord &job, std::size_t member, const TaskCommandResult &result) -> void;

    /// Releases members whose lease lapsed and repeats the Stop to the others.
    auto onTimer(JobRecord &job) -> void;

    /// Releases a member that is known to be gone, whatever the phase of its gang.
    auto onMemberGone(JobRecord &job, std::size_t member, MemberState state) -> void;

private:
    auto sendStop(JobRecord &job, std::size_t member, std::chrono::milliseconds grace) -> void;
    auto finishIfReleased(JobRecord &job) -> void;

    SchedulerState *state_;
    GangReservations *reservations_;
    ReleasedHook released_;
};
} // namespace Marjoramfold
