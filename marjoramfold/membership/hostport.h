#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace Marjoramfold
{
/// Host and port of an address.
struct HostPort {
    std::string host_;
    std::uint16_t port_ = 0;
};

/// Parses HOST:PORT, where an IPv6 host is in brackets. Empty when malformed.
[[nodiscard]] auto parseHostPort(std::string_view address) -> std::optional<HostPort>;
} // namespace Marjoramfold
