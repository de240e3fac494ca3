#include "marjoramfold/routing/targetpool.h"

#include <algorithm>
#include <cassert>

namespace Marjoramfold
{
namespace
{
/// Weight of a new sample in the moving average of latencies.
constexpr double LatencyWeight = 0.1;

/// Older answers are not used to estimate the present latency.
constexpr std::chrono::seconds LatencyMaxAge{5};

/// A target with fewer answers is never slow, because the first ones include connection setup.
constexpr int MinAnswersForSlowCheck = 10;

auto contains(const std::vector<TargetId> &ids, const TargetId &id) -> bool
{
    return std::find(ids.begin(), ids.end(), id) != ids.end();
}
} // namespace

TargetPool::TargetPool(TargetPoolOptions options)
    : options_(std::move(options))
{
}

auto TargetPool::applyList(const TargetList &list) -> bool
{
    if (hasList_ && list.asOf_ < listAsOf_) {
        return false;
    }
    hasList_ = true;
    listAsOf_ = list.asOf_;
    for (auto &[id, target] : targets_) {
        target->listed_ = false;
    }
    for (const auto &info : list.targets_) {
        auto &target = targets_[info.id_];
        if (!target) {
            target = std::make_unique<Target>();
        }
        target->listed_ = true;
        const auto reinstated = target->refusedLeaving_ && !info.leaving_ && list.asOf_ > target->refusedAt_ + options_.maxListLag_;
        if (reinstated) {
            target->refusedLeaving_ = false;
        }
        if (target->info_.address_ != info.address_) {
            // A new address is a new process, so the health of the old one does not apply.
            target->ejected_ = false;
            target->probing_ = false;
            target->consecutiveFailures_ = 0;
            target->latencyUs_ = 0;
        }
        target->info_ = info;
        const auto out = zonesOutOfService_.find(info.zone_);
        target->zoneOutOfService_ = out != zonesOutOfService_.end() && out->second;
    }
    std::erase_if(targets_, [](const auto &entry) {
        return !entry.second->listed_ && entry.second->inFlight_ == 0;
    });
    rebuildCandidates();
    return true;
}

auto TargetPool::applyRules(const RuleSet &rules) -> void
{
    zonesOutOfService_.clear();
    for (const auto &[zone, rule] : rules.zones_) {
        zonesOutOfService_[zone] = rule.state_ == AvailabilityZoneState::Out;
    }
    for (auto &[id, target] : targets_) {
        const auto out = zonesOutOfService_.find(target->info_.zone_);
        target->zoneOutOfService_ = out != zonesOutOfService_.end() && out->second;
    }
    rebuildCandidates();
}

auto TargetPool::markLeaving(const TargetId &id, WallTime now) -> void
{
    const auto found = targets_.find(id);
    if (found != targets_.end()) {
        found->second->refusedLeaving_ = true;
        found->second->refusedAt_ = now;
        rebuildCandidates();
    }
}

auto TargetPool::acquire(bool idempotent, const std::vector<TargetId> &excluded, SteadyTime now, RandomGenerator &random) -> const Target *
{
    auto *target = chooseProbe(idempotent, excluded, now);
    if (target == nullptr) {
        target = chooseLeastLoaded(ownZoneTargets_, excluded, random);
    }
    if (target == nullptr) {
        target = chooseLeastLoaded(otherZoneTargets_, excluded, random);
    }
    if (target != nullptr) {
        ++target->inFlight_;
    }
    return target;
}

auto TargetPool::chooseProbe(bool idempotent, const std::vector<TargetId> &excluded, SteadyTime now) -> Target *
{
    // A probe may fail, so only idempotent requests, which can be retried, are probes, unless no healthy target is left.
    const auto noHealthyTarget = ownZoneTargets_.empty() && otherZoneTargets_.empty();
    if (!idempotent && !noHealthyTarget) {
        return nullptr;
    }
    for (auto *target : ejectedTargets_) {
        if (!target->probing_ && now >= target->probeAt_ && target->inFlight_ < options_.slotsPerTarget_ && !contains(excluded, target->info_.id_)) {
            target->probing_ = true;
            return target;
        }
    }
    return nullptr;
}

auto TargetPool::chooseLeastLoaded(const std::vector<Target *> &candidates, const std::vector<TargetId> &excluded, RandomGenerator &random) -> Target *
{
    eligible_.clear();
    for (auto *target : candidates) {
        if (target->inFlight_ < options_.slotsPerTarget_ && !contains(excluded, target->info_.id_)) {
            eligible_.push_back(target);
        }
    }
    if (eligible_.size() < 2) {
        return eligible_.empty() ? nullptr : eligible_.front();
    }
    const auto first = random() % eligible_.size();
    const auto second = (first + 1 + random() % (eligible_.size() - 1)) % eligible_.size();
    return eligible_[first]->inFlight_ <= eligible_[second]->inFlight_ ? eligible_[first] : eligible_[second];
}

auto TargetPool::hasFreeSlot(SteadyTime now) const -> bool
{
    const auto isFree = [this](const Target *target) {
        return target->inFlight_ < options_.slotsPerTarget_;
    };
    const auto isDue = [&](const Target *target) {
        return !target->probing_ && now >= target->probeAt_ && isFree(target);
    };
    return std::any_of(ownZoneTargets_.begin(), ownZoneTargets_.end(), isFree) || std::any_of(otherZoneTargets_.begin(), otherZoneTargets_.end(), isFree)
        || std::any_of(ejectedTargets_.begin(), ejectedTargets_.end(), isDue);
}

auto TargetPool::release(const TargetId &id, ExchangeOutcome outcome, std::chrono::microseconds latency, EventTime now) -> void
{
    const auto found = targets_.find(id);
    if (found == targets_.end()) {
        return;
    }
    auto &target = *found->second;
    assert(target.inFlight_ > 0);
    --target.inFlight_;
    switch (outcome) {
    case ExchangeOutcome::Answered:
        recordSuccess(target, latency, now.steady_);
        break;
    case ExchangeOutcome::RefusedLeaving:
        target.refusedLeaving_ = true;
        target.refusedAt_ = now.wall_;
        rebuildCandidates();
        break;
    case ExchangeOutcome::Refused:
        recordFailure(target, 1, now.steady_);
        break;
    case ExchangeOutcome::NotSent:
        // A refused connection is not caused by the request, and no request is lost, so a single one ejects the target.
        recordFailure(target, options_.consecutiveFailuresToEject_, now.steady_);
        break;
    case ExchangeOutcome::Failed:
        recordFailure(target, 1, now.steady_);
        break;
    }
    if (!target.listed_ && target.inFlight_ == 0) {
        targets_.erase(found);
    }
}

auto TargetPool::countFailure(const TargetId &id, SteadyTime now) -> void
{
    const auto found = targets_.find(id);
    if (found != targets_.end()) {
        recordFailure(*found->second, 1, now);
    }
}

auto TargetPool::recordSuccess(Target &target, std::chrono::microseconds latency, SteadyTime now) -> void
{
    const auto sample = static_cast<double>(latency.count());
    target.latencyUs_ = target.latencyUs_ == 0 ? sample : target.latencyUs_ + LatencyWeight * (sample - target.latencyUs_);
    target.lastAnswer_ = now;
    target.consecutiveFailures_ = 0;
    ++target.answersSinceReinstated_;
    if (target.ejected_ && target.probing_) {
        target.ejected_ = false;
        target.probing_ = false;
        target.answersSinceReinstated_ = 0;
        target.latencyUs_ = sample;
        rebuildCandidates();
    } else if (!target.ejected_ && target.answersSinceReinstated_ > 10 * MinAnswersForSlowCheck) {
        // Resets the backoff after many answers without an ejection.
        target.ejectionTime_ = std::chrono::milliseconds(0);
    }
}

auto TargetPool::recordFailure(Target &target, int failures, SteadyTime now) -> void
{
    target.consecutiveFailures_ += failures;
    if (target.ejected_) {
        if (target.probing_) {
            eject(target, now);
        }
        return;
    }
    if (target.consecutiveFailures_ >= options_.consecutiveFailuresToEject_) {
        eject(target, now);
    }
}

auto TargetPool::eject(Target &target, SteadyTime now) -> void
{
    target.ejectionTime_ = target.ejectionTime_.count() == 0 ? options_.initialEjectionTime_ : std::min(target.ejectionTime_ * 2, options_.maxEjectionTime_);
    target.ejected_ = true;
    target.probing_ = false;
    target.probeAt_ = now + target.ejectionTime_;
    target.answersSinceReinstated_ = 0;
    rebuildCandidates();
}

auto TargetPool::ejectSlow(SteadyTime now) -> void
{
    std::vector<double> latencies;
    std::vector<Target *> measured;
    for (const auto *list : {&ownZoneTargets_, &otherZoneTargets_}) {
        for (auto *target : *list) {
            if (target->answersSinceReinstated_ >= MinAnswersForSlowCheck && now - target->lastAnswer_ < LatencyMaxAge) {
                measured.push_back(target);
                latencies.push_back(target->latencyUs_);
            }
        }
    }
    // With fewer than three targets there is no majority to compare to.
    if (latencies.size() < 3) {
        return;
    }
    const auto middle = latencies.begin() + static_cast<std::ptrdiff_t>(latencies.size() / 2);
    std::nth_element(latencies.begin(), middle, latencies.end());
    const auto floor = static_cast<double>(std::chrono::microseconds(options_.minSlowLatency_).count());
    const auto limit = std::max(*middle * options_.slowLatencyFactor_, floor);
    for (auto *target : measured) {
        if (target->latencyUs_ > limit) {
            eject(*target, now);
        }
    }
}

auto TargetPool::expectedLatency(SteadyTime now) const -> std::chrono::microseconds
{
    // Uses the fastest target, so that a request is refused early only when no target could answer in time.
    double best = 0;
    for (const auto *list : {&ownZoneTargets_, &otherZoneTargets_}) {
        for (const auto *target : *list) {
            const auto recent = target->latencyUs_ > 0 && now - target->lastAnswer_ < LatencyMaxAge;
            if (recent && (best == 0 || target->latencyUs_ < best)) {
                best = target->latencyUs_;
            }
        }
    }
    return std::chrono::microseconds(static_cast<std::int64_t>(best));
}

auto TargetPool::usableCount() const -> std::size_t
{
    return ownZoneTargets_.size() + otherZoneTargets_.size() + ejectedTargets_.size();
}

auto TargetPool::slotCount() const -> std::size_t
{
    return (ownZoneTargets_.size() + otherZoneTargets_.size()) * static_cast<std::size_t>(options_.slotsPerTarget_);
}

auto TargetPool::find(const TargetId &id) const -> const Target *
{
    const auto found = targets_.find(id);
    return found == targets_.end() ? nullptr : found->second.get();
}

auto TargetPool::isUsable(const Target &target) const -> bool
{
    return target.listed_ && !target.info_.leaving_ && !target.refusedLeaving_ && !target.zoneOutOfService_;
}

auto TargetPool::rebuildCandidates() -> void
{
    ownZoneTargets_.clear();
    otherZoneTargets_.clear();
    ejectedTargets_.clear();
    for (auto &[id, target] : targets_) {
        if (!isUsable(*target)) {
            continue;
        }
        if (target->ejected_) {
            ejectedTargets_.push_back(target.get());
        } else if (target->info_.zone_ == options_.ownZone_) {
            ownZoneTargets_.push_back(target.get());
        } else {
            otherZoneTargets_.push_back(target.get());
        }
    }
    // Sorted, because the order of the hash map must not affect the choice: a seed reproduces a run.
    const auto byId = [](const Target *left, const Target *right) {
        return left->info_.id_ < right->info_.id_;
    };
    std::sort(ownZoneTargets_.begin(), ownZoneTargets_.end(), byId);
    std::sort(otherZoneTargets_.begin(), otherZoneTargets_.end(), byId);
    std::sort(ejectedTargets_.begin(), ejectedTargets_.end(), byId);
}
} // namespace Marjoramfold
