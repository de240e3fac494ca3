#include "marjoramfold/scheduling/quarantine.h"

#include <algorithm>
#include <set>

namespace Marjoramfold
{
namespace
{
// Time between probes of a quarantined worker: doubles from the first to the last.
constexpr std::chrono::milliseconds FirstProbeInterval{30'000};
constexpr std::chrono::milliseconds MaxProbeInterval{300'000};
} // namespace

Quarantine::Quarantine(SchedulerState &state)
    : state_(&state)
{
}

auto Quarantine::noteFailure(WorkerIndex worker, const JobId &job) -> bool
{
    auto &record = records_[worker];
    const auto windowStart = state_->now_ - state_->options_.quarantineWindow_;
    record.failures_.emplace_back(state_->now_, job);
    while (record.failures_.front().first < windowStart) {
        record.failures_.pop_front();
    }
    std::set<JobId> jobs;
    for (const auto &[time, failed] : record.failures_) {
        jobs.insert(failed);
    }
    const auto isOnProbation = record.releasedAt_ && *record.releasedAt_ >= windowStart;
    const auto isBad = isOnProbation || static_cast<int>(jobs.size()) >= state_->options_.quarantineFailures_;
    if (!isBad || state_->cluster_.worker(worker).quarantined_) {
        return false;
    }
    state_->cluster_.setQuarantined(worker, true);
    record.probeInterval_ = FirstProbeInterval;
    probe(worker, record);
    return true;
}

auto Quarantine::onProbe(WorkerIndex worker, bool healthy) -> bool
{
    const auto found = records_.find(worker);
    if (found == records_.end() || !state_->cluster_.worker(worker).quarantined_ || !healthy) {
        return false;
    }
    found->second.failures_.clear();
    found->second.releasedAt_ = state_->now_;
    state_->cluster_.setQuarantined(worker, false);
    return true;
}

auto Quarantine::onTick() -> void
{
    for (auto &[worker, record] : records_) {
        if (state_->cluster_.worker(worker).quarantined_ && record.nextProbe_ <= state_->now_) {
            probe(worker, record);
        }
    }
}

auto Quarantine::probe(WorkerIndex worker, Record &record) -> void
{
    state_->send(ProbeWorker{state_->cluster_.worker(worker).info_.id_});
    record.nextProbe_ = state_->now_ + record.probeInterval_;
    record.probeInterval_ = std::min(record.probeInterval_ * 2, MaxProbeInterval);
}
} // namespace Marjoramfold
