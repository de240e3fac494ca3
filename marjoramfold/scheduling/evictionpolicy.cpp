#include "marjoramfold/scheduling/evictionpolicy.h"

#include <algorithm>

namespace Marjoramfold
{
namespace
{
// Idle time between the stop of a gang and its next start, in addition to its grace.
constexpr std::chrono::duration<double> RestartDelay{2.0};

// Urgent work is evicted for guaranteed work only as the last resort.
constexpr double UrgentCostFactor = 100.0;

// Large gangs are hard to place again, so small ones are evicted first.
constexpr double LargeGangCostFactor = 10.0;

// Minimum run time before an eviction for work that is neither urgent nor guaranteed; prevents two jobs from preempting each other in turn.
constexpr std::chrono::seconds MinRunTimeBeforePreemption{60};

// A job past its estimate is expected to need its elapsed run time divided by this.
constexpr int OverrunDivisor = 4;

// Cores with the eviction cost of one accelerator.
constexpr double CoresPerAccelerator = 16.0;
} // namespace

EvictionPolicy::EvictionPolicy(const SchedulerState &state)
    : state_(&state)
{
}

auto EvictionPolicy::canCheckpoint(const JobRecord &job) const -> bool
{
    return job.spec_.checkpointable_ && job.spec_.grace_ <= state_->options_.maxPreemptionGrace_;
}

auto EvictionPolicy::timeLeft(const JobRecord &job) const -> std::chrono::milliseconds
{
    const auto hasRun = job.phase_ == GangPhase::Running || job.phase_ == GangPhase::Confirming;
    const auto ranNow = hasRun ? std::chrono::duration_cast<std::chrono::milliseconds>(state_->now_ - job.runningSince_) : std::chrono::milliseconds(0);
    const auto ran = job.progress_ + ranNow;
    return std::max(job.expected_ - ran, ran / OverrunDivisor);
}

auto EvictionPolicy::lostTime(const JobRecord &job) const -> std::chrono::duration<double>
{
    const auto hasRun = job.phase_ == GangPhase::Running || job.phase_ == GangPhase::Confirming;
    if (!hasRun) {
        return RestartDelay;
    }
    if (canCheckpoint(job)) {
        return RestartDelay + job.spec_.grace_;
    }
    return RestartDelay + (state_->now_ - job.runningSince_);
}

auto EvictionPolicy::lostWork(const JobRecord &job) const -> double
{
    const auto width = job.reserved_.accelerators_ + job.reserved_.cores_ / CoresPerAccelerator;
    return lostTime(job).count() * width * job.spec_.gangSize_;
}

auto EvictionPolicy::costForEntitledJob(GangIndex gang, bool claimantIsUrgent) const -> std::optional<double>
{
    const auto &job = state_->jobs_.at(gang);
    // The reserved destination of a moving gang cannot be freed.
    if (job.destination_) {
        return std::nullopt;
    }
    if (job.phase_ == GangPhase::Stopping) {
        return 0.0;
    }
    if (job.guaranteed_ || (job.isUrgent() && claimantIsUrgent)) {
        return std::nullopt;
    }
    return lostWork(job) * (job.isUrgent() ? UrgentCostFactor : 1.0) * (job.isLarge() ? LargeGangCostFactor : 1.0);
}

auto EvictionPolicy::mayInterrupt(const JobRecord &job) const -> bool
{
    return job.phase_ == GangPhase::Running && !job.isUrgent() && canCheckpoint(job) && state_->now_ - job.runningSince_ >= MinRunTimeBeforePreemption;
}

auto EvictionPolicy::costForQueuedJob(GangIndex gang) const -> std::optional<double>
{
    const auto &job = state_->jobs_.at(gang);
    if (job.destination_) {
        return std::nullopt;
    }
    if (job.phase_ == GangPhase::Stopping) {
        return 0.0;
    }
    return !job.guaranteed_ && mayInterrupt(job) ? std::optional(lostWork(job)) : std::nullopt;
}
} // namespace Marjoramfold
