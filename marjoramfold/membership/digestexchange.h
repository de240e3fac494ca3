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

    /// Takes gossip and passes on what is new in it.
    auto receive(const ZoneGossip &message, SteadyTime receivedAt, SteadyTime now) -> void;

    /// Whom to compare the members of a zone with.
    struct Difference {
        AvailabilityZoneId zone_;
        InstanceId with_;
    };

    /// Zones whose digests have shown other members than the own table for some time.
    [[nodiscard]] auto findDifferences(SteadyTime now) -> std::vector<Difference>;

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

    struct Speaker {
        InstanceId id_;
        SteadyTime heardAt_;
        /// Counter of this instance's digest that the speaker had received last.
        std::uint32_t echoedCounter_ = 0;
    };

    /// The last digest of a zone that was passed on in the own zone.
    struct Gossiped {
        std::uint32_t counter_ = 0;
        std::uint32_t contentHash_ = 0;
        /// Rounds that still carry the whole digest.
        int wholeRounds_ = 0;
    };

    auto sendDigests(const ZoneDigest &digest, SteadyTime now) -> void;
    /// The instance that speaks for a zone: the one whose digest came last, else the lowest live id. The two differ while this
    /// instance has not heard that a lower id ended.
    [[nodiscard]] auto speakerOf(const AvailabilityZoneId &zone, SteadyTime now) const -> InstanceId;
    [[nodiscard]] auto isUpToDate(const AvailabilityZoneId &zone, SteadyTime now) const -> bool;
    auto noteOwnContent(const ZoneDigest &digest) -> void;
    [[nodiscard]] auto needsWholeGossip(const ZoneDigest &digest) -> bool;
    auto startGossip(SteadyTime now) -> void;
    auto forward(const ZoneGossip &message) -> void;
    [[nodiscard]] auto isCapacityRound() const -> bool;
    [[nodiscard]] auto sentAt(std::uint32_t counter) const -> std::optional<SteadyTime>;
    [[nodiscard]] auto capacitiesOfZone(SteadyTime now) const -> std::vector<AdvertisedCapacity>;

    MembershipState &state_;
    std::uint32_t counter_;
    std::deque<SentDigest> sent_;
    std::map<InstanceId, ReceivedDigest> received_;
    std::map<AvailabilityZoneId, Gossiped> gossiped_;
    std::map<AvailabilityZoneId, AdvertisedCapacity> gossipedCapacities_;
    std::uint32_t ownContentHash_ = 0;
    /// Rounds in which all receivers get whole digests, after the own zone changed.
    int wholeRounds_ = 0;
    /// Sender of the last digest of each zone.
    std::map<AvailabilityZoneId, Speaker> speakers_;
    /// Since when the members of a zone have differed.
    std::map<AvailabilityZoneId, SteadyTime> differing_;
};
} // namespace Marjoramfold
