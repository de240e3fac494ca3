#include "marjoramfold/scheduling/queuepass.h"

namespace Marjoramfold
{
namespace
{
// Limits per call; they bound decision latency.
constexpr int MaxTriedJobs = 64;
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
        job.reason_ = "team has no quota left for the gang";
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
    job.reason_ = "no allowed availability zone has room for the gang now";
    return false;
}
} // namespace Marjoramfold
