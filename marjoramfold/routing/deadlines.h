#pragma once

#include "marjoramfold/core/clock.h"
#include "marjoramfold/routing/request.h"

#include <map>
#include <vector>

namespace Marjoramfold
{
/// Deadlines of requests, grouped into steps of 5 ms. A request that ended is not removed: its mark is ignored when it falls due.
class Deadlines
{
public:
    /// Adds the deadline of a request.
    auto add(RequestNumber number, SteadyTime deadline) -> void
    {
        // Rounded up, so that no request ends before its deadline.
        steps_[deadline.time_since_epoch() / Step + 1].push_back(number);
    }

    /// Takes the requests whose deadline has passed.
    [[nodiscard]] auto takeDue(SteadyTime now) -> std::vector<RequestNumber>
    {
        std::vector<RequestNumber> due;
        const auto limit = steps_.upper_bound(now.time_since_epoch() / Step);
        for (auto step = steps_.begin(); step != limit; ++step) {
            due.insert(due.end(), step->second.begin(), step->second.end());
        }
        steps_.erase(steps_.begin(), limit);
        return due;
    }

private:
    static constexpr std::chrono::milliseconds Step{5};
    std::map<std::int64_t, std::vector<RequestNumber>> steps_;
};
} // namespace Marjoramfold
