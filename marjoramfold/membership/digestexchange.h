#pragma once

#include "marjoramfold/membership/membershipstate.h"

#include <deque>
#include <map>

namespace Marjoramfold
{
/// Exchanges zone digests between delegates and distributes them from a delegate to all members of its zone.
class DigestExchange
{
public:
    explicit DigestExchange(MembershipState &state);

    /// On a delegate: creates a digest, sends it to the other delegates and starts gossip in the zone. No effect on other members.
    auto run(SteadyTime now) -> void;

    /// Processes the digest of another zone's delegate.
    auto receive(const DigestMessage &message, const InstanceId &sender, Incarnation incarnation, SteadyTime receivedAt, SteadyTime now) -> void;

    /// Processes gossip and forwards the items that were new to this instance.
    auto receive(const ZoneGossip &message, SteadyTime receivedAt, SteadyTime now) -> void;

    /// A zone whose member table differs from a peer's, and that peer.
    struct Difference {
        AvailabilityZoneId zone_;
        InstanceId peer_;
    };

    /// Zones whose fingerprint in the digest has differed from the local table's for longer than the repair delay.
    [[nodiscard]] auto findDifferences(SteadyTime now) -> std::vector<Difference>;

private:
    struct SentDigest {
        std::uint32_t counter_ = 0;
        SteadyTime at_;
    };

    /// Newest digest received from a delegate.
    struct ReceivedDigest {
        Incarnation incarnation_ = 0;
        std::uint32_t counter_ = 0;
        SteadyTime at_;
    };

    struct ObservedDelegate {
        InstanceId id_;
        SteadyTime receivedAt_;
        /// Counter of the last digest of this instance that the delegate had received.
        std::uint32_t echoedCounter_ = 0;
    };

    /// Last digest of a zone that was forwarded within the local zone.
    struct ForwardedDigest {
        std::uint32_t counter_ = 0;
        std::uint32_t contentHash_ = 0;
        /// Remaining rounds that carry the full digest.
        int fullRounds_ = 0;
    };

    auto sendDigests(const ZoneDigest &digest, SteadyTime now) -> void;
    /// Delegate of a zone: the sender of its latest digest if that is recent, else the lowest live id. The two differ until this
    /// instance learns that a lower id ended.
    [[nodiscard]] auto observedDelegateOf(const AvailabilityZoneId &zone, SteadyTime now) const -> InstanceId;
    [[nodiscard]] auto isUpToDate(const AvailabilityZoneId &zone, SteadyTime now) const -> bool;
    auto detectOwnChange(const ZoneDigest &digest) -> void;
    [[nodiscard]] auto needsFullDigest(const ZoneDigest &digest) -> bool;
    auto startGossip(SteadyTime now) -> void;
    auto forward(const ZoneGossip &message) -> void;
    [[nodiscard]] auto isCapacityRound() const -> bool;
    [[nodiscard]] auto sentAt(std::uint32_t counter) const -> std::optional<SteadyTime>;
    [[nodiscard]] auto capacitiesOfZone(SteadyTime now) const -> std::vector<AdvertisedCapacity>;

    MembershipState &state_;
    std::uint32_t counter_;
    std::deque<SentDigest> sent_;
    std::map<InstanceId, ReceivedDigest> received_;
    std::map<AvailabilityZoneId, ForwardedDigest> forwardedDigests_;
    std::map<AvailabilityZoneId, AdvertisedCapacity> forwardedCapacities_;
    std::uint32_t ownContentHash_ = 0;
    /// Remaining rounds in which all receivers get full digests, after the local zone changed.
    int fullRounds_ = 0;
    /// Sender of the last digest of each zone.
    std::map<AvailabilityZoneId, ObservedDelegate> observedDelegates_;
    /// Time since which the fingerprint of a zone has differed.
    std::map<AvailabilityZoneId, SteadyTime> differing_;
};
} // namespace Marjoramfold
