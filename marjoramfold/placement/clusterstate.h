#pragma once

#include "marjoramfold/placement/placementtypes.h"

#include <optional>
#include <set>
#include <unordered_map>
#include <utility>
#include <vector>

namespace Marjoramfold
{
/// The reservations of one gang on one worker.
struct GangReservation {
    GangIndex gang_ = 0;
    int tasks_ = 0;
    Resources task_;
};

/// A worker and its reservations.
struct WorkerRecord {
    WorkerInfo info_;
    ZoneIndex zone_ = 0;
    RackIndex rack_ = 0;
    Resources used_;
    /// Gangs with reservations on this worker.
    std::vector<GangReservation> gangs_;
    bool up_ = false;
    bool leaving_ = false;
    bool quarantined_ = false;
    /// True while the worker is in the index of free capacity.
    bool indexed_ = false;

    /// Whether new work may be placed here.
    [[nodiscard]] auto isUsable() const -> bool
    {
        return up_ && !leaving_ && !quarantined_;
    }

    /// Resources that are not reserved. Negative while a gang waits for the gangs that it evicted to end.
    [[nodiscard]] auto free() const -> Resources
    {
        auto remaining = info_.capacity_;
        remaining -= used_;
        return remaining;
    }
};

/// A rack and its workers.
struct RackRecord {
    ZoneIndex zone_ = 0;
    std::vector<WorkerIndex> workers_;
    int freeAccelerators_ = 0;
};

/// Index of the free capacity of an availability zone.
struct ZoneCapacity {
    /// Usable workers with accelerators, indexed by free accelerators and sorted by the free accelerators of their rack.
    std::vector<std::set<std::pair<int, WorkerIndex>>> byFreeAccelerators_;
    /// Usable workers without accelerators, sorted by free cores.
    std::set<std::pair<int, WorkerIndex>> coreWorkers_;
    /// Racks, sorted by free accelerators on usable workers.
    std::set<std::pair<int, RackIndex>> racks_;
    /// All workers that were ever added, usable or not.
    std::vector<WorkerIndex> workers_;
    /// The workers with accelerators among them.
    std::vector<WorkerIndex> acceleratorWorkers_;
    int freeAccelerators_ = 0;
    int usableAccelerators_ = 0;
};

/// Workers, racks and reservations, with an index of free capacity per availability zone.
class ClusterState
{
public:
    explicit ClusterState(std::size_t zones);

    /// Adds a worker or updates its rack and capacity; marks it as up.
    auto addOrUpdateWorker(const WorkerInfo &info, ZoneIndex zone) -> WorkerIndex;

    /// Index of a worker, if it was ever added.
    [[nodiscard]] auto find(const WorkerId &id) const -> std::optional<WorkerIndex>;

    auto setUp(WorkerIndex worker, bool up) -> void;
    auto setLeaving(WorkerIndex worker, bool leaving) -> void;
    auto setQuarantined(WorkerIndex worker, bool quarantined) -> void;

    /// Reserves the resources of one task of a gang.
    auto reserve(WorkerIndex worker, GangIndex gang, const Resources &task) -> void;

    /// Releases the resources of one task of a gang.
    auto release(WorkerIndex worker, GangIndex gang, const Resources &task) -> void;

    [[nodiscard]] auto worker(WorkerIndex worker) const -> const WorkerRecord &
    {
        return workers_[worker];
    }

    [[nodiscard]] auto rack(RackIndex rack) const -> const RackRecord &
    {
        return racks_[rack];
    }

    [[nodiscard]] auto zone(ZoneIndex zone) const -> const ZoneCapacity &
    {
        return zones_[zone];
    }

    [[nodiscard]] auto zoneCount() const -> std::size_t
    {
        return zones_.size();
    }

    [[nodiscard]] auto workerCount() const -> std::size_t
    {
        return workers_.size();
    }

    /// Changes whenever capacity becomes free or usable; a failed placement need not be retried until then.
    [[nodiscard]] auto capacityVersion() const -> std::uint64_t
    {
        return capacityVersion_;
    }

private:
    auto removeFromIndex(WorkerIndex worker) -> void;
    auto addToIndex(WorkerIndex worker) -> void;
    auto updateRackFree(RackIndex rack, int change) -> void;
    auto rackOf(const WorkerInfo &info, ZoneIndex zone) -> RackIndex;

    std::vector<WorkerRecord> workers_;
    std::vector<RackRecord> racks_;
    std::vector<ZoneCapacity> zones_;
    std::unordered_map<WorkerId, WorkerIndex> byId_;
    std::vector<std::unordered_map<RackId, RackIndex>> rackIds_;
    std::uint64_t capacityVersion_ = 1;
};
} // namespace Marjoramfold
