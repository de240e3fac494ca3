#pragma once

#include "marjoramfold/core/job.h"

#include <cstdint>
#include <vector>

namespace Marjoramfold
{
/// Dense indexes, so that hot paths index vectors instead of hashing strings.
using WorkerIndex = std::uint32_t;
using RackIndex = std::uint32_t;
using ZoneIndex = std::uint32_t;
using GangIndex = std::uint32_t;

/// Requirements of a gang: resources per task, number of tasks and adjacency.
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

/// Number of tasks of a gang on one worker.
struct WorkerAllocation {
    WorkerIndex worker_ = 0;
    int tasks_ = 0;
};

/// Workers for the tasks of a gang; each worker appears once.
using GangPlacement = std::vector<WorkerAllocation>;

/// Resources of several equal tasks.
[[nodiscard]] auto resourcesOf(const Resources &task, int tasks) -> Resources;

/// Number of tasks that fit into free resources, up to `atMost`.
[[nodiscard]] auto tasksThatFit(const Resources &free, const Resources &task, int atMost) -> int;
} // namespace Marjoramfold
