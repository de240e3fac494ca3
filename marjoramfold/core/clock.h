#pragma once

#include <chrono>
#include <functional>

namespace Marjoramfold
{
/// Time for leases, timeouts and ages. It never jumps.
using SteadyTime = std::chrono::steady_clock::time_point;

/// Time of day, for records and logs only.
using WallTime = std::chrono::system_clock::time_point;

/// The two clocks of a process as hooks, so that tests pass their own time.
struct Clock {
    std::function<SteadyTime()> steadyNow_;
    std::function<WallTime()> wallNow_;
};

/// The clocks of the operating system.
[[nodiscard]] auto systemClock() -> Clock;

/// Milliseconds since the Unix epoch, as records store times of day.
[[nodiscard]] auto toUnixMilliseconds(WallTime time) -> std::chrono::milliseconds;

/// The time of day of a number of milliseconds since the Unix epoch.
[[nodiscard]] auto fromUnixMilliseconds(std::chrono::milliseconds sinceEpoch) -> WallTime;
} // namespace Marjoramfold
