#include "tests/support/simulatedfleet.h"

#include <catch2/catch.hpp>

#include <cstdint>
#include <string>
#include <vector>

using namespace Marjoramfold;
using namespace Marjoramfold::Test;
using namespace std::chrono_literals;

// Accepted work beside free workers: what other pools, lost workers and earlier failures may do to it.

namespace
{
const JobId FirstId("00000000000000a1");

/// Time in which a task starts that no preference concerns.
constexpr std::chrono::milliseconds PromptStart{500};

constexpr unsigned LargePoolRacks = 9;
constexpr unsigned WorkersPerRack = 6;

auto isBackground(const TaskRef &task) -> bool
{
    return task.job_.value().find("0b") != std::string::npos;
}

/// Time from the submission to the first start; the time so far without one.
auto timeToStart(SimulatedFleet &fleet, const JobId &job, std::chrono::milliseconds submittedAt) -> std::chrono::milliseconds
{
    const auto &starts = fleet.starts_[job];
    return (starts.empty() ? fleet.now() : starts.front().second) - submittedAt;
}

/// Puts the workers that the fleet has into the pool of the queue "batch", and adds a larger pool whose workers are all in use.
auto addFullPool(SimulatedFleet &fleet) -> void
{
    auto batch = *fleet.config_.queueNamed("batch");
    auto crowd = *fleet.config_.queueNamed("urgent");
    crowd.name_ = "crowd";
    crowd.pool_ = "large-pool";
    fleet.config_ = OperatorConfig(2, {batch, crowd}, {{"pool", false, false}, {"large-pool", false, false}}, {{TeamId("team"), {"key"}, 8}});
    const auto small = fleet.workerIds().size();
    for (unsigned rack = 0; rack < LargePoolRacks; ++rack) {
        fleet.addWorkers(WorkersPerRack, "zone-3", "r3-" + std::to_string(rack));
        for (unsigned i = 0; i < WorkersPerRack; ++i) {
            fleet.worker(WorkerId("w-r3-" + std::to_string(rack) + "-" + std::to_string(i))).entry_.pool_ = "large-pool";
        }
    }
    fleet.work_ = [](const TaskRef &task) {
        return isBackground(task) ? 120'000ms : 2'000ms;
    };
    fleet.startLeader();
    auto job = makeSubmission("00000000000000bf", "crowd", LargePoolRacks * WorkersPerRack, WholeWorkerTask);
    job.plan_.steps_[0].estimate_ = 120s;
    fleet.submit(job);
    fleet.advance(500ms);
    REQUIRE(fleet.workerIds().size() == small + LargePoolRacks * WorkersPerRack);
    REQUIRE(fleet.runningTasks() == LargePoolRacks * WorkersPerRack);
}
} // namespace

TEST_CASE("the idle workers of a pool are not kept because another pool has none", "[dispatch][held]")
{
    // Guards against a reserve that grows with the workers of all pools, so that a small pool keeps all of its workers.
    SimulatedFleet fleet;
    fleet.addWorkers(2, "zone-1", "r1-1");
    addFullPool(fleet);
    const auto submittedAt = fleet.now();

    SECTION("from a task")
    {
        fleet.submit(makeSubmission(FirstId.value(), "batch", 1, WholeWorkerTask));
        fleet.advance(4s);
        CHECK(timeToStart(fleet, FirstId, submittedAt) < PromptStart);
    }

    SECTION("from a gang that needs the whole pool")
    {
        fleet.submit(asGang(makeSubmission(FirstId.value(), "batch", 2, WholeWorkerTask)));
        fleet.advance(4s);
        CHECK(timeToStart(fleet, FirstId, submittedAt) < PromptStart);
    }
    CHECK(fleet.phaseOf(FirstId) == JobPhase::Completed);
    CHECK(fleet.violations_ == std::vector<std::string>{});
}

TEST_CASE("the workers of a pool that is nearly empty are not reserved because another pool is full", "[dispatch][held]")
{
    // Guards against work that waits for blocked gangs although most of its pool is free.
    constexpr unsigned SmallRack = 3;
    SimulatedFleet fleet;
    fleet.addWorkers(SmallRack, "zone-1", "r1-1");
    fleet.addWorkers(SmallRack, "zone-2", "r2-1");
    addFullPool(fleet);
    // One small task in each rack keeps a gang of three whole workers from it.
    for (const std::string rack : {"1", "2"}) {
        auto small = makeSubmission("00000000000000b" + rack, "batch", 1, SmallTask);
        small.plan_.steps_[0].dataRack_ = "r" + rack + "-1";
        small.plan_.steps_[0].estimate_ = 120s;
        fleet.submit(small);
        auto gang = asGang(makeSubmission("00000000000000c" + rack, "batch", SmallRack, WholeWorkerTask));
        gang.plan_.steps_[0].dataRack_ = "r" + rack + "-1";
        gang.plan_.steps_[0].estimate_ = 33s;
        fleet.advance(200ms);
        fleet.submit(gang);
    }
    fleet.advance(2s);
    REQUIRE(fleet.starts_[JobId("00000000000000c1")].empty());
    REQUIRE(fleet.starts_[JobId("00000000000000c2")].empty());

    // Its objective ends after those of the gangs, so it ranks below them.
    const auto submittedAt = fleet.now();
    auto task = makeSubmission(FirstId.value(), "batch", 1, WholeWorkerTask);
    task.plan_.steps_[0].estimate_ = 60s;
    fleet.submit(task);
    fleet.advance(4s);
    CHECK(timeToStart(fleet, FirstId, submittedAt) < PromptStart);
    CHECK(fleet.violations_ == std::vector<std::string>{});
}
