#pragma once

#include "marjoramfold/core/result.h"
#include "marjoramfold/routing/request.h"
#include "marjoramfold/routing/requestdispatcher.h"

#include <string>
#include <string_view>
#include <variant>

namespace Marjoramfold
{
/// Asks the issuer of a key what it knows of it.
struct ForwardedQuery {
};

/// Asks the owner of a job's availability zone to explain the job; answered with JSON text.
struct ForwardedExplain {
    JobId job_;
};

/// What one instance sends to another: a request to run, a query of a key, or a query of a job.
using ForwardedCall = std::variant<RoutedRequest, ForwardedQuery, ForwardedExplain>;

/// Body of a ForwardRequest. The key and the time left travel beside it.
[[nodiscard]] auto encodeCall(const ForwardedCall &call) -> std::string;
[[nodiscard]] auto decodeCall(std::string_view bytes) -> Result<ForwardedCall>;

/// Body of a ForwardReply to a request.
[[nodiscard]] auto encodeAnswer(const Result<RoutedAnswer> &answer) -> std::string;
[[nodiscard]] auto decodeAnswer(std::string_view bytes) -> Result<RoutedAnswer>;

/// Body of a ForwardReply to a query. An undecodable one reads as unknown.
[[nodiscard]] auto encodeStatus(const KeyStatus &status) -> std::string;
[[nodiscard]] auto decodeStatus(std::string_view bytes) -> KeyStatus;
} // namespace Marjoramfold
