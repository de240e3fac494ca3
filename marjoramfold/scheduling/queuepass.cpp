#include "marjoramfold/scheduling/queuepass.h"

namespace Marjoramfold
{
namespace
{
// Jobs looked at in one call; bounds the time of a decision.
constexpr int MaxLooks = 64;

// Searches for gangs to evict in one call.
constexpr int MaxExchanges = 8;
} // namespace

QueuePass::QueuePass(SchedulerState &state, StartDecisions &decisions)
    : state_(&state)
    , decisions_(&decisions)
{
}

auto QueuePass::run() -> void
{
    auto &queue = state_->queue_;
    exchanges_ = MaxExchanges;
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
    if (!state_->isWithinQuota(job)) {
        job.reason_ = "its team uses its whole quota";
        return false;
    }
    return job.isUrgent() ? decisions_->startUrgent(job) : tryBorrowed(job);
}

auto QueuePass::tryBorrowed(JobRecord &job) -> bool
{
    if (decisions_->startOnFree(job)) {
        return true;
    }
    if (state_->options_.compaction_ && job.accelerators() > 0 && exchanges_ > 0) {
        --exchanges_;
        if (decisions_->startInExchange(job)) {
            return true;
        }
    }
    job.reason_ = "no availability zone that it may run in has room for its gang now";
    return false;
}
} // namespace Marjoramfold
