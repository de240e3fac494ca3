#include "marjoramfold/core/clock.h"

namespace Marjoramfold
{
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
