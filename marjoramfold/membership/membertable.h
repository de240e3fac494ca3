#pragma once

#include "marjoramfold/core/clock.h"
#include "marjoramfold/membership/membershipoptions.h"
#include "marjoramfold/membership/peermessages.h"

#include <map>
#include <optional>
#include <vector>

namespace Marjoramfold
{
/// State that a member reported, and its time of arrival.
struct ReportedState {
    NodeState state_;
    SteadyTime receivedAt_;
};

/// Last known entry and report of another instance.
struct Member {
    MemberEntry entry_;
    /// For ended members: when the end became known to the first instance, on this instance's clock.
    SteadyTime endedAt_;
    std::optional<ReportedState> report_;
};

/// True for members that are alive or leaving.
[[nodiscard]] auto isLive(const MemberEntry &entry) -> bool;

/// All known instances except this one, ordered by id so that every instance derives the same ring and the same delegates.
class MemberTable
{
public:
    explicit MemberTable(const MembershipOptions &options);

    /// Stores an entry if it is newer than the known one. True when it changed the table.
    auto merge(const MemberEntry &entry, SteadyTime now) -> bool;

    auto storeReport(const InstanceId &id, NodeState state, SteadyTime receivedAt) -> void;

    /// Marks a live member as dead; returns its entry.
    auto markDead(const InstanceId &id, SteadyTime now) -> std::optional<MemberEntry>;

    /// Removes members that ended longer ago than the retention time.
    auto purge(SteadyTime now) -> void;

    [[nodiscard]] auto find(const InstanceId &id) const -> const Member *;

    [[nodiscard]] auto members() const -> const std::map<InstanceId, Member> &;

    /// Live members of an availability zone, without this instance, in order of id.
    [[nodiscard]] auto livePeers(const AvailabilityZoneId &zone) const -> std::vector<const Member *>;

    /// All live members except this instance.
    [[nodiscard]] auto allLivePeers() const -> std::vector<const Member *>;

    /// Ordered live ids of the local zone, including this instance; with full mesh, of all zones.
    [[nodiscard]] auto ring() const -> std::vector<InstanceId>;

    /// The ids after this instance in the ring, which monitor it.
    [[nodiscard]] auto successors() const -> std::vector<InstanceId>;

    /// The ids before this instance in the ring, which it monitors.
    [[nodiscard]] auto predecessors() const -> std::vector<InstanceId>;

    /// The lowest live id of an availability zone; empty when none is known.
    [[nodiscard]] auto delegateOf(const AvailabilityZoneId &zone) const -> InstanceId;

    /// Ordered availability zones of live members and of this instance.
    [[nodiscard]] auto zones() const -> std::vector<AvailabilityZoneId>;

    /// Fingerprint of the live members of a zone, equal on all instances with equal entries; `self` is this instance's entry.
    [[nodiscard]] auto fingerprint(const AvailabilityZoneId &zone, const MemberEntry &self) const -> std::uint32_t;

    /// Entry of a member to forward now; empty when it ended too long ago to be forwarded.
    [[nodiscard]] auto exported(const Member &member, SteadyTime now) const -> std::optional<MemberEntry>;

private:
    [[nodiscard]] auto neighbours(bool after) const -> std::vector<InstanceId>;

    const MembershipOptions &options_;
    std::map<InstanceId, Member> members_;
};
} // namespace Marjoramfold
