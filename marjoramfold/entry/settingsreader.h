#pragma once

#include <toml++/toml.h>

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace Marjoramfold
{
/// Reads one table of a settings file, and collects what is wrong with it instead of stopping at the first problem.
class SettingsReader
{
public:
    /// Reads `table`, which stands under `prefix` in the file; problems go to `problems`.
    SettingsReader(const toml::table &table, std::string prefix, std::vector<std::string> &problems);

    /// A text that must be there and must not be empty.
    auto text(std::string_view key) -> std::string;

    /// A text that may be left out.
    auto optionalText(std::string_view key) -> std::string;

    /// A whole number within bounds; `fallback` when it is left out, or a problem when there is no fallback.
    auto number(std::string_view key, std::int64_t least, std::int64_t most, std::optional<std::int64_t> fallback) -> std::int64_t;

    /// An address as IPv4:PORT.
    auto address(std::string_view key) -> std::string;

    /// Reports keys that were never asked for.
    auto finish() -> void;

    /// Adds a problem with a key.
    auto report(std::string_view key, std::string_view reason) -> void;

private:
    const toml::table &table_;
    std::string prefix_;
    std::vector<std::string> &problems_;
    std::set<std::string, std::less<>> known_;
};

/// True for IPv4:PORT with a port from 1 to 65535.
[[nodiscard]] auto isAddress(std::string_view text) -> bool;

/// True for an IPv4 address.
[[nodiscard]] auto isIpAddress(std::string_view text) -> bool;
} // namespace Marjoramfold
