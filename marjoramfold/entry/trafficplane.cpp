#include "marjoramfold/entry/trafficplane.h"

#include "marjoramfold/api/erroranswer.h"

#include <asio/post.hpp>

#include <utility>

namespace Marjoramfold
{
namespace
{
constexpr std::string_view TraceparentHeader = "traceparent";
constexpr int FirstServerError = 500;

/// Sets the traceparent header of a request, replacing the caller's.
auto replaceTraceparent(HttpHeaders &headers, const TraceContext &context) -> void
{
    const auto value = formatTraceparent(context);
    for (auto &header : headers) {
        if (sameHeaderName(header.name_, TraceparentHeader)) {
            header.value_ = value;
            return;
        }
    }
    headers.push_back({std::string(TraceparentHeader), value});
}

/// False for paths that are polled: their spans would evict all others from the tracer's buffer.
auto isTraced(std::string_view path) -> bool
{
    return path != "/metrics" && path != "/healthz" && path != "/readyz" && !path.starts_with("/v1/traces/");
}
} // namespace

struct TrafficPlane::ThreadContext {
    ThreadContext()
        : context_(1)
        , work_(asio::make_work_guard(context_))
    {
    }

    asio::io_context context_;
    asio::executor_work_guard<asio::io_context::executor_type> work_;
    std::unique_ptr<RequestCommandHandlers> commands_;
    std::unique_ptr<RequestQueryHandlers> queries_;
    std::unique_ptr<HttpServer> server_;
};

TrafficPlane::TrafficPlane(
    const EntrySettings &settings, RouterGroupOptions options, RouterHooks hooks, ControlCommands commands, ControlQueries queries, Tracer &tracer)
    : settings_(settings)
    , tracer_(tracer)
    , commands_(std::move(commands))
    , queries_(std::move(queries))
{
    std::vector<asio::io_context *> contexts;
    for (auto i = 0; i < settings.limits_.trafficThreads_; ++i) {
        threadContexts_.push_back(std::make_unique<ThreadContext>());
        contexts.push_back(&threadContexts_.back()->context_);
    }
    routers_ = std::make_unique<RouterGroup>(contexts, std::move(options), std::move(hooks));
    for (std::size_t i = 0; i < threadContexts_.size(); ++i) {
        threadContexts_[i]->commands_ = std::make_unique<RequestCommandHandlers>(*routers_, i);
        threadContexts_[i]->queries_ = std::make_unique<RequestQueryHandlers>(*routers_, i);
    }
}

TrafficPlane::~TrafficPlane()
{
    stop();
}

auto TrafficPlane::start() -> void
{
    for (auto &threadContext : threadContexts_) {
        HttpServerOptions options;
        options.address_ = settings_.listenAddress_;
        options.port_ = settings_.httpPort_;
        options.reusePort_ = true;
        threadContext->server_ = std::make_unique<HttpServer>(
            threadContext->context_, options, [this, &threadContext = *threadContext](HttpServerRequest request, const HttpResponder &respond) {
                handle(threadContext, std::move(request), respond);
            });
        threadContext->server_->start();
    }
    for (auto &threadContext : threadContexts_) {
        threads_.emplace_back([&threadContext = *threadContext] {
            threadContext.context_.run();
        });
    }
}

auto TrafficPlane::stopAccepting() -> void
{
    for (auto &threadContext : threadContexts_) {
        asio::post(threadContext->context_, [&threadContext = *threadContext] {
            threadContext.server_->stopAccepting();
        });
    }
}

auto TrafficPlane::stop() -> void
{
    for (auto &threadContext : threadContexts_) {
        threadContext->context_.stop();
    }
    for (auto &thread : threads_) {
        thread.join();
    }
    threads_.clear();
}

auto TrafficPlane::routers() -> RouterGroup &
{
    return *routers_;
}

auto TrafficPlane::post(std::function<void()> call) -> void
{
    asio::post(threadContexts_.front()->context_, std::move(call));
}

auto TrafficPlane::handle(ThreadContext &threadContext, HttpServerRequest request, const HttpResponder &respond) -> void
{
    // Server span of the request; all later spans are its descendants.
    auto answer = respond;
    const auto path = std::string(pathOf(request.target_));
    if (isTraced(path)) {
        auto span = std::make_shared<Span>(tracer_.startServerSpan(request.method_ + " " + path, findHeader(request.headers_, TraceparentHeader).value_or("")));
        replaceTraceparent(request.headers_, span->context());
        answer = [respond, span](HttpServerResponse response) {
            span->setAttribute("http.status_code", std::int64_t(response.status_));
            span->setStatus(response.status_ < FirstServerError ? SpanStatus::Ok : SpanStatus::Error);
            response.headers_.push_back({std::string(TraceparentHeader), formatTraceparent(span->context())});
            span->end();
            respond(std::move(response));
        };
    }
    if (handleRequestPath(*threadContext.commands_, *threadContext.queries_, request, answer) || commands_.handle(request, answer)
        || queries_.handle(request, answer)) {
        return;
    }
    answer(errorResponse({ErrorKind::NotFound, "unknown path: " + request.method_ + " " + path, std::nullopt}));
}
} // namespace Marjoramfold
