#include "marjoramfold/scheduling/queuepass.h"

#include <algorithm>

namespace Marjoramfold
{
namespace
{
// Jobs looked at in one call; bounds the time of a decision.
constexpr int MaxLooks = 64;
} // namespace

QueuePass::QueuePass(SchedulerState &state, JobLifecycle &lifecycle)
    : state_(&state)
    , lifecycle_(&lifecycle)
    , placer_(state.cluster_)
{
}

auto QueuePass::run() -> void
{
    auto &queue = state_->queue_;
    auto next = resumeAfter_ ? queue.upper_bound(*resumeAfter_) : queue.begin();
    for (auto looks = 0; looks < MaxLooks && next != queue.end(); ++looks) {
        const auto key = *next;
        ++next;
        resumeAfter_ = key;
        tryStart(state_->jobs_.at(key.job_));
    }
    if (next == queue.end()) {
        resumeAfter_.reset();
    }
}

auto QueuePass::tryStart(JobRecord &job) -> bool
{
    if (!isWithinQuota(job)) {
        job.reason_ = "its team uses its whole quota";
        return false;
    }
    return tryGuaranteed(job) || tryBorrowed(job);
}

auto QueuePass::tryGuaranteed(JobRecord &job) -> bool
{
    for (ZoneIndex zone = 0; zone < state_->zones_.size(); ++zone) {
        if (!mayRunIn(job, zone) || !state_->ledger_.covers(zone, job.spec_.team_, job.accelerators())) {
            continue;
        }
        const auto placement = placer_.place(job.shape(), zone, filterOf(job));
        if (placement && state_->ledger_.keepsShapes(zone, job.spec_.team_, *placement, job.reserved_.accelerators_)) {
            begin(job, zone, *placement, true);
            return true;
        }
    }
    return false;
}

auto QueuePass::tryBorrowed(JobRecord &job) -> bool
{
    for (ZoneIndex zone = 0; zone < state_->zones_.size(); ++zone) {
        if (!mayRunIn(job, zone)) {
            continue;
        }
        const auto placement = placer_.place(job.shape(), zone, filterOf(job));
        if (placement) {
            begin(job, zone, *placement, false);
            return true;
        }
    }
    job.reason_ = "no availability zone that it may run in has room for its gang now";
    return false;
}

auto QueuePass::begin(JobRecord &job, ZoneIndex zone, const GangPlacement &placement, bool guaranteed) -> void
{
    lifecycle_->queue().remove(job);
    lifecycle_->starter().begin(job, zone, placement, guaranteed);
}

auto QueuePass::isWithinQuota(const JobRecord &job) const -> bool
{
    const auto quota = state_->rules_->quotas_.find(job.spec_.team_);
    if (quota == state_->rules_->quotas_.end()) {
        return true;
    }
    const auto use = state_->teamUse_.find(job.spec_.team_);
    const auto used = use == state_->teamUse_.end() ? 0 : use->second;
    return used + job.accelerators() <= quota->second.accelerators_;
}

auto QueuePass::mayRunIn(const JobRecord &job, ZoneIndex zone) const -> bool
{
    return state_->zones_[zone].mayStart() && Admission::allowsZone(job.spec_, state_->zones_[zone].id_);
}

auto QueuePass::filterOf(const JobRecord &job) const -> Placer::WorkerFilter
{
    if (job.failedWorkers_.empty()) {
        return {};
    }
    return [&job](WorkerIndex worker) {
        return std::find(job.failedWorkers_.begin(), job.failedWorkers_.end(), worker) == job.failedWorkers_.end();
    };
}
} // namespace Marjoramfold
