#include "marjoramfold/dispatch/placement.h"

#include <algorithm>
#include <map>
#include <memory>
#include <utility>

namespace Marjoramfold
{
namespace
{
/// Seconds of one core that an accelerator counts for when work is weighed.
constexpr double CoresPerAccelerator = 8.0;

/// Share of the workers that is kept idle for urgent gangs, which need several whole workers of a rack at once.
constexpr double KeptIdleShare = 0.06;

/// What a restart costs besides the work that is not saved: the stop, the wait for room and the restore.
constexpr double RestartSeconds = 1.0;

/// Runs that got on at a worker this long ago tell that it is sound; trouble that leaves health checks good lasts some 5 s.
constexpr std::chrono::milliseconds ProofAge{4000};

/// How many tasks of a demand fit into room, at most a limit.
auto fitting(ResourceVector room, const ResourceVector &task, std::uint32_t limit) -> std::uint32_t
{
    std::uint32_t count = 0;
    while (count < limit && room.covers(task)) {
        room -= task;
        ++count;
    }
    return count;
}

/// Most tasks of a step that one more worker may take.
auto limitAt(const UnitNeed &need, const WorkerId &worker, std::uint32_t wanted) -> std::uint32_t
{
    if (need.step_->maxPerWorker_ == 0) {
        return wanted;
    }
    const auto found = need.placed_.find(worker);
    const auto placed = found == need.placed_.end() ? 0 : found->second;
    return placed >= need.step_->maxPerWorker_ ? 0 : std::min(wanted, need.step_->maxPerWorker_ - placed);
}

/// Core-seconds that are lost when a run is stopped now, with its whole gang.
auto lossOf(const WorkerRun &run, BootTime now) -> double
{
    const auto began = run.acceptedAt_ == BootTime{} ? run.placedAt_ : run.acceptedAt_;
    const auto seconds = std::chrono::duration<double>(now - began).count();
    const auto cores = static_cast<double>(run.demand_.milliCores_) / 1000.0 + CoresPerAccelerator * static_cast<double>(run.demand_.accelerators_);
    return (RestartSeconds + (run.saves_ ? 0.0 : seconds)) * cores * run.members_;
}
} // namespace

Placement::Placement(const std::unordered_map<WorkerId, std::unique_ptr<WorkerSession>> &sessions,
                     const std::unordered_set<std::string> &evacuatedZones,
                     BootTime now)
    : now_(now)
{
    candidates_.reserve(sessions.size());
    for (const auto &[id, session] : sessions) {
        const auto unknown = session->adopted_ && !session->answered_;
        const auto usable = session->listed_ && !unknown && !session->entry_.draining_ && session->unreachableSince_ == BootTime{}
            && session->suspectUntil_ <= now && !evacuatedZones.contains(session->entry_.zone_.value());
        if (usable) {
            candidates_.push_back({session.get(), session->room(), false});
        }
    }
    // A fixed order makes decisions repeatable.
    std::sort(candidates_.begin(), candidates_.end(), [](const Candidate &left, const Candidate &right) {
        return left.session_->entry_.id_ < right.session_->entry_.id_;
    });
    for (std::size_t i = 0; i < candidates_.size(); ++i) {
        indexes_[candidates_[i].session_] = i;
        idleWorkers_ += isIdle(candidates_[i]) ? 1 : 0;
    }
    keptIdle_ = static_cast<std::size_t>(static_cast<double>(candidates_.size()) * KeptIdleShare);
}

auto Placement::eligible(const Candidate &candidate, const UnitNeed &need) const -> bool
{
    const auto &entry = candidate.session_->entry_;
    const auto &label = need.step_->requiredLabel_;
    return entry.pool_ == need.pool_ && !need.avoid_.contains(entry.id_)
        && (label.empty() || std::find(entry.labels_.begin(), entry.labels_.end(), label) != entry.labels_.end());
}

auto Placement::groupsFor(const UnitNeed &need, bool near, bool cleanOnly) -> std::vector<Group>
{
    const auto &step = *need.step_;
    const auto byRack = near && step.gang_ && step.prefersOneRack_ && need.count_ > 1;
    std::map<std::string, Group> groups;
    for (auto &candidate : candidates_) {
        const auto &rack = candidate.session_->entry_.rack_.value();
        if (!eligible(candidate, need) || (cleanOnly && !candidate.session_->troubledJobs_.empty())
            || (near && !step.dataRack_.empty() && rack != step.dataRack_)) {
            continue;
        }
        groups[byRack ? rack : std::string()].push_back(&candidate);
    }
    std::vector<Group> result;
    for (auto &[rack, group] : groups) {
        result.push_back(std::move(group));
    }
    return result;
}

auto Placement::fill(const Group &group, const UnitNeed &need) const -> std::vector<WorkerSession *>
{
    // Fullest workers first, so that large holes stay for large tasks.
    std::vector<std::pair<std::uint32_t, const Candidate *>> order;
    auto spareWorkers = idleWorkers_ > keptIdle_ ? idleWorkers_ - keptIdle_ : 0;
    for (const auto *candidate : group) {
        if (candidate->reserved_ && need.priority_ > 0) {
            continue;
        }
        if (need.priority_ > 0 && isIdle(*candidate)) {
            if (spareWorkers == 0) {
                continue;
            }
            --spareWorkers;
        }
        const auto &id = candidate->session_->entry_.id_;
        const auto fits = fitting(candidate->room_, need.step_->task_, limitAt(need, id, need.count_));
        if (fits > 0) {
            order.emplace_back(fits, candidate);
        }
    }
    const auto careful = isCareful(need);
    std::stable_sort(order.begin(), order.end(), [this, careful](const auto &left, const auto &right) {
        const auto leftProven = isProven(*left.second->session_);
        if (careful && leftProven != isProven(*right.second->session_)) {
            return leftProven;
        }
        return left.second->room_.accelerators_ < right.second->room_.accelerators_;
    });
    std::vector<WorkerSession *> workers;
    for (const auto &[fits, candidate] : order) {
        for (std::uint32_t i = 0; i < fits && workers.size() < need.count_; ++i) {
            workers.push_back(candidate->session_);
        }
    }
    return workers;
}

auto Placement::findRoom(const UnitNeed &need, bool near) -> std::optional<UnitPlacement>
{
    if (isCareful(need)) {
        if (auto choice = findRoomIn(groupsFor(need, near, true), need, near); choice) {
            return choice;
        }
    }
    return findRoomIn(groupsFor(need, near), need, near);
}

auto Placement::findRoomIn(const std::vector<Group> &groups, const UnitNeed &need, bool near) const -> std::optional<UnitPlacement>
{
    std::optional<UnitPlacement> best;
    std::pair<std::size_t, std::int64_t> bestMark;
    for (const auto &group : groups) {
        auto workers = fill(group, need);
        if (workers.empty() || (need.step_->gang_ && workers.size() < need.count_)) {
            continue;
        }
        // The rack with the least room that is left over, for the same reason as above.
        std::int64_t room = 0;
        for (const auto *candidate : group) {
            room += candidate->room_.accelerators_;
        }
        const auto unproven = std::count_if(workers.begin(), workers.end(), [this, &need](const WorkerSession *worker) {
            return isCareful(need) && !isProven(*worker);
        });
        const std::pair mark(static_cast<std::size_t>(unproven), room);
        if (!best || mark < bestMark) {
            best = UnitPlacement{std::move(workers), !near, {}};
            bestMark = mark;
        }
    }
    return best;
}

auto Placement::fillByFreeing(const Group &group, const UnitNeed &need, const CostOfRun &costOf) const -> std::optional<std::pair<UnitPlacement, double>>
{
    /// A number of tasks that fit at a worker once some of its runs are gone.
    struct Option {
        const Candidate *candidate_ = nullptr;
        std::uint32_t fits_ = 0;
        double cost_ = 0;
        std::vector<RunKey> victims_;
    };
    std::vector<Option> options;
    for (const auto *candidate : group) {
        auto *session = candidate->session_;
        const auto limit = limitAt(need, session->entry_.id_, need.count_);
        std::vector<std::pair<double, RunKey>> runs;
        for (const auto &[key, run] : session->runs_) {
            if (const auto cost = costOf(run); cost) {
                runs.emplace_back(*cost, key);
            }
        }
        // The cheapest runs go first, until as many tasks fit as may be placed here.
        std::sort(runs.begin(), runs.end());
        auto room = candidate->room_;
        Option option{candidate, fitting(room, need.step_->task_, limit), 0, {}};
        if (option.fits_ > 0) {
            options.push_back(option);
        }
        for (const auto &[cost, key] : runs) {
            room += session->runs_.at(key).demand_;
            option.cost_ += cost;
            option.victims_.push_back(key);
            const auto fits = fitting(room, need.step_->task_, limit);
            if (fits > option.fits_) {
                option.fits_ = fits;
                options.push_back(option);
            }
        }
    }
    std::stable_sort(options.begin(), options.end(), [](const Option &left, const Option &right) {
        return left.cost_ / left.fits_ < right.cost_ / right.fits_;
    });
    UnitPlacement placement;
    double cost = 0;
    std::set<const Candidate *> used;
    for (const auto &option : options) {
        if (placement.workers_.size() >= need.count_ || !used.insert(option.candidate_).second) {
            continue;
        }
        cost += option.cost_;
        for (std::uint32_t i = 0; i < option.fits_ && placement.workers_.size() < need.count_; ++i) {
            placement.workers_.push_back(option.candidate_->session_);
        }
        for (const auto &victim : option.victims_) {
            placement.victims_.emplace_back(option.candidate_->session_, victim);
        }
    }
    if (placement.workers_.size() < (need.step_->gang_ ? need.count_ : 1)) {
        return std::nullopt;
    }
    return std::pair(std::move(placement), cost);
}

auto Placement::cheapestFreeing(const UnitNeed &need, bool near, const CostOfRun &costOf) -> std::optional<UnitPlacement>
{
    std::optional<std::pair<UnitPlacement, double>> best;
    for (const auto &group : groupsFor(need, near)) {
        auto option = fillByFreeing(group, need, costOf);
        if (option && (!best || option->second < best->second)) {
            best = std::move(option);
        }
    }
    if (!best) {
        return std::nullopt;
    }
    best->first.far_ = !near;
    return std::move(best->first);
}

auto Placement::findRoomByPreemption(const UnitNeed &need, bool near) -> std::optional<UnitPlacement>
{
    return cheapestFreeing(need, near, [this, &need](const WorkerRun &run) -> std::optional<double> {
        if (run.stage_ == RunStage::Stopping) {
            return 0.0;
        }
        if (run.priority_ <= need.priority_ || run.stage_ == RunStage::Recorded) {
            return std::nullopt;
        }
        return lossOf(run, now_);
    });
}

auto Placement::findReservation(const UnitNeed &need, bool near) -> std::vector<WorkerSession *>
{
    const auto found = cheapestFreeing(need, near, [this](const WorkerRun &run) -> std::optional<double> {
        const auto left = std::chrono::duration<double>(run.expected_) - std::chrono::duration<double>(now_ - run.placedAt_);
        return std::max(0.1, left.count());
    });
    return found ? found->workers_ : std::vector<WorkerSession *>{};
}

auto Placement::couldBeNear(const UnitNeed &need) -> bool
{
    for (const auto &group : groupsFor(need, true)) {
        std::uint32_t fits = 0;
        for (const auto *candidate : group) {
            fits += fitting(candidate->session_->entry_.capacity_, need.step_->task_, limitAt(need, candidate->session_->entry_.id_, need.count_));
        }
        if (fits >= (need.step_->gang_ ? need.count_ : 1)) {
            return true;
        }
    }
    return false;
}

auto Placement::usedShare() const -> double
{
    std::int64_t capacity = 0;
    std::int64_t room = 0;
    for (const auto &candidate : candidates_) {
        capacity += candidate.session_->entry_.capacity_.accelerators_;
        room += candidate.room_.accelerators_;
    }
    return capacity == 0 ? 0.0 : 1.0 - static_cast<double>(room) / static_cast<double>(capacity);
}

auto Placement::roomFor(const UnitNeed &need) const -> RoomView
{
    RoomView view;
    for (const auto &candidate : candidates_) {
        if (!eligible(candidate, need)) {
            continue;
        }
        ++view.suitable_;
        if (candidate.room_.covers(need.step_->task_)) {
            ++view.withRoom_;
            view.reserved_ += candidate.reserved_ ? 1 : 0;
            view.idle_ += isIdle(candidate) ? 1 : 0;
        }
    }
    return view;
}

auto Placement::isCareful(const UnitNeed &need) -> bool
{
    return need.step_->gang_ || need.priority_ == 0;
}

auto Placement::isProven(const WorkerSession &session) const -> bool
{
    return now_ - session.provenAt_ <= ProofAge;
}

auto Placement::isIdle(const Candidate &candidate) -> bool
{
    return candidate.room_ == candidate.session_->entry_.capacity_;
}

auto Placement::take(WorkerSession &session, const ResourceVector &demand) -> void
{
    if (const auto found = indexes_.find(&session); found != indexes_.end()) {
        auto &candidate = candidates_[found->second];
        idleWorkers_ -= isIdle(candidate) ? 1 : 0;
        candidate.room_ -= demand;
    }
}

auto Placement::reserve(WorkerSession &session) -> void
{
    if (const auto found = indexes_.find(&session); found != indexes_.end()) {
        candidates_[found->second].reserved_ = true;
    }
}
} // namespace Marjoramfold
