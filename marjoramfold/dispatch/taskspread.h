#pragma once

#include <cstddef>
#include <cstdint>
#include <vector>

namespace Marjoramfold
{
/// A worker that may get tasks without demand.
struct SpreadWorker {
    std::int64_t idleMilliCores_ = 0;
    /// Number of runs that the worker has.
    std::size_t runs_ = 0;
    /// Duration of the same work relative to a worker of ordinary speed.
    double relativeDuration_ = 1;
    /// Largest number of the tasks that the worker may get.
    std::uint32_t limit_ = 0;
    bool quarantined_ = false;
};

/// Distributes tasks that take nothing of a worker's capacity, and returns the index of the worker for each; fewer than `count` if the limits
/// allow no more.
///
/// Answers the load pattern in which the tasks of a step use what others leave idle. Any number of them fits on one worker, where they would
/// share its idle cores, wait for each other's start commands, and be lost with it. Each task goes to the worker that leaves it the most
/// idle cores for its speed; quarantined workers get tasks only when the others have as many as they may.
[[nodiscard]] auto spreadTasks(const std::vector<SpreadWorker> &workers, std::uint32_t count) -> std::vector<std::size_t>;
} // namespace Marjoramfold
