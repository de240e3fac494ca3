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

/// Name of a reason, for metrics and logs.
[[nodiscard]] auto toString(DropReason reason) -> std::string_view;

/// Numbers of dropped messages by reason.
using DropCounters = std::array<std::uint64_t, DropReasonCount>;

/// Who sends from this process.
struct PeerIdentity {
    InstanceId id_;
    Incarnation incarnation_ = 0;
};

/// A message that passed every check.
struct OpenedMessage {
    InstanceId sender_;
    Incarnation incarnation_ = 0;
    PeerMessage message_;
    /// Pairs a reply with its request; 0 on datagrams.
    std::uint64_t correlation_ = 0;
};

/// Where messages travel. Each channel has its own limit and message types.
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

/// Puts messages into authenticated envelopes and opens them.
///
/// Layout, numbers big-endian: magic "MFP1", protocol version (1), key id (1), flags (1), sender length (1), sender,
/// incarnation (8), sequence (8), body length (4), body, HMAC-SHA256 (32). On TCP the body starts with a correlation id (8).
/// Flag bit 0 tells that the message is bound to its
/// recipient: the recipient's id is then part of what the MAC covers, so that a captured message is useless to a third
/// instance. Only a SyncRequest may be sent to an address whose instance is not known yet.
class EnvelopeCodec
{
public:
    static constexpr std::uint8_t ProtocolVersion = 1;

    /// Bytes of an envelope besides the sender and the body.
    static constexpr std::size_t FixedBytes = 60;

    EnvelopeCodec(PeerChannels channels, PeerIdentity self, const KeyRing &keys);

    /// Seals a message for a recipient; an empty recipient stands for an unknown one. Empty when the result would be over
    /// the limit of the channel, or no key signs.
    [[nodiscard]] auto seal(const InstanceId &recipient, const PeerMessage &message, std::uint64_t correlation = 0) -> std::string;

    /// Opens a message. Dropped messages are counted by reason.
    [[nodiscard]] auto open(std::string_view bytes, SteadyTime now) -> std::variant<OpenedMessage, DropReason>;

    /// Numbers of dropped messages.
    [[nodiscard]] auto drops() const -> const DropCounters &;

private:
    struct Parts;

    [[nodiscard]] auto parse(std::string_view bytes, Parts &parts) const -> std::variant<std::monostate, DropReason>;
    [[nodiscard]] auto verify(const Parts &parts) const -> std::variant<std::monostate, DropReason>;
    [[nodiscard]] auto tryOpen(std::string_view bytes, SteadyTime now) -> std::variant<OpenedMessage, DropReason>;

    /// What the MAC covers besides the bytes that are sent. The channel is part of it, so that a frame captured on one channel
    /// cannot use up sequences of the other.
    [[nodiscard]] static auto context(PeerChannel channel, const std::string &recipient) -> std::string;

    PeerChannels channels_;
    PeerIdentity self_;
    const KeyRing &keys_;
    ReplayGuard replays_;
    std::uint64_t sequence_ = 0;
    DropCounters drops_{};
};
} // namespace Marjoramfold
