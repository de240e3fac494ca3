#pragma once

#include "marjoramfold/core/job.h"

#include <cstdint>
#include <vector>

namespace Marjoramfold
{
/// Dense handles, so that hot paths index vectors instead of hashing strings.
using WorkerIndex = std::uint32_t;
using RackIndex = std::uint32_t;
using ZoneIndex = std::uint32_t;
using GangIndex = std::uint32_t;

/// What a gang needs: equal tasks, how many, and how close together.
struct GangShape {
    Resources task_;
    int tasks_ = 1;
    Adjacency adjacency_ = Adjacency::None;

    auto operator==(const GangShape &) const -> bool = default;

    /// Accelerators of all tasks together.
    [[nodiscard]] auto accelerators() const -> int
    {
        return task_.accelerators_ * tasks_;
    }
};

/// The number of tasks of one gang on one worker.
struct WorkerAllocation {
    WorkerIndex worker_ = 0;
    int tasks_ = 0;
};

/// Where the tasks of a gang go; each worker appears once.
using GangPlacement = std::vector<WorkerAllocation>;

/// Resources of several equal tasks.
[[nodiscard]] auto resourcesOf(const Resources &task, int tasks) -> Resources;

/// How many tasks fit into free resources, at most the given number.
[[nodiscard]] auto tasksThatFit(const Resources &free, const Resources &task, int atMost) -> int;
} // namespace Marjoramfold
