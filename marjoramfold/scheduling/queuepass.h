#pragma once

#include "marjoramfold/scheduling/startdecisions.h"

namespace Marjoramfold
{
/// Tries waiting jobs in their order, with a bounded number of looks per call.
class QueuePass
{
public:
    QueuePass(SchedulerState &state, StartDecisions &decisions);

    /// Starts what fits. Goes on where the call before stopped until the end of the queue is reached.
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
