#pragma once

#include "marjoramfold/dispatch/preferences.h"
#include "marjoramfold/dispatch/workersession.h"
#include "marjoramfold/fleet/jobplan.h"

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <limits>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

namespace Marjoramfold
{
/// Requirements of a gang, or of independent tasks of a step, that are placed together.
struct PlacementRequest {
    const StepPlan *step_ = nullptr;
    std::string pool_;
    std::uint32_t count_ = 1;
    int priority_ = 0;
    /// Urgent tasks that their team's guarantee covers; they may reclaim accelerators that other teams use beyond theirs.
    bool withinGuarantee_ = false;
    /// Workers that are excluded because one of the tasks failed there recently.
    std::set<WorkerId> avoidedWorkers_;
    /// Preferences that are given up for the request. Locality is chosen by the caller of a search instead, since a step has several searches.
    PreferenceSet waived_;
    /// Active runs of the step by worker; they count against the limit per worker.
    std::unordered_map<WorkerId, std::uint32_t> placed_;
    /// Relative duration on a worker from which a task alone is expected to miss the objective of its queue.
    double maxRelativeDuration_ = std::numeric_limits<double>::infinity();
    /// Workers that just refused the start of one of the tasks. They are left out of placements for a moment, whatever preferences are given up.
    std::set<WorkerId> refusingWorkers_{};

    /// True when the tasks run slower on workers away from their data, or a gang on more than one rack.
    [[nodiscard]] auto prefersLocality() const -> bool
    {
        return !step_->dataRack_.empty() || (step_->gang_ && step_->prefersOneRack_ && count_ > 1);
    }

    /// Number of further tasks of the step that a worker may get.
    [[nodiscard]] auto taskLimitAt(const WorkerId &worker, std::uint32_t wanted) const -> std::uint32_t
    {
        if (step_->maxPerWorker_ == 0) {
            return wanted;
        }
        const auto found = placed_.find(worker);
        const auto placed = found == placed_.end() ? 0 : found->second;
        return placed >= step_->maxPerWorker_ ? 0 : std::min(wanted, step_->maxPerWorker_ - placed);
    }
};

/// The workers chosen for a request.
struct PlacementDecision {
    /// One worker for each task; a worker may occur more than once.
    std::vector<WorkerSession *> workers_;
    /// Away from the data, or a gang across racks: the tasks run slower.
    bool remote_ = false;
    /// Runs that must be stopped first, with their workers.
    std::vector<std::pair<WorkerSession *, RunKey>> victims_;
    /// The preferences that had kept the step waiting for too long and were given up.
    PreferenceSet givenUp_{};
    /// The capacity becomes free only with the end of runs: of the victims, or of runs that end in any case.
    bool awaitsEnds_ = false;
    /// Core-seconds of work that the victims have done and not saved; an accelerator counts as eight cores.
    double lostWork_ = 0;
};

/// Numbers of workers by state, to log why a request cannot be placed.
struct CapacitySummary {
    /// Match the request's pool and label, and are neither avoided nor quarantined.
    std::size_t eligible_ = 0;
    /// Match the request's pool and label, but are quarantined.
    std::size_t quarantined_ = 0;
    /// Have free capacity for one task now.
    std::size_t withFreeCapacity_ = 0;
    /// Of those, reserved for other requests.
    std::size_t reserved_ = 0;
    std::size_t idle_ = 0;
};
} // namespace Marjoramfold
