#include "marjoramfold/scheduling/relocation.h"

#include <algorithm>

namespace Marjoramfold
{
namespace
{
// A move costs time on both the current workers and the destination.
constexpr double MoveCostFactor = 2.0;

// Plans tried for one job when some gangs to move have no destination.
constexpr int MaxMovePlans = 6;

// Large jobs tried per call; bounds decision latency.
constexpr std::size_t MaxTriedLargeJobs = 3;

// Gangs above this size are not moved for compaction when they span several workers.
constexpr int MaxMultiWorkerAccelerators = 8;

// Urgent jobs tried per call when evictions alone are not enough.
constexpr std::size_t MaxTriedUrgentJobs = 2;

// Workers tried per call when an availability zone is compacted.
constexpr int MaxWorkersToEmpty = 3;
} // namespace

Relocation::Relocation(SchedulerState &state, JobLifecycle &lifecycle, StartDecisions &decisions)
    : state_(&state)
    , lifecycle_(&lifecycle)
    , decisions_(&decisions)
{
}

auto Relocation::startLarge(ZoneIndex zone) -> void
{
    for (auto *job : longestWaitingLargeJobs(zone)) {
        if (startByMoving(*job, zone)) {
            return;
        }
    }
}

auto Relocation::startUrgent() -> void
{
    std::vector<GangIndex> urgent;
    for (const auto &key : state_->queue_) {
        if (key.isNotUrgent_ || urgent.size() >= MaxTriedUrgentJobs) {
            break;
        }
        urgent.push_back(key.job_);
    }
    for (const auto index : urgent) {
        auto &job = state_->jobs_.at(index);
        for (ZoneIndex zone = 0; zone < state_->zones_.size() && job.queueKey_; ++zone) {
            if (decisions_->mayStartIn(job, zone) && !decisions_->isWithinGuarantee(job, zone) && state_->isWithinQuota(job)) {
                startByMoving(job, zone);
            }
        }
    }
}

auto Relocation::longestWaitingLargeJobs(ZoneIndex zone) const -> std::vector<JobRecord *>
{
    std::vector<JobRecord *> jobs;
    for (const auto index : state_->largeWaiting_) {
        auto &job = state_->jobs_.at(index);
        if (decisions_->mayStartIn(job, zone) && !decisions_->isWithinGuarantee(job, zone) && state_->isWithinQuota(job)) {
            jobs.push_back(&job);
        }
    }
    std::sort(jobs.begin(), jobs.end(), [](const JobRecord *one, const JobRecord *other) {
        return std::pair(one->submitted_, one->index_) < std::pair(other->submitted_, other->index_);
    });
    jobs.resize(std::min(jobs.size(), MaxTriedLargeJobs));
    return jobs;
}

auto Relocation::startByMoving(JobRecord &job, ZoneIndex zone) -> bool
{
    const auto &evictions = decisions_->evictions();
    std::vector<GangIndex> unmovable;
    const auto costOf = [&](GangIndex gang) -> std::optional<double> {
        const auto &victim = state_->jobs_.at(gang);
        if (victim.phase_ != GangPhase::Stopping && victim.isLarge()) {
            return std::nullopt;
        }
        if (!victim.guaranteed_) {
            return evictions.costForQueuedJob(gang);
        }
        const auto isRuledOut = std::find(unmovable.begin(), unmovable.end(), gang) != unmovable.end();
        return isRuledOut || !evictions.mayInterrupt(victim) ? std::nullopt : std::optional(MoveCostFactor * evictions.lostWork(victim));
    };
    for (auto tries = 0; tries < MaxMovePlans; ++tries) {
        const auto plan = decisions_->planner().plan(job.shape(), zone, costOf, decisions_->notFailedOn(job));
        if (!plan) {
            return false;
        }
        const auto stuckGang = reserveDestinations(*plan, zone);
        if (!stuckGang) {
            decisions_->begin(job, zone, plan->placement_, false, plan->victims_);
            return true;
        }
        unmovable.push_back(*stuckGang);
    }
    return false;
}

// Reserves destinations for all guaranteed victims. Returns the first gang without one, if any.
auto Relocation::reserveDestinations(const PreemptionPlan &plan, ZoneIndex from) -> std::optional<GangIndex>
{
    const auto isOutsidePlan = [&plan](WorkerIndex worker) {
        return std::none_of(plan.placement_.begin(), plan.placement_.end(), [worker](const WorkerAllocation &allocation) {
            return allocation.worker_ == worker;
        });
    };
    std::vector<GangIndex> displaced;
    for (const auto victim : plan.victims_) {
        auto &gang = state_->jobs_.at(victim);
        if (!gang.guaranteed_ || gang.phase_ == GangPhase::Stopping) {
            continue;
        }
        const auto destination = planDestination(gang, from, isOutsidePlan);
        if (!destination) {
            for (const auto reverted : plan.victims_) {
                lifecycle_->reservations().releaseDestination(state_->jobs_.at(reverted));
            }
            return victim;
        }
        lifecycle_->reservations().reserveDestination(gang, {destination->zone_, destination->plan_.placement_, destination->isGuaranteed_});
        displaced.insert(displaced.end(), destination->plan_.victims_.begin(), destination->plan_.victims_.end());
    }
    for (const auto gang : displaced) {
        lifecycle_->evict(state_->jobs_.at(gang), "its workers were needed by a guaranteed gang that moved");
    }
    return std::nullopt;
}

auto Relocation::planDestination(const JobRecord &gang, ZoneIndex from, const Placer::WorkerFilter &filter) const -> std::optional<StartDecisions::ZonePlan>
{
    const auto allows = [&](WorkerIndex worker) {
        return filter(worker) && !decisions_->reservations().isReserved(worker) && StartDecisions::hasNotFailedOn(gang, worker);
    };
    auto best = findFreeDestination(gang, from, allows);
    if (best) {
        return best;
    }
    const auto costOf = [this](GangIndex index) {
        return state_->jobs_.at(index).isLarge() ? std::nullopt : decisions_->evictions().costForQueuedJob(index);
    };
    for (ZoneIndex zone = 0; zone < state_->zones_.size(); ++zone) {
        // In its current zone the gang still counts as guaranteed usage; it is promoted again after the move.
        const auto stays = zone == from && decisions_->mayStartIn(gang, zone);
        if (!stays && !decisions_->isWithinGuarantee(gang, zone)) {
            continue;
        }
        auto plan = stays ? decisions_->planner().plan(gang.shape(), zone, costOf, allows) : decisions_->planGuaranteed(gang, zone, allows, costOf);
        if (plan && (!best || plan->cost_ < best->plan_.cost_)) {
            best = StartDecisions::ZonePlan{zone, std::move(*plan), !stays};
        }
    }
    return best;
}

// A gang that moves to free workers outside its guarantee leaves that guarantee unused, so it can reclaim it later.
auto Relocation::findFreeDestination(const JobRecord &gang, ZoneIndex from, const Placer::WorkerFilter &filter) const -> std::optional<StartDecisions::ZonePlan>
{
    for (ZoneIndex zone = 0; zone < state_->zones_.size(); ++zone) {
        if (!decisions_->mayStartIn(gang, zone)) {
            continue;
        }
        auto free = decisions_->placer().place(gang.shape(), zone, filter);
        const auto isGuaranteed = zone != from && decisions_->isWithinGuarantee(gang, zone);
        if (free && (!isGuaranteed || state_->ledger_.preservesUnusedShapes(zone, gang.spec_.team_, *free, gang.reserved_.accelerators_))) {
            return StartDecisions::ZonePlan{zone, {std::move(*free), {}, 0}, isGuaranteed};
        }
    }
    return std::nullopt;
}

auto Relocation::moveElsewhere(JobRecord &gang) -> bool
{
    const auto destination = planDestination(gang, gang.zone_, [](WorkerIndex) {
        return true;
    });
    if (!destination) {
        return false;
    }
    lifecycle_->reservations().reserveDestination(gang, {destination->zone_, destination->plan_.placement_, destination->isGuaranteed_});
    for (const auto displaced : destination->plan_.victims_) {
        lifecycle_->evict(state_->jobs_.at(displaced), "its workers were needed by a guaranteed gang that moved");
    }
    lifecycle_->evict(gang, "gang is moving to availability zone " + state_->zones_[destination->zone_].id_.value());
    return true;
}

auto Relocation::compact(ZoneIndex zone) -> void
{
    const auto &capacity = state_->cluster_.zone(zone);
    if (!state_->zones_[zone].mayStart() || capacity.byFreeAccelerators_.empty()) {
        return;
    }
    // The free accelerators must add up to at least one more whole worker than are idle now.
    const auto largest = static_cast<int>(capacity.byFreeAccelerators_.size()) - 1;
    const auto idle = static_cast<int>(capacity.byFreeAccelerators_.back().size());
    if (largest == 0 || capacity.freeAccelerators_ / largest <= idle) {
        return;
    }
    // The least used workers are the cheapest to empty, so they are tried first.
    std::vector<WorkerIndex> candidates;
    for (auto free = static_cast<std::size_t>(largest); free-- > 1 && candidates.size() < MaxWorkersToEmpty;) {
        for (const auto &[rackFree, worker] : capacity.byFreeAccelerators_[free]) {
            if (candidates.size() < MaxWorkersToEmpty && mayBeEmptied(worker)) {
                candidates.push_back(worker);
            }
        }
    }
    for (const auto worker : candidates) {
        if (emptyWorker(worker)) {
            return;
        }
    }
}

auto Relocation::isIdle(WorkerIndex worker) const -> bool
{
    return state_->cluster_.worker(worker).gangs_.empty();
}

auto Relocation::mayBeEmptied(WorkerIndex worker) const -> bool
{
    const auto &reservations = state_->cluster_.worker(worker).gangs_;
    return !reservations.empty() && std::all_of(reservations.begin(), reservations.end(), [this](const GangReservation &reservation) {
        const auto &gang = state_->jobs_.at(reservation.gang_);
        // Moving a wide gang that spans several workers would fragment more than it defragments.
        const auto isNarrow = reservation.tasks_ == gang.spec_.gangSize_ || gang.accelerators() <= MaxMultiWorkerAccelerators;
        return !gang.destination_ && gang.phase_ == GangPhase::Running && isNarrow && decisions_->evictions().mayInterrupt(gang);
    });
}

auto Relocation::emptyWorker(WorkerIndex worker) -> bool
{
    const auto reservations = state_->cluster_.worker(worker).gangs_;
    const auto isPartlyUsed = [this, worker](WorkerIndex other) {
        return other != worker && !isIdle(other);
    };
    for (const auto &reservation : reservations) {
        auto &gang = state_->jobs_.at(reservation.gang_);
        const auto allows = [&](WorkerIndex other) {
            return isPartlyUsed(other) && StartDecisions::hasNotFailedOn(gang, other);
        };
        const auto destination = findFreeDestination(gang, gang.zone_, allows);
        if (!destination) {
            for (const auto &reverted : reservations) {
                lifecycle_->reservations().releaseDestination(state_->jobs_.at(reverted.gang_));
            }
            return false;
        }
        lifecycle_->reservations().reserveDestination(gang, {destination->zone_, destination->plan_.placement_, destination->isGuaranteed_});
    }
    for (const auto &reservation : reservations) {
        lifecycle_->evict(state_->jobs_.at(reservation.gang_), "gang is moving to free a whole worker");
    }
    return true;
}
} // namespace Marjoramfold
