#include "marjoramfold/dispatch/reclaimbudget.h"

#include <algorithm>
#include <cstddef>
#include <numeric>
#include <vector>

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
    std::map<TeamId, std::map<std::int64_t, std::int64_t>> sizesOf;
    std::map<GangKey, std::pair<TeamId, std::int64_t>> gangs;
    for (const auto &[id, session] : sessions) {
        for (const auto &[key, run] : session->runs_) {
            const auto isStopping = run.stage_ == RunStage::Stopping || (run.gangSize_ > 1 && stoppedGangs_.contains(gangOf(key)));
            if (run.priority_ > 0 || isStopping || run.demand_.accelerators_ == 0) {
                continue;
            }
            excess_[run.team_] += run.demand_.accelerators_;
            if (run.gangSize_ > 1) {
                gangs.try_emplace(gangOf(key), run.team_, 0).first->second.second += run.demand_.accelerators_;
            } else {
                ++sizesOf[run.team_][run.demand_.accelerators_];
            }
        }
    }
    for (const auto &[gang, use] : gangs) {
        ++sizesOf[use.first][use.second];
    }
    for (auto &[team, excess] : excess_) {
        const auto guarantee = guaranteeOf(team);
        excess = excess <= guarantee ? 0 : excess - largestFill(sizesOf[team], guarantee);
    }
}

auto ReclaimBudget::largestFill(const std::map<std::int64_t, std::int64_t> &sizes, std::int64_t limit) -> std::int64_t
{
    // Sums that the sizes so far can have, up to the limit, each with the units of the current size that it needs.
    constexpr std::int64_t Unreachable = -1;
    std::vector<std::int64_t> needed(static_cast<std::size_t>(std::max<std::int64_t>(limit, 0)) + 1, Unreachable);
    needed[0] = 0;
    for (const auto &[size, count] : sizes) {
        if (needed.back() != Unreachable) {
            break;
        }
        for (auto &units : needed) {
            units = units == Unreachable ? Unreachable : 0;
        }
        for (auto sum = static_cast<std::size_t>(size); sum < needed.size(); ++sum) {
            const auto before = needed[sum - static_cast<std::size_t>(size)];
            if (needed[sum] == Unreachable && before != Unreachable && before < count) {
                needed[sum] = before + 1;
            }
        }
    }
    const auto largest = std::find_if(needed.rbegin(), needed.rend(), [](std::int64_t units) {
        return units != Unreachable;
    });
    return static_cast<std::int64_t>(needed.rend() - largest) - 1;
}

auto ReclaimBudget::totalExcess() const -> std::int64_t
{
    return std::accumulate(excess_.begin(), excess_.end(), std::int64_t(0), [](std::int64_t sum, const auto &excess) {
        return sum + excess.second;
    });
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
