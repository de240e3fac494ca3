#pragma once

#include "marjoramfold/core/result.h"
#include "marjoramfold/routing/request.h"
#include "marjoramfold/routing/requestdispatcher.h"

#include <string>
#include <string_view>
#include <variant>

namespace Marjoramfold
{
/// Query for the status of a key, sent to the instance that issued it.
struct ForwardedQuery {
};

/// Query for the explanation of a job, sent to the owner of its availability zone; answered with JSON text.
struct ForwardedExplain {
    JobId job_;
};

/// A call forwarded to another instance: a request to execute, a key status query or a job query.
using ForwardedCall = std::variant<RoutedRequest, ForwardedQuery, ForwardedExplain>;

/// Body of a ForwardRequest. The key and the remaining time are separate fields of the ForwardRequest.
[[nodiscard]] auto encodeCall(const ForwardedCall &call) -> std::string;
[[nodiscard]] auto decodeCall(std::string_view bytes) -> Result<ForwardedCall>;

/// Body of a ForwardReply to a request.
[[nodiscard]] auto encodeAnswer(const Result<RoutedAnswer> &answer) -> std::string;
[[nodiscard]] auto decodeAnswer(std::string_view bytes) -> Result<RoutedAnswer>;

/// Body of a ForwardReply to a key status query. A malformed body decodes to the state Unknown.
[[nodiscard]] auto encodeStatus(const KeyStatus &status) -> std::string;
[[nodiscard]] auto decodeStatus(std::string_view bytes) -> KeyStatus;
} // namespace Marjoramfold
