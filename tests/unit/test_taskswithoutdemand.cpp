#include "tests/support/simulatedfleet.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <cstddef>
#include <string>

using namespace Marjoramfold;
using namespace Marjoramfold::Test;
using namespace std::chrono_literals;

// Jobs of tasks that take nothing of a worker's capacity, such as filling tasks that need neither memory nor accelerators.

namespace
{
const JobId FirstJob("00000000000000a1");
const JobId SecondJob("00000000000000a2");
constexpr ResourceVector NoDemand{};
/// Many times the workers of a rack of the fleet.
constexpr std::uint32_t Count = 24;
} // namespace

TEST_CASE("tasks without demand do not end the leader", "[dispatch][demand]")
{
    // Guards against leaders that end one after the other, by an assertion in the pass that places a stored job of such tasks on idle workers.
    SimulatedFleet fleet;
    addTwoRacks(fleet);

    SECTION("when they are alone on an idle fleet")
    {
        fleet.submit(makeSubmission(FirstJob.value(), "batch", Count, NoDemand));
        fleet.advance(4s);
        CHECK(fleet.phaseOf(FirstJob) == JobPhase::Completed);
        CHECK(fleet.starts_[FirstJob].size() == Count);
    }

    SECTION("when they are an urgent gang of one rack")
    {
        fleet.submit(asGang(makeSubmission(FirstJob.value(), "urgent", Count, NoDemand)));
        fleet.advance(4s);
        CHECK(fleet.phaseOf(FirstJob) == JobPhase::Completed);
    }

    SECTION("when a job with several such steps is scheduled repeatedly")
    {
        auto job = makeSubmission(FirstJob.value(), "batch", Count, NoDemand);
        job.plan_.steps_.push_back(job.plan_.steps_[0]);
        job.plan_.steps_[1].dependsOn_ = {0};
        job.plan_.occurrences_ = 2;
        job.plan_.firstDue_ = fleet.now() + 500ms;
        job.plan_.interval_ = 1ms;
        fleet.submit(job);
        fleet.advance(8s);
        CHECK(fleet.phaseOf(FirstJob) == JobPhase::Completed);
    }

    SECTION("when the next leader finds the job in the store")
    {
        fleet.killLeader();
        fleet.submit(makeSubmission(FirstJob.value(), "batch", Count, NoDemand));
        fleet.startLeader();
        fleet.advance(4s);
        CHECK(fleet.phaseOf(FirstJob) == JobPhase::Completed);
    }

    SECTION("nor start when the job was cancelled before the next leader")
    {
        fleet.killLeader();
        fleet.submit(makeSubmission(FirstJob.value(), "batch", Count, NoDemand));
        fleet.cancel(FirstJob);
        fleet.startLeader();
        fleet.advance(4s);
        CHECK(fleet.starts_[FirstJob].empty());
    }

    SECTION("when the workers have no capacity at all")
    {
        for (const auto &id : fleet.workerIds()) {
            fleet.worker(id).entry_.capacity_ = {};
        }
        fleet.startLeader();
        fleet.submit(makeSubmission(FirstJob.value(), "batch", Count, NoDemand));
        fleet.advance(4s);
        CHECK(fleet.phaseOf(FirstJob) == JobPhase::Completed);
    }
    CHECK(fleet.violations_ == std::vector<std::string>{});
}

TEST_CASE("tasks without demand leave workers idle", "[dispatch][demand]")
{
    // Guards against counts of idle workers that disagree: such a task leaves the whole worker free for other work.
    SimulatedFleet fleet;
    addTwoRacks(fleet);
    fleet.work_ = [](const TaskRef &task) {
        return task.job_ == FirstJob ? 10'000ms : 2'000ms;
    };
    fleet.submit(makeSubmission(FirstJob.value(), "batch", Count, NoDemand));
    fleet.advance(500ms);
    REQUIRE(fleet.runningTasks() == Count);

    SECTION("so that an urgent gang takes them whole, and stops nothing")
    {
        fleet.submit(asGang(makeSubmission(SecondJob.value(), "urgent", 3, WholeWorkerTask)));
        fleet.advance(3s);
        CHECK(fleet.phaseOf(SecondJob) == JobPhase::Completed);
        CHECK(fleet.runningTasks() == Count);
    }

    SECTION("and they are not stopped where other work has to be")
    {
        fleet.submit(makeSubmission(SecondJob.value(), "batch", 6, WholeWorkerTask));
        fleet.advance(500ms);
        REQUIRE(fleet.runningTasks() == Count + 6);
        fleet.submit(asGang(makeSubmission("00000000000000a3", "urgent", 2, WholeWorkerTask)));
        fleet.advance(3s);
        CHECK(fleet.phaseOf(JobId("00000000000000a3")) == JobPhase::Completed);
        CHECK(fleet.starts_[FirstJob].size() == Count);
    }
    CHECK(fleet.violations_ == std::vector<std::string>{});
}
