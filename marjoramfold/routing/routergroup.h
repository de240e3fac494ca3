#pragma once

#include "marjoramfold/routing/router.h"

#include <atomic>
#include <memory>
#include <vector>

namespace Marjoramfold
{
/// Limits of all routers of an instance together.
struct RouterGroupOptions {
    /// The limits of the pool and of the client are per thread; slots and connections are divided below.
    RouterOptions router_;
    /// Slots of each target that this instance uses at once.
    int slotsPerTarget_ = 8;
    /// Connections to each target that this instance opens.
    int connectionsPerTarget_ = 60;
    /// How long an issued key is accepted; at most the window of caller's keys, for which ledgers remember keys.
    std::chrono::seconds issuedKeyLifetime_{3'600};
};

/// The routers of an instance, one for each traffic thread.
///
/// A request with a key belongs to the thread that the hash of its key selects, wherever it arrives, so that repeats of a key
/// always meet the same ledger. A request without a key stays on the thread where it arrived. All calls are thread-safe.
class RouterGroup
{
public:
    /// Makes a router for each io_context. No thread may run the contexts yet.
    RouterGroup(const std::vector<asio::io_context *> &contexts, RouterGroupOptions options, RouterHooks hooks);
    ~RouterGroup();
    RouterGroup(const RouterGroup &) = delete;
    auto operator=(const RouterGroup &) -> RouterGroup & = delete;

    /// Handles a request that arrived on a traffic thread; call it on that thread. The callback runs on the thread that owns the key.
    auto submit(std::size_t threadIndex, RoutedRequest request, AnswerCallback callback) -> void;

    /// Answers what is known of a key; call it on the traffic thread of the index. A query that another instance forwarded is
    /// not forwarded again.
    auto queryKey(std::size_t threadIndex, std::string key, bool forwarded, KeyStatusCallback callback) -> void;

    /// A new issued key; Unauthorized when the instance has no secret for keys.
    [[nodiscard]] auto issueKey() -> Result<std::string>;

    /// Publishes a list of targets to all traffic threads.
    auto publishTargets(const TargetListPointer &targets) -> void;

    /// Publishes rules to all traffic threads.
    auto publishRules(const RuleSetPointer &rules) -> void;

    /// Publishes records of the stream `intents`, in the order of the log, as its follower reads them.
    auto publishIntents(const std::shared_ptr<const IntentPage> &page) -> void;

    /// Stops new work to a target, for example because a peer has a newer list.
    auto publishLeaving(const TargetId &target) -> void;

    /// Refuses new work; the callback runs once, on a traffic thread, when every caller was answered.
    auto drain(std::function<void()> drained) -> void;

    /// Number of traffic threads.
    [[nodiscard]] auto threadCount() const -> std::size_t;

    /// Counts of one traffic thread.
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
