#include "marjoramfold/scheduling/gangstopper.h"

#include <algorithm>

namespace Marjoramfold
{
namespace
{
constexpr std::chrono::milliseconds StopRetryInterval{2'000};

// A final outcome overrides one that would requeue the job, never the reverse.
auto overrides(const AfterStop &next, const AfterStop &present) -> bool
{
    return isFinal(next.state_) && !isFinal(present.state_);
}
} // namespace

GangStopper::GangStopper(SchedulerState &state, GangReservations &reservations)
    : state_(&state)
    , reservations_(&reservations)
{
}

auto GangStopper::setReleasedHook(ReleasedHook hook) -> void
{
    released_ = std::move(hook);
}

auto GangStopper::stop(JobRecord &job, AfterStop afterStop, std::chrono::milliseconds grace) -> void
{
    if (job.phase_ == GangPhase::Stopping) {
        if (overrides(afterStop, job.afterStop_)) {
            job.afterStop_ = std::move(afterStop);
        }
        return;
    }
    const auto hasSentNothing = job.phase_ == GangPhase::AwaitingEvictions;
    if (job.phase_ == GangPhase::Running) {
        state_->runningTasks_[job.zone_] -= static_cast<int>(job.members_.size());
    } else {
        --state_->zones_[job.zone_].startingGangs_;
    }
    job.phase_ = GangPhase::Stopping;
    job.phaseSince_ = state_->now_;
    job.state_ = JobState::Stopping;
    job.afterStop_ = std::move(afterStop);
    job.reason_ = job.afterStop_.reason_;
    for (std::size_t i = 0; i < job.members_.size(); ++i) {
        if (hasSentNothing) {
            reservations_->releaseMember(job, i, MemberState::Released);
        } else if (job.members_[i].holdsResources()) {
            job.members_[i].state_ = MemberState::Stopping;
            sendStop(job, i, grace);
        }
    }
    state_->jobs_.setTimer(job, state_->now_ + grace + StopRetryInterval);
    finishIfReleased(job);
}

auto GangStopper::onResult(JobRecord &job, std::size_t member, const TaskCommandResult &result) -> void
{
    auto &record = job.members_[member];
    record.saved_ = std::max(record.saved_, result.progress_);
    // A worker that does not know the task is not running it.
    const auto isGone = !result.error_ || result.error_->kind_ == ErrorKind::NotFound;
    if (record.state_ == MemberState::Stopping && isGone) {
        onMemberGone(job, member, MemberState::Released);
    }
}

auto GangStopper::onTimer(JobRecord &job) -> void
{
    for (std::size_t i = 0; i < job.members_.size(); ++i) {
        auto &member = job.members_[i];
        if (member.state_ != MemberState::Stopping) {
            continue;
        }
        if (member.leaseExpiryBound_ <= state_->now_) {
            reservations_->releaseMember(job, i, MemberState::Released);
        } else {
            sendStop(job, i, std::chrono::milliseconds(0));
        }
    }
    state_->jobs_.setTimer(job, state_->now_ + StopRetryInterval);
    finishIfReleased(job);
}

auto GangStopper::onMemberGone(JobRecord &job, std::size_t member, MemberState state) -> void
{
    reservations_->releaseMember(job, member, state);
    finishIfReleased(job);
}

auto GangStopper::sendStop(JobRecord &job, std::size_t member, std::chrono::milliseconds grace) -> void
{
    TaskCommand command;
    command.kind_ = TaskCommandKind::Stop;
    command.task_ = {job.spec_.id_, job.attempt_, static_cast<std::uint32_t>(member)};
    command.worker_ = state_->cluster_.worker(job.members_[member].worker_).info_.id_;
    command.resources_ = job.reserved_;
    command.grace_ = grace;
    state_->send(std::move(command));
}

auto GangStopper::finishIfReleased(JobRecord &job) -> void
{
    if (job.phase_ == GangPhase::Stopping && job.holding_ == 0) {
        state_->jobs_.clearTimer(job);
        job.phase_ = GangPhase::Idle;
        released_(job);
    }
}
} // namespace Marjoramfold
