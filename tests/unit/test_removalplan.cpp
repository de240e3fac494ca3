#include "marjoramfold/dispatch/removalplan.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <map>
#include <random>
#include <string>
#include <vector>

using namespace Marjoramfold;

// Which units of runs have to end so that tasks fit.

namespace
{
constexpr std::int64_t WorkerAccelerators = 8;

auto resources(std::int64_t accelerators) -> ResourceVector
{
    return {accelerators * 3'000, accelerators * 10'000, accelerators};
}

/// A problem of equal workers, first full of runs.
auto makeProblem(std::size_t workers, std::int64_t accelerators, std::uint32_t count, bool gang) -> RemovalProblem
{
    RemovalProblem problem;
    problem.task_ = resources(accelerators);
    problem.count_ = count;
    problem.required_ = gang ? count : 1;
    problem.workers_.assign(workers, {resources(0), count});
    return problem;
}

/// Number of wanted tasks that fit once units have ended; none when an account does not allow them.
auto fittingAfter(const RemovalProblem &problem, const std::vector<std::size_t> &units) -> std::uint32_t
{
    std::vector<ResourceVector> free;
    for (const auto &worker : problem.workers_) {
        free.push_back(worker.free_);
    }
    auto accounts = problem.accounts_;
    for (const auto index : units) {
        const auto &unit = problem.units_[index];
        if (unit.account_) {
            accounts[*unit.account_] -= unit.charge_;
        }
        for (auto i = unit.firstFreed_; i < unit.endFreed_; ++i) {
            free[problem.freed_[i].first] += problem.freed_[i].second;
        }
    }
    if (std::any_of(accounts.begin(), accounts.end(), [](std::int64_t left) {
            return left < 0;
        })) {
        return 0;
    }
    std::uint32_t fits = 0;
    for (std::size_t worker = 0; worker < free.size(); ++worker) {
        for (std::uint32_t i = 0; i < problem.workers_[worker].limit_ && free[worker].covers(problem.task_); ++i) {
            free[worker] -= problem.task_;
            ++fits;
        }
    }
    return std::min(fits, problem.count_);
}

/// Result of trying all sets of units.
struct BruteForce {
    std::uint32_t mostFitting_ = 0;
    /// Smallest cost at which that many tasks fit.
    double cost_ = 0;
};

auto tryAllSets(const RemovalProblem &problem) -> BruteForce
{
    BruteForce best;
    for (std::uint32_t set = 0; set < (1U << problem.units_.size()); ++set) {
        std::vector<std::size_t> units;
        auto cost = 0.0;
        for (std::size_t unit = 0; unit < problem.units_.size(); ++unit) {
            if ((set >> unit & 1U) != 0) {
                units.push_back(unit);
                cost += problem.units_[unit].cost_;
            }
        }
        const auto fits = fittingAfter(problem, units);
        if (fits > best.mostFitting_ || (fits == best.mostFitting_ && cost < best.cost_)) {
            best = {fits, cost};
        }
    }
    return best;
}

/// Fails the test unless the plan's tasks fit and each of its units is needed.
auto requireSound(const RemovalProblem &problem, const RemovalPlan &plan) -> void
{
    REQUIRE(plan.taskWorkers_.size() >= problem.required_);
    REQUIRE(fittingAfter(problem, plan.units_) == plan.taskWorkers_.size());
    std::map<std::size_t, std::uint32_t> tasksAt;
    for (const auto worker : plan.taskWorkers_) {
        ++tasksAt[worker];
    }
    for (const auto &[worker, tasks] : tasksAt) {
        auto free = problem.workers_[worker].free_;
        for (const auto unit : plan.units_) {
            for (auto i = problem.units_[unit].firstFreed_; i < problem.units_[unit].endFreed_; ++i) {
                free += problem.freed_[i].first == worker ? problem.freed_[i].second : ResourceVector{};
            }
        }
        REQUIRE(tasks <= problem.workers_[worker].limit_);
        for (std::uint32_t i = 0; i < tasks; ++i) {
            REQUIRE(free.covers(problem.task_));
            free -= problem.task_;
        }
    }
    for (std::size_t i = 0; i < plan.units_.size(); ++i) {
        auto fewer = plan.units_;
        fewer.erase(fewer.begin() + static_cast<std::ptrdiff_t>(i));
        REQUIRE(fittingAfter(problem, fewer) < plan.taskWorkers_.size());
    }
}

/// A kind of small fleet and request.
struct Family {
    std::string name_;
    std::size_t workers_;
    std::int64_t accelerators_;
    std::uint32_t count_;
    bool gang_;
    /// Share of the units that are gangs over several workers.
    double gangs_;
    /// Members of gangs may also be outside of the rack, where their capacity is of no use.
    bool oneRack_;
    bool accounts_;
};

/// A random fleet of the family, with up to 12 units that fill it.
auto randomProblem(const Family &family, std::mt19937 &random) -> RemovalProblem
{
    const auto upTo = [&random](int limit) {
        return static_cast<std::int64_t>(random() % static_cast<unsigned>(limit));
    };
    auto problem = makeProblem(family.workers_, family.accelerators_, family.count_, family.gang_);
    if (family.accounts_) {
        problem.accounts_ = {upTo(25), upTo(25)};
    }
    std::vector<std::int64_t> left(family.workers_, WorkerAccelerators);
    for (int unit = 0; unit < 12; ++unit) {
        const auto size = std::int64_t{1} << upTo(4);
        const auto isGang = static_cast<double>(upTo(100)) < 100 * family.gangs_;
        std::vector<FreedCapacity> freed;
        std::int64_t total = 0;
        for (std::size_t i = 0, first = static_cast<std::size_t>(upTo(static_cast<int>(family.workers_))); i < (isGang ? family.workers_ : 1); ++i) {
            const auto worker = (first + i) % family.workers_;
            const auto each = std::min(size, left[worker]);
            if (each > 0 && (!isGang || i == 0 || upTo(2) == 0)) {
                left[worker] -= each;
                total += each;
                freed.emplace_back(worker, resources(each));
            }
        }
        if (freed.empty()) {
            continue;
        }
        const auto outside = family.oneRack_ && isGang ? upTo(8) : 0;
        problem.addUnit(static_cast<double>((total + outside) * (10 + upTo(100))), freed);
        if (family.accounts_ && upTo(4) > 0) {
            problem.units_.back().account_ = static_cast<std::size_t>(upTo(2));
            problem.units_.back().charge_ = total + outside;
        }
    }
    for (std::size_t worker = 0; worker < family.workers_; ++worker) {
        problem.workers_[worker].free_ = resources(left[worker]);
    }
    return problem;
}
} // namespace

TEST_CASE("units to end: the result is compared with all sets of units on small fleets", "[dispatch][removal]")
{
    // Guards against victims that do not make room for the whole request, and against a search that overlooks much cheaper ones.
    const std::vector<Family> families{
        {"independent tasks", 4, 2, 5, false, 0.0, false, false},
        {"independent tasks beside gangs", 4, 2, 5, false, 0.5, false, false},
        {"a gang on one worker", 1, 2, 3, true, 0.0, false, false},
        {"a gang over several workers", 4, 4, 4, true, 0.5, false, false},
        {"a gang in one rack", 3, 4, 4, true, 0.6, true, false},
        {"a gang wider than the number of workers", 3, 1, 13, true, 0.5, false, false},
        {"whole workers", 4, 8, 2, true, 0.5, false, false},
        {"a gang within accounts", 4, 2, 6, true, 0.5, true, true},
        {"whole workers within accounts", 4, 8, 2, true, 0.5, true, true},
        {"independent tasks within accounts", 4, 2, 5, false, 0.5, true, true},
    };
    for (const auto &family : families) {
        std::mt19937 random(1);
        int possible = 0;
        int found = 0;
        int fewer = 0;
        auto sumOfRatios = 0.0;
        auto largestRatio = 0.0;
        for (int i = 0; i < 300; ++i) {
            const auto problem = randomProblem(family, random);
            const auto brute = tryAllSets(problem);
            const auto plan = planRemoval(problem);
            INFO(family.name_ << ", fleet " << i);
            if (brute.mostFitting_ < problem.required_) {
                REQUIRE_FALSE(plan);
                continue;
            }
            ++possible;
            if (!plan) {
                continue;
            }
            requireSound(problem, *plan);
            ++found;
            if (plan->taskWorkers_.size() < brute.mostFitting_) {
                ++fewer;
                continue;
            }
            const auto ratio = brute.cost_ > 0 ? plan->cost_ / brute.cost_ : 1.0;
            sumOfRatios += ratio;
            largestRatio = std::max(largestRatio, ratio);
        }
        INFO(family.name_ << ": " << found << " of " << possible << ", " << fewer << " with fewer tasks, cost " << sumOfRatios / (found - fewer)
                          << " of the smallest, at most " << largestRatio);
        // Without accounts, more units never make less room, so a set that suffices is always found.
        CHECK(found >= (family.accounts_ ? 0.98 : 1.0) * possible);
        CHECK(fewer <= (family.accounts_ ? 0.05 : 0.0) * possible);
        CHECK(sumOfRatios <= 1.06 * (found - fewer));
        CHECK((family.accounts_ || largestRatio <= 2.0));
    }
}

TEST_CASE("units to end: what decides between them", "[dispatch][removal]")
{
    SECTION("the capacity of a gang counts on all its workers, and its cost once")
    {
        // Guards against victims that are chosen worker by worker, by which a gang of small members is never worth its cost.
        auto problem = makeProblem(2, 4, 2, true);
        problem.addUnit(10, {{0, resources(4)}, {1, resources(4)}});
        problem.addUnit(6, {{0, resources(4)}});
        problem.addUnit(6, {{1, resources(4)}});
        const auto plan = planRemoval(problem);
        REQUIRE(plan);
        CHECK(plan->units_ == std::vector<std::size_t>{0});
        CHECK(plan->cost_ == 10);
        CHECK(plan->taskWorkers_ == std::vector<std::size_t>{0, 1});
    }

    SECTION("a gang per worker, of which an account allows three")
    {
        // Guards against the fault of review/8: one member on each of several workers uses up the account before eight tasks fit.
        auto problem = makeProblem(6, 1, 8, true);
        problem.accounts_ = {24};
        for (std::size_t worker = 0; worker < 6; ++worker) {
            problem.addUnit(100, {{worker, resources(8)}});
            problem.units_.back().account_ = 0;
            problem.units_.back().charge_ = 8;
        }
        const auto plan = planRemoval(problem);
        REQUIRE(plan);
        CHECK(plan->units_.size() == 1);
        CHECK(plan->taskWorkers_.size() == 8);
    }

    SECTION("units with small charges are taken when cheaper ones use up the account")
    {
        // The cheaper unit frees little of the rack and charges the whole gang.
        auto problem = makeProblem(2, 4, 2, true);
        problem.accounts_ = {8};
        problem.addUnit(1, {{0, resources(4)}});
        problem.addUnit(20, {{0, resources(4)}});
        problem.addUnit(20, {{1, resources(4)}});
        for (auto &unit : problem.units_) {
            unit.account_ = 0;
            unit.charge_ = unit.cost_ < 2 ? 8 : 4;
        }
        const auto plan = planRemoval(problem);
        REQUIRE(plan);
        CHECK(plan->units_ == std::vector<std::size_t>{1, 2});
    }

    SECTION("what ends in any case is counted before anything else is stopped")
    {
        auto problem = makeProblem(3, 8, 1, false);
        problem.addUnit(5, {{0, resources(8)}});
        problem.addUnit(0, {{1, resources(8)}});
        problem.addUnit(0, {{2, resources(8)}});
        const auto plan = planRemoval(problem);
        REQUIRE(plan);
        CHECK(plan->cost_ == 0);
        CHECK(plan->units_.size() == 1);
    }

    SECTION("nothing is ended for a gang that would not fit afterwards")
    {
        auto problem = makeProblem(2, 8, 3, true);
        problem.addUnit(5, {{0, resources(8)}});
        problem.addUnit(5, {{1, resources(8)}});
        CHECK_FALSE(planRemoval(problem));
    }

    SECTION("as many independent tasks as fit, within the limit of each worker")
    {
        auto problem = makeProblem(2, 2, 5, false);
        problem.workers_[0].limit_ = 1;
        problem.addUnit(5, {{0, resources(8)}});
        problem.addUnit(5, {{1, resources(8)}});
        const auto plan = planRemoval(problem);
        REQUIRE(plan);
        CHECK(plan->taskWorkers_ == std::vector<std::size_t>{0, 1, 1, 1, 1});
    }

    SECTION("capacity that is promised to other tasks is not used twice")
    {
        auto problem = makeProblem(1, 8, 1, false);
        problem.workers_[0].free_ = {-24'000, -80'000, -8};
        problem.addUnit(5, {{0, resources(8)}});
        CHECK_FALSE(planRemoval(problem));
    }
}
