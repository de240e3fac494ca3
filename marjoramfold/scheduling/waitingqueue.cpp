#include "marjoramfold/scheduling/waitingqueue.h"

#include <algorithm>
#include <cmath>

namespace Marjoramfold
{
namespace
{
// A job ranks equal to one of half its expected work submitted this much later. Small values approach arrival order.
constexpr std::chrono::duration<double> AgingPerDoubling{1200.0};

constexpr double MinExpectedSeconds = 1.0;

// Batch jobs rank as if their expected work were doubled this often.
constexpr double BatchPenaltyDoublings = 2.0;

// Team priority levels that offset one doubling of expected work. Strict order by level would starve lower teams.
constexpr double PriorityLevelsPerDoubling = 20.0;
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
    if (job.reserved_.accelerators_ > 0) {
        state_->waitingByTeam_[job.spec_.team_].insert(*job.queueKey_);
        if (job.isLarge()) {
            state_->largeWaiting_.insert(job.index_);
        }
        state_->teamsToRecheck_.insert(job.spec_.team_);
    }
}

auto WaitingQueue::remove(JobRecord &job) -> void
{
    if (job.queueKey_) {
        state_->queue_.erase(*job.queueKey_);
        if (job.reserved_.accelerators_ > 0) {
            state_->waitingByTeam_[job.spec_.team_].erase(*job.queueKey_);
            state_->largeWaiting_.erase(job.index_);
        }
        job.queueKey_.reset();
    }
}

auto WaitingQueue::rebuild() -> void
{
    const auto keys = state_->queue_;
    for (const auto &key : keys) {
        add(state_->jobs_.at(key.job_));
    }
}

// The score includes the submission time instead of the age, so it need not be updated while a job waits.
auto WaitingQueue::scoreOf(const JobRecord &job) const -> double
{
    return scoreOf(job, job.expected_ - job.progress_);
}

auto WaitingQueue::scoreOf(const JobRecord &job, std::chrono::milliseconds timeLeft) const -> double
{
    const auto left = std::chrono::duration<double>(timeLeft).count();
    const auto width = std::max(job.accelerators(), 1);
    const auto work = std::max(left, MinExpectedSeconds) * width;
    const auto submitted = std::chrono::duration<double>(job.submitted_.time_since_epoch());
    const auto priority = state_->rules_->priorities_.find(job.spec_.team_);
    const auto level = priority == state_->rules_->priorities_.end() ? 0 : priority->second.level_;
    const auto penalty = job.spec_.priority_ == PriorityClass::Batch ? BatchPenaltyDoublings : 0.0;
    return std::log2(work) + submitted / AgingPerDoubling + penalty - level / PriorityLevelsPerDoubling;
}

auto WaitingQueue::keyOf(const JobRecord &job) const -> QueueKey
{
    return {!job.isUrgent(), scoreOf(job), job.index_};
}
} // namespace Marjoramfold
