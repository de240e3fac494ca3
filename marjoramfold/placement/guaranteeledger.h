#pragma once

#include "marjoramfold/placement/placementtypes.h"
#include "marjoramfold/rules/ruleset.h"

#include <unordered_map>
#include <vector>

namespace Marjoramfold
{
/// Histogram over numbers of accelerators: entry i counts the workers or shapes with i accelerators.
using AcceleratorHistogram = std::vector<int>;

/// Number of accelerators in shapes that do not fit on workers with the given available accelerators. Exact when each shape size
/// divides the next larger one; otherwise it may report too many, never too few.
[[nodiscard]] auto unformableAccelerators(AcceleratorHistogram available, const AcceleratorHistogram &shapes) -> int;

/// Tracks which accelerators hold guaranteed work and whether every unused guaranteed shape can still be placed.
/// Capacity counts as available for a shape when it is free or used by work beyond its team's guarantee.
class GuaranteeLedger
{
public:
    explicit GuaranteeLedger(std::vector<AvailabilityZoneId> zones);

    /// Applies the guarantees of a rule set; existing charges are kept.
    auto setRules(const RuleSet &rules) -> void;

    /// Sets the number of accelerators that a worker provides; 0 when it must not be used.
    auto setWorker(WorkerIndex worker, ZoneIndex zone, int accelerators) -> void;

    /// Changes a team's total use in an availability zone, guaranteed and borrowed; `change` may be negative.
    auto changeTotalUse(ZoneIndex zone, const TeamId &team, int change) -> void;

    /// Whether borrowed work of a team that uses this many accelerators may be marked as guaranteed.
    [[nodiscard]] auto mayPromote(ZoneIndex zone, const TeamId &team, int accelerators) const -> bool;

    /// Whether this many more accelerators are within the team's guarantee in the availability zone, counting all that it uses there.
    [[nodiscard]] auto covers(ZoneIndex zone, const TeamId &team, int accelerators) const -> bool;

    /// Whether charging the placement leaves no more accelerators of unused guaranteed shapes unplaceable than before.
    [[nodiscard]] auto preservesUnusedShapes(ZoneIndex zone, const TeamId &team, const GangPlacement &placement, int acceleratorsPerTask) const -> bool;

    /// Marks the accelerators of a gang as guaranteed work of its team.
    auto charge(ZoneIndex zone, const TeamId &team, WorkerIndex worker, int accelerators) -> void;

    /// Reverts `charge`.
    auto refund(ZoneIndex zone, const TeamId &team, WorkerIndex worker, int accelerators) -> void;

    /// Accelerators of unused guaranteed shapes that cannot be placed now, for example because workers failed.
    [[nodiscard]] auto unformable(ZoneIndex zone) const -> int;

    /// Accelerators of a worker that are not held by guaranteed work.
    [[nodiscard]] auto available(WorkerIndex worker) const -> int;

    /// Whether a team has a guarantee in any availability zone of this ledger.
    [[nodiscard]] auto hasGuarantee(const TeamId &team) const -> bool;

private:
    struct Account {
        int accelerators_ = 0;
        int perWorker_ = 1;
        /// Accelerators of guaranteed work.
        int used_ = 0;
        /// Accelerators of all work.
        int total_ = 0;

        [[nodiscard]] auto unusedShapes() const -> int
        {
            return used_ >= accelerators_ ? 0 : (accelerators_ - used_) / perWorker_;
        }
    };
    struct Zone {
        AvailabilityZoneId id_;
        std::unordered_map<TeamId, Account> accounts_;
        AcceleratorHistogram available_;
        AcceleratorHistogram unusedShapes_;
    };
    struct Worker {
        int offered_ = 0;
        int guaranteed_ = 0;

        [[nodiscard]] auto available() const -> int
        {
            return offered_ > guaranteed_ ? offered_ - guaranteed_ : 0;
        }
    };

    static auto addTo(AcceleratorHistogram &histogram, int accelerators, int count) -> void;
    auto changeUse(ZoneIndex zone, const TeamId &team, WorkerIndex worker, int change) -> void;

    std::vector<Zone> zones_;
    std::vector<Worker> workers_;
};
} // namespace Marjoramfold
