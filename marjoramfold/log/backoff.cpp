#include "marjoramfold/log/backoff.h"

#include <algorithm>

namespace Marjoramfold
{
Backoff::Backoff(BackoffOptions options, std::uint64_t seed)
    : options_(options)
    , currentDelay_(options.initialDelay_)
    , random_(seed != 0 ? seed : std::random_device{}())
{
}

auto Backoff::next() -> std::chrono::milliseconds
{
    std::uniform_int_distribution<std::int64_t> upperHalf(currentDelay_.count() / 2, currentDelay_.count());
    const std::chrono::milliseconds delay(upperHalf(random_));
    currentDelay_ = std::min(currentDelay_ * 2, options_.maxDelay_);
    return delay;
}

auto Backoff::reset() -> void
{
    currentDelay_ = options_.initialDelay_;
}
} // namespace Marjoramfold
