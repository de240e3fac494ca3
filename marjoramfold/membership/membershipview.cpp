#include "marjoramfold/membership/membershipview.h"

#include <algorithm>
#include <functional>
#include <map>

namespace Marjoramfold
{
namespace
{
auto wholeMilliseconds(SteadyTime::duration duration) -> std::chrono::milliseconds
{
    return std::max(std::chrono::ceil<std::chrono::milliseconds>(duration), std::chrono::milliseconds(0));
}

/// Counts instances by version, newest first. Versions over the limit are merged into the lowest, which cannot hide an unconfirmed instance.
auto countVersions(const std::vector<std::optional<NodeState>> &states) -> std::vector<VersionCount>
{
    std::map<Offset, std::uint16_t, std::greater<>> counts;
    for (const auto &state : states) {
        ++counts[state ? state->ruleVersion_ : 0];
    }
    std::vector<VersionCount> versions;
    for (const auto &[version, instances] : counts) {
        if (versions.size() < MaxVersionsInDigest) {
            versions.push_back({version, instances});
        } else {
            versions.back().version_ = version;
            versions.back().instances_ = static_cast<std::uint16_t>(versions.back().instances_ + instances);
        }
    }
    return versions;
}

auto combineLogStates(const std::vector<std::optional<NodeState>> &states) -> ZoneLogState
{
    auto combined = ZoneLogState::Unreadable;
    for (const auto &state : states) {
        if (state && state->logReadable_) {
            return ZoneLogState::Readable;
        }
        if (!state) {
            combined = ZoneLogState::Unknown;
        }
    }
    return combined;
}
} // namespace

MembershipView::MembershipView(
    const MembershipOptions &options, const LocalMember &self, const MemberTable &table, const ZoneTable &zoneTable, const FailureDetector &detector)
    : options_(options)
    , self_(self)
    , table_(table)
    , zoneTable_(zoneTable)
    , detector_(detector)
{
}

auto MembershipView::self() const -> const MemberEntry &
{
    return self_.entry_;
}

auto MembershipView::isDelegate() const -> bool
{
    return table_.delegateOf(options_.zone_) == options_.self_;
}

auto MembershipView::zones() const -> std::vector<AvailabilityZoneId>
{
    return table_.zones();
}

auto MembershipView::toLivePeer(const MemberEntry &entry) const -> LivePeer
{
    return {entry.id_, entry.zone_, entry.address_, entry.incarnation_, entry.status_ == MemberStatus::Leaving, detector_.isSuspected(entry.id_)};
}

auto MembershipView::isUnreachable(const AvailabilityZoneId &zone) const -> bool
{
    if (zone == options_.zone_ || options_.fullMesh_) {
        return false;
    }
    const auto contactAt = zoneTable_.lastContact(zone);
    return contactAt && self_.now_ - *contactAt > options_.zoneUnreachableAfter_;
}

auto MembershipView::livePeers(const AvailabilityZoneId &zone) const -> std::vector<LivePeer>
{
    std::vector<LivePeer> peers;
    if (isUnreachable(zone)) {
        return peers;
    }
    for (const auto *member : table_.livePeers(zone)) {
        peers.push_back(toLivePeer(member->entry_));
    }
    return peers;
}

auto MembershipView::livePeers() const -> std::vector<LivePeer>
{
    std::vector<LivePeer> peers;
    for (const auto *member : table_.allLivePeers()) {
        if (!isUnreachable(member->entry_.zone_)) {
            peers.push_back(toLivePeer(member->entry_));
        }
    }
    return peers;
}

auto MembershipView::livePeer(const InstanceId &id) const -> std::optional<LivePeer>
{
    const auto *member = table_.find(id);
    if (member == nullptr || !isLive(member->entry_) || isUnreachable(member->entry_.zone_)) {
        return std::nullopt;
    }
    return toLivePeer(member->entry_);
}

auto MembershipView::ended() const -> std::vector<EndedInstance>
{
    std::vector<EndedInstance> found;
    for (const auto &[id, member] : table_.members()) {
        if (!isLive(member.entry_)) {
            found.push_back({id, member.entry_.zone_, member.entry_.incarnation_, member.entry_.status_ == MemberStatus::Left, member.endedAt_});
        }
    }
    return found;
}

auto MembershipView::hasEnded(const InstanceId &id, Incarnation incarnation) const -> bool
{
    const auto *member = table_.find(id);
    if (member == nullptr) {
        return id == options_.self_ && incarnation < options_.incarnation_;
    }
    const auto &entry = member->entry_;
    return entry.incarnation_ > incarnation || (entry.incarnation_ == incarnation && !isLive(entry));
}

auto MembershipView::localState(SteadyTime now) const -> NodeState
{
    auto state = self_.state_;
    if (state.confirmationAge_) {
        *state.confirmationAge_ += wholeMilliseconds(now - self_.stateSetAt_);
    }
    return state;
}

auto MembershipView::zoneStates(SteadyTime now) const -> std::vector<std::optional<NodeState>>
{
    std::vector<std::optional<NodeState>> states{localState(now)};
    for (const auto *peer : table_.livePeers(options_.zone_)) {
        if (!peer->report_ || now - peer->report_->receivedAt_ > options_.stateTimeout_) {
            states.emplace_back();
            continue;
        }
        auto state = peer->report_->state_;
        if (state.confirmationAge_) {
            *state.confirmationAge_ += wholeMilliseconds(now - peer->report_->receivedAt_);
        }
        states.emplace_back(std::move(state));
    }
    return states;
}

auto MembershipView::makeDigest(std::uint32_t counter, SteadyTime now) const -> ZoneDigest
{
    const auto states = zoneStates(now);
    ZoneDigest digest;
    digest.zone_ = options_.zone_;
    digest.counter_ = counter;
    for (const auto &state : states) {
        if (state && state->confirmationAge_ && (!digest.confirmationAge_ || *state->confirmationAge_ < *digest.confirmationAge_)) {
            digest.confirmationAge_ = state->confirmationAge_;
            digest.confirmedVersion_ = state->ruleVersion_;
        }
    }
    digest.logState_ = combineLogStates(states);
    digest.versions_ = countVersions(states);
    digest.delegateHasNewest_ = digest.versions_.front().version_ == self_.state_.ruleVersion_;
    digest.membersFingerprint_ = table_.fingerprint(options_.zone_, self_.entry_);
    digest.liveInstances_ = static_cast<std::uint16_t>(states.size());
    digest.drainingInstances_ = self_.entry_.status_ == MemberStatus::Leaving ? 1 : 0;
    for (const auto *peer : table_.livePeers(options_.zone_)) {
        digest.drainingInstances_ = static_cast<std::uint16_t>(digest.drainingInstances_ + (peer->entry_.status_ == MemberStatus::Leaving ? 1 : 0));
    }
    return digest;
}

auto MembershipView::digestFor(const AvailabilityZoneId &zone, SteadyTime now) const -> std::optional<KnownDigest>
{
    if (zone == options_.zone_ && isDelegate()) {
        return KnownDigest{makeDigest(0, now), now, true};
    }
    const auto *known = zoneTable_.find(zone);
    return known == nullptr ? std::nullopt : std::optional<KnownDigest>(*known);
}

auto MembershipView::freshestConfirmation(ConfirmationScope scope, SteadyTime now) const -> std::optional<RelayedConfirmation>
{
    std::optional<RelayedConfirmation> freshest;
    for (const auto &[zone, known] : zoneTable_.all()) {
        const auto &digest = known.digest_;
        if (!digest.confirmationAge_ || !known.confirmationBounded_ || (scope == ConfirmationScope::OtherZones && zone == options_.zone_)) {
            continue;
        }
        const auto age = *digest.confirmationAge_ + wholeMilliseconds(now - known.madeAt_);
        if (!freshest || age < freshest->age_) {
            freshest = RelayedConfirmation{zone, digest.confirmedVersion_, age};
        }
    }
    return freshest;
}

auto MembershipView::answers(const AvailabilityZoneId &zone, SteadyTime now) const -> bool
{
    if (zone == options_.zone_) {
        return true;
    }
    const auto *known = zoneTable_.find(zone);
    return known != nullptr && now - known->madeAt_ <= options_.answerTimeout_;
}

auto MembershipView::logAnswer(const std::vector<AvailabilityZoneId> &zones, SteadyTime now) const -> ZonesLogAnswer
{
    ZonesLogAnswer answer{true, !self_.state_.logReadable_};
    for (const auto &zone : zones) {
        const auto known = digestFor(zone, now);
        const auto isFresh = known && now - known->madeAt_ <= options_.answerTimeout_;
        answer.allAnswer_ = answer.allAnswer_ && answers(zone, now);
        answer.noneCanRead_ = answer.noneCanRead_ && isFresh && known->digest_.logState_ == ZoneLogState::Unreadable;
    }
    return answer;
}

auto MembershipView::inForce(const AvailabilityZoneId &zone, Offset version, SteadyTime now) const -> ZoneInForce
{
    ZoneInForce result{zone, answers(zone, now), false, std::nullopt, 0, 0};
    const auto known = digestFor(zone, now);
    if (!known) {
        return result;
    }
    result.unconfirmed_ = unconfirmedInstances(known->digest_, version);
    result.lowestVersion_ = lowestVersion(known->digest_);
    result.inForce_ = result.unconfirmed_ == 0 && known->digest_.liveInstances_ > 0;
    if (result.inForce_) {
        result.since_ = zoneTable_.inForceSince(zone, version);
    }
    return result;
}

auto MembershipView::replaceIfNewer(NewestRules &newest, Offset version, const InstanceId &holder) const -> void
{
    if (const auto peer = livePeer(holder); version > newest.version_ && peer) {
        newest = {version, holder, peer->address_};
    }
}

auto MembershipView::newestRules() const -> NewestRules
{
    NewestRules newest{self_.state_.ruleVersion_, {}, {}};
    for (const auto *peer : table_.allLivePeers()) {
        if (peer->report_) {
            replaceIfNewer(newest, peer->report_->state_.ruleVersion_, peer->entry_.id_);
        }
    }
    for (const auto &[zone, known] : zoneTable_.all()) {
        if (known.digest_.delegateHasNewest_ && !known.digest_.versions_.empty()) {
            replaceIfNewer(newest, known.digest_.versions_.front().version_, table_.delegateOf(zone));
        }
    }
    return newest;
}

auto MembershipView::capacity(const AvailabilityZoneId &zone) const -> std::optional<AdvertisedCapacity>
{
    const auto *known = zoneTable_.capacity(zone);
    return known == nullptr ? std::nullopt : std::optional<AdvertisedCapacity>(*known);
}
} // namespace Marjoramfold
