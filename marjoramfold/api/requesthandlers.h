#pragma once

#include "marjoramfold/http/httpserver.h"
#include "marjoramfold/routing/routergroup.h"

#include <string>
#include <string_view>

namespace Marjoramfold
{
/// Parses a request from headers (X-Team, X-Priority, X-Deadline-Ms, X-Idempotent, Idempotency-Key) with an opaque body or,
/// without X-Team, from a JSON body with the fields team, priority, deadline_ms, idempotent, key and body.
///
/// When idempotent is not set, a request is idempotent if it has no key. Errors: InvalidRequest.
[[nodiscard]] auto parseRequest(HttpServerRequest request) -> Result<RoutedRequest>;

/// HTTP handlers for POST /v1/requests and POST /v1/request-keys. One object for each traffic thread.
class RequestCommandHandlers
{
public:
    RequestCommandHandlers(RouterGroup &routers, std::size_t threadIndex);

    /// POST /v1/requests: routes the request to a target and returns its complete answer.
    auto postRequest(HttpServerRequest request, const HttpResponder &respond) -> void;

    /// POST /v1/request-keys: responds {"key":...} with a key whose request only this incarnation may execute.
    auto postRequestKey(const HttpServerRequest &request, const HttpResponder &respond) -> void;

private:
    RouterGroup &routers_;
    std::size_t threadIndex_;
};

/// HTTP handlers for GET /v1/requests/KEY. One object for each traffic thread.
class RequestQueryHandlers
{
public:
    RequestQueryHandlers(RouterGroup &routers, std::size_t threadIndex);

    /// GET /v1/requests/KEY: responds with the stored answer, 202 while the request is in progress, or an error.
    auto getRequest(const HttpServerRequest &request, const HttpResponder &respond) -> void;

private:
    RouterGroup &routers_;
    std::size_t threadIndex_;
};

/// Dispatches a request for /v1/requests or /v1/request-keys to its handler; false for other paths.
[[nodiscard]] auto handleRequestPath(RequestCommandHandlers &commands, RequestQueryHandlers &queries, HttpServerRequest &request, const HttpResponder &respond)
    -> bool;
} // namespace Marjoramfold
