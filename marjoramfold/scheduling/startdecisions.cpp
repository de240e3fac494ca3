#include "marjoramfold/scheduling/startdecisions.h"

#include <algorithm>

namespace Marjoramfold
{
namespace
{
// Doublings of expected work by which a running gang must be behind a waiting one before it is evicted for it.
constexpr double ExchangeMargin = 1.5;
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

auto StartDecisions::isOpenTo(const JobRecord &job, ZoneIndex zone) const -> bool
{
    const auto &control = state_->zones_[zone];
    return control.mayStart() && Admission::allowsZone(job.spec_, control.id_);
}

auto StartDecisions::mayRunIn(const JobRecord &job, ZoneIndex zone) const -> bool
{
    const auto &control = state_->zones_[zone];
    const auto isPaced = control.returnedAt_ && control.startingGangs_ >= state_->options_.maxConcurrentMoves_;
    return isOpenTo(job, zone) && !isPaced;
}

auto StartDecisions::isCovered(const JobRecord &job, ZoneIndex zone) const -> bool
{
    // A guarantee does not wait for the pace at which a zone that returned is filled.
    return isOpenTo(job, zone) && state_->ledger_.covers(zone, job.spec_.team_, job.accelerators());
}

auto StartDecisions::startGuaranteed(JobRecord &job) -> bool
{
    if (job.accelerators() == 0 || !state_->isWithinQuota(job)) {
        return false;
    }
    // Free workers without a guarantee are better than an eviction: if they are reclaimed, the job is within its guarantee again.
    if (startOnFree(job)) {
        return true;
    }
    // Workers kept clear for large jobs are used only when the guarantee cannot be met elsewhere.
    auto best = cheapestGuaranteed(job, false);
    if (!best) {
        best = cheapestGuaranteed(job, true);
    }
    if (!best) {
        return false;
    }
    // A large gang is spared when small borrowed work elsewhere makes room.
    const auto hasLargeVictim = std::any_of(best->plan_.victims_.begin(), best->plan_.victims_.end(), [this](GangIndex victim) {
        return state_->jobs_.at(victim).isLarge();
    });
    if (hasLargeVictim) {
        if (auto other = cheapestElsewhere(job)) {
            best = std::move(other);
        }
    }
    begin(job, best->zone_, best->plan_.placement_, best->isGuaranteed_, best->plan_.victims_);
    return true;
}

// Room in place of small borrowed work in the availability zones where the job is not within its team's guarantee.
auto StartDecisions::cheapestElsewhere(const JobRecord &job) const -> std::optional<ZonePlan>
{
    const auto costOf = [this](GangIndex gang) {
        const auto &victim = state_->jobs_.at(gang);
        // Gangs that started lately are left alone, else two jobs could displace each other without end.
        return victim.isLarge() && victim.phase_ != GangPhase::Stopping ? std::nullopt : evictions_.costForExchange(gang);
    };
    std::optional<ZonePlan> best;
    for (ZoneIndex zone = 0; zone < state_->zones_.size(); ++zone) {
        if (!mayRunIn(job, zone) || isCovered(job, zone)) {
            continue;
        }
        auto plan = planner_.plan(job.shape(), zone, costOf, filterOf(job));
        if (plan && (!best || plan->cost_ < best->plan_.cost_)) {
            best = ZonePlan{zone, std::move(*plan), false};
        }
    }
    return best;
}

auto StartDecisions::cheapestGuaranteed(const JobRecord &job, bool usesReserved) const -> std::optional<ZonePlan>
{
    const auto costOf = [this](GangIndex gang) {
        return evictions_.costForRight(gang, false);
    };
    std::optional<ZonePlan> best;
    for (ZoneIndex zone = 0; zone < state_->zones_.size(); ++zone) {
        if (!isCovered(job, zone)) {
            continue;
        }
        auto plan = planGuaranteed(job, zone, usesReserved ? filterOf(job) : unreservedFilter(job), costOf);
        if (plan && (!best || plan->cost_ < best->plan_.cost_)) {
            best = ZonePlan{zone, std::move(*plan), true};
        }
    }
    return best;
}

// Free workers come first, then the cheapest evictions, then the workers on which the fewest other shapes fit.
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
    const auto tightest = [this](WorkerIndex worker) {
        return state_->ledger_.available(worker);
    };
    auto tight = planner_.plan(job.shape(), zone, costOf, filter, tightest);
    return tight && preservesUnusedShapes(tight->placement_) ? tight : std::nullopt;
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
        return evictions_.costForRight(gang, true);
    };
    return startBorrowed(job, costOf, [this, &job](ZoneIndex /*zone*/) {
        return filterOf(job);
    });
}

auto StartDecisions::startInExchange(JobRecord &job) -> bool
{
    const auto limit = lifecycle_->queue().scoreOf(job) + ExchangeMargin;
    const auto costOf = [this, limit](GangIndex gang) -> std::optional<double> {
        const auto cost = evictions_.costForExchange(gang);
        const auto &victim = state_->jobs_.at(gang);
        if (victim.isLarge() && victim.phase_ != GangPhase::Stopping) {
            return std::nullopt;
        }
        const auto goesLater = victim.phase_ == GangPhase::Stopping || lifecycle_->queue().scoreOf(victim, evictions_.timeLeft(victim)) > limit;
        return goesLater ? cost : std::nullopt;
    };
    return startBorrowed(job, costOf, [this, &job](ZoneIndex zone) {
        return filterFor(job, zone);
    });
}

// Evicts for the cheapest plan in the availability zones where the job is not within its team's guarantee.
auto StartDecisions::startBorrowed(JobRecord &job, const PreemptionPlanner::EvictionCost &costOf, const ZoneFilter &filterIn) -> bool
{
    std::optional<PreemptionPlan> best;
    ZoneIndex bestZone = 0;
    for (ZoneIndex zone = 0; zone < state_->zones_.size(); ++zone) {
        // Within its guarantee a job only starts where the shapes of others stay formable.
        if (!mayRunIn(job, zone) || isCovered(job, zone)) {
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
        // Small jobs fill the availability zones from the first, large ones from the last, so that whole workers stay free in the last.
        const auto zone = job.isLarge() ? zones - 1 - i : i;
        if (!mayRunIn(job, zone)) {
            continue;
        }
        const auto placement = placer_.place(job.shape(), zone, filterFor(job, zone));
        const auto isGuaranteed = isCovered(job, zone);
        // Work within a guarantee starts only where the shapes of other teams stay formable.
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
    reservations_.noteStart(job);
    for (const auto victim : victims) {
        auto &evicted = state_->jobs_.at(victim);
        if (evicted.phase_ != GangPhase::Stopping) {
            lifecycle_->evict(evicted, "its workers were needed by job " + job.spec_.id_.value());
        }
    }
}

auto StartDecisions::unreservedFilter(const JobRecord &job) const -> Placer::WorkerFilter
{
    return [this, failed = filterOf(job)](WorkerIndex worker) {
        return !reservations_.isReserved(worker) && (!failed || failed(worker));
    };
}

auto StartDecisions::filterFor(const JobRecord &job, ZoneIndex zone) const -> Placer::WorkerFilter
{
    const auto isRestricted = job.accelerators() > 0 && reservations_.holder(zone) != nullptr && !reservations_.mayUse(job, zone);
    return isRestricted ? unreservedFilter(job) : filterOf(job);
}

auto StartDecisions::filterOf(const JobRecord &job) const -> Placer::WorkerFilter
{
    if (job.failedWorkers_.empty()) {
        return {};
    }
    return [&job](WorkerIndex worker) {
        return isAllowedWorker(job, worker);
    };
}

auto StartDecisions::isAllowedWorker(const JobRecord &job, WorkerIndex worker) -> bool
{
    return std::find(job.failedWorkers_.begin(), job.failedWorkers_.end(), worker) == job.failedWorkers_.end();
}
} // namespace Marjoramfold
