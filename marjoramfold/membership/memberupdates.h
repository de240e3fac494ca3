#pragma once

#include "marjoramfold/membership/membershipstate.h"

#include <random>
#include <set>
#include <vector>

namespace Marjoramfold
{
/// Propagates changes of the member table: at once by broadcast within a zone and between delegates, and slowly by anti-entropy.
class MemberUpdates
{
public:
    explicit MemberUpdates(MembershipState &state);

    /// Processes entries that another instance sent.
    auto receive(const MemberUpdate &update, const InstanceId &sender, SteadyTime now) -> void;

    /// Merges one entry and queues it for propagation if it changed the table; refutes a wrong entry about this instance.
    auto apply(const MemberEntry &entry, const AvailabilityZoneId &learnedFrom, SteadyTime now) -> void;

    /// Marks a member as dead and queues the change for propagation.
    auto confirmDead(const InstanceId &id, SteadyTime now) -> void;

    /// Sends the queued changes.
    auto flush() -> void;

    /// Queues a change of this instance's own entry for propagation.
    auto announceSelf() -> void;

    /// Sends the whole table to an instance.
    auto sendTable(const InstanceId &recipient, const std::string &address, SteadyTime now) -> void;

    /// Sends the entries of a zone to an instance.
    auto sendZone(const AvailabilityZoneId &zone, const InstanceId &recipient, SteadyTime now) -> void;

    /// Sends the next few entries to a random peer.
    auto sendAntiEntropy(SteadyTime now) -> void;

private:
    /// A changed entry, and the zone that it was learned from; empty when this instance detected the change.
    struct Change {
        MemberEntry entry_;
        AvailabilityZoneId learnedFrom_;
    };

    auto refute(const MemberEntry &entry) -> void;
    auto sendEntries(const std::vector<MemberEntry> &entries, const InstanceId &recipient, const std::string &address) -> void;
    [[nodiscard]] auto antiEntropyPeer() -> InstanceId;
    /// Entry to forward to a member of a zone; empty when it is not forwarded.
    [[nodiscard]] auto exportedTo(const AvailabilityZoneId &recipientZone, const Member &member, SteadyTime now) const -> std::optional<MemberEntry>;
    [[nodiscard]] auto zoneOf(const InstanceId &id) const -> AvailabilityZoneId;

    MembershipState &state_;
    std::vector<Change> changes_;
    std::minstd_rand random_;
    InstanceId antiEntropyCursor_;
};
} // namespace Marjoramfold
