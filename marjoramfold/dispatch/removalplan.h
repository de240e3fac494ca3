#pragma once

#include "marjoramfold/fleet/jobplan.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <utility>
#include <vector>

namespace Marjoramfold
{
/// Capacity that a unit frees on a worker when it ends; the worker is an index into the problem's workers.
using FreedCapacity = std::pair<std::size_t, ResourceVector>;

/// The question which units have to end so that tasks fit. It refers to workers, units and accounts by their indexes.
struct RemovalProblem {
    /// A worker that may get tasks.
    struct Worker {
        /// May be negative in part, when the capacity is promised to other tasks already.
        ResourceVector free_;
        /// Largest number of the tasks that it may get.
        std::uint32_t limit_ = 0;
    };

    /// Runs that end together: one run, or all members of a gang.
    struct Unit {
        double cost_ = 0;
        /// Range in `freed_`; one element for each worker.
        std::size_t firstFreed_ = 0;
        std::size_t endFreed_ = 0;
        /// Account that limits how much may be taken; empty for a unit without limit.
        std::optional<std::size_t> account_{};
        /// Amount that the unit takes from its account.
        std::int64_t charge_ = 0;
    };

    /// Adds a unit without limit.
    auto addUnit(double cost, const std::vector<FreedCapacity> &freed) -> void;

    ResourceVector task_;
    /// Number of tasks that are wanted, and the smallest number that is of use: all tasks of a gang.
    std::uint32_t count_ = 1;
    std::uint32_t required_ = 1;
    std::vector<Worker> workers_;
    std::vector<Unit> units_;
    std::vector<FreedCapacity> freed_;
    /// What may be taken, such as the accelerators that a team uses beyond its guarantee.
    std::vector<std::int64_t> accounts_;
};

/// An answer to a removal problem.
struct RemovalPlan {
    /// A worker for each task; a worker may occur more than once.
    std::vector<std::size_t> taskWorkers_;
    /// Units that have to end; without any of them fewer tasks would fit.
    std::vector<std::size_t> units_;
    double cost_ = 0;
};

/// Finds units of small cost whose end makes room for the tasks; empty when fewer than the required tasks would fit.
///
/// Pure and deterministic. The search is greedy, so that its time is bounded; see docs/design/victim-selection.md.
[[nodiscard]] auto planRemoval(const RemovalProblem &problem) -> std::optional<RemovalPlan>;
} // namespace Marjoramfold
