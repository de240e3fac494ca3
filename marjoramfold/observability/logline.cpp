#include "marjoramfold/observability/logline.h"

#include <glog/logging.h>

#include <algorithm>
#include <utility>

namespace Marjoramfold
{
namespace
{
/// Longer values, for example request bodies, are truncated.
constexpr std::size_t MaxValueBytes = 1'024;

/// Output of all lines; glog when empty.
auto logOutput() -> LogOutput &
{
    static LogOutput output;
    return output;
}

auto isPlain(char c) -> bool
{
    const auto byte = static_cast<unsigned char>(c);
    return byte > 0x20U && byte != 0x7fU && c != '=' && c != '"' && c != '\\';
}

auto appendEscaped(std::string &out, char c) -> void
{
    constexpr std::string_view Digits = "0123456789abcdef";
    const auto byte = static_cast<unsigned char>(c);
    if (c == '"' || c == '\\') {
        out += {'\\', c};
    } else if (c == '\n') {
        out += "\\n";
    } else if (c == '\r') {
        out += "\\r";
    } else if (c == '\t') {
        out += "\\t";
    } else if (byte < 0x20U || byte == 0x7fU) {
        out += "\\x";
        out += {Digits[byte >> 4U], Digits[byte & 0xfU]};
    } else {
        out.push_back(c);
    }
}

auto toGlog(LogSeverity severity) -> google::LogSeverity
{
    switch (severity) {
    case LogSeverity::Info:
        return google::GLOG_INFO;
    case LogSeverity::Warning:
        return google::GLOG_WARNING;
    case LogSeverity::Error:
        return google::GLOG_ERROR;
    }
    return google::GLOG_ERROR;
}

auto appendField(std::string &out, std::string_view key, std::string_view value) -> void
{
    out.append(" ").append(key).append("=").append(quoteLogValue(value));
}
} // namespace

auto quoteLogValue(std::string_view value) -> std::string
{
    value = value.substr(0, MaxValueBytes);
    if (!value.empty() && std::all_of(value.begin(), value.end(), isPlain)) {
        return std::string(value);
    }
    std::string quoted = "\"";
    for (const auto c : value) {
        appendEscaped(quoted, c);
    }
    quoted.push_back('"');
    return quoted;
}

auto setLogOutput(LogOutput output) -> void
{
    logOutput() = std::move(output);
}

LogLine::LogLine(LogSeverity severity, std::string_view event, const char *file, int line)
    : severity_(severity)
    , event_(event)
    , file_(file)
    , line_(line)
{
}

LogLine::~LogLine()
{
    if (logOutput()) {
        logOutput()(severity_, event_, text());
        return;
    }
    google::LogMessage(file_, line_, toGlog(severity_)).stream() << text();
}

auto LogLine::request(std::string_view id) -> LogLine &
{
    appendField(ids_, "request_id", id);
    return *this;
}

auto LogLine::job(std::string_view id) -> LogLine &
{
    appendField(ids_, "job_id", id);
    return *this;
}

auto LogLine::with(std::string_view key, std::string_view value) -> LogLine &
{
    appendField(fields_, key, value);
    return *this;
}

auto LogLine::text() const -> std::string
{
    return event_ + ids_ + fields_;
}
} // namespace Marjoramfold
