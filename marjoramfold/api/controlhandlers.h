#pragma once

#include "marjoramfold/api/controlapi.h"
#include "marjoramfold/http/httpserver.h"

namespace Marjoramfold
{
/// HTTP handlers that change state: publishing rules, submitting and cancelling jobs.
class ControlCommandHandlers
{
public:
    explicit ControlCommandHandlers(ControlCommands commands);

    /// Handles a POST request; false when no handler has its method and path.
    [[nodiscard]] auto handle(const HttpServerRequest &request, const HttpResponder &respond) -> bool;

private:
    auto postRules(const HttpServerRequest &request, const HttpResponder &respond) -> void;
    auto postJob(const HttpServerRequest &request, const HttpResponder &respond) -> void;
    auto postCancellations(const HttpServerRequest &request, const HttpResponder &respond) -> void;

    ControlCommands commands_;
};

/// HTTP handlers that only read: rules, jobs, explanations, status, traces, health and metrics.
class ControlQueryHandlers
{
public:
    explicit ControlQueryHandlers(ControlQueries queries);

    /// Handles a GET request; false when no handler has its method and path.
    [[nodiscard]] auto handle(const HttpServerRequest &request, const HttpResponder &respond) -> bool;

private:
    [[nodiscard]] auto handleFixedPath(std::string_view path, const HttpServerRequest &request, const HttpResponder &respond) -> bool;
    [[nodiscard]] auto handleItemPath(std::string_view path, const HttpResponder &respond) -> bool;

    ControlQueries queries_;
};
} // namespace Marjoramfold
