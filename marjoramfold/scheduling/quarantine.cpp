#include "marjoramfold/scheduling/quarantine.h"

#include <algorithm>
#include <set>

namespace Marjoramfold
{
namespace
{
// Exponential backoff between probes of a quarantined worker.
constexpr std::chrono::milliseconds FirstProbeInterval{30'000};
constexpr std::chrono::milliseconds MaxProbeInterval{300'000};
} // namespace

Quarantine::Quarantine(SchedulerState &state)
    : state_(&state)
{
}

auto Quarantine::onTaskFailure(WorkerIndex worker, const JobId &job) -> bool
{
    auto &history = histories_[worker];
    const auto windowStart = state_->now_ - state_->options_.quarantineWindow_;
    history.failures_.emplace_back(state_->now_, job);
    while (history.failures_.front().first < windowStart) {
        history.failures_.pop_front();
    }
    std::set<JobId> jobs;
    for (const auto &[time, failed] : history.failures_) {
        jobs.insert(failed);
    }
    const auto isOnProbation = history.releasedAt_ && *history.releasedAt_ >= windowStart;
    const auto mustQuarantine = isOnProbation || static_cast<int>(jobs.size()) >= state_->options_.quarantineFailures_;
    if (!mustQuarantine || state_->cluster_.worker(worker).quarantined_) {
        return false;
    }
    state_->cluster_.setQuarantined(worker, true);
    history.probeInterval_ = FirstProbeInterval;
    probe(worker, history);
    return true;
}

auto Quarantine::onProbe(WorkerIndex worker, bool healthy) -> bool
{
    const auto found = histories_.find(worker);
    if (found == histories_.end() || !state_->cluster_.worker(worker).quarantined_ || !healthy) {
        return false;
    }
    found->second.failures_.clear();
    found->second.releasedAt_ = state_->now_;
    state_->cluster_.setQuarantined(worker, false);
    return true;
}

auto Quarantine::onTick() -> void
{
    for (auto &[worker, history] : histories_) {
        if (state_->cluster_.worker(worker).quarantined_ && history.nextProbe_ <= state_->now_) {
            probe(worker, history);
        }
    }
}

auto Quarantine::probe(WorkerIndex worker, WorkerHistory &history) -> void
{
    state_->send(ProbeWorker{state_->cluster_.worker(worker).info_.id_});
    history.nextProbe_ = state_->now_ + history.probeInterval_;
    history.probeInterval_ = std::min(history.probeInterval_ * 2, MaxProbeInterval);
}
} // namespace Marjoramfold
