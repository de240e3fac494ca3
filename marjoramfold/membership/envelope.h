#pragma once

#include "marjoramfold/core/clock.h"
#include "marjoramfold/membership/keyring.h"
#include "marjoramfold/membership/peermessages.h"
#include "marjoramfold/membership/replayguard.h"

#include <array>
#include <cstdint>
#include <string>
#include <string_view>
#include <variant>

namespace Marjoramfold
{
/// Why a received message was dropped.
enum class DropReason {
    TooShort,
    TooLong,
    BadMagic,
    BadVersion,
    BadLength,
    UnknownKey,
    BadMac,
    FromSelf,
    Replayed,
    StaleIncarnation,
    MalformedBody,
    /// The message type does not belong on the channel, or may not be sent without a recipient.
    WrongType,
};

constexpr std::size_t DropReasonCount = static_cast<std::size_t>(DropReason::WrongType) + 1;

/// Name of a reason in metrics and logs.
[[nodiscard]] auto toString(DropReason reason) -> std::string_view;

/// Numbers of dropped messages by reason.
using DropCounters = std::array<std::uint64_t, DropReasonCount>;

/// Sender identity of this process.
struct PeerIdentity {
    InstanceId id_;
    Incarnation incarnation_ = 0;
};

/// A message that passed all checks of its envelope.
struct OpenedMessage {
    InstanceId sender_;
    Incarnation incarnation_ = 0;
    PeerMessage message_;
    /// Matches a reply to its request; 0 on datagrams.
    std::uint64_t correlation_ = 0;
};

/// Transport of a message. Each channel has its own size limit and message types.
enum class PeerChannel {
    Datagram,
    StreamRequest,
    StreamReply,
};

/// The channels that a codec sends to and receives from.
struct PeerChannels {
    PeerChannel send_ = PeerChannel::Datagram;
    PeerChannel receive_ = PeerChannel::Datagram;
};

/// Encodes messages into authenticated envelopes, and verifies and decodes received ones.
///
/// Layout, numbers big-endian: magic "MFP1", protocol version (1), key id (1), flags (1), sender length (1), sender,
/// incarnation (8), sequence (8), body length (4), body, HMAC-SHA256 (32). On TCP the body starts with a correlation id (8).
/// Flag bit 0 marks a message bound to its recipient: the MAC then also covers the recipient's id, so that a captured message
/// cannot be replayed to a third instance. Only a SyncRequest may be unbound, since the instance at the address may be unknown.
class EnvelopeCodec
{
public:
    static constexpr std::uint8_t ProtocolVersion = 1;

    /// Bytes of an envelope besides the sender and the body.
    static constexpr std::size_t FixedBytes = 60;

    EnvelopeCodec(PeerChannels channels, PeerIdentity self, const KeyRing &keys);

    /// Encodes and signs a message; an empty recipient means an unknown one. Returns an empty string when the result would exceed
    /// the limit of the channel, or when no signing key is set.
    [[nodiscard]] auto seal(const InstanceId &recipient, const PeerMessage &message, std::uint64_t correlation = 0) -> std::string;

    /// Verifies and decodes a message. Dropped messages are counted by reason.
    [[nodiscard]] auto open(std::string_view bytes, SteadyTime now) -> std::variant<OpenedMessage, DropReason>;

    /// Numbers of dropped messages by reason.
    [[nodiscard]] auto drops() const -> const DropCounters &;

private:
    struct ParsedEnvelope;

    [[nodiscard]] auto parse(std::string_view bytes, ParsedEnvelope &envelope) const -> std::variant<std::monostate, DropReason>;
    [[nodiscard]] auto verify(const ParsedEnvelope &envelope) const -> std::variant<std::monostate, DropReason>;
    [[nodiscard]] auto tryOpen(std::string_view bytes, SteadyTime now) -> std::variant<OpenedMessage, DropReason>;

    /// Data that the MAC covers but that is not sent. It includes the channel, so that a frame captured on one channel cannot be
    /// replayed on another and use up its sequence numbers.
    [[nodiscard]] static auto context(PeerChannel channel, const std::string &recipient) -> std::string;

    PeerChannels channels_;
    PeerIdentity self_;
    const KeyRing &keys_;
    ReplayGuard replays_;
    std::uint64_t sequence_ = 0;
    DropCounters drops_{};
};
} // namespace Marjoramfold
