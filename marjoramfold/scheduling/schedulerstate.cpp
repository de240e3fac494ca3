#include "marjoramfold/scheduling/schedulerstate.h"

namespace Marjoramfold
{
SchedulerState::SchedulerState(std::vector<AvailabilityZoneId> zones, const SchedulerOptions &options)
    : options_(options)
    , rules_(std::make_shared<RuleSet>())
    , cluster_(zones.size())
    , ledger_(zones)
    , estimator_(options.learnedEstimates_)
    , runningTasks_(zones.size(), 0)
{
    for (auto &zone : zones) {
        zones_.push_back({std::move(zone), true, false, std::nullopt, 0});
    }
}

auto SchedulerState::recheckGuarantees() -> void
{
    for (const auto &[team, waiting] : waitingByTeam_) {
        if (!waiting.empty()) {
            teamsToRecheck_.insert(team);
        }
    }
}

auto SchedulerState::isWithinQuota(const JobRecord &job) const -> bool
{
    const auto quota = rules_->quotas_.find(job.spec_.team_);
    if (quota == rules_->quotas_.end() || job.accelerators() == 0) {
        return true;
    }
    const auto use = teamUse_.find(job.spec_.team_);
    const auto elsewhere = teamUseElsewhere_.find(job.spec_.team_);
    const auto used = (use == teamUse_.end() ? 0 : use->second) + (elsewhere == teamUseElsewhere_.end() ? 0 : elsewhere->second);
    return used + job.accelerators() <= quota->second.accelerators_;
}

auto SchedulerState::findZone(const AvailabilityZoneId &zone) const -> std::optional<ZoneIndex>
{
    for (std::size_t i = 0; i < zones_.size(); ++i) {
        if (zones_[i].id_ == zone) {
            return static_cast<ZoneIndex>(i);
        }
    }
    return std::nullopt;
}
} // namespace Marjoramfold
