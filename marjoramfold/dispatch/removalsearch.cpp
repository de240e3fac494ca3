#include "marjoramfold/dispatch/removalplan.h"
#include "marjoramfold/dispatch/victimunits.h"
#include "marjoramfold/dispatch/workerselector.h"

#include <algorithm>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <utility>

namespace Marjoramfold
{
// Placements for which runs have to end first: by preemption, for a guarantee, or in time.

namespace
{
/// Factor by which urgent work costs more, so that it is stopped after all other work, and of it that with the smallest loss.
constexpr double UrgentVictimWeight = 1e6;

constexpr auto NoIndex = VictimUnits::NoWorker;

/// Builds the removal problems of a request, one for each group of workers. Units that a group's workers do not touch are left out.
class ProblemBuilder
{
public:
    ProblemBuilder(const VictimUnits &victims, const PlacementRequest &request, const VictimTerms &termsOf, const ReclaimBudget *budget)
        : victims_(victims)
        , request_(request)
        , termsOf_(termsOf)
        , budget_(budget)
        , indexOf_(victims.units().size(), NoIndex)
    {
    }

    /// Starts the problem of the next group; `workers` are positions among the usable workers.
    auto begin(const std::vector<std::size_t> &workers, std::size_t usableWorkers) -> void
    {
        for (const auto unit : unitOf_) {
            indexOf_[unit] = NoIndex;
        }
        unitOf_.clear();
        accountOf_.clear();
        workerIndexOf_.resize(usableWorkers, NoIndex);
        for (const auto worker : workers_) {
            workerIndexOf_[worker] = NoIndex;
        }
        workers_ = workers;
        for (std::size_t i = 0; i < workers.size(); ++i) {
            workerIndexOf_[workers[i]] = i;
        }
        problem_ = {};
        problem_.task_ = request_.step_->task_;
        problem_.count_ = request_.count_;
        problem_.required_ = request_.step_->gang_ ? request_.count_ : 1;
    }

    /// Adds a worker of the group, in the order given to begin(), and the units that use it.
    auto addWorker(std::size_t worker, const WorkerSession &session, const ResourceVector &free) -> void
    {
        problem_.workers_.push_back({free, request_.taskLimitAt(session.entry_.id_, request_.count_)});
        for (const auto unit : victims_.unitsAt(worker)) {
            if (indexOf_[unit] == NoIndex) {
                addUnit(unit);
            }
        }
    }

    [[nodiscard]] auto problem() const -> const RemovalProblem &
    {
        return problem_;
    }

    /// The number among all units of a unit of the problem.
    [[nodiscard]] auto unitOf(std::size_t index) const -> std::size_t
    {
        return unitOf_[index];
    }

private:
    auto addUnit(std::size_t number) -> void
    {
        const auto &unit = victims_.units()[number];
        const auto cost = termsOf_(unit);
        if (!cost) {
            return;
        }
        RemovalProblem::Unit entry{*cost, problem_.freed_.size(), 0, std::nullopt, 0};
        for (auto i = unit.firstMember_; i < unit.endMember_; ++i) {
            const auto &member = victims_.members()[i];
            const auto worker = member.worker_ == NoIndex ? NoIndex : workerIndexOf_[member.worker_];
            if (worker == NoIndex) {
                continue;
            }
            if (problem_.freed_.size() > entry.firstFreed_ && problem_.freed_.back().first == worker) {
                problem_.freed_.back().second += member.run_->demand_;
            } else {
                problem_.freed_.emplace_back(worker, member.run_->demand_);
            }
        }
        entry.endFreed_ = problem_.freed_.size();
        const auto &run = *victims_.anyMember(unit).run_;
        if (budget_ != nullptr && run.priority_ == 0 && !unit.endsSoon_ && !unit.isStopping_) {
            entry.account_ = accountOf(run.team_);
            entry.charge_ = run.demand_.accelerators_ * run.gangSize_;
        }
        indexOf_[number] = problem_.units_.size();
        unitOf_.push_back(number);
        problem_.units_.push_back(entry);
    }

    auto accountOf(const TeamId &team) -> std::size_t
    {
        const auto [found, added] = accountOf_.try_emplace(team, problem_.accounts_.size());
        if (added) {
            problem_.accounts_.push_back(budget_->excessOf(team));
        }
        return found->second;
    }

    const VictimUnits &victims_;
    const PlacementRequest &request_;
    const VictimTerms &termsOf_;
    const ReclaimBudget *budget_;
    RemovalProblem problem_;
    /// Index in the problem by unit, and the reverse.
    std::vector<std::size_t> indexOf_;
    std::vector<std::size_t> unitOf_;
    /// Index in the problem by usable worker, and the reverse.
    std::vector<std::size_t> workerIndexOf_;
    std::vector<std::size_t> workers_;
    std::map<TeamId, std::size_t> accountOf_;
};
} // namespace

auto WorkerSelector::setVictimHooks(VictimHooks hooks) -> void
{
    victimHooks_ = std::move(hooks);
}

auto WorkerSelector::makeVictimUnits() const -> VictimUnits
{
    std::vector<const WorkerSession *> usable;
    usable.reserve(candidates_.size());
    for (const auto &candidate : candidates_) {
        usable.push_back(candidate.session_);
    }
    return {sessions_, usable, victimHooks_, now_};
}

auto WorkerSelector::victimUnits() -> VictimUnits &
{
    // Runs that are placed later in the pass cannot be stopped, and each decision is carried out, so that one collection serves all searches.
    if (!victimUnits_) {
        victimUnits_ = std::make_unique<VictimUnits>(makeVictimUnits());
    }
    return *victimUnits_;
}

auto WorkerSelector::cheapestAfterRemoval(const PlacementRequest &request,
                                          bool local,
                                          const VictimUnits &victims,
                                          const VictimTerms &termsOf,
                                          const ReclaimBudget *budget) -> std::optional<RemovalChoice>
{
    std::optional<RemovalChoice> best;
    auto bestCost = 0.0;
    const auto couldHold = [&request](const Candidate &candidate) {
        const auto &entry = candidate.session_->entry_;
        return entry.capacity_.covers(request.step_->task_) && !request.refusingWorkers_.contains(entry.id_);
    };
    ProblemBuilder builder(victims, request, termsOf, budget);
    for (const auto &group : groupsFor(request, local, couldHold)) {
        std::vector<std::size_t> workers;
        for (const auto *candidate : group) {
            workers.push_back(static_cast<std::size_t>(candidate - candidates_.data()));
        }
        builder.begin(workers, candidates_.size());
        for (const auto worker : workers) {
            builder.addWorker(worker, *candidates_[worker].session_, candidates_[worker].free_);
        }
        const auto plan = planRemoval(builder.problem());
        if (!plan || (best && plan->cost_ >= bestCost)) {
            continue;
        }
        bestCost = plan->cost_;
        best = RemovalChoice{};
        for (const auto worker : plan->taskWorkers_) {
            best->workers_.push_back(group[worker]->session_);
        }
        for (const auto index : plan->units_) {
            best->units_.push_back(builder.unitOf(index));
        }
    }
    return best;
}

auto WorkerSelector::decide(const RemovalChoice &choice, VictimUnits &victims, bool local) -> PlacementDecision
{
    PlacementDecision decision{choice.workers_, !local, {}};
    decision.awaitsEnds_ = !choice.units_.empty();
    for (const auto number : choice.units_) {
        const auto &unit = victims.units()[number];
        // The other members of a gang that ends already follow the one that was stopped.
        if (unit.endsSoon_ || unit.isEnding_) {
            continue;
        }
        decision.lostWork_ += unit.lostWork_;
        for (auto i = unit.firstMember_; i < unit.endMember_; ++i) {
            decision.victims_.emplace_back(victims.members()[i].session_, *victims.members()[i].key_);
        }
        victims.markStopped(number);
    }
    return decision;
}

auto WorkerSelector::findPlacementByPreemption(const PlacementRequest &request, bool local) -> std::optional<PlacementDecision>
{
    if (failed_.contains(request, local, FailedRequests::Search::Preemption)) {
        return std::nullopt;
    }
    auto &victims = victimUnits();
    const VictimTerms termsOf = [&victims, &request](const VictimUnit &unit) -> std::optional<double> {
        if (unit.isEnding_) {
            return 0.0;
        }
        if (victims.anyMember(unit).run_->priority_ <= request.priority_ || unit.isUnsent_) {
            return std::nullopt;
        }
        return unit.endsSoon_ ? 0.0 : unit.loss_;
    };
    // A fleet full of urgent work is not searched.
    const auto choice = victims.mayMakeRoomFor(request.priority_) ? cheapestAfterRemoval(request, local, victims, termsOf, nullptr) : std::nullopt;
    if (!choice) {
        failed_.add(request, local, FailedRequests::Search::Preemption);
        return std::nullopt;
    }
    return decide(*choice, victims, local);
}

auto WorkerSelector::reclaimBudget() -> ReclaimBudget &
{
    if (!reclaimBudget_) {
        reclaimBudget_ = std::make_unique<ReclaimBudget>(sessions_, guaranteeOf_);
    }
    return *reclaimBudget_;
}

auto WorkerSelector::findPlacementByReclaim(const PlacementRequest &request, bool local) -> std::optional<PlacementDecision>
{
    if (failed_.contains(request, local, FailedRequests::Search::Reclaim)) {
        return std::nullopt;
    }
    auto &victims = victimUnits();
    auto &budget = reclaimBudget();
    const VictimTerms termsOf = [&victims, &budget](const VictimUnit &unit) -> std::optional<double> {
        if (unit.isEnding_) {
            return 0.0;
        }
        const auto &[session, key, run, worker] = victims.anyMember(unit);
        if (unit.isUnsent_ || !budget.canTake(*key, *run)) {
            return std::nullopt;
        }
        return unit.endsSoon_ ? 0.0 : unit.loss_ * (run->priority_ == 0 ? UrgentVictimWeight : 1.0);
    };
    const auto choice = cheapestAfterRemoval(request, local, victims, termsOf, &budget);
    if (!choice) {
        failed_.add(request, local, FailedRequests::Search::Reclaim);
        return std::nullopt;
    }
    auto decision = decide(*choice, victims, local);
    // Later requests of the pass get what is left.
    for (const auto &[session, key] : decision.victims_) {
        budget.take(key, session->runs_.at(key));
    }
    return decision;
}

auto WorkerSelector::findReservation(const PlacementRequest &request, bool local) -> std::vector<WorkerSession *>
{
    // Collected anew, since the capacity of runs that were placed in this pass becomes free as well.
    const auto victims = makeVictimUnits();
    const auto termsOf = [](const VictimUnit &unit) -> std::optional<double> {
        return unit.remainingSeconds_;
    };
    const auto found = cheapestAfterRemoval(request, local, victims, termsOf, nullptr);
    return found ? found->workers_ : std::vector<WorkerSession *>{};
}
} // namespace Marjoramfold
