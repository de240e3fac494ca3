#include "marjoramfold/entry/forwardcodec.h"

#include <cereal/archives/portable_binary.hpp>
#include <cereal/types/string.hpp>

#include <sstream>
#include <utility>

namespace Marjoramfold
{
namespace
{
// Frames of the peer protocol are authenticated and limited to 1 MiB. A wrong length inside a message makes the archive run out
// of bytes; the check of the total size is a second safeguard.
constexpr std::size_t MaxMessageBytes = 1U << 20U;

/// Type of a call on the wire; the values are part of the protocol.
enum class CallKind : std::uint8_t {
    Request,
    Query,
    Explain,
};

/// Wire form of a call.
struct CallMessage {
    CallKind kind_ = CallKind::Request;
    std::string job_;
    std::string team_;
    std::uint8_t priority_ = 0;
    bool idempotent_ = true;
    std::string body_;
    std::string contentType_;
    std::string traceParent_;

    template<typename Archive>
    auto serialize(Archive &archive) -> void
    {
        archive(kind_, job_, team_, priority_, idempotent_, body_, contentType_, traceParent_);
    }
};

/// Wire form of an answer or an error.
struct AnswerMessage {
    bool isOk_ = false;
    std::int32_t status_ = 0;
    std::string body_;
    std::string contentType_;
    std::string target_;
    std::string errorKind_;
    std::string errorMessage_;

    template<typename Archive>
    auto serialize(Archive &archive) -> void
    {
        archive(isOk_, status_, body_, contentType_, target_, errorKind_, errorMessage_);
    }
};

/// Wire form of a key's status.
struct StatusMessage {
    std::uint8_t state_ = 0;
    bool hasAnswer_ = false;
    AnswerMessage answer_;

    template<typename Archive>
    auto serialize(Archive &archive) -> void
    {
        archive(state_, hasAnswer_, answer_);
    }
};

template<typename Message>
auto encode(const Message &message) -> std::string
{
    std::ostringstream stream;
    cereal::PortableBinaryOutputArchive archive(stream);
    archive(message);
    return stream.str();
}

template<typename Message>
auto decode(std::string_view bytes, Message &message) -> bool
{
    if (bytes.size() > MaxMessageBytes) {
        return false;
    }
    try {
        std::istringstream stream{std::string(bytes)};
        cereal::PortableBinaryInputArchive archive(stream);
        archive(message);
        return stream.peek() == std::istringstream::traits_type::eof();
    } catch (const std::exception &) {
        return false;
    }
}

auto malformedMessageError() -> Error
{
    return {ErrorKind::Malformed, "the message of another instance is malformed", std::nullopt};
}

auto toMessage(const RoutedAnswer &answer) -> AnswerMessage
{
    return {true, answer.status_, answer.body_, answer.contentType_, answer.target_.value(), {}, {}};
}

auto toAnswer(AnswerMessage message) -> RoutedAnswer
{
    return {message.status_, std::move(message.body_), std::move(message.contentType_), TargetId(std::move(message.target_))};
}
} // namespace

auto encodeCall(const ForwardedCall &call) -> std::string
{
    CallMessage message;
    if (const auto *request = std::get_if<RoutedRequest>(&call)) {
        message.team_ = request->team_.value();
        message.priority_ = static_cast<std::uint8_t>(request->priority_);
        message.idempotent_ = request->idempotent_;
        message.body_ = request->body_;
        message.contentType_ = request->contentType_;
        message.traceParent_ = request->traceParent_;
    } else if (const auto *explain = std::get_if<ForwardedExplain>(&call)) {
        message.kind_ = CallKind::Explain;
        message.job_ = explain->job_.value();
    } else {
        message.kind_ = CallKind::Query;
    }
    return encode(message);
}

auto decodeCall(std::string_view bytes) -> Result<ForwardedCall>
{
    CallMessage message;
    if (!decode(bytes, message) || message.kind_ > CallKind::Explain || message.priority_ > static_cast<std::uint8_t>(PriorityClass::Urgent)) {
        return malformedMessageError();
    }
    if (message.kind_ == CallKind::Query) {
        return ForwardedCall(ForwardedQuery());
    }
    if (message.kind_ == CallKind::Explain) {
        return ForwardedCall(ForwardedExplain{JobId(std::move(message.job_))});
    }
    RoutedRequest request;
    request.team_ = TeamId(std::move(message.team_));
    request.priority_ = static_cast<PriorityClass>(message.priority_);
    request.idempotent_ = message.idempotent_;
    request.body_ = std::move(message.body_);
    request.contentType_ = std::move(message.contentType_);
    request.traceParent_ = std::move(message.traceParent_);
    request.forwarded_ = true;
    return ForwardedCall(std::move(request));
}

auto encodeAnswer(const Result<RoutedAnswer> &answer) -> std::string
{
    if (isOk(answer)) {
        return encode(toMessage(valueOf(answer)));
    }
    AnswerMessage message;
    message.errorKind_ = errorAnswer(errorOf(answer).kind_).name_;
    message.errorMessage_ = errorOf(answer).message_;
    return encode(message);
}

auto decodeAnswer(std::string_view bytes) -> Result<RoutedAnswer>
{
    AnswerMessage message;
    if (!decode(bytes, message)) {
        return malformedMessageError();
    }
    if (!message.isOk_) {
        const auto kind = errorKindFromName(message.errorKind_);
        return Error{kind.value_or(ErrorKind::MaybeRan), std::move(message.errorMessage_), std::nullopt};
    }
    return toAnswer(std::move(message));
}

auto encodeStatus(const KeyStatus &status) -> std::string
{
    StatusMessage message;
    message.state_ = static_cast<std::uint8_t>(status.state_);
    message.hasAnswer_ = status.answer_ != nullptr;
    if (message.hasAnswer_) {
        message.answer_ = toMessage(*status.answer_);
    }
    return encode(message);
}

auto decodeStatus(std::string_view bytes) -> KeyStatus
{
    KeyStatus status;
    status.state_ = KeyStatus::State::Unknown;
    StatusMessage message;
    if (!decode(bytes, message) || message.state_ > static_cast<std::uint8_t>(KeyStatus::State::Unknown)) {
        return status;
    }
    status.state_ = static_cast<KeyStatus::State>(message.state_);
    if (message.hasAnswer_) {
        status.answer_ = std::make_shared<const RoutedAnswer>(toAnswer(std::move(message.answer_)));
    }
    return status;
}
} // namespace Marjoramfold
