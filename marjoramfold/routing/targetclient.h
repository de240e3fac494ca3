#pragma once

#include "marjoramfold/http/httpclient.h"
#include "marjoramfold/routing/targetpool.h"

#include <asio/io_context.hpp>

#include <functional>
#include <string>
#include <variant>

namespace Marjoramfold
{
/// Parameters of one execution on a target.
struct TargetCall {
    /// HOST:PORT of the target.
    std::string address_;
    /// Id of this exchange, assigned by the caller; the target echoes it in its answer.
    std::string correlationId_;
    std::string key_;
    std::string body_;
    std::string contentType_;
    std::string traceParent_;
    /// Time to the caller's deadline.
    std::chrono::milliseconds timeLeft_{0};
    /// Time to wait for the answer.
    std::chrono::milliseconds timeout_{0};
};

/// An exchange without an answer that may be returned to the caller.
struct TargetFailure {
    ExchangeOutcome outcome_ = ExchangeOutcome::Failed;
    Error error_;
};

using TargetCallback = std::function<void(std::variant<RoutedAnswer, TargetFailure>)>;

/// HTTP client for POST /v1/execute of targets, with X-Correlation-Id. Not thread-safe: use one per io_context.
class TargetClient
{
public:
    explicit TargetClient(asio::io_context &context, HttpClientOptions options = {});

    /// Sends a request to a target; the callback runs once, on the io_context. Truncated answers and answers to other requests are
    /// failures.
    auto execute(TargetCall call, TargetCallback callback) -> void;

private:
    HttpClient client_;
};
} // namespace Marjoramfold
