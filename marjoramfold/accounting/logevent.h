#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace Marjoramfold
{
/// One log line of an instance: `[PREFIX] TIME SEVERITY EVENT key=value ...`.
class LogEvent
{
public:
    /// Longer lines cannot be read. The instances' own lines are far shorter, since each value is cut off at 1 KiB.
    static constexpr std::size_t MaxLineBytes = 65'536;

    /// Parses a line; empty when it does not have this form.
    [[nodiscard]] static auto parse(std::string_view line) -> std::optional<LogEvent>;

    [[nodiscard]] auto name() const -> const std::string &;

    /// Last word of the prefix, which names the instance; empty without a prefix.
    [[nodiscard]] auto instance() const -> const std::string &;

    /// Time of the line by the instance's wall clock, since the epoch of Unix.
    [[nodiscard]] auto wallTime() const -> std::chrono::milliseconds;

    /// First word of the prefix when it is a number of seconds.
    [[nodiscard]] auto prefixTime() const -> const std::optional<std::chrono::milliseconds> &;

    /// Value of a field; empty when it is missing.
    [[nodiscard]] auto text(std::string_view key) const -> const std::string &;

    /// Value of an integer field from 0 to 2^42; empty when it is missing or has another form.
    [[nodiscard]] auto count(std::string_view key) const -> std::optional<std::int64_t>;

    /// Value of an integer field of milliseconds, as count().
    [[nodiscard]] auto time(std::string_view key) const -> std::optional<std::chrono::milliseconds>;

private:
    auto parsePrefix(std::string_view prefix) -> void;
    auto parseFields(std::string_view fields) -> bool;

    std::string name_;
    std::string instance_;
    std::chrono::milliseconds wallTime_{0};
    std::optional<std::chrono::milliseconds> prefixTime_;
    std::vector<std::pair<std::string, std::string>> fields_;
};
} // namespace Marjoramfold
