#pragma once

#include "marjoramfold/scheduling/startdecisions.h"

namespace Marjoramfold
{
/// Tries to start waiting jobs in queue order, a limited number per call.
class QueuePass
{
public:
    QueuePass(SchedulerState &state, StartDecisions &decisions);

    /// Continues after the last job tried by the previous call, and wraps around at the end of the queue.
    auto run() -> void;

private:
    auto tryStart(JobRecord &job) -> bool;
    auto startBorrowing(JobRecord &job) -> bool;

    SchedulerState *state_;
    StartDecisions *decisions_;
    std::optional<QueueKey> resumeAfter_;
    int preemptionSearchesLeft_ = 0;
};
} // namespace Marjoramfold
