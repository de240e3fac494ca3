#pragma once

#include "marjoramfold/membership/membershipstate.h"

#include <deque>
#include <map>

namespace Marjoramfold
{
/// Carries the digests of availability zones: between delegates, and from a delegate to all members of its zone.
class DigestExchange
{
public:
    explicit DigestExchange(MembershipState &state);

    /// For a delegate: makes a digest, sends it to the other delegates and starts gossip in the zone.
    auto run(SteadyTime now) -> void;

    /// Takes the digest of another zone's delegate.
    auto receive(const DigestMessage &message, const InstanceId &sender, Incarnation incarnation, SteadyTime receivedAt, SteadyTime now) -> void;

    /// Takes gossip and passes it on once.
    auto receive(ZoneGossip message, SteadyTime receivedAt, SteadyTime now) -> void;

    /// Asks for a member table when the digest of a zone has shown other members than the own table for some time.
    auto repairMembers(SteadyTime now) -> void;

private:
    struct SentDigest {
        std::uint32_t counter_ = 0;
        SteadyTime at_;
    };

    /// The newest digest that arrived from a delegate.
    struct ReceivedDigest {
        Incarnation incarnation_ = 0;
        std::uint32_t counter_ = 0;
        SteadyTime at_;
    };

    /// The newest gossip of a delegate.
    struct SeenGossip {
        Incarnation incarnation_ = 0;
        std::uint32_t counter_ = 0;
    };

    auto sendDigests(const ZoneDigest &digest, SteadyTime now) -> void;
    auto forward(const ZoneGossip &message) -> void;
    [[nodiscard]] auto sentAt(std::uint32_t counter) const -> std::optional<SteadyTime>;
    [[nodiscard]] auto capacitiesOfZone(SteadyTime now) const -> std::vector<ZoneCapacity>;

    MembershipState &state_;
    std::uint32_t counter_;
    std::deque<SentDigest> sent_;
    std::map<InstanceId, ReceivedDigest> received_;
    std::map<InstanceId, SeenGossip> seen_;
    /// Since when the members of a zone have differed.
    std::map<AvailabilityZoneId, SteadyTime> differing_;
};
} // namespace Marjoramfold
