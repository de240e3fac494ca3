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
/// What a unit of work needs: a gang, or single tasks of a step.
struct PlacementRequest {
    const StepPlan *step_ = nullptr;
    std::string pool_;
    std::uint32_t count_ = 1;
    int priority_ = 0;
    /// Workers that are no longer tried, because a task of the unit failed there.
    std::set<WorkerId> avoid_;
    /// Runs of the step that each worker has already; they count against the limit a worker.
    std::unordered_map<WorkerId, std::uint32_t> placed_;
};

/// Where a unit goes.
struct PlacementDecision {
    /// One worker for each task; a worker may stand here more than once.
    std::vector<WorkerSession *> workers_;
    /// Away from the data, or a gang over several racks: it runs slower.
    bool remote_ = false;
    /// Runs that must stop first, with their workers; empty when there is room now.
    std::vector<std::pair<WorkerSession *, RunKey>> victims_;
};

/// What a unit without room finds, for logs. Counts of workers.
struct CapacitySummary {
    /// May run it when they are empty.
    std::size_t eligible_ = 0;
    /// Have room for one of its tasks now.
    std::size_t withFreeCapacity_ = 0;
    /// Of those, kept for other units.
    std::size_t reserved_ = 0;
    std::size_t idle_ = 0;
};

/// Chooses workers for units, on what the sessions say at the moment.
class WorkerSelector
{
public:
    /// Prepares a look at the workers that may get new work now.
    WorkerSelector(const std::unordered_map<WorkerId, std::unique_ptr<WorkerSession>> &sessions,
                   const std::unordered_set<std::string> &evacuatedZones,
                   BootTime now);

    /// Room for a unit now. Gangs go as a whole; otherwise as many tasks as fit. With `near`, only places without a slowdown are taken.
    [[nodiscard]] auto findPlacement(const PlacementRequest &request, bool local) -> std::optional<PlacementDecision>;

    /// Room for a unit after lower priorities have been stopped: the choice that loses the least work.
    [[nodiscard]] auto findPlacementByPreemption(const PlacementRequest &request, bool local) -> std::optional<PlacementDecision>;

    /// Workers on which a blocked gang will find room soonest when nothing else starts there; empty when there are none.
    [[nodiscard]] auto findReservation(const PlacementRequest &request, bool local) -> std::vector<WorkerSession *>;

    /// Share of the accelerators of the usable workers that is in use, from 0 to 1.
    [[nodiscard]] auto acceleratorUtilization() const -> double;

    /// What the unit finds now.
    [[nodiscard]] auto summarizeCapacity(const PlacementRequest &request) const -> CapacitySummary;

    /// True when the pool as it is could hold the unit without a slowdown, if it were empty.
    [[nodiscard]] auto couldFitLocally(const PlacementRequest &request) -> bool;

    /// Accounts for what was placed or stopped since, in room that this object handed out.
    auto take(WorkerSession &session, const ResourceVector &demand) -> void;

    /// Keeps other units of lower rank away from a worker for the rest of this pass.
    auto reserve(WorkerSession &session) -> void;

private:
    struct Candidate {
        WorkerSession *session_ = nullptr;
        ResourceVector free_;
        bool reserved_ = false;
    };

    using Group = std::vector<Candidate *>;

    /// Cost of freeing the room of a run; empty when the run must stay.
    using RemovalCost = std::function<std::optional<double>(const WorkerRun &)>;

    [[nodiscard]] auto eligible(const Candidate &candidate, const PlacementRequest &request) const -> bool;
    [[nodiscard]] auto groupsFor(const PlacementRequest &request, bool local, bool withoutFailuresOnly = false) -> std::vector<Group>;
    [[nodiscard]] auto findPlacementIn(const std::vector<Group> &groups, const PlacementRequest &request, bool local) const -> std::optional<PlacementDecision>;
    [[nodiscard]] auto selectWorkers(const Group &group, const PlacementRequest &request) const -> std::vector<WorkerSession *>;
    [[nodiscard]] auto selectAfterRemoval(const Group &group, const PlacementRequest &request, const RemovalCost &costOf) const
        -> std::optional<std::pair<PlacementDecision, double>>;

    [[nodiscard]] auto cheapestAfterRemoval(const PlacementRequest &request, bool local, const RemovalCost &costOf) -> std::optional<PlacementDecision>;

    [[nodiscard]] static auto isIdle(const Candidate &candidate) -> bool;

    /// One bad worker fails a whole gang, and urgent work has no time for a second try: both go where runs got on last.
    [[nodiscard]] static auto needsHealthyWorkers(const PlacementRequest &request) -> bool;
    [[nodiscard]] auto wasRecentlyHealthy(const WorkerSession &session) const -> bool;

    std::vector<Candidate> candidates_;
    std::size_t idleWorkers_ = 0;
    /// Idle workers that only urgent work may take.
    std::size_t idleReserve_ = 0;
    std::unordered_map<const WorkerSession *, std::size_t> indexes_;
    BootTime now_;
};
} // namespace Marjoramfold
