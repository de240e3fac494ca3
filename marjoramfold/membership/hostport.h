#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace Marjoramfold
{
/// The two parts of HOST:PORT.
struct HostPort {
    std::string host_;
    std::uint16_t port_ = 0;
};

/// Splits HOST:PORT; the host of an IPv6 address stands in brackets. Empty when malformed.
[[nodiscard]] auto parseHostPort(std::string_view address) -> std::optional<HostPort>;
} // namespace Marjoramfold
