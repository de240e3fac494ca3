#include "tests/support/simulatedfleet.h"

#include <catch2/catch.hpp>

#include <string>

using namespace Marjoramfold;
using namespace Marjoramfold::Test;
using namespace std::chrono_literals;

// Jobs whose whole progress does not fit into one record of the store.

namespace
{
const JobId FirstJob("00000000000000a1");
const JobId SecondJob("00000000000000a2");
/// A task of which over a thousand fit on a worker.
constexpr ResourceVector TinyTask{100, 64, 0};
constexpr std::uint32_t WideCount = 5000;
} // namespace

TEST_CASE("a job whose whole progress exceeds a record of the store does not stop scheduling", "[dispatch][records]")
{
    // Guards against one wide job after which no task of any job starts, because the store rejects the record of its progress.
    SimulatedFleet fleet;
    addTwoRacks(fleet);
    fleet.work_ = [](const TaskRef &) {
        return 1'000ms;
    };
    auto wide = makeSubmission(FirstJob.value(), "batch", WideCount, TinyTask);
    wide.plan_.steps_[0].estimate_ = 1'000ms;

    SECTION("it completes, and so does a job that comes later")
    {
        fleet.submit(wide);
        fleet.advance(200ms);
        fleet.submit(makeSubmission(SecondJob.value(), "batch", 2, SmallTask));
        fleet.advance(4s);
        CHECK(fleet.phaseOf(FirstJob) == JobPhase::Completed);
        CHECK(fleet.phaseOf(SecondJob) == JobPhase::Completed);
        CHECK(fleet.largestRecord_ < 262'144);
    }

    SECTION("a new leader finds all of its runs")
    {
        fleet.submit(wide);
        fleet.advance(700ms);
        fleet.startLeader();
        fleet.advance(4s);
        CHECK(fleet.phaseOf(FirstJob) == JobPhase::Completed);
        CHECK(fleet.starts_[FirstJob].size() == WideCount);
    }

    SECTION("a later leader finds it completed")
    {
        fleet.submit(wide);
        fleet.advance(4s);
        fleet.startLeader();
        fleet.advance(2s);
        CHECK(fleet.phaseOf(FirstJob) == JobPhase::Completed);
        CHECK(fleet.starts_[FirstJob].size() == WideCount);
    }
    CHECK(fleet.violations_ == std::vector<std::string>{});
}

TEST_CASE("a leader that fails between two appends leaves a gang in one state", "[dispatch][records]")
{
    // Guards against a gang of which only some members run again, because only the record of the others tells of their common end.
    SimulatedFleet fleet;
    addTwoRacks(fleet);
    fleet.work_ = [](const TaskRef &) {
        return 300ms;
    };
    constexpr std::uint32_t Count = 266;
    auto gang = makeSubmission(FirstJob.value(), "batch", Count, TinyTask);
    gang.plan_.steps_[0].gang_ = true;
    fleet.submit(gang);
    fleet.advance(200ms);
    REQUIRE(fleet.runningTasks() == Count);
    fleet.storesRecord_ = [](const std::string &key) {
        return key.ends_with(".0.1");
    };
    fleet.advance(300ms);
    REQUIRE(fleet.runningTasks() == 0);
    fleet.storesRecord_ = {};
    fleet.killLeader();
    // The workers forget the ends that were not acknowledged.
    for (const auto &id : fleet.workerIds()) {
        fleet.restartWorker(id);
    }
    fleet.startLeader();
    fleet.advance(2s);
    CHECK(fleet.phaseOf(FirstJob) == JobPhase::Completed);
    CHECK(fleet.starts_[FirstJob].size() == Count);
    CHECK(fleet.violations_ == std::vector<std::string>{});
}
