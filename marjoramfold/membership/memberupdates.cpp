#include "marjoramfold/membership/memberupdates.h"

#include <algorithm>
#include <map>

namespace Marjoramfold
{
namespace
{
/// Bytes of entries in one datagram; the remaining 160 hold the envelope with the longest sender id.
constexpr std::size_t MaxUpdateBytes = MaxDatagramBytes - 160;

/// Encoded size of an entry in bytes.
auto sizeOf(const MemberEntry &entry) -> std::size_t
{
    constexpr std::size_t FixedEntryBytes = 20;
    return FixedEntryBytes + entry.id_.value().size() + entry.zone_.value().size() + entry.address_.size();
}
} // namespace

MemberUpdates::MemberUpdates(MembershipState &state)
    : state_(state)
    , random_(state.options_.randomSeed_)
{
}

auto MemberUpdates::zoneOf(const InstanceId &id) const -> AvailabilityZoneId
{
    const auto *member = state_.table_.find(id);
    return member == nullptr ? AvailabilityZoneId() : member->entry_.zone_;
}

auto MemberUpdates::receive(const MemberUpdate &update, const InstanceId &sender, SteadyTime now) -> void
{
    const auto from = zoneOf(sender);
    for (const auto &entry : update.members_) {
        apply(entry, from, now);
    }
}

auto MemberUpdates::apply(const MemberEntry &entry, const AvailabilityZoneId &learnedFrom, SteadyTime now) -> void
{
    if (entry.id_ == state_.options_.self_) {
        refute(entry);
        return;
    }
    const auto *known = state_.table_.find(entry.id_);
    const auto before = known == nullptr ? std::nullopt : std::optional<MemberStatus>(known->entry_.status_);
    if (!state_.table_.merge(entry, now)) {
        return;
    }
    changes_.push_back({entry, learnedFrom});
    state_.commands_.emplace_back(MemberChanged{entry, before});
}

auto MemberUpdates::refute(const MemberEntry &entry) -> void
{
    auto &self = state_.self_.entry_;
    const auto isWrong = entry.incarnation_ == self.incarnation_ && entry.refutation_ >= self.refutation_ && entry.status_ > self.status_;
    if (isWrong && self.status_ != MemberStatus::Left) {
        self.refutation_ = entry.refutation_ + 1;
        announceSelf();
    }
}

auto MemberUpdates::confirmDead(const InstanceId &id, SteadyTime now) -> void
{
    const auto *member = state_.table_.find(id);
    const auto before = member == nullptr ? std::nullopt : std::optional<MemberStatus>(member->entry_.status_);
    if (const auto entry = state_.table_.markDead(id, now)) {
        changes_.push_back({*entry, {}});
        state_.commands_.emplace_back(MemberChanged{*entry, before});
    }
}

auto MemberUpdates::announceSelf() -> void
{
    changes_.push_back({state_.self_.entry_, {}});
}

auto MemberUpdates::flush() -> void
{
    if (changes_.empty()) {
        return;
    }
    // Changes detected here or learned from other zones go to the local zone; a delegate also sends those of its zone to other delegates.
    const auto &ownZone = state_.options_.zone_;
    std::map<InstanceId, std::vector<MemberEntry>> outgoing;
    const auto add = [&outgoing](const InstanceId &recipient, const MemberEntry &entry) {
        if (recipient != entry.id_) {
            outgoing[recipient].push_back(entry);
        }
    };
    const auto toDelegates = state_.view_.isDelegate() && !state_.options_.fullMesh_;
    for (const auto &change : changes_) {
        const auto toOwnZone = change.learnedFrom_ != ownZone;
        const auto toOtherZones = toDelegates && (change.learnedFrom_.isEmpty() || change.learnedFrom_ == ownZone);
        for (const auto &id : state_.table_.ring()) {
            if (toOwnZone && id != state_.options_.self_) {
                add(id, change.entry_);
            }
        }
        for (const auto &zone : state_.table_.zones()) {
            if (toOtherZones && zone != ownZone) {
                add(state_.table_.delegateOf(zone), change.entry_);
            }
        }
    }
    changes_.clear();
    for (const auto &[recipient, entries] : outgoing) {
        if (const auto *member = state_.table_.find(recipient)) {
            sendEntries(entries, recipient, member->entry_.address_);
        }
    }
}

auto MemberUpdates::sendEntries(const std::vector<MemberEntry> &entries, const InstanceId &recipient, const std::string &address) -> void
{
    MemberUpdate update;
    std::size_t size = 0;
    for (const auto &entry : entries) {
        if (!update.members_.empty() && (size + sizeOf(entry) > MaxUpdateBytes || update.members_.size() == MaxMembersInMessage)) {
            state_.sendTo(recipient, address, std::move(update));
            update = {};
            size = 0;
        }
        size += sizeOf(entry);
        update.members_.push_back(entry);
    }
    if (!update.members_.empty()) {
        state_.sendTo(recipient, address, std::move(update));
    }
}

auto MemberUpdates::exportedTo(const AvailabilityZoneId &recipientZone, const Member &member, SteadyTime now) const -> std::optional<MemberEntry>
{
    // Members of an unreachable zone may have ended, so they are forwarded only to members of that zone, which can verify it.
    if (isLive(member.entry_) && member.entry_.zone_ != recipientZone && state_.view_.isUnreachable(member.entry_.zone_)) {
        return std::nullopt;
    }
    return state_.table_.exported(member, now);
}

auto MemberUpdates::sendTable(const InstanceId &recipient, const std::string &address, SteadyTime now) -> void
{
    std::vector<MemberEntry> entries{state_.self_.entry_};
    const auto recipientZone = zoneOf(recipient);
    for (const auto &[id, member] : state_.table_.members()) {
        if (auto entry = exportedTo(recipientZone, member, now)) {
            entries.push_back(std::move(*entry));
        }
    }
    sendEntries(entries, recipient, address);
}

auto MemberUpdates::sendZone(const AvailabilityZoneId &zone, const InstanceId &recipient, SteadyTime now) -> void
{
    const auto *target = state_.table_.find(recipient);
    if (target == nullptr) {
        return;
    }
    std::vector<MemberEntry> entries;
    for (const auto &[id, member] : state_.table_.members()) {
        if (member.entry_.zone_ == zone) {
            if (auto entry = exportedTo(target->entry_.zone_, member, now)) {
                entries.push_back(std::move(*entry));
            }
        }
    }
    sendEntries(entries, recipient, target->entry_.address_);
}

auto MemberUpdates::antiEntropyPeer() -> InstanceId
{
    auto candidates = state_.table_.ring();
    std::erase(candidates, state_.options_.self_);
    // Delegates also exchange entries with other zones.
    if (state_.view_.isDelegate()) {
        for (const auto &zone : state_.table_.zones()) {
            if (zone != state_.options_.zone_) {
                candidates.push_back(state_.table_.delegateOf(zone));
            }
        }
    }
    return candidates.empty() ? InstanceId() : candidates[random_() % candidates.size()];
}

auto MemberUpdates::sendAntiEntropy(SteadyTime now) -> void
{
    const auto recipient = antiEntropyPeer();
    const auto &members = state_.table_.members();
    if (recipient.isEmpty()) {
        return;
    }
    std::vector<MemberEntry> entries{state_.self_.entry_};
    auto next = members.upper_bound(antiEntropyCursor_);
    for (std::size_t step = 0; step < members.size() && entries.size() < state_.options_.antiEntropyEntries_; ++step) {
        if (next == members.end()) {
            next = members.begin();
        }
        antiEntropyCursor_ = next->first;
        if (auto entry = exportedTo(zoneOf(recipient), next->second, now)) {
            entries.push_back(std::move(*entry));
        }
        ++next;
    }
    sendEntries(entries, recipient, state_.table_.find(recipient)->entry_.address_);
}
} // namespace Marjoramfold
