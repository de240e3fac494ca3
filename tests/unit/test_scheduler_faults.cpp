#include "schedulerharness.h"

#include <catch2/catch.hpp>

using namespace Marjoramfold;
using namespace std::chrono_literals;

namespace
{
constexpr int GangSize = 3;

// The first lease bounds a partial gang; the rest is one step of the harness and the way of a message.
constexpr std::chrono::milliseconds PartialBound{3'200};

auto nameOf(MessageFault fault) -> std::string
{
    switch (fault) {
    case MessageFault::None:
        return "none";
    case MessageFault::Lost:
        return "lost";
    case MessageFault::Delayed:
        return "late";
    case MessageFault::Duplicated:
        return "doubled";
    case MessageFault::AnswerLost:
        return "answer lost";
    case MessageFault::OutcomeUnknown:
        return "answer unknown after its effect";
    case MessageFault::Refused:
        return "refused";
    }
    return "";
}

/// Hits one message of the start sequence: the command of a kind to one member in the first attempt.
auto faultAt(TaskCommandKind kind, std::uint32_t member, MessageFault fault) -> SchedulerHarness::FaultHook
{
    return [=](const TaskCommand &command) {
        const auto isHit = command.kind_ == kind && command.task_.index_ == member && command.task_.attempt_ == 0;
        return isHit ? fault : MessageFault::None;
    };
}
} // namespace

// Guards against a gang that runs in part, runs twice, or never runs after one message of its start went wrong.
SCENARIO("every message of a gang start may fail in every way", "[scheduler][faults]")
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
        REQUIRE(harness.longestPartialRun_ <= PartialBound);
        REQUIRE(harness.duplicateRuns_ == 0);
        REQUIRE(harness.ended_["j"].size() == 1);
        REQUIRE(harness.ended_["j"].front().state_ == JobState::Finished);
        REQUIRE(harness.scheduler_->summarize(AvailabilityZoneId("a")).freeAccelerators_ == GangSize * 8);
    }
}

// Guards against a gang that outlives the scheduler that started it in part.
SCENARIO("the scheduler may be replaced after every step of a gang start", "[scheduler][faults]")
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
        REQUIRE(harness.longestPartialRun_ <= PartialBound);
        REQUIRE(harness.duplicateRuns_ == 0);
        REQUIRE(harness.ended_["j"].size() == 1);
        REQUIRE(harness.ended_["j"].front().state_ == JobState::Finished);
    }
}

// Guards against work that keeps running in part, or is lost, when a renewal fails while the gang runs.
SCENARIO("renewals of a running gang may fail", "[scheduler][faults]")
{
    SchedulerHarness harness;
    harness.addWorkers("a", GangSize, {8, 128, 500'000});
    harness.runTimes_["j"] = 5min;
    harness.submit(makeJob("j", GangSize, 8));
    harness.run(2s);
    REQUIRE(harness.runningTasks("j") == GangSize);
    WHEN("a worker is lost and its lease lapses")
    {
        harness.handle(WorkerDown{WorkerId("w0")});
        THEN("the members on the other workers are stopped at once, and nothing starts before the lease lapsed")
        {
            harness.run(500ms);
            REQUIRE(harness.runningTasks("j") <= 1);
            harness.run(2min);
            REQUIRE(harness.duplicateRuns_ == 0);
        }
    }
}
