#include "tests/support/simulatedfleet.h"

#include <catch2/catch.hpp>

using namespace Marjoramfold;
using namespace Marjoramfold::Test;
using namespace std::chrono_literals;

namespace
{
const JobId FirstJob("00000000000000a1");
const JobId SecondJob("00000000000000a2");
} // namespace

TEST_CASE("a run that a restarted worker accepts before its restart is known is not started elsewhere", "[dispatch]")
{
    // Guards against a run that is booked on the former incarnation of its worker and declared lost while the new one runs it.
    SimulatedFleet fleet;
    fleet.addWorkers(1, "zone-1", "r1-1");
    fleet.startLeader();
    const auto restarted = fleet.workerIds().front();
    // The leader asks each worker once when it begins.
    fleet.advance(50ms);
    fleet.restartWorker(restarted);
    fleet.submit(makeSubmission(FirstJob.value(), "batch", 4, SmallTask));

    SECTION("when a report shows the restart")
    {
        fleet.advance(100ms);
        REQUIRE(fleet.runningTasks() == 4);
        fleet.addWorkers(2, "zone-2", "r2-1");
        fleet.advance(6s);
    }

    SECTION("when the list shows the restart while the report is on its way")
    {
        fleet.advance(60ms);
        fleet.addWorkers(2, "zone-2", "r2-1");
        fleet.scheduler_->updateWorker(fleet.worker(restarted).entry_);
        fleet.advance(6s);
    }

    SECTION("when another leader finds the run")
    {
        fleet.advance(60ms);
        fleet.addWorkers(2, "zone-2", "r2-1");
        fleet.startLeader();
        fleet.advance(6s);
    }
    CHECK(fleet.phaseOf(FirstJob) == JobPhase::Completed);
    CHECK(fleet.starts_[FirstJob].size() == 4);
    CHECK(fleet.violations_ == std::vector<std::string>{});
}

TEST_CASE("an entry with another start time does not end the runs of the worker that it names", "[dispatch]")
{
    // Guards against tasks that start a second time because of a list entry that the worker itself contradicts.
    SimulatedFleet fleet;
    fleet.addWorkers(3, "zone-1", "r1-1");
    fleet.startLeader();
    fleet.submit(makeSubmission(FirstJob.value(), "batch", 24, SmallTask));
    fleet.advance(500ms);
    auto entry = fleet.worker(fleet.workerIds().front()).entry_;

    SECTION("a later one")
    {
        entry.incarnation_ = 1'000'000;
    }

    SECTION("an earlier one")
    {
        entry.incarnation_ = 0;
    }
    entry.capacity_ = {1'000'000, 1'000'000, 100};
    fleet.scheduler_->updateWorker(entry);
    fleet.advance(5s);
    CHECK(fleet.phaseOf(FirstJob) == JobPhase::Completed);
    CHECK(fleet.starts_[FirstJob].size() == 24);
    CHECK(fleet.violations_ == std::vector<std::string>{});
}

TEST_CASE("an entry with another worker's address does not end the runs of the worker that it names", "[dispatch]")
{
    // Guards against tasks that start a second time because the worker at the other address rejects the id.
    SimulatedFleet fleet;
    fleet.addWorkers(3, "zone-1", "r1-1");
    fleet.startLeader();
    fleet.submit(makeSubmission(FirstJob.value(), "batch", 24, SmallTask));
    fleet.advance(500ms);
    const auto misreported = fleet.workerIds().front();
    auto entry = fleet.worker(misreported).entry_;
    entry.address_ = "another address";

    SECTION("when the leader has an answer of the worker")
    {
        fleet.scheduler_->updateWorker(entry);
        fleet.advance(5s);
    }

    SECTION("when another leader reads the entry first")
    {
        fleet.startLeader();
        fleet.scheduler_->updateWorker(entry);
        fleet.advance(600ms);
        fleet.scheduler_->updateWorker(fleet.worker(misreported).entry_);
        fleet.advance(5s);
    }
    CHECK(fleet.phaseOf(FirstJob) == JobPhase::Completed);
    CHECK(fleet.starts_[FirstJob].size() == 24);
    CHECK(fleet.violations_ == std::vector<std::string>{});
}

TEST_CASE("a worker that restarts with an earlier start time is a new incarnation", "[dispatch]")
{
    // Guards against ends of the new incarnation that are taken for ends of the former one: the worker's time of day was set back.
    SimulatedFleet fleet;
    fleet.addWorkers(1, "zone-1", "r1-1");
    auto &worker = fleet.worker(fleet.workerIds().front());
    worker.entry_.incarnation_ = 10;
    fleet.startLeader();
    fleet.submit(makeSubmission(FirstJob.value(), "batch", 8, SmallTask));
    fleet.advance(3s);
    REQUIRE(fleet.phaseOf(FirstJob) == JobPhase::Completed);
    fleet.restartWorker(worker.entry_.id_);
    worker.entry_.incarnation_ = 5;
    fleet.submit(makeSubmission(SecondJob.value(), "batch", 4, SmallTask));
    fleet.advance(6s);
    CHECK(fleet.phaseOf(SecondJob) == JobPhase::Completed);
    CHECK(fleet.starts_[SecondJob].size() == 4);
    CHECK(fleet.violations_ == std::vector<std::string>{});
}

TEST_CASE("the first ends of a restarted worker are not acknowledged unread", "[dispatch]")
{
    // Guards against an acknowledgement with an end number of the former incarnation, which deletes the end of a run that was done.
    SimulatedFleet fleet;
    fleet.addWorkers(1, "zone-1", "r1-1");
    fleet.startLeader();
    fleet.submit(makeSubmission(FirstJob.value(), "batch", 8, SmallTask));
    fleet.advance(3s);
    REQUIRE(fleet.phaseOf(FirstJob) == JobPhase::Completed);
    fleet.work_ = [](const TaskRef & /*task*/) {
        return 5ms;
    };
    fleet.restartWorker(fleet.workerIds().front());
    fleet.submit(makeSubmission(SecondJob.value(), "batch", 4, SmallTask));
    fleet.advance(3s);
    CHECK(fleet.phaseOf(SecondJob) == JobPhase::Completed);
    CHECK(fleet.starts_[SecondJob].size() == 4);
    CHECK(fleet.violations_ == std::vector<std::string>{});
}

TEST_CASE("a worker that restarts with less capacity gets no work for the capacity of its former entry", "[dispatch]")
{
    // Guards against a new incarnation that is loaded beyond its capacity until its list entry arrives.
    SimulatedFleet fleet;
    fleet.addWorkers(1, "zone-1", "r1-1");
    fleet.startLeader();
    fleet.submit(makeSubmission(FirstJob.value(), "batch", 1, SmallTask));
    fleet.advance(500ms);
    auto &worker = fleet.worker(fleet.workerIds().front());
    fleet.restartWorker(worker.entry_.id_);
    worker.entry_.capacity_ = {22'000, 92'000, 2};
    fleet.advance(100ms);
    fleet.submit(makeSubmission(SecondJob.value(), "batch", 8, SmallTask));
    fleet.advance(20s);
    CHECK(fleet.phaseOf(FirstJob) == JobPhase::Completed);
    CHECK(fleet.phaseOf(SecondJob) == JobPhase::Completed);
    CHECK(fleet.violations_ == std::vector<std::string>{});
}

TEST_CASE("a run that a worker reports unexpectedly takes room and blocks its task until its end is reported", "[dispatch]")
{
    // Guards against a second run, or a start without room, while the unexpected run is being stopped.
    SimulatedFleet fleet;
    fleet.addWorkers(1, "zone-1", "r1-1");
    fleet.startLeader();
    fleet.submit(makeSubmission(FirstJob.value(), "batch", 1, SmallTask));
    fleet.advance(300ms);
    auto &worker = fleet.worker(fleet.workerIds().front());
    fleet.evacuatedZones_.insert("zone-1");
    fleet.submit(makeSubmission(SecondJob.value(), "batch", 8, SmallTask));
    fleet.advance(50ms);
    const TaskRef unexpected{SecondJob, 0, 0, 0};
    worker.highestRun_[unexpected] = 1;
    worker.runs_[unexpected] = {1, fleet.now(), 0ms, false, 0ms};
    // The run shows with the next report; meanwhile its job may start again.
    fleet.advance(1100ms);
    fleet.evacuatedZones_.clear();
    fleet.advance(8s);
    CHECK(fleet.phaseOf(SecondJob) == JobPhase::Completed);
    CHECK(fleet.violations_ == std::vector<std::string>{});
}

TEST_CASE("a task whose worker restarts and disappears at once starts elsewhere after the longest lease", "[dispatch]")
{
    // Guards against a wait for a lease end that was computed for the clock of the former incarnation.
    SimulatedFleet fleet;
    fleet.addWorkers(1, "zone-1", "r1-1");
    fleet.startLeader();
    auto &worker = fleet.worker(fleet.workerIds().front());
    fleet.advance(50ms);
    fleet.restartWorker(worker.entry_.id_);
    fleet.submit(makeSubmission(FirstJob.value(), "batch", 4, SmallTask));
    fleet.advance(25ms);
    REQUIRE(fleet.runningTasks() == 4);
    worker.reachable_ = false;
    fleet.work_ = [](const TaskRef & /*task*/) {
        return 3s;
    };
    fleet.addWorkers(1, "zone-2", "r2-1");
    fleet.advance(12s);
    CHECK(fleet.phaseOf(FirstJob) == JobPhase::Completed);
    CHECK(fleet.violations_ == std::vector<std::string>{});
}

TEST_CASE("a start command that a restarted worker executes late does not run beside another run of the task", "[dispatch]")
{
    // Guards against a task that starts elsewhere while an unanswered command can still be executed by the next incarnation of its worker.
    SimulatedFleet fleet;
    addTwoRacks(fleet);
    fleet.work_ = [](const TaskRef & /*task*/) {
        return 8s;
    };
    auto faults = 1;
    fleet.startFault_ = [&faults](const TaskRef &) {
        return faults-- > 0 ? 2 : 0;
    };
    const auto worker = fleet.workerIds().front();
    fleet.submit(makeSubmission(FirstJob.value(), "batch", 1, SmallTask));
    fleet.advance(50ms);
    // A failure of another job makes the other workers preferable. The unanswered command is executed 3 s after it was sent.
    fleet.submit(makeSubmission(SecondJob.value(), "batch", 1, SmallTask));
    fleet.worker(worker).failsAll_ = true;
    fleet.advance(500ms);
    fleet.worker(worker).failsAll_ = false;
    fleet.advance(500ms);
    REQUIRE(fleet.starts_[FirstJob].size() == 1);

    SECTION("when the worker restarts before the command is executed")
    {
        fleet.advance(1s);
    }

    SECTION("when the worker restarts just before the command is executed")
    {
        fleet.advance(1900ms);
    }
    fleet.restartWorker(worker);
    fleet.advance(20s);
    CHECK(fleet.phaseOf(FirstJob) == JobPhase::Completed);
    CHECK(fleet.violations_ == std::vector<std::string>{});
}

TEST_CASE("a worker that restarts while its entry is gone is asked for its runs before it gets work", "[dispatch]")
{
    // Guards against a forgotten worker: its next incarnation would still execute commands that were sent to the former one.
    SimulatedFleet fleet;
    addTwoRacks(fleet);
    const auto id = fleet.workerIds().front();
    fleet.submit(makeSubmission(FirstJob.value(), "batch", 1, SmallTask));
    fleet.advance(3s);
    REQUIRE(fleet.worker(id).token_ > 0);
    fleet.unlist(id);
    fleet.restartWorker(id);
    REQUIRE(fleet.worker(id).token_ == 0);
    fleet.advance(1s);
    CHECK(fleet.worker(id).token_ > 0);
    CHECK(fleet.violations_ == std::vector<std::string>{});
}

TEST_CASE("a run on a worker that was restarted unnoticed does not count as stalled", "[dispatch]")
{
    // Guards against comparing the clock of the last report with that of another incarnation.
    SimulatedFleet fleet;
    fleet.addWorkers(1, "zone-1", "r1-1");
    fleet.startLeader();
    fleet.submit(makeSubmission(FirstJob.value(), "batch", 1, SmallTask));
    fleet.advance(4s);
    REQUIRE(fleet.phaseOf(FirstJob) == JobPhase::Completed);
    fleet.restartWorker(fleet.workerIds().front());
    fleet.submit(makeSubmission(SecondJob.value(), "batch", 1, SmallTask));
    fleet.advance(4s);
    CHECK(fleet.starts_[SecondJob].size() == 1);
    CHECK(fleet.phaseOf(SecondJob) == JobPhase::Completed);
    CHECK(fleet.violations_ == std::vector<std::string>{});
}

TEST_CASE("runs whose ends do not fit into one report are not lost", "[dispatch]")
{
    // Guards against tasks that start again because their ends are only in the worker's next report.
    SimulatedFleet fleet;
    fleet.addWorkers(1, "zone-1", "r1-1");
    fleet.startLeader();
    fleet.submit(makeSubmission(FirstJob.value(), "batch", 600, {100, 100, 0}));

    SECTION("when reports listed the runs before")
    {
        fleet.advance(4s);
    }

    // Guards against a worker whose ends are never acknowledged, because its report, full of ends, cannot list the runs that have ended since.
    SECTION("when no report has listed the runs")
    {
        fleet.work_ = [](const TaskRef &) {
            return 500ms;
        };
        fleet.advance(2s);
    }

    SECTION("when a new leader adopts the runs after they have ended")
    {
        fleet.advance(500ms);
        fleet.killLeader();
        fleet.advance(2s);
        fleet.startLeader();
        fleet.advance(1s);
    }

    // Guards against a healthy worker that is quarantined because runs that have ended make no progress.
    SECTION("when the ends wait for the store")
    {
        fleet.advance(1'900ms);
        fleet.storeDown_ = true;
        fleet.advance(3s);
        fleet.storeDown_ = false;
        fleet.advance(1s);
        CHECK(fleet.scheduler_->counts().stalls_ == 0);
    }
    CHECK(fleet.phaseOf(FirstJob) == JobPhase::Completed);
    CHECK(fleet.starts_[FirstJob].size() == 600);
    CHECK(fleet.violations_ == std::vector<std::string>{});
}

TEST_CASE("a worker whose entry without a start time was read first is used once its own entry arrives", "[dispatch][inherit]")
{
    // Guards against a worker that is never asked again: its own entry came while a renewal to the odd entry's address had no answer (review/7).
    SimulatedFleet fleet;
    fleet.addWorkers(1, "zone-1", "r1-1");
    auto &worker = fleet.worker(fleet.workerIds().front());
    const auto own = worker.entry_;
    // Within and after the time in which the renewal has no answer.
    const auto ownEntryAfter = GENERATE(0ms, 50ms, 300ms, 595ms, 610ms, 1'000ms);
    CAPTURE(ownEntryAfter.count());
    worker.entry_.incarnation_ = 0;
    worker.reachable_ = false;
    fleet.startLeader();
    fleet.advance(ownEntryAfter);
    worker.entry_ = own;
    worker.reachable_ = true;
    fleet.scheduler_->updateWorker(own);
    fleet.submit(makeSubmission(FirstJob.value(), "batch", 4, SmallTask));
    fleet.advance(1500ms);
    CHECK(fleet.starts_[FirstJob].size() == 4);
    fleet.advance(3s);
    CHECK(fleet.phaseOf(FirstJob) == JobPhase::Completed);
    CHECK(fleet.violations_ == std::vector<std::string>{});
}

TEST_CASE("a run of a former leader is started again at once when its worker answers as another incarnation", "[dispatch][inherit]")
{
    // Guards against a task that waits for the lease of a worker that was restarted together with the loss of the leader.
    SimulatedFleet fleet;
    fleet.addWorkers(1, "zone-1", "r1-1");
    fleet.startLeader();
    fleet.work_ = [](const TaskRef &) {
        return 20'000ms;
    };
    fleet.submit(makeSubmission(FirstJob.value(), "batch", 1, SmallTask));
    fleet.advance(1s);
    REQUIRE(fleet.runningTasks() == 1);
    const auto entryIsOld = GENERATE(false, true);
    CAPTURE(entryIsOld);
    const auto lost = fleet.workerIds().front();
    const auto before = fleet.worker(lost).entry_;
    fleet.killLeader();
    fleet.restartWorker(lost);
    fleet.startLeader();
    if (entryIsOld) {
        fleet.scheduler_->updateWorker(before);
    }
    fleet.addWorkers(1, "zone-1", "r1-2");
    fleet.advance(2s);
    CHECK(fleet.runningTasks() == 1);
    CHECK(fleet.starts_[FirstJob].size() == 2);
    CHECK(fleet.violations_ == std::vector<std::string>{});
}
