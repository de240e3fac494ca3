#pragma once

#include "marjoramfold/api/controlhandlers.h"
#include "marjoramfold/api/requesthandlers.h"
#include "marjoramfold/entry/entrysettings.h"
#include "marjoramfold/http/httpserver.h"
#include "marjoramfold/observability/tracer.h"
#include "marjoramfold/routing/routergroup.h"

#include <asio/executor_work_guard.hpp>
#include <asio/io_context.hpp>

#include <memory>
#include <thread>
#include <vector>

namespace Marjoramfold
{
/// Traffic threads of an instance. Each serves HTTP on the shared port and routes its requests.
class TrafficPlane
{
public:
    TrafficPlane(
        const EntrySettings &settings, RouterGroupOptions options, RouterHooks hooks, ControlCommands commands, ControlQueries queries, Tracer &tracer);
    ~TrafficPlane();
    TrafficPlane(const TrafficPlane &) = delete;
    auto operator=(const TrafficPlane &) -> TrafficPlane & = delete;

    /// Binds the HTTP port and starts the threads. Throws std::exception when the port is in use.
    auto start() -> void;

    /// Closes the listeners; open connections are still served. Call it after the routers are drained.
    auto stopAccepting() -> void;

    /// Stops and joins the threads. Requests in progress must have completed, see RouterGroup::drain.
    auto stop() -> void;

    [[nodiscard]] auto routers() -> RouterGroup &;

    /// Posts a call to the first traffic thread.
    auto post(std::function<void()> call) -> void;

private:
    /// Event loop, HTTP server and request handlers of one traffic thread.
    struct ThreadContext;

    auto handle(ThreadContext &threadContext, HttpServerRequest request, const HttpResponder &respond) -> void;

    EntrySettings settings_;
    Tracer &tracer_;
    std::vector<std::unique_ptr<ThreadContext>> threadContexts_;
    std::unique_ptr<RouterGroup> routers_;
    ControlCommandHandlers commands_;
    ControlQueryHandlers queries_;
    std::vector<std::thread> threads_;
};
} // namespace Marjoramfold
