#include "marjoramfold/membership/digestexchange.h"

#include <algorithm>

namespace Marjoramfold
{
namespace
{
/// Sent digests whose send time is kept. An echo of an older one would bound a confirmation's age too loosely to be useful.
constexpr std::size_t MaxSentDigests = 16;

/// Older digests are not forwarded, since no decision uses digests of that age.
constexpr std::chrono::milliseconds MaxGossipAge{10'000};

/// Delay before a full table is requested because member tables differ; the broadcast of a change can make them equal meanwhile.
constexpr std::chrono::milliseconds RepairDelay{2'000};

/// Capacities of the local zone are sent with every fourth digest only, since they just guide the choice of a zone for new jobs.
constexpr std::uint32_t CapacityRoundInterval = 4;

/// Rounds with full digests after a change; with two, the loss of one is repaired in the next round.
constexpr int FullRoundsAfterChange = 2;

/// Interval, in rounds, of full digests without a change, for receivers that missed earlier ones.
constexpr std::uint32_t FullRoundInterval = 10;

/// Digests that a receiver may leave unacknowledged before it is sent a full one.
constexpr std::uint32_t MaxUnacknowledgedDigests = 3;

/// Bytes of digests and capacities in one gossip message; the remaining 160 hold the envelope with the longest sender id.
constexpr std::size_t MaxGossipBytes = MaxDatagramBytes - 160;

/// Upper bound of the encoded size of a digest in bytes.
auto sizeOf(const ZoneDigest &digest) -> std::size_t
{
    constexpr std::size_t FixedBytes = 40;
    constexpr std::size_t VersionBytes = 10;
    return FixedBytes + digest.zone_.value().size() + VersionBytes * digest.versions_.size();
}

/// Encoded size of a refresh in bytes.
constexpr std::size_t RefreshBytes = 20;

/// Upper bound of the encoded size of a capacity in bytes.
auto sizeOf(const AdvertisedCapacity &capacity) -> std::size_t
{
    constexpr std::size_t FixedBytes = 30;
    return FixedBytes + capacity.zone_.value().size();
}

/// Initial digest counter of a process. It differs between incarnations, so that an echo of an earlier incarnation's digest does
/// not match a digest of this one.
auto firstCounter(Incarnation incarnation) -> std::uint32_t
{
    constexpr std::uint64_t GoldenRatioMultiplier = 0x9e3779b97f4a7c15ULL;
    return static_cast<std::uint32_t>((incarnation * GoldenRatioMultiplier) >> 34U);
}
} // namespace

DigestExchange::DigestExchange(MembershipState &state)
    : state_(state)
    , counter_(firstCounter(state.options_.incarnation_))
{
}

auto DigestExchange::capacitiesOfZone(SteadyTime now) const -> std::vector<AdvertisedCapacity>
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
    state_.zoneTable_.mergeDigest(digest, now, true, now);
    detectOwnChange(digest);
    if (isCapacityRound()) {
        for (const auto &capacity : capacitiesOfZone(now)) {
            state_.zoneTable_.mergeCapacity(capacity);
        }
    }
    sendDigests(digest, now);

    startGossip(now);
}

auto DigestExchange::observedDelegateOf(const AvailabilityZoneId &zone, SteadyTime now) const -> InstanceId
{
    if (const auto observed = observedDelegates_.find(zone);
        observed != observedDelegates_.end() && now - observed->second.receivedAt_ <= state_.options_.answerTimeout_) {
        const auto *member = state_.table_.find(observed->second.id_);
        if (member != nullptr && isLive(member->entry_)) {
            return observed->second.id_;
        }
    }
    return state_.table_.delegateOf(zone);
}

auto DigestExchange::isCapacityRound() const -> bool
{
    return counter_ % CapacityRoundInterval == 0;
}

auto DigestExchange::detectOwnChange(const ZoneDigest &digest) -> void
{
    if (const auto hash = contentHash(digest); hash != ownContentHash_) {
        ownContentHash_ = hash;
        fullRounds_ = FullRoundsAfterChange;
    } else if (fullRounds_ > 0) {
        --fullRounds_;
    }
}

auto DigestExchange::isUpToDate(const AvailabilityZoneId &zone, SteadyTime now) const -> bool
{
    const auto observed = observedDelegates_.find(zone);
    return observed != observedDelegates_.end() && now - observed->second.receivedAt_ <= state_.options_.answerTimeout_
        && counter_ - observed->second.echoedCounter_ <= MaxUnacknowledgedDigests;
}

auto DigestExchange::needsFullDigest(const ZoneDigest &digest) -> bool
{
    auto &last = forwardedDigests_[digest.zone_];
    const auto hash = contentHash(digest);
    if (last.contentHash_ != hash) {
        last.contentHash_ = hash;
        last.fullRounds_ = FullRoundsAfterChange;
    } else if (last.fullRounds_ > 0) {
        --last.fullRounds_;
    }
    // A change of the local zone may be a new member, which has no digests yet.
    return last.fullRounds_ > 0 || fullRounds_ > 0 || counter_ % FullRoundInterval == 0;
}

auto DigestExchange::startGossip(SteadyTime now) -> void
{
    // A digest that was already forwarded is skipped, since receivers increase its age themselves.
    ZoneGossip gossip;
    std::size_t size = 0;
    const auto add = [&](auto &items, const auto &item, std::size_t itemSize) {
        if (size + itemSize > MaxGossipBytes) {
            forward(gossip);
            gossip = {};
            size = 0;
        }
        items.push_back(item);
        size += itemSize;
    };
    for (const auto &digest : state_.zoneTable_.exported(now, MaxGossipAge)) {
        const auto [known, isNew] = forwardedDigests_.try_emplace(digest.zone_);
        if (!isNew && known->second.counter_ == digest.counter_) {
            continue;
        }
        known->second.counter_ = digest.counter_;
        if (needsFullDigest(digest)) {
            add(gossip.digests_, digest, sizeOf(digest));
        } else {
            add(gossip.refreshes_, refreshOf(digest), RefreshBytes);
        }
    }
    for (const auto &[zone, capacity] : state_.zoneTable_.capacities()) {
        auto &last = forwardedCapacities_[zone];
        const auto isChanged = last.epoch_ != capacity.epoch_ || last.counter_ != capacity.counter_;
        if (isChanged || fullRounds_ > 0 || counter_ % FullRoundInterval == 0) {
            last = capacity;
            add(gossip.capacities_, capacity, sizeOf(capacity));
        }
    }
    if (size > 0) {
        forward(gossip);
    }
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
        const auto delegate = observedDelegateOf(zone, now);
        DigestMessage message;
        if (fullRounds_ > 0 || !isUpToDate(zone, now)) {
            message.digest_ = digest;
        } else {
            message.refresh_ = refreshOf(digest);
        }
        if (isCapacityRound()) {
            message.capacities_ = capacitiesOfZone(now);
        }
        if (const auto last = received_.find(delegate); last != received_.end()) {
            message.echoedCounter_ = last->second.counter_;
            // Rounded down, since a longer delay would make the peer underestimate the age of this digest.
            message.echoDelay_ = std::chrono::floor<std::chrono::milliseconds>(now - last->second.at_);
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
    const auto digest = message.refresh_ ? state_.zoneTable_.complete(*message.refresh_) : message.digest_;
    const auto *member = state_.table_.find(sender);
    if (!digest || member == nullptr || member->entry_.zone_ != digest->zone_) {
        return;
    }
    // A refresh that could not be expanded is not echoed, so that the peer sends the full digest again.
    auto &last = received_[sender];
    if (last.incarnation_ != incarnation || last.counter_ < digest->counter_) {
        last = {incarnation, digest->counter_, now};
    }
    observedDelegates_[digest->zone_] = {sender, now, message.echoedCounter_};

    // The peer created this digest after it received the echoed one, which bounds the age even when the network delays the message.
    const auto echoed = sentAt(message.echoedCounter_);
    const auto madeAt = echoed ? std::min(*echoed + message.echoDelay_, receivedAt) - digest->age_ : receivedAt - digest->age_;
    state_.zoneTable_.mergeDigest(*digest, madeAt, echoed.has_value(), now);
    for (const auto &capacity : message.capacities_) {
        state_.zoneTable_.mergeCapacity(capacity);
    }
}

auto DigestExchange::receive(const ZoneGossip &message, SteadyTime receivedAt, SteadyTime now) -> void
{
    ZoneGossip updated;
    const auto waited = std::chrono::ceil<std::chrono::milliseconds>(now - receivedAt);
    for (const auto &digest : message.digests_) {
        if (state_.zoneTable_.mergeDigest(digest, receivedAt - digest.age_, true, now)) {
            updated.digests_.push_back(digest);
            updated.digests_.back().age_ += waited;
        }
    }
    for (const auto &refresh : message.refreshes_) {
        const auto digest = state_.zoneTable_.complete(refresh);
        if (digest && state_.zoneTable_.mergeDigest(*digest, receivedAt - digest->age_, true, now)) {
            updated.refreshes_.push_back(refresh);
            updated.refreshes_.back().age_ += waited;
        }
    }
    for (const auto &capacity : message.capacities_) {
        if (state_.zoneTable_.mergeCapacity(capacity)) {
            updated.capacities_.push_back(capacity);
        }
    }
    if (!updated.digests_.empty() || !updated.refreshes_.empty() || !updated.capacities_.empty()) {
        forward(updated);
    }
}

auto DigestExchange::findDifferences(SteadyTime now) -> std::vector<Difference>
{
    std::vector<Difference> differences;
    for (const auto &[zone, known] : state_.zoneTable_.all()) {
        const auto isOld = now - known.madeAt_ > state_.options_.answerTimeout_;
        if (isOld || known.digest_.membersFingerprint_ == state_.table_.fingerprint(zone, state_.self_.entry_)) {
            differing_.erase(zone);
            continue;
        }
        const auto [since, isNew] = differing_.try_emplace(zone, now);
        if (isNew || now - since->second < RepairDelay) {
            continue;
        }
        since->second = now;
        // A delegate compares with the other zone's delegate, other members with their own delegate.
        const auto own = state_.table_.delegateOf(state_.options_.zone_);
        differences.push_back({zone, own == state_.options_.self_ ? observedDelegateOf(zone, now) : own});
    }
    return differences;
}

auto DigestExchange::forward(const ZoneGossip &message) -> void
{
    // Each member forwards gossip to two others, so that every member but the delegate receives it from about two and a single
    // failed member isolates no other. Position 0 is the delegate; position p sends to 2p+1 and 2p+2, modulo the size of the zone.
    auto ring = state_.table_.ring();
    const auto delegate = state_.table_.delegateOf(state_.options_.zone_);
    if (const auto start = std::find(ring.begin(), ring.end(), delegate); start != ring.end()) {
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
