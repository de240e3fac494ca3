#pragma once

#include "marjoramfold/core/error.h"
#include "marjoramfold/http/httpserver.h"

#include <string>

namespace Marjoramfold
{
/// Header of error answers with the name of the error kind. It tells them from answers of targets.
constexpr std::string_view ErrorKindHeader = "X-Error-Kind";

/// JSON of an error: {"error":{"kind","message","ran","retry_after_ms"}}; retry_after_ms is left out when it is unknown.
[[nodiscard]] auto errorJson(const Error &error) -> std::string;

/// The answer of an error with the status of its kind, for example 503 with Retry-After in whole seconds.
[[nodiscard]] auto errorResponse(const Error &error) -> HttpServerResponse;
} // namespace Marjoramfold
