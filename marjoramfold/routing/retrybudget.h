#pragma once

#include <algorithm>

namespace Marjoramfold
{
/// Token bucket that limits retries to a share of the traffic, so that retries do not amplify an overload.
class RetryBudget
{
public:
    /// Adds the tokens for one first attempt.
    auto deposit() -> void
    {
        tokens_ = std::min(tokens_ + TokensPerRequest, MaxTokens);
    }

    /// Takes the token for one retry; false when the budget is exhausted.
    [[nodiscard]] auto tryWithdraw() -> bool
    {
        if (tokens_ < 1.0 - RoundingTolerance) {
            return false;
        }
        tokens_ -= 1.0;
        return true;
    }

private:
    /// Limits the ratio of sent to received requests to 1.1.
    static constexpr double TokensPerRequest = 0.1;
    /// Ten additions of 0.1 give slightly less than 1 in floating point.
    static constexpr double RoundingTolerance = 1e-9;
    /// Prevents a burst of retries from tokens collected over a long time without failures.
    static constexpr double MaxTokens = 100.0;
    double tokens_ = 0;
};
} // namespace Marjoramfold
