#pragma once

#include <chrono>
#include <cstdint>
#include <random>

namespace Marjoramfold
{
/// Limits of a backoff.
struct BackoffOptions {
    std::chrono::milliseconds first_{100};
    std::chrono::milliseconds last_{5'000};
};

/// Delays that double from the first to the last. Each is drawn from its upper half, so that instances do not retry in step.
class Backoff
{
public:
    /// Seed 0 takes a random one, so that the instances of a fleet differ.
    Backoff(BackoffOptions options, std::uint64_t seed);

    /// Delay before the next try.
    [[nodiscard]] auto next() -> std::chrono::milliseconds;

    /// A try succeeded: the next delay is the first again.
    auto reset() -> void;

private:
    BackoffOptions options_;
    std::chrono::milliseconds current_;
    std::mt19937_64 random_;
};
} // namespace Marjoramfold
