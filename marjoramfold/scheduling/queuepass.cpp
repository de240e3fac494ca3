#include "marjoramfold/scheduling/queuepass.h"

namespace Marjoramfold
{
namespace
{
// Jobs looked at in one call; bounds the time of a decision.
constexpr int MaxTriedJobs = 64;

// Searches for gangs to evict in one call.
constexpr int MaxPreemptionSearches = 8;
} // namespace

QueuePass::QueuePass(SchedulerState &state, StartDecisions &decisions)
    : state_(&state)
    , decisions_(&decisions)
{
}

auto QueuePass::run() -> void
{
    auto &queue = state_->queue_;
    preemptionSearchesLeft_ = MaxPreemptionSearches;
    auto next = resumeAfter_ ? queue.upper_bound(*resumeAfter_) : queue.begin();
    for (auto tried = 0; tried < MaxTriedJobs && next != queue.end(); ++tried) {
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
    if (!state_->isWithinQuota(job)) {
        job.reason_ = "its team uses its whole quota";
        return false;
    }
    return job.isUrgent() ? decisions_->startUrgent(job) : startBorrowing(job);
}

auto QueuePass::startBorrowing(JobRecord &job) -> bool
{
    if (decisions_->startOnFree(job)) {
        return true;
    }
    if (state_->options_.compaction_ && job.accelerators() > 0 && preemptionSearchesLeft_ > 0) {
        --preemptionSearchesLeft_;
        if (decisions_->startByPreemptingLaterGangs(job)) {
            return true;
        }
    }
    job.reason_ = "no availability zone that it may run in has room for its gang now";
    return false;
}
} // namespace Marjoramfold
