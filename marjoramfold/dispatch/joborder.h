#pragma once

#include "marjoramfold/core/clock.h"
#include "marjoramfold/dispatch/delaycost.h"
#include "marjoramfold/dispatch/jobstate.h"
#include "marjoramfold/fleet/operatorconfig.h"

#include <chrono>
#include <compare>

namespace Marjoramfold
{
/// Sort key of a ready step; lower ranks start first.
struct StepRank {
    /// 0 for jobs of priority 0, which come first; 1 for all others.
    int urgencyClass_ = 0;
    /// 1 for urgent tasks that their team's guarantee does not cover, else 0.
    int beyondGuarantee_ = 0;
    /// 0 while the job can meet its objective, 1 while a late end is still useful, 2 after that.
    int lateness_ = 0;
    int priority_ = 0;
    /// Completion deadline in Unix milliseconds. For urgent jobs the time of acceptance or due time, because all of them have the same
    /// start deadline and must start in this order.
    std::chrono::milliseconds sortTime_{0};
    JobId job_;
    std::uint32_t occurrence_ = 0;
    std::uint32_t step_ = 0;

    auto operator<=>(const StepRank &) const = default;
};

/// A job that ends within this many times its objective is late but still useful.
constexpr double UsefulLatenessFactor = 3.0;

/// Expected run time of a step on eligible workers without a slowdown.
[[nodiscard]] auto expectedTime(const StepPlan &step, double ratio) -> std::chrono::milliseconds;

/// Length of the critical path over the unfinished steps, by expected run times.
[[nodiscard]] auto remainingCriticalPath(const JobPlan &plan, const OccurrenceState &occurrence, double ratio) -> std::chrono::milliseconds;

/// Time from the acceptance or due time in which a job has to end to meet its objective, by expected run times.
[[nodiscard]] auto objectiveOf(const JobPlan &plan, const QueueConfig &queue, double ratio) -> std::chrono::milliseconds;

/// Rank of a ready step at the given wall time. `ratio` is the measured run time of the queue's tasks relative to their estimates.
[[nodiscard]] auto
rankStep(const TrackedJob &job, std::uint32_t occurrence, std::uint32_t step, const QueueConfig &queue, double ratio, std::chrono::milliseconds wallNow)
    -> StepRank;

/// When a job without occurrences is expected to end, with and without a stop of its runs now, and what its queue promises.
[[nodiscard]] auto delayTerms(const TrackedJob &job, const QueueConfig &queue, double ratio, std::chrono::milliseconds wallNow) -> DelayTerms;
} // namespace Marjoramfold
