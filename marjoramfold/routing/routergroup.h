#pragma once

#include "marjoramfold/routing/router.h"

#include <atomic>
#include <memory>
#include <vector>

namespace Marjoramfold
{
/// Limits of all routers of an instance together.
struct RouterGroupOptions {
    /// Options of each router; its slots and connections per target are replaced by a share of the limits below.
    RouterOptions router_;
    /// Concurrent requests of this instance to each target.
    int slotsPerTarget_ = 8;
    /// Connections of this instance to each target.
    int connectionsPerTarget_ = 60;
    /// Limited to KeyWindow::maxAge_, because idempotency tables keep keys only for that window.
    std::chrono::seconds issuedKeyLifetime_{3'600};
};

/// The routers of an instance, one for each traffic thread.
///
/// A request with a key is processed by the thread that the hash of its key selects, so that all requests with one key use the
/// same idempotency table. A request without a key stays on the thread where it arrived. All calls are thread-safe.
class RouterGroup
{
public:
    /// Creates a router for each io_context. No thread may run the contexts yet.
    RouterGroup(const std::vector<asio::io_context *> &contexts, RouterGroupOptions options, RouterHooks hooks);
    ~RouterGroup();
    RouterGroup(const RouterGroup &) = delete;
    auto operator=(const RouterGroup &) -> RouterGroup & = delete;

    /// Handles a request; call it on the traffic thread of the index. The callback runs on the thread that owns the key.
    auto submit(std::size_t threadIndex, RoutedRequest request, AnswerCallback callback) -> void;

    /// Reports the status of a key; call it on the traffic thread of the index. A query that another instance forwarded is not
    /// forwarded again.
    auto queryKey(std::size_t threadIndex, std::string key, bool forwarded, KeyStatusCallback callback) -> void;

    /// Returns a new issued key. Errors: Unauthorized when the instance has no secret for keys.
    [[nodiscard]] auto issueKey() -> Result<std::string>;

    /// Posts a list of targets to all traffic threads.
    auto publishTargets(const TargetListPointer &targets) -> void;

    /// Posts rules to all traffic threads.
    auto publishRules(const RuleSetPointer &rules) -> void;

    /// Posts records of the stream `intents` to all traffic threads; call it in log order.
    auto publishIntents(const std::shared_ptr<const IntentPage> &page) -> void;

    /// Stops new requests to a target, for example because a peer has a newer list.
    auto publishLeaving(const TargetId &target) -> void;

    /// Refuses new requests; the callback runs once, on a traffic thread, when every caller was answered.
    auto drain(std::function<void()> drained) -> void;

    [[nodiscard]] auto threadCount() const -> std::size_t;

    /// Counters of one traffic thread; may be read from any thread.
    [[nodiscard]] auto gauges(std::size_t threadIndex) const -> const RouterGauges &;

private:
    [[nodiscard]] auto ownerOf(const std::string &key) const -> std::size_t;
    auto publish(const RoutingEvent &event) -> void;

    RouterGroupOptions options_;
    std::vector<std::unique_ptr<Router>> routers_;
    IssuedKeys issuedKeys_;
    std::atomic<std::uint64_t> nextNonce_ = 1;
};
} // namespace Marjoramfold
