#include "marjoramfold/dispatch/taskspread.h"
#include "tests/support/simulatedfleet.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

using namespace Marjoramfold;
using namespace Marjoramfold::Test;
using namespace std::chrono_literals;

// Where tasks without demand run.

namespace
{
const JobId FirstJob("00000000000000a1");
const JobId SecondJob("00000000000000a2");
constexpr ResourceVector NoDemand{};
constexpr std::uint32_t Unlimited = 20'000;
/// Workers of the fleets of addTwoRacks().
constexpr std::uint32_t Workers = 6;

/// Number of tasks for each worker.
auto countsOf(const std::vector<SpreadWorker> &workers, std::uint32_t count) -> std::vector<std::uint32_t>
{
    std::vector<std::uint32_t> counts(workers.size());
    for (const auto worker : spreadTasks(workers, count)) {
        ++counts.at(worker);
    }
    return counts;
}

/// Number of a job's runs on each worker that has any.
auto runsByWorker(SimulatedFleet &fleet, const JobId &job) -> std::map<std::string, std::size_t>
{
    std::map<std::string, std::size_t> runs;
    for (const auto &id : fleet.workerIds()) {
        for (const auto &[task, run] : fleet.worker(id).runs_) {
            runs[id.value()] += task.job_ == job ? 1 : 0;
        }
    }
    return runs;
}
} // namespace

TEST_CASE("tasks without demand are spread by the idle cores of the workers", "[dispatch][demand]")
{
    SECTION("evenly over equal workers")
    {
        const SpreadWorker worker{128'000, 0, 1, Unlimited, false};
        CHECK(countsOf({worker, worker, worker}, 8) == std::vector<std::uint32_t>{3, 3, 2});
    }

    SECTION("in proportion to the idle cores and the speed, less the runs that share them")
    {
        CHECK(countsOf({{120'000, 0, 1, Unlimited, false}, {60'000, 0, 1, Unlimited, false}}, 6) == std::vector<std::uint32_t>{4, 2});
        CHECK(countsOf({{120'000, 0, 2, Unlimited, false}, {120'000, 0, 1, Unlimited, false}}, 6) == std::vector<std::uint32_t>{2, 4});
        CHECK(countsOf({{120'000, 4, 1, Unlimited, false}, {120'000, 0, 1, Unlimited, false}}, 6) == std::vector<std::uint32_t>{1, 5});
    }

    SECTION("by the number of runs when no worker has idle cores")
    {
        CHECK(countsOf({{0, 3, 1, Unlimited, false}, {0, 0, 1, Unlimited, false}}, 5) == std::vector<std::uint32_t>{1, 4});
    }

    SECTION("within the limit of each worker, and on quarantined ones only beyond the others' limits")
    {
        CHECK(countsOf({{128'000, 0, 1, 2, false}, {128'000, 0, 1, Unlimited, true}}, 2) == std::vector<std::uint32_t>{2, 0});
        CHECK(countsOf({{128'000, 0, 1, 2, false}, {128'000, 0, 1, Unlimited, true}}, 5) == std::vector<std::uint32_t>{2, 3});
        CHECK(countsOf({{128'000, 0, 1, 2, false}, {128'000, 0, 1, 0, false}}, 5) == std::vector<std::uint32_t>{2, 0});
        CHECK(spreadTasks({}, 5).empty());
    }
}

TEST_CASE("tasks without demand do not gather on one worker", "[dispatch][demand]")
{
    // Guards against a step whose tasks all run on one worker, since they take nothing of its capacity: they share its idle cores, wait for
    // each other's start commands, and are lost with it.
    SimulatedFleet fleet;
    addTwoRacks(fleet);
    fleet.work_ = [](const TaskRef &) {
        return 10'000ms;
    };
    const auto mostOnOne = [&fleet](const JobId &job) {
        std::size_t most = 0;
        for (const auto &[worker, runs] : runsByWorker(fleet, job)) {
            most = std::max(most, runs);
        }
        return most;
    };

    SECTION("when they start together")
    {
        fleet.submit(makeSubmission(FirstJob.value(), "batch", 4 * Workers, NoDemand));
        fleet.advance(500ms);
        CHECK(fleet.runningTasks() == 4 * Workers);
        CHECK(mostOnOne(FirstJob) == 4);
    }

    SECTION("when they come as jobs of one task")
    {
        for (unsigned i = 0; i < Workers; ++i) {
            fleet.submit(makeSubmission("00000000000000b" + std::to_string(i), "batch", 1, NoDemand));
        }
        fleet.advance(500ms);
        for (const auto &id : fleet.workerIds()) {
            CHECK(fleet.worker(id).runs_.size() == 1);
        }
    }

    SECTION("when they are a gang of one rack, which they do not leave")
    {
        fleet.submit(asGang(makeSubmission(FirstJob.value(), "batch", 9, NoDemand)));
        fleet.advance(500ms);
        CHECK(runsByWorker(fleet, FirstJob).size() == 3);
        CHECK(mostOnOne(FirstJob) == 3);
        CHECK((fleet.worker(WorkerId("w-r1-1-0")).runs_.empty() || fleet.worker(WorkerId("w-r2-1-0")).runs_.empty()));
    }

    SECTION("when workers are full of other work, they go where cores are idle")
    {
        fleet.submit(makeSubmission(SecondJob.value(), "batch", 4, {128'000, 1, 0}));
        fleet.advance(500ms);
        fleet.submit(makeSubmission(FirstJob.value(), "batch", 8, NoDemand));
        fleet.advance(500ms);
        CHECK(fleet.runningTasks() == 12);
        CHECK(mostOnOne(FirstJob) == 4);
    }

    SECTION("and a lost worker ends only its share of them")
    {
        fleet.submit(makeSubmission(FirstJob.value(), "batch", 4 * Workers, NoDemand));
        fleet.advance(500ms);
        fleet.restartWorker(WorkerId("w-r1-1-0"));
        fleet.advance(3s);
        CHECK(fleet.starts_[FirstJob].size() == 4 * Workers + 4);
    }
    CHECK(fleet.violations_ == std::vector<std::string>{});
}
