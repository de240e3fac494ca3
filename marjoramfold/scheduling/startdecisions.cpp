#include "marjoramfold/scheduling/startdecisions.h"

#include <algorithm>

namespace Marjoramfold
{
namespace
{
// A running gang is evicted for a waiting job only if it ranks later by more than this many doublings of expected work.
constexpr double PreemptionMarginDoublings = 1.5;
} // namespace

StartDecisions::StartDecisions(SchedulerState &state, JobLifecycle &lifecycle)
    : state_(&state)
    , lifecycle_(&lifecycle)
    , placer_(state.cluster_)
    , planner_(state.cluster_)
    , evictions_(state)
    , reservations_(state, lifecycle, evictions_)
{
}

auto StartDecisions::allowsStart(const JobRecord &job, ZoneIndex zone) const -> bool
{
    const auto &control = state_->zones_[zone];
    return control.mayStart() && Admission::allowsZone(job.spec_, control.id_);
}

auto StartDecisions::mayStartIn(const JobRecord &job, ZoneIndex zone) const -> bool
{
    const auto &control = state_->zones_[zone];
    const auto isRampUpFull = control.rampUpSince_ && control.startingGangs_ >= state_->options_.maxConcurrentMoves_;
    return allowsStart(job, zone) && !isRampUpFull;
}

auto StartDecisions::isWithinGuarantee(const JobRecord &job, ZoneIndex zone) const -> bool
{
    // The ramp-up limit of a returned zone does not apply to guarantees.
    return allowsStart(job, zone) && state_->ledger_.covers(zone, job.spec_.team_, job.accelerators());
}

auto StartDecisions::startGuaranteed(JobRecord &job) -> bool
{
    if (job.accelerators() == 0 || !state_->isWithinQuota(job)) {
        return false;
    }
    // Prefers free workers over evictions, even outside the guarantee: if they are reclaimed, the job is within its guarantee again.
    if (startOnFree(job)) {
        return true;
    }
    // Workers reserved for large jobs are used only when the guarantee cannot be met elsewhere.
    auto best = cheapestGuaranteed(job, false);
    if (!best) {
        best = cheapestGuaranteed(job, true);
    }
    if (!best) {
        return false;
    }
    // Avoids evicting a large gang when evicting small borrowing gangs elsewhere is enough.
    const auto hasLargeVictim = std::any_of(best->plan_.victims_.begin(), best->plan_.victims_.end(), [this](GangIndex victim) {
        return state_->jobs_.at(victim).isLarge();
    });
    if (hasLargeVictim) {
        if (auto other = cheapestOutsideGuarantee(job)) {
            best = std::move(other);
        }
    }
    begin(job, best->zone_, best->plan_.placement_, best->isGuaranteed_, best->plan_.victims_);
    return true;
}

// Cheapest eviction of small borrowing gangs in the availability zones where the job is outside its team's guarantee.
auto StartDecisions::cheapestOutsideGuarantee(const JobRecord &job) const -> std::optional<ZonePlan>
{
    const auto costOf = [this](GangIndex gang) {
        const auto &victim = state_->jobs_.at(gang);
        // Excludes gangs that started recently; otherwise two jobs could preempt each other forever.
        return victim.isLarge() && victim.phase_ != GangPhase::Stopping ? std::nullopt : evictions_.costForQueuedJob(gang);
    };
    std::optional<ZonePlan> best;
    for (ZoneIndex zone = 0; zone < state_->zones_.size(); ++zone) {
        if (!mayStartIn(job, zone) || isWithinGuarantee(job, zone)) {
            continue;
        }
        auto plan = planner_.plan(job.shape(), zone, costOf, notFailedOn(job));
        if (plan && (!best || plan->cost_ < best->plan_.cost_)) {
            best = ZonePlan{zone, std::move(*plan), false};
        }
    }
    return best;
}

auto StartDecisions::cheapestGuaranteed(const JobRecord &job, bool usesReserved) const -> std::optional<ZonePlan>
{
    const auto costOf = [this](GangIndex gang) {
        return evictions_.costForEntitledJob(gang, false);
    };
    std::optional<ZonePlan> best;
    for (ZoneIndex zone = 0; zone < state_->zones_.size(); ++zone) {
        if (!isWithinGuarantee(job, zone)) {
            continue;
        }
        auto plan = planGuaranteed(job, zone, usesReserved ? notFailedOn(job) : unreservedWorkers(job), costOf);
        if (plan && (!best || plan->cost_ < best->plan_.cost_)) {
            best = ZonePlan{zone, std::move(*plan), true};
        }
    }
    return best;
}

// Tries free workers, then the cheapest evictions, then the workers with the least capacity for other guaranteed shapes.
auto StartDecisions::planGuaranteed(const JobRecord &job,
                                    ZoneIndex zone,
                                    const Placer::WorkerFilter &filter,
                                    const PreemptionPlanner::EvictionCost &costOf) const -> std::optional<PreemptionPlan>
{
    const auto preservesUnusedShapes = [&](const GangPlacement &placement) {
        return state_->ledger_.preservesUnusedShapes(zone, job.spec_.team_, placement, job.reserved_.accelerators_);
    };
    const auto free = placer_.place(job.shape(), zone, filter);
    if (free && preservesUnusedShapes(*free)) {
        return PreemptionPlan{*free, {}, 0};
    }
    auto cheapest = planner_.plan(job.shape(), zone, costOf, filter);
    if (cheapest && preservesUnusedShapes(cheapest->placement_)) {
        return cheapest;
    }
    const auto leastAvailable = [this](WorkerIndex worker) {
        return state_->ledger_.available(worker);
    };
    auto leastAvailablePlan = planner_.plan(job.shape(), zone, costOf, filter, leastAvailable);
    return leastAvailablePlan && preservesUnusedShapes(leastAvailablePlan->placement_) ? leastAvailablePlan : std::nullopt;
}

auto StartDecisions::startUrgent(JobRecord &job) -> bool
{
    if (!state_->isWithinQuota(job)) {
        return false;
    }
    if (startOnFree(job) || startGuaranteed(job)) {
        return true;
    }
    const auto costOf = [this](GangIndex gang) {
        return evictions_.costForEntitledJob(gang, true);
    };
    return startBorrowing(job, costOf, [this, &job](ZoneIndex /*zone*/) {
        return notFailedOn(job);
    });
}

auto StartDecisions::startByPreemptingLaterGangs(JobRecord &job) -> bool
{
    const auto limit = lifecycle_->queue().scoreOf(job) + PreemptionMarginDoublings;
    const auto costOf = [this, limit](GangIndex gang) -> std::optional<double> {
        const auto cost = evictions_.costForQueuedJob(gang);
        const auto &victim = state_->jobs_.at(gang);
        if (victim.isLarge() && victim.phase_ != GangPhase::Stopping) {
            return std::nullopt;
        }
        const auto isLater = victim.phase_ == GangPhase::Stopping || lifecycle_->queue().scoreOf(victim, evictions_.timeLeft(victim)) > limit;
        return isLater ? cost : std::nullopt;
    };
    return startBorrowing(job, costOf, [this, &job](ZoneIndex zone) {
        return usableWorkers(job, zone);
    });
}

// Uses the cheapest eviction plan in the availability zones where the job is outside its team's guarantee.
auto StartDecisions::startBorrowing(JobRecord &job, const PreemptionPlanner::EvictionCost &costOf, const ZoneFilter &filterIn) -> bool
{
    std::optional<PreemptionPlan> best;
    ZoneIndex bestZone = 0;
    for (ZoneIndex zone = 0; zone < state_->zones_.size(); ++zone) {
        // Within its guarantee a job may start only where the guaranteed shapes of other teams stay available.
        if (!mayStartIn(job, zone) || isWithinGuarantee(job, zone)) {
            continue;
        }
        auto plan = planner_.plan(job.shape(), zone, costOf, filterIn(zone));
        if (plan && (!best || plan->cost_ < best->cost_)) {
            best = std::move(plan);
            bestZone = zone;
        }
    }
    if (!best) {
        return false;
    }
    begin(job, bestZone, best->placement_, false, best->victims_);
    return true;
}

auto StartDecisions::startOnFree(JobRecord &job) -> bool
{
    const auto zones = static_cast<ZoneIndex>(state_->zones_.size());
    for (ZoneIndex i = 0; i < zones; ++i) {
        // Small jobs fill zones from the first, large ones from the last, so that whole workers stay free in the last.
        const auto zone = job.isLarge() ? zones - 1 - i : i;
        if (!mayStartIn(job, zone)) {
            continue;
        }
        const auto placement = placer_.place(job.shape(), zone, usableWorkers(job, zone));
        const auto isGuaranteed = isWithinGuarantee(job, zone);
        // A guaranteed start must keep the guaranteed shapes of other teams available.
        if (!placement || (isGuaranteed && !state_->ledger_.preservesUnusedShapes(zone, job.spec_.team_, *placement, job.reserved_.accelerators_))) {
            continue;
        }
        begin(job, zone, *placement, isGuaranteed);
        return true;
    }
    return false;
}

auto StartDecisions::begin(JobRecord &job, ZoneIndex zone, const GangPlacement &placement, bool guaranteed, const std::vector<GangIndex> &victims) -> void
{
    lifecycle_->queue().remove(job);
    lifecycle_->starter().begin(job, zone, placement, guaranteed);
    reservations_.onStart(job);
    for (const auto victim : victims) {
        auto &evicted = state_->jobs_.at(victim);
        if (evicted.phase_ != GangPhase::Stopping) {
            lifecycle_->evict(evicted, "its workers were needed by job " + job.spec_.id_.value());
        }
    }
}

auto StartDecisions::unreservedWorkers(const JobRecord &job) const -> Placer::WorkerFilter
{
    return [this, failed = notFailedOn(job)](WorkerIndex worker) {
        return !reservations_.isReserved(worker) && (!failed || failed(worker));
    };
}

auto StartDecisions::usableWorkers(const JobRecord &job, ZoneIndex zone) const -> Placer::WorkerFilter
{
    const auto isRestricted = job.accelerators() > 0 && reservations_.findReservedJob(zone) != nullptr && !reservations_.mayBackfill(job, zone);
    return isRestricted ? unreservedWorkers(job) : notFailedOn(job);
}

auto StartDecisions::notFailedOn(const JobRecord &job) const -> Placer::WorkerFilter
{
    if (job.failedWorkers_.empty()) {
        return {};
    }
    return [&job](WorkerIndex worker) {
        return hasNotFailedOn(job, worker);
    };
}

auto StartDecisions::hasNotFailedOn(const JobRecord &job, WorkerIndex worker) -> bool
{
    return std::find(job.failedWorkers_.begin(), job.failedWorkers_.end(), worker) == job.failedWorkers_.end();
}
} // namespace Marjoramfold
