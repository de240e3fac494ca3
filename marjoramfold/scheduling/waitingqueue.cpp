#include "marjoramfold/scheduling/waitingqueue.h"

#include <algorithm>
#include <cmath>

namespace Marjoramfold
{
namespace
{
// A job overtakes one of half its expected work that was submitted this much later. Small values approach arrival order.
constexpr std::chrono::duration<double> AgingPerDoubling{3'600.0};

constexpr double MinExpectedSeconds = 1.0;

auto classRank(PriorityClass priority) -> int
{
    switch (priority) {
    case PriorityClass::Urgent:
        return 0;
    case PriorityClass::Normal:
        return 1;
    case PriorityClass::Batch:
        return 2;
    }
    return 2;
}
} // namespace

WaitingQueue::WaitingQueue(SchedulerState &state)
    : state_(&state)
{
}

auto WaitingQueue::add(JobRecord &job) -> void
{
    remove(job);
    job.queueKey_ = keyOf(job);
    state_->queue_.insert(*job.queueKey_);
}

auto WaitingQueue::remove(JobRecord &job) -> void
{
    if (job.queueKey_) {
        state_->queue_.erase(*job.queueKey_);
        job.queueKey_.reset();
    }
}

auto WaitingQueue::rebuild() -> void
{
    const auto keys = std::move(state_->queue_);
    state_->queue_.clear();
    for (const auto &key : keys) {
        auto &job = state_->jobs_.at(key.job_);
        job.queueKey_ = keyOf(job);
        state_->queue_.insert(*job.queueKey_);
    }
}

// The score compares the logarithm of the expected work plus the time of submission, so it need not be updated while a job waits.
auto WaitingQueue::keyOf(const JobRecord &job) const -> QueueKey
{
    const auto left = std::chrono::duration<double>(job.expected_ - job.progress_).count();
    const auto width = std::max(job.accelerators(), 1);
    const auto work = std::max(left, MinExpectedSeconds) * width;
    const auto submitted = std::chrono::duration<double>(job.submitted_.time_since_epoch());
    const auto priority = state_->rules_->priorities_.find(job.spec_.team_);
    const auto level = priority == state_->rules_->priorities_.end() ? 0 : priority->second.level_;
    return {classRank(job.spec_.priority_), -level, std::log2(work) + submitted / AgingPerDoubling, job.index_};
}
} // namespace Marjoramfold
