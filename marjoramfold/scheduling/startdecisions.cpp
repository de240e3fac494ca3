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
{
}

auto StartDecisions::mayRunIn(const JobRecord &job, ZoneIndex zone) const -> bool
{
    return state_->zones_[zone].mayStart() && Admission::allowsZone(job.spec_, state_->zones_[zone].id_);
}

auto StartDecisions::isWithinQuota(const JobRecord &job) const -> bool
{
    const auto quota = state_->rules_->quotas_.find(job.spec_.team_);
    if (quota == state_->rules_->quotas_.end() || job.accelerators() == 0) {
        return true;
    }
    const auto use = state_->teamUse_.find(job.spec_.team_);
    const auto used = use == state_->teamUse_.end() ? 0 : use->second;
    return used + job.accelerators() <= quota->second.accelerators_;
}

auto StartDecisions::isCovered(const JobRecord &job, ZoneIndex zone) const -> bool
{
    return mayRunIn(job, zone) && state_->ledger_.covers(zone, job.spec_.team_, job.accelerators());
}

auto StartDecisions::startGuaranteed(JobRecord &job) -> bool
{
    if (job.accelerators() == 0 || !isWithinQuota(job)) {
        return false;
    }
    std::optional<PreemptionPlan> best;
    ZoneIndex bestZone = 0;
    for (ZoneIndex zone = 0; zone < state_->zones_.size(); ++zone) {
        if (!isCovered(job, zone)) {
            continue;
        }
        auto plan = planGuaranteed(job, zone);
        if (plan && (!best || plan->cost_ < best->cost_)) {
            best = std::move(plan);
            bestZone = zone;
        }
    }
    if (!best) {
        return false;
    }
    begin(job, bestZone, best->placement_, true, best->victims_);
    return true;
}

// Free workers come first, then the cheapest evictions, then the workers on which the fewest other shapes fit.
auto StartDecisions::planGuaranteed(const JobRecord &job, ZoneIndex zone) const -> std::optional<PreemptionPlan>
{
    const auto keepsShapes = [&](const GangPlacement &placement) {
        return state_->ledger_.keepsShapes(zone, job.spec_.team_, placement, job.reserved_.accelerators_);
    };
    const auto filter = filterOf(job);
    const auto free = placer_.place(job.shape(), zone, filter);
    if (free && keepsShapes(*free)) {
        return PreemptionPlan{*free, {}, 0};
    }
    const auto costOf = [this](GangIndex gang) {
        return evictions_.costForRight(gang, false);
    };
    auto cheapest = planner_.plan(job.shape(), zone, costOf, filter);
    if (cheapest && keepsShapes(cheapest->placement_)) {
        return cheapest;
    }
    const auto tightest = [this](WorkerIndex worker) {
        return state_->ledger_.available(worker);
    };
    auto tight = planner_.plan(job.shape(), zone, costOf, filter, tightest);
    return tight && keepsShapes(tight->placement_) ? tight : std::nullopt;
}

auto StartDecisions::startUrgent(JobRecord &job) -> bool
{
    if (!isWithinQuota(job)) {
        return false;
    }
    if (startGuaranteed(job)) {
        return true;
    }
    const auto costOf = [this](GangIndex gang) {
        return evictions_.costForRight(gang, true);
    };
    std::optional<PreemptionPlan> best;
    ZoneIndex bestZone = 0;
    for (ZoneIndex zone = 0; zone < state_->zones_.size(); ++zone) {
        // Within its guarantee a job only starts where the shapes of others stay formable.
        if (!mayRunIn(job, zone) || isCovered(job, zone)) {
            continue;
        }
        if (const auto free = placer_.place(job.shape(), zone, filterOf(job))) {
            begin(job, zone, *free, false);
            return true;
        }
        auto plan = planner_.plan(job.shape(), zone, costOf, filterOf(job));
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

auto StartDecisions::startInExchange(JobRecord &job) -> bool
{
    const auto limit = lifecycle_->queue().scoreOf(job) + ExchangeMargin;
    const auto costOf = [this, limit](GangIndex gang) -> std::optional<double> {
        const auto cost = evictions_.costForExchange(gang);
        const auto &victim = state_->jobs_.at(gang);
        const auto goesLater = victim.phase_ == GangPhase::Stopping || lifecycle_->queue().scoreOf(victim, evictions_.timeLeft(victim)) > limit;
        return goesLater ? cost : std::nullopt;
    };
    std::optional<PreemptionPlan> best;
    ZoneIndex bestZone = 0;
    for (ZoneIndex zone = 0; zone < state_->zones_.size(); ++zone) {
        if (!mayRunIn(job, zone) || isCovered(job, zone)) {
            continue;
        }
        auto plan = planner_.plan(job.shape(), zone, costOf, filterOf(job));
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

auto StartDecisions::begin(JobRecord &job, ZoneIndex zone, const GangPlacement &placement, bool guaranteed, const std::vector<GangIndex> &victims) -> void
{
    lifecycle_->queue().remove(job);
    lifecycle_->starter().begin(job, zone, placement, guaranteed);
    for (const auto victim : victims) {
        auto &evicted = state_->jobs_.at(victim);
        if (evicted.phase_ != GangPhase::Stopping) {
            lifecycle_->evict(evicted, "its workers were needed by job " + job.spec_.id_.value());
        }
    }
}

auto StartDecisions::filterOf(const JobRecord &job) const -> Placer::WorkerFilter
{
    if (job.failedWorkers_.empty()) {
        return {};
    }
    return [&job](WorkerIndex worker) {
        return std::find(job.failedWorkers_.begin(), job.failedWorkers_.end(), worker) == job.failedWorkers_.end();
    };
}
} // namespace Marjoramfold
