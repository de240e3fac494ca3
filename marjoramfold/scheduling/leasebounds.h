#pragma once

#include "marjoramfold/core/clock.h"
#include "marjoramfold/scheduling/scheduleroptions.h"

#include <chrono>

namespace Marjoramfold
{
/// Limits the time between sending and receipt of a command. A worker's lease counts from receipt.
constexpr std::chrono::milliseconds MaxCommandDelay{2'000};

/// Time after which a lease sent at the given time has expired for certain.
[[nodiscard]] inline auto leaseExpiryBound(SteadyTime sent, std::chrono::milliseconds lease) -> SteadyTime
{
    return sent + lease + MaxCommandDelay;
}

/// Exponential backoff after a number of failures.
[[nodiscard]] auto retryDelay(const SchedulerOptions &options, int failures) -> std::chrono::milliseconds;
} // namespace Marjoramfold
