#include "schedulerharness.h"

#include <catch2/catch.hpp>

#include <algorithm>

using namespace Marjoramfold;
using namespace std::chrono_literals;

namespace
{
constexpr Resources AcceleratorWorker{8, 128, 500'000};

auto makeRules(const std::vector<std::string> &zones, int workers) -> std::shared_ptr<RuleSet>
{
    auto rules = std::make_shared<RuleSet>();
    for (const auto &zone : zones) {
        const AvailabilityZoneId id(zone);
        rules->zones_[id] = {id, AvailabilityZoneState::In, workers, 6, 8, {1, "zone", "I. Pop"}};
    }
    return rules;
}

auto guarantee(RuleSet &rules, const std::string &team, const std::string &zone, int accelerators, int perWorker) -> void
{
    rules.guarantees_[TeamId(team)][AvailabilityZoneId(zone)] = {TeamId(team), AvailabilityZoneId(zone), accelerators, perWorker, {2, "guarantee", "M. Dan"}};
}

auto jobOf(const std::string &team, const std::string &id, int gangSize, int accelerators) -> JobSpec
{
    auto spec = makeJob(id, gangSize, accelerators);
    spec.team_ = TeamId(team);
    return spec;
}

auto countStarts(const SchedulerHarness &harness, const std::string &worker) -> int
{
    return static_cast<int>(std::count_if(harness.commands_.begin(), harness.commands_.end(), [&worker](const SchedulerCommand &command) {
        const auto *task = std::get_if<TaskCommand>(&command);
        return task != nullptr && task->kind_ == TaskCommandKind::Start && task->worker_.value() == worker;
    }));
}
} // namespace

SCENARIO("idle guarantees are borrowed and reclaimed", "[scheduler]")
{
    SchedulerHarness harness;
    harness.addWorkers("a", 4, AcceleratorWorker);
    auto rules = makeRules({"a"}, 4);
    guarantee(*rules, "owner", "a", 16, 8);
    harness.handle(RulesChanged{rules});
    for (auto i = 0; i < 4; ++i) {
        harness.submit(jobOf("borrower", "b" + std::to_string(i), 1, 8));
    }
    harness.run(3s);
    REQUIRE(harness.runningAccelerators() == 32);
    WHEN("the owner submits guaranteed work")
    {
        harness.submit(jobOf("owner", "o", 2, 8));
        harness.run(9'100ms);
        THEN("it runs within the limit for urgent work, and no more borrowing gangs than needed are evicted")
        {
            REQUIRE(harness.runningTasks("o") == 2);
            REQUIRE(harness.runningAccelerators() == 32);
        }
        AND_WHEN("the borrower asks for more")
        {
            harness.submit(jobOf("borrower", "more", 1, 8));
            harness.run(30s);
            THEN("guaranteed work is never evicted for it")
            {
                REQUIRE(harness.runningTasks("o") == 2);
                REQUIRE(harness.runningTasks("more") == 0);
            }
        }
    }
    WHEN("urgent work comes from a team without any guarantee")
    {
        auto urgent = jobOf("other", "u", 1, 8);
        urgent.priority_ = PriorityClass::Urgent;
        harness.submit(urgent);
        harness.run(9'100ms);
        THEN("it replaces a borrowing gang within the limit for urgent work")
        {
            REQUIRE(harness.runningTasks("u") == 1);
        }
    }
}

SCENARIO("nothing starts in a zone whose start gate is closed or that is out of service", "[scheduler]")
{
    SchedulerHarness harness({"a", "b"});
    harness.addWorkers("a", 2, AcceleratorWorker);
    harness.addWorkers("b", 2, AcceleratorWorker);
    auto rules = makeRules({"a", "b"}, 2);
    harness.handle(RulesChanged{rules});
    GIVEN("a closed start gate in one zone")
    {
        harness.handle(StartGateChanged{AvailabilityZoneId("a"), false});
        harness.submit(makeJob("j", 4, 4));
        harness.submit(makeJob("k", 4, 4));
        harness.run(5s);
        THEN("no Start is sent there, and work waits until the gate opens")
        {
            REQUIRE(countStarts(harness, "w0") + countStarts(harness, "w1") == 0);
            REQUIRE(harness.runningAccelerators() == 16);
            harness.handle(StartGateChanged{AvailabilityZoneId("a"), true});
            harness.run(5s);
            REQUIRE(harness.runningAccelerators() == 32);
        }
    }
    GIVEN("a start gate that closes between Hold and Start")
    {
        harness.submit(makeJob("j", 4, 8));
        harness.run(100ms);
        harness.handle(StartGateChanged{AvailabilityZoneId("a"), false});
        harness.handle(StartGateChanged{AvailabilityZoneId("b"), false});
        harness.run(5s);
        THEN("the held gang is not started")
        {
            REQUIRE(harness.runningAccelerators() == 0);
        }
    }
    GIVEN("a running gang in a zone that is taken out of service")
    {
        harness.submit(makeJob("j", 2, 8));
        harness.run(3s);
        REQUIRE(harness.workersOf("j") == std::set<std::string>{"w0", "w1"});
        auto out = std::make_shared<RuleSet>(*rules);
        out->zones_[AvailabilityZoneId("a")].state_ = AvailabilityZoneState::Out;
        harness.handle(RulesChanged{out});
        harness.run(10s);
        THEN("it moves by checkpoint to the other zone and stays there when the zone returns")
        {
            REQUIRE(harness.workersOf("j") == std::set<std::string>{"w2", "w3"});
            harness.handle(RulesChanged{rules});
            harness.run(1min);
            REQUIRE(harness.workersOf("j") == std::set<std::string>{"w2", "w3"});
            REQUIRE(harness.started_["j"] == 2);
        }
    }
}

SCENARIO("failing workers are distinguished from failing jobs", "[scheduler]")
{
    SchedulerHarness harness;
    harness.addWorkers("a", 5, AcceleratorWorker);
    GIVEN("a worker on which every task fails")
    {
        harness.failingWorkers_.insert("w0");
        for (auto i = 0; i < 5; ++i) {
            harness.runTimes_["j" + std::to_string(i)] = 1min;
            harness.submit(makeJob("j" + std::to_string(i), 1, 8));
        }
        harness.run(10min);
        THEN("all jobs finish on other workers, and the worker is quarantined")
        {
            for (auto i = 0; i < 5; ++i) {
                REQUIRE(harness.stateOf("j" + std::to_string(i)) == JobState::Finished);
            }
            REQUIRE(countStarts(harness, "w0") <= 3);
        }
    }
    GIVEN("a job that fails on every worker")
    {
        harness.failingJobs_.insert("bad");
        harness.submit(makeJob("bad", 1, 8));
        harness.run(5min);
        THEN("it ends as failed after runs on three different workers")
        {
            REQUIRE(harness.stateOf("bad") == JobState::Failed);
            REQUIRE(harness.started_["bad"] == 3);
        }
    }
}

SCENARIO("memory use above the reservation is throttled, then the gang is evicted", "[scheduler]")
{
    SchedulerHarness harness;
    harness.addWorkers("a", 1, AcceleratorWorker);
    harness.submit(makeJob("j", 2, 2));
    harness.run(2s);
    const auto report = [&harness] {
        harness.handle(UsageReported{{JobId("j"), 0, 1}, WorkerId("w0"), {2, 4, 3'000}, 100ms});
    };
    report();
    THEN("a second report evicts the whole gang, which restarts with more memory reserved")
    {
        REQUIRE(std::get<TaskCommand>(harness.commands_.back()).kind_ == TaskCommandKind::Throttle);
        harness.run(1s);
        REQUIRE(harness.runningTasks("j") == 2);
        report();
        harness.run(5s);
        REQUIRE(harness.started_["j"] == 2);
        const auto hold = std::find_if(harness.commands_.rbegin(), harness.commands_.rend(), [](const SchedulerCommand &command) {
            const auto *task = std::get_if<TaskCommand>(&command);
            return task != nullptr && task->kind_ == TaskCommandKind::Hold;
        });
        REQUIRE(std::get<TaskCommand>(*hold).resources_.memoryMb_ >= 3'000);
    }
}
