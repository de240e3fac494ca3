#include "marjoramfold/scheduling/guaranteepass.h"

#include <algorithm>

namespace Marjoramfold
{
namespace
{
// Per-call limits on jobs compared with guarantees and on placement searches; they bound decision latency.
constexpr int MaxComparedJobs = 256;
constexpr int MaxPlacementSearches = 4;
} // namespace

GuaranteePass::GuaranteePass(SchedulerState &state, StartDecisions &decisions)
    : state_(&state)
    , decisions_(&decisions)
{
}

auto GuaranteePass::run() -> void
{
    auto comparisonsLeft = MaxComparedJobs;
    searchesLeft_ = MaxPlacementSearches;
    const std::vector<TeamId> teams(state_->teamsToRecheck_.begin(), state_->teamsToRecheck_.end());
    for (const auto &team : teams) {
        if (comparisonsLeft <= 0 || searchesLeft_ <= 0) {
            break;
        }
        state_->teamsToRecheck_.erase(team);
        if (!startForTeam(team, comparisonsLeft)) {
            teamsWithoutRoom_.insert(team);
        }
    }
}

auto GuaranteePass::retry() -> void
{
    state_->teamsToRecheck_.merge(teamsWithoutRoom_);
    teamsWithoutRoom_.clear();
}

// Returns true when no job within the guarantee is left waiting.
auto GuaranteePass::startForTeam(const TeamId &team, int &comparisonsLeft) -> bool
{
    if (!state_->ledger_.hasGuarantee(team)) {
        return true;
    }
    auto allStarted = true;
    const auto waiting = state_->waitingByTeam_[team];
    for (const auto &key : waiting) {
        auto &job = state_->jobs_.at(key.job_);
        --comparisonsLeft;
        if (!isWithinAnyGuarantee(job)) {
            continue;
        }
        if (searchesLeft_ <= 0) {
            return false;
        }
        --searchesLeft_;
        allStarted = decisions_->startGuaranteed(job) && allStarted;
    }
    return allStarted;
}

auto GuaranteePass::isWithinAnyGuarantee(const JobRecord &job) const -> bool
{
    for (ZoneIndex zone = 0; zone < state_->zones_.size(); ++zone) {
        if (decisions_->isWithinGuarantee(job, zone)) {
            return state_->isWithinQuota(job);
        }
    }
    return false;
}
} // namespace Marjoramfold
