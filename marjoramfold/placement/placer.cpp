#include "marjoramfold/placement/placer.h"

#include <algorithm>

namespace Marjoramfold
{
namespace
{
// Number of workers with enough cores but too little memory after which the search stops. Bounds the cost per decision.
constexpr int MaxCoreWorkerMisses = 64;

auto allowed(const Placer::WorkerFilter &allows, WorkerIndex worker) -> bool
{
    return !allows || allows(worker);
}
} // namespace

Placer::Placer(const ClusterState &cluster)
    : cluster_(&cluster)
{
}

auto Placer::place(const GangShape &shape, ZoneIndex zone, const WorkerFilter &allows) const -> std::optional<GangPlacement>
{
    if (shape.accelerators() > cluster_->zone(zone).freeAccelerators_) {
        return std::nullopt;
    }
    switch (shape.tasks_ == 1 ? Adjacency::None : shape.adjacency_) {
    case Adjacency::Worker:
        return placeOnOneWorker(shape, zone, allows);
    case Adjacency::Rack:
        return placeInOneRack(shape, zone, allows);
    case Adjacency::None:
        break;
    }
    return placeAnywhere(shape, zone, allows);
}

auto Placer::placeOnOneWorker(const GangShape &shape, ZoneIndex zone, const WorkerFilter &allows) const -> std::optional<GangPlacement>
{
    const GangShape single{resourcesOf(shape.task_, shape.tasks_), 1, Adjacency::None};
    auto placement = placeAnywhere(single, zone, allows);
    if (placement) {
        placement->front().tasks_ = shape.tasks_;
    }
    return placement;
}

auto Placer::placeInOneRack(const GangShape &shape, ZoneIndex zone, const WorkerFilter &allows) const -> std::optional<GangPlacement>
{
    const auto &racks = cluster_->zone(zone).racks_;
    // Best fit: the rack with the fewest free accelerators that suffice comes first.
    for (auto rack = racks.lower_bound({shape.accelerators(), 0}); rack != racks.end(); ++rack) {
        auto placement = fillRack(shape, rack->second, allows);
        if (placement) {
            return placement;
        }
    }
    return std::nullopt;
}

auto Placer::fillRack(const GangShape &shape, RackIndex rack, const WorkerFilter &allows) const -> std::optional<GangPlacement>
{
    std::vector<std::pair<int, WorkerIndex>> byFree;
    for (const auto worker : cluster_->rack(rack).workers_) {
        const auto &record = cluster_->worker(worker);
        if (record.isUsable() && allowed(allows, worker)) {
            byFree.emplace_back(record.free().accelerators_, worker);
        }
    }
    std::sort(byFree.begin(), byFree.end());
    GangPlacement placement;
    auto remaining = shape.tasks_;
    for (const auto &[free, worker] : byFree) {
        const auto tasks = tasksThatFit(cluster_->worker(worker).free(), shape.task_, remaining);
        if (tasks > 0) {
            placement.push_back({worker, tasks});
            remaining -= tasks;
        }
        if (remaining == 0) {
            return placement;
        }
    }
    return std::nullopt;
}

auto Placer::placeAnywhere(const GangShape &shape, ZoneIndex zone, const WorkerFilter &allows) const -> std::optional<GangPlacement>
{
    const auto &capacity = cluster_->zone(zone);
    GangPlacement placement;
    auto remaining = shape.tasks_;
    if (shape.task_.accelerators_ == 0) {
        remaining = allocateCoreWorkers(shape, capacity, allows, placement, remaining);
    }
    remaining = allocateAcceleratorWorkers(shape, capacity, allows, placement, remaining);
    return remaining == 0 ? std::optional(std::move(placement)) : std::nullopt;
}

auto Placer::allocateCoreWorkers(const GangShape &shape, const ZoneCapacity &zone, const WorkerFilter &allows, GangPlacement &placement, int remaining) const
    -> int
{
    auto misses = 0;
    for (auto entry = zone.coreWorkers_.lower_bound({shape.task_.cores_, 0}); remaining > 0 && entry != zone.coreWorkers_.end(); ++entry) {
        const auto worker = entry->second;
        const auto tasks = tasksThatFit(cluster_->worker(worker).free(), shape.task_, remaining);
        if (tasks > 0 && allowed(allows, worker)) {
            placement.push_back({worker, tasks});
            remaining -= tasks;
        } else if (++misses > MaxCoreWorkerMisses) {
            break;
        }
    }
    return remaining;
}

auto Placer::allocateAcceleratorWorkers(
    const GangShape &shape, const ZoneCapacity &zone, const WorkerFilter &allows, GangPlacement &placement, int remaining) const -> int
{
    // Best fit: workers with the fewest free accelerators that suffice come first, and among equals those in the fullest rack.
    for (auto bucket = static_cast<std::size_t>(shape.task_.accelerators_); remaining > 0 && bucket < zone.byFreeAccelerators_.size(); ++bucket) {
        for (const auto &[rackFree, worker] : zone.byFreeAccelerators_[bucket]) {
            const auto tasks = tasksThatFit(cluster_->worker(worker).free(), shape.task_, remaining);
            if (tasks > 0 && allowed(allows, worker)) {
                placement.push_back({worker, tasks});
                remaining -= tasks;
            }
            if (remaining == 0) {
                break;
            }
        }
    }
    return remaining;
}
} // namespace Marjoramfold
