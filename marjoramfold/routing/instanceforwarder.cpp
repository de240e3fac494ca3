#include "marjoramfold/routing/instanceforwarder.h"

#include <asio/post.hpp>
#include <nlohmann/json.hpp>

namespace Marjoramfold
{
namespace
{
/// Time for a query, which the owner answers from memory.
constexpr std::chrono::milliseconds QueryTimeout{2'000};

constexpr int Accepted = 202;

auto maybeRan(const std::string &message) -> Error
{
    return {ErrorKind::MaybeRan, message, std::nullopt};
}

/// Reads the JSON form of an error; see errorJson().
auto toError(const HttpClientResponse &response, const std::string &kindName) -> Error
{
    const auto kind = errorKindFromName(kindName);
    if (!kind) {
        return maybeRan("the owner of the key answered with the unknown error '" + kindName + "'");
    }
    Error error{*kind, "answered by the owner of the key", std::nullopt};
    const auto body = nlohmann::json::parse(response.body_, nullptr, false);
    const auto details = body.is_object() ? body.value("error", nlohmann::json()) : nlohmann::json();
    if (details.is_object() && details.contains("message") && details["message"].is_string()) {
        error.message_ = details["message"].get<std::string>();
    }
    if (details.is_object() && details.contains("retry_after_ms") && details["retry_after_ms"].is_number_integer()) {
        error.retryAfter_ = std::chrono::milliseconds(details["retry_after_ms"].get<std::int64_t>());
    }
    return error;
}

auto toResult(Result<HttpClientResponse> result) -> Result<RoutedAnswer>
{
    if (!isOk(result)) {
        return maybeRan("the owner of the key was not reached: " + errorOf(result).message_);
    }
    auto response = valueOf(std::move(result));
    if (const auto kind = findHeader(response.headers_, "X-Error-Kind")) {
        return toError(response, *kind);
    }
    auto contentType = findHeader(response.headers_, "Content-Type").value_or("application/octet-stream");
    TargetId target(findHeader(response.headers_, "X-Target").value_or(""));
    return RoutedAnswer{response.status_, std::move(response.body_), std::move(contentType), std::move(target)};
}

auto toStatus(Result<HttpClientResponse> result) -> KeyStatus
{
    if (isOk(result) && valueOf(result).status_ == Accepted && findHeader(valueOf(result).headers_, "X-Request-State")) {
        return {KeyStatus::State::InProgress, nullptr, std::nullopt};
    }
    auto answer = toResult(std::move(result));
    if (isOk(answer)) {
        return {KeyStatus::State::Answered, std::make_shared<const RoutedAnswer>(valueOf(std::move(answer))), std::nullopt};
    }
    const auto notFound = errorOf(answer).kind_ == ErrorKind::NotFound;
    return {notFound ? KeyStatus::State::NotFound : KeyStatus::State::Unknown, nullptr, std::nullopt};
}

auto toHttp(RoutedRequest request, std::string address, const InstanceId &self) -> HttpClientRequest
{
    HttpClientRequest http;
    http.method_ = "POST";
    http.address_ = std::move(address);
    http.target_ = "/v1/requests";
    http.timeout_ = request.timeLeft_;
    http.headers_ = {{"Content-Type", request.contentType_},
                     {"X-Team", request.team_.value()},
                     {"X-Priority", std::string(toString(request.priority_))},
                     {"X-Deadline-Ms", std::to_string(request.timeLeft_.count())},
                     {"X-Idempotent", request.idempotent_ ? "true" : "false"},
                     {"Idempotency-Key", request.key_},
                     {"X-Forwarded-Instance", self.value()}};
    if (!request.traceParent_.empty()) {
        http.headers_.push_back({"traceparent", request.traceParent_});
    }
    http.body_ = std::move(request.body_);
    return http;
}
} // namespace

/// The parts that belong to the io_context.
class InstanceForwarder::Impl
{
public:
    Impl(asio::io_context &context, InstanceId self, InstanceAddressHook addressOf)
        : context_(context)
        , self_(std::move(self))
        , addressOf_(std::move(addressOf))
        , client_(context)
    {
    }

    asio::io_context &context_;
    InstanceId self_;
    InstanceAddressHook addressOf_;
    HttpClient client_;
};

InstanceForwarder::InstanceForwarder(asio::io_context &context, InstanceId self, InstanceAddressHook addressOf)
    : impl_(std::make_shared<Impl>(context, std::move(self), std::move(addressOf)))
{
}

InstanceForwarder::~InstanceForwarder() = default;

auto InstanceForwarder::forwardRequest(InstanceIncarnation owner, RoutedRequest request, AnswerCallback done) -> void
{
    asio::post(impl_->context_, [weak = std::weak_ptr(impl_), owner = std::move(owner), request = std::move(request), done = std::move(done)]() mutable {
        const auto impl = weak.lock();
        auto address = impl ? impl->addressOf_(owner.instance_) : std::nullopt;
        if (!address) {
            done(maybeRan("the instance " + owner.instance_.value() + " that owns the key is not known"));
            return;
        }
        impl->client_.send(toHttp(std::move(request), std::move(*address), impl->self_), [done = std::move(done)](Result<HttpClientResponse> result) {
            done(toResult(std::move(result)));
        });
    });
}

auto InstanceForwarder::forwardQuery(InstanceIncarnation owner, std::string key, KeyStatusCallback done) -> void
{
    asio::post(impl_->context_, [weak = std::weak_ptr(impl_), owner = std::move(owner), key = std::move(key), done = std::move(done)]() mutable {
        const auto impl = weak.lock();
        auto address = impl ? impl->addressOf_(owner.instance_) : std::nullopt;
        if (!address) {
            done({KeyStatus::State::Unknown, nullptr, std::nullopt});
            return;
        }
        HttpClientRequest request{"GET", std::move(*address), "/v1/requests/" + key, {{"X-Forwarded-Instance", impl->self_.value()}}, "", QueryTimeout};
        impl->client_.send(std::move(request), [done = std::move(done)](Result<HttpClientResponse> result) {
            done(toStatus(std::move(result)));
        });
    });
}
} // namespace Marjoramfold
