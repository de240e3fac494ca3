#include "marjoramfold/entry/zonechooser.h"

#include <algorithm>
#include <utility>

namespace Marjoramfold
{
namespace
{
// Converts the cores of a task to accelerators: workers have about 16 cores per accelerator.
constexpr int CoresPerAccelerator = 16;

// Longer than the append and the read back of a record take on a slow log.
constexpr std::chrono::milliseconds ReservationTimeout{5'000};

// Above any difference in free capacity: capacity within the team's guarantee is always preferred to borrowed capacity.
constexpr std::int64_t GuaranteeBonus = 1'000'000;
constexpr std::int64_t OutPenalty = 1'000'000'000;

/// Demand of a job in accelerators.
auto demandOf(const JobSpec &spec) -> std::int64_t
{
    return std::int64_t(spec.gangSize_) * std::max(spec.task_.accelerators_, spec.task_.cores_ / CoresPerAccelerator);
}

auto capacityOf(const AvailabilityZoneRule &rule) -> std::int64_t
{
    return std::int64_t(rule.workers_) * rule.acceleratorsPerWorker_;
}

auto allows(const JobSpec &spec, const AvailabilityZoneId &zone) -> bool
{
    return spec.allowedZones_.empty() || std::find(spec.allowedZones_.begin(), spec.allowedZones_.end(), zone) != spec.allowedZones_.end();
}
} // namespace

auto ZoneChooser::setRules(RuleSetPointer rules) -> void
{
    rules_ = std::move(rules);
}

auto ZoneChooser::setJobs(const std::map<JobId, JobStatus> &jobs) -> void
{
    load_.clear();
    teamLoad_.clear();
    for (const auto &[id, status] : jobs) {
        if (isFinal(status.state_) || status.state_ == JobState::Parked) {
            continue;
        }
        const auto demand = demandOf(status.spec_);
        load_[status.zone_] += demand;
        teamLoad_[status.zone_][status.spec_.team_] += demand;
    }
    std::erase_if(reservations_, [&jobs](const auto &entry) {
        const auto found = jobs.find(entry.first);
        return found != jobs.end() && found->second.zone_ == entry.second.first;
    });
}

auto ZoneChooser::choose(const JobSpec &spec, SteadyTime now) -> Result<AvailabilityZoneId>
{
    if (!rules_) {
        return Error{ErrorKind::RulesNotLoaded, "no rules are in force yet", std::nullopt};
    }
    const auto *rule = bestZone(spec, AvailabilityZoneId(), false, now);
    if (rule == nullptr) {
        return Error{ErrorKind::JobCanNeverRun, "the gang does not fit the declared capacity of any allowed availability zone", std::nullopt};
    }
    reserve(spec, rule->zone_, now);
    return rule->zone_;
}

auto ZoneChooser::findZoneWithCapacity(const JobSpec &spec, const AvailabilityZoneId &own, SteadyTime now) -> std::optional<AvailabilityZoneId>
{
    const auto *rule = rules_ ? bestZone(spec, own, true, now) : nullptr;
    if (rule == nullptr || freeAccelerators(*rule, now) < demandOf(spec)) {
        return std::nullopt;
    }
    reserve(spec, rule->zone_, now);
    return rule->zone_;
}

auto ZoneChooser::findEvacuationZone(const JobSpec &spec, const AvailabilityZoneId &own, SteadyTime now) -> std::optional<AvailabilityZoneId>
{
    const auto *rule = rules_ ? bestZone(spec, own, true, now) : nullptr;
    if (rule == nullptr) {
        return std::nullopt;
    }
    reserve(spec, rule->zone_, now);
    return rule->zone_;
}

auto ZoneChooser::score(const JobSpec &spec, const AvailabilityZoneRule &rule, SteadyTime now) const -> std::int64_t
{
    auto score = freeAccelerators(rule, now);
    score += unusedGuarantee(spec.team_, rule.zone_) >= demandOf(spec) ? GuaranteeBonus : 0;
    score -= rule.state_ == AvailabilityZoneState::Out ? OutPenalty : 0;
    return score;
}

auto ZoneChooser::freeAccelerators(const AvailabilityZoneRule &rule, SteadyTime now) const -> std::int64_t
{
    auto free = capacityOf(rule);
    if (const auto load = load_.find(rule.zone_); load != load_.end()) {
        free -= load->second;
    }
    for (const auto &[job, entry] : reservations_) {
        if (entry.first == rule.zone_ && entry.second.expiresAt_ > now) {
            free -= entry.second.demand_;
        }
    }
    return free;
}

auto ZoneChooser::fitsWhenEmpty(const JobSpec &spec, const AvailabilityZoneRule &rule) const -> bool
{
    if (spec.task_.accelerators_ == 0) {
        return rule.workers_ > 0;
    }
    if (spec.task_.accelerators_ > rule.acceleratorsPerWorker_) {
        return false;
    }
    const auto tasksPerWorker = std::int64_t(rule.acceleratorsPerWorker_ / spec.task_.accelerators_);
    const auto workers = spec.adjacency_ == Adjacency::Worker ? 1 : spec.adjacency_ == Adjacency::Rack ? rule.workersPerRack_ : rule.workers_;
    return tasksPerWorker * std::min(workers, rule.workers_) >= spec.gangSize_;
}

auto ZoneChooser::unusedGuarantee(const TeamId &team, const AvailabilityZoneId &zone) const -> std::int64_t
{
    const auto perTeam = rules_->guarantees_.find(team);
    if (perTeam == rules_->guarantees_.end()) {
        return 0;
    }
    const auto rule = perTeam->second.find(zone);
    if (rule == perTeam->second.end()) {
        return 0;
    }
    const auto loads = teamLoad_.find(zone);
    const auto load = loads == teamLoad_.end() || !loads->second.contains(team) ? 0 : loads->second.at(team);
    return rule->second.accelerators_ - load;
}

auto ZoneChooser::bestZone(const JobSpec &spec, const AvailabilityZoneId &excluded, bool onlyIn, SteadyTime now) const -> const AvailabilityZoneRule *
{
    const AvailabilityZoneRule *best = nullptr;
    std::int64_t bestScore = 0;
    for (const auto &[id, rule] : rules_->zones_) {
        const auto isExcluded = id == excluded || (onlyIn && rule.state_ == AvailabilityZoneState::Out);
        if (isExcluded || !allows(spec, id) || !fitsWhenEmpty(spec, rule)) {
            continue;
        }
        const auto candidate = score(spec, rule, now);
        if (best == nullptr || candidate > bestScore) {
            best = &rule;
            bestScore = candidate;
        }
    }
    return best;
}

auto ZoneChooser::reserve(const JobSpec &spec, const AvailabilityZoneId &zone, SteadyTime now) -> void
{
    std::erase_if(reservations_, [now](const auto &entry) {
        return entry.second.second.expiresAt_ <= now;
    });
    reservations_[spec.id_] = {zone, {demandOf(spec), now + ReservationTimeout}};
}
} // namespace Marjoramfold
