#pragma once

#include "marjoramfold/http/httpclient.h"
#include "marjoramfold/http/httpserver.h"
#include "marjoramfold/http/persistenthttpclient.h"
#include "marjoramfold/node/callerapi.h"
#include "marjoramfold/node/election.h"
#include "marjoramfold/node/instancemetrics.h"
#include "marjoramfold/node/jobfeed.h"
#include "marjoramfold/node/leaderruntime.h"
#include "marjoramfold/node/nodesettings.h"
#include "marjoramfold/node/operatorview.h"
#include "marjoramfold/node/platformbinding.h"
#include "marjoramfold/observability/metrics.h"

#include <asio/io_context.hpp>

#include <atomic>
#include <functional>
#include <memory>
#include <string>
#include <thread>

namespace Marjoramfold
{
/// One instance: handles HTTP on a traffic thread; everything else, including scheduling as leader, runs on the control thread.
class Instance
{
public:
    /// Creates the platform's binding; `storeAddress` returns the address in the current settings.
    using MakeBinding = std::function<PlatformBinding(
        HttpClient &store, PersistentHttpClient &workers, std::function<std::string()> storeAddress, std::chrono::milliseconds commandTimeout)>;

    Instance(asio::io_context &control, NodeSettings settings, const MakeBinding &makeBinding);
    ~Instance();
    Instance(const Instance &) = delete;
    auto operator=(const Instance &) -> Instance & = delete;

    /// Starts the servers and the stream followers. Throws std::exception when an address cannot be bound.
    auto start() -> void;

    /// Applies the settings that may change at run time.
    auto reload(const NodeSettings &settings) -> void;

    /// Resigns leadership, answers the calls received, and then runs `done` on the control thread.
    auto drain(std::function<void()> done) -> void;

private:
    auto schedule(std::chrono::milliseconds pause, std::function<void()> step) -> void;
    auto handleCaller(HttpServerRequest request, HttpResponder respond) -> void;
    auto handleReadiness(const HttpServerRequest &request, const HttpResponder &respond) -> void;
    auto onFeedRecords(const std::vector<StoredRecord> &records, bool loaded) -> void;
    auto startLeading(std::uint64_t epoch) -> void;
    auto stopLeading() -> void;
    auto stepDownLater(std::uint64_t epoch, const std::string &reason, std::function<void()> step) -> void;
    auto checkPeriodically() -> void;
    auto reportWork() -> void;
    auto finishWhenIdle(BootTime deadline, const std::function<void()> &done) -> void;
    [[nodiscard]] auto makeFollower() -> std::shared_ptr<StreamFollower>;
    [[nodiscard]] auto makeAppender() -> std::shared_ptr<OrderedAppender>;
    [[nodiscard]] auto makeElection() -> std::unique_ptr<Election>;

    asio::io_context &control_;
    NodeSettings settings_;
    std::uint64_t process_;
    asio::io_context traffic_{1};
    MetricsRegistry metrics_;
    InstanceMetrics instanceMetrics_{metrics_};
    WorkMeter workMeter_;
    /// When the work of the control thread was last reported.
    BootTime workReportedAt_{};
    HttpClient storeClient_;
    PersistentHttpClient workerClient_;
    PlatformBinding binding_;
    JobFeed feed_;
    std::shared_ptr<StreamFollower> feedFollower_;
    std::shared_ptr<OrderedAppender> appender_;
    std::unique_ptr<OperatorView> view_;
    std::unique_ptr<CallerApi> callerApi_;
    std::unique_ptr<Election> election_;
    std::shared_ptr<LeaderRuntime> leader_;
    std::unique_ptr<HttpServer> callerServer_;
    std::unique_ptr<HttpServer> readinessServer_;
    std::unique_ptr<HttpServer> metricsServer_;
    std::thread trafficThread_;
    std::atomic<int> openCalls_{0};
    std::atomic<bool> ready_{false};
    std::atomic<bool> draining_{false};
};
} // namespace Marjoramfold
