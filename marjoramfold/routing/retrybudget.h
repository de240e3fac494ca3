#pragma once

#include <algorithm>

namespace Marjoramfold
{
/// Limits retries to a share of the traffic, so that retries never multiply an overload.
class RetryBudget
{
public:
    /// Adds the share of one request that was sent for the first time.
    auto earn() -> void
    {
        tokens_ = std::min(tokens_ + Share, MaxTokens);
    }

    /// Spends one retry; false when the budget is used up.
    [[nodiscard]] auto spend() -> bool
    {
        if (tokens_ < 1.0 - Rounding) {
            return false;
        }
        tokens_ -= 1.0;
        return true;
    }

private:
    /// Retries per request; the bound on sent over received requests is 1.1.
    static constexpr double Share = 0.1;
    /// Ten additions of 0.1 give slightly less than 1 in binary.
    static constexpr double Rounding = 1e-9;
    /// Retries saved up at most, so that a quiet hour does not pay for a burst of retries.
    static constexpr double MaxTokens = 100.0;
    double tokens_ = 0;
};
} // namespace Marjoramfold
