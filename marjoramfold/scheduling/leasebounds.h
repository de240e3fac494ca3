#pragma once

#include "marjoramfold/core/clock.h"
#include "marjoramfold/scheduling/scheduleroptions.h"

#include <chrono>

namespace Marjoramfold
{
/// Longest time between the sending of a command and its receipt. A worker's lease counts from the receipt.
constexpr std::chrono::milliseconds MaxCommandDelay{2'000};

/// When a lease that was sent at a time has surely lapsed.
[[nodiscard]] inline auto leaseExpiryBound(SteadyTime sent, std::chrono::milliseconds lease) -> SteadyTime
{
    return sent + lease + MaxCommandDelay;
}

/// Delay before the next try after a number of failures: doubles from the first delay up to the limit.
[[nodiscard]] auto retryDelay(const SchedulerOptions &options, int failures) -> std::chrono::milliseconds;
} // namespace Marjoramfold
