#pragma once

#include "marjoramfold/membership/failuredetector.h"
#include "marjoramfold/membership/membertable.h"
#include "marjoramfold/membership/zonetable.h"

#include <optional>
#include <string>
#include <vector>

namespace Marjoramfold
{
/// What this instance says about itself.
struct LocalMember {
    MemberEntry entry_;
    NodeState state_;
    /// When the state was set; ages in the state count from then.
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

/// An instance that ended: confirmed dead, or left by itself.
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

/// Whether the availability zones of a list answer, and whether one of them can read the log.
struct ZonesLogAnswer {
    bool allAnswer_ = false;
    /// True when every live instance of every zone of the list said recently that it cannot read the log.
    bool noneCanRead_ = false;
};

/// Rule version in force in an availability zone.
struct ZoneInForce {
    AvailabilityZoneId zone_;
    bool answers_ = false;
    /// All live instances of the zone have the version, or a newer one, in force.
    bool inForce_ = false;
    /// When this instance first saw it so.
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

/// Which confirmations are looked at.
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

    /// This instance's own entry.
    [[nodiscard]] auto self() const -> const MemberEntry &;

    /// True when this instance is the delegate of its availability zone.
    [[nodiscard]] auto isDelegate() const -> bool;

    /// Availability zones with live members, and the own one.
    [[nodiscard]] auto zones() const -> std::vector<AvailabilityZoneId>;

    /// True for another zone that has not been heard of for so long that its members do not count as live peers.
    [[nodiscard]] auto isSilent(const AvailabilityZoneId &zone) const -> bool;

    /// Live instances of a zone that is not silent, in order of id, without this one.
    [[nodiscard]] auto livePeers(const AvailabilityZoneId &zone) const -> std::vector<LivePeer>;

    /// All live instances of zones that are not silent, besides this one, in order of id.
    [[nodiscard]] auto livePeers() const -> std::vector<LivePeer>;

    /// A live instance of a zone that is not silent, by its id.
    [[nodiscard]] auto livePeer(const InstanceId &id) const -> std::optional<LivePeer>;

    /// Instances that ended within the retention time, in order of id.
    [[nodiscard]] auto ended() const -> std::vector<EndedInstance>;

    /// True when this run of an instance, or a later one that ended too, is known to have ended, or a later run is alive.
    [[nodiscard]] auto hasEnded(const InstanceId &id, Incarnation incarnation) const -> bool;

    /// The freshest confirmation of the rules by another instance.
    [[nodiscard]] auto freshestConfirmation(ConfirmationScope scope, SteadyTime now) const -> std::optional<RelayedConfirmation>;

    /// Whether all zones of a list answer, and none can read the log.
    [[nodiscard]] auto logAnswer(const std::vector<AvailabilityZoneId> &zones, SteadyTime now) const -> ZonesLogAnswer;

    /// True when a digest of the zone is fresh enough to count as an answer; for the own zone always.
    [[nodiscard]] auto answers(const AvailabilityZoneId &zone, SteadyTime now) const -> bool;

    /// State of a version in a zone.
    [[nodiscard]] auto inForce(const AvailabilityZoneId &zone, Offset version, SteadyTime now) const -> ZoneInForce;

    /// The newest known rule version.
    [[nodiscard]] auto newestRules() const -> NewestRules;

    /// Free capacity of a zone as its owner last stated it.
    [[nodiscard]] auto capacity(const AvailabilityZoneId &zone) const -> std::optional<AdvertisedCapacity>;

    /// The digest of the own zone as its delegate would make it now.
    [[nodiscard]] auto makeDigest(std::uint32_t counter, SteadyTime now) const -> ZoneDigest;

    /// State of this instance with its ages brought up to date.
    [[nodiscard]] auto localState(SteadyTime now) const -> NodeState;

private:
    [[nodiscard]] auto toLivePeer(const MemberEntry &entry) const -> LivePeer;
    [[nodiscard]] auto digestFor(const AvailabilityZoneId &zone, SteadyTime now) const -> std::optional<KnownDigest>;
    [[nodiscard]] auto zoneStates(SteadyTime now) const -> std::vector<std::optional<NodeState>>;
    auto offerHolder(NewestRules &newest, Offset version, const InstanceId &holder) const -> void;

    const MembershipOptions &options_;
    const LocalMember &self_;
    const MemberTable &table_;
    const ZoneTable &zoneTable_;
    const FailureDetector &detector_;
};
} // namespace Marjoramfold
