#include "schedulerharness.h"

#include <catch2/catch.hpp>

using namespace Marjoramfold;
using namespace std::chrono_literals;

namespace
{
constexpr int GangSize = 3;

// 3 s first lease, plus one step of the harness and one message delay.
constexpr std::chrono::milliseconds MaxPartialRun{3'200};

auto nameOf(MessageFault fault) -> std::string
{
    switch (fault) {
    case MessageFault::None:
        return "none";
    case MessageFault::Lost:
        return "lost";
    case MessageFault::Delayed:
        return "delayed";
    case MessageFault::Duplicated:
        return "duplicated";
    case MessageFault::AnswerLost:
        return "answer lost";
    case MessageFault::OutcomeUnknown:
        return "outcome unknown after execution";
    case MessageFault::Refused:
        return "refused";
    }
    return "";
}

/// Injects a fault into the command of one kind to one member in the first attempt.
auto faultAt(TaskCommandKind kind, std::uint32_t member, MessageFault fault) -> SchedulerHarness::FaultHook
{
    return [=](const TaskCommand &command) {
        const auto isAffected = command.kind_ == kind && command.task_.index_ == member && command.task_.attempt_ == 0;
        return isAffected ? fault : MessageFault::None;
    };
}
} // namespace

// Guards against a gang that runs partially, runs twice, or never runs after a fault in one message of its start.
SCENARIO("a gang start survives every fault of every message", "[scheduler][faults]")
{
    const auto kind = GENERATE(TaskCommandKind::Hold, TaskCommandKind::Start, TaskCommandKind::Renew);
    const auto member = GENERATE(0U, 1U, 2U);
    const auto fault = GENERATE(
        MessageFault::Lost, MessageFault::Delayed, MessageFault::Duplicated, MessageFault::AnswerLost, MessageFault::OutcomeUnknown, MessageFault::Refused);
    DYNAMIC_SECTION("kind " << static_cast<int>(kind) << " member " << member << ": " << nameOf(fault))
    {
        SchedulerHarness harness;
        harness.addWorkers("a", GangSize, {8, 128, 500'000});
        harness.runTimes_["j"] = 5min;
        harness.fault_ = faultAt(kind, member, fault);
        harness.submit(makeJob("j", GangSize, 8));
        harness.run(10min);
        REQUIRE(harness.longestPartialRun_ <= MaxPartialRun);
        REQUIRE(harness.duplicateRuns_ == 0);
        REQUIRE(harness.ended_["j"].size() == 1);
        REQUIRE(harness.ended_["j"].front().state_ == JobState::Finished);
        REQUIRE(harness.scheduler_->summarize(AvailabilityZoneId("a")).freeAccelerators_ == GangSize * 8);
    }
}

// Guards against a partial gang that keeps running after its scheduler was replaced during the start.
SCENARIO("a gang start survives a replacement of the scheduler after every step", "[scheduler][faults]")
{
    const auto steps = GENERATE(range(0, 9));
    DYNAMIC_SECTION("replaced after " << steps << " steps of 100 ms")
    {
        SchedulerHarness harness;
        harness.addWorkers("a", GangSize, {8, 128, 500'000});
        harness.runTimes_["j"] = 5min;
        harness.submit(makeJob("j", GangSize, 8));
        harness.run(steps * 100ms);
        harness.replaceScheduler();
        harness.run(10min);
        REQUIRE(harness.longestPartialRun_ <= MaxPartialRun);
        REQUIRE(harness.duplicateRuns_ == 0);
        REQUIRE(harness.ended_["j"].size() == 1);
        REQUIRE(harness.ended_["j"].front().state_ == JobState::Finished);
    }
}

// Guards against a gang that keeps running partially, or runs twice, after a worker was lost.
SCENARIO("a running gang stops as a whole when a worker is lost", "[scheduler][faults]")
{
    SchedulerHarness harness;
    harness.addWorkers("a", GangSize, {8, 128, 500'000});
    harness.runTimes_["j"] = 5min;
    harness.submit(makeJob("j", GangSize, 8));
    harness.run(2s);
    REQUIRE(harness.runningTasks("j") == GangSize);
    WHEN("a worker is lost and its lease expires")
    {
        harness.handle(WorkerDown{WorkerId("w0")});
        THEN("the members on the other workers are stopped immediately, and nothing starts before the lease expired")
        {
            harness.run(500ms);
            REQUIRE(harness.runningTasks("j") <= 1);
            harness.run(2min);
            REQUIRE(harness.duplicateRuns_ == 0);
        }
    }
}
