#pragma once

#include "marjoramfold/core/clock.h"
#include "marjoramfold/routing/request.h"

#include <map>
#include <vector>

namespace Marjoramfold
{
/// Request deadlines in buckets of 5 ms. Requests that end early stay in their bucket; the owner ignores them when it expires.
class Deadlines
{
public:
    auto add(RequestNumber number, SteadyTime deadline) -> void
    {
        // Rounded up, so that no request expires before its deadline.
        buckets_[deadline.time_since_epoch() / BucketWidth + 1].push_back(number);
    }

    /// Removes and returns the requests whose deadline has passed.
    [[nodiscard]] auto popExpired(SteadyTime now) -> std::vector<RequestNumber>
    {
        std::vector<RequestNumber> due;
        const auto limit = buckets_.upper_bound(now.time_since_epoch() / BucketWidth);
        for (auto bucket = buckets_.begin(); bucket != limit; ++bucket) {
            due.insert(due.end(), bucket->second.begin(), bucket->second.end());
        }
        buckets_.erase(buckets_.begin(), limit);
        return due;
    }

private:
    static constexpr std::chrono::milliseconds BucketWidth{5};
    std::map<std::int64_t, std::vector<RequestNumber>> buckets_;
};
} // namespace Marjoramfold
