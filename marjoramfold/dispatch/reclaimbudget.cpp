#include "marjoramfold/dispatch/reclaimbudget.h"

namespace Marjoramfold
{
ReclaimBudget::ReclaimBudget(const WorkerSessionMap &sessions, const GuaranteeOf &guaranteeOf)
{
    for (const auto &[id, session] : sessions) {
        for (const auto &[key, run] : session->runs_) {
            if (run.priority_ == 0 && run.gangSize_ > 1 && run.stage_ == RunStage::Stopping) {
                stoppedGangs_.insert(gangOf(key));
            }
        }
    }
    for (const auto &[id, session] : sessions) {
        for (const auto &[key, run] : session->runs_) {
            const auto isStopping = run.stage_ == RunStage::Stopping || (run.gangSize_ > 1 && stoppedGangs_.contains(gangOf(key)));
            if (run.priority_ == 0 && !isStopping) {
                excess_[run.team_] += run.demand_.accelerators_;
            }
        }
    }
    for (auto &[team, excess] : excess_) {
        excess -= guaranteeOf(team);
    }
}

auto ReclaimBudget::gangOf(const RunKey &key) -> GangKey
{
    return {key.first.job_, key.first.occurrence_, key.first.step_, key.second};
}

auto ReclaimBudget::excessOf(const TeamId &team) const -> std::int64_t
{
    const auto found = excess_.find(team);
    return found == excess_.end() ? 0 : found->second;
}

auto ReclaimBudget::canTake(const RunKey &key, const WorkerRun &run) const -> bool
{
    if (run.priority_ > 0 || run.stage_ == RunStage::Stopping) {
        return true;
    }
    // A guarantee is a number of accelerators; work without any would give none back.
    if (run.demand_.accelerators_ == 0) {
        return false;
    }
    if (run.gangSize_ > 1 && stoppedGangs_.contains(gangOf(key))) {
        return true;
    }
    return excessOf(run.team_) >= run.demand_.accelerators_ * run.gangSize_;
}

auto ReclaimBudget::take(const RunKey &key, const WorkerRun &run) -> bool
{
    if (!canTake(key, run)) {
        return false;
    }
    if (run.priority_ > 0 || run.stage_ == RunStage::Stopping) {
        return true;
    }
    if (run.gangSize_ > 1 && !stoppedGangs_.insert(gangOf(key)).second) {
        return true;
    }
    excess_[run.team_] -= run.demand_.accelerators_ * run.gangSize_;
    return true;
}
} // namespace Marjoramfold
