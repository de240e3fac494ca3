#include "marjoramfold/dispatch/failedrequests.h"
#include "marjoramfold/dispatch/workerselector.h"

#include <catch2/catch.hpp>

using namespace Marjoramfold;
using namespace std::chrono_literals;

namespace
{
using Search = FailedRequests::Search;

auto makeStep(std::uint32_t count, std::int64_t accelerators, bool gang) -> StepPlan
{
    StepPlan step;
    step.count_ = count;
    step.task_ = {11'000, 46'000, accelerators};
    step.gang_ = gang;
    return step;
}

auto makeRequest(const StepPlan &step) -> PlacementRequest
{
    return {&step, "pool", step.count_, 2, false, {}, {}, {}};
}
} // namespace

TEST_CASE("a pass searches once for requests of a shape that does not fit", "[dispatch]")
{
    FailedRequests failed;

    SECTION("a gang that is not smaller does not fit either")
    {
        const auto four = makeStep(4, 8, true);
        const auto six = makeStep(6, 8, true);
        const auto three = makeStep(3, 8, true);
        failed.add(makeRequest(four), true, Search::FreeCapacity);
        CHECK(failed.contains(makeRequest(four), true, Search::FreeCapacity));
        CHECK(failed.contains(makeRequest(six), true, Search::FreeCapacity));
        CHECK_FALSE(failed.contains(makeRequest(three), true, Search::FreeCapacity));
    }

    SECTION("for independent tasks the number does not matter")
    {
        const auto many = makeStep(40, 1, false);
        const auto one = makeStep(1, 1, false);
        failed.add(makeRequest(many), true, Search::FreeCapacity);
        CHECK(failed.contains(makeRequest(one), true, Search::FreeCapacity));
    }

    SECTION("other shapes, priorities, places and searches are searched for")
    {
        const auto step = makeStep(4, 2, true);
        failed.add(makeRequest(step), true, Search::FreeCapacity);
        const auto smaller = makeStep(4, 1, true);
        auto elsewhere = step;
        elsewhere.dataRack_ = "r1-1";
        auto urgent = makeRequest(step);
        urgent.priority_ = 0;
        CHECK_FALSE(failed.contains(makeRequest(smaller), true, Search::FreeCapacity));
        CHECK_FALSE(failed.contains(makeRequest(elsewhere), true, Search::FreeCapacity));
        CHECK_FALSE(failed.contains(urgent, true, Search::FreeCapacity));
        CHECK_FALSE(failed.contains(makeRequest(step), false, Search::FreeCapacity));
        CHECK_FALSE(failed.contains(makeRequest(step), true, Search::Preemption));
    }

    SECTION("whether a gang fits into empty workers is known for smaller and larger ones")
    {
        const auto four = makeStep(4, 8, true);
        const auto three = makeStep(3, 8, true);
        const auto five = makeStep(5, 8, true);
        failed.addFit(makeRequest(four), true);
        CHECK(failed.containsFit(makeRequest(three), true));
        CHECK(failed.containsFit(makeRequest(four), true));
        CHECK_FALSE(failed.containsFit(makeRequest(five), true));
        CHECK_FALSE(failed.contains(makeRequest(five), true, Search::Capacity));
        failed.add(makeRequest(five), true, Search::Capacity);
        CHECK(failed.contains(makeRequest(five), true, Search::Capacity));
        CHECK_FALSE(failed.contains(makeRequest(four), true, Search::Capacity));
    }

    SECTION("a request that depends on its own earlier runs is always searched for")
    {
        const auto step = makeStep(4, 2, false);
        auto retry = makeRequest(step);
        retry.avoidedWorkers_.insert(WorkerId("w"));
        failed.add(retry, true, Search::FreeCapacity);
        CHECK_FALSE(failed.contains(retry, true, Search::FreeCapacity));
        CHECK_FALSE(failed.contains(makeRequest(step), true, Search::FreeCapacity));
        auto limited = step;
        limited.maxPerWorker_ = 1;
        failed.add(makeRequest(limited), true, Search::FreeCapacity);
        CHECK_FALSE(failed.contains(makeRequest(limited), true, Search::FreeCapacity));
    }
}

TEST_CASE("a gang is placed on the rack with the fewest free accelerators, whichever workers have room", "[dispatch]")
{
    // Guards against a choice of rack that counts only the workers on which the gang fits.
    WorkerSessionMap sessions;
    const auto add = [&sessions](const std::string &id, const std::string &rack, std::int64_t used) {
        auto &session = sessions[WorkerId(id)];
        session = std::make_unique<WorkerSession>();
        session->entry_.id_ = WorkerId(id);
        session->entry_.pool_ = "pool";
        session->entry_.rack_ = RackId(rack);
        session->entry_.capacity_ = {128'000, 524'288, 8};
        session->used_ = {0, 0, used};
    };
    // Rack a has the fewer accelerators on workers with room for a task, rack b the fewer in all.
    add("a1", "rack-a", 0);
    add("a2", "rack-a", 4);
    add("a3", "rack-a", 4);
    add("b1", "rack-b", 0);
    add("b2", "rack-b", 8);
    add("b3", "rack-b", 8);
    auto step = makeStep(2, 8, true);
    step.prefersOneRack_ = true;
    step.task_ = {11'000, 46'000, 4};
    WorkerSelector selector(sessions, {}, {}, 5s, BootTime(100s));
    const auto choice = selector.findPlacement(makeRequest(step), true);
    REQUIRE(choice);
    CHECK(choice->workers_.front()->entry_.rack_ == RackId("rack-b"));
    selector.allocate(*choice->workers_.front(), {22'000, 92'000, 8});
    const auto next = selector.findPlacement(makeRequest(step), true);
    REQUIRE(next);
    CHECK(next->workers_.front()->entry_.rack_ == RackId("rack-a"));
}
