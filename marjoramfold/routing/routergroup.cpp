#include "marjoramfold/routing/routergroup.h"

#include <asio/post.hpp>

#include <algorithm>
#include <cassert>

namespace Marjoramfold
{
namespace
{
/// Bounds the memory of the idempotency tables, which hold whole keys.
constexpr std::size_t MaxKeyBytes = 256;

auto perThreadShare(int total, std::size_t threads) -> int
{
    return std::max(1, total / static_cast<int>(threads));
}
} // namespace

RouterGroup::RouterGroup(const std::vector<asio::io_context *> &contexts, RouterGroupOptions options, RouterHooks hooks)
    : options_(std::move(options))
    , issuedKeys_(options_.router_.dispatcher_.keySecrets_)
{
    assert(!contexts.empty());
    // The caller's next request may arrive on another thread, which must not send it to the same target.
    hooks.targetLeaving_ = [this](const TargetId &target) {
        publishLeaving(target);
    };
    const auto seed = options_.router_.dispatcher_.seed_;
    for (std::size_t i = 0; i < contexts.size(); ++i) {
        auto routerOptions = options_.router_;
        routerOptions.threadIndex_ = i;
        routerOptions.dispatcher_.seed_ = seed + i;
        routerOptions.dispatcher_.pool_.slotsPerTarget_ = perThreadShare(options_.slotsPerTarget_, contexts.size());
        routerOptions.http_.maxConnectionsPerHost_ = perThreadShare(options_.connectionsPerTarget_, contexts.size());
        routers_.push_back(std::make_unique<Router>(*contexts[i], std::move(routerOptions), hooks));
        routers_.back()->setKeyFilter([i, threads = contexts.size()](const std::string &key) {
            return std::hash<std::string>()(key) % threads == i;
        });
    }
}

RouterGroup::~RouterGroup() = default;

auto RouterGroup::submit(std::size_t threadIndex, RoutedRequest request, AnswerCallback callback) -> void
{
    assert(threadIndex < routers_.size());
    if (request.key_.size() > MaxKeyBytes) {
        callback(Error{ErrorKind::InvalidRequest, "the key is longer than " + std::to_string(MaxKeyBytes) + " bytes", std::nullopt});
        return;
    }
    const auto owner = request.key_.empty() ? threadIndex : ownerOf(request.key_);
    auto &router = *routers_[owner];
    if (owner == threadIndex) {
        router.submit(std::move(request), std::move(callback));
        return;
    }
    asio::post(router.context(), [&router, request = std::move(request), callback = std::move(callback)]() mutable {
        router.submit(std::move(request), std::move(callback));
    });
}

auto RouterGroup::queryKey(std::size_t threadIndex, std::string key, bool forwarded, KeyStatusCallback callback) -> void
{
    const auto owner = ownerOf(key);
    auto &router = *routers_[owner];
    if (owner == threadIndex) {
        router.queryKey(key, forwarded, std::move(callback));
        return;
    }
    asio::post(router.context(), [&router, key = std::move(key), forwarded, callback = std::move(callback)]() mutable {
        router.queryKey(key, forwarded, std::move(callback));
    });
}

auto RouterGroup::issueKey() -> Result<std::string>
{
    const auto &dispatcher = options_.router_.dispatcher_;
    if (dispatcher.keySecrets_.empty()) {
        return Error{ErrorKind::Unauthorized, "this instance has no secret to issue keys with", std::nullopt};
    }
    const auto lifetime = std::min(options_.issuedKeyLifetime_, dispatcher.keyWindow_.maxAge_);
    return issuedKeys_.issue({dispatcher.self_, options_.router_.clock_.wallNow_() + lifetime}, nextNonce_++);
}

auto RouterGroup::publishTargets(const TargetListPointer &targets) -> void
{
    publish(TargetsChanged{targets});
}

auto RouterGroup::publishRules(const RuleSetPointer &rules) -> void
{
    publish(RoutingRulesChanged{rules});
}

auto RouterGroup::publishIntents(const std::shared_ptr<const IntentPage> &page) -> void
{
    publish(IntentsRead{page});
}

auto RouterGroup::publishLeaving(const TargetId &target) -> void
{
    publish(TargetLeaving{target});
}

auto RouterGroup::drain(std::function<void()> drained) -> void
{
    auto remaining = std::make_shared<std::atomic<std::size_t>>(routers_.size());
    auto done = std::make_shared<std::function<void()>>(std::move(drained));
    for (auto &router : routers_) {
        asio::post(router->context(), [&router = *router, remaining, done] {
            router.drain([remaining, done] {
                if (--*remaining == 0) {
                    (*done)();
                }
            });
        });
    }
}

auto RouterGroup::threadCount() const -> std::size_t
{
    return routers_.size();
}

auto RouterGroup::gauges(std::size_t threadIndex) const -> const RouterGauges &
{
    return routers_[threadIndex]->gauges();
}

auto RouterGroup::ownerOf(const std::string &key) const -> std::size_t
{
    return std::hash<std::string>()(key) % routers_.size();
}

auto RouterGroup::publish(const RoutingEvent &event) -> void
{
    for (auto &router : routers_) {
        asio::post(router->context(), [&router = *router, event] {
            router.apply(event);
        });
    }
}
} // namespace Marjoramfold
