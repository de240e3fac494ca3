#pragma once

#include "marjoramfold/core/ids.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace Marjoramfold
{
/// Identifies one run of a process of an instance: made at start from the time of day, so that a later run has a higher one.
using Incarnation = std::uint64_t;

/// Largest datagram in bytes; below the usual path MTU so that no datagram is fragmented.
constexpr std::size_t MaxDatagramBytes = 1'200;

/// Largest frame on a TCP connection between peers, in bytes.
constexpr std::size_t MaxFrameBytes = 1U << 20U;

/// Longest instance, zone or target identifier in a message, in bytes.
constexpr std::size_t MaxPeerIdBytes = 64;

/// Longest HOST:PORT in a message, in bytes.
constexpr std::size_t MaxPeerAddressBytes = 128;

/// Most availability zones that one message may describe.
constexpr std::size_t MaxZonesInMessage = 32;

/// Most members in one update.
constexpr std::size_t MaxMembersInMessage = 32;

/// Most different versions that the digest of an availability zone counts; older ones are merged into the last.
constexpr std::size_t MaxVersionsInDigest = 4;

/// Most leaving targets in one target list.
constexpr std::size_t MaxTargetsInMessage = 4'096;

/// Life of a member as others know it. A higher value wins over a lower one of the same incarnation and refutation.
enum class MemberStatus : std::uint8_t {
    Alive,
    Leaving,
    Dead,
    /// The process said that it stops; no detection was needed.
    Left,
};

/// What one instance knows about another.
struct MemberEntry {
    InstanceId id_;
    AvailabilityZoneId zone_;
    /// HOST:PORT of the member's UDP socket and TCP server, which share a port number.
    std::string address_;
    Incarnation incarnation_ = 0;
    /// Counts how often the process refuted a wrong confirmation of its death.
    std::uint32_t refutation_ = 0;
    MemberStatus status_ = MemberStatus::Alive;
    /// For Dead and Left: time since the end became known, added up along relays.
    std::chrono::seconds endedAge_{0};
};

/// Free capacity of an availability zone as its owner states it. A higher epoch wins, then a higher counter.
struct AdvertisedCapacity {
    AvailabilityZoneId zone_;
    Epoch epoch_;
    std::uint32_t counter_ = 0;
    std::uint32_t freeAccelerators_ = 0;
    std::uint32_t largestFreeGang_ = 0;
    std::uint32_t waitingJobs_ = 0;
};

/// State of one instance that the others need.
struct NodeState {
    /// Rule version in force at the instance.
    Offset ruleVersion_ = 0;
    /// Time since the instance confirmed by its own read of the log that this version is the newest.
    std::optional<std::chrono::milliseconds> confirmationAge_;
    bool logReadable_ = false;
    /// Capacities of the availability zones that the instance owns.
    std::vector<AdvertisedCapacity> capacities_;
};

/// Number of live instances with a rule version in force.
struct VersionCount {
    Offset version_ = 0;
    std::uint16_t instances_ = 0;

    auto operator==(const VersionCount &) const -> bool = default;
};

/// What the live instances of an availability zone together know about the log.
enum class ZoneLogState : std::uint8_t {
    /// Some instance has not said recently whether it can read the log, and none said that it can.
    Unknown,
    Readable,
    /// Every live instance said recently that it cannot read the log.
    Unreadable,
};

/// Summary of an availability zone, made by its delegate: its member with the lowest live id.
struct ZoneDigest {
    AvailabilityZoneId zone_;
    /// Rises with each digest of a delegate; starts at a number that differs between processes.
    std::uint32_t counter_ = 0;
    /// Time since the delegate made the digest, added up along relays.
    std::chrono::milliseconds age_{0};
    /// Freshest confirmation in the zone when the digest was made, and the version that it confirms.
    std::optional<std::chrono::milliseconds> confirmationAge_;
    Offset confirmedVersion_ = 0;
    ZoneLogState logState_ = ZoneLogState::Unknown;
    /// True when the delegate itself has the newest version of its zone, so that it can be asked for the text.
    bool delegateHasNewest_ = false;
    std::uint16_t liveInstances_ = 0;
    std::uint16_t drainingInstances_ = 0;
    /// Fingerprint of the live members of the zone, so that others notice when their member tables differ.
    std::uint32_t membersFingerprint_ = 0;
    /// Versions in force, newest first. Instances that have not reported count under version 0.
    std::vector<VersionCount> versions_;
};

/// Stands for a digest that differs from an earlier one only in its counter and ages. At ten availability zones whole digests
/// every second would exceed the budget of a delegate.
struct DigestRefresh {
    /// Hash of the zone's name.
    std::uint32_t zoneKey_ = 0;
    std::uint32_t counter_ = 0;
    /// Hash of the fields that are left out.
    std::uint32_t contentHash_ = 0;
    std::chrono::milliseconds age_{0};
    std::optional<std::chrono::milliseconds> confirmationAge_;
};

/// Sent every heartbeat interval to the monitors of the sender, and with the state as a report to the delegate.
struct Heartbeat {
    std::uint32_t refutation_ = 0;
    MemberStatus status_ = MemberStatus::Alive;
    std::optional<NodeState> state_;
};

/// Sent by a delegate to the delegates of the other availability zones.
struct DigestMessage {
    /// One of the two is set.
    std::optional<ZoneDigest> digest_;
    std::optional<DigestRefresh> refresh_;
    std::vector<AdvertisedCapacity> capacities_;
    /// Counter of the newest digest that arrived from the receiver; 0 for none.
    std::uint32_t echoedCounter_ = 0;
    /// Time between the arrival of that digest and the sending of this one.
    std::chrono::milliseconds echoHeld_{0};
};

/// Knowledge of the delegate, passed on inside its availability zone.
struct ZoneGossip {
    std::vector<ZoneDigest> digests_;
    std::vector<DigestRefresh> refreshes_;
    std::vector<AdvertisedCapacity> capacities_;
};

/// Entries of the sender's member table.
struct MemberUpdate {
    std::vector<MemberEntry> members_;
};

/// Introduces the sender and asks for the whole member table, in updates.
struct SyncRequest {
    MemberEntry self_;
};

/// Asks for a sign of life.
struct Ping {
    std::uint32_t nonce_ = 0;
};

/// Answers a Ping.
struct PingAck {
    std::uint32_t nonce_ = 0;
};

/// Asks a third instance to ping a suspected one.
struct ProbeRequest {
    InstanceId target_;
    std::string address_;
};

/// Tells the asker of a ProbeRequest that the target answered.
struct ProbeAnswer {
    InstanceId target_;
    Incarnation incarnation_ = 0;
};

/// Asks a peer for its rule set, if it is newer than a version.
struct RuleSetRequest {
    Offset newerThan_ = 0;
};

/// The newest rule set of a peer; empty text when it has none that is newer.
struct RuleSetReply {
    Offset version_ = 0;
    std::string text_;
};

/// Passes a request with an issued key to the instance that issued the key.
struct ForwardRequest {
    std::string key_;
    /// Time that is left until the caller's deadline.
    std::chrono::milliseconds remaining_{0};
    std::string body_;
};

/// Answer of the instance that issued the key.
struct ForwardReply {
    std::string body_;
};

/// Targets that the sender knows to be leaving.
struct TargetListMessage {
    std::vector<TargetId> leaving_;
};

/// Tells that a message was received, when there is nothing else to answer.
struct Acknowledgement {
};

/// Refuses a request.
struct PeerRefusal {
    /// Name of an ErrorKind.
    std::string kind_;
    std::string message_;
};

using PeerMessage = std::variant<Heartbeat,
                                 DigestMessage,
                                 ZoneGossip,
                                 MemberUpdate,
                                 SyncRequest,
                                 Ping,
                                 PingAck,
                                 ProbeRequest,
                                 ProbeAnswer,
                                 RuleSetRequest,
                                 RuleSetReply,
                                 ForwardRequest,
                                 ForwardReply,
                                 TargetListMessage,
                                 Acknowledgement,
                                 PeerRefusal>;

/// Number of message types that go by datagram; they are the first ones of PeerMessage.
constexpr std::size_t DatagramMessageTypes = 9;

/// Whether a message goes by datagram or by TCP.
[[nodiscard]] auto isDatagramMessage(const PeerMessage &message) -> bool;

/// Encodes a message: one byte for its type, then its fields as cereal portable binary. Texts and lists that are over
/// their limit are a fault of the caller; std::length_error is thrown then.
[[nodiscard]] auto encodePeerMessage(PeerMessage message) -> std::string;

/// Decodes a message. Empty for malformed bytes, lengths over a limit, and bytes that are left over. Never allocates more
/// than the size of the input allows.
[[nodiscard]] auto decodePeerMessage(const std::string &bytes) -> std::optional<PeerMessage>;

/// Name of the type of a message, for metrics and logs.
[[nodiscard]] auto peerMessageName(const PeerMessage &message) -> std::string_view;
} // namespace Marjoramfold
