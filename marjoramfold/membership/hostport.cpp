#include "marjoramfold/membership/hostport.h"

#include <charconv>

namespace Marjoramfold
{
auto parseHostPort(std::string_view address) -> std::optional<HostPort>
{
    const auto colon = address.rfind(':');
    if (colon == std::string_view::npos || colon == 0) {
        return std::nullopt;
    }
    auto host = address.substr(0, colon);
    if (host.size() > 2 && host.front() == '[' && host.back() == ']') {
        host = host.substr(1, host.size() - 2);
    }
    const auto digits = address.substr(colon + 1);
    HostPort result{std::string(host), 0};
    const auto [end, error] = std::from_chars(digits.data(), digits.data() + digits.size(), result.port_);
    if (error != std::errc() || end != digits.data() + digits.size() || result.port_ == 0) {
        return std::nullopt;
    }
    return result;
}
} // namespace Marjoramfold
