#include "marjoramfold/core/clock.h"

#include <time.h>

namespace Marjoramfold
{
auto BootClock::now() -> time_point
{
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
