#pragma once

#include "marjoramfold/placement/placementtypes.h"
#include "marjoramfold/rules/ruleset.h"

#include <unordered_map>
#include <vector>

namespace Marjoramfold
{
/// Counts of something by number of accelerators: entry i counts those with i accelerators.
using AcceleratorHistogram = std::vector<int>;

/// Accelerators in shapes that do not fit on workers with the given available accelerators. Exact when each shape size divides the next
/// larger one; otherwise it may report too many, never too few.
[[nodiscard]] auto unformableAccelerators(AcceleratorHistogram available, const AcceleratorHistogram &shapes) -> int;

/// Which accelerators hold guaranteed work, and whether every unused guaranteed shape can still be formed.
/// Capacity counts as available for a shape when it is free or used by work beyond its team's guarantee.
class GuaranteeLedger
{
public:
    explicit GuaranteeLedger(std::vector<AvailabilityZoneId> zones);

    /// Takes the guarantees of a rule set; guaranteed work stays as charged.
    auto setRules(const RuleSet &rules) -> void;

    /// Sets the accelerators that a worker offers; 0 when it must not be used.
    auto setWorker(WorkerIndex worker, ZoneIndex zone, int accelerators) -> void;

    /// Adds to the use of a team in an availability zone, guaranteed or borrowed; the change may be negative.
    auto changeTotalUse(ZoneIndex zone, const TeamId &team, int change) -> void;

    /// Whether borrowed work of a team that uses this many accelerators may be marked as guaranteed.
    [[nodiscard]] auto mayPromote(ZoneIndex zone, const TeamId &team, int accelerators) const -> bool;

    /// Whether this many more accelerators are within the team's guarantee in the availability zone, counting all that it uses there.
    [[nodiscard]] auto covers(ZoneIndex zone, const TeamId &team, int accelerators) const -> bool;

    /// Whether charging the placement leaves the unused shapes of all teams as formable as they are.
    [[nodiscard]] auto preservesUnusedShapes(ZoneIndex zone, const TeamId &team, const GangPlacement &placement, int acceleratorsPerTask) const -> bool;

    /// Marks the accelerators of a gang as guaranteed work of its team.
    auto charge(ZoneIndex zone, const TeamId &team, WorkerIndex worker, int accelerators) -> void;

    /// Takes the mark back.
    auto refund(ZoneIndex zone, const TeamId &team, WorkerIndex worker, int accelerators) -> void;

    /// Accelerators of unused guaranteed shapes that cannot be formed now, for example because workers failed.
    [[nodiscard]] auto unformable(ZoneIndex zone) const -> int;

    /// Accelerators of a worker that are not held by guaranteed work.
    [[nodiscard]] auto available(WorkerIndex worker) const -> int;

    /// Whether a team is guaranteed anything in any availability zone of this ledger.
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
