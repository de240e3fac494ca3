#include "marjoramfold/core/clock.h"

#include <time.h>

#include <utility>

namespace Marjoramfold
{
namespace
{
auto bootTimeSource() -> std::function<BootTime()> &
{
    static std::function<BootTime()> source;
    return source;
}
} // namespace

auto BootClock::useSource(std::function<time_point()> source) -> void
{
    bootTimeSource() = std::move(source);
}

auto BootClock::now() -> time_point
{
    if (bootTimeSource()) {
        return bootTimeSource()();
    }
    timespec time{};
    clock_gettime(CLOCK_BOOTTIME, &time);
    return time_point(std::chrono::duration_cast<duration>(std::chrono::seconds(time.tv_sec) + std::chrono::nanoseconds(time.tv_nsec)));
}

auto systemClock() -> Clock
{
    return {&std::chrono::steady_clock::now, &std::chrono::system_clock::now};
}

auto toUnixMilliseconds(WallTime time) -> std::chrono::milliseconds
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(time.time_since_epoch());
}

auto fromUnixMilliseconds(std::chrono::milliseconds sinceEpoch) -> WallTime
{
    return WallTime(sinceEpoch);
}
} // namespace Marjoramfold
