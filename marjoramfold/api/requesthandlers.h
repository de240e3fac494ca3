#pragma once

#include "marjoramfold/http/httpserver.h"
#include "marjoramfold/routing/routergroup.h"

#include <string>
#include <string_view>

namespace Marjoramfold
{
/// Reads a request from headers (X-Team, X-Priority, X-Deadline-Ms, X-Idempotent, Idempotency-Key) with the body as it is, or,
/// without X-Team, from a JSON body with the fields team, priority, deadline_ms, idempotent, key and body.
///
/// A request is idempotent unless it is marked otherwise or has a key without a mark. Errors: InvalidRequest.
[[nodiscard]] auto parseRequest(HttpServerRequest request) -> Result<RoutedRequest>;

/// Handlers that start work: POST /v1/requests and POST /v1/request-keys. One object for each traffic thread.
class RequestCommandHandlers
{
public:
    RequestCommandHandlers(RouterGroup &routers, std::size_t threadIndex);

    /// POST /v1/requests: routes the request to a target and passes the whole answer back.
    auto postRequest(HttpServerRequest request, const HttpResponder &respond) -> void;

    /// POST /v1/request-keys: answers {"key":...} with a key that this instance alone may run.
    auto postRequestKey(const HttpServerRequest &request, const HttpResponder &respond) -> void;

private:
    RouterGroup &routers_;
    std::size_t threadIndex_;
};

/// Handlers that only read: GET /v1/requests/KEY. One object for each traffic thread.
class RequestQueryHandlers
{
public:
    RequestQueryHandlers(RouterGroup &routers, std::size_t threadIndex);

    /// GET /v1/requests/KEY: the answer as it was, 202 while it is in progress, or an error.
    auto getRequest(const HttpServerRequest &request, const HttpResponder &respond) -> void;

private:
    RouterGroup &routers_;
    std::size_t threadIndex_;
};

/// Passes a request of /v1/requests or /v1/request-keys to its handler; false when the path is another one.
[[nodiscard]] auto handleRequestPath(RequestCommandHandlers &commands, RequestQueryHandlers &queries, HttpServerRequest &request, const HttpResponder &respond) -> bool;
} // namespace Marjoramfold
