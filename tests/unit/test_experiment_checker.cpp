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

SCENARIO("a clean policy causes no violation", "[experiment]")
{
    ScenarioBuilder builder;
    builder.addWorkers("a", 3).addWorkers("b", 3).addGuarantee("planners", "a", 16, 8).takeOut("a", 30);
    builder.addJob("gang", "planners", 2, 8);
    builder.addJob("late", "planners", 2, 4, 40);
    builder.addJob("plain", "covers", 1, 1);
    const auto result = runExperiment(builder.build(), baseline());
    REQUIRE(result.violations_.counts_.empty());
    REQUIRE(result.completion_.finished_ == 3);
    REQUIRE(result.inventedProgress_ == 0);
}

SCENARIO("the checker sees a gang that runs without all its members", "[experiment]")
{
    ScenarioBuilder builder;
    builder.addWorkers("a", 2);
    builder.addJob("gang", "planners", 2, 8);
    GIVEN("a policy that starts one member of two and renews it")
    {
        const auto result = runExperiment(builder.build(), scripted([](const JobArrived &arrived) {
                                              return runTask({arrived.spec_.id_, 0, 0}, "a0", arrived.spec_);
                                          }));
        THEN("it is a partial gang, and the job never counts as finished")
        {
            requireOnly(result, ViolationKind::PartialGang);
            REQUIRE(result.completion_.finished_ == 0);
        }
    }
    GIVEN("a policy whose second start is lost, so that the first lease ends the partial gang")
    {
        const auto result = runExperiment(builder.build(), scripted([](const JobArrived &arrived) {
                                              auto commands = runTask({arrived.spec_.id_, 0, 0}, "a0", arrived.spec_);
                                              commands.pop_back();
                                              return commands;
                                          }));
        THEN("it is within the bound of the start lease")
        {
            REQUIRE(count(result, ViolationKind::PartialGang) == 0);
        }
    }
    GIVEN("a policy that does not hear that a worker is lost")
    {
        // Right after a renewal of leases, so that the policy learns of the loss only at the next one.
        builder.scenario_.faults_.push_back({1, ScenarioBuilder::at(22), ScenarioBuilder::at(300), true, std::chrono::milliseconds(0)});
        const auto result = runExperiment(builder.build(), baselineWithout([](const SchedulerEvent &event) {
                                              return std::holds_alternative<WorkerDown>(event);
                                          }));
        THEN("the rest of the gang is reported")
        {
            REQUIRE(count(result, ViolationKind::PartialGang) > 0);
        }
    }
}

SCENARIO("the checker sees a start in an availability zone that is out", "[experiment]")
{
    ScenarioBuilder builder;
    builder.addWorkers("a", 2).addWorkers("b", 2).takeOut("a", 10);
    GIVEN("a policy that does not hear of the new rules and a job after the bound")
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
    GIVEN("a job that arrives within the bound")
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

SCENARIO("the checker sees a job that runs twice", "[experiment]")
{
    ScenarioBuilder builder;
    builder.addWorkers("a", 2);
    auto &job = builder.addJob("job", "planners", 1, 8);
    GIVEN("a policy that starts two attempts at once")
    {
        const auto result = runExperiment(builder.build(), scripted([](const JobArrived &arrived) {
                                              auto commands = runTask({arrived.spec_.id_, 0, 0}, "a0", arrived.spec_);
                                              const auto second = runTask({arrived.spec_.id_, 1, 0}, "a1", arrived.spec_);
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
        job.trueRunTime_ = std::chrono::seconds(5);
        const auto spec = job.spec_;
        const auto result = runExperiment(builder.build(), [spec](const Scenario &) -> SchedulingPolicy {
            return [spec](const SchedulerEvent &event, SteadyTime) -> std::vector<SchedulerCommand> {
                const auto *ended = std::get_if<TaskEnded>(&event);
                const auto first = std::holds_alternative<JobArrived>(event);
                const auto again = ended != nullptr && ended->task_.attempt_ == 0;
                return first || again ? runTask({spec.id_, first ? 0U : 1U, 0}, "a0", spec) : std::vector<SchedulerCommand>{};
            };
        });
        THEN("the second run is reported and the job counts once")
        {
            requireOnly(result, ViolationKind::DoubleRun);
            REQUIRE(result.completion_.finished_ == 1);
        }
    }
}

SCENARIO("the checker sees a guarantee that is not kept", "[experiment]")
{
    ScenarioBuilder builder;
    builder.addWorkers("a", 2).addGuarantee("planners", "a", 8, 8).addGuarantee("covers", "a", 8, 1);
    GIVEN("a policy that starts nothing while a team waits within its guarantee")
    {
        builder.addJob("wanted", "planners", 1, 8);
        const auto result = runExperiment(builder.build(), scripted([](const JobArrived &) {
                                              return std::vector<SchedulerCommand>{};
                                          }));
        THEN("it is reported once for the job")
        {
            requireOnly(result, ViolationKind::Guarantee);
            REQUIRE(count(result, ViolationKind::Guarantee) == 1);
        }
    }
    GIVEN("a policy that starts nothing for a team whose job is larger than its guarantee, or in need of one rack")
    {
        builder.addJob("large", "planners", 2, 8);
        builder.addJob("near", "covers", 2, 1).spec_.adjacency_ = Adjacency::Rack;
        const auto result = runExperiment(builder.build(), scripted([](const JobArrived &) {
                                              return std::vector<SchedulerCommand>{};
                                          }));
        THEN("nothing is reported, since no guarantee covers them")
        {
            REQUIRE(result.violations_.counts_.empty());
        }
    }
    GIVEN("a policy that spreads guaranteed work of one team over all workers")
    {
        builder.addJob("first", "covers", 1, 1);
        builder.addJob("second", "covers", 1, 1, 2);
        const auto result = runExperiment(builder.build(), scripted([](const JobArrived &arrived) {
                                              return runTask({arrived.spec_.id_, 0, 0}, arrived.spec_.id_.value() == "first" ? "a0" : "a1", arrived.spec_);
                                          }));
        THEN("the whole worker that another team is guaranteed cannot be formed")
        {
            requireOnly(result, ViolationKind::Guarantee);
        }
    }
    GIVEN("the same two jobs on one worker")
    {
        builder.addJob("first", "covers", 1, 1);
        builder.addJob("second", "covers", 1, 1, 2);
        const auto result = runExperiment(builder.build(), scripted([](const JobArrived &arrived) {
                                              return runTask({arrived.spec_.id_, 0, 0}, "a0", arrived.spec_);
                                          }));
        THEN("nothing is reported")
        {
            REQUIRE(result.violations_.counts_.empty());
        }
    }
}

SCENARIO("figures do not follow the word of a policy", "[experiment]")
{
    ScenarioBuilder builder;
    builder.addWorkers("a", 2);
    builder.addJob("job", "planners", 1, 8);
    const auto result = runExperiment(
        builder.build(), scripted([](const JobArrived &arrived) {
            return std::vector<SchedulerCommand>{JobStarted{arrived.spec_.id_, 0, {}}, JobEnded{arrived.spec_.id_, JobState::Finished, "", std::nullopt}};
        }));
    REQUIRE(result.completion_.finished_ == 0);
    // Submitted after 1 s of a run of 600 s.
    REQUIRE(result.completion_.all_.mean_ == Approx(599));
    REQUIRE(result.completion_.submitted_ == 1);
}
