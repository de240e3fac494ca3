#include "marjoramfold/http/httpmessage.h"

#include <algorithm>

namespace Marjoramfold
{
namespace
{
auto toLower(char c) -> char
{
    return c >= 'A' && c <= 'Z' ? static_cast<char>(c - 'A' + 'a') : c;
}
} // namespace

auto sameHeaderName(std::string_view left, std::string_view right) -> bool
{
    return std::equal(left.begin(), left.end(), right.begin(), right.end(), [](char a, char b) {
        return toLower(a) == toLower(b);
    });
}

auto findHeader(const HttpHeaders &headers, std::string_view name) -> std::optional<std::string>
{
    for (const auto &header : headers) {
        if (sameHeaderName(header.name_, name)) {
            return header.value_;
        }
    }
    return std::nullopt;
}

auto queryParameter(std::string_view target, std::string_view name) -> std::optional<std::string>
{
    const auto queryAt = target.find('?');
    auto rest = queryAt == std::string_view::npos ? std::string_view() : target.substr(queryAt + 1);
    while (!rest.empty()) {
        const auto end = std::min(rest.find('&'), rest.size());
        const auto pair = rest.substr(0, end);
        const auto equals = pair.find('=');
        if (equals != std::string_view::npos && pair.substr(0, equals) == name) {
            return std::string(pair.substr(equals + 1));
        }
        rest.remove_prefix(std::min(end + 1, rest.size()));
    }
    return std::nullopt;
}

auto pathOf(std::string_view target) -> std::string_view
{
    return target.substr(0, target.find('?'));
}
} // namespace Marjoramfold
