#include "marjoramfold/placement/guaranteeledger.h"
#include "marjoramfold/placement/placer.h"
#include "marjoramfold/placement/preemptionplanner.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <algorithm>
#include <cstdlib>
#include <functional>
#include <map>
#include <numeric>

using namespace Marjoramfold;

namespace
{
// Fixes the rapidcheck seed, so that failures are reproducible. An RC_PARAMS in the environment has precedence.
const auto IsSeedFixed = setenv("RC_PARAMS", "seed=1 max_success=1000", 0) == 0;

constexpr int Accelerators = 4;
constexpr int WorkersPerRack = 2;

/// A small cluster with single-worker and spread gangs, each borrowed or guaranteed.
struct SmallCluster {
    ClusterState cluster_{1};
    std::vector<bool> preemptible_;
    std::vector<double> costs_;
};

auto makeCluster(int workers) -> SmallCluster
{
    SmallCluster small;
    for (auto i = 0; i < workers; ++i) {
        const WorkerInfo info{
            WorkerId("w" + std::to_string(i)), AvailabilityZoneId("a"), RackId("r" + std::to_string(i / WorkersPerRack)), {Accelerators, 64, 1'000}, {}};
        small.cluster_.addOrUpdateWorker(info, 0);
    }
    return small;
}

auto drawCluster() -> SmallCluster
{
    auto small = makeCluster(*rc::gen::inRange(1, 5));
    const auto workers = static_cast<WorkerIndex>(small.cluster_.workerCount());
    const auto gangs = *rc::gen::inRange<GangIndex>(0, 6);
    for (GangIndex gang = 0; gang < gangs; ++gang) {
        const Resources task{*rc::gen::inRange(1, 3), 1, 1};
        const auto tasks = *rc::gen::inRange(1, 4);
        for (auto i = 0; i < tasks; ++i) {
            const auto worker = *rc::gen::inRange<WorkerIndex>(0, workers);
            if (small.cluster_.worker(worker).free().covers(task)) {
                small.cluster_.reserve(worker, gang, task);
            }
        }
        small.preemptible_.push_back(*rc::gen::arbitrary<bool>());
        small.costs_.push_back(*rc::gen::inRange(1, 100));
    }
    return small;
}

auto drawShape() -> GangShape
{
    const auto adjacency = *rc::gen::element(Adjacency::None, Adjacency::Worker, Adjacency::Rack);
    return {{*rc::gen::inRange(1, 5), 1, 1}, *rc::gen::inRange(1, 5), adjacency};
}

/// Whether a gang fits without the gangs in the mask, by counting tasks per worker.
auto fitsWithout(const SmallCluster &small, const GangShape &shape, unsigned evicted) -> bool
{
    std::map<RackIndex, int> byRack;
    auto total = 0;
    auto most = 0;
    for (WorkerIndex worker = 0; worker < small.cluster_.workerCount(); ++worker) {
        const auto &record = small.cluster_.worker(worker);
        auto free = record.free();
        for (const auto &reservation : record.gangs_) {
            if ((evicted >> reservation.gang_ & 1U) != 0) {
                free += resourcesOf(reservation.task_, reservation.tasks_);
            }
        }
        const auto tasks = tasksThatFit(free, shape.task_, shape.tasks_);
        total += tasks;
        most = std::max(most, tasks);
        byRack[record.rack_] += tasks;
    }
    if (shape.adjacency_ == Adjacency::Worker) {
        return most >= shape.tasks_;
    }
    if (shape.adjacency_ == Adjacency::Rack && shape.tasks_ > 1) {
        return std::any_of(byRack.begin(), byRack.end(), [&shape](const auto &rack) {
            return rack.second >= shape.tasks_;
        });
    }
    return total >= shape.tasks_;
}

auto tasksOf(const GangPlacement &placement) -> int
{
    return std::accumulate(placement.begin(), placement.end(), 0, [](int sum, const WorkerAllocation &allocation) {
        return sum + allocation.tasks_;
    });
}

/// Whether shapes fit on workers, by exhaustive search.
auto formableBySearch(std::vector<int> available, const std::vector<int> &shapes, std::size_t next = 0) -> bool
{
    if (next == shapes.size()) {
        return true;
    }
    for (auto &free : available) {
        if (free >= shapes[next]) {
            free -= shapes[next];
            const auto fits = formableBySearch(available, shapes, next + 1);
            free += shapes[next];
            if (fits) {
                return true;
            }
        }
    }
    return false;
}
} // namespace

// Guards against gangs that wait although they fit on free workers, and against placements that do not fit.
TEST_CASE("the placer finds a placement exactly when one exists", "[placement]")
{
    REQUIRE(rc::check([] {
        const auto small = drawCluster();
        const auto shape = drawShape();
        const auto placement = Placer(small.cluster_).place(shape, 0);
        RC_ASSERT(placement.has_value() == fitsWithout(small, shape, 0));
        if (placement) {
            RC_ASSERT(tasksOf(*placement) == shape.tasks_);
            for (const auto &allocation : *placement) {
                RC_ASSERT(small.cluster_.worker(allocation.worker_).free().covers(resourcesOf(shape.task_, allocation.tasks_)));
            }
        }
    }));
}

// Guards against guarantees that cannot be reclaimed although evictions would free enough, and against unneeded or forbidden evictions.
TEST_CASE("preemption succeeds exactly when an exhaustive search does, with whole, permitted and needed victims", "[placement]")
{
    REQUIRE(rc::check([] {
        const auto small = drawCluster();
        const auto shape = drawShape();
        const auto costOf = [&small](GangIndex gang) -> std::optional<double> {
            return small.preemptible_[gang] ? std::optional(small.costs_[gang]) : std::nullopt;
        };
        const auto plan = PreemptionPlanner(small.cluster_).plan(shape, 0, costOf);
        const auto gangs = small.preemptible_.size();
        auto isPossible = false;
        for (auto evicted = 0U; evicted < 1U << gangs; ++evicted) {
            auto isPermitted = true;
            for (std::size_t gang = 0; gang < gangs; ++gang) {
                isPermitted = isPermitted && ((evicted >> gang & 1U) == 0 || small.preemptible_[gang]);
            }
            isPossible = isPossible || (isPermitted && fitsWithout(small, shape, evicted));
        }
        RC_ASSERT(plan.has_value() == isPossible);
        if (!plan) {
            return;
        }
        auto evicted = 0U;
        for (const auto victim : plan->victims_) {
            RC_ASSERT(small.preemptible_[victim]);
            RC_ASSERT((evicted >> victim & 1U) == 0U);
            evicted |= 1U << victim;
        }
        RC_ASSERT(fitsWithout(small, shape, evicted));
        RC_ASSERT(tasksOf(plan->placement_) == shape.tasks_);
        RC_ASSERT(evicted == 0U || !fitsWithout(small, shape, 0));
    }));
}

// Guards against unused guarantees that count as formable although no assignment of shapes to workers exists.
TEST_CASE("shapes are formable exactly when an exhaustive search finds an assignment", "[placement]")
{
    REQUIRE(rc::check([] {
        const auto available = *rc::gen::container<std::vector<int>>(*rc::gen::inRange(1, 5), rc::gen::inRange(0, 9));
        // Sizes that divide each other, for which the result is exact.
        const auto shapes = *rc::gen::container<std::vector<int>>(*rc::gen::inRange(0, 6), rc::gen::element(1, 2, 4, 8));
        AcceleratorHistogram workers(9, 0);
        for (const auto free : available) {
            ++workers[static_cast<std::size_t>(free)];
        }
        AcceleratorHistogram wanted(9, 0);
        for (const auto size : shapes) {
            ++wanted[static_cast<std::size_t>(size)];
        }
        auto sorted = shapes;
        std::sort(sorted.rbegin(), sorted.rend());
        RC_ASSERT((unformableAccelerators(workers, wanted) == 0) == formableBySearch(available, sorted));
    }));
}

// Guards against unformable shapes that count as formable when their sizes do not divide each other.
TEST_CASE("an unformable set of shapes never counts as formable, whatever the sizes", "[placement]")
{
    REQUIRE(rc::check([] {
        const auto available = *rc::gen::container<std::vector<int>>(*rc::gen::inRange(1, 5), rc::gen::inRange(0, 9));
        const auto shapes = *rc::gen::container<std::vector<int>>(*rc::gen::inRange(0, 6), rc::gen::inRange(1, 9));
        AcceleratorHistogram workers(9, 0);
        for (const auto free : available) {
            ++workers[static_cast<std::size_t>(free)];
        }
        AcceleratorHistogram wanted(9, 0);
        for (const auto size : shapes) {
            ++wanted[static_cast<std::size_t>(size)];
        }
        RC_ASSERT(unformableAccelerators(workers, wanted) > 0 || formableBySearch(available, shapes));
    }));
}

SCENARIO("placement keeps whole workers and racks free", "[placement]")
{
    auto small = makeCluster(4);
    small.cluster_.reserve(1, 0, {2, 1, 1});
    const Placer placer(small.cluster_);
    THEN("a small task goes to the partly used worker")
    {
        REQUIRE(placer.place({{2, 1, 1}, 1, Adjacency::None}, 0)->front().worker_ == 1);
    }
    THEN("a task for a whole worker goes to the partly used rack")
    {
        REQUIRE(placer.place({{4, 1, 1}, 1, Adjacency::None}, 0)->front().worker_ == 0);
    }
    THEN("a gang in one rack uses the empty rack only when it does not fit in the other")
    {
        REQUIRE(placer.place({{2, 1, 1}, 3, Adjacency::Rack}, 0)->front().worker_ <= 1);
        REQUIRE(placer.place({{4, 1, 1}, 2, Adjacency::Rack}, 0)->front().worker_ >= 2);
    }
}
