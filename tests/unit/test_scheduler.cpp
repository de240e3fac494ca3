#include "schedulerharness.h"

#include <catch2/catch.hpp>

using namespace Marjoramfold;
using namespace std::chrono_literals;

SCENARIO("a job runs from its submission to its end", "[scheduler]")
{
    SchedulerHarness harness;
    harness.addWorkers("a", 4, {8, 128, 500'000});
    harness.runTimes_["j"] = 10min;
    harness.submit(makeJob("j", 4, 8));
    WHEN("its members are held and started")
    {
        harness.run(2s);
        THEN("the whole gang runs and is reported once")
        {
            REQUIRE(harness.runningTasks("j") == 4);
            REQUIRE(harness.started_["j"] == 1);
            REQUIRE(harness.stateOf("j") == JobState::Running);
        }
        AND_WHEN("it runs longer than any lease")
        {
            harness.run(11min);
            THEN("renewals keep it running until it finishes")
            {
                REQUIRE(harness.ended_["j"].size() == 1);
                REQUIRE(harness.ended_["j"].front().state_ == JobState::Finished);
                REQUIRE(harness.started_["j"] == 1);
            }
        }
        AND_WHEN("it is cancelled twice")
        {
            harness.handle(JobsCancelled{{JobId("j"), JobId("unknown")}});
            harness.handle(JobsCancelled{{JobId("j")}});
            harness.run(1s);
            THEN("it ends once and its workers are free again")
            {
                REQUIRE(harness.ended_["j"].size() == 1);
                REQUIRE(harness.ended_["j"].front().state_ == JobState::Cancelled);
                REQUIRE(harness.runningAccelerators() == 0);
                REQUIRE(harness.scheduler_->summarize(AvailabilityZoneId("a")).freeAccelerators_ == 32);
            }
        }
        AND_WHEN("one of its workers is lost")
        {
            harness.handle(WorkerDown{WorkerId("w1")});
            harness.run(90s);
            THEN("the other members are stopped, and the job waits for room instead of running partially")
            {
                REQUIRE(harness.runningTasks("j") == 0);
                REQUIRE(harness.stateOf("j") == JobState::Waiting);
                REQUIRE(harness.duplicateRuns_ == 0);
            }
        }
    }
}

SCENARIO("jobs that can never run are rejected immediately", "[scheduler]")
{
    SchedulerHarness harness;
    harness.addWorkers("a", 2, {8, 128, 500'000});
    auto rules = std::make_shared<RuleSet>();
    rules->zones_[AvailabilityZoneId("a")] = {AvailabilityZoneId("a"), AvailabilityZoneState::In, 2, 6, 8, {3, "zone line", "I. Pop"}};
    rules->quotas_[TeamId("team")] = {TeamId("team"), 12, {7, "quota line", "M. Dan"}};
    harness.handle(RulesChanged{rules});
    GIVEN("a gang above its team's quota")
    {
        harness.submit(makeJob("j", 2, 8));
        THEN("it is parked with the quota's line, and runs under a larger quota")
        {
            REQUIRE(harness.ended_["j"].front().state_ == JobState::Parked);
            REQUIRE(harness.ended_["j"].front().rule_->number_ == 7);
            auto larger = std::make_shared<RuleSet>(*rules);
            larger->quotas_[TeamId("team")].accelerators_ = 16;
            harness.handle(RulesChanged{larger});
            harness.run(2s);
            REQUIRE(harness.runningTasks("j") == 2);
        }
    }
    GIVEN("a gang that fits no worker")
    {
        harness.submit(makeJob("j", 1, 9));
        THEN("it is parked with the line of the availability zone")
        {
            REQUIRE(harness.ended_["j"].front().state_ == JobState::Parked);
            REQUIRE(harness.ended_["j"].front().rule_->number_ == 3);
        }
    }
    GIVEN("a gang above the maximum gang size")
    {
        harness.submit(makeJob("j", MaxGangSize + 1, 0));
        THEN("it ends as failed")
        {
            REQUIRE(harness.ended_["j"].front().state_ == JobState::Failed);
        }
    }
}

// Guards against decisions that depend on hash order or addresses; a replay of the log must produce the same state.
SCENARIO("the same events produce the same commands", "[scheduler]")
{
    const auto record = [] {
        SchedulerHarness harness({"a", "b"});
        harness.addWorkers("a", 4, {8, 128, 500'000});
        harness.addWorkers("b", 4, {8, 128, 500'000});
        harness.failingWorkers_.insert("w2");
        for (auto i = 0; i < 40; ++i) {
            auto job = makeJob("j" + std::to_string(i), 1 + i % 5, 1 + i % 8);
            job.team_ = TeamId("team" + std::to_string(i % 3));
            job.priority_ = i % 7 == 0 ? PriorityClass::Urgent : PriorityClass::Normal;
            harness.runTimes_[job.id_.value()] = std::chrono::seconds(30 + 7 * i);
            harness.submit(job);
        }
        harness.run(10min);
        std::vector<std::string> lines;
        for (const auto &command : harness.commands_) {
            if (const auto *task = std::get_if<TaskCommand>(&command)) {
                lines.push_back(std::to_string(static_cast<int>(task->kind_)) + ' ' + toString(task->task_) + ' ' + task->worker_.value());
            }
        }
        return lines;
    };
    const auto first = record();
    REQUIRE(first.size() > 200);
    REQUIRE(first == record());
}

SCENARIO("a quota counts what the team uses under other schedulers", "[scheduler]")
{
    SchedulerHarness harness;
    harness.addWorkers("a", 4, {8, 128, 500'000});
    auto rules = std::make_shared<RuleSet>();
    rules->zones_[AvailabilityZoneId("a")] = {AvailabilityZoneId("a"), AvailabilityZoneState::In, 4, 6, 8, {}};
    rules->quotas_[TeamId("team")] = {TeamId("team"), 16, {}};
    harness.handle(RulesChanged{rules});
    // Otherwise each availability zone would grant the whole quota.
    harness.handle(TeamUseElsewhere{{{TeamId("team"), 8}}});
    harness.submit(makeJob("first", 1, 8));
    harness.submit(makeJob("second", 1, 8));
    harness.run(2s);
    REQUIRE(harness.runningAccelerators() == 8);
    WHEN("the other scheduler's work ends")
    {
        harness.handle(TeamUseElsewhere{});
        harness.run(2s);
        THEN("the waiting job starts")
        {
            REQUIRE(harness.runningAccelerators() == 16);
        }
    }
}
