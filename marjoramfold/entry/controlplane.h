#pragma once

#include "marjoramfold/api/controlapi.h"
#include "marjoramfold/entry/entrysettings.h"
#include "marjoramfold/entry/freshnessgate.h"
#include "marjoramfold/entry/instancelistpoller.h"
#include "marjoramfold/entry/intentscontroller.h"
#include "marjoramfold/entry/joblog.h"
#include "marjoramfold/entry/peercontroller.h"
#include "marjoramfold/entry/rulescontroller.h"
#include "marjoramfold/entry/zonescontroller.h"
#include "marjoramfold/http/httpclient.h"
#include "marjoramfold/log/httplogclient.h"
#include "marjoramfold/observability/metrics.h"
#include "marjoramfold/observability/tracer.h"
#include "marjoramfold/routing/routergroup.h"

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>

#include <functional>
#include <set>

namespace Marjoramfold
{
/// Callbacks from the control plane to the traffic threads.
struct ControlPlaneHooks {
    std::function<void(const RuleSetPointer &rules)> publishRules_;
    std::function<void(const TargetListPointer &targets)> publishTargets_;
    std::function<void(const std::shared_ptr<const IntentPage> &page)> publishIntents_;
    std::function<void(const TargetId &target)> publishLeaving_;
    /// Executes a request that a peer forwarded.
    std::function<void(RoutedRequest request, AnswerCallback done)> runForwarded_;
    /// Answers a key status query that a peer forwarded.
    std::function<void(std::string key, KeyStatusCallback done)> queryForwarded_;
};

/// Control plane of an entry instance: rules, jobs, zone ownership and membership. All state belongs to the control thread.
class ControlPlane
{
public:
    ControlPlane(asio::io_context &context, const EntrySettings &settings, Incarnation incarnation, MetricsRegistry &metrics, Tracer &tracer);
    ~ControlPlane();

    /// Sets the hooks and starts. Throws std::system_error when the peer port is in use.
    auto start(ControlPlaneHooks hooks) -> void;

    /// Releases all availability zones. The callback runs when the releases are in the log, or after a timeout.
    auto drain(std::function<void()> drained) -> void;

    /// Announces to the peers that this instance stops.
    auto leave() -> void;

    /// Handlers of the control API; callable from any thread.
    [[nodiscard]] auto commands() -> ControlCommands;
    [[nodiscard]] auto queries() -> ControlQueries;

    /// Hooks of the routers; callable from any thread.
    [[nodiscard]] auto routerHooks() -> RouterHooks;

private:
    friend class ControlMetrics;
    friend class ControlViews;

    auto scheduleTick() -> void;
    auto tick() -> void;
    auto checkDrained(SteadyTime now) -> void;
    auto handleInstances(const InstanceList &list) -> void;
    auto handleForward(ForwardRequest request, std::function<void(Result<ForwardReply>)> done) -> void;
    auto submitJob(const JobSpec &spec, const JsonCallback &done) -> void;
    auto forwardRequest(const InstanceIncarnation &owner, const RoutedRequest &request, AnswerCallback done) -> void;
    auto forwardQuery(const InstanceIncarnation &owner, const std::string &key, KeyStatusCallback done) -> void;
    auto explainJob(const JobId &job, const JsonCallback &done) -> void;
    auto traceJob(const JobId &job, const std::string &event) -> void;
    auto updateGate(SteadyTime now) -> void;
    [[nodiscard]] auto localState(SteadyTime now) -> NodeState;
    [[nodiscard]] auto candidates() const -> std::vector<OwnershipCandidate>;
    [[nodiscard]] auto confirmedDead() const -> std::set<InstanceId>;
    [[nodiscard]] auto isLowestInstance() const -> bool;
    [[nodiscard]] auto newRecordId() -> RecordId;

    /// Posts a call to the control thread.
    auto post(std::function<void()> call) -> void;

    asio::io_context &context_;
    EntrySettings settings_;
    Incarnation incarnation_;
    MetricsRegistry &metrics_;
    Tracer &tracer_;
    ControlPlaneHooks hooks_;
    HttpClient http_;
    HttpLogClient log_;
    WorkerClient workers_;
    PeerController peers_;
    RulesController rules_;
    JobLog jobs_;
    ZonesController zones_;
    IntentsController intents_;
    InstanceListPoller instances_;
    asio::steady_timer timer_;
    GateDecision gate_;
    std::set<TargetId> leavingTargets_;
    std::uint64_t recordCounter_ = 0;
    bool draining_ = false;
    std::function<void()> onDrained_;
    SteadyTime drainDeadline_{};
    SteadyTime nextMetricsUpdate_{};
};
} // namespace Marjoramfold
