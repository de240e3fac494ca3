#include "tests/support/simulatedfleet.h"

#include <catch2/catch.hpp>

#include <cstdint>
#include <string>
#include <vector>

using namespace Marjoramfold;
using namespace Marjoramfold::Test;
using namespace std::chrono_literals;

// Tasks whose failures rule out the few workers that they may use.

namespace
{
const JobId FirstJob("00000000000000a1");
const JobId SecondJob("00000000000000a2");
const WorkerId FirstSpecial("w-r1-1-0");
const WorkerId SecondSpecial("w-r2-1-0");

/// A job of whole-worker tasks that need a worker with the label "b".
auto makeSpecialJob(const JobId &id, std::uint32_t count, ResourceVector task) -> Submission
{
    auto job = makeSubmission(id.value(), "batch", count, task);
    job.plan_.steps_[0].requiredLabel_ = "b";
    return job;
}

/// Adds two racks of workers, of which the named ones have the label "b", and starts a leader.
auto addRacks(SimulatedFleet &fleet, const std::vector<WorkerId> &special) -> void
{
    fleet.addWorkers(3, "zone-1", "r1-1");
    fleet.addWorkers(3, "zone-2", "r2-1");
    for (const auto &id : special) {
        fleet.worker(id).entry_.labels_[0] = "b";
    }
    fleet.startLeader();
}
} // namespace

TEST_CASE("a task that failed on the only worker with its label runs there again", "[dispatch]")
{
    // Guards against accepted jobs with attempts left that never start again, because a failure ruled out the only worker they may use.
    SimulatedFleet fleet;
    addRacks(fleet, {FirstSpecial});

    SECTION("within the time for which a job may have nothing running")
    {
        fleet.fails_ = [&fleet](const TaskRef &) {
            return fleet.starts_[FirstJob].size() == 1;
        };
        fleet.submit(makeSpecialJob(FirstJob, 1, WholeWorkerTask));
        fleet.advance(5s);
        CHECK(fleet.starts_[FirstJob].size() == 2);
        fleet.advance(2s);
        CHECK(fleet.phaseOf(FirstJob) == JobPhase::Completed);
    }

    SECTION("later each time, so that a fault of some seconds does not use up its attempts")
    {
        fleet.worker(FirstSpecial).failsAll_ = true;
        fleet.submit(makeSpecialJob(FirstJob, 1, WholeWorkerTask));
        fleet.advance(6'500ms);
        fleet.worker(FirstSpecial).failsAll_ = false;
        fleet.advance(3s);
        CHECK(fleet.phaseOf(FirstJob) == JobPhase::Completed);
        CHECK(fleet.starts_[FirstJob].size() == 3);
    }

    SECTION("after the quarantine when the worker failed it quickly")
    {
        fleet.worker(FirstSpecial).failsAll_ = true;
        auto job = makeSpecialJob(FirstJob, 1, WholeWorkerTask);
        job.plan_.steps_[0].estimate_ = 6'000ms;
        fleet.submit(job);
        fleet.advance(4s);
        CHECK(fleet.starts_[FirstJob].size() == 1);
        fleet.worker(FirstSpecial).failsAll_ = false;
        fleet.advance(4s);
        CHECK(fleet.phaseOf(FirstJob) == JobPhase::Completed);
    }

    SECTION("after the time of one quarantine when several of its runs failed quickly together")
    {
        // Guards against a worker that is barred for eight times as long, because eight tasks ran on it when its fault began.
        auto job = makeSpecialJob(FirstJob, 8, SmallTask);
        job.plan_.steps_[0].estimate_ = 6'000ms;
        fleet.worker(FirstSpecial).failsAll_ = true;
        fleet.submit(job);
        fleet.advance(1s);
        fleet.worker(FirstSpecial).failsAll_ = false;
        fleet.advance(8s);
        CHECK(fleet.phaseOf(FirstJob) == JobPhase::Completed);
    }

    SECTION("after the same time when the fault lasts and the quarantine grows")
    {
        // Guards against jobs that wait for the end of a long quarantine while no other worker can take them.
        auto job = makeSpecialJob(FirstJob, 1, WholeWorkerTask);
        job.plan_.steps_[0].estimate_ = 6'000ms;
        fleet.worker(FirstSpecial).failsAll_ = true;
        fleet.submit(job);
        fleet.advance(7s);
        REQUIRE(fleet.starts_[FirstJob].size() == 2);
        fleet.worker(FirstSpecial).failsAll_ = false;
        fleet.advance(6s);
        CHECK(fleet.phaseOf(FirstJob) == JobPhase::Completed);
    }
    CHECK(fleet.violations_ == std::vector<std::string>{});
}

TEST_CASE("a task does not wait for long for another worker than the one it failed on", "[dispatch]")
{
    // Guards against jobs with nothing running for over 3 s beside an idle worker, because the only other one is busy.
    SimulatedFleet fleet;
    addRacks(fleet, {FirstSpecial, SecondSpecial});
    fleet.work_ = [](const TaskRef &task) {
        return task.job_ == FirstJob ? 60'000ms : 2'000ms;
    };
    auto busy = makeSpecialJob(FirstJob, 1, WholeWorkerTask);
    busy.plan_.steps_[0].estimate_ = 60'000ms;
    fleet.submit(busy);
    fleet.advance(100ms);
    fleet.fails_ = [&fleet](const TaskRef &) {
        return fleet.starts_[SecondJob].size() == 1;
    };
    fleet.submit(makeSpecialJob(SecondJob, 1, WholeWorkerTask));
    fleet.advance(2'100ms);
    REQUIRE(fleet.starts_[SecondJob].size() == 1);
    fleet.advance(3s);
    REQUIRE(fleet.starts_[SecondJob].size() == 2);
    fleet.advance(2s);
    CHECK(fleet.phaseOf(SecondJob) == JobPhase::Completed);
    CHECK(fleet.violations_ == std::vector<std::string>{});
}

TEST_CASE("a task of a small pool beside a large one is not kept away from all workers of its pool", "[dispatch]")
{
    // Guards against a limit that compares the workers of one pool with those of all pools.
    SimulatedFleet fleet;
    fleet.addWorkers(6, "zone-1", "r1-1");
    fleet.addWorkers(2, "zone-2", "r2-1");
    QueueConfig queue;
    queue.name_ = "small";
    queue.pool_ = "small-pool";
    queue.priority_ = 2;
    queue.maxAttempts_ = 4;
    queue.stretch_ = 3;
    fleet.config_ = OperatorConfig(2, {queue}, {{"small-pool", false, false}}, {{TeamId("team"), {"key"}, 8}});
    for (const auto *id : {"w-r2-1-0", "w-r2-1-1"}) {
        fleet.worker(WorkerId(id)).entry_.pool_ = "small-pool";
    }
    fleet.startLeader();
    fleet.fails_ = [&fleet](const TaskRef &) {
        return fleet.starts_[FirstJob].size() <= 2;
    };
    fleet.submit(makeSubmission(FirstJob.value(), "small", 1, WholeWorkerTask));
    fleet.advance(10s);
    CHECK(fleet.starts_[FirstJob].size() == 3);
    CHECK(fleet.phaseOf(FirstJob) == JobPhase::Completed);
    CHECK(fleet.violations_ == std::vector<std::string>{});
}

TEST_CASE("a task still avoids the worker on which it failed while another one is free", "[dispatch]")
{
    SimulatedFleet fleet;
    addRacks(fleet, {FirstSpecial, SecondSpecial});
    fleet.fails_ = [&fleet](const TaskRef &) {
        return fleet.starts_[FirstJob].size() == 1;
    };
    fleet.submit(makeSpecialJob(FirstJob, 1, WholeWorkerTask));
    fleet.advance(1s);
    const auto first = fleet.worker(FirstSpecial).runs_.empty() ? SecondSpecial : FirstSpecial;
    fleet.advance(2s);
    CHECK(fleet.starts_[FirstJob].size() == 2);
    CHECK(fleet.worker(first).runs_.empty());
    CHECK(fleet.violations_ == std::vector<std::string>{});
}
