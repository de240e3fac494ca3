#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Marjoramfold
{
/// One header field of an HTTP message.
struct HttpHeader {
    std::string name_;
    std::string value_;
};

using HttpHeaders = std::vector<HttpHeader>;

/// The value of the first header with a name, ignoring case.
[[nodiscard]] auto findHeader(const HttpHeaders &headers, std::string_view name) -> std::optional<std::string>;

/// Compares header names, ignoring case.
[[nodiscard]] auto sameHeaderName(std::string_view left, std::string_view right) -> bool;

/// The value of a query parameter of a request target such as "/path?name=value"; percent-decoding is not applied.
[[nodiscard]] auto queryParameter(std::string_view target, std::string_view name) -> std::optional<std::string>;

/// The path of a request target, without its query.
[[nodiscard]] auto pathOf(std::string_view target) -> std::string_view;
} // namespace Marjoramfold
