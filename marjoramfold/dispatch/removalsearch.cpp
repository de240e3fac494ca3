#include "marjoramfold/dispatch/workerselector.h"

#include <algorithm>
#include <iterator>
#include <optional>
#include <set>
#include <utility>

namespace Marjoramfold
{
// Placements for which runs have to end first: by preemption, for a guarantee, or in time.

namespace
{
/// Cores that one accelerator counts for in preemption costs.
constexpr double CoresPerAccelerator = 8.0;

/// Cost of a restart besides the lost work: the stop, the wait for capacity and the restore.
constexpr double RestartOverheadSeconds = 1.0;

/// Added to the cost of stopping urgent work, so that less urgent work is stopped first.
constexpr double UrgentVictimCost = 1e6;

/// Core-seconds that are lost when a run is stopped now together with its gang.
auto preemptionCost(const WorkerRun &run, BootTime now) -> double
{
    const auto startedAt = run.acceptedAt_ == BootTime{} ? run.placedAt_ : run.acceptedAt_;
    const auto seconds = std::chrono::duration<double>(now - startedAt).count();
    const auto cores = static_cast<double>(run.demand_.milliCores_) / 1000.0 + CoresPerAccelerator * static_cast<double>(run.demand_.accelerators_);
    return (RestartOverheadSeconds + (run.checkpointsOnStop_ ? 0.0 : seconds)) * cores * run.gangSize_;
}
} // namespace

auto WorkerSelector::removalOptions(const Candidate &candidate, const PlacementRequest &request, const RemovalCost &costOf, const ReclaimBudget *budget)
    -> std::vector<RemovalOption>
{
    const auto &session = *candidate.session_;
    const auto limit = request.taskLimitAt(session.entry_.id_, request.count_);
    std::vector<std::pair<double, RunKey>> runs;
    for (const auto &[key, run] : session.runs_) {
        if (const auto cost = costOf(run); cost) {
            runs.emplace_back(*cost, key);
        }
    }
    std::sort(runs.begin(), runs.end());
    // Copied for the first run that the budget limits.
    std::optional<ReclaimBudget> left;
    auto free = candidate.free_;
    std::vector<RemovalOption> options;
    RemovalOption option{&candidate, countFitting(free, request.step_->task_, limit), 0, {}};
    if (option.fits_ > 0) {
        options.push_back(option);
    }
    for (const auto &[cost, key] : runs) {
        const auto &run = session.runs_.at(key);
        if (budget != nullptr && run.priority_ == 0) {
            if (!budget->canTake(key, run)) {
                continue;
            }
            if (!left) {
                left = *budget;
            }
            if (!left->take(key, run)) {
                continue;
            }
        }
        free += run.demand_;
        option.cost_ += cost;
        option.victims_.push_back(key);
        const auto fits = countFitting(free, request.step_->task_, limit);
        if (fits > option.fits_) {
            option.fits_ = fits;
            options.push_back(option);
        }
    }
    return options;
}

auto WorkerSelector::takeVictims(const RemovalOption &option, ReclaimBudget *budget) -> bool
{
    if (budget == nullptr) {
        return true;
    }
    auto left = *budget;
    for (const auto &key : option.victims_) {
        const auto &run = option.candidate_->session_->runs_.at(key);
        if (!left.take(key, run)) {
            return false;
        }
    }
    *budget = std::move(left);
    return true;
}

auto WorkerSelector::selectAfterRemoval(const Group &group,
                                        const PlacementRequest &request,
                                        const RemovalCost &costOf,
                                        std::optional<ReclaimBudget> budget) const -> std::optional<std::pair<PlacementDecision, double>>
{
    auto *const limits = budget ? &*budget : nullptr;
    std::vector<RemovalOption> options;
    for (const auto *candidate : group) {
        auto found = removalOptions(*candidate, request, costOf, limits);
        std::move(found.begin(), found.end(), std::back_inserter(options));
    }
    std::stable_sort(options.begin(), options.end(), [](const RemovalOption &left, const RemovalOption &right) {
        return left.cost_ / left.fits_ < right.cost_ / right.fits_;
    });
    PlacementDecision placement;
    double cost = 0;
    std::set<const Candidate *> used;
    for (auto &option : options) {
        if (placement.workers_.size() >= request.count_ || used.contains(option.candidate_)) {
            continue;
        }
        if (!takeVictims(option, limits)) {
            // Options chosen before have used up a part of the budget.
            const auto remaining = removalOptions(*option.candidate_, request, costOf, limits);
            if (remaining.empty() || !takeVictims(remaining.back(), limits)) {
                continue;
            }
            option = remaining.back();
        }
        used.insert(option.candidate_);
        cost += option.cost_;
        for (std::uint32_t i = 0; i < option.fits_ && placement.workers_.size() < request.count_; ++i) {
            placement.workers_.push_back(option.candidate_->session_);
        }
        for (const auto &victim : option.victims_) {
            placement.victims_.emplace_back(option.candidate_->session_, victim);
        }
    }
    if (placement.workers_.size() < (request.step_->gang_ ? request.count_ : 1)) {
        return std::nullopt;
    }
    return std::pair(std::move(placement), cost);
}

auto WorkerSelector::cheapestAfterRemoval(const PlacementRequest &request, bool local, const RemovalCost &costOf, const std::optional<ReclaimBudget> &budget)
    -> std::optional<PlacementDecision>
{
    std::optional<std::pair<PlacementDecision, double>> best;
    const auto couldHold = [&request](const Candidate &candidate) {
        return candidate.session_->entry_.capacity_.covers(request.step_->task_);
    };
    for (const auto &group : groupsFor(request, local, couldHold)) {
        auto option = selectAfterRemoval(group, request, costOf, budget);
        if (option && (!best || option->second < best->second)) {
            best = std::move(option);
        }
    }
    if (!best) {
        return std::nullopt;
    }
    best->first.remote_ = !local;
    return std::move(best->first);
}

auto WorkerSelector::findPlacementByPreemption(const PlacementRequest &request, bool local) -> std::optional<PlacementDecision>
{
    if (failed_.contains(request, local, FailedRequests::Search::Preemption)) {
        return std::nullopt;
    }
    const auto costOf = [this, &request](const WorkerRun &run) -> std::optional<double> {
        if (run.stage_ == RunStage::Stopping) {
            return 0.0;
        }
        if (run.priority_ <= request.priority_ || run.stage_ == RunStage::Recorded) {
            return std::nullopt;
        }
        return preemptionCost(run, now_);
    };
    auto choice = cheapestAfterRemoval(request, local, costOf, std::nullopt);
    if (!choice) {
        failed_.add(request, local, FailedRequests::Search::Preemption);
    }
    return choice;
}

auto WorkerSelector::findPlacementByReclaim(const PlacementRequest &request, bool local) -> std::optional<PlacementDecision>
{
    if (failed_.contains(request, local, FailedRequests::Search::Reclaim)) {
        return std::nullopt;
    }
    const auto costOf = [this](const WorkerRun &run) -> std::optional<double> {
        if (run.stage_ == RunStage::Stopping) {
            return 0.0;
        }
        if (run.stage_ == RunStage::Recorded) {
            return std::nullopt;
        }
        return preemptionCost(run, now_) + (run.priority_ == 0 ? UrgentVictimCost : 0.0);
    };
    // Stops that were decided earlier in this pass show in the stages of the runs.
    auto choice = cheapestAfterRemoval(request, local, costOf, ReclaimBudget(sessions_, guaranteeOf_));
    if (!choice) {
        failed_.add(request, local, FailedRequests::Search::Reclaim);
    }
    return choice;
}

auto WorkerSelector::findReservation(const PlacementRequest &request, bool local) -> std::vector<WorkerSession *>
{
    const auto costOf = [this](const WorkerRun &run) -> std::optional<double> {
        const auto left = std::chrono::duration<double>(run.expected_) - std::chrono::duration<double>(now_ - run.placedAt_);
        return std::max(0.1, left.count());
    };
    const auto found = cheapestAfterRemoval(request, local, costOf, std::nullopt);
    return found ? found->workers_ : std::vector<WorkerSession *>{};
}
} // namespace Marjoramfold
