#include "marjoramfold/entry/controlplane.h"

#include "marjoramfold/entry/controlmetrics.h"
#include "marjoramfold/entry/controlviews.h"
#include "marjoramfold/entry/forwardcodec.h"
#include "marjoramfold/entry/jobtrace.h"

#include <asio/dispatch.hpp>
#include <asio/post.hpp>
#include <glog/logging.h>

#include <algorithm>
#include <utility>

namespace Marjoramfold
{
namespace
{
// Short enough for heartbeats, gang starts and the claim delay of 300 ms per candidate rank.
constexpr std::chrono::milliseconds TickInterval{50};
constexpr std::chrono::milliseconds MetricsUpdateInterval{1'000};

// A drain waits at most this long for its release records, so that a log outage cannot keep the process running.
constexpr std::chrono::milliseconds ReleaseTimeout{5'000};

constexpr std::chrono::milliseconds ExplainTimeout{2'000};

// Three long polls, appends and the commands of a gang start to one worker need far fewer.
constexpr long MaxConnectionsPerHost = 256;
constexpr std::chrono::milliseconds QueryTimeout{2'000};

/// The control thread holds long polls open and sends commands to the same hosts at the same time.
auto controlHttpOptions() -> HttpClientOptions
{
    HttpClientOptions options;
    options.maxConnectionsPerHost_ = MaxConnectionsPerHost;
    return options;
}

auto recordPrefix(const EntrySettings &settings, Incarnation incarnation) -> std::string
{
    return settings.id_.value() + "-" + std::to_string(incarnation);
}
} // namespace

ControlPlane::ControlPlane(asio::io_context &context, const EntrySettings &settings, Incarnation incarnation, MetricsRegistry &metrics, Tracer &tracer)
    : context_(context)
    , settings_(settings)
    , incarnation_(incarnation)
    , metrics_(metrics)
    , tracer_(tracer)
    , http_(context, controlHttpOptions())
    , log_(http_, {settings.logAddress_})
    , workers_(http_)
    , peers_(context,
             settings,
             incarnation,
             {[this] {
                  return localState(std::chrono::steady_clock::now());
              },
              [this] {
                  return rules_.inForce();
              },
              [this](Offset version, const std::string &text) {
                  rules_.adopt(version, text);
              },
              [this](ForwardRequest request, std::function<void(Result<ForwardReply>)> done) {
                  handleForward(std::move(request), std::move(done));
              },
              [this](const std::vector<TargetId> &targets) {
                  for (const auto &target : targets) {
                      hooks_.publishLeaving_(target);
                  }
              }})
    , rules_(context,
             log_,
             systemClock(),
             settings.logRetention_,
             {[this](const RuleSetPointer &rules) {
                  zones_.setRules(rules);
                  hooks_.publishRules_(rules);
              },
              [this] {
                  return isLowestInstance();
              },
              [this] {
                  return newRecordId();
              }})
    , jobs_(context,
            log_,
            systemClock(),
            {[this](Offset first) {
                 zones_.beginReading(first);
             },
             [this](const FollowedRecord &record) {
                 zones_.applyRecord(record);
             },
             [this](const std::set<JobId> &jobs) {
                 zones_.applyJobChanges(jobs);
             },
             [this] {
                 return newRecordId();
             }})
    , zones_(context,
             jobs_,
             workers_,
             {settings.id_, settings.zone_},
             recordPrefix(settings, incarnation),
             {[this] {
                  updateGate(std::chrono::steady_clock::now());
                  return gate_.open_;
              },
              [this] {
                  return candidates();
              },
              [this] {
                  return confirmedDead();
              },
              [this](const JobId &job, const std::string &event) {
                  traceJob(job, event);
              }})
    , intents_(context,
               log_,
               systemClock(),
               {settings.id_, incarnation},
               {[this](const std::shared_ptr<const IntentPage> &page) {
                    hooks_.publishIntents_(page);
                },
                [this] {
                    return newRecordId();
                }})
    , instances_(context,
                 http_,
                 settings.instanceListAddress_,
                 [this](const InstanceList &list) {
                     handleInstances(list);
                 })
    , timer_(context)
{
}

ControlPlane::~ControlPlane() = default;

auto ControlPlane::start(ControlPlaneHooks hooks) -> void
{
    hooks_ = std::move(hooks);
    peers_.start();
    rules_.start();
    intents_.start();
    instances_.start();
    scheduleTick();
}

auto ControlPlane::drain(std::function<void()> drained) -> void
{
    const auto now = std::chrono::steady_clock::now();
    draining_ = true;
    onDrained_ = std::move(drained);
    drainDeadline_ = now + ReleaseTimeout;
    peers_.announceDrain(now);
    zones_.release();
}

auto ControlPlane::leave() -> void
{
    peers_.announceLeave(std::chrono::steady_clock::now());
}

auto ControlPlane::routerHooks() -> RouterHooks
{
    RouterHooks hooks;
    hooks.appendIntent_ = [this](std::string key, std::function<void(Result<Success>)> done) {
        post([this, key = std::move(key), done = std::move(done)]() mutable {
            intents_.append(key, std::move(done));
        });
    };
    hooks.forwardRequest_ = [this](InstanceIncarnation owner, RoutedRequest request, AnswerCallback done) {
        post([this, owner = std::move(owner), request = std::move(request), done = std::move(done)]() mutable {
            forwardRequest(owner, request, std::move(done));
        });
    };
    hooks.forwardQuery_ = [this](InstanceIncarnation owner, std::string key, KeyStatusCallback done) {
        post([this, owner = std::move(owner), key = std::move(key), done = std::move(done)]() mutable {
            forwardQuery(owner, key, std::move(done));
        });
    };
    return hooks;
}

auto ControlPlane::scheduleTick() -> void
{
    timer_.expires_after(TickInterval);
    timer_.async_wait([this](const std::error_code &error) {
        if (!error) {
            tick();
            scheduleTick();
        }
    });
}

auto ControlPlane::tick() -> void
{
    const auto now = std::chrono::steady_clock::now();
    peers_.tick(now);
    rules_.tick(now);
    updateGate(now);
    zones_.tick(now);
    if (const auto rules = rules_.inForce()) {
        for (const auto &[id, rule] : rules->zones_) {
            if (zones_.runtimeOf(id) != nullptr) {
                jobs_.snapshotIfDue(id, settings_.logRetention_);
            }
        }
    }
    if (now >= nextMetricsUpdate_) {
        nextMetricsUpdate_ = now + MetricsUpdateInterval;
        ControlMetrics(*this).update();
    }
    checkDrained(now);
}

auto ControlPlane::checkDrained(SteadyTime now) -> void
{
    if (!onDrained_) {
        return;
    }
    const auto isReleased = !zones_.hasRuntime() && jobs_.pendingAppends() == 0;
    if (isReleased || now >= drainDeadline_) {
        LOG(INFO) << "control_drained released=" << isReleased;
        std::exchange(onDrained_, nullptr)();
    }
}

auto ControlPlane::handleInstances(const InstanceList &list) -> void
{
    zones_.setInstances(list);

    auto targets = std::make_shared<TargetList>();
    targets->asOf_ = list.asOf_;
    std::vector<ListedInstance> entries;
    std::vector<TargetId> newlyLeaving;
    for (const auto &instance : list.instances_) {
        const auto isLeaving = instance.state_ == InstanceState::Leaving;
        if (instance.role_ == InstanceRole::Target) {
            targets->targets_.push_back({TargetId(instance.id_), instance.zone_, instance.address_, isLeaving});
            if (isLeaving && leavingTargets_.insert(TargetId(instance.id_)).second) {
                newlyLeaving.emplace_back(instance.id_);
            }
            if (!isLeaving) {
                leavingTargets_.erase(TargetId(instance.id_));
            }
        } else if (instance.role_ == InstanceRole::Entry && !instance.peerAddress_.empty()) {
            entries.push_back({InstanceId(instance.id_), instance.zone_, instance.peerAddress_});
        }
    }
    hooks_.publishTargets_(targets);
    peers_.setListedInstances(std::move(entries), std::chrono::steady_clock::now());
    if (!newlyLeaving.empty()) {
        // Peers may read the instance list later, or not at all.
        peers_.broadcastLeavingTargets(newlyLeaving);
    }
}

auto ControlPlane::handleForward(ForwardRequest request, std::function<void(Result<ForwardReply>)> done) -> void
{
    auto call = decodeCall(request.body_);
    if (!isOk(call)) {
        done(errorOf(call));
        return;
    }
    if (const auto *explain = std::get_if<ForwardedExplain>(&valueOf(call))) {
        const auto json = ControlViews(*this).explainJobHere(explain->job_);
        if (json) {
            done(ForwardReply{json->dump()});
        } else {
            done(Error{ErrorKind::NotOwner, "this instance does not schedule the job's availability zone", std::nullopt});
        }
        return;
    }
    // The answer arrives on a traffic thread, but the peer server may only be used on the control thread.
    const auto reply = [this, done = std::move(done)](std::string body) {
        post([done, body = std::move(body)] {
            done(ForwardReply{body});
        });
    };
    if (const auto *routed = std::get_if<RoutedRequest>(&valueOf(call))) {
        auto forwarded = *routed;
        forwarded.key_ = std::move(request.key_);
        forwarded.timeLeft_ = request.remaining_;
        hooks_.runForwarded_(std::move(forwarded), [reply](const Result<RoutedAnswer> &answer) {
            reply(encodeAnswer(answer));
        });
        return;
    }
    hooks_.queryForwarded_(std::move(request.key_), [reply](const KeyStatus &status) {
        reply(encodeStatus(status));
    });
}

auto ControlPlane::submitJob(const JobSpec &spec, const JsonCallback &done) -> void
{
    if (draining_) {
        done(Error{ErrorKind::Draining, "the instance is draining and accepts no new jobs", std::nullopt});
        return;
    }
    // A repeated submission is answered with the state of the job.
    if (const auto *status = jobs_.ledger().find(spec.id_)) {
        done(jobs_.describe(*status));
        return;
    }
    const auto zone = zones_.chooseZone(spec);
    if (!isOk(zone)) {
        done(errorOf(zone));
        return;
    }
    LOG(INFO) << "job_submitted job=" << spec.id_.value() << " team=" << spec.team_.value() << " availability_zone=" << valueOf(zone).value();
    traceJob(spec.id_, "job submitted");
    jobs_.submit(spec, valueOf(zone), done);
}

auto ControlPlane::forwardRequest(const InstanceIncarnation &owner, const RoutedRequest &request, AnswerCallback done) -> void
{
    const auto bytes = encodeCall(request);
    peers_.forward(owner.instance_, owner.incarnation_, request.key_, bytes, request.timeLeft_, [done = std::move(done)](const Result<ForwardReply> &reply) {
        done(isOk(reply) ? decodeAnswer(valueOf(reply).body_) : Result<RoutedAnswer>(errorOf(reply)));
    });
}

auto ControlPlane::forwardQuery(const InstanceIncarnation &owner, const std::string &key, KeyStatusCallback done) -> void
{
    const auto bytes = encodeCall(ForwardedQuery());
    peers_.forward(owner.instance_, owner.incarnation_, key, bytes, QueryTimeout, [done = std::move(done)](const Result<ForwardReply> &reply) {
        if (isOk(reply)) {
            done(decodeStatus(valueOf(reply).body_));
            return;
        }
        KeyStatus status;
        status.state_ = KeyStatus::State::Unknown;
        done(status);
    });
}

auto ControlPlane::explainJob(const JobId &job, const JsonCallback &done) -> void
{
    const ControlViews views(*this);
    if (auto json = views.explainJobHere(job)) {
        done(std::move(*json));
        return;
    }
    const auto known = views.job(job);
    const auto *status = jobs_.ledger().find(job);
    if (status == nullptr) {
        done(known);
        return;
    }
    // The owner of the availability zone runs the job's scheduler.
    const auto owner = zones_.ownerOf(status->zone_);
    const auto peer = peers_.view().livePeer(owner.owner_);
    if (!peer) {
        auto json = valueOf(known);
        json["reason"] = "the owner of the availability zone is not reachable";
        done(std::move(json));
        return;
    }
    const auto bytes = encodeCall(ForwardedExplain{job});
    peers_.forward(peer->id_, peer->incarnation_, job.value(), bytes, ExplainTimeout, [known, done](const Result<ForwardReply> &reply) {
        auto json = isOk(reply) ? nlohmann::json::parse(valueOf(reply).body_, nullptr, false) : nlohmann::json();
        if (json.is_object()) {
            done(std::move(json));
        } else {
            done(known);
        }
    });
}

auto ControlPlane::traceJob(const JobId &job, const std::string &event) -> void
{
    auto span = tracer_.startSpan(event, traceOfJob(job));
    span.setAttribute("job", job.value());
    span.setStatus(SpanStatus::Ok);
    span.end();
    LOG(INFO) << "job_event job=" << job.value() << " event=\"" << event << "\"";
}

auto ControlPlane::updateGate(SteadyTime now) -> void
{
    FreshnessInputs inputs;
    const auto rules = rules_.inForce();
    inputs.ownConfirmation_ = rules ? rules_.confirmedAt() : std::nullopt;
    inputs.logUnreachable_ = rules && rules_.unreachableSince().has_value();
    if (const auto relayed = peers_.view().freshestConfirmation(ConfirmationScope::AllZones, now); rules && relayed) {
        inputs.relayedConfirmation_ = now - relayed->age_;
        inputs.relayedVersionInForce_ = relayed->version_ <= rules->version_;
    }
    if (inputs.logUnreachable_) {
        std::vector<AvailabilityZoneId> zones;
        for (const auto &[id, rule] : rules->zones_) {
            zones.push_back(id);
        }
        const auto answer = peers_.view().logAnswer(zones, now);
        inputs.logDownEverywhere_ = answer.allAnswer_ && answer.noneCanRead_;
    }
    const auto decision = decideGate(inputs, now);
    if (decision.open_ != gate_.open_) {
        LOG(INFO) << "start_gate_changed open=" << decision.open_ << " reason=" << toString(decision.reason_);
    }
    gate_ = decision;
}

auto ControlPlane::localState(SteadyTime now) -> NodeState
{
    NodeState state;
    if (const auto rules = rules_.inForce()) {
        state.ruleVersion_ = rules->version_;
        if (const auto confirmed = rules_.confirmedAt()) {
            state.confirmationAge_ = std::chrono::duration_cast<std::chrono::milliseconds>(now - *confirmed);
        }
    }
    state.logReadable_ = !rules_.unreachableSince().has_value();
    state.capacities_ = zones_.capacities();
    return state;
}

auto ControlPlane::candidates() const -> std::vector<OwnershipCandidate>
{
    std::vector<OwnershipCandidate> candidates;
    if (!draining_) {
        candidates.push_back({settings_.id_, settings_.zone_});
    }
    for (const auto &peer : peers_.view().livePeers()) {
        if (!peer.leaving_) {
            candidates.push_back({peer.id_, peer.zone_});
        }
    }
    return candidates;
}

auto ControlPlane::confirmedDead() const -> std::set<InstanceId>
{
    std::set<InstanceId> dead;
    for (const auto &ended : peers_.view().ended()) {
        if (!peers_.view().livePeer(ended.id_)) {
            dead.insert(ended.id_);
        }
    }
    dead.erase(settings_.id_);
    return dead;
}

auto ControlPlane::isLowestInstance() const -> bool
{
    const auto peers = peers_.view().livePeers();
    return std::none_of(peers.begin(), peers.end(), [this](const LivePeer &peer) {
        return peer.id_ < settings_.id_;
    });
}

auto ControlPlane::newRecordId() -> RecordId
{
    return RecordId(recordPrefix(settings_, incarnation_) + "-" + std::to_string(++recordCounter_));
}

auto ControlPlane::post(std::function<void()> call) -> void
{
    asio::post(context_, std::move(call));
}
} // namespace Marjoramfold
