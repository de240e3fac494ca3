#pragma once

#include "marjoramfold/placement/placer.h"
#include "marjoramfold/scheduling/joblifecycle.h"

namespace Marjoramfold
{
/// Tries waiting jobs in their order, with a bounded number of looks per call.
class QueuePass
{
public:
    QueuePass(SchedulerState &state, JobLifecycle &lifecycle);

    /// Starts what fits. Goes on where the call before stopped until the end of the queue is reached.
    auto run() -> void;

private:
    auto tryStart(JobRecord &job) -> bool;
    auto tryGuaranteed(JobRecord &job) -> bool;
    auto tryBorrowed(JobRecord &job) -> bool;
    [[nodiscard]] auto isWithinQuota(const JobRecord &job) const -> bool;
    [[nodiscard]] auto mayRunIn(const JobRecord &job, ZoneIndex zone) const -> bool;
    [[nodiscard]] auto filterOf(const JobRecord &job) const -> Placer::WorkerFilter;
    auto begin(JobRecord &job, ZoneIndex zone, const GangPlacement &placement, bool guaranteed) -> void;

    SchedulerState *state_;
    JobLifecycle *lifecycle_;
    Placer placer_;
    std::optional<QueueKey> resumeAfter_;
};
} // namespace Marjoramfold
