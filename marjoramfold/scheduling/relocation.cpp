#include "marjoramfold/scheduling/relocation.h"

#include <algorithm>

namespace Marjoramfold
{
namespace
{
// A gang that must start again elsewhere costs its present workers' time and that of its next ones.
constexpr double MoveFactor = 2.0;

// Plans tried for a large job when some of the gangs to move have no destination.
constexpr int MaxMovePlans = 6;

// Large jobs tried in one call; bounds the time of a decision.
constexpr std::size_t MaxLargeJobs = 3;

// Accelerators of the largest gang that is moved for compaction although it stands on several workers.
constexpr int MaxSpreadAccelerators = 8;

// Urgent jobs tried in one call when evictions alone made no room.
constexpr std::size_t MaxUrgentJobs = 2;

// Workers tried in one call when an availability zone is compacted.
constexpr int MaxEmptied = 3;
} // namespace

Relocation::Relocation(SchedulerState &state, JobLifecycle &lifecycle, StartDecisions &decisions)
    : state_(&state)
    , lifecycle_(&lifecycle)
    , decisions_(&decisions)
{
}

auto Relocation::startLarge(ZoneIndex zone) -> void
{
    for (auto *job : longestWaiting(zone)) {
        if (startByMoves(*job, zone)) {
            return;
        }
    }
}

auto Relocation::startUrgent() -> void
{
    std::vector<GangIndex> urgent;
    for (const auto &key : state_->queue_) {
        if (key.isDeferrable_ || urgent.size() >= MaxUrgentJobs) {
            break;
        }
        urgent.push_back(key.job_);
    }
    for (const auto index : urgent) {
        auto &job = state_->jobs_.at(index);
        for (ZoneIndex zone = 0; zone < state_->zones_.size() && job.queueKey_; ++zone) {
            if (decisions_->mayRunIn(job, zone) && !decisions_->isCovered(job, zone) && state_->isWithinQuota(job)) {
                startByMoves(job, zone);
            }
        }
    }
}

auto Relocation::longestWaiting(ZoneIndex zone) const -> std::vector<JobRecord *>
{
    std::vector<JobRecord *> jobs;
    for (const auto index : state_->largeWaiting_) {
        auto &job = state_->jobs_.at(index);
        if (decisions_->mayRunIn(job, zone) && !decisions_->isCovered(job, zone) && state_->isWithinQuota(job)) {
            jobs.push_back(&job);
        }
    }
    std::sort(jobs.begin(), jobs.end(), [](const JobRecord *one, const JobRecord *other) {
        return std::pair(one->submitted_, one->index_) < std::pair(other->submitted_, other->index_);
    });
    jobs.resize(std::min(jobs.size(), MaxLargeJobs));
    return jobs;
}

auto Relocation::startByMoves(JobRecord &job, ZoneIndex zone) -> bool
{
    const auto &evictions = decisions_->evictions();
    std::vector<GangIndex> unmovable;
    const auto costOf = [&](GangIndex gang) -> std::optional<double> {
        const auto &victim = state_->jobs_.at(gang);
        if (victim.phase_ != GangPhase::Stopping && victim.isLarge()) {
            return std::nullopt;
        }
        if (!victim.guaranteed_) {
            return evictions.costForExchange(gang);
        }
        const auto isRuledOut = std::find(unmovable.begin(), unmovable.end(), gang) != unmovable.end();
        return isRuledOut || !evictions.mayInterrupt(victim) ? std::nullopt : std::optional(MoveFactor * evictions.lostWork(victim));
    };
    for (auto tries = 0; tries < MaxMovePlans; ++tries) {
        const auto plan = decisions_->planner().plan(job.shape(), zone, costOf, decisions_->filterOf(job));
        if (!plan) {
            return false;
        }
        const auto homeless = reserveDestinations(*plan, zone);
        if (!homeless) {
            decisions_->begin(job, zone, plan->placement_, false, plan->victims_);
            return true;
        }
        unmovable.push_back(*homeless);
    }
    return false;
}

// Finds other workers for all guaranteed gangs among the victims. Gives the first gang for which there are none, if any.
auto Relocation::reserveDestinations(const PreemptionPlan &plan, ZoneIndex from) -> std::optional<GangIndex>
{
    const auto isUnclaimed = [&plan](WorkerIndex worker) {
        return std::none_of(plan.placement_.begin(), plan.placement_.end(), [worker](const WorkerAllocation &share) {
            return share.worker_ == worker;
        });
    };
    std::vector<GangIndex> displaced;
    for (const auto victim : plan.victims_) {
        auto &gang = state_->jobs_.at(victim);
        if (!gang.guaranteed_ || gang.phase_ == GangPhase::Stopping) {
            continue;
        }
        const auto destination = planDestination(gang, from, isUnclaimed);
        if (!destination) {
            for (const auto undone : plan.victims_) {
                lifecycle_->reservations().dropDestination(state_->jobs_.at(undone));
            }
            return victim;
        }
        lifecycle_->reservations().takeDestination(gang, {destination->zone_, destination->plan_.placement_, destination->isGuaranteed_});
        displaced.insert(displaced.end(), destination->plan_.victims_.begin(), destination->plan_.victims_.end());
    }
    for (const auto gang : displaced) {
        lifecycle_->evict(state_->jobs_.at(gang), "its workers were needed by guaranteed work that moved");
    }
    return std::nullopt;
}

auto Relocation::planDestination(const JobRecord &gang, ZoneIndex from, const Placer::WorkerFilter &filter) const -> std::optional<StartDecisions::ZonePlan>
{
    const auto allows = [&](WorkerIndex worker) {
        return filter(worker) && !decisions_->reservations().isReserved(worker) && StartDecisions::isAllowedWorker(gang, worker);
    };
    auto best = freeDestination(gang, from, allows);
    if (best) {
        return best;
    }
    const auto costOf = [this](GangIndex index) {
        return state_->jobs_.at(index).isLarge() ? std::nullopt : decisions_->evictions().costForExchange(index);
    };
    for (ZoneIndex zone = 0; zone < state_->zones_.size(); ++zone) {
        // In the zone that it leaves, the gang still counts as guaranteed use; it is marked again once it has moved.
        const auto stays = zone == from && decisions_->mayRunIn(gang, zone);
        if (!stays && !decisions_->isCovered(gang, zone)) {
            continue;
        }
        auto plan = stays ? decisions_->planner().plan(gang.shape(), zone, costOf, allows) : decisions_->planGuaranteed(gang, zone, allows, costOf);
        if (plan && (!best || plan->cost_ < best->plan_.cost_)) {
            best = StartDecisions::ZonePlan{zone, std::move(*plan), !stays};
        }
    }
    return best;
}

// A gang that moves to free workers outside its guarantee keeps its claim: the guarantee that it leaves stays unused until it returns.
auto Relocation::freeDestination(const JobRecord &gang, ZoneIndex from, const Placer::WorkerFilter &filter) const -> std::optional<StartDecisions::ZonePlan>
{
    for (ZoneIndex zone = 0; zone < state_->zones_.size(); ++zone) {
        if (!decisions_->mayRunIn(gang, zone)) {
            continue;
        }
        auto free = decisions_->placer().place(gang.shape(), zone, filter);
        const auto isGuaranteed = zone != from && decisions_->isCovered(gang, zone);
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
    lifecycle_->reservations().takeDestination(gang, {destination->zone_, destination->plan_.placement_, destination->isGuaranteed_});
    for (const auto displaced : destination->plan_.victims_) {
        lifecycle_->evict(state_->jobs_.at(displaced), "its workers were needed by guaranteed work that moved");
    }
    lifecycle_->evict(gang, "it moves to availability zone " + state_->zones_[destination->zone_].id_.value());
    return true;
}

auto Relocation::compact(ZoneIndex zone) -> void
{
    const auto &capacity = state_->cluster_.zone(zone);
    if (!state_->zones_[zone].mayStart() || capacity.byFreeAccelerators_.empty()) {
        return;
    }
    // The free accelerators must make up at least one whole worker more than there is.
    const auto largest = static_cast<int>(capacity.byFreeAccelerators_.size()) - 1;
    const auto whole = static_cast<int>(capacity.byFreeAccelerators_.back().size());
    if (largest == 0 || capacity.freeAccelerators_ / largest <= whole) {
        return;
    }
    // The least used workers are the cheapest to empty.
    std::vector<WorkerIndex> candidates;
    for (auto free = static_cast<std::size_t>(largest); free-- > 1 && candidates.size() < MaxEmptied;) {
        for (const auto &[rackFree, worker] : capacity.byFreeAccelerators_[free]) {
            if (candidates.size() < MaxEmptied && mayBeEmptied(worker)) {
                candidates.push_back(worker);
            }
        }
    }
    for (const auto worker : candidates) {
        if (empty(worker)) {
            return;
        }
    }
}

auto Relocation::isWhole(WorkerIndex worker) const -> bool
{
    return state_->cluster_.worker(worker).gangs_.empty();
}

auto Relocation::mayBeEmptied(WorkerIndex worker) const -> bool
{
    const auto &shares = state_->cluster_.worker(worker).gangs_;
    return !shares.empty() && std::all_of(shares.begin(), shares.end(), [this](const GangReservation &share) {
        const auto &gang = state_->jobs_.at(share.gang_);
        // A wide gang on several workers would leave more gaps than it fills.
        const auto isNarrow = share.tasks_ == gang.spec_.gangSize_ || gang.accelerators() <= MaxSpreadAccelerators;
        return !gang.destination_ && gang.phase_ == GangPhase::Running && isNarrow && decisions_->evictions().mayInterrupt(gang);
    });
}

auto Relocation::empty(WorkerIndex worker) -> bool
{
    const auto shares = state_->cluster_.worker(worker).gangs_;
    const auto isGap = [this, worker](WorkerIndex other) {
        return other != worker && !isWhole(other);
    };
    for (const auto &share : shares) {
        auto &gang = state_->jobs_.at(share.gang_);
        const auto allows = [&](WorkerIndex other) {
            return isGap(other) && StartDecisions::isAllowedWorker(gang, other);
        };
        const auto destination = freeDestination(gang, gang.zone_, allows);
        if (!destination) {
            for (const auto &undone : shares) {
                lifecycle_->reservations().dropDestination(state_->jobs_.at(undone.gang_));
            }
            return false;
        }
        lifecycle_->reservations().takeDestination(gang, {destination->zone_, destination->plan_.placement_, destination->isGuaranteed_});
    }
    for (const auto &share : shares) {
        lifecycle_->evict(state_->jobs_.at(share.gang_), "it moves so that a whole worker becomes free");
    }
    return true;
}
} // namespace Marjoramfold
