#pragma once

#include "marjoramfold/routing/requestdispatcher.h"
#include "marjoramfold/routing/targetclient.h"

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>

#include <atomic>
#include <functional>
#include <memory>
#include <string>
#include <unordered_map>

namespace Marjoramfold
{
/// Called once with the status of a key.
using KeyStatusCallback = std::function<void(KeyStatus)>;

/// Functions of the instance that a router calls. Each hook is called on the router's traffic thread, and its callback may run on
/// any thread.
struct RouterHooks {
    /// Appends makeIntent(key, self) to the stream `intents` in an IntentBatchRecord of this instance. Errors: LogUnavailable when nothing was
    /// appended; any other error leaves the request waiting until its record is read or its deadline passes.
    std::function<void(std::string key, std::function<void(Result<Success>)> done)> appendIntent_;
    /// Forwards a request to the incarnation that owns its key.
    std::function<void(InstanceIncarnation owner, RoutedRequest request, AnswerCallback done)> forwardRequest_;
    /// Queries the status of a key at the incarnation that owns it.
    std::function<void(InstanceIncarnation owner, std::string key, KeyStatusCallback done)> forwardQuery_;
    /// A target refused a request because it is leaving. Called before the request's caller is answered.
    std::function<void(const TargetId &target)> targetLeaving_;
};

/// Limits of a router.
struct RouterOptions {
    RequestDispatcherOptions dispatcher_;
    HttpClientOptions http_;
    Clock clock_ = systemClock();
    /// Part of the correlation ids, unique among the routers of an incarnation.
    std::size_t threadIndex_ = 0;
};

/// Counters of a router that other threads may read.
struct RouterGauges {
    std::atomic<std::uint64_t> received_ = 0;
    std::atomic<std::uint64_t> sent_ = 0;
    std::atomic<std::uint64_t> retried_ = 0;
    std::atomic<std::uint64_t> answered_ = 0;
    std::atomic<std::uint64_t> refusedNotRun_ = 0;
    std::atomic<std::uint64_t> maybeRan_ = 0;
    std::atomic<std::uint64_t> deduplicated_ = 0;
    std::atomic<std::uint64_t> lateAnswers_ = 0;
    std::atomic<std::uint64_t> mismatched_ = 0;
    std::atomic<std::uint64_t> waitingCallers_ = 0;
};

/// Executes the commands of the RequestDispatcher of one traffic thread. All methods except gauges() must be called on the thread of
/// its io_context.
class Router
{
public:
    Router(asio::io_context &context, RouterOptions options, RouterHooks hooks);
    ~Router();
    Router(const Router &) = delete;
    auto operator=(const Router &) -> Router & = delete;

    /// Handles a request; the callback runs on this thread, once.
    auto submit(RoutedRequest request, AnswerCallback callback) -> void;

    /// Reports the status of a key. Forwards the query when another instance owns the key, unless it was forwarded already.
    auto queryKey(const std::string &key, bool forwarded, KeyStatusCallback callback) -> void;

    /// Applies an update: targets, rules, or records of the stream `intents`.
    auto apply(RoutingEvent event) -> void;

    /// Refuses new requests; the callback runs when every caller was answered.
    auto drain(std::function<void()> drained) -> void;

    /// Keeps only intents of keys for which the filter returns true.
    auto setKeyFilter(std::function<bool(const std::string &)> filter) -> void;

    /// Counters for metrics; may be called from any thread.
    [[nodiscard]] auto gauges() const -> const RouterGauges &;

    [[nodiscard]] auto context() -> asio::io_context &;

private:
    /// A request that is kept until the dispatcher releases it.
    struct OpenRequest {
        RoutedRequest request_;
        AnswerCallback callback_;
    };

    [[nodiscard]] auto now() const -> EventTime;
    auto handle(RoutingEvent event) -> void;
    auto run(SendToTarget &command) -> void;
    auto run(AppendIntent &command) -> void;
    auto run(ForwardToInstance &command) -> void;
    auto run(AnswerCaller &command) -> void;
    auto run(ReleaseRequest &command) -> void;
    auto armTimer() -> void;
    auto publishGauges() -> void;
    [[nodiscard]] auto nextCorrelationId() -> std::string;

    asio::io_context &context_;
    RouterOptions options_;
    RouterHooks hooks_;
    RequestDispatcher dispatcher_;
    TargetClient targets_;
    asio::steady_timer timer_;
    std::unordered_map<RequestNumber, OpenRequest> open_;
    RequestNumber nextNumber_ = 1;
    std::uint64_t nextCorrelation_ = 1;
    std::string correlationPrefix_;
    RouterGauges gauges_;
    std::function<void()> drained_;
    /// Holds null once the router is destroyed; callbacks check it before they use the router.
    std::shared_ptr<Router *> alive_;
};
} // namespace Marjoramfold
