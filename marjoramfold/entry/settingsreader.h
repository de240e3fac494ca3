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
/// Reads one table of a settings file and collects all problems instead of stopping at the first.
class SettingsReader
{
public:
    /// `prefix` precedes key names in messages; problems are appended to `problems`.
    SettingsReader(const toml::table &table, std::string prefix, std::vector<std::string> &problems);

    /// Required non-empty string.
    auto text(std::string_view key) -> std::string;

    /// Optional string; empty if missing.
    auto optionalText(std::string_view key) -> std::string;

    /// Integer within bounds; `fallback` if missing, or a problem if there is no fallback.
    auto number(std::string_view key, std::int64_t least, std::int64_t most, std::optional<std::int64_t> fallback) -> std::int64_t;

    /// Required address in the form IPv4:PORT.
    auto address(std::string_view key) -> std::string;

    /// Reports the keys that no call has read.
    auto finish() -> void;

    /// Adds a problem for a key.
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
