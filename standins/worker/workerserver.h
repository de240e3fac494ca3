#pragma once

#include "marjoramfold/http/httpclient.h"
#include "marjoramfold/http/httpserver.h"
#include "standins/worker/workerstate.h"

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>

#include <functional>
#include <list>

namespace Marjoramfold::Standins
{
/// Address, identity and capacity of a stand-in worker.
struct WorkerServerOptions {
    std::string address_ = "127.0.0.1";
    std::uint16_t port_ = 0;
    /// HOST:PORT of the platform to register with; empty for none.
    std::string platform_;
    WorkerId id_;
    AvailabilityZoneId zone_;
    RackId rack_;
    Resources capacity_;
    std::chrono::milliseconds usageLag_{1'000};
};

/// Serves a WorkerState over the HTTP protocol of workers.
class WorkerServer
{
public:
    WorkerServer(asio::io_context &context, WorkerServerOptions options);

    /// Starts listening and returns the bound port.
    auto start() -> std::uint16_t;

private:
    /// A response that is sent once its condition holds or its deadline has passed.
    struct PendingResponse {
        std::function<bool()> isReady_;
        SteadyTime deadline_;
        std::function<void()> respond_;
    };

    auto handle(const HttpServerRequest &request, HttpResponder respond) -> void;
    auto handleCommands(const HttpServerRequest &request, HttpResponder respond) -> void;
    auto handleInventory(const HttpServerRequest &request, HttpResponder respond) -> void;
    auto handleFaults(const HttpServerRequest &request, HttpResponder respond) -> void;
    auto respondWhen(std::function<bool()> isReady, SteadyTime deadline, std::function<void()> respond) -> void;
    auto sendReadyResponses() -> void;
    auto scheduleTick() -> void;
    auto registerWithPlatform() -> void;

    WorkerServerOptions options_;
    WorkerState state_;
    HttpClient client_;
    asio::steady_timer tickTimer_;
    asio::steady_timer registrationTimer_;
    HttpServer server_;
    std::uint16_t port_ = 0;
    std::list<PendingResponse> pending_;
};
} // namespace Marjoramfold::Standins
