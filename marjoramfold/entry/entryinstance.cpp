#include "marjoramfold/entry/entryinstance.h"

#include <asio/post.hpp>
#include <glog/logging.h>

#include <utility>

namespace Marjoramfold
{
namespace
{
// Time to send the last answers and the leave message to the peers before the io_context stops.
constexpr std::chrono::milliseconds FlushDelay{200};

/// Derived from the wall clock, so that a restart of the instance has a higher incarnation.
auto makeIncarnation() -> Incarnation
{
    return static_cast<Incarnation>(toUnixMilliseconds(std::chrono::system_clock::now()).count());
}
} // namespace

EntryInstance::EntryInstance(asio::io_context &context, const EntrySettings &settings)
    : context_(context)
    , settings_(settings)
    , incarnation_(makeIncarnation())
    , tracer_({settings.id_.value(), settings.spanFile_})
    , control_(context, settings, incarnation_, metrics_, tracer_)
    , traffic_(settings, makeRouterOptions(), control_.routerHooks(), control_.commands(), control_.queries(), tracer_)
    , drainTimer_(context)
{
}

EntryInstance::~EntryInstance()
{
    // The traffic threads post to the control plane, so they must stop before it is destroyed.
    traffic_.stop();
}

auto EntryInstance::start() -> void
{
    if (!tracer_.canExport()) {
        LOG(WARNING) << "span_file_not_writable file=" << settings_.spanFile_;
    }
    control_.start(makeControlHooks());
    traffic_.start();
    LOG(INFO) << "entry_started instance=" << settings_.id_.value() << " availability_zone=" << settings_.zone_.value() << " incarnation=" << incarnation_
              << " address=" << settings_.listenAddress_ << ":" << settings_.httpPort_;
}

auto EntryInstance::drain() -> void
{
    if (std::exchange(draining_, true)) {
        return;
    }
    LOG(INFO) << "drain_started instance=" << settings_.id_.value();
    traffic_.routers().drain([this] {
        asio::post(context_, [this] {
            trafficDrained_ = true;
            finishDrain(true);
        });
    });
    control_.drain([this] {
        controlDrained_ = true;
        finishDrain(true);
    });
    drainTimer_.expires_after(settings_.limits_.drainTimeout_);
    drainTimer_.async_wait([this](const std::error_code &error) {
        if (!error) {
            finishDrain(false);
        }
    });
}

auto EntryInstance::finishDrain(bool complete) -> void
{
    if (complete && !(trafficDrained_ && controlDrained_)) {
        return;
    }
    LOG(INFO) << "drain_finished instance=" << settings_.id_.value() << " complete=" << complete;
    control_.leave();
    // Connections accepted from now on could not be answered before the io_context stops.
    traffic_.stopAccepting();
    drainTimer_.expires_after(FlushDelay);
    drainTimer_.async_wait([this](const std::error_code & /*error*/) {
        context_.stop();
    });
}

auto EntryInstance::makeRouterOptions() const -> RouterGroupOptions
{
    RouterGroupOptions options;
    auto &dispatcher = options.router_.dispatcher_;
    dispatcher.self_ = {settings_.id_, incarnation_};
    dispatcher.pool_.ownZone_ = settings_.zone_;
    dispatcher.seed_ = incarnation_;
    for (const auto &key : settings_.keys_) {
        if (key.id_ == settings_.signingKey_) {
            dispatcher.keySecrets_.insert(dispatcher.keySecrets_.begin(), key.secret_);
        } else {
            dispatcher.keySecrets_.push_back(key.secret_);
        }
    }
    options.slotsPerTarget_ = settings_.limits_.slotsPerTarget_;
    options.connectionsPerTarget_ = settings_.limits_.connectionsPerTarget_;
    return options;
}

auto EntryInstance::makeControlHooks() -> ControlPlaneHooks
{
    ControlPlaneHooks hooks;
    hooks.publishRules_ = [this](const RuleSetPointer &rules) {
        traffic_.routers().publishRules(rules);
    };
    hooks.publishTargets_ = [this](const TargetListPointer &targets) {
        traffic_.routers().publishTargets(targets);
    };
    hooks.publishIntents_ = [this](const std::shared_ptr<const IntentPage> &page) {
        traffic_.routers().publishIntents(page);
    };
    hooks.publishLeaving_ = [this](const TargetId &target) {
        traffic_.routers().publishLeaving(target);
    };
    hooks.runForwarded_ = [this](RoutedRequest request, AnswerCallback done) {
        traffic_.post([this, request = std::move(request), done = std::move(done)]() mutable {
            traffic_.routers().submit(0, std::move(request), std::move(done));
        });
    };
    hooks.queryForwarded_ = [this](std::string key, KeyStatusCallback done) {
        traffic_.post([this, key = std::move(key), done = std::move(done)]() mutable {
            traffic_.routers().queryKey(0, std::move(key), true, std::move(done));
        });
    };
    return hooks;
}
} // namespace Marjoramfold
