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
/// Identifies one run of an instance's process: derived from the time of day at start, so that a later run has a higher one.
using Incarnation = std::uint64_t;

/// Largest datagram in bytes; below the usual path MTU, so that datagrams are not fragmented.
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

/// Status of a member. A higher value supersedes a lower one of the same incarnation and refutation.
enum class MemberStatus : std::uint8_t {
    Alive,
    Leaving,
    Dead,
    /// The process announced that it stops, so failure detection was not involved.
    Left,
};

/// Membership entry of one instance.
struct MemberEntry {
    InstanceId id_;
    AvailabilityZoneId zone_;
    /// HOST:PORT of the member's UDP socket and TCP server, which share a port number.
    std::string address_;
    Incarnation incarnation_ = 0;
    /// Number of times that the process refuted an entry that wrongly declared it dead.
    std::uint32_t refutation_ = 0;
    MemberStatus status_ = MemberStatus::Alive;
    /// For Dead and Left: time since the end became known, accumulated along relays.
    std::chrono::seconds endedAge_{0};
};

/// Free capacity of an availability zone as its owner advertises it. A higher epoch supersedes, then a higher counter.
struct AdvertisedCapacity {
    AvailabilityZoneId zone_;
    Epoch epoch_;
    std::uint32_t counter_ = 0;
    std::uint32_t freeAccelerators_ = 0;
    std::uint32_t largestFreeGang_ = 0;
    std::uint32_t waitingJobs_ = 0;
};

/// State that an instance reports to others.
struct NodeState {
    /// Rule version in force at the instance.
    Offset ruleVersion_ = 0;
    /// Time since the instance last confirmed, by its own read of the log, that this version is the newest.
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

/// Combined readability of the log from the live instances of an availability zone.
enum class ZoneLogState : std::uint8_t {
    /// No instance recently reported that it can read the log, and some reported nothing.
    Unknown,
    Readable,
    /// Every live instance recently reported that it cannot read the log.
    Unreadable,
};

/// Summary of an availability zone, created by its delegate, the member with the lowest live id.
struct ZoneDigest {
    AvailabilityZoneId zone_;
    /// Incremented with each digest of a delegate; its initial value differs between incarnations.
    std::uint32_t counter_ = 0;
    /// Time since the delegate created the digest, accumulated along relays.
    std::chrono::milliseconds age_{0};
    /// Age of the freshest confirmation in the zone when the digest was created, and the version that it confirms.
    std::optional<std::chrono::milliseconds> confirmationAge_;
    Offset confirmedVersion_ = 0;
    ZoneLogState logState_ = ZoneLogState::Unknown;
    /// True when the delegate itself has the newest version of its zone, so that the text can be fetched from it.
    bool delegateHasNewest_ = false;
    std::uint16_t liveInstances_ = 0;
    std::uint16_t drainingInstances_ = 0;
    /// Fingerprint of the live members of the zone, to detect differing member tables.
    std::uint32_t membersFingerprint_ = 0;
    /// Versions in force, newest first. Instances that have not reported are counted under version 0.
    std::vector<VersionCount> versions_;
};

/// Replaces a digest that differs from an earlier one only in its counter and ages. With ten availability zones, full digests
/// every second would exceed the traffic budget of a delegate.
struct DigestRefresh {
    /// Hash of the zone's name.
    std::uint32_t zoneKey_ = 0;
    std::uint32_t counter_ = 0;
    /// Hash of the omitted fields.
    std::uint32_t contentHash_ = 0;
    std::chrono::milliseconds age_{0};
    std::optional<std::chrono::milliseconds> confirmationAge_;
};

/// Sent every heartbeat interval to the monitors of the sender; with the state, it is a report to the delegate.
struct Heartbeat {
    std::uint32_t refutation_ = 0;
    MemberStatus status_ = MemberStatus::Alive;
    std::optional<NodeState> state_;
};

/// Sent by a delegate to the delegates of the other availability zones.
struct DigestMessage {
    /// Exactly one of digest_ and refresh_ is set.
    std::optional<ZoneDigest> digest_;
    std::optional<DigestRefresh> refresh_;
    std::vector<AdvertisedCapacity> capacities_;
    /// Counter of the newest digest received from the recipient; 0 for none.
    std::uint32_t echoedCounter_ = 0;
    /// Time between receiving that digest and sending this one.
    std::chrono::milliseconds echoDelay_{0};
};

/// Digests and capacities that a delegate distributes within its availability zone.
struct ZoneGossip {
    std::vector<ZoneDigest> digests_;
    std::vector<DigestRefresh> refreshes_;
    std::vector<AdvertisedCapacity> capacities_;
};

/// Entries of the sender's member table.
struct MemberUpdate {
    std::vector<MemberEntry> members_;
};

/// Contains the sender's entry and requests the full member table, sent as updates.
struct SyncRequest {
    MemberEntry self_;
};

/// Probes whether the recipient is alive.
struct Ping {
    std::uint32_t nonce_ = 0;
};

/// Reply to a Ping.
struct PingAck {
    std::uint32_t nonce_ = 0;
};

/// Asks the recipient to ping a suspected instance on behalf of the sender.
struct ProbeRequest {
    InstanceId target_;
    std::string address_;
};

/// Reports to the sender of a ProbeRequest that the target answered.
struct ProbeAnswer {
    InstanceId target_;
    Incarnation incarnation_ = 0;
};

/// Requests a peer's rule set if it is newer than a version.
struct RuleSetRequest {
    Offset newerThan_ = 0;
};

/// The newest rule set of a peer; the text is empty when it is not newer.
struct RuleSetReply {
    Offset version_ = 0;
    std::string text_;
};

/// Forwards a request with an issued key to the instance that issued the key.
struct ForwardRequest {
    std::string key_;
    /// Remaining time until the caller's deadline.
    std::chrono::milliseconds remaining_{0};
    std::string body_;
};

/// Response of the instance that issued the key.
struct ForwardReply {
    std::string body_;
};

/// Targets that the sender knows to be leaving.
struct TargetListMessage {
    std::vector<TargetId> leaving_;
};

/// Confirms receipt of a message that has no other reply.
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

/// Number of message types sent as datagrams; they are the first alternatives of PeerMessage.
constexpr std::size_t DatagramMessageTypes = 9;

/// True for message types that are sent as datagrams, false for those over TCP.
[[nodiscard]] auto isDatagramMessage(const PeerMessage &message) -> bool;

/// Encodes a message: one byte for its type, then its fields as cereal portable binary. Throws std::length_error for texts and
/// lists that exceed their limit, which is a programming error of the caller.
[[nodiscard]] auto encodePeerMessage(PeerMessage message) -> std::string;

/// Decodes a message. Empty for malformed bytes, lengths over a limit, and trailing bytes. Memory use is bounded by the size
/// of the input.
[[nodiscard]] auto decodePeerMessage(const std::string &bytes) -> std::optional<PeerMessage>;

/// Name of a message's type in metrics and logs.
[[nodiscard]] auto peerMessageName(const PeerMessage &message) -> std::string_view;
} // namespace Marjoramfold
