#include "marjoramfold/observability/asynclog.h"

#include "marjoramfold/observability/logline.h"

#include <spdlog/async.h>
#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>

#include <chrono>
#include <map>
#include <mutex>
#include <string>

namespace Marjoramfold
{
namespace
{
/// Lines that wait for output at most; beyond it the oldest go.
constexpr std::size_t QueueLines = 4096;
/// Lines of one event in a second; the rest are counted and said in one line.
constexpr unsigned LinesPerSecond = 200;

/// Counts lines by event and second.
class EventLimiter
{
public:
    /// True when a line may be written. `dropped` is the number of lines of earlier seconds that were not.
    auto admit(const std::string &event, unsigned &dropped) -> bool
    {
        const std::scoped_lock lock(mutex_);
        const auto second = std::chrono::duration_cast<std::chrono::seconds>(std::chrono::steady_clock::now().time_since_epoch()).count();
        auto &window = windows_[event];
        dropped = 0;
        if (window.second_ != second) {
            dropped = window.lines_ > LinesPerSecond ? window.lines_ - LinesPerSecond : 0;
            window = {second, 0};
        }
        return ++window.lines_ <= LinesPerSecond;
    }

private:
    struct Window {
        std::int64_t second_ = 0;
        unsigned lines_ = 0;
    };

    std::mutex mutex_;
    std::map<std::string, Window> windows_;
};

auto toSpdlog(LogSeverity severity) -> spdlog::level::level_enum
{
    switch (severity) {
    case LogSeverity::Info:
        return spdlog::level::info;
    case LogSeverity::Warning:
        return spdlog::level::warn;
    case LogSeverity::Error:
        break;
    }
    return spdlog::level::err;
}
} // namespace

auto logToStandardOutput() -> void
{
    spdlog::init_thread_pool(QueueLines, 1);
    auto sink = std::make_shared<spdlog::sinks::stdout_sink_mt>();
    auto logger = std::make_shared<spdlog::async_logger>("marjoramfold", sink, spdlog::thread_pool(), spdlog::async_overflow_policy::overrun_oldest);
    logger->set_pattern("%Y-%m-%dT%H:%M:%S.%e%z %L %v");
    logger->flush_on(spdlog::level::info);
    spdlog::set_default_logger(logger);
    setLogOutput([logger, limiter = std::make_shared<EventLimiter>()](LogSeverity severity, const std::string &event, const std::string &line) {
        unsigned dropped = 0;
        const auto admitted = limiter->admit(event, dropped);
        if (dropped > 0) {
            logger->warn("lines_dropped event={} lines={}", event, dropped);
        }
        if (admitted) {
            logger->log(toSpdlog(severity), line);
        }
    });
}

auto finishLog() -> void
{
    setLogOutput({});
    spdlog::shutdown();
}
} // namespace Marjoramfold
