#pragma once

#include "marjoramfold/membership/membershipstate.h"

#include <random>
#include <set>
#include <vector>

namespace Marjoramfold
{
/// Spreads changes of the member table: at once by broadcast within a zone and between delegates, and slowly by anti-entropy.
class MemberUpdates
{
public:
    explicit MemberUpdates(MembershipState &state);

    /// Takes entries that another instance sent.
    auto receive(const MemberUpdate &update, const InstanceId &sender, SteadyTime now) -> void;

    /// Takes one entry, from another instance or from the detector's own findings.
    auto apply(const MemberEntry &entry, const AvailabilityZoneId &learnedFrom, SteadyTime now) -> void;

    /// Marks a member as dead and tells the others.
    auto confirmDead(const InstanceId &id, SteadyTime now) -> void;

    /// Sends what changed since the last call.
    auto flush() -> void;

    /// Tells everyone about a change of this instance's own entry.
    auto announceSelf() -> void;

    /// Sends the whole table to an instance.
    auto sendTable(const InstanceId &recipient, const std::string &address, SteadyTime now) -> void;

    /// Sends the entries of a zone to an instance.
    auto sendZone(const AvailabilityZoneId &zone, const InstanceId &recipient, SteadyTime now) -> void;

    /// Sends the next few entries to a random peer.
    auto sendAntiEntropy(SteadyTime now) -> void;

private:
    /// A changed entry, and the zone that it was learned from; empty for this instance's own finding.
    struct Change {
        MemberEntry entry_;
        AvailabilityZoneId learnedFrom_;
    };

    auto refute(const MemberEntry &entry) -> void;
    auto sendEntries(const std::vector<MemberEntry> &entries, const InstanceId &recipient, const std::string &address) -> void;
    [[nodiscard]] auto antiEntropyPeer() -> InstanceId;
    /// An entry as it is passed on to a member of a zone, if it is passed on at all.
    [[nodiscard]] auto exportedTo(const AvailabilityZoneId &recipientZone, const Member &member, SteadyTime now) const -> std::optional<MemberEntry>;
    [[nodiscard]] auto zoneOf(const InstanceId &id) const -> AvailabilityZoneId;

    MembershipState &state_;
    std::vector<Change> changes_;
    std::minstd_rand random_;
    InstanceId antiEntropyCursor_;
};
} // namespace Marjoramfold
