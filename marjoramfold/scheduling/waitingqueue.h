#pragma once

#include "marjoramfold/scheduling/schedulerstate.h"

namespace Marjoramfold
{
/// Order of waiting jobs: urgent first, then the shortest expected work, moved by waiting time, class and team priority.
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

    /// Logarithm of the expected work left, moved by waiting time and priority; smaller goes first.
    [[nodiscard]] auto scoreOf(const JobRecord &job) const -> double;

    /// The same for a given run time left.
    [[nodiscard]] auto scoreOf(const JobRecord &job, std::chrono::milliseconds timeLeft) const -> double;

private:
    [[nodiscard]] auto keyOf(const JobRecord &job) const -> QueueKey;

    SchedulerState *state_;
};
} // namespace Marjoramfold
