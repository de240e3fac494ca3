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
/// Beyond this the oldest lines are dropped.
constexpr std::size_t MaxQueuedLines = 4096;
/// Further lines of an event within a second are counted and reported in one line.
constexpr unsigned MaxEventLinesPerSecond = 200;

/// Limits the lines of each event per second.
class EventLimiter
{
public:
    /// True when a line may be written. `dropped` is the number of the event's lines that were suppressed in its previous window.
    auto admit(const std::string &event, unsigned &dropped) -> bool
    {
        const std::scoped_lock lock(mutex_);
        const auto second = std::chrono::duration_cast<std::chrono::seconds>(std::chrono::steady_clock::now().time_since_epoch()).count();
        auto &window = windows_[event];
        dropped = 0;
        if (window.second_ != second) {
            dropped = window.lines_ > MaxEventLinesPerSecond ? window.lines_ - MaxEventLinesPerSecond : 0;
            window = {second, 0};
        }
        return ++window.lines_ <= MaxEventLinesPerSecond;
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
    spdlog::init_thread_pool(MaxQueuedLines, 1);
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
