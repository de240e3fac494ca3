#include "marjoramfold/routing/targetclient.h"

namespace Marjoramfold
{
namespace
{
constexpr int FirstServerErrorStatus = 500;
constexpr int ServiceUnavailable = 503;

auto isHeaderTrue(const HttpClientResponse &response, std::string_view name) -> bool
{
    return findHeader(response.headers_, name) == "true";
}

auto toFailure(const HttpClientResponse &response) -> TargetFailure
{
    const auto status = "the target answered with status " + std::to_string(response.status_);
    if (response.status_ == ServiceUnavailable && isHeaderTrue(response, "X-Leaving")) {
        return {ExchangeOutcome::RefusedLeaving, {ErrorKind::TargetFailed, "the target refused the request because it is leaving", std::nullopt}};
    }
    if (response.status_ == ServiceUnavailable && isHeaderTrue(response, "X-Not-Run")) {
        return {ExchangeOutcome::Refused, {ErrorKind::TargetFailed, "the target refused the request without running it", std::nullopt}};
    }
    return {ExchangeOutcome::Failed, {ErrorKind::TargetFailed, status, std::nullopt}};
}

auto toFailure(const Error &error) -> TargetFailure
{
    switch (error.kind_) {
    case ErrorKind::ConnectFailed:
        return {ExchangeOutcome::NotSent, error};
    case ErrorKind::AnswerMismatch:
        return {ExchangeOutcome::Failed, error};
    case ErrorKind::Timeout:
        return {ExchangeOutcome::Failed, {ErrorKind::TargetTimeout, error.message_, std::nullopt}};
    default:
        return {ExchangeOutcome::Failed, {ErrorKind::TargetFailed, error.message_, std::nullopt}};
    }
}
} // namespace

TargetClient::TargetClient(asio::io_context &context, HttpClientOptions options)
    : client_(context, options)
{
}

auto TargetClient::execute(TargetCall call, TargetCallback callback) -> void
{
    HttpClientRequest request;
    request.method_ = "POST";
    request.address_ = std::move(call.address_);
    request.target_ = "/v1/execute";
    request.body_ = std::move(call.body_);
    request.timeout_ = call.timeout_;
    request.headers_.push_back({"Content-Type", std::move(call.contentType_)});
    request.headers_.push_back({"X-Correlation-Id", call.correlationId_});
    request.headers_.push_back({"X-Deadline-Ms", std::to_string(call.timeLeft_.count())});
    if (!call.key_.empty()) {
        request.headers_.push_back({"Idempotency-Key", std::move(call.key_)});
    }
    if (!call.traceParent_.empty()) {
        request.headers_.push_back({"traceparent", std::move(call.traceParent_)});
    }
    request.requiredEcho_ = HttpHeader{"X-Correlation-Id", std::move(call.correlationId_)};
    client_.send(std::move(request), [callback = std::move(callback)](Result<HttpClientResponse> result) {
        if (!isOk(result)) {
            callback(toFailure(errorOf(result)));
            return;
        }
        auto response = valueOf(std::move(result));
        if (response.status_ >= FirstServerErrorStatus) {
            callback(toFailure(response));
            return;
        }
        auto contentType = findHeader(response.headers_, "Content-Type").value_or("application/octet-stream");
        callback(RoutedAnswer{response.status_, std::move(response.body_), std::move(contentType), TargetId()});
    });
}
} // namespace Marjoramfold
