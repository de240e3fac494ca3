#include "bench/experiment/policies.h"
#include "experimentscenario.h"

#include <catch2/catch.hpp>

using namespace Marjoramfold;
using namespace Marjoramfold::ExperimentTest;

namespace
{
auto baseline() -> PolicyFactory
{
    return *policyFactory("first-fit");
}

/// A policy that hides some events from the first-fit baseline.
auto baselineWithout(std::function<bool(const SchedulerEvent &)> isHidden) -> PolicyFactory
{
    return [isHidden = std::move(isHidden)](const Scenario &scenario) -> SchedulingPolicy {
        return [isHidden, inner = baseline()(scenario)](const SchedulerEvent &event, SteadyTime now) -> std::vector<SchedulerCommand> {
            return isHidden(event) ? std::vector<SchedulerCommand>{} : inner(event, now);
        };
    };
}

auto requireOnly(const RunResult &result, ViolationKind expected) -> void
{
    for (const auto kind : {ViolationKind::Guarantee, ViolationKind::PartialGang, ViolationKind::StartInOutZone, ViolationKind::DoubleRun}) {
        CAPTURE(static_cast<int>(kind));
        REQUIRE((count(result, kind) > 0) == (kind == expected));
    }
}
} // namespace

SCENARIO("a correct policy causes no violation", "[experiment]")
{
    ScenarioBuilder builder;
    builder.addWorkers("a", 3).addWorkers("b", 3).addGuarantee("planners", "a", 16, 8).takeZoneOut("a", 30);
    builder.addJob("gang", "planners", 2, 8);
    builder.addJob("late", "planners", 2, 4, 40);
    builder.addJob("plain", "covers", 1, 1);
    const auto result = runExperiment(builder.build(), baseline());
    REQUIRE(result.violations_.counts_.empty());
    REQUIRE(result.completion_.finished_ == 3);
    REQUIRE(result.startsBeyondCheckpoint_ == 0);
}

SCENARIO("the checker reports a gang that runs without all its members", "[experiment]")
{
    ScenarioBuilder builder;
    builder.addWorkers("a", 2);
    builder.addJob("gang", "planners", 2, 8);
    GIVEN("a policy that starts one member of two and renews it")
    {
        const auto result = runExperiment(builder.build(), scriptedPolicy([](const JobArrived &arrived) {
                                              return runTaskCommands({arrived.spec_.id_, 0, 0}, "a0", arrived.spec_);
                                          }));
        THEN("a partial gang is reported, and the job does not count as finished")
        {
            requireOnly(result, ViolationKind::PartialGang);
            REQUIRE(result.completion_.finished_ == 0);
        }
    }
    GIVEN("a policy that starts one member of two and does not renew it, so that the first lease ends the partial gang")
    {
        const auto result = runExperiment(builder.build(), scriptedPolicy([](const JobArrived &arrived) {
                                              auto commands = runTaskCommands({arrived.spec_.id_, 0, 0}, "a0", arrived.spec_);
                                              commands.pop_back();
                                              return commands;
                                          }));
        THEN("nothing is reported, since the duration is within the bound of the start lease")
        {
            REQUIRE(count(result, ViolationKind::PartialGang) == 0);
        }
    }
    GIVEN("a policy that receives no notice of a lost worker")
    {
        // Lost right after a lease renewal, so that the policy learns of the loss only at the next renewal.
        builder.scenario_.faults_.push_back({1, ScenarioBuilder::at(22), ScenarioBuilder::at(300), true, std::chrono::milliseconds(0)});
        const auto result = runExperiment(builder.build(), baselineWithout([](const SchedulerEvent &event) {
                                              return std::holds_alternative<WorkerDown>(event);
                                          }));
        THEN("the remaining member is reported as a partial gang")
        {
            REQUIRE(count(result, ViolationKind::PartialGang) > 0);
        }
    }
}

SCENARIO("the checker reports a start in an availability zone that is out", "[experiment]")
{
    ScenarioBuilder builder;
    builder.addWorkers("a", 2).addWorkers("b", 2).takeZoneOut("a", 10);
    GIVEN("a policy that does not receive the new rules, and a job that arrives after the bound")
    {
        builder.addJob("late", "planners", 1, 8, 20);
        const auto result = runExperiment(builder.build(), baselineWithout([](const SchedulerEvent &event) {
                                              const auto *change = std::get_if<RulesChanged>(&event);
                                              return change != nullptr && change->rules_->version_ > 1;
                                          }));
        THEN("the start is reported")
        {
            requireOnly(result, ViolationKind::StartInOutZone);
        }
    }
    GIVEN("the same policy, and a job that arrives within the bound")
    {
        builder.addJob("soon", "planners", 1, 8, 12);
        const auto result = runExperiment(builder.build(), baselineWithout([](const SchedulerEvent &event) {
                                              const auto *change = std::get_if<RulesChanged>(&event);
                                              return change != nullptr && change->rules_->version_ > 1;
                                          }));
        THEN("nothing is reported")
        {
            REQUIRE(count(result, ViolationKind::StartInOutZone) == 0);
        }
    }
}

SCENARIO("the checker reports a job that runs twice", "[experiment]")
{
    ScenarioBuilder builder;
    builder.addWorkers("a", 2);
    auto &job = builder.addJob("job", "planners", 1, 8);
    GIVEN("a policy that starts two attempts at once")
    {
        const auto result = runExperiment(builder.build(), scriptedPolicy([](const JobArrived &arrived) {
                                              auto commands = runTaskCommands({arrived.spec_.id_, 0, 0}, "a0", arrived.spec_);
                                              const auto second = runTaskCommands({arrived.spec_.id_, 1, 0}, "a1", arrived.spec_);
                                              commands.insert(commands.end(), second.begin(), second.end());
                                              return commands;
                                          }));
        THEN("the second attempt is reported")
        {
            requireOnly(result, ViolationKind::DoubleRun);
        }
    }
    GIVEN("a policy that runs a finished job again")
    {
        job.actualRunTime_ = std::chrono::seconds(5);
        const auto spec = job.spec_;
        const auto result = runExperiment(builder.build(), [spec](const Scenario &) -> SchedulingPolicy {
            return [spec](const SchedulerEvent &event, SteadyTime) -> std::vector<SchedulerCommand> {
                const auto *ended = std::get_if<TaskEnded>(&event);
                const auto first = std::holds_alternative<JobArrived>(event);
                const auto again = ended != nullptr && ended->task_.attempt_ == 0;
                return first || again ? runTaskCommands({spec.id_, first ? 0U : 1U, 0}, "a0", spec) : std::vector<SchedulerCommand>{};
            };
        });
        THEN("the second run is reported, and the job counts as finished once")
        {
            requireOnly(result, ViolationKind::DoubleRun);
            REQUIRE(result.completion_.finished_ == 1);
        }
    }
}

SCENARIO("the checker reports a violated guarantee", "[experiment]")
{
    ScenarioBuilder builder;
    builder.addWorkers("a", 2).addGuarantee("planners", "a", 8, 8).addGuarantee("covers", "a", 8, 1);
    GIVEN("a policy that starts nothing while a team waits within its guarantee")
    {
        builder.addJob("wanted", "planners", 1, 8);
        const auto result = runExperiment(builder.build(), scriptedPolicy([](const JobArrived &) {
                                              return std::vector<SchedulerCommand>{};
                                          }));
        THEN("the violation is reported once for the job")
        {
            requireOnly(result, ViolationKind::Guarantee);
            REQUIRE(count(result, ViolationKind::Guarantee) == 1);
        }
    }
    GIVEN("a policy that starts nothing, a job that exceeds its team's guarantee, and one that requires one rack")
    {
        builder.addJob("large", "planners", 2, 8);
        builder.addJob("near", "covers", 2, 1).spec_.adjacency_ = Adjacency::Rack;
        const auto result = runExperiment(builder.build(), scriptedPolicy([](const JobArrived &) {
                                              return std::vector<SchedulerCommand>{};
                                          }));
        THEN("nothing is reported, since guarantees do not cover these jobs")
        {
            REQUIRE(result.violations_.counts_.empty());
        }
    }
    GIVEN("a policy that spreads guaranteed work of one team over all workers")
    {
        builder.addJob("first", "covers", 1, 1);
        builder.addJob("second", "covers", 1, 1, 2);
        const auto result =
            runExperiment(builder.build(), scriptedPolicy([](const JobArrived &arrived) {
                              return runTaskCommands({arrived.spec_.id_, 0, 0}, arrived.spec_.id_.value() == "first" ? "a0" : "a1", arrived.spec_);
                          }));
        THEN("a violation is reported, since no whole worker is left for the guarantee of another team")
        {
            requireOnly(result, ViolationKind::Guarantee);
        }
    }
    GIVEN("the same two jobs on one worker")
    {
        builder.addJob("first", "covers", 1, 1);
        builder.addJob("second", "covers", 1, 1, 2);
        const auto result = runExperiment(builder.build(), scriptedPolicy([](const JobArrived &arrived) {
                                              return runTaskCommands({arrived.spec_.id_, 0, 0}, "a0", arrived.spec_);
                                          }));
        THEN("nothing is reported")
        {
            REQUIRE(result.violations_.counts_.empty());
        }
    }
}

SCENARIO("metrics do not rely on the records of a policy", "[experiment]")
{
    ScenarioBuilder builder;
    builder.addWorkers("a", 2);
    builder.addJob("job", "planners", 1, 8);
    const auto result = runExperiment(
        builder.build(), scriptedPolicy([](const JobArrived &arrived) {
            return std::vector<SchedulerCommand>{JobStarted{arrived.spec_.id_, 0, {}}, JobEnded{arrived.spec_.id_, JobState::Finished, "", std::nullopt}};
        }));
    REQUIRE(result.completion_.finished_ == 0);
    // The job is submitted 1 s after the start of a run of 600 s.
    REQUIRE(result.completion_.all_.mean_ == Approx(599));
    REQUIRE(result.completion_.submitted_ == 1);
}
