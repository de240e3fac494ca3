#include "marjoramfold/membership/envelope.h"

#include <cassert>

namespace Marjoramfold
{
namespace
{
constexpr std::string_view Magic = "MFP1";
constexpr std::uint8_t BoundToRecipient = 1;
constexpr std::size_t MacBytes = std::tuple_size_v<MessageMac>;

constexpr std::array<std::string_view, DropReasonCount> DropReasonNames{
    "too_short",
    "too_long",
    "bad_magic",
    "bad_version",
    "bad_length",
    "unknown_key",
    "bad_mac",
    "from_self",
    "replayed",
    "stale_incarnation",
    "malformed_body",
    "wrong_type",
};

auto limitOf(PeerChannel channel) -> std::size_t
{
    return channel == PeerChannel::Datagram ? MaxDatagramBytes : MaxFrameBytes;
}

/// True when a message type is allowed on a channel.
auto belongsOn(PeerChannel channel, const PeerMessage &message) -> bool
{
    const auto isRequest = std::holds_alternative<RuleSetRequest>(message) || std::holds_alternative<ForwardRequest>(message)
        || std::holds_alternative<TargetListMessage>(message);
    switch (channel) {
    case PeerChannel::Datagram:
        return isDatagramMessage(message);
    case PeerChannel::StreamRequest:
        return isRequest;
    case PeerChannel::StreamReply:
        return !isRequest && !isDatagramMessage(message);
    }
    return false;
}

/// Appends a number in network byte order.
template<typename Number>
auto appendNumber(std::string &bytes, Number value) -> void
{
    for (auto shift = 8 * static_cast<int>(sizeof(Number)) - 8; shift >= 0; shift -= 8) {
        bytes.push_back(static_cast<char>((value >> static_cast<unsigned>(shift)) & 0xffU));
    }
}

/// Reads a number in network byte order and removes it from the front of the bytes, which must be long enough.
template<typename Number>
auto readNumber(std::string_view &bytes) -> Number
{
    assert(bytes.size() >= sizeof(Number));
    std::uint64_t value = 0;
    for (std::size_t i = 0; i < sizeof(Number); ++i) {
        value = (value << 8U) | static_cast<unsigned char>(bytes[i]);
    }
    bytes.remove_prefix(sizeof(Number));
    return static_cast<Number>(value);
}
} // namespace

/// Fields of an envelope, as views into the received bytes.
struct EnvelopeCodec::ParsedEnvelope {
    KeyId key_ = 0;
    bool bound_ = false;
    std::string_view sender_;
    Incarnation incarnation_ = 0;
    std::uint64_t sequence_ = 0;
    std::string_view body_;
    std::string_view signed_;
    std::string_view mac_;
};

auto toString(DropReason reason) -> std::string_view
{
    return DropReasonNames[static_cast<std::size_t>(reason)];
}

EnvelopeCodec::EnvelopeCodec(PeerChannels channels, PeerIdentity self, const KeyRing &keys)
    : channels_(channels)
    , self_(std::move(self))
    , keys_(keys)
{
    assert(self_.id_.value().size() <= MaxPeerIdBytes);
}

auto EnvelopeCodec::context(PeerChannel channel, const std::string &recipient) -> std::string
{
    return std::string(1, static_cast<char>('0' + static_cast<int>(channel))) + recipient;
}

auto EnvelopeCodec::seal(const InstanceId &recipient, const PeerMessage &message, std::uint64_t correlation) -> std::string
{
    std::string body;
    if (channels_.send_ != PeerChannel::Datagram) {
        appendNumber(body, correlation);
    }
    body += encodePeerMessage(message);
    const auto &sender = self_.id_.value();
    const auto size = FixedBytes + sender.size() + body.size();
    if (size > limitOf(channels_.send_) || !keys_.canSign()) {
        return {};
    }
    std::string bytes;
    bytes.reserve(size);
    bytes.append(Magic);
    appendNumber(bytes, ProtocolVersion);
    appendNumber(bytes, keys_.signingKey());
    appendNumber(bytes, static_cast<std::uint8_t>(recipient.isEmpty() ? 0 : BoundToRecipient));
    appendNumber(bytes, static_cast<std::uint8_t>(sender.size()));
    bytes.append(sender);
    appendNumber(bytes, self_.incarnation_);
    appendNumber(bytes, ++sequence_);
    appendNumber(bytes, static_cast<std::uint32_t>(body.size()));
    bytes.append(body);
    const auto mac = keys_.mac(keys_.signingKey(), bytes, context(channels_.send_, recipient.value()));
    bytes.append(reinterpret_cast<const char *>(mac.data()), mac.size());
    return bytes;
}

auto EnvelopeCodec::parse(std::string_view bytes, ParsedEnvelope &envelope) const -> std::variant<std::monostate, DropReason>
{
    if (bytes.size() > limitOf(channels_.receive_)) {
        return DropReason::TooLong;
    }
    if (bytes.size() < FixedBytes) {
        return DropReason::TooShort;
    }
    envelope.signed_ = bytes.substr(0, bytes.size() - MacBytes);
    envelope.mac_ = bytes.substr(bytes.size() - MacBytes);

    auto rest = envelope.signed_;
    if (!rest.starts_with(Magic)) {
        return DropReason::BadMagic;
    }
    rest.remove_prefix(Magic.size());
    if (readNumber<std::uint8_t>(rest) != ProtocolVersion) {
        return DropReason::BadVersion;
    }
    envelope.key_ = readNumber<KeyId>(rest);
    const auto flags = readNumber<std::uint8_t>(rest);
    const std::size_t senderSize = readNumber<std::uint8_t>(rest);
    if (flags > BoundToRecipient || senderSize == 0 || senderSize > MaxPeerIdBytes || bytes.size() < FixedBytes + senderSize) {
        return DropReason::BadLength;
    }
    envelope.bound_ = flags == BoundToRecipient;
    envelope.sender_ = rest.substr(0, senderSize);
    rest.remove_prefix(senderSize);
    envelope.incarnation_ = readNumber<Incarnation>(rest);
    envelope.sequence_ = readNumber<std::uint64_t>(rest);
    if (readNumber<std::uint32_t>(rest) != rest.size()) {
        return DropReason::BadLength;
    }
    envelope.body_ = rest;
    return std::monostate();
}

auto EnvelopeCodec::verify(const ParsedEnvelope &envelope) const -> std::variant<std::monostate, DropReason>
{
    if (!keys_.accepts(envelope.key_)) {
        return DropReason::UnknownKey;
    }
    if (!keys_.verify(envelope.key_, envelope.signed_, context(channels_.receive_, envelope.bound_ ? self_.id_.value() : std::string()), envelope.mac_)) {
        return DropReason::BadMac;
    }
    if (envelope.sender_ == self_.id_.value()) {
        return DropReason::FromSelf;
    }
    return std::monostate();
}

auto EnvelopeCodec::tryOpen(std::string_view bytes, SteadyTime now) -> std::variant<OpenedMessage, DropReason>
{
    // Nothing of the body is decoded before the MAC has been checked.
    ParsedEnvelope envelope;
    if (const auto parsed = parse(bytes, envelope); parsed.index() == 1) {
        return std::get<1>(parsed);
    }
    if (const auto verified = verify(envelope); verified.index() == 1) {
        return std::get<1>(verified);
    }
    OpenedMessage opened{InstanceId(std::string(envelope.sender_)), envelope.incarnation_, {}, 0};
    switch (replays_.check(opened.sender_, envelope.incarnation_, envelope.sequence_, now)) {
    case ReplayCheckResult::Replayed:
        return DropReason::Replayed;
    case ReplayCheckResult::StaleIncarnation:
        return DropReason::StaleIncarnation;
    case ReplayCheckResult::Fresh:
        break;
    }
    if (channels_.receive_ != PeerChannel::Datagram) {
        if (envelope.body_.size() < sizeof(opened.correlation_)) {
            return DropReason::MalformedBody;
        }
        opened.correlation_ = readNumber<std::uint64_t>(envelope.body_);
    }
    auto message = decodePeerMessage(std::string(envelope.body_));
    if (!message) {
        return DropReason::MalformedBody;
    }
    if (!belongsOn(channels_.receive_, *message) || (!envelope.bound_ && !std::holds_alternative<SyncRequest>(*message))) {
        return DropReason::WrongType;
    }
    opened.message_ = std::move(*message);
    return opened;
}

auto EnvelopeCodec::open(std::string_view bytes, SteadyTime now) -> std::variant<OpenedMessage, DropReason>
{
    auto result = tryOpen(bytes, now);
    if (const auto *reason = std::get_if<DropReason>(&result)) {
        ++drops_[static_cast<std::size_t>(*reason)];
    }
    return result;
}

auto EnvelopeCodec::drops() const -> const DropCounters &
{
    return drops_;
}
} // namespace Marjoramfold
