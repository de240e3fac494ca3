#pragma once

#include "marjoramfold/core/error.h"
#include "marjoramfold/http/httpserver.h"

#include <string>

namespace Marjoramfold
{
/// Header with the name of the error kind. It distinguishes errors of the instance from answers of targets.
constexpr std::string_view ErrorKindHeader = "X-Error-Kind";

/// JSON of an error: {"error":{"kind","message","ran","retry_after_ms"}}; retry_after_ms is omitted when it is unknown.
[[nodiscard]] auto errorJson(const Error &error) -> std::string;

/// HTTP response for an error, with the status of its kind and, when known, Retry-After in whole seconds.
[[nodiscard]] auto errorResponse(const Error &error) -> HttpServerResponse;
} // namespace Marjoramfold
