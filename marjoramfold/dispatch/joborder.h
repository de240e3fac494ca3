#pragma once

#include "marjoramfold/core/clock.h"
#include "marjoramfold/dispatch/jobstate.h"
#include "marjoramfold/fleet/operatorconfig.h"

#include <chrono>
#include <compare>

namespace Marjoramfold
{
/// Rank of a ready step; lower ranks start first.
struct StepRank {
    /// Jobs of priority 0 first.
    int urgent_ = 0;
    /// 0 while the job can still be on time, 1 while it can be late but useful, 2 after that.
    int lateness_ = 0;
    int priority_ = 0;
    /// When the job must be complete to be on time, in Unix milliseconds; for urgent jobs when they were accepted or fell due,
    /// since each has the same bound until its start and must not be overtaken.
    std::chrono::milliseconds orderTime_{0};
    JobId job_;
    std::uint32_t occurrence_ = 0;
    std::uint32_t step_ = 0;

    auto operator<=>(const StepRank &) const = default;
};

/// A job that ends within this many times its objective still has some worth.
constexpr double UsefulLatenessFactor = 3.0;

/// Expected time of a step from its start on workers that suit it.
[[nodiscard]] auto expectedTime(const StepPlan &step, double ratio) -> std::chrono::milliseconds;

/// Longest chain of expected times over the steps that are not done.
[[nodiscard]] auto remainingCriticalPath(const JobPlan &plan, const OccurrenceState &occurrence, double ratio) -> std::chrono::milliseconds;

/// Rank of a ready step at a time of day. `ratio` is how long tasks of the queue run against their estimates.
[[nodiscard]] auto
rankStep(const TrackedJob &job, std::uint32_t occurrence, std::uint32_t step, const QueueConfig &queue, double ratio, std::chrono::milliseconds wallNow)
    -> StepRank;
} // namespace Marjoramfold
