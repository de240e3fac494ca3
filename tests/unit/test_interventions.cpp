#include "tests/support/simulatedfleet.h"

#include <catch2/catch.hpp>

#include <memory>
#include <string>
#include <unordered_map>

using namespace Marjoramfold;
using namespace Marjoramfold::Test;
using namespace std::chrono_literals;

// Early stops of runs that would not end by themselves, and quarantine of workers that fail or stall their runs.

namespace
{
const JobId FirstJob("00000000000000a1");
} // namespace

TEST_CASE("runs that would outlast a draining worker are moved", "[dispatch]")
{
    // Guards against runs that stay until their worker shuts down: they lose their work and wait for its lease to expire.
    SimulatedFleet fleet;
    addTwoRacks(fleet);
    auto work = 6'000ms;
    fleet.work_ = [&work](const TaskRef &) {
        return work;
    };
    auto job = makeSubmission(FirstJob.value(), "batch", 1, WholeWorkerTask);
    job.plan_.steps_[0].estimate_ = 6'000ms;
    const auto workerOf = [&fleet]() -> WorkerId {
        for (const auto &id : fleet.workerIds()) {
            if (!fleet.worker(id).runs_.empty()) {
                return id;
            }
        }
        return {};
    };

    SECTION("a task without checkpoints restarts elsewhere immediately")
    {
        fleet.submit(job);
        fleet.advance(1s);
        fleet.drain(workerOf(), 2s);
        fleet.advance(7s);
        CHECK(fleet.phaseOf(FirstJob) == JobPhase::Completed);
    }

    SECTION("a task with checkpoints resumes from its progress")
    {
        job.plan_.steps_[0].checkpoints_ = true;
        fleet.submit(job);
        fleet.advance(3s);
        fleet.drain(workerOf(), 2s);
        fleet.advance(3'800ms);
        CHECK(fleet.phaseOf(FirstJob) == JobPhase::Completed);
    }

    SECTION("a whole gang moves when one of its workers drains")
    {
        job.plan_.steps_[0].count_ = 3;
        fleet.submit(asGang(job));
        fleet.advance(1s);
        fleet.drain(workerOf(), 2s);
        fleet.advance(7s);
        CHECK(fleet.phaseOf(FirstJob) == JobPhase::Completed);
    }

    SECTION("a stalled task moves although it would end in time by its estimate")
    {
        work = 2'500ms;
        job.plan_.steps_[0].estimate_ = 2'500ms;
        fleet.submit(job);
        fleet.advance(1'500ms);
        const auto leaving = workerOf();
        fleet.worker(leaving).hangs_ = true;
        fleet.advance(800ms);
        fleet.drain(leaving, 1'500ms);
        fleet.advance(1'200ms);
        CHECK(fleet.starts_[FirstJob].size() == 2);
        fleet.advance(2'600ms);
        CHECK(fleet.phaseOf(FirstJob) == JobPhase::Completed);
    }

    SECTION("a task that reports full progress stays")
    {
        // The worker reports 100 percent for a while before the end.
        fleet.listedPercent_ = [](int percent) {
            return percent > 50 ? 100 : percent;
        };
        fleet.submit(job);
        fleet.advance(4'200ms);
        fleet.drain(workerOf(), 2s);
        fleet.advance(2s);
        CHECK(fleet.phaseOf(FirstJob) == JobPhase::Completed);
        CHECK(fleet.starts_[FirstJob].size() == 1);
    }

    SECTION("a restarted worker reports progress on its new clock")
    {
        // Guards against runs that count as stalled because their worker's clock restarted.
        fleet.submit(job);
        fleet.advance(2s);
        const auto restarted = workerOf();
        fleet.evacuatedZones_.insert(fleet.worker(restarted).entry_.zone_.value() == "zone-1" ? "zone-2" : "zone-1");
        for (const auto &id : fleet.workerIds()) {
            if (id != restarted) {
                fleet.unlist(id);
            }
        }
        fleet.restartWorker(restarted);
        fleet.advance(9s);
        CHECK(fleet.phaseOf(FirstJob) == JobPhase::Completed);
        CHECK(fleet.scheduler_->counts().stalls_ == 0);
    }

    SECTION("a service task moves immediately")
    {
        work = 60'000ms;
        job.plan_.steps_[0].service_ = true;
        fleet.submit(job);
        fleet.advance(1s);
        fleet.drain(workerOf(), 10s);
        fleet.advance(1s);
        CHECK(fleet.starts_[FirstJob].size() == 2);
    }

    SECTION("a task that ends in time stays")
    {
        work = 2'500ms;
        job.plan_.steps_[0].estimate_ = 2'500ms;
        fleet.submit(job);
        fleet.advance(1s);
        fleet.drain(workerOf(), 2s);
        fleet.advance(2s);
        CHECK(fleet.phaseOf(FirstJob) == JobPhase::Completed);
        CHECK(fleet.starts_[FirstJob].size() == 1);
    }
    CHECK(fleet.violations_ == std::vector<std::string>{});
}

TEST_CASE("workers that fail or stall their runs are quarantined", "[dispatch]")
{
    SimulatedFleet fleet;
    addTwoRacks(fleet);
    const auto bad = fleet.workerIds().front();

    SECTION("a worker fails all runs")
    {
        fleet.worker(bad).failsAll_ = true;
    }
    SECTION("runs stall on a worker")
    {
        fleet.worker(bad).hangs_ = true;
    }
    for (int i = 0; i < 8; ++i) {
        fleet.submit(makeSubmission("000000000000030" + std::to_string(i), "batch", 6, SmallTask));
        fleet.advance(1s);
    }
    fleet.advance(12s);
    for (int i = 0; i < 8; ++i) {
        CHECK(fleet.phaseOf(JobId("000000000000030" + std::to_string(i))) == JobPhase::Completed);
    }
    CHECK(fleet.violations_ == std::vector<std::string>{});
}

TEST_CASE("a run that fails quickly quarantines its worker", "[dispatch]")
{
    // Guards against faulty workers that fail run after run because failures of a single job do not quarantine a worker.
    SimulatedFleet fleet;
    addTwoRacks(fleet);
    fleet.work_ = [](const TaskRef &) {
        return 6'000ms;
    };
    auto job = makeSubmission(FirstJob.value(), "batch", 12, SmallTask);
    job.plan_.steps_[0].estimate_ = 6'000ms;
    const auto countQuarantined = [&fleet] {
        std::size_t count = 0;
        for (const auto &[id, session] : fleet.scheduler_->sessions().all()) {
            count += session->quarantinedUntil_ > BootTime(fleet.now()) ? 1 : 0;
        }
        return count;
    };

    SECTION("a faulty worker is quarantined after its first failures")
    {
        fleet.worker(fleet.workerIds().front()).failsAll_ = true;
        fleet.submit(job);
        fleet.advance(500ms);
        CHECK(countQuarantined() == 1);
        fleet.advance(8s);
        CHECK(fleet.phaseOf(FirstJob) == JobPhase::Completed);
    }

    SECTION("a job that fails quickly everywhere does not quarantine all workers")
    {
        for (const auto &id : fleet.workerIds()) {
            fleet.worker(id).failsAll_ = true;
        }
        job.plan_.steps_[0].count_ = 1;
        fleet.submit(job);
        fleet.advance(3s);
        CHECK(fleet.phaseOf(FirstJob) == JobPhase::Failed);
        CHECK(countQuarantined() <= 2);
    }
    CHECK(fleet.violations_ == std::vector<std::string>{});
}

TEST_CASE("a gang that waits for an in-doubt member is stopped without quarantining its workers", "[dispatch]")
{
    // Guards against healthy workers whose runs count as stalled because other gang members are missing.
    SimulatedFleet fleet;
    fleet.allowIncompleteGangs_ = true;
    addTwoRacks(fleet);
    const auto lost = WorkerId("w-r1-1-0");
    fleet.evacuatedZones_.insert("zone-2");
    fleet.worker(lost).reachable_ = false;
    auto job = asGang(makeSubmission(FirstJob.value(), "batch", 3, WholeWorkerTask));
    fleet.submit(job);
    fleet.advance(2'500ms);
    CHECK(fleet.runningTasks() == 0);
    for (const auto *id : {"w-r1-1-1", "w-r1-1-2"}) {
        const auto *session = fleet.scheduler_->sessions().find(WorkerId(id));
        REQUIRE(session != nullptr);
        CHECK(session->quarantinedUntil_ == BootTime{});
        CHECK(session->failedJobs_.empty());
    }
    CHECK(fleet.scheduler_->counts().stalls_ == 0);
    fleet.evacuatedZones_.clear();
    fleet.advance(12s);
    CHECK(fleet.phaseOf(FirstJob) == JobPhase::Completed);
    CHECK(fleet.violations_ == std::vector<std::string>{});
}

TEST_CASE("a stalled run is restarted elsewhere within three seconds", "[dispatch]")
{
    // Guards against hung runs that block a whole gang for several lease times.
    SimulatedFleet fleet;
    addTwoRacks(fleet);
    fleet.work_ = [](const TaskRef &) {
        return 4'000ms;
    };
    auto job = makeSubmission(FirstJob.value(), "batch", 1, WholeWorkerTask);
    job.plan_.steps_[0].estimate_ = 4'000ms;
    fleet.submit(job);
    fleet.advance(1'700ms);
    for (const auto &id : fleet.workerIds()) {
        fleet.worker(id).hangs_ = !fleet.worker(id).runs_.empty();
    }
    fleet.advance(3s);
    CHECK(fleet.starts_[FirstJob].size() == 2);
    fleet.advance(4s);
    CHECK(fleet.phaseOf(FirstJob) == JobPhase::Completed);
    CHECK(fleet.violations_ == std::vector<std::string>{});
}

TEST_CASE("gangs and urgent work prefer workers with recent progress", "[dispatch]")
{
    // Guards against gangs on workers that pass health checks but stall or fail their runs.
    const auto now = BootTime(100s);
    WorkerSessionMap sessions;
    const auto add = [&](const std::string &id, const std::string &rack, std::uint32_t used, BootTime lastHealthyAt) {
        auto &session = sessions[WorkerId(id)];
        session = std::make_unique<WorkerSession>();
        session->entry_.id_ = WorkerId(id);
        session->entry_.pool_ = "pool";
        session->entry_.rack_ = RackId(rack);
        session->entry_.capacity_ = {128'000, 524'288, 8};
        session->used_ = {0, 0, used};
        session->lastHealthyAt_ = lastHealthyAt;
    };
    for (const auto *id : {"a1", "a2"}) {
        add(id, "rack-a", 4, now - 60s);
    }
    for (const auto *id : {"b1", "b2"}) {
        add(id, "rack-b", 1, now - 1s);
    }
    WorkerSelector selector(sessions, {}, {}, 5s, now);
    auto submission = asGang(makeSubmission(FirstJob.value(), "batch", 2, SmallTask));
    PlacementRequest request{&submission.plan_.steps_[0], "pool", 2, 1, false, {}, {}, {}};

    SECTION("a gang gets the rack whose workers made progress recently, although the other rack is fuller")
    {
        const auto choice = selector.findPlacement(request, true);
        REQUIRE(choice);
        CHECK(choice->workers_.front()->entry_.rack_ == RackId("rack-b"));
    }

    SECTION("a single task of non-urgent work gets the fuller worker")
    {
        submission.plan_.steps_[0].gang_ = false;
        request.count_ = 1;
        const auto choice = selector.findPlacement(request, true);
        REQUIRE(choice);
        CHECK(choice->workers_.front()->entry_.rack_ == RackId("rack-a"));
    }
}
