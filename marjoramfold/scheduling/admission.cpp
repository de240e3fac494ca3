#include "marjoramfold/scheduling/admission.h"

#include <algorithm>

namespace Marjoramfold
{
Admission::Admission(const SchedulerState &state)
    : state_(&state)
{
}

auto Admission::check(const JobRecord &job) const -> std::optional<JobOutcome>
{
    if (auto outcome = checkShape(job.spec_)) {
        return outcome;
    }
    if (auto outcome = checkQuota(job)) {
        return outcome;
    }
    return checkZones(job);
}

auto Admission::allowsZone(const JobSpec &spec, const AvailabilityZoneId &zone) -> bool
{
    const auto &allowed = spec.allowedZones_;
    return allowed.empty() || std::find(allowed.begin(), allowed.end(), zone) != allowed.end();
}

auto Admission::checkShape(const JobSpec &spec) const -> std::optional<JobOutcome>
{
    if (spec.gangSize_ < 1 || spec.gangSize_ > MaxGangSize) {
        return JobOutcome{JobState::Failed, "gang size is not between 1 and " + std::to_string(MaxGangSize), std::nullopt};
    }
    const auto &task = spec.task_;
    if (task.accelerators_ < 0 || task.cores_ < 0 || task.memoryMb_ < 0) {
        return JobOutcome{JobState::Failed, "task requests a negative amount of a resource", std::nullopt};
    }
    return std::nullopt;
}

auto Admission::checkQuota(const JobRecord &job) const -> std::optional<JobOutcome>
{
    const auto quota = state_->rules_->quotas_.find(job.spec_.team_);
    if (quota == state_->rules_->quotas_.end() || job.accelerators() <= quota->second.accelerators_) {
        return std::nullopt;
    }
    const auto reason =
        "job needs " + std::to_string(job.accelerators()) + " accelerators, above its team's quota of " + std::to_string(quota->second.accelerators_);
    return JobOutcome{JobState::Parked, reason, quota->second.line_};
}

auto Admission::checkZones(const JobRecord &job) const -> std::optional<JobOutcome>
{
    std::optional<RuleLine> rule;
    for (const auto &[zone, zoneRule] : state_->rules_->zones_) {
        if (!allowsZone(job.spec_, zone)) {
            continue;
        }
        const auto own = state_->findZone(zone);
        const auto fitsHere = own && !state_->cluster_.zone(*own).workers_.empty() && fitsEmptyZone(job.shape(), *own);
        const auto mayFitLater = (!own || !isFullyKnown(*own)) && fitsDeclaredZone(job.shape(), zoneRule);
        if (fitsHere || mayFitLater) {
            return std::nullopt;
        }
        rule = zoneRule.line_;
    }
    // Without a rule for an availability zone, only its known workers decide.
    auto isKnown = rule.has_value();
    for (ZoneIndex zone = 0; zone < state_->zones_.size(); ++zone) {
        const auto &id = state_->zones_[zone].id_;
        if (!allowsZone(job.spec_, id) || state_->rules_->zones_.contains(id)) {
            continue;
        }
        if (state_->cluster_.zone(zone).workers_.empty() || fitsEmptyZone(job.shape(), zone)) {
            return std::nullopt;
        }
        isKnown = true;
    }
    if (isKnown) {
        return JobOutcome{JobState::Parked, "gang fits no allowed availability zone, even an empty one", rule};
    }
    return JobOutcome{JobState::Parked, "no allowed availability zone is known", std::nullopt};
}

auto Admission::fitsDeclaredZone(const GangShape &shape, const AvailabilityZoneRule &rule) const -> bool
{
    const auto perWorker = shape.adjacency_ == Adjacency::Worker ? shape.accelerators() : shape.task_.accelerators_;
    if (perWorker > rule.acceleratorsPerWorker_ && perWorker > 0) {
        return false;
    }
    const auto tasksPerWorker = shape.task_.accelerators_ > 0 ? rule.acceleratorsPerWorker_ / shape.task_.accelerators_ : shape.tasks_;
    const auto workers = shape.adjacency_ == Adjacency::Rack && rule.workersPerRack_ > 0 ? rule.workersPerRack_ : rule.workers_;
    return tasksPerWorker * workers >= shape.tasks_;
}

auto Admission::isFullyKnown(ZoneIndex zone) const -> bool
{
    const auto rule = state_->rules_->zones_.find(state_->zones_[zone].id_);
    const auto known = state_->cluster_.zone(zone).workers_.size();
    return rule == state_->rules_->zones_.end() || known >= static_cast<std::size_t>(std::max(rule->second.workers_, 1));
}

auto Admission::fitsEmptyZone(const GangShape &shape, ZoneIndex zone) const -> bool
{
    const auto &workers = shape.task_.accelerators_ > 0 ? state_->cluster_.zone(zone).acceleratorWorkers_ : state_->cluster_.zone(zone).workers_;
    std::unordered_map<RackIndex, int> byRack;
    auto total = 0;
    for (const auto index : workers) {
        const auto &worker = state_->cluster_.worker(index);
        const auto tasks = tasksThatFit(worker.info_.capacity_, shape.task_, shape.tasks_);
        total += tasks;
        auto fitting = total;
        if (shape.adjacency_ == Adjacency::Worker) {
            fitting = tasks;
        } else if (shape.adjacency_ == Adjacency::Rack) {
            fitting = byRack[worker.rack_] += tasks;
        }
        if (fitting >= shape.tasks_) {
            return true;
        }
    }
    return false;
}
} // namespace Marjoramfold
