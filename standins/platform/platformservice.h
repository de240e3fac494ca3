#pragma once

#include "marjoramfold/http/httpserver.h"
#include "standins/platform/instanceregistry.h"
#include "standins/platform/logstore.h"

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>

#include <chrono>
#include <cstdint>
#include <functional>
#include <list>
#include <memory>
#include <random>
#include <string>

namespace Marjoramfold::Standin
{
/// Limits of the stand-in, and the seed of its random faults.
struct PlatformOptions {
    RetentionOptions retention_;
    /// Appends per second above which the log answers 503; 0 for no limit.
    int maxAppendsPerSecond_ = 500;
    std::uint64_t seed_ = 1;
};

/// Faults of the stand-in, set by POST /v1/faults.
struct PlatformFaults {
    /// Log requests are answered with status 503.
    bool outage_ = false;
    /// Probability that an append is stored, but its answer has no body and the connection is closed.
    double appendAnswerLoss_ = 0;
    /// Number of following appends that have this fault.
    int appendAnswerLossNext_ = 0;
    /// Number of following log answers that are not valid JSON.
    int malformedNext_ = 0;
    /// Delay before a log request is handled.
    std::chrono::milliseconds delay_{0};
};

/// Serves the platform's log, its instance list, and the fault control.
class PlatformService
{
public:
    PlatformService(asio::io_context &context, PlatformOptions options);
    ~PlatformService();
    PlatformService(const PlatformService &) = delete;
    auto operator=(const PlatformService &) -> PlatformService & = delete;

    /// Handles one request; to be used as the handler of an HttpServer on the same io_context.
    auto handle(HttpServerRequest request, HttpResponder respond) -> void;

    /// Drops all records of a stream, as retention would.
    auto dropAll(const std::string &stream) -> void;

    /// The faults, for tests that run in the same process.
    [[nodiscard]] auto faults() -> PlatformFaults &;

    /// The instance list, for static entries.
    [[nodiscard]] auto instances() -> InstanceRegistry &;

private:
    /// A read that waits for the next record of a stream.
    struct PendingRead {
        std::string stream_;
        Offset from_ = 0;
        std::size_t max_ = 0;
        HttpResponder respond_;
        asio::steady_timer timer_;
    };
    using PendingReadPointer = std::shared_ptr<PendingRead>;

    auto handleLog(const HttpServerRequest &request, const HttpResponder &respond) -> void;
    auto append(const std::string &stream, const HttpServerRequest &request, const HttpResponder &respond) -> void;
    auto read(const std::string &stream, const HttpServerRequest &request, const HttpResponder &respond) -> void;
    auto answerRead(const PendingRead &pending) -> void;
    auto completePendingReads(const std::string &stream) -> void;
    auto listInstances(const HttpServerRequest &request, const HttpResponder &respond) -> void;
    auto putInstance(const HttpServerRequest &request, const HttpResponder &respond) -> void;
    auto setFaults(const HttpServerRequest &request, const HttpResponder &respond) -> void;
    auto isOverRate(std::size_t records) -> bool;
    auto shouldLoseAnswer() -> bool;
    auto makeLogAnswer(std::string body) -> HttpServerResponse;

    asio::io_context &context_;
    PlatformOptions options_;
    PlatformFaults faults_;
    LogStore log_;
    InstanceRegistry instances_;
    std::list<PendingReadPointer> pendingReads_;
    std::mt19937_64 random_;
    double appendTokens_ = 0;
    SteadyTime tokensAt_;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};
} // namespace Marjoramfold::Standin
