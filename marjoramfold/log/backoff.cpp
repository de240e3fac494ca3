#include "marjoramfold/log/backoff.h"

#include <algorithm>

namespace Marjoramfold
{
Backoff::Backoff(BackoffOptions options, std::uint64_t seed)
    : options_(options)
    , current_(options.first_)
    , random_(seed != 0 ? seed : std::random_device{}())
{
}

auto Backoff::next() -> std::chrono::milliseconds
{
    std::uniform_int_distribution<std::int64_t> upperHalf(current_.count() / 2, current_.count());
    const std::chrono::milliseconds delay(upperHalf(random_));
    current_ = std::min(current_ * 2, options_.last_);
    return delay;
}

auto Backoff::reset() -> void
{
    current_ = options_.first_;
}
} // namespace Marjoramfold
