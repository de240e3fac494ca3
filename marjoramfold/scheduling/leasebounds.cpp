#include "marjoramfold/scheduling/leasebounds.h"

#include <algorithm>

namespace Marjoramfold
{
namespace
{
// Avoids an overflow of the shift; the delay reaches its limit earlier.
constexpr int MaxDoublings = 16;
} // namespace

auto retryDelay(const SchedulerOptions &options, int failures) -> std::chrono::milliseconds
{
    const auto doublings = std::clamp(failures - 1, 0, MaxDoublings);
    return std::min(options.firstRetryDelay_ * (1 << doublings), options.maxRetryDelay_);
}
} // namespace Marjoramfold
