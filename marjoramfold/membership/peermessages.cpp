#include "marjoramfold/membership/peermessages.h"

#include "marjoramfold/membership/messagecodec.h"

#include <array>
#include <limits>

namespace Marjoramfold
{
namespace
{
template<typename Codec>
auto fields(Codec &codec, Epoch &epoch) -> void
{
    codec.number(epoch.claim_);
    codec.number(epoch.rank_);
}

template<typename Codec>
auto fields(Codec &codec, MemberEntry &entry) -> void
{
    codec.identifier(entry.id_);
    codec.identifier(entry.zone_);
    codec.text(entry.address_, MaxPeerAddressBytes);
    codec.number(entry.incarnation_);
    codec.number(entry.refutation_);
    codec.enumeration(entry.status_, MemberStatus::Left);
    codec.duration(entry.endedAge_);
}

template<typename Codec>
auto fields(Codec &codec, AdvertisedCapacity &capacity) -> void
{
    codec.identifier(capacity.zone_);
    fields(codec, capacity.epoch_);
    codec.number(capacity.counter_);
    codec.number(capacity.freeAccelerators_);
    codec.number(capacity.largestFreeGang_);
    codec.number(capacity.waitingJobs_);
}

template<typename Codec>
auto fields(Codec &codec, VersionCount &count) -> void;

template<typename Codec>
auto fields(Codec &codec, ZoneDigest &digest) -> void;

template<typename Codec>
auto fields(Codec &codec, DigestRefresh &refresh) -> void;

template<typename Codec, typename Item>
auto list(Codec &codec, std::vector<Item> &items, std::size_t limit) -> void
{
    codec.list(items, limit, [&codec](Item &item) {
        fields(codec, item);
    });
}

template<typename Codec>
auto fields(Codec &codec, NodeState &state) -> void
{
    codec.number(state.ruleVersion_);
    codec.optionalDuration(state.confirmationAge_);
    codec.boolean(state.logReadable_);
    list(codec, state.capacities_, MaxZonesInMessage);
}

template<typename Codec>
auto fields(Codec &codec, VersionCount &count) -> void
{
    codec.number(count.version_);
    codec.number(count.instances_);
}

template<typename Codec>
auto fields(Codec &codec, ZoneDigest &digest) -> void
{
    codec.identifier(digest.zone_);
    codec.number(digest.counter_);
    codec.duration(digest.age_);
    codec.optionalDuration(digest.confirmationAge_);
    codec.number(digest.confirmedVersion_);
    codec.enumeration(digest.logState_, ZoneLogState::Unreadable);
    codec.boolean(digest.delegateHasNewest_);
    codec.number(digest.liveInstances_);
    codec.number(digest.drainingInstances_);
    codec.number(digest.membersFingerprint_);
    list(codec, digest.versions_, MaxVersionsInDigest);
}

template<typename Codec>
auto fields(Codec &codec, DigestRefresh &refresh) -> void
{
    codec.number(refresh.zoneKey_);
    codec.number(refresh.counter_);
    codec.number(refresh.contentHash_);
    codec.duration(refresh.age_);
    codec.optionalDuration(refresh.confirmationAge_);
}

template<typename Codec>
auto fields(Codec &codec, Heartbeat &message) -> void
{
    codec.number(message.refutation_);
    codec.enumeration(message.status_, MemberStatus::Left);
    codec.optional(message.state_, [&codec](NodeState &state) {
        fields(codec, state);
    });
}

template<typename Codec>
auto fields(Codec &codec, DigestMessage &message) -> void
{
    codec.optional(message.digest_, [&codec](ZoneDigest &digest) {
        fields(codec, digest);
    });
    codec.optional(message.refresh_, [&codec](DigestRefresh &refresh) {
        fields(codec, refresh);
    });
    list(codec, message.capacities_, MaxZonesInMessage);
    codec.number(message.echoedCounter_);
    codec.duration(message.echoDelay_);
}

template<typename Codec>
auto fields(Codec &codec, ZoneGossip &message) -> void
{
    list(codec, message.digests_, MaxZonesInMessage);
    list(codec, message.refreshes_, MaxZonesInMessage);
    list(codec, message.capacities_, MaxZonesInMessage);
}

template<typename Codec>
auto fields(Codec &codec, MemberUpdate &message) -> void
{
    list(codec, message.members_, MaxMembersInMessage);
}

template<typename Codec>
auto fields(Codec &codec, SyncRequest &message) -> void
{
    fields(codec, message.self_);
}

template<typename Codec>
auto fields(Codec &codec, Ping &message) -> void
{
    codec.number(message.nonce_);
}

template<typename Codec>
auto fields(Codec &codec, PingAck &message) -> void
{
    codec.number(message.nonce_);
}

template<typename Codec>
auto fields(Codec &codec, ProbeRequest &message) -> void
{
    codec.identifier(message.target_);
    codec.text(message.address_, MaxPeerAddressBytes);
}

template<typename Codec>
auto fields(Codec &codec, ProbeAnswer &message) -> void
{
    codec.identifier(message.target_);
    codec.number(message.incarnation_);
}

template<typename Codec>
auto fields(Codec &codec, RuleSetRequest &message) -> void
{
    codec.number(message.newerThan_);
}

template<typename Codec>
auto fields(Codec &codec, RuleSetReply &message) -> void
{
    codec.number(message.version_);
    codec.longText(message.text_);
}

template<typename Codec>
auto fields(Codec &codec, ForwardRequest &message) -> void
{
    codec.longText(message.key_);
    codec.duration(message.remaining_);
    codec.longText(message.body_);
}

template<typename Codec>
auto fields(Codec &codec, ForwardReply &message) -> void
{
    codec.longText(message.body_);
}

template<typename Codec>
auto fields(Codec &codec, TargetListMessage &message) -> void
{
    codec.list(message.leaving_, MaxTargetsInMessage, [&codec](TargetId &target) {
        codec.identifier(target);
    });
}

template<typename Codec>
auto fields(Codec & /*codec*/, Acknowledgement & /*message*/) -> void
{
}

template<typename Codec>
auto fields(Codec &codec, PeerRefusal &message) -> void
{
    codec.longText(message.kind_);
    codec.longText(message.message_);
}

// In the order of PeerMessage. The type byte of a message is its index, so a new type is added at the end of its group, and only
// together with a new protocol version.
constexpr std::array<std::string_view, std::variant_size_v<PeerMessage>> MessageNames{
    "heartbeat",
    "digest",
    "zone_gossip",
    "member_update",
    "sync_request",
    "ping",
    "ping_ack",
    "probe_request",
    "probe_answer",
    "rule_set_request",
    "rule_set_reply",
    "forward_request",
    "forward_reply",
    "target_list",
    "acknowledgement",
    "refusal",
};

/// Default-constructs the message type with a given index; empty for an unknown index.
template<std::size_t Index = 0>
auto messageOfType(std::size_t index) -> std::optional<PeerMessage>
{
    if constexpr (Index < std::variant_size_v<PeerMessage>) {
        if (index == Index) {
            return PeerMessage(std::in_place_index<Index>);
        }
        return messageOfType<Index + 1>(index);
    } else {
        return std::nullopt;
    }
}
} // namespace

auto isDatagramMessage(const PeerMessage &message) -> bool
{
    return message.index() < DatagramMessageTypes;
}

auto encodePeerMessage(PeerMessage message) -> std::string
{
    MessageWriter writer;
    auto type = static_cast<std::uint8_t>(message.index());
    writer.number(type);
    std::visit(
        [&writer](auto &body) {
            fields(writer, body);
        },
        message);
    return writer.take();
}

auto decodePeerMessage(const std::string &bytes) -> std::optional<PeerMessage>
{
    try {
        MessageReader reader(bytes);
        std::uint8_t type = 0;
        reader.number(type);
        auto message = messageOfType(type);
        if (!message) {
            return std::nullopt;
        }
        std::visit(
            [&reader](auto &body) {
                fields(reader, body);
            },
            *message);
        return reader.atEnd() ? message : std::nullopt;
    } catch (const cereal::Exception &) {
        return std::nullopt;
    }
}

auto peerMessageName(const PeerMessage &message) -> std::string_view
{
    return MessageNames[message.index()];
}
} // namespace Marjoramfold
