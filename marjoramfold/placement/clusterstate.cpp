#include "marjoramfold/placement/clusterstate.h"

#include <algorithm>
#include <cassert>

namespace Marjoramfold
{
ClusterState::ClusterState(std::size_t zones)
    : zones_(zones)
    , rackIds_(zones)
{
}

auto ClusterState::find(const WorkerId &id) const -> std::optional<WorkerIndex>
{
    const auto found = byId_.find(id);
    return found == byId_.end() ? std::nullopt : std::optional(found->second);
}

auto ClusterState::rackOf(const WorkerInfo &info, ZoneIndex zone) -> RackIndex
{
    const auto [entry, isNew] = rackIds_[zone].try_emplace(info.rack_, static_cast<RackIndex>(racks_.size()));
    if (isNew) {
        racks_.push_back({zone, {}, 0});
        zones_[zone].racks_.insert({0, entry->second});
    }
    return entry->second;
}

auto ClusterState::addOrUpdateWorker(const WorkerInfo &info, ZoneIndex zone) -> WorkerIndex
{
    const auto [entry, isNew] = byId_.try_emplace(info.id_, static_cast<WorkerIndex>(workers_.size()));
    const auto worker = entry->second;
    if (isNew) {
        workers_.emplace_back();
    } else {
        removeFromIndex(worker);
        auto &old = workers_[worker];
        std::erase(racks_[old.rack_].workers_, worker);
        std::erase(zones_[old.zone_].workers_, worker);
        std::erase(zones_[old.zone_].acceleratorWorkers_, worker);
    }
    auto &record = workers_[worker];
    record.info_ = info;
    record.zone_ = zone;
    record.rack_ = rackOf(info, zone);
    record.up_ = true;
    record.leaving_ = false;
    racks_[record.rack_].workers_.push_back(worker);
    zones_[zone].workers_.push_back(worker);
    if (info.capacity_.accelerators_ > 0) {
        zones_[zone].acceleratorWorkers_.push_back(worker);
    }
    addToIndex(worker);
    ++capacityVersion_;
    return worker;
}

auto ClusterState::setUp(WorkerIndex worker, bool up) -> void
{
    removeFromIndex(worker);
    workers_[worker].up_ = up;
    addToIndex(worker);
    ++capacityVersion_;
}

auto ClusterState::setLeaving(WorkerIndex worker, bool leaving) -> void
{
    removeFromIndex(worker);
    workers_[worker].leaving_ = leaving;
    addToIndex(worker);
}

auto ClusterState::setQuarantined(WorkerIndex worker, bool quarantined) -> void
{
    removeFromIndex(worker);
    workers_[worker].quarantined_ = quarantined;
    addToIndex(worker);
    ++capacityVersion_;
}

auto ClusterState::reserve(WorkerIndex worker, GangIndex gang, const Resources &task) -> void
{
    removeFromIndex(worker);
    auto &record = workers_[worker];
    record.used_ += task;
    const auto entry = std::find_if(record.gangs_.begin(), record.gangs_.end(), [gang](const auto &reservation) {
        return reservation.gang_ == gang;
    });
    if (entry == record.gangs_.end()) {
        record.gangs_.push_back({gang, 1, task});
    } else {
        ++entry->tasks_;
    }
    addToIndex(worker);
}

auto ClusterState::release(WorkerIndex worker, GangIndex gang, const Resources &task) -> void
{
    removeFromIndex(worker);
    auto &record = workers_[worker];
    record.used_ -= task;
    const auto entry = std::find_if(record.gangs_.begin(), record.gangs_.end(), [gang](const auto &reservation) {
        return reservation.gang_ == gang;
    });
    assert(entry != record.gangs_.end());
    if (--entry->tasks_ == 0) {
        record.gangs_.erase(entry);
    }
    addToIndex(worker);
    ++capacityVersion_;
}

// A worker whose reservations exceed its capacity, because it rejoined with less capacity, counts as having no free accelerators.
auto ClusterState::removeFromIndex(WorkerIndex worker) -> void
{
    auto &record = workers_[worker];
    if (!record.indexed_) {
        return;
    }
    record.indexed_ = false;
    auto &zone = zones_[record.zone_];
    const auto free = record.free();
    if (record.info_.capacity_.accelerators_ == 0) {
        zone.coreWorkers_.erase({free.cores_, worker});
        return;
    }
    const auto freeAccelerators = std::max(free.accelerators_, 0);
    zone.byFreeAccelerators_[static_cast<std::size_t>(freeAccelerators)].erase({racks_[record.rack_].freeAccelerators_, worker});
    zone.freeAccelerators_ -= freeAccelerators;
    zone.usableAccelerators_ -= record.info_.capacity_.accelerators_;
    updateRackFree(record.rack_, -freeAccelerators);
}

auto ClusterState::addToIndex(WorkerIndex worker) -> void
{
    auto &record = workers_[worker];
    if (!record.isUsable()) {
        return;
    }
    auto &zone = zones_[record.zone_];
    const auto free = record.free();
    if (record.info_.capacity_.accelerators_ == 0) {
        record.indexed_ = true;
        zone.coreWorkers_.insert({free.cores_, worker});
        return;
    }
    const auto freeAccelerators = std::max(free.accelerators_, 0);
    const auto bucket = static_cast<std::size_t>(freeAccelerators);
    if (zone.byFreeAccelerators_.size() <= bucket) {
        zone.byFreeAccelerators_.resize(bucket + 1);
    }
    zone.freeAccelerators_ += freeAccelerators;
    zone.usableAccelerators_ += record.info_.capacity_.accelerators_;
    updateRackFree(record.rack_, freeAccelerators);
    zone.byFreeAccelerators_[bucket].insert({racks_[record.rack_].freeAccelerators_, worker});
    record.indexed_ = true;
}

// The rack's free accelerators are part of its workers' sort keys, so all of them are reinserted. A rack has few workers.
auto ClusterState::updateRackFree(RackIndex rackIndex, int change) -> void
{
    if (change == 0) {
        return;
    }
    auto &rack = racks_[rackIndex];
    auto &zone = zones_[rack.zone_];
    const auto before = rack.freeAccelerators_;
    zone.racks_.erase({before, rackIndex});
    rack.freeAccelerators_ += change;
    zone.racks_.insert({rack.freeAccelerators_, rackIndex});
    for (const auto member : rack.workers_) {
        const auto &record = workers_[member];
        if (!record.indexed_ || record.info_.capacity_.accelerators_ == 0) {
            continue;
        }
        auto &bucket = zone.byFreeAccelerators_[static_cast<std::size_t>(std::max(record.free().accelerators_, 0))];
        bucket.erase({before, member});
        bucket.insert({rack.freeAccelerators_, member});
    }
}
} // namespace Marjoramfold
