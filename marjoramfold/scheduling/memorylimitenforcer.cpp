#include "marjoramfold/scheduling/memorylimitenforcer.h"

#include <algorithm>

namespace Marjoramfold
{
MemoryLimitEnforcer::MemoryLimitEnforcer(SchedulerState &state, JobLifecycle &lifecycle)
    : state_(&state)
    , lifecycle_(&lifecycle)
{
}

auto MemoryLimitEnforcer::onUsage(const UsageReported &event) -> void
{
    auto *job = lifecycle_->findMember(event.task_, event.worker_);
    if (job == nullptr || job->phase_ == GangPhase::Stopping) {
        return;
    }
    job->peakMemoryMb_ = std::max(job->peakMemoryMb_, event.used_.memoryMb_);
    auto &member = job->members_[event.task_.index_];
    if (event.used_.memoryMb_ <= job->reserved_.memoryMb_ || !member.holdsResources()) {
        return;
    }
    if (!member.throttledAt_) {
        throttle(*job, member, event);
        return;
    }
    // A report from before the throttle does not show its effect.
    if (state_->now_ - event.lag_ > *member.throttledAt_) {
        lifecycle_->evict(*job, "a task on worker " + event.worker_.value() + " used more memory than reserved");
    }
}

auto MemoryLimitEnforcer::throttle(const JobRecord &job, GangMember &member, const UsageReported &event) -> void
{
    member.throttledAt_ = state_->now_;
    TaskCommand command;
    command.kind_ = TaskCommandKind::Throttle;
    command.task_ = event.task_;
    command.worker_ = event.worker_;
    command.resources_ = job.reserved_;
    state_->send(std::move(command));
}
} // namespace Marjoramfold
