#pragma once

#include "marjoramfold/dispatch/workersession.h"
#include "marjoramfold/fleet/jobplan.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <unordered_set>
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
    /// Workers that are excluded because one of the tasks failed there.
    std::set<WorkerId> excludedWorkers_;
    /// Active runs of the step by worker; they count against the limit per worker.
    std::unordered_map<WorkerId, std::uint32_t> placed_;
};

/// The workers chosen for a request.
struct PlacementDecision {
    /// One worker for each task; a worker may occur more than once.
    std::vector<WorkerSession *> workers_;
    /// Away from the data, or a gang across racks: the tasks run slower.
    bool remote_ = false;
    /// Runs that must stop first, with their workers; empty when the capacity is free now.
    std::vector<std::pair<WorkerSession *, RunKey>> victims_;
};

/// Numbers of workers by state, to log why a request cannot be placed.
struct CapacitySummary {
    /// Match the request's pool and label and are not excluded.
    std::size_t eligible_ = 0;
    /// Have free capacity for one task now.
    std::size_t withFreeCapacity_ = 0;
    /// Of those, reserved for other requests.
    std::size_t reserved_ = 0;
    std::size_t idle_ = 0;
};

/// Chooses workers for placement requests, based on a snapshot of the worker sessions.
class WorkerSelector
{
public:
    /// Takes a snapshot of the workers that may get new work now.
    WorkerSelector(const std::unordered_map<WorkerId, std::unique_ptr<WorkerSession>> &sessions,
                   const std::unordered_set<std::string> &evacuatedZones,
                   BootTime now);

    /// Placement in free capacity: a gang as a whole, of other tasks as many as fit. `local` allows only workers without a slowdown.
    [[nodiscard]] auto findPlacement(const PlacementRequest &request, bool local) -> std::optional<PlacementDecision>;

    /// Placement that preempts lower priorities with the smallest loss of work.
    [[nodiscard]] auto findPlacementByPreemption(const PlacementRequest &request, bool local) -> std::optional<PlacementDecision>;

    /// Workers on which a blocked gang is expected to fit soonest when nothing else starts there; empty when there are none.
    [[nodiscard]] auto findReservation(const PlacementRequest &request, bool local) -> std::vector<WorkerSession *>;

    /// Used share of the usable workers' accelerators, from 0 to 1.
    [[nodiscard]] auto acceleratorUtilization() const -> double;

    /// Counts the workers that match the request.
    [[nodiscard]] auto summarizeCapacity(const PlacementRequest &request) const -> CapacitySummary;

    /// True when the usable workers could hold the request without a slowdown if they were empty.
    [[nodiscard]] auto couldFitLocally(const PlacementRequest &request) -> bool;

    /// Subtracts placed resources from a worker's free capacity in the snapshot.
    auto allocate(WorkerSession &session, const ResourceVector &demand) -> void;

    /// Excludes a worker from placements of lower rank, except urgent ones, for the rest of this pass.
    auto reserve(WorkerSession &session) -> void;

private:
    struct Candidate {
        WorkerSession *session_ = nullptr;
        ResourceVector free_;
        bool reserved_ = false;
    };

    using Group = std::vector<Candidate *>;

    /// Cost of removing a run; empty when the run must stay.
    using RemovalCost = std::function<std::optional<double>(const WorkerRun &)>;

    [[nodiscard]] auto eligible(const Candidate &candidate, const PlacementRequest &request) const -> bool;
    [[nodiscard]] auto groupsFor(const PlacementRequest &request, bool local, bool withoutFailuresOnly = false) -> std::vector<Group>;
    [[nodiscard]] auto findPlacementIn(const std::vector<Group> &groups, const PlacementRequest &request, bool local) const -> std::optional<PlacementDecision>;
    [[nodiscard]] auto selectWorkers(const Group &group, const PlacementRequest &request) const -> std::vector<WorkerSession *>;
    [[nodiscard]] auto selectAfterRemoval(const Group &group, const PlacementRequest &request, const RemovalCost &costOf) const
        -> std::optional<std::pair<PlacementDecision, double>>;

    [[nodiscard]] auto cheapestAfterRemoval(const PlacementRequest &request, bool local, const RemovalCost &costOf) -> std::optional<PlacementDecision>;

    [[nodiscard]] static auto isIdle(const Candidate &candidate) -> bool;

    /// Gangs and urgent work prefer workers with recent progress: one faulty worker fails a whole gang, and urgent work has no time
    /// for a retry.
    [[nodiscard]] static auto needsHealthyWorkers(const PlacementRequest &request) -> bool;
    [[nodiscard]] auto wasRecentlyHealthy(const WorkerSession &session) const -> bool;

    std::vector<Candidate> candidates_;
    std::size_t idleWorkers_ = 0;
    /// Number of idle workers that only urgent work may use.
    std::size_t idleReserve_ = 0;
    std::unordered_map<const WorkerSession *, std::size_t> indexes_;
    BootTime now_;
};
} // namespace Marjoramfold
