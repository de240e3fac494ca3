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
/// Identity and shape of a stand-in worker.
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

/// Serves a WorkerState over the workers' HTTP protocol.
class WorkerServer
{
public:
    WorkerServer(asio::io_context &context, WorkerServerOptions options);

    /// Starts to listen and returns the bound port.
    auto start() -> std::uint16_t;

private:
    /// An answer that waits for a change of the state.
    struct PendingAnswer {
        std::function<bool()> isReady_;
        SteadyTime deadline_;
        std::function<void()> answer_;
    };

    auto handle(const HttpServerRequest &request, HttpResponder respond) -> void;
    auto handleCommands(const HttpServerRequest &request, HttpResponder respond) -> void;
    auto handleInventory(const HttpServerRequest &request, HttpResponder respond) -> void;
    auto handleFaults(const HttpServerRequest &request, HttpResponder respond) -> void;
    auto answerWhen(std::function<bool()> isReady, SteadyTime deadline, std::function<void()> answer) -> void;
    auto answerReady() -> void;
    auto scheduleTick() -> void;
    auto registerWithPlatform() -> void;

    WorkerServerOptions options_;
    WorkerState state_;
    HttpClient client_;
    asio::steady_timer tick_;
    asio::steady_timer registration_;
    HttpServer server_;
    std::uint16_t port_ = 0;
    std::list<PendingAnswer> pending_;
};
} // namespace Marjoramfold::Standins
