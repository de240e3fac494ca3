#pragma once

#include "scenario.h"

#include <array>
#include <random>
#include <vector>

namespace Marjoramfold
{
/// Random numbers that are the same with every standard library, unlike the distributions of <random>.
class Random
{
public:
    explicit Random(std::uint64_t seed)
        : engine_(seed)
    {
    }

    /// A uniform number in [0, 1).
    auto uniform() -> double;
    /// A uniform integer in [low, high].
    auto integer(int low, int high) -> int;
    /// A number in [low, high) whose logarithm is uniform.
    auto logUniform(double low, double high) -> double;
    auto chance(double probability) -> bool;
    auto duration(std::chrono::milliseconds low, std::chrono::milliseconds high) -> std::chrono::milliseconds;

private:
    std::mt19937_64 engine_;
};

/// Share of the load that a team submits.
struct TeamLoad {
    TeamId team_;
    /// Relative to the weights of the other teams.
    double weight_ = 1.0;
    /// Whether the team submits large gangs; others do not.
    bool large_ = false;
};

/// Parameters of a generated workload.
struct WorkloadPlan {
    std::vector<TeamLoad> teams_;
    /// Number of accelerators of the cluster.
    int capacity_ = 0;
    /// Accelerator time submitted while the load lasts, relative to the capacity in that time.
    double load_ = 1.0;
    /// Shares of large and medium jobs in the accelerator time; small jobs have the rest.
    double largeShare_ = 0.4;
    double mediumShare_ = 0.3;
    /// Accelerators of the largest gang.
    int largestGang_ = 64;
    /// Typical run times of small, medium and large jobs.
    std::array<std::chrono::minutes, 3> typicalRunTimes_{std::chrono::minutes(15), std::chrono::minutes(30), std::chrono::minutes(45)};
    /// Limits the run time, so that a job of the last hour can finish before the run ends.
    std::chrono::minutes maxRunTime_{std::chrono::minutes(210)};
    /// Number of jobs in a burst of small jobs, in a burst of large jobs, and in a bulk cancellation.
    int burstSmall_ = 120;
    int burstLarge_ = 6;
    int cancellationSize_ = 30;
    /// Number of urgent jobs per 20 minutes.
    int urgent_ = 1;
    int impossible_ = 8;
    /// Number of tasks without accelerators that run at any time, and of accelerators that long jobs use from the start.
    int backgroundTasks_ = 0;
    int backgroundAccelerators_ = 0;
};

/// Adds background jobs, steady load, bursts, urgent jobs, bulk cancellations and impossible jobs to a scenario.
auto addWorkload(Scenario &scenario, const WorkloadPlan &plan, Random &random) -> void;
} // namespace Marjoramfold
