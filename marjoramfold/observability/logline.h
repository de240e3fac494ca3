#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <type_traits>

namespace Marjoramfold
{
/// Severity of a log line.
enum class LogSeverity {
    Info,
    Warning,
    Error,
};

/// Receives a complete line and its event; called from any thread.
using LogOutput = std::function<void(LogSeverity, const std::string &event, const std::string &line)>;

/// Writes all lines to an output instead of glog; an empty one restores glog. Must not run while lines are written.
auto setLogOutput(LogOutput output) -> void;

/// A log line `event key=value ...`, written through glog when it goes out of scope. Ids come first, whatever the order of the calls.
///
/// Values are quoted when they are empty or hold a space, '=', '"', '\' or a control character. Inside quotes, '"' and '\' are
/// preceded by '\', and control characters are written as \n, \r, \t or \xNN, so that a line stays one line.
class LogLine
{
public:
    /// File and line default to those of the caller.
    LogLine(LogSeverity severity, std::string_view event, const char *file = __builtin_FILE(), int line = __builtin_LINE());
    ~LogLine();
    LogLine(const LogLine &) = delete;
    auto operator=(const LogLine &) -> LogLine & = delete;

    /// Adds the id of the request that the line is about.
    auto request(std::string_view id) -> LogLine &;

    /// Adds the id of the job that the line is about.
    auto job(std::string_view id) -> LogLine &;

    /// Adds a text field.
    auto with(std::string_view key, std::string_view value) -> LogLine &;

    /// Adds a numeric or Boolean field.
    template<typename Value>
    requires std::is_arithmetic_v<Value>
    auto with(std::string_view key, Value value) -> LogLine &
    {
        if constexpr (std::is_same_v<Value, bool>) {
            return with(key, value ? std::string_view("true") : std::string_view("false"));
        } else {
            return with(key, std::string_view(std::to_string(value)));
        }
    }

    /// The line so far, as it will be written.
    [[nodiscard]] auto text() const -> std::string;

private:
    LogSeverity severity_;
    std::string event_;
    const char *file_;
    int line_;
    std::string ids_;
    std::string fields_;
};

/// Truncates a value and quotes it if needed, as in a log line.
[[nodiscard]] auto quoteLogValue(std::string_view value) -> std::string;
} // namespace Marjoramfold
