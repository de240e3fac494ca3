#include "marjoramfold/dispatch/removalplan.h"

#include <algorithm>
#include <cmath>
#include <cstddef>
#include <functional>
#include <limits>
#include <queue>
#include <utility>

namespace Marjoramfold
{
namespace
{
/// Share of a charge that the cost may add to the weight where units are chosen by their charges; it decides between equal charges only.
constexpr double CostShareOfCharge = 1e-3;

/// How much of what a worker lacks for one task a unit frees there: the sum over the resources of which too little is free.
auto usefulShare(const ResourceVector &freed, const ResourceVector &free, const ResourceVector &task) -> double
{
    const auto share = [](std::int64_t freedAmount, std::int64_t available, std::int64_t needed) {
        return available >= needed || needed <= 0 ? 0.0 : static_cast<double>(std::min(freedAmount, needed)) / static_cast<double>(needed);
    };
    return share(freed.milliCores_, free.milliCores_, task.milliCores_) + share(freed.memoryMb_, free.memoryMb_, task.memoryMb_)
        + share(freed.accelerators_, free.accelerators_, task.accelerators_);
}

/// Chooses units of one problem by given weights, in turns: each turn takes the units of one worker that make room for tasks at the smallest
/// weight per task, counted on all workers that the units use.
class GreedySearch
{
public:
    GreedySearch(const RemovalProblem &problem, std::vector<double> weights)
        : problem_(problem)
        , weights_(std::move(weights))
        , accounts_(problem.accounts_)
        , taken_(problem.units_.size(), false)
        , unitsAt_(problem.workers_.size())
    {
        free_.reserve(problem.workers_.size());
        for (const auto &worker : problem.workers_) {
            free_.push_back(worker.free_);
            fits_.push_back(fittingTasks(worker.free_, problem.task_, worker.limit_));
            total_ += fits_.back();
        }
        for (std::size_t unit = 0; unit < problem.units_.size(); ++unit) {
            for (auto i = problem.units_[unit].firstFreed_; i < problem.units_[unit].endFreed_; ++i) {
                unitsAt_[problem.freed_[i].first].push_back({unit, problem.freed_[i].second});
            }
        }
    }

    /// Takes units until all wanted tasks fit, or no further task can be made to fit. Returns false if fewer than the required ones do.
    auto run() -> bool
    {
        // Units that cost nothing end in any case, so their capacity is counted before others are stopped.
        for (std::size_t unit = 0; unit < weights_.size(); ++unit) {
            if (weights_[unit] <= 0 && isAffordable(unit)) {
                take(unit);
            }
        }
        if (total_ < problem_.count_ && canSuffice()) {
            takeCheapest();
        }
        if (total_ < problem_.required_) {
            return false;
        }
        dropRedundant();
        return true;
    }

    /// The result of run().
    [[nodiscard]] auto plan() const -> RemovalPlan
    {
        RemovalPlan plan;
        std::vector<bool> isFreed(problem_.workers_.size(), false);
        for (std::size_t unit = 0; unit < taken_.size(); ++unit) {
            if (taken_[unit]) {
                plan.units_.push_back(unit);
                plan.cost_ += problem_.units_[unit].cost_;
                for (auto i = problem_.units_[unit].firstFreed_; i < problem_.units_[unit].endFreed_; ++i) {
                    isFreed[problem_.freed_[i].first] = true;
                }
            }
        }
        // Workers with room now come first; what they hold was counted when the units were chosen.
        for (const auto freed : {false, true}) {
            for (std::size_t worker = 0; worker < fits_.size(); ++worker) {
                for (std::uint32_t i = 0; isFreed[worker] == freed && i < fits_[worker] && plan.taskWorkers_.size() < problem_.count_; ++i) {
                    plan.taskWorkers_.push_back(worker);
                }
            }
        }
        return plan;
    }

private:
    /// A unit that uses a worker, with the capacity that it frees there.
    struct UnitAt {
        std::size_t unit_ = 0;
        ResourceVector freed_;
    };

    /// Weight per task of a worker's best choice; out of date once a unit was taken after `turn_`.
    struct Entry {
        double ratio_ = 0;
        std::size_t worker_ = 0;
        std::size_t turn_ = 0;

        auto operator>(const Entry &other) const -> bool
        {
            return std::pair(ratio_, worker_) > std::pair(other.ratio_, other.worker_);
        }
    };

    [[nodiscard]] auto isAffordable(std::size_t unit) const -> bool
    {
        const auto &account = problem_.units_[unit].account_;
        return !account || accounts_[*account] >= problem_.units_[unit].charge_;
    }

    auto take(std::size_t unit) -> void
    {
        taken_[unit] = true;
        change(unit, 1);
    }

    auto giveBack(std::size_t unit) -> void
    {
        taken_[unit] = false;
        change(unit, -1);
    }

    /// Adds (1) or removes (-1) a unit's capacity on all its workers.
    auto change(std::size_t unit, int sign) -> void
    {
        const auto &entry = problem_.units_[unit];
        if (entry.account_) {
            accounts_[*entry.account_] -= sign * entry.charge_;
        }
        for (auto i = entry.firstFreed_; i < entry.endFreed_; ++i) {
            const auto &[worker, freed] = problem_.freed_[i];
            if (sign > 0) {
                free_[worker] += freed;
            } else {
                free_[worker] -= freed;
            }
            total_ -= fits_[worker];
            fits_[worker] = fittingTasks(free_[worker], problem_.task_, problem_.workers_[worker].limit_);
            total_ += fits_[worker];
        }
    }

    /// False when the required tasks would not even fit without any units; the accounts are left aside.
    [[nodiscard]] auto canSuffice() const -> bool
    {
        std::uint64_t total = 0;
        for (std::size_t worker = 0; worker < free_.size() && total < problem_.required_; ++worker) {
            auto free = free_[worker];
            for (const auto &[unit, freed] : unitsAt_[worker]) {
                if (!taken_[unit]) {
                    free += freed;
                }
            }
            total += fittingTasks(free, problem_.task_, problem_.workers_[worker].limit_);
        }
        return total >= problem_.required_;
    }

    auto takeCheapest() -> void
    {
        std::priority_queue<Entry, std::vector<Entry>, std::greater<>> queue;
        std::vector<std::size_t> units;
        for (std::size_t worker = 0; worker < unitsAt_.size(); ++worker) {
            if (const auto ratio = bestChoiceAt(worker, units); !units.empty()) {
                queue.push({ratio, worker, 0});
            }
        }
        std::size_t turn = 0;
        while (!queue.empty() && total_ < problem_.count_) {
            const auto entry = queue.top();
            queue.pop();
            const auto ratio = bestChoiceAt(entry.worker_, units);
            if (units.empty()) {
                continue;
            }
            if (entry.turn_ != turn && !queue.empty() && ratio > queue.top().ratio_) {
                queue.push({ratio, entry.worker_, turn});
                continue;
            }
            ++turn;
            for (const auto unit : units) {
                take(unit);
            }
            pushWorkersOf(units, turn, queue);
        }
    }

    /// Room next to what the units have freed may have become cheaper to complete.
    template<typename Queue>
    auto pushWorkersOf(const std::vector<std::size_t> &units, std::size_t turn, Queue &queue) -> void
    {
        std::vector<std::size_t> touched;
        for (const auto unit : units) {
            for (auto i = problem_.units_[unit].firstFreed_; i < problem_.units_[unit].endFreed_; ++i) {
                touched.push_back(problem_.freed_[i].first);
            }
        }
        std::sort(touched.begin(), touched.end());
        touched.erase(std::unique(touched.begin(), touched.end()), touched.end());
        std::vector<std::size_t> choice;
        for (const auto worker : touched) {
            if (const auto ratio = bestChoiceAt(worker, choice); !choice.empty()) {
                queue.push({ratio, worker, turn});
            }
        }
    }

    /// The units at a worker that make room at the smallest weight per task, and that weight; no units when none make room.
    auto bestChoiceAt(std::size_t worker, std::vector<std::size_t> &units) -> double
    {
        units.clear();
        auto best = std::numeric_limits<double>::infinity();
        order_.clear();
        for (const auto &[unit, freed] : unitsAt_[worker]) {
            if (!taken_[unit] && isAffordable(unit)) {
                const auto share = usefulShareOf(unit);
                order_.push_back({weights_[unit], share > 0 ? weights_[unit] / share : std::numeric_limits<double>::infinity(), unit});
            }
        }
        // Units of the smallest weight first are right where any of them makes room, those of the smallest weight per useful capacity where
        // several have to go.
        std::sort(order_.begin(), order_.end(), [](const Ordered &left, const Ordered &right) {
            return std::pair(left.weight_, left.unit_) < std::pair(right.weight_, right.unit_);
        });
        tryOrder(best, units);
        const auto isSameOrder = std::is_sorted(order_.begin(), order_.end(), [](const Ordered &left, const Ordered &right) {
            return left.density_ < right.density_;
        });
        if (!isSameOrder) {
            std::sort(order_.begin(), order_.end(), [](const Ordered &left, const Ordered &right) {
                return std::pair(left.density_, left.unit_) < std::pair(right.density_, right.unit_);
            });
            tryOrder(best, units);
        }
        return best;
    }

    /// How much of what the workers of a unit lack for a task each it frees there.
    [[nodiscard]] auto usefulShareOf(std::size_t unit) const -> double
    {
        auto sum = 0.0;
        for (auto i = problem_.units_[unit].firstFreed_; i < problem_.units_[unit].endFreed_; ++i) {
            const auto &[worker, freed] = problem_.freed_[i];
            sum += usefulShare(freed, free_[worker], problem_.task_);
        }
        return sum;
    }

    /// Takes units in the order of `order_` until all wanted tasks fit, and gives them back. Sets `best` and `units` if a part of them is better.
    auto tryOrder(double &best, std::vector<std::size_t> &units) -> void
    {
        const auto before = total_;
        auto bestRatio = std::numeric_limits<double>::infinity();
        std::size_t bestSize = 0;
        auto weight = 0.0;
        chosen_.clear();
        for (const auto &[unitWeight, density, unit] : order_) {
            if (before + gainOf(before) >= problem_.count_) {
                break;
            }
            if (!isAffordable(unit)) {
                continue;
            }
            const auto gained = gainOf(before);
            take(unit);
            chosen_.push_back(unit);
            weight += unitWeight;
            if (gainOf(before) > gained && weight / static_cast<double>(gainOf(before)) < bestRatio) {
                bestRatio = weight / static_cast<double>(gainOf(before));
                bestSize = chosen_.size();
            }
        }
        while (chosen_.size() > bestSize) {
            giveBack(chosen_.back());
            chosen_.pop_back();
        }
        if (bestSize > 0) {
            weight = dropRedundantOf(chosen_, std::min<std::uint64_t>(total_, problem_.count_));
            const auto ratio = weight / static_cast<double>(gainOf(before));
            if (ratio < best) {
                best = ratio;
                units = chosen_;
            }
        }
        for (const auto unit : chosen_) {
            giveBack(unit);
        }
    }

    /// Number of wanted tasks that fit beyond those that fitted before.
    [[nodiscard]] auto gainOf(std::uint64_t before) const -> std::uint64_t
    {
        return std::min<std::uint64_t>(total_, problem_.count_) - std::min<std::uint64_t>(before, problem_.count_);
    }

    /// Gives back the units, the heaviest first, without which as many tasks fit. Returns the weight of the rest.
    auto dropRedundantOf(std::vector<std::size_t> &units, std::uint64_t goal) -> double
    {
        std::sort(units.begin(), units.end(), [this](std::size_t left, std::size_t right) {
            return std::pair(weights_[left], left) > std::pair(weights_[right], right);
        });
        auto weight = 0.0;
        std::vector<std::size_t> kept;
        for (const auto unit : units) {
            giveBack(unit);
            if (total_ < goal) {
                take(unit);
                kept.push_back(unit);
                weight += weights_[unit];
            }
        }
        units = std::move(kept);
        return weight;
    }

    auto dropRedundant() -> void
    {
        std::vector<std::size_t> units;
        for (std::size_t unit = 0; unit < taken_.size(); ++unit) {
            if (taken_[unit]) {
                units.push_back(unit);
            }
        }
        dropRedundantOf(units, std::min<std::uint64_t>(total_, problem_.count_));
    }

    /// A unit with what it is sorted by.
    struct Ordered {
        double weight_ = 0;
        double density_ = 0;
        std::size_t unit_ = 0;
    };

    const RemovalProblem &problem_;
    std::vector<double> weights_;
    std::vector<std::int64_t> accounts_;
    std::vector<bool> taken_;
    std::vector<std::vector<UnitAt>> unitsAt_;
    std::vector<ResourceVector> free_;
    /// Number of tasks that fit on each worker, and their sum.
    std::vector<std::uint32_t> fits_;
    std::uint64_t total_ = 0;
    std::vector<Ordered> order_;
    std::vector<std::size_t> chosen_;
};

auto costsOf(const RemovalProblem &problem) -> std::vector<double>
{
    std::vector<double> weights;
    weights.reserve(problem.units_.size());
    for (const auto &unit : problem.units_) {
        weights.push_back(unit.cost_);
    }
    return weights;
}

/// Weights for the case that the cheapest units use up the accounts before all tasks fit.
auto chargesOf(const RemovalProblem &problem, double power) -> std::vector<double>
{
    auto largestCost = 1.0;
    for (const auto &unit : problem.units_) {
        largestCost = std::max(largestCost, unit.cost_);
    }
    std::vector<double> weights;
    weights.reserve(problem.units_.size());
    for (const auto &unit : problem.units_) {
        weights.push_back((unit.account_ ? std::pow(static_cast<double>(unit.charge_), power) : 0.0) + CostShareOfCharge * unit.cost_ / largestCost);
    }
    return weights;
}
} // namespace

auto RemovalProblem::addUnit(double cost, const std::vector<FreedCapacity> &freed) -> void
{
    units_.push_back({cost, freed_.size(), freed_.size() + freed.size()});
    freed_.insert(freed_.end(), freed.begin(), freed.end());
}

auto planRemoval(const RemovalProblem &problem) -> std::optional<RemovalPlan>
{
    if (GreedySearch search(problem, costsOf(problem)); search.run()) {
        return search.plan();
    }
    if (!problem.accounts_.empty()) {
        for (const auto power : {1.0, 0.5, 2.0}) {
            if (GreedySearch search(problem, chargesOf(problem, power)); search.run()) {
                return search.plan();
            }
        }
    }
    return std::nullopt;
}
} // namespace Marjoramfold
