#include "tests/support/simulatedfleet.h"

#include <catch2/catch.hpp>

#include <cstdint>
#include <set>
#include <string>
#include <vector>

using namespace Marjoramfold;
using namespace Marjoramfold::Test;
using namespace std::chrono_literals;

// Accepted work that preferences of the scheduler keep from workers that could take it.

namespace
{
const JobId GangId("00000000000000a1");
const JobId SecondId("00000000000000a2");

/// Longest time for which a job may have nothing running while there is room for it twice over and the service is under half used.
constexpr std::chrono::milliseconds MaxTimeWithoutRun{3000};

constexpr unsigned Racks = 8;
constexpr unsigned WorkersPerRack = 6;

auto rackName(unsigned rack) -> std::string
{
    return "r" + std::to_string(rack % 4 + 1) + "-" + std::to_string(rack / 4 + 1);
}

/// Adds eight racks of six workers in four availability zones.
auto addEightRacks(SimulatedFleet &fleet) -> void
{
    for (unsigned rack = 0; rack < Racks; ++rack) {
        fleet.addWorkers(WorkersPerRack, "zone-" + std::to_string(rack % 4 + 1), rackName(rack));
    }
    fleet.startLeader();
}

/// Runs a long task on one worker of each rack.
auto occupyOneWorkerOfEachRack(SimulatedFleet &fleet) -> void
{
    for (unsigned rack = 0; rack < Racks; ++rack) {
        auto job = makeSubmission("00000000000000b" + std::to_string(rack), "batch", 1, WholeWorkerTask);
        job.plan_.steps_[0].dataRack_ = rackName(rack);
        job.plan_.steps_[0].estimate_ = 120s;
        fleet.submit(job);
    }
    fleet.advance(200ms);
    REQUIRE(fleet.runningTasks() == Racks);
}

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
} // namespace

TEST_CASE("a gang does not wait for one rack beside free workers", "[dispatch][held]")
{
    // Guards against an accepted gang that has nothing running for as long as its estimate, while most of the service is idle.
    SimulatedFleet fleet;
    addEightRacks(fleet);
    fleet.work_ = [](const TaskRef &task) {
        return isBackground(task) ? 120'000ms : 2'000ms;
    };
    occupyOneWorkerOfEachRack(fleet);
    auto gang = asGang(makeSubmission(GangId.value(), "batch", WorkersPerRack, WholeWorkerTask));
    gang.plan_.steps_[0].estimate_ = 33s;

    SECTION("when one worker of each rack is busy")
    {
        const auto submittedAt = fleet.now();
        fleet.submit(gang);
        fleet.advance(6s);
        CHECK(timeToStart(fleet, GangId, submittedAt) < MaxTimeWithoutRun);
    }

    SECTION("when leaders follow one another while it waits")
    {
        const auto submittedAt = fleet.now();
        fleet.submit(gang);
        for (int change = 0; change < 4; ++change) {
            fleet.advance(800ms);
            fleet.startLeader();
        }
        fleet.advance(3s);
        CHECK(timeToStart(fleet, GangId, submittedAt) < MaxTimeWithoutRun);
    }

    SECTION("again after its run was lost")
    {
        fleet.work_ = [](const TaskRef &task) {
            return isBackground(task) ? 120'000ms : 5'000ms;
        };
        // The first run finds one rack free, which other work takes before the run is lost.
        fleet.addWorkers(WorkersPerRack, "zone-1", "r1-9");
        fleet.advance(100ms);
        fleet.submit(gang);
        fleet.advance(2s);
        REQUIRE(fleet.starts_[GangId].size() == WorkersPerRack);
        const auto lost = fleet.starts_[GangId].front().first;
        for (const auto &id : fleet.workerIds()) {
            if (fleet.worker(id).runs_.contains(lost)) {
                fleet.restartWorker(id);
                break;
            }
        }
        const auto lostAt = fleet.now();
        auto other = makeSubmission("00000000000000b9", "batch", WorkersPerRack, WholeWorkerTask);
        other.plan_.steps_[0].dataRack_ = "r1-9";
        other.plan_.steps_[0].estimate_ = 120s;
        fleet.submit(other);
        fleet.advance(6s);
        const auto &starts = fleet.starts_[GangId];
        REQUIRE(starts.size() == 2 * WorkersPerRack);
        // A report shows after 1 s at most that the worker was started again.
        CHECK(starts[WorkersPerRack].second - lostAt < MaxTimeWithoutRun + 1s);
    }
    fleet.advance(10s);
    CHECK(fleet.phaseOf(GangId) == JobPhase::Completed);
    CHECK(fleet.violations_ == std::vector<std::string>{});
}

TEST_CASE("a task does not wait for the rack of its data beside free workers", "[dispatch][held]")
{
    SimulatedFleet fleet;
    addEightRacks(fleet);
    fleet.work_ = [](const TaskRef &task) {
        return isBackground(task) ? 120'000ms : 2'000ms;
    };
    auto rack = makeSubmission("00000000000000b0", "batch", WorkersPerRack, WholeWorkerTask);
    rack.plan_.steps_[0].dataRack_ = rackName(0);
    rack.plan_.steps_[0].estimate_ = 120s;
    fleet.submit(rack);
    fleet.advance(200ms);
    REQUIRE(fleet.runningTasks() == WorkersPerRack);

    const auto submittedAt = fleet.now();
    auto job = makeSubmission(SecondId.value(), "batch", 1, WholeWorkerTask);
    job.plan_.steps_[0].dataRack_ = rackName(0);
    job.plan_.steps_[0].estimate_ = 33s;

    SECTION("when all start commands are accepted")
    {
        fleet.submit(job);
        fleet.advance(6s);
        CHECK(timeToStart(fleet, SecondId, submittedAt) < MaxTimeWithoutRun);
    }

    SECTION("again when start commands are refused")
    {
        // Guards against a wait that begins anew with a placement that never starts.
        auto refusals = 2;
        fleet.startFault_ = [&refusals](const TaskRef &task) {
            return task.job_ == SecondId && refusals-- > 0 ? 3 : 0;
        };
        fleet.submit(job);
        fleet.advance(6s);
        CHECK(timeToStart(fleet, SecondId, submittedAt) < MaxTimeWithoutRun);
    }

    SECTION("but for as long again after its run, however short the first wait was")
    {
        // Guards against a run that counts as time for which preferences kept the step waiting.
        fleet.fails_ = [&fleet](const TaskRef &task) {
            return task.job_ == SecondId && fleet.starts_[SecondId].size() == 1;
        };
        fleet.submit(job);
        fleet.advance(15ms);
        fleet.addWorkers(1, "zone-1", rackName(0) + "-late");
        auto &late = fleet.worker(WorkerId("w-" + rackName(0) + "-late-0")).entry_;
        late.rack_ = RackId(rackName(0));
        fleet.scheduler_->updateWorker(late);
        fleet.advance(1s);
        REQUIRE(fleet.starts_[SecondId].size() == 1);
        auto other = makeSubmission("00000000000000b9", "batch", 1, WholeWorkerTask);
        other.plan_.steps_[0].dataRack_ = rackName(0);
        other.plan_.steps_[0].estimate_ = 120s;
        fleet.advance(1'500ms);
        fleet.submit(other);
        fleet.advance(5s);
        const auto &starts = fleet.starts_[SecondId];
        REQUIRE(starts.size() == 2);
        CHECK(starts[1].second - (starts[0].second + DefaultWork) > 1s);
    }

    SECTION("as one of many, while the others still wait for the rack")
    {
        job.plan_.steps_[0].count_ = 8;
        fleet.submit(job);
        fleet.advance(3s);
        CHECK(fleet.starts_[SecondId].size() == 1);
    }
    CHECK(fleet.violations_ == std::vector<std::string>{});
}

TEST_CASE("work does not wait beside the last idle workers while the service is under half used", "[dispatch][held]")
{
    // Guards against idle workers that are kept for urgent gangs for as long as the others are partly used.
    SimulatedFleet fleet;
    addEightRacks(fleet);
    fleet.work_ = [](const TaskRef &task) {
        return isBackground(task) ? 120'000ms : 2'000ms;
    };
    // Two workers stay idle; each of the others runs three small tasks.
    constexpr unsigned IdleWorkers = 2;
    auto spread = makeSubmission("00000000000000b0", "batch", (Racks * WorkersPerRack - IdleWorkers) * 3, SmallTask);
    spread.plan_.steps_[0].maxPerWorker_ = 3;
    spread.plan_.steps_[0].estimate_ = 120s;
    fleet.submit(spread);
    fleet.advance(500ms);
    REQUIRE(fleet.runningTasks() == (Racks * WorkersPerRack - IdleWorkers) * 3);

    const auto submittedAt = fleet.now();
    fleet.submit(makeSubmission(SecondId.value(), "batch", 1, WholeWorkerTask));
    fleet.advance(6s);
    CHECK(timeToStart(fleet, SecondId, submittedAt) < MaxTimeWithoutRun);
    CHECK(fleet.violations_ == std::vector<std::string>{});
}

TEST_CASE("preferences that follow one another do not add up", "[dispatch][held]")
{
    // Guards against a wait for a rack that begins when the time is over for which a task is kept away from a worker.
    SimulatedFleet fleet;
    addEightRacks(fleet);
    fleet.work_ = [](const TaskRef &task) {
        return isBackground(task) ? 120'000ms : 2'000ms;
    };
    occupyOneWorkerOfEachRack(fleet);
    // The gang fails in the only rack that is idle, and other work takes that rack while the gang is kept away from its workers.
    fleet.addWorkers(WorkersPerRack, "zone-1", "r1-9");
    fleet.advance(100ms);
    const auto submittedAt = fleet.now();
    auto gang = asGang(makeSubmission(GangId.value(), "batch", WorkersPerRack, WholeWorkerTask));
    gang.plan_.steps_[0].estimate_ = 33s;
    fleet.fails_ = [&fleet](const TaskRef &task) {
        return task.job_ == GangId && fleet.starts_[GangId].size() <= WorkersPerRack;
    };
    fleet.submit(gang);
    fleet.advance(DefaultWork + 1'300ms);
    REQUIRE(fleet.starts_[GangId].size() == WorkersPerRack);
    auto other = makeSubmission("00000000000000b9", "batch", WorkersPerRack, WholeWorkerTask);
    other.plan_.steps_[0].dataRack_ = "r1-9";
    other.plan_.steps_[0].estimate_ = 120s;
    fleet.submit(other);
    fleet.advance(9s);
    const auto &starts = fleet.starts_[GangId];
    REQUIRE(starts.size() == 2 * WorkersPerRack);
    const auto failedAt = submittedAt + DefaultWork;
    CHECK(starts[WorkersPerRack].second - failedAt < MaxTimeWithoutRun);
    CHECK(fleet.violations_ == std::vector<std::string>{});
}

TEST_CASE("a gang starts in one rack after a change of leader", "[dispatch][held]")
{
    // Guards against a new leader that gives up preferences while most workers have not reported yet.
    SimulatedFleet fleet;
    addEightRacks(fleet);
    fleet.advance(1s);
    fleet.submit(asGang(makeSubmission(GangId.value(), "batch", WorkersPerRack, WholeWorkerTask)));
    fleet.startLeader();
    fleet.advance(1s);
    REQUIRE(fleet.starts_[GangId].size() == WorkersPerRack);
    std::set<std::string> racks;
    for (const auto &id : fleet.workerIds()) {
        if (!fleet.worker(id).runs_.empty()) {
            racks.insert(fleet.worker(id).entry_.rack_.value());
        }
    }
    CHECK(racks.size() == 1);
    CHECK(fleet.violations_ == std::vector<std::string>{});
}

TEST_CASE("a gang waits for one rack while work of its job runs or its service is used", "[dispatch][held]")
{
    // The neighbouring promise: a gang over several racks takes three times as long, so it may wait where the job does not stand still.
    SimulatedFleet fleet;
    addEightRacks(fleet);
    fleet.work_ = [](const TaskRef &task) {
        return isBackground(task) || task.step_ == 1 ? 9'000ms : 2'000ms;
    };
    auto gang = asGang(makeSubmission(GangId.value(), "batch", 3, WholeWorkerTask));
    gang.plan_.steps_[0].estimate_ = 33s;
    const auto occupy = [&fleet](std::uint32_t tasksPerRack, ResourceVector task) {
        for (unsigned rack = 0; rack < Racks; ++rack) {
            auto job = makeSubmission("00000000000000b" + std::to_string(rack), "batch", tasksPerRack, task);
            job.plan_.steps_[0].dataRack_ = rackName(rack);
            job.plan_.steps_[0].estimate_ = 9s;
            fleet.submit(job);
        }
        fleet.advance(300ms);
        REQUIRE(fleet.runningTasks() == Racks * tasksPerRack);
    };

    SECTION("when another step of its job runs")
    {
        occupy(WorkersPerRack - 2, WholeWorkerTask);
        StepPlan running;
        running.count_ = 1;
        running.task_ = SmallTask;
        running.estimate_ = 9s;
        gang.plan_.steps_.push_back(running);
        fleet.submit(gang);
        fleet.advance(6s);
        CHECK(fleet.starts_[GangId].size() == 1);
    }

    SECTION("when over half of each resource is in use")
    {
        occupy((WorkersPerRack - 1) * 8, SmallTask);
        fleet.submit(gang);
        fleet.advance(6s);
        CHECK(fleet.starts_[GangId].empty());
        fleet.advance(6s);
        CHECK(fleet.starts_[GangId].size() == 3);
    }

    SECTION("but not when half of the cores are free, although most accelerators are in use")
    {
        occupy(WorkersPerRack - 2, WholeWorkerTask);
        const auto submittedAt = fleet.now();
        fleet.submit(gang);
        fleet.advance(6s);
        CHECK(timeToStart(fleet, GangId, submittedAt) < MaxTimeWithoutRun);
    }
    CHECK(fleet.violations_ == std::vector<std::string>{});
}

TEST_CASE("a gang waits for one rack while its service is full", "[dispatch][held]")
{
    // On a full service there is no room for the gang twice over.
    SimulatedFleet fleet;
    addEightRacks(fleet);
    fleet.work_ = [](const TaskRef &task) {
        return isBackground(task) ? 8'000ms : 2'000ms;
    };
    // All but one worker of each of five racks are busy for some seconds.
    constexpr unsigned IdleWorkers = 5;
    for (unsigned rack = 0; rack < Racks; ++rack) {
        auto job = makeSubmission("00000000000000b" + std::to_string(rack), "batch", rack < IdleWorkers ? WorkersPerRack - 1 : WorkersPerRack, WholeWorkerTask);
        job.plan_.steps_[0].dataRack_ = rackName(rack);
        job.plan_.steps_[0].estimate_ = 8s;
        fleet.submit(job);
    }
    fleet.advance(200ms);
    REQUIRE(fleet.runningTasks() == Racks * WorkersPerRack - IdleWorkers);
    const auto submittedAt = fleet.now();
    auto gang = asGang(makeSubmission(GangId.value(), "batch", 3, WholeWorkerTask));
    gang.plan_.steps_[0].estimate_ = 33s;
    fleet.submit(gang);
    fleet.advance(6s);
    CHECK(fleet.starts_[GangId].empty());
    fleet.advance(6s);
    REQUIRE(fleet.starts_[GangId].size() == 3);
    CHECK(timeToStart(fleet, GangId, submittedAt) < 9s);
    CHECK(fleet.violations_ == std::vector<std::string>{});
}
