#include "marjoramfold/membership/digestexchange.h"

#include <algorithm>

namespace Marjoramfold
{
namespace
{
/// Digests whose sending time is remembered. An answer to an older one could not prove a confirmation fresh anyway.
constexpr std::size_t MaxSentDigests = 16;

/// Digests older than this are not passed on; nothing that depends on them is decided by then.
constexpr std::chrono::milliseconds MaxGossipAge{10'000};

/// Time that differing members get to become equal by the broadcast of the change, before a table is asked for.
constexpr std::chrono::milliseconds RepairAfter{2'000};

/// Start of the counter of a process. Another run starts elsewhere, so that an echo meant for an earlier run of the same
/// instance does not name a digest of this one.
auto firstCounter(Incarnation incarnation) -> std::uint32_t
{
    constexpr std::uint64_t Mixer = 0x9e3779b97f4a7c15ULL;
    return static_cast<std::uint32_t>((incarnation * Mixer) >> 34U);
}
} // namespace

DigestExchange::DigestExchange(MembershipState &state)
    : state_(state)
    , counter_(firstCounter(state.options_.incarnation_))
{
}

auto DigestExchange::capacitiesOfZone(SteadyTime now) const -> std::vector<ZoneCapacity>
{
    auto capacities = state_.self_.state_.capacities_;
    for (const auto *peer : state_.table_.livePeers(state_.options_.zone_)) {
        if (peer->report_ && now - peer->report_->receivedAt_ <= state_.options_.stateTimeout_) {
            capacities.insert(capacities.end(), peer->report_->state_.capacities_.begin(), peer->report_->state_.capacities_.end());
        }
    }
    capacities.resize(std::min(capacities.size(), MaxZonesInMessage));
    return capacities;
}

auto DigestExchange::run(SteadyTime now) -> void
{
    if (!state_.view_.isDelegate()) {
        return;
    }
    std::erase_if(received_, [this](const auto &item) {
        return state_.table_.find(item.first) == nullptr;
    });
    const auto digest = state_.view_.makeDigest(++counter_, now);
    state_.knowledge_.mergeDigest(digest, now, true, now);
    for (const auto &capacity : capacitiesOfZone(now)) {
        state_.knowledge_.mergeCapacity(capacity);
    }
    sendDigests(digest, now);

    ZoneGossip gossip{state_.options_.self_, state_.options_.incarnation_, counter_, state_.knowledge_.exported(now, MaxGossipAge), {}};
    for (const auto &[zone, capacity] : state_.knowledge_.capacities()) {
        if (gossip.capacities_.size() < MaxZonesInMessage) {
            gossip.capacities_.push_back(capacity);
        }
    }
    forward(gossip);
}

auto DigestExchange::sendDigests(const ZoneDigest &digest, SteadyTime now) -> void
{
    sent_.push_back({counter_, now});
    if (sent_.size() > MaxSentDigests) {
        sent_.pop_front();
    }
    for (const auto &zone : state_.table_.zones()) {
        if (zone == state_.options_.zone_) {
            continue;
        }
        const auto delegate = state_.table_.delegateOf(zone);
        DigestMessage message{digest, capacitiesOfZone(now), 0, std::chrono::milliseconds(0)};
        if (const auto last = received_.find(delegate); last != received_.end()) {
            message.echoedCounter_ = last->second.counter_;
            // Rounded down, since a longer time would make the peer take this digest as younger than it is.
            message.echoHeld_ = std::chrono::floor<std::chrono::milliseconds>(now - last->second.at_);
        }
        state_.send(delegate, std::move(message));
    }
}

auto DigestExchange::sentAt(std::uint32_t counter) const -> std::optional<SteadyTime>
{
    const auto found = std::find_if(sent_.begin(), sent_.end(), [counter](const SentDigest &sent) {
        return sent.counter_ == counter;
    });
    return found == sent_.end() ? std::nullopt : std::optional<SteadyTime>(found->at_);
}

auto DigestExchange::receive(const DigestMessage &message, const InstanceId &sender, Incarnation incarnation, SteadyTime receivedAt, SteadyTime now) -> void
{
    auto &last = received_[sender];
    if (last.incarnation_ != incarnation || last.counter_ < message.digest_.counter_) {
        last = {incarnation, message.digest_.counter_, now};
    }
    // The peer made this digest after our echoed digest reached it, so its age is bounded even when the network delays it.
    const auto echoed = sentAt(message.echoedCounter_);
    const auto madeAt = echoed ? std::min(*echoed + message.echoHeld_, receivedAt) - message.digest_.age_ : receivedAt - message.digest_.age_;
    state_.knowledge_.mergeDigest(message.digest_, madeAt, echoed.has_value(), now);
    for (const auto &capacity : message.capacities_) {
        state_.knowledge_.mergeCapacity(capacity);
    }
}

auto DigestExchange::receive(ZoneGossip message, SteadyTime receivedAt, SteadyTime now) -> void
{
    const auto *delegate = state_.table_.find(message.delegate_);
    if (delegate == nullptr || delegate->entry_.incarnation_ != message.delegateIncarnation_) {
        return;
    }
    auto &seen = seen_[message.delegate_];
    if (seen.incarnation_ == message.delegateIncarnation_ && seen.counter_ >= message.counter_) {
        return;
    }
    seen = {message.delegateIncarnation_, message.counter_};
    std::erase_if(seen_, [this](const auto &item) {
        return state_.table_.find(item.first) == nullptr;
    });
    for (auto &digest : message.digests_) {
        state_.knowledge_.mergeDigest(digest, receivedAt - digest.age_, true, now);
        digest.age_ += std::chrono::ceil<std::chrono::milliseconds>(now - receivedAt);
    }
    for (const auto &capacity : message.capacities_) {
        state_.knowledge_.mergeCapacity(capacity);
    }
    forward(message);
}

auto DigestExchange::repairMembers(SteadyTime now) -> void
{
    for (const auto &[zone, known] : state_.knowledge_.all()) {
        const auto isOld = now - known.madeAt_ > state_.options_.answerTimeout_;
        if (isOld || known.digest_.membersFingerprint_ == state_.table_.fingerprint(zone, state_.self_.entry_)) {
            differing_.erase(zone);
            continue;
        }
        const auto [since, isNew] = differing_.try_emplace(zone, now);
        if (isNew || now - since->second < RepairAfter) {
            continue;
        }
        since->second = now;
        // A delegate asks the other zone's delegate; other members ask their own delegate.
        const auto own = state_.table_.delegateOf(state_.options_.zone_);
        state_.send(own == state_.options_.self_ ? known.digest_.delegate_ : own, SyncRequest{state_.self_.entry_});
    }
}

auto DigestExchange::forward(const ZoneGossip &message) -> void
{
    // Each member passes gossip on to two others, so that every member but the delegate hears it from about two and one failed
    // member cuts off none. Position 0 is the delegate; position p sends to 2p+1 and 2p+2, modulo the size of the zone.
    auto ring = state_.table_.ring();
    if (const auto start = std::find(ring.begin(), ring.end(), message.delegate_); start != ring.end()) {
        std::rotate(ring.begin(), start, ring.end());
    }
    const auto self = static_cast<std::size_t>(std::find(ring.begin(), ring.end(), state_.options_.self_) - ring.begin());
    for (const auto target : {(2 * self + 1) % ring.size(), (2 * self + 2) % ring.size()}) {
        if (target != 0 && target != self) {
            state_.send(ring[target], message);
        }
    }
}
} // namespace Marjoramfold
