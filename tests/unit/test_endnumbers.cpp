#include "tests/support/simulatedfleet.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <functional>

using namespace Marjoramfold;
using namespace Marjoramfold::Test;
using namespace std::chrono_literals;

namespace
{
const JobId FirstJob("00000000000000a1");
const JobId SecondJob("00000000000000a2");

auto advanceUntil(SimulatedFleet &fleet, const std::function<bool()> &condition) -> void
{
    constexpr auto Limit = 10s;
    for (auto waited = 0ms; waited < Limit && !condition(); waited += 5ms) {
        fleet.advance(5ms);
    }
    REQUIRE(condition());
}

auto sessionOf(const SimulatedFleet &fleet, const WorkerId &id) -> const WorkerSession &
{
    return *fleet.scheduler_->sessions().find(id);
}

auto isPlaced(const SimulatedFleet &fleet, const WorkerId &id, const JobId &job, bool sent) -> bool
{
    const auto &runs = sessionOf(fleet, id).runs_;
    return std::any_of(runs.begin(), runs.end(), [&job, sent](const auto &run) {
        return run.first.first.job_ == job && (!sent || run.second.stage_ != RunStage::Recorded);
    });
}

/// Restarts the only worker while the end of the first job is being stored and the start command of the second one is on its way.
auto restartBetweenEndAndStart(SimulatedFleet &fleet, std::chrono::milliseconds secondWork) -> WorkerId
{
    fleet.addWorkers(1, "zone-1", "r1-1");
    fleet.startLeader();
    const auto worker = fleet.workerIds().front();
    fleet.advance(50ms);
    fleet.work_ = [secondWork](const TaskRef &task) {
        return task.job_ == FirstJob ? 2000ms : secondWork;
    };
    fleet.submit(makeSubmission(FirstJob.value(), "batch", 1, SmallTask));
    advanceUntil(fleet, [&fleet] {
        return fleet.starts_[FirstJob].size() == 1;
    });
    fleet.advance(1980ms);
    fleet.submit(makeSubmission(SecondJob.value(), "batch", 1, SmallTask));
    advanceUntil(fleet, [&fleet, &worker] {
        return isPlaced(fleet, worker, SecondJob, false);
    });
    fleet.storeDown_ = true;
    advanceUntil(fleet, [&fleet, &worker] {
        return sessionOf(fleet, worker).lastEndSeen_ == 1;
    });
    fleet.storeDown_ = false;
    advanceUntil(fleet, [&fleet, &worker] {
        return isPlaced(fleet, worker, SecondJob, true);
    });
    fleet.storeDown_ = true;
    fleet.restartWorker(worker);
    return worker;
}
} // namespace

TEST_CASE("an end number of a former incarnation acknowledges no end of the next one", "[dispatch]")
{
    // Guards against ends that a worker deletes unread, or before they are stored: the task starts again although it is done.
    SimulatedFleet fleet;

    SECTION("when the next incarnation has not reported its end")
    {
        restartBetweenEndAndStart(fleet, 200ms);
        advanceUntil(fleet, [&fleet] {
            return fleet.starts_[SecondJob].size() == 1;
        });
        fleet.advance(300ms);
    }

    SECTION("when the next incarnation has reported its end and the leader is replaced before that is stored")
    {
        const auto worker = restartBetweenEndAndStart(fleet, 500ms);
        advanceUntil(fleet, [&fleet, &worker] {
            const auto &session = sessionOf(fleet, worker);
            return session.incarnation_ == 2 && session.lastEndSeen_ == 1;
        });
        fleet.storeDown_ = false;
        advanceUntil(fleet, [&fleet] {
            return fleet.phaseOf(FirstJob) == JobPhase::Completed;
        });
        fleet.storeDown_ = true;
        fleet.advance(50ms);
        fleet.startLeader();
    }
    fleet.storeDown_ = false;
    fleet.advance(10s);
    CHECK(fleet.phaseOf(SecondJob) == JobPhase::Completed);
    CHECK(fleet.violations_ == std::vector<std::string>{});
}

TEST_CASE("an end of a job that the feed shows late is applied when the job is known", "[dispatch]")
{
    // Guards against an end that is acknowledged and dropped: the task starts again although it is done.
    SimulatedFleet fleet;
    fleet.addWorkers(1, "zone-1", "r1-1");
    fleet.startLeader();
    fleet.advance(50ms);
    fleet.work_ = [](const TaskRef & /*task*/) {
        return 500ms;
    };
    fleet.submit(makeSubmission(FirstJob.value(), "batch", 1, SmallTask));
    advanceUntil(fleet, [&fleet] {
        return fleet.starts_[FirstJob].size() == 1;
    });
    fleet.killLeader();
    fleet.advance(590ms);
    fleet.hiddenJobs_ = {FirstJob};
    fleet.startLeader();
    fleet.advance(300ms);

    SECTION("by the same leader")
    {
        fleet.show(FirstJob);
    }

    SECTION("by the next leader, if this one ends before it knows the job")
    {
        fleet.killLeader();
        fleet.hiddenJobs_.clear();
        fleet.startLeader();
    }
    fleet.advance(10s);
    CHECK(fleet.phaseOf(FirstJob) == JobPhase::Completed);
    CHECK(fleet.starts_[FirstJob].size() == 1);
    CHECK(fleet.violations_ == std::vector<std::string>{});
}

TEST_CASE("a start command under way is not given up because of another command on its worker", "[dispatch]")
{
    // Guards against a task that starts elsewhere while the next incarnation of the worker can still execute its first command.
    SimulatedFleet fleet;
    fleet.addWorkers(1, "zone-1", "r1-1");
    fleet.startLeader();
    const auto worker = fleet.workerIds().front();
    fleet.advance(50ms);
    fleet.work_ = [](const TaskRef & /*task*/) {
        return 5s;
    };
    auto faults = 2;
    fleet.startFault_ = [&faults](const TaskRef &) {
        return faults-- > 0 ? 2 : 0;
    };
    fleet.submit(makeSubmission(FirstJob.value(), "batch", 1, SmallTask));
    fleet.advance(300ms);
    fleet.submit(makeSubmission(SecondJob.value(), "batch", 1, SmallTask));
    fleet.advance(50ms);
    REQUIRE(faults == 0);
    // The worker with less capacity is preferred.
    fleet.addWorkers(1, "zone-2", "r2-1");
    auto &other = fleet.worker(fleet.workerIds().back()).entry_;
    other.capacity_ = {128'000, 524'288, 4};
    fleet.scheduler_->updateWorker(other);
    fleet.advance(2985ms);
    fleet.restartWorker(worker);
    fleet.advance(15s);
    CHECK(fleet.violations_ == std::vector<std::string>{});
}

TEST_CASE("a worker that restarts at another address gets work although its entry vanished meanwhile", "[dispatch]")
{
    // Guards against a worker whose entries are rejected for ever because the leader keeps the former incarnation's address.
    SimulatedFleet fleet;
    fleet.addWorkers(1, "zone-1", "r1-1");
    fleet.startLeader();
    const auto id = fleet.workerIds().front();
    fleet.advance(50ms);
    fleet.worker(id).entry_.address_ = "new address";
    fleet.restartWorker(id);
    fleet.scheduler_->updateWorker(fleet.worker(id).entry_);
    fleet.scheduler_->removeWorker(id);
    fleet.advance(100ms);
    fleet.submit(makeSubmission(FirstJob.value(), "batch", 1, SmallTask));
    fleet.advance(1s);
    fleet.scheduler_->updateWorker(fleet.worker(id).entry_);
    fleet.advance(5s);
    CHECK(fleet.phaseOf(FirstJob) == JobPhase::Completed);
}
