#pragma once

#include "scenario.h"

#include <array>
#include <random>
#include <vector>

namespace Marjoramfold
{
/// Random numbers that are the same with every standard library.
class Random
{
public:
    explicit Random(std::uint64_t seed)
        : engine_(seed)
    {
    }

    /// A number of [0, 1).
    auto unit() -> double;
    /// A whole number of [low, high].
    auto whole(int low, int high) -> int;
    /// A number of [low, high), uniform in its logarithm.
    auto logUniform(double low, double high) -> double;
    auto chance(double probability) -> bool;
    auto duration(std::chrono::milliseconds low, std::chrono::milliseconds high) -> std::chrono::milliseconds;

private:
    std::mt19937_64 engine_;
};

/// A team that submits jobs.
struct TeamLoad {
    TeamId team_;
    /// Share of the work, in any unit.
    double weight_ = 1.0;
    /// Only large teams submit large gangs.
    bool large_ = false;
};

/// The shape of a workload.
struct WorkloadPlan {
    std::vector<TeamLoad> teams_;
    /// Accelerators of the cluster.
    int capacity_ = 0;
    /// Accelerator time submitted while the load lasts, over the capacity in that time.
    double load_ = 1.0;
    /// Shares of the accelerator time; the rest is small jobs.
    double largeShare_ = 0.4;
    double mediumShare_ = 0.3;
    /// Accelerators of the largest gang.
    int largest_ = 64;
    /// Typical run times of small, medium and large jobs.
    std::array<std::chrono::minutes, 3> typical_{std::chrono::minutes(15), std::chrono::minutes(30), std::chrono::minutes(45)};
    /// Longest run time, so that a job of the last hour can finish before the run ends.
    std::chrono::minutes longest_{std::chrono::minutes(210)};
    /// Jobs of a burst of small and of large jobs, and of a cancellation wave.
    int burstSmall_ = 120;
    int burstLarge_ = 6;
    int wave_ = 30;
    /// Urgent jobs in each period of 20 minutes.
    int urgent_ = 1;
    int impossible_ = 8;
    /// Tasks without accelerators that run all the time, and accelerators in use from the start by jobs of hours.
    int backgroundTasks_ = 0;
    int backgroundAccelerators_ = 0;
};

/// Adds jobs, bursts, urgent jobs, impossible jobs and cancellation waves to a scenario.
auto addWorkload(Scenario &scenario, const WorkloadPlan &plan, Random &random) -> void;
} // namespace Marjoramfold
