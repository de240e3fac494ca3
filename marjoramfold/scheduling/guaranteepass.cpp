#include "marjoramfold/scheduling/guaranteepass.h"

#include <algorithm>

namespace Marjoramfold
{
namespace
{
// Jobs compared with guarantees in one call, and those among them for which workers are searched; bounds the time of a decision.
constexpr int MaxLooks = 256;
constexpr int MaxSearches = 4;
} // namespace

GuaranteePass::GuaranteePass(SchedulerState &state, StartDecisions &decisions)
    : state_(&state)
    , decisions_(&decisions)
{
}

auto GuaranteePass::run() -> void
{
    auto looks = MaxLooks;
    searches_ = MaxSearches;
    const std::vector<TeamId> teams(state_->teamsToCheck_.begin(), state_->teamsToCheck_.end());
    for (const auto &team : teams) {
        if (looks <= 0 || searches_ <= 0) {
            break;
        }
        state_->teamsToCheck_.erase(team);
        if (!checkTeam(team, looks)) {
            unserved_.insert(team);
        }
    }
}

auto GuaranteePass::retry() -> void
{
    state_->teamsToCheck_.merge(unserved_);
    unserved_.clear();
}

// True when no covered job of the team is left waiting.
auto GuaranteePass::checkTeam(const TeamId &team, int &looks) -> bool
{
    if (!state_->ledger_.hasGuarantee(team)) {
        return true;
    }
    auto isDone = true;
    const auto waiting = state_->waitingByTeam_[team];
    for (const auto &key : waiting) {
        auto &job = state_->jobs_.at(key.job_);
        --looks;
        if (!isCoveredAnywhere(job)) {
            continue;
        }
        if (searches_ <= 0) {
            return false;
        }
        --searches_;
        isDone = decisions_->startGuaranteed(job) && isDone;
    }
    return isDone;
}

auto GuaranteePass::isCoveredAnywhere(const JobRecord &job) const -> bool
{
    for (ZoneIndex zone = 0; zone < state_->zones_.size(); ++zone) {
        if (decisions_->isCovered(job, zone)) {
            return state_->isWithinQuota(job);
        }
    }
    return false;
}
} // namespace Marjoramfold
