#pragma once

#include <chrono>
#include <functional>

namespace Marjoramfold
{
/// Monotonic time for leases, timeouts and ages.
using SteadyTime = std::chrono::steady_clock::time_point;

/// Time of day, for records and logs only.
using WallTime = std::chrono::system_clock::time_point;

/// Monotonic clock that also counts while the machine is suspended, so that leases expire on time after a resume.
struct BootClock {
    using duration = std::chrono::microseconds;
    using rep = duration::rep;
    using period = duration::period;
    using time_point = std::chrono::time_point<BootClock>;
    static constexpr bool is_steady = true;

    /// Time since boot.
    [[nodiscard]] static auto now() -> time_point;

    /// Replaces the system clock in tests that simulate time; an empty source restores it.
    static auto useSource(std::function<time_point()> source) -> void;
};

/// Time for the scheduler's leases and timeouts, and for the age of its view of the fleet.
using BootTime = BootClock::time_point;

/// The clocks of a process as functions, so that tests can inject simulated time.
struct Clock {
    std::function<SteadyTime()> steadyNow_;
    std::function<WallTime()> wallNow_;
};

/// The clocks of the operating system.
[[nodiscard]] auto systemClock() -> Clock;

/// Milliseconds since the Unix epoch, as records store times of day.
[[nodiscard]] auto toUnixMilliseconds(WallTime time) -> std::chrono::milliseconds;

/// Inverse of toUnixMilliseconds().
[[nodiscard]] auto fromUnixMilliseconds(std::chrono::milliseconds sinceEpoch) -> WallTime;
} // namespace Marjoramfold
