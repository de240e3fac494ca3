#pragma once

#include "marjoramfold/membership/failuredetector.h"
#include "marjoramfold/membership/membertable.h"
#include "marjoramfold/membership/zonetable.h"

#include <optional>
#include <string>
#include <vector>

namespace Marjoramfold
{
/// Entry and state of this instance.
struct LocalMember {
    MemberEntry entry_;
    NodeState state_;
    /// When the state was set; the ages in it are relative to this time.
    SteadyTime stateSetAt_;
    /// Time of the last event.
    SteadyTime now_;
};

/// A live instance other than this one.
struct LivePeer {
    InstanceId id_;
    AvailabilityZoneId zone_;
    std::string address_;
    Incarnation incarnation_ = 0;
    bool leaving_ = false;
    bool suspected_ = false;
};

/// An instance that ended: confirmed dead, or stopped in an orderly way.
struct EndedInstance {
    InstanceId id_;
    AvailabilityZoneId zone_;
    Incarnation incarnation_ = 0;
    bool left_ = false;
    /// When the end became known to the first instance, on this instance's clock.
    SteadyTime since_;
};

/// A confirmation that a rule version was the newest, relayed by an availability zone.
struct RelayedConfirmation {
    AvailabilityZoneId zone_;
    /// Useful only to an instance that has this version in force.
    Offset version_ = 0;
    /// Time since the confirming read began, transport included.
    std::chrono::milliseconds age_{0};
};

/// Whether the availability zones of a list respond, and whether any of them can read the log.
struct ZonesLogAnswer {
    bool allAnswer_ = false;
    /// True when every live instance of every listed zone recently reported that it cannot read the log.
    bool noneCanRead_ = false;
};

/// Rule version in force in an availability zone.
struct ZoneInForce {
    AvailabilityZoneId zone_;
    bool answers_ = false;
    /// All live instances of the zone have the version, or a newer one, in force.
    bool inForce_ = false;
    /// When this instance first learned that it was in force.
    std::optional<SteadyTime> since_;
    /// Live instances that have not confirmed the version.
    unsigned unconfirmed_ = 0;
    /// Highest version that is in force on all live instances; 0 for none.
    Offset lowestVersion_ = 0;
};

/// The newest rule version that any instance is known to have, and an instance that has it.
struct NewestRules {
    Offset version_ = 0;
    /// Empty when only this instance has the version.
    InstanceId holder_;
    std::string address_;
};

/// Zones whose confirmations are considered.
enum class ConfirmationScope {
    OtherZones,
    AllZones,
};

/// Queries about the members and zones, for the control thread.
class MembershipView
{
public:
    MembershipView(
        const MembershipOptions &options, const LocalMember &self, const MemberTable &table, const ZoneTable &zoneTable, const FailureDetector &detector);

    [[nodiscard]] auto self() const -> const MemberEntry &;

    /// True when this instance is the delegate of its availability zone.
    [[nodiscard]] auto isDelegate() const -> bool;

    /// Availability zones with live members, and the local one.
    [[nodiscard]] auto zones() const -> std::vector<AvailabilityZoneId>;

    /// True for another zone without a digest for so long that its members do not count as live peers.
    [[nodiscard]] auto isUnreachable(const AvailabilityZoneId &zone) const -> bool;

    /// Live instances of a zone except this one, in order of id; none when the zone is unreachable.
    [[nodiscard]] auto livePeers(const AvailabilityZoneId &zone) const -> std::vector<LivePeer>;

    /// Live instances of all reachable zones except this one, in order of id.
    [[nodiscard]] auto livePeers() const -> std::vector<LivePeer>;

    /// A live instance of a reachable zone, by its id.
    [[nodiscard]] auto livePeer(const InstanceId &id) const -> std::optional<LivePeer>;

    /// Instances that ended within the retention time, in order of id.
    [[nodiscard]] auto ended() const -> std::vector<EndedInstance>;

    /// True when this incarnation of an instance is known to have ended, or a later one is known.
    [[nodiscard]] auto hasEnded(const InstanceId &id, Incarnation incarnation) const -> bool;

    /// The freshest confirmation of the rules that a digest relayed.
    [[nodiscard]] auto freshestConfirmation(ConfirmationScope scope, SteadyTime now) const -> std::optional<RelayedConfirmation>;

    /// Whether all zones of a list respond, and none can read the log.
    [[nodiscard]] auto logAnswer(const std::vector<AvailabilityZoneId> &zones, SteadyTime now) const -> ZonesLogAnswer;

    /// True when the zone's digest is recent enough to show that the zone responds; always for the local zone.
    [[nodiscard]] auto answers(const AvailabilityZoneId &zone, SteadyTime now) const -> bool;

    /// Whether a rule version is in force in a zone.
    [[nodiscard]] auto inForce(const AvailabilityZoneId &zone, Offset version, SteadyTime now) const -> ZoneInForce;

    /// The newest known rule version and an instance to fetch it from.
    [[nodiscard]] auto newestRules() const -> NewestRules;

    /// Free capacity of a zone as its owner last advertised it.
    [[nodiscard]] auto capacity(const AvailabilityZoneId &zone) const -> std::optional<AdvertisedCapacity>;

    /// Digest of the local zone from the reports that this instance has.
    [[nodiscard]] auto makeDigest(std::uint32_t counter, SteadyTime now) const -> ZoneDigest;

    /// State of this instance with its ages updated.
    [[nodiscard]] auto localState(SteadyTime now) const -> NodeState;

private:
    [[nodiscard]] auto toLivePeer(const MemberEntry &entry) const -> LivePeer;
    [[nodiscard]] auto digestFor(const AvailabilityZoneId &zone, SteadyTime now) const -> std::optional<KnownDigest>;
    [[nodiscard]] auto zoneStates(SteadyTime now) const -> std::vector<std::optional<NodeState>>;
    auto replaceIfNewer(NewestRules &newest, Offset version, const InstanceId &holder) const -> void;

    const MembershipOptions &options_;
    const LocalMember &self_;
    const MemberTable &table_;
    const ZoneTable &zoneTable_;
    const FailureDetector &detector_;
};
} // namespace Marjoramfold
