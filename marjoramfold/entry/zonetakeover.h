#pragma once

#include "marjoramfold/core/job.h"
#include "marjoramfold/worker/workermessages.h"

#include <map>
#include <set>
#include <vector>

namespace Marjoramfold
{
/// Job of an availability zone as recorded in the log.
struct KnownJob {
    JobSpec spec_;
    std::chrono::milliseconds age_{0};
    /// Highest attempt in the log.
    std::uint32_t attempt_ = 0;
    std::chrono::milliseconds progress_{0};
};

/// Task on a worker that is not part of a surviving gang, and must be stopped.
struct OrphanedTask {
    TaskId task_;
    WorkerId worker_;
};

/// Gang whose members all run, and which keeps running under the new scheduler.
struct SurvivingGang {
    KnownJob job_;
    std::vector<TaskPlacement> placements_;
};

/// Initial actions of a new scheduler of an availability zone.
struct TakeoverPlan {
    std::vector<SurvivingGang> survivors_;
    std::vector<OrphanedTask> orphans_;
    /// Jobs to place again. Their next attempt is above every attempt in the log or reported by a worker.
    std::vector<KnownJob> waiting_;
    /// Jobs that may still run on an unreachable worker; to be placed only after its task leases have certainly expired.
    std::vector<KnownJob> uncertain_;
};

/// Reconciles the jobs in the log with the workers' inventories. `unreachable` are the workers that did not answer.
[[nodiscard]] auto
planTakeover(const std::vector<KnownJob> &jobs, const std::map<WorkerId, WorkerInventory> &inventories, const std::set<WorkerId> &unreachable) -> TakeoverPlan;
} // namespace Marjoramfold
