#include "marjoramfold/node/instance.h"

#include "marjoramfold/node/meteredcalls.h"
#include "marjoramfold/observability/logline.h"

#include <asio/executor_work_guard.hpp>
#include <asio/post.hpp>
#include <asio/steady_timer.hpp>

#include <algorithm>
#include <charconv>
#include <functional>
#include <random>
#include <utility>

namespace Marjoramfold
{
namespace
{
constexpr std::chrono::milliseconds CheckInterval{100};
/// Interval of the leader's log line on the work of its control thread, and the work above which it is written.
constexpr std::chrono::milliseconds WorkReportInterval{1000};
constexpr std::chrono::milliseconds MinReportedWork{50};
constexpr std::int64_t MicrosecondsPerMillisecond = 1000;
/// Pause between feed reads of an instance that does not lead; a caller's query for a running job shortens it.
constexpr std::chrono::milliseconds FollowerReadPause{600};
/// Longest wait of a leader's read for records. The store may hold back new records from a waiting read for a second.
constexpr std::chrono::milliseconds LeaderReadWait{200};
/// The load balancer stops sending calls after two failed readiness checks, one second apart.
constexpr std::chrono::milliseconds ReadinessDrainTime{2300};
/// Part of the grace period reserved for ending the process.
constexpr std::chrono::milliseconds ShutdownReserve{1000};
/// The platform rejects larger bodies.
constexpr std::size_t MaxBodyBytes = 262'144;
constexpr std::chrono::seconds CallerIdleTimeout{60};
/// Core share from which an instance can lead a large fleet; instances with less claim only if none of these does.
constexpr double LeadingCoreShare = 0.2;
/// Claim delay of an instance without a core share; a larger share shortens it, so that instances with more CPU claim first.
constexpr std::chrono::milliseconds MaxClaimDelay{600};
/// Range of the delay derived from the instance's name, so that equal instances do not claim at once.
constexpr std::chrono::milliseconds ClaimDelaySpread{150};
/// The same for instances below LeadingCoreShare, of which a site may have hundreds.
constexpr std::chrono::milliseconds SmallClaimDelaySpread{1500};

auto serverOptions(const std::string &address) -> HttpServerOptions
{
    const auto colon = address.rfind(':');
    HttpServerOptions options;
    options.address_ = address.substr(0, colon);
    std::from_chars(address.data() + colon + 1, address.data() + address.size(), options.port_);
    options.maxBodyBytes_ = MaxBodyBytes;
    options.idleTimeout_ = CallerIdleTimeout;
    return options;
}

/// Part of the descriptors that connections to workers may use; callers and the store need the others.
constexpr double WorkerConnectionShare = 0.75;

auto workerClientOptions(const NodeSettings &settings, WorkMeter &workMeter) -> HttpClientOptions
{
    // A leader has a waiting renewal and often a second command at each worker. With fewer kept connections than that, each command
    // opens a new one.
    HttpClientOptions options;
    options.maxIdleConnections_ = static_cast<long>(static_cast<double>(settings.maxDescriptors_) * WorkerConnectionShare);
    options.workMeter_ = &workMeter;
    options.callbackWork_ = WorkKind::WorkerAnswers;
    return options;
}

auto storeClientOptions(WorkMeter &workMeter) -> HttpClientOptions
{
    HttpClientOptions options;
    options.workMeter_ = &workMeter;
    options.callbackWork_ = WorkKind::StoreAnswers;
    return options;
}

auto randomNumber() -> std::uint64_t
{
    std::random_device device;
    return (std::uint64_t(device()) << 32U) | device();
}

/// Delay before an instance claims leadership.
auto claimDelayOf(const NodeSettings &settings) -> std::chrono::milliseconds
{
    const auto delayFactor = 1.0 / (1.0 + 8.0 * settings.coreShare_);
    const auto isSmall = settings.coreShare_ < LeadingCoreShare;
    const auto spreadRange = isSmall ? SmallClaimDelaySpread : ClaimDelaySpread;
    const auto spread = std::hash<std::string>()(settings.name_) % static_cast<std::size_t>(spreadRange.count());
    return std::chrono::milliseconds(static_cast<std::int64_t>(delayFactor * delayFactor * static_cast<double>(MaxClaimDelay.count())))
        + std::chrono::milliseconds(spread);
}

/// Delay of an instance below LeadingCoreShare that a slow store does not prolong: larger instances may learn up to a read pause later
/// that there is no leader.
auto deferenceOf(const NodeSettings &settings) -> std::chrono::milliseconds
{
    return settings.coreShare_ < LeadingCoreShare ? FollowerReadPause : std::chrono::milliseconds(0);
}
} // namespace

Instance::Instance(asio::io_context &control, NodeSettings settings, const MakeBinding &makeBinding)
    : control_(control)
    , settings_(std::move(settings))
    , process_(randomNumber())
    , storeClient_(control, storeClientOptions(workMeter_))
    , workerClient_(control, workerClientOptions(settings_, workMeter_))
    , binding_(makeBinding(
          storeClient_,
          workerClient_,
          [this] {
              return settings_.storeAddress_;
          },
          settings_.dispatch_.commandTimeout_))
{
    binding_.store_ = meterStore(std::move(binding_.store_), metrics_);
    binding_.workers_ = meterWorkers(std::move(binding_.workers_), metrics_);
    const auto scheduleStep = [this](std::chrono::milliseconds pause, std::function<void()> step) {
        schedule(pause, std::move(step));
    };
    feedFollower_ = makeFollower();
    appender_ = makeAppender();
    view_ = std::make_unique<OperatorView>(binding_, scheduleStep, [this] {
        feed_.queueSettings().observe(view_->config());
        if (leader_) {
            leader_->onConfigChanged();
        }
    });
    CallerApiOptions options;
    // The rest of the bound is reserved for calls that passed the check and are still in progress.
    constexpr double MaxConfigurationAgeShare = 0.6;
    options.maxConfigurationAge_ = std::chrono::duration_cast<std::chrono::milliseconds>(settings_.revokeBound_ * MaxConfigurationAgeShare);
    options.rejectHopeless_ = settings_.dispatch_.rejectHopeless_;
    callerApi_ = std::make_unique<CallerApi>(options, binding_, *view_, feed_, feedFollower_, appender_, scheduleStep, metrics_);
    election_ = makeElection();
    feed_.setListeners({[this](const Submission &submission) {
                            if (leader_) {
                                leader_->onSubmitted(submission);
                            }
                        },
                        [this](const JobId &id) {
                            if (leader_) {
                                leader_->onCancelled(id);
                            }
                        },
                        [this](const JobId &id) {
                            if (leader_) {
                                leader_->onRemoved(id);
                            }
                        },
                        [this] {
                            asio::post(control_, [this] {
                                election_->check();
                            });
                        },
                        [this](const JobId &id) {
                            callerApi_->onJobEnded(id);
                        },
                        [this](const std::string &value) {
                            if (settings_.dispatch_.rejectHopeless_) {
                                callerApi_->onBacklogPublished(value);
                            }
                        }});
}

Instance::~Instance()
{
    traffic_.stop();
    if (trafficThread_.joinable()) {
        trafficThread_.join();
    }
}

auto Instance::makeFollower() -> std::shared_ptr<StreamFollower>
{
    FollowerOptions options;
    options.stream_ = feedStream();
    options.readPause_ = FollowerReadPause;
    return std::make_shared<StreamFollower>(
        binding_.store_,
        [this](std::chrono::milliseconds pause, std::function<void()> step) {
            schedule(pause, std::move(step));
        },
        options,
        [this](const std::vector<StoredRecord> &records, bool loaded) {
            onFeedRecords(records, loaded);
        },
        [this] {
            feed_.beginReload();
        });
}

auto Instance::makeAppender() -> std::shared_ptr<OrderedAppender>
{
    AppenderOptions options;
    options.stream_ = feedStream();
    options.producer_ = settings_.name_ + "-" + std::to_string(process_);
    return std::make_shared<OrderedAppender>(
        binding_.store_,
        [this](std::chrono::milliseconds pause, std::function<void()> step) {
            schedule(pause, std::move(step));
        },
        options);
}

auto Instance::makeElection() -> std::unique_ptr<Election>
{
    ElectionOptions options;
    options.instance_ = settings_.name_;
    options.process_ = process_;
    options.claimDelay_ = claimDelayOf(settings_);
    options.deference_ = deferenceOf(settings_);
    return std::make_unique<Election>(options,
                                      feed_,
                                      feedFollower_,
                                      appender_,
                                      Election::Hooks{[this](std::uint64_t epoch) {
                                                          startLeading(epoch);
                                                      },
                                                      [this] {
                                                          stopLeading();
                                                      }});
}

auto Instance::schedule(std::chrono::milliseconds pause, std::function<void()> step) -> void
{
    auto timer = std::make_shared<asio::steady_timer>(control_, pause);
    timer->async_wait([timer, step = std::move(step)](const std::error_code &error) {
        if (!error) {
            step();
        }
    });
}

auto Instance::start() -> void
{
    callerServer_ = std::make_unique<HttpServer>(traffic_, serverOptions(settings_.callerAddress_), [this](HttpServerRequest request, HttpResponder respond) {
        handleCaller(std::move(request), std::move(respond));
    });
    readinessServer_ = std::make_unique<HttpServer>(
        traffic_, serverOptions(settings_.readinessAddress_), [this](const HttpServerRequest &request, const HttpResponder &respond) {
            handleReadiness(request, respond);
        });
    metricsServer_ = std::make_unique<HttpServer>(
        traffic_, serverOptions(settings_.metricsAddress_), [this](const HttpServerRequest & /*request*/, const HttpResponder &respond) {
            respond({200, {}, metrics_.text(), MetricsContentType, false});
        });
    callerServer_->start();
    readinessServer_->start();
    metricsServer_->start();
    trafficThread_ = std::thread([this] {
        const auto work = asio::make_work_guard(traffic_);
        traffic_.run();
    });
    feedFollower_->start();
    view_->start();
    checkPeriodically();
    LogLine(LogSeverity::Info, "instance_started")
        .with("instance", settings_.name_)
        .with("zone", settings_.zone_)
        .with("process", process_)
        .with("callers", settings_.callerAddress_)
        .with("store", settings_.storeAddress_);
}

auto Instance::reload(const NodeSettings &settings) -> void
{
    LogLine(LogSeverity::Info, "settings_reloaded")
        .with("instance", settings.name_)
        .with("store_before", settings_.storeAddress_)
        .with("store", settings.storeAddress_);
    // The instance's name and its listen addresses cannot change at run time.
    settings_.storeAddress_ = settings.storeAddress_;
    settings_.shutdownGrace_ = settings.shutdownGrace_;
}

auto Instance::handleCaller(HttpServerRequest request, HttpResponder respond) -> void
{
    ++openCalls_;
    auto call = binding_.decodeCall_(request);
    asio::post(control_, [this, call = std::move(call), respond = std::move(respond)]() mutable {
        const WorkMeter::Scope scope(&workMeter_, WorkKind::Callers);
        callerApi_->handle(std::move(call), [this, respond = std::move(respond)](const CallerAnswer &answer) {
            auto response = binding_.encodeAnswer_(answer);
            // Closing the connection of a draining or unready instance moves the caller's next call to another instance.
            response.closeConnection_ = draining_ || !ready_;
            respond(std::move(response));
            --openCalls_;
        });
    });
}

auto Instance::handleReadiness(const HttpServerRequest &request, const HttpResponder &respond) -> void
{
    if (!binding_.isReadinessCheck_(request)) {
        respond({404, {}, "{}"});
        return;
    }
    respond({ready_ && !draining_ ? 200 : 503, {}, "{}"});
}

auto Instance::onFeedRecords(const std::vector<StoredRecord> &records, bool loaded) -> void
{
    const WorkMeter::Scope scope(&workMeter_, WorkKind::Feed);
    feed_.apply(records);
    if (loaded) {
        feed_.endReload();
    }
}

auto Instance::checkPeriodically() -> void
{
    const auto ready = callerApi_->isReady();
    if (ready != ready_) {
        LogLine(LogSeverity::Info, ready ? "instance_ready" : "instance_not_ready")
            .with("config", view_->config().version())
            .with("feed_loaded", feedFollower_->isLoaded());
        ready_ = ready;
    }
    instanceMetrics_.update(ready, feed_, *appender_, leader_.get());
    reportWork();
    election_->check();
    schedule(CheckInterval, [this] {
        checkPeriodically();
    });
}

auto Instance::reportWork() -> void
{
    const auto now = BootClock::now();
    if (now - workReportedAt_ < WorkReportInterval) {
        return;
    }
    const auto elapsed = std::chrono::duration_cast<std::chrono::milliseconds>(now - workReportedAt_);
    workReportedAt_ = now;
    const auto work = workMeter_.takeSummary();
    instanceMetrics_.addWork(work);
    if (!leader_ || work.total() < MinReportedWork) {
        return;
    }
    LogLine line(LogSeverity::Info, "control_work");
    line.with("elapsed_ms", elapsed.count());
    for (std::size_t kind = 0; kind < WorkKindCount; ++kind) {
        line.with(std::string(toString(static_cast<WorkKind>(kind))) + "_ms", work.times_.at(kind).count() / MicrosecondsPerMillisecond);
    }
    line.with("longest_ms", work.longest_.count() / MicrosecondsPerMillisecond).with("longest", toString(work.longestKind_));
}

auto Instance::startLeading(std::uint64_t epoch) -> void
{
    LeaderContext context;
    context.binding_ = binding_;
    context.dispatch_ = settings_.dispatch_;
    context.instance_ = settings_.name_;
    context.process_ = process_;
    context.config_ = [this]() -> const OperatorConfig & {
        return view_->config();
    };
    context.evacuatedZones_ = [this]() -> const std::unordered_set<std::string> & {
        return view_->evacuatedZones();
    };
    context.wallNow_ = [] {
        return toUnixMilliseconds(std::chrono::system_clock::now());
    };
    context.schedule_ = [this](std::chrono::milliseconds pause, std::function<void()> step) {
        schedule(pause, std::move(step));
    };
    context.workMeter_ = &workMeter_;
    context.fenced_ = [this, epoch] {
        stepDownLater(epoch, "a higher epoch is in force", [this] {
            election_->relinquish();
        });
    };
    context.leadershipExpired_ = [this, epoch] {
        stepDownLater(epoch, "the store did not confirm the leadership within the renewal limit", [this] {
            election_->resign();
        });
    };
    feedFollower_->setReadTiming(std::chrono::milliseconds(0), LeaderReadWait);
    leader_ = std::make_shared<LeaderRuntime>(std::move(context), epoch, feed_);
    leader_->start();
}

auto Instance::stepDownLater(std::uint64_t epoch, const std::string &reason, std::function<void()> step) -> void
{
    // Posted, because the step destroys the LeaderRuntime that calls this.
    asio::post(control_, [this, epoch, reason, step = std::move(step)] {
        if (election_->ledEpoch() == epoch) {
            LogLine(LogSeverity::Warning, "stepping_down").with("epoch", epoch).with("reason", reason);
            step();
        }
    });
}

auto Instance::stopLeading() -> void
{
    feedFollower_->setReadTiming(FollowerReadPause, FollowerOptions().wait_);
    if (leader_) {
        leader_->stop();
        // Pending callbacks may still hold the object; they return because it is stopped.
        leader_.reset();
    }
}

auto Instance::drain(std::function<void()> done) -> void
{
    if (draining_) {
        return;
    }
    draining_ = true;
    LogLine(LogSeverity::Info, "draining").with("open_calls", openCalls_.load()).with("leads", leader_ != nullptr);
    election_->stopClaiming();
    if (leader_) {
        leader_->resign([this] {
            asio::post(control_, [this] {
                election_->relinquish();
            });
        });
    }
    const auto deadline = BootClock::now() + settings_.shutdownGrace_ - ShutdownReserve;
    schedule(std::min(ReadinessDrainTime, settings_.shutdownGrace_ / 2), [this, deadline, done = std::move(done)] {
        finishWhenIdle(deadline, done);
    });
}

auto Instance::finishWhenIdle(BootTime deadline, const std::function<void()> &done) -> void
{
    constexpr std::chrono::milliseconds PollInterval{50};
    if (openCalls_ > 0 && BootClock::now() < deadline) {
        schedule(PollInterval, [this, deadline, done] {
            finishWhenIdle(deadline, done);
        });
        return;
    }
    LogLine(LogSeverity::Info, "instance_stopped").with("instance", settings_.name_).with("open_calls", openCalls_.load());
    done();
}
} // namespace Marjoramfold
