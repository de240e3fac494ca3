#pragma once

#include <chrono>
#include <cstdint>
#include <random>

namespace Marjoramfold
{
/// First and longest delay of a backoff.
struct BackoffOptions {
    std::chrono::milliseconds initialDelay_{100};
    std::chrono::milliseconds maxDelay_{5'000};
};

/// Exponential backoff with jitter: the delay doubles up to the longest. Each attempt waits a random time between half of it and all of it,
/// so that instances do not retry in step.
class Backoff
{
public:
    /// Seed 0 selects a random seed, so that the instances of a fleet differ.
    Backoff(BackoffOptions options, std::uint64_t seed);

    /// Delay before the next attempt.
    [[nodiscard]] auto next() -> std::chrono::milliseconds;

    /// Restarts with the first delay, after a success.
    auto reset() -> void;

private:
    BackoffOptions options_;
    std::chrono::milliseconds currentDelay_;
    std::mt19937_64 random_;
};
} // namespace Marjoramfold
