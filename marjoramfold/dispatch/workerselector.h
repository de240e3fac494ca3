#pragma once

#include "marjoramfold/dispatch/failedrequests.h"
#include "marjoramfold/dispatch/idlereserve.h"
#include "marjoramfold/dispatch/placementrequest.h"
#include "marjoramfold/dispatch/reclaimbudget.h"
#include "marjoramfold/dispatch/speedpreference.h"
#include "marjoramfold/dispatch/victimunits.h"
#include "marjoramfold/dispatch/workersession.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_set>
#include <utility>
#include <vector>

namespace Marjoramfold
{
/// Cost of ending a unit; empty when it must stay.
using VictimTerms = std::function<std::optional<double>(const VictimUnit &)>;

/// Chooses workers for placement requests, based on a snapshot of the worker sessions.
class WorkerSelector
{
public:
    /// Takes a snapshot of the workers that may get new work now. `lastResortDelay` is the time after its last failure from which a
    /// quarantined worker gets work that no other worker can take. Without `speeds`, all workers count as equally fast.
    WorkerSelector(const WorkerSessionMap &sessions,
                   const std::unordered_set<std::string> &evacuatedZones,
                   GuaranteeOf guaranteeOf,
                   std::chrono::milliseconds lastResortDelay,
                   BootTime now,
                   const WorkerSpeeds *speeds = nullptr);

    /// Sets what the choice of victims needs to know of runs and jobs. Without, no end is awaited and no job counts as stopped before.
    auto setVictimHooks(VictimHooks hooks) -> void;

    /// Keeps idle workers together in few racks: work that may take idle workers takes them from the racks with the fewest.
    auto packRacks() -> void;

    /// When the snapshot was taken.
    [[nodiscard]] auto takenAt() const -> BootTime;

    /// Placement in free capacity: a gang as a whole, of other tasks as many as fit. `local` allows only workers without a slowdown.
    [[nodiscard]] auto findPlacement(const PlacementRequest &request, bool local) -> std::optional<PlacementDecision>;

    /// Placement that preempts lower priorities with the smallest loss of work.
    [[nodiscard]] auto findPlacementByPreemption(const PlacementRequest &request, bool local) -> std::optional<PlacementDecision>;

    /// What is left to reclaim in the pass.
    [[nodiscard]] auto reclaimBudget() -> ReclaimBudget &;

    /// Placement that also stops urgent runs of teams that use more than their guarantee, for a request within its own team's.
    [[nodiscard]] auto findPlacementByReclaim(const PlacementRequest &request, bool local) -> std::optional<PlacementDecision>;

    /// Workers on which a blocked gang is expected to fit soonest when nothing else starts there; empty when there are none.
    [[nodiscard]] auto findReservation(const PlacementRequest &request, bool local) -> std::vector<WorkerSession *>;

    /// A smallest set of preferences, beyond those that the request has given up, without which it would fit now; no set when it does not fit
    /// at all.
    [[nodiscard]] auto blockingPreferences(PlacementRequest request) -> std::optional<PreferenceSet>;

    /// True when only preferences keep the request from starting: workers are free for it twice over, and under half of its pool is in use.
    /// A service's tasks have to run however much is in use.
    [[nodiscard]] auto isHeldBack(const PlacementRequest &request) -> bool;

    /// Used share of the accelerators of a pool's usable workers, from 0 to 1.
    [[nodiscard]] auto acceleratorUtilization(const std::string &pool) const -> double;

    /// Counts the workers that match the request.
    [[nodiscard]] auto summarizeCapacity(const PlacementRequest &request) const -> CapacitySummary;

    /// True when the usable workers could hold the request without a slowdown if they were empty.
    [[nodiscard]] auto couldFitLocally(const PlacementRequest &request) -> bool;

    /// True when the eligible workers that are not quarantined could hold the request if they were empty.
    [[nodiscard]] auto couldHoldUnquarantined(const PlacementRequest &request) -> bool;

    /// Subtracts placed resources from a worker's free capacity in the snapshot.
    auto allocate(WorkerSession &session, const ResourceVector &demand) -> void;

    /// Excludes a worker from placements of lower rank, except urgent ones, for the rest of this pass.
    auto reserve(WorkerSession &session) -> void;

private:
    struct Candidate {
        WorkerSession *session_ = nullptr;
        ResourceVector free_;
        bool reserved_ = false;
        bool quarantined_ = false;
        /// Quarantined, and its last failure is too recent for a last resort.
        bool barred_ = false;
        double relativeDuration_ = 1;
        SpeedClass speed_ = SpeedClass::Ordinary;
    };

    using Group = std::vector<Candidate *>;

    /// A candidate with room for a request.
    struct RankedCandidate {
        std::uint32_t fits_ = 0;
        const Candidate *candidate_ = nullptr;
        unsigned healthRank_ = 0;
        /// Set when speeds are known; lower numbers are taken first.
        int speedRank_ = 0;
    };

    /// Resources of several workers.
    struct ResourceUse {
        ResourceVector capacity_;
        ResourceVector used_;

        auto add(const WorkerSession &session) -> void
        {
            capacity_ += session.entry_.capacity_;
            used_ += session.used_;
        }
    };

    /// Resources of a pool. A worker that was lost may have no run left, although its runs count until their leases have expired.
    struct PoolUse {
        ResourceUse listed_;
        ResourceUse reachable_;
    };

    /// True when less than half of the pool's least used resource is in use, of all workers or of those that respond.
    [[nodiscard]] auto isUnderHalfUsed(const std::string &pool) -> bool;

    /// True when the worker has the request's pool and label.
    [[nodiscard]] static auto matches(const Candidate &candidate, const PlacementRequest &request) -> bool;
    [[nodiscard]] static auto eligible(const Candidate &candidate, const PlacementRequest &request) -> bool;
    /// Selects candidates by their capacity.
    using CapacityFilter = std::function<bool(const Candidate &)>;

    /// Candidates that match the request and the filter: one group, or one for each rack if the request needs one rack.
    [[nodiscard]] auto groupsFor(const PlacementRequest &request, bool local, const CapacityFilter &accepts) -> std::vector<Group>;
    [[nodiscard]] auto findPlacementIn(const std::vector<Group> &groups, const PlacementRequest &request, bool local) -> std::optional<PlacementDecision>;
    [[nodiscard]] auto searchFreeCapacity(const PlacementRequest &request, bool local) -> std::optional<PlacementDecision>;
    /// Free accelerators of a rack's candidates.
    [[nodiscard]] auto freeAcceleratorsOf(std::string_view rack) -> std::int64_t;
    [[nodiscard]] auto fitsCapacity(const PlacementRequest &request) -> bool;
    [[nodiscard]] auto candidateOf(const WorkerSession &session) -> Candidate *;
    [[nodiscard]] auto selectWorkers(const Group &group, const PlacementRequest &request) const -> std::vector<WorkerSession *>;
    /// Workers for tasks without demand.
    [[nodiscard]] static auto spreadOver(const Group &group, const PlacementRequest &request) -> std::vector<WorkerSession *>;
    /// Workers of a placement, and the numbers of the units that have to end first.
    struct RemovalChoice {
        std::vector<WorkerSession *> workers_;
        std::vector<std::size_t> units_;
    };

    /// Placement with the smallest cost of the units that have to end first. A null `budget` sets no limit to urgent runs.
    [[nodiscard]] auto
    cheapestAfterRemoval(const PlacementRequest &request, bool local, const VictimUnits &victims, const VictimTerms &termsOf, const ReclaimBudget *budget)
        -> std::optional<RemovalChoice>;
    /// The decision to stop the chosen units, which then count as stopped.
    [[nodiscard]] static auto decide(const RemovalChoice &choice, VictimUnits &victims, bool local) -> PlacementDecision;
    /// The runs of all workers by units; collected once a pass.
    [[nodiscard]] auto victimUnits() -> VictimUnits &;
    [[nodiscard]] auto makeVictimUnits() const -> VictimUnits;

    /// True when the worker has capacity and all of it is free. Runs that take no capacity leave it idle, since any work still fits there.
    [[nodiscard]] static auto isIdle(const Candidate &candidate) -> bool;

    /// Number of idle workers in a candidate's rack.
    [[nodiscard]] auto idleInRackOf(const Candidate &candidate) const -> std::size_t;

    /// Gangs and urgent work prefer workers with recent progress: one faulty worker fails a whole gang, and urgent work has no time
    /// for a retry.
    [[nodiscard]] static auto needsHealthyWorkers(const PlacementRequest &request) -> bool;
    [[nodiscard]] auto wasRecentlyHealthy(const WorkerSession &session) const -> bool;

    /// Sets the speed ranks of candidates for a request.
    auto rankBySpeed(std::vector<RankedCandidate> &ranked, const PlacementRequest &request) const -> void;
    /// The slowest class of the workers of a placement that prefers fast ones; the same for all other placements.
    [[nodiscard]] auto slowestSpeed(const std::vector<WorkerSession *> &workers, const PlacementRequest &request) -> SpeedClass;

    const WorkerSessionMap &sessions_;
    GuaranteeOf guaranteeOf_;
    /// In the order of the worker ids.
    std::vector<Candidate> candidates_;
    FailedRequests failed_;
    VictimHooks victimHooks_;
    /// Null until the first search that needs it.
    std::unique_ptr<VictimUnits> victimUnits_;
    /// Null until it is asked for.
    std::unique_ptr<ReclaimBudget> reclaimBudget_;
    /// Empty until the first request that asks for it.
    std::map<std::string, PoolUse> poolUse_;
    /// Free accelerators by rack; empty until the first request that needs one rack.
    std::map<std::string_view, std::int64_t> rackFree_;
    /// Quarantined candidates.
    std::size_t quarantined_ = 0;
    /// Of the workers that are not quarantined.
    IdleReserve idle_;
    bool packsRacks_ = false;
    BootTime now_;
    bool knowsSpeeds_ = false;
};
} // namespace Marjoramfold
