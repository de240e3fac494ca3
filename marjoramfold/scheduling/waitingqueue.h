#pragma once

#include "marjoramfold/scheduling/schedulerstate.h"

namespace Marjoramfold
{
/// Orders waiting jobs: urgent first, then by expected work, adjusted by waiting time, class and team priority.
class WaitingQueue
{
public:
    explicit WaitingQueue(SchedulerState &state);

    /// Adds a job, or updates its position.
    auto add(JobRecord &job) -> void;

    /// Does nothing when the job is not in the queue.
    auto remove(JobRecord &job) -> void;

    /// Sorts all waiting jobs again after a change of priorities.
    auto rebuild() -> void;

    /// Logarithm of the remaining work, adjusted by submission time and priority; smaller goes first.
    [[nodiscard]] auto scoreOf(const JobRecord &job) const -> double;

    /// The same for a given remaining run time.
    [[nodiscard]] auto scoreOf(const JobRecord &job, std::chrono::milliseconds timeLeft) const -> double;

private:
    [[nodiscard]] auto keyOf(const JobRecord &job) const -> QueueKey;

    SchedulerState *state_;
};
} // namespace Marjoramfold
