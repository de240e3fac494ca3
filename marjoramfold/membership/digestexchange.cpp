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

/// Capacities of the own zone go with every fourth digest: they only guide the choice of a zone for new jobs.
constexpr std::uint32_t CapacityRounds = 4;

/// Rounds that carry whole digests after a change, so that the loss of one of them is made up for at once.
constexpr int WholeRoundsAfterChange = 2;

/// Every so many rounds digests are whole although nothing changed, for receivers that missed them.
constexpr std::uint32_t WholeRoundInterval = 10;

/// Digests that a receiver may be behind before it gets a whole one.
constexpr std::uint32_t MaxDigestsBehind = 3;

/// Bytes of digests and capacities in one gossip message; leaves room for the envelope with the longest sender id.
constexpr std::size_t MaxGossipBytes = MaxDatagramBytes - 160;

/// Encoded size of a digest, at most.
auto sizeOf(const ZoneDigest &digest) -> std::size_t
{
    constexpr std::size_t FixedBytes = 40;
    constexpr std::size_t VersionBytes = 10;
    return FixedBytes + digest.zone_.value().size() + VersionBytes * digest.versions_.size();
}

/// Encoded size of a refresh.
constexpr std::size_t RefreshBytes = 20;

/// Encoded size of a capacity, at most.
auto sizeOf(const AdvertisedCapacity &capacity) -> std::size_t
{
    constexpr std::size_t FixedBytes = 30;
    return FixedBytes + capacity.zone_.value().size();
}

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
    noteOwnContent(digest);
    if (isCapacityRound()) {
        for (const auto &capacity : capacitiesOfZone(now)) {
            state_.zoneTable_.mergeCapacity(capacity);
        }
    }
    sendDigests(digest, now);

    startGossip(now);
}

auto DigestExchange::speakerOf(const AvailabilityZoneId &zone, SteadyTime now) const -> InstanceId
{
    if (const auto speaker = speakers_.find(zone); speaker != speakers_.end() && now - speaker->second.heardAt_ <= state_.options_.answerTimeout_) {
        const auto *member = state_.table_.find(speaker->second.id_);
        if (member != nullptr && isLive(member->entry_)) {
            return speaker->second.id_;
        }
    }
    return state_.table_.delegateOf(zone);
}

auto DigestExchange::isCapacityRound() const -> bool
{
    return counter_ % CapacityRounds == 0;
}

auto DigestExchange::noteOwnContent(const ZoneDigest &digest) -> void
{
    if (const auto hash = contentHash(digest); hash != ownContentHash_) {
        ownContentHash_ = hash;
        wholeRounds_ = WholeRoundsAfterChange;
    } else if (wholeRounds_ > 0) {
        --wholeRounds_;
    }
}

auto DigestExchange::isUpToDate(const AvailabilityZoneId &zone, SteadyTime now) const -> bool
{
    const auto speaker = speakers_.find(zone);
    return speaker != speakers_.end() && now - speaker->second.heardAt_ <= state_.options_.answerTimeout_
        && counter_ - speaker->second.echoedCounter_ <= MaxDigestsBehind;
}

auto DigestExchange::needsWholeGossip(const ZoneDigest &digest) -> bool
{
    auto &last = gossiped_[digest.zone_];
    const auto hash = contentHash(digest);
    if (last.contentHash_ != hash) {
        last.contentHash_ = hash;
        last.wholeRounds_ = WholeRoundsAfterChange;
    } else if (last.wholeRounds_ > 0) {
        --last.wholeRounds_;
    }
    // A change of the own zone may be a new member, which knows no digest yet.
    return last.wholeRounds_ > 0 || wholeRounds_ > 0 || counter_ % WholeRoundInterval == 0;
}

auto DigestExchange::startGossip(SteadyTime now) -> void
{
    // A digest that was passed on before brings nothing new, since receivers let its age grow by themselves.
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
        const auto [known, isNew] = gossiped_.try_emplace(digest.zone_);
        if (!isNew && known->second.counter_ == digest.counter_) {
            continue;
        }
        known->second.counter_ = digest.counter_;
        if (needsWholeGossip(digest)) {
            add(gossip.digests_, digest, sizeOf(digest));
        } else {
            add(gossip.refreshes_, refreshOf(digest), RefreshBytes);
        }
    }
    for (const auto &[zone, capacity] : state_.zoneTable_.capacities()) {
        auto &last = gossipedCapacities_[zone];
        const auto isChanged = last.epoch_ != capacity.epoch_ || last.counter_ != capacity.counter_;
        if (isChanged || wholeRounds_ > 0 || counter_ % WholeRoundInterval == 0) {
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
        const auto delegate = speakerOf(zone, now);
        DigestMessage message;
        if (wholeRounds_ > 0 || !isUpToDate(zone, now)) {
            message.digest_ = digest;
        } else {
            message.refresh_ = refreshOf(digest);
        }
        if (isCapacityRound()) {
            message.capacities_ = capacitiesOfZone(now);
        }
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
    const auto digest = message.refresh_ ? state_.zoneTable_.complete(*message.refresh_) : message.digest_;
    const auto *member = state_.table_.find(sender);
    if (!digest || member == nullptr || member->entry_.zone_ != digest->zone_) {
        return;
    }
    // A refresh that could not be completed is not echoed, so that the peer sends the whole digest again.
    auto &last = received_[sender];
    if (last.incarnation_ != incarnation || last.counter_ < digest->counter_) {
        last = {incarnation, digest->counter_, now};
    }
    speakers_[digest->zone_] = {sender, now, message.echoedCounter_};

    // The peer made this digest after our echoed digest reached it, so its age is bounded even when the network delays it.
    const auto echoed = sentAt(message.echoedCounter_);
    const auto madeAt = echoed ? std::min(*echoed + message.echoHeld_, receivedAt) - digest->age_ : receivedAt - digest->age_;
    state_.zoneTable_.mergeDigest(*digest, madeAt, echoed.has_value(), now);
    for (const auto &capacity : message.capacities_) {
        state_.zoneTable_.mergeCapacity(capacity);
    }
}

auto DigestExchange::receive(const ZoneGossip &message, SteadyTime receivedAt, SteadyTime now) -> void
{
    ZoneGossip news;
    const auto waited = std::chrono::ceil<std::chrono::milliseconds>(now - receivedAt);
    for (const auto &digest : message.digests_) {
        if (state_.zoneTable_.mergeDigest(digest, receivedAt - digest.age_, true, now)) {
            news.digests_.push_back(digest);
            news.digests_.back().age_ += waited;
        }
    }
    for (const auto &refresh : message.refreshes_) {
        const auto digest = state_.zoneTable_.complete(refresh);
        if (digest && state_.zoneTable_.mergeDigest(*digest, receivedAt - digest->age_, true, now)) {
            news.refreshes_.push_back(refresh);
            news.refreshes_.back().age_ += waited;
        }
    }
    for (const auto &capacity : message.capacities_) {
        if (state_.zoneTable_.mergeCapacity(capacity)) {
            news.capacities_.push_back(capacity);
        }
    }
    if (!news.digests_.empty() || !news.refreshes_.empty() || !news.capacities_.empty()) {
        forward(news);
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
        if (isNew || now - since->second < RepairAfter) {
            continue;
        }
        since->second = now;
        // A delegate turns to the other zone's delegate; other members turn to their own delegate.
        const auto own = state_.table_.delegateOf(state_.options_.zone_);
        differences.push_back({zone, own == state_.options_.self_ ? speakerOf(zone, now) : own});
    }
    return differences;
}

auto DigestExchange::forward(const ZoneGossip &message) -> void
{
    // Each member passes gossip on to two others, so that every member but the delegate hears it from about two and one failed
    // member cuts off none. Position 0 is the delegate; position p sends to 2p+1 and 2p+2, modulo the size of the zone.
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
