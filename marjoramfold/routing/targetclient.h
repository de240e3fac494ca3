#pragma once

#include "marjoramfold/http/httpclient.h"
#include "marjoramfold/routing/targetpool.h"

#include <asio/io_context.hpp>

#include <functional>
#include <string>
#include <variant>

namespace Marjoramfold
{
/// One execution that a target is asked for.
struct TargetCall {
    /// HOST:PORT of the target.
    std::string address_;
    /// Our own id of this exchange; the target repeats it in its answer.
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

/// An exchange that brought no answer which may be passed on.
struct TargetFailure {
    ExchangeOutcome outcome_ = ExchangeOutcome::Failed;
    Error error_;
};

using TargetCallback = std::function<void(std::variant<RoutedAnswer, TargetFailure>)>;

/// Client of a target's interface, POST /v1/execute with X-Correlation-Id. Not thread-safe: use one per io_context.
class TargetClient
{
public:
    explicit TargetClient(asio::io_context &context, HttpClientOptions options = {});

    /// Asks a target to execute; the callback runs on the io_context, once. Torn answers and answers to other requests are failures.
    auto execute(TargetCall call, TargetCallback callback) -> void;

private:
    HttpClient client_;
};
} // namespace Marjoramfold
