#pragma once

#include "marjoramfold/core/job.h"
#include "marjoramfold/worker/workermessages.h"

#include <map>
#include <set>
#include <vector>

namespace Marjoramfold
{
/// A job of an availability zone as the log describes it.
struct KnownJob {
    JobSpec spec_;
    std::chrono::milliseconds age_{0};
    /// Highest attempt that the log knows of.
    std::uint32_t attempt_ = 0;
    std::chrono::milliseconds progress_{0};
};

/// A task to stop on a worker.
struct OrphanedTask {
    TaskId task_;
    WorkerId worker_;
};

/// A gang that runs as a whole and goes on under the new scheduler.
struct SurvivingGang {
    KnownJob job_;
    std::vector<TaskPlacement> placements_;
};

/// What a new scheduler of an availability zone does first.
struct TakeoverPlan {
    std::vector<SurvivingGang> survivors_;
    std::vector<OrphanedTask> orphans_;
    /// Jobs to place again. Their next attempt is above every attempt that the log or a worker has seen.
    std::vector<KnownJob> waiting_;
    /// Jobs that may still run on a worker that did not answer; to be placed only when its leases have surely lapsed.
    std::vector<KnownJob> uncertain_;
};

/// Compares the log's jobs with the workers' inventories. `unreachable` are workers that did not answer.
[[nodiscard]] auto
planTakeover(const std::vector<KnownJob> &jobs, const std::map<WorkerId, WorkerInventory> &inventories, const std::set<WorkerId> &unreachable) -> TakeoverPlan;
} // namespace Marjoramfold
