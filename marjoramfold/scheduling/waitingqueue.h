#pragma once

#include "marjoramfold/scheduling/schedulerstate.h"

namespace Marjoramfold
{
/// Order of waiting jobs: urgent first, then by class and team priority, then the shortest expected work with aging.
class WaitingQueue
{
public:
    explicit WaitingQueue(SchedulerState &state);

    /// Adds a job that may be tried now.
    auto add(JobRecord &job) -> void;

    /// Removes a job, if it is in the queue.
    auto remove(JobRecord &job) -> void;

    /// Sorts all waiting jobs again, for example after a change of priorities.
    auto rebuild() -> void;

private:
    [[nodiscard]] auto keyOf(const JobRecord &job) const -> QueueKey;

    SchedulerState *state_;
};
} // namespace Marjoramfold
