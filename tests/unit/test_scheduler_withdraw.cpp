#include "schedulerharness.h"

#include <catch2/catch.hpp>

using namespace Marjoramfold;
using namespace std::chrono_literals;

namespace
{
auto reassignments(const SchedulerHarness &harness) -> std::vector<JobReassigned>
{
    std::vector<JobReassigned> found;
    for (const auto &command : harness.commands_) {
        if (const auto *moved = std::get_if<JobReassigned>(&command)) {
            found.push_back(*moved);
        }
    }
    return found;
}

const JobWithdrawn ToZoneB{JobId("j"), AvailabilityZoneId("b")};
} // namespace

SCENARIO("a withdrawn job is reassigned to another availability zone", "[scheduler]")
{
    SchedulerHarness harness;
    harness.addWorkers("a", 2, {8, 128, 500'000});
    GIVEN("a running gang")
    {
        auto job = makeJob("j", 2, 8);
        job.checkpointable_ = true;
        job.grace_ = 2s;
        harness.submit(job);
        harness.run(10s);
        REQUIRE(harness.runningTasks("j") == 2);
        harness.handle(ToZoneB);
        THEN("it is not reassigned while a member may still run, otherwise two zones would run it")
        {
            REQUIRE(reassignments(harness).empty());
            harness.run(5s);
            REQUIRE(harness.runningTasks("j") == 0);
            const auto moved = reassignments(harness);
            REQUIRE(moved.size() == 1);
            CHECK(moved.front().to_ == AvailabilityZoneId("b"));
            CHECK(moved.front().nextAttempt_ > 0);
            AND_THEN("its workers are free and it is not started here again")
            {
                harness.run(10s);
                CHECK(harness.runningTasks("j") == 0);
                CHECK(harness.scheduler_->summarize(AvailabilityZoneId("a")).freeAccelerators_ == 16);
            }
        }
    }
    GIVEN("a waiting gang")
    {
        harness.submit(makeJob("first", 2, 8));
        harness.run(2s);
        harness.submit(makeJob("j", 2, 8));
        harness.run(1s);
        harness.handle(ToZoneB);
        THEN("it is reassigned immediately")
        {
            REQUIRE(reassignments(harness).size() == 1);
            AND_WHEN("it is submitted here again")
            {
                harness.submit(makeJob("j", 2, 8));
                harness.handle(JobsCancelled{{JobId("first")}});
                harness.run(5s);
                THEN("it runs")
                {
                    CHECK(harness.runningTasks("j") == 2);
                }
            }
        }
    }
    GIVEN("a job that was cancelled while it ran")
    {
        harness.submit(makeJob("j", 2, 8));
        harness.run(2s);
        harness.handle(JobsCancelled{{JobId("j")}});
        harness.handle(ToZoneB);
        harness.run(5s);
        THEN("it is not reassigned")
        {
            CHECK(reassignments(harness).empty());
        }
    }
}
