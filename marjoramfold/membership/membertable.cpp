#include "marjoramfold/membership/membertable.h"

#include <algorithm>
#include <set>
#include <tuple>

namespace Marjoramfold
{
namespace
{
/// Key that orders entries of the same instance; the higher one is newer.
auto precedence(const MemberEntry &entry) -> std::tuple<Incarnation, std::uint32_t, MemberStatus>
{
    return {entry.incarnation_, entry.refutation_, entry.status_};
}

/// FNV-1a hash of the fields of a live member that all tables must agree on. std::hash may differ between builds.
auto hashOf(const MemberEntry &entry) -> std::uint32_t
{
    constexpr std::uint32_t OffsetBasis = 2'166'136'261U;
    constexpr std::uint32_t Prime = 16'777'619U;
    auto hash = OffsetBasis;
    const auto text = entry.id_.value() + '/' + std::to_string(entry.incarnation_) + '/' + std::to_string(static_cast<int>(entry.status_));
    for (const auto c : text) {
        hash = (hash ^ static_cast<unsigned char>(c)) * Prime;
    }
    return hash;
}
} // namespace

auto isLive(const MemberEntry &entry) -> bool
{
    return entry.status_ == MemberStatus::Alive || entry.status_ == MemberStatus::Leaving;
}

MemberTable::MemberTable(const MembershipOptions &options)
    : options_(options)
{
}

auto MemberTable::merge(const MemberEntry &entry, SteadyTime now) -> bool
{
    if (entry.id_.isEmpty() || entry.zone_.isEmpty() || entry.address_.empty() || entry.id_ == options_.self_) {
        return false;
    }
    // An end older than the retention time may already have been purged, so it must not be added again.
    if (!isLive(entry) && entry.endedAge_ >= options_.endedRetention_) {
        return false;
    }
    const auto found = members_.find(entry.id_);
    if (found != members_.end() && precedence(entry) <= precedence(found->second.entry_)) {
        return false;
    }
    auto &member = members_[entry.id_];
    if (member.entry_.incarnation_ != entry.incarnation_) {
        member.report_.reset();
    }
    member.entry_ = entry;
    member.endedAt_ = now - entry.endedAge_;
    return true;
}

auto MemberTable::storeReport(const InstanceId &id, NodeState state, SteadyTime receivedAt) -> void
{
    if (const auto found = members_.find(id); found != members_.end()) {
        found->second.report_ = ReportedState{std::move(state), receivedAt};
    }
}

auto MemberTable::markDead(const InstanceId &id, SteadyTime now) -> std::optional<MemberEntry>
{
    const auto found = members_.find(id);
    if (found == members_.end() || !isLive(found->second.entry_)) {
        return std::nullopt;
    }
    found->second.entry_.status_ = MemberStatus::Dead;
    found->second.endedAt_ = now;
    found->second.report_.reset();
    return found->second.entry_;
}

auto MemberTable::purge(SteadyTime now) -> void
{
    std::erase_if(members_, [&](const auto &item) {
        return !isLive(item.second.entry_) && now - item.second.endedAt_ >= options_.endedRetention_;
    });
}

auto MemberTable::find(const InstanceId &id) const -> const Member *
{
    const auto found = members_.find(id);
    return found == members_.end() ? nullptr : &found->second;
}

auto MemberTable::members() const -> const std::map<InstanceId, Member> &
{
    return members_;
}

auto MemberTable::livePeers(const AvailabilityZoneId &zone) const -> std::vector<const Member *>
{
    std::vector<const Member *> peers;
    for (const auto &[id, member] : members_) {
        if (member.entry_.zone_ == zone && isLive(member.entry_)) {
            peers.push_back(&member);
        }
    }
    return peers;
}

auto MemberTable::allLivePeers() const -> std::vector<const Member *>
{
    std::vector<const Member *> peers;
    for (const auto &[id, member] : members_) {
        if (isLive(member.entry_)) {
            peers.push_back(&member);
        }
    }
    return peers;
}

auto MemberTable::ring() const -> std::vector<InstanceId>
{
    std::vector<InstanceId> ids{options_.self_};
    for (const auto *peer : options_.fullMesh_ ? allLivePeers() : livePeers(options_.zone_)) {
        ids.push_back(peer->entry_.id_);
    }
    std::sort(ids.begin(), ids.end());
    return ids;
}

auto MemberTable::neighbours(bool after) const -> std::vector<InstanceId>
{
    const auto ids = ring();
    const auto self = static_cast<std::size_t>(std::lower_bound(ids.begin(), ids.end(), options_.self_) - ids.begin());
    const auto count = options_.fullMesh_ ? ids.size() - 1 : std::min(options_.monitors_, ids.size() - 1);
    std::vector<InstanceId> found;
    for (std::size_t step = 1; step <= count; ++step) {
        found.push_back(ids[(self + (after ? step : ids.size() - step)) % ids.size()]);
    }
    return found;
}

auto MemberTable::successors() const -> std::vector<InstanceId>
{
    return neighbours(true);
}

auto MemberTable::predecessors() const -> std::vector<InstanceId>
{
    return neighbours(false);
}

auto MemberTable::delegateOf(const AvailabilityZoneId &zone) const -> InstanceId
{
    const auto peers = livePeers(zone);
    const auto lowest = peers.empty() ? InstanceId() : peers.front()->entry_.id_;
    if (zone == options_.zone_ && (lowest.isEmpty() || options_.self_ < lowest)) {
        return options_.self_;
    }
    return lowest;
}

auto MemberTable::zones() const -> std::vector<AvailabilityZoneId>
{
    std::set<AvailabilityZoneId> found{options_.zone_};
    for (const auto *peer : allLivePeers()) {
        found.insert(peer->entry_.zone_);
    }
    return {found.begin(), found.end()};
}

auto MemberTable::fingerprint(const AvailabilityZoneId &zone, const MemberEntry &self) const -> std::uint32_t
{
    // A sum of the members' hashes does not depend on their order, so this instance's entry can be added separately.
    std::uint32_t sum = self.zone_ == zone && isLive(self) ? hashOf(self) : 0;
    for (const auto *peer : livePeers(zone)) {
        sum += hashOf(peer->entry_);
    }
    return sum;
}

auto MemberTable::exported(const Member &member, SteadyTime now) const -> std::optional<MemberEntry>
{
    auto entry = member.entry_;
    if (!isLive(entry)) {
        const auto age = std::chrono::ceil<std::chrono::seconds>(now - member.endedAt_);
        if (age >= options_.endedRetention_ / 2) {
            return std::nullopt;
        }
        entry.endedAge_ = age;
    }
    return entry;
}
} // namespace Marjoramfold
