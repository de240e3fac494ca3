#include "marjoramfold/dispatch/joborder.h"

#include <algorithm>
#include <vector>

namespace Marjoramfold
{
namespace
{
/// Time for which a stopped run waits for room again; large gangs waited 3 s at the median on a full fleet.
constexpr std::chrono::milliseconds RestartWait{3000};

/// Length of the critical path over all steps, or over the unfinished ones if an occurrence is given.
auto criticalPath(const JobPlan &plan, const OccurrenceState *occurrence, double ratio) -> std::chrono::milliseconds
{
    std::vector<std::chrono::milliseconds> ends(plan.steps_.size(), std::chrono::milliseconds(0));
    std::chrono::milliseconds longest{0};
    for (std::size_t i = 0; i < plan.steps_.size(); ++i) {
        const auto &step = plan.steps_[i];
        std::chrono::milliseconds start{0};
        for (const auto earlier : step.dependsOn_) {
            start = std::max(start, ends[earlier]);
        }
        const auto done = occurrence != nullptr && occurrence->steps_[i].done_ == step.count_;
        ends[i] = start + (done ? std::chrono::milliseconds(0) : expectedTime(step, ratio));
        longest = std::max(longest, ends[i]);
    }
    return longest;
}
} // namespace

auto expectedTime(const StepPlan &step, double ratio) -> std::chrono::milliseconds
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(step.estimate_ * ratio);
}

auto remainingCriticalPath(const JobPlan &plan, const OccurrenceState &occurrence, double ratio) -> std::chrono::milliseconds
{
    return criticalPath(plan, &occurrence, ratio);
}

auto objectiveOf(const JobPlan &plan, const QueueConfig &queue, double ratio) -> std::chrono::milliseconds
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(criticalPath(plan, nullptr, ratio) * queue.stretch_) + queue.targetLatency_;
}

auto rankStep(const TrackedJob &job, std::uint32_t occurrence, std::uint32_t step, const QueueConfig &queue, double ratio, std::chrono::milliseconds wallNow)
    -> StepRank
{
    const auto &plan = job.submission_.plan_;
    const auto since = referenceTime(job.submission_, occurrence);
    const auto allowed = objectiveOf(plan, queue, ratio);
    const auto expectedEnd = wallNow + remainingCriticalPath(plan, job.occurrences_[occurrence], ratio);
    const auto lateEnd = since + std::chrono::duration_cast<std::chrono::milliseconds>(allowed * UsefulLatenessFactor);
    int lateness = 2;
    if (expectedEnd <= since + allowed) {
        lateness = 0;
    } else if (expectedEnd <= lateEnd) {
        lateness = 1;
    }
    if (queue.priority_ == 0) {
        return {0, 0, 0, 0, since, job.submission_.id_, occurrence, step};
    }
    return {1, 0, lateness, queue.priority_, since + allowed, job.submission_.id_, occurrence, step};
}

auto delayTerms(const TrackedJob &job, const QueueConfig &queue, double ratio, std::chrono::milliseconds wallNow) -> DelayTerms
{
    const auto &plan = job.submission_.plan_;
    const auto since = referenceTime(job.submission_, 0);
    const auto allowed = objectiveOf(plan, queue, ratio);
    const auto remaining = remainingCriticalPath(plan, job.occurrences_.front(), ratio);
    DelayTerms terms;
    // Running work is on average halfway; a stopped run starts again, in the worst case from its beginning, after it has waited for room.
    terms.expectedEnd_ = wallNow + remaining / 2;
    terms.expectedEndIfDelayed_ = wallNow + remaining + RestartWait;
    terms.objective_ = since + allowed;
    terms.lastUseful_ = since + std::chrono::duration_cast<std::chrono::milliseconds>(allowed * UsefulLatenessFactor);
    return terms;
}
} // namespace Marjoramfold
