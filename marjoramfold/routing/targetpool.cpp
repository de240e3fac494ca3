#include "marjoramfold/routing/targetpool.h"

#include <algorithm>
#include <cassert>

namespace Marjoramfold
{
namespace
{
/// Weight of a new sample in the moving mean of latencies.
constexpr double LatencyWeight = 0.1;

/// Age up to which answers say something about the present latency.
constexpr std::chrono::seconds LatencyMaxAge{5};

/// Answers needed before a target can be called slow; the first ones include connection set-up.
constexpr int AnswersBeforeSlow = 10;

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
        const auto returned = target->refusedLeaving_ && !info.leaving_ && list.asOf_ > target->refusedAt_ + options_.listLag_;
        if (returned) {
            target->refusedLeaving_ = false;
        }
        if (target->info_.address_ != info.address_) {
            // A new address is a new process: what was learned about the old one does not hold.
            target->ejected_ = false;
            target->probing_ = false;
            target->failuresInRow_ = 0;
            target->latencyUs_ = 0;
        }
        target->info_ = info;
        const auto out = zonesOut_.find(info.zone_);
        target->zoneOut_ = out != zonesOut_.end() && out->second;
    }
    std::erase_if(targets_, [](const auto &entry) {
        return !entry.second->listed_ && entry.second->inFlight_ == 0;
    });
    rebuild();
    return true;
}

auto TargetPool::applyRules(const RuleSet &rules) -> void
{
    zonesOut_.clear();
    for (const auto &[zone, rule] : rules.zones_) {
        zonesOut_[zone] = rule.state_ == AvailabilityZoneState::Out;
    }
    for (auto &[id, target] : targets_) {
        const auto out = zonesOut_.find(target->info_.zone_);
        target->zoneOut_ = out != zonesOut_.end() && out->second;
    }
    rebuild();
}

auto TargetPool::markLeaving(const TargetId &id, WallTime now) -> void
{
    const auto found = targets_.find(id);
    if (found != targets_.end()) {
        found->second->refusedLeaving_ = true;
        found->second->refusedAt_ = now;
        rebuild();
    }
}

auto TargetPool::take(bool idempotent, const std::vector<TargetId> &excluded, SteadyTime now, RandomGenerator &random) -> const Target *
{
    auto *target = takeProbe(idempotent, excluded, now);
    if (target == nullptr) {
        target = takeLeastLoaded(own_, excluded, random);
    }
    if (target == nullptr) {
        target = takeLeastLoaded(others_, excluded, random);
    }
    if (target != nullptr) {
        ++target->inFlight_;
    }
    return target;
}

auto TargetPool::takeProbe(bool idempotent, const std::vector<TargetId> &excluded, SteadyTime now) -> Target *
{
    // A probe may fail, so it is an idempotent request that can be retried, unless no healthy target is left.
    const auto noHealthyTarget = own_.empty() && others_.empty();
    if (!idempotent && !noHealthyTarget) {
        return nullptr;
    }
    for (auto *target : ejected_) {
        if (!target->probing_ && now >= target->probeAt_ && target->inFlight_ < options_.slotsPerTarget_ && !contains(excluded, target->info_.id_)) {
            target->probing_ = true;
            return target;
        }
    }
    return nullptr;
}

auto TargetPool::takeLeastLoaded(const std::vector<Target *> &candidates, const std::vector<TargetId> &excluded, RandomGenerator &random) -> Target *
{
    scratch_.clear();
    for (auto *target : candidates) {
        if (target->inFlight_ < options_.slotsPerTarget_ && !contains(excluded, target->info_.id_)) {
            scratch_.push_back(target);
        }
    }
    if (scratch_.size() < 2) {
        return scratch_.empty() ? nullptr : scratch_.front();
    }
    const auto first = random() % scratch_.size();
    const auto second = (first + 1 + random() % (scratch_.size() - 1)) % scratch_.size();
    return scratch_[first]->inFlight_ <= scratch_[second]->inFlight_ ? scratch_[first] : scratch_[second];
}

auto TargetPool::hasFreeSlot(SteadyTime now) const -> bool
{
    const auto isFree = [this](const Target *target) {
        return target->inFlight_ < options_.slotsPerTarget_;
    };
    const auto isDue = [&](const Target *target) {
        return !target->probing_ && now >= target->probeAt_ && isFree(target);
    };
    return std::any_of(own_.begin(), own_.end(), isFree) || std::any_of(others_.begin(), others_.end(), isFree)
        || std::any_of(ejected_.begin(), ejected_.end(), isDue);
}

auto TargetPool::release(const TargetId &id, ExchangeOutcome outcome, std::chrono::microseconds latency, Moment now) -> void
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
        succeed(target, latency, now.steady_);
        break;
    case ExchangeOutcome::RefusedLeaving:
        target.refusedLeaving_ = true;
        target.refusedAt_ = now.wall_;
        rebuild();
        break;
    case ExchangeOutcome::Refused:
        fail(target, 1, now.steady_);
        break;
    case ExchangeOutcome::NotSent:
        // A refused connection is the target's fault alone and costs no request, so one is enough.
        fail(target, options_.failuresToEject_, now.steady_);
        break;
    case ExchangeOutcome::Failed:
        fail(target, 1, now.steady_);
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
        fail(*found->second, 1, now);
    }
}

auto TargetPool::succeed(Target &target, std::chrono::microseconds latency, SteadyTime now) -> void
{
    const auto sample = static_cast<double>(latency.count());
    target.latencyUs_ = target.latencyUs_ == 0 ? sample : target.latencyUs_ + LatencyWeight * (sample - target.latencyUs_);
    target.lastAnswer_ = now;
    target.failuresInRow_ = 0;
    ++target.answersSinceReturn_;
    if (target.ejected_ && target.probing_) {
        target.ejected_ = false;
        target.probing_ = false;
        target.answersSinceReturn_ = 0;
        target.latencyUs_ = sample;
        rebuild();
    } else if (!target.ejected_ && target.answersSinceReturn_ > 10 * AnswersBeforeSlow) {
        // After a long healthy time the next ejection starts short again.
        target.ejection_ = std::chrono::milliseconds(0);
    }
}

auto TargetPool::fail(Target &target, int failures, SteadyTime now) -> void
{
    target.failuresInRow_ += failures;
    if (target.ejected_) {
        if (target.probing_) {
            eject(target, now);
        }
        return;
    }
    if (target.failuresInRow_ >= options_.failuresToEject_) {
        eject(target, now);
    }
}

auto TargetPool::eject(Target &target, SteadyTime now) -> void
{
    target.ejection_ = target.ejection_.count() == 0 ? options_.firstEjection_ : std::min(target.ejection_ * 2, options_.longestEjection_);
    target.ejected_ = true;
    target.probing_ = false;
    target.probeAt_ = now + target.ejection_;
    target.answersSinceReturn_ = 0;
    rebuild();
}

auto TargetPool::ejectSlow(SteadyTime now) -> void
{
    std::vector<double> latencies;
    std::vector<Target *> measured;
    for (const auto *list : {&own_, &others_}) {
        for (auto *target : *list) {
            if (target->answersSinceReturn_ >= AnswersBeforeSlow && now - target->lastAnswer_ < LatencyMaxAge) {
                measured.push_back(target);
                latencies.push_back(target->latencyUs_);
            }
        }
    }
    // With fewer than three targets there is no majority to compare with.
    if (latencies.size() < 3) {
        return;
    }
    const auto middle = latencies.begin() + static_cast<std::ptrdiff_t>(latencies.size() / 2);
    std::nth_element(latencies.begin(), middle, latencies.end());
    const auto floor = static_cast<double>(std::chrono::microseconds(options_.slowFloor_).count());
    const auto limit = std::max(*middle * options_.slowFactor_, floor);
    for (auto *target : measured) {
        if (target->latencyUs_ > limit) {
            eject(*target, now);
        }
    }
}

auto TargetPool::expectedLatency(SteadyTime now) const -> std::chrono::microseconds
{
    // The fastest recent target: a request is refused early only when not even that one could answer in time.
    double best = 0;
    for (const auto *list : {&own_, &others_}) {
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
    return own_.size() + others_.size() + ejected_.size();
}

auto TargetPool::slotCount() const -> std::size_t
{
    return (own_.size() + others_.size()) * static_cast<std::size_t>(options_.slotsPerTarget_);
}

auto TargetPool::find(const TargetId &id) const -> const Target *
{
    const auto found = targets_.find(id);
    return found == targets_.end() ? nullptr : found->second.get();
}

auto TargetPool::isUsable(const Target &target) const -> bool
{
    return target.listed_ && !target.info_.leaving_ && !target.refusedLeaving_ && !target.zoneOut_;
}

auto TargetPool::rebuild() -> void
{
    own_.clear();
    others_.clear();
    ejected_.clear();
    for (auto &[id, target] : targets_) {
        if (!isUsable(*target)) {
            continue;
        }
        if (target->ejected_) {
            ejected_.push_back(target.get());
        } else if (target->info_.zone_ == options_.ownZone_) {
            own_.push_back(target.get());
        } else {
            others_.push_back(target.get());
        }
    }
    // The order of the hash map must not decide, so that a seed reproduces a run.
    const auto byId = [](const Target *left, const Target *right) {
        return left->info_.id_ < right->info_.id_;
    };
    std::sort(own_.begin(), own_.end(), byId);
    std::sort(others_.begin(), others_.end(), byId);
    std::sort(ejected_.begin(), ejected_.end(), byId);
}
} // namespace Marjoramfold
