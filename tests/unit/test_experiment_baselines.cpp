#include "bench/experiment/policies.h"
#include "experimentscenario.h"

#include <catch2/catch.hpp>

using namespace Marjoramfold;
using namespace Marjoramfold::ExperimentTest;

namespace
{
/// Longest completion time of a compared job, in simulated seconds. Requires that all finish, and that the baseline keeps the
/// invariants that do not concern guarantees.
auto lastCompletionSeconds(const Scenario &scenario, const std::string &policy) -> double
{
    const auto result = runExperiment(scenario, *policyFactory(policy));
    REQUIRE(result.completion_.finished_ == result.completion_.submitted_);
    REQUIRE(count(result, ViolationKind::PartialGang) == 0);
    REQUIRE(count(result, ViolationKind::DoubleRun) == 0);
    REQUIRE(count(result, ViolationKind::StartInOutZone) == 0);
    return result.completion_.all_.max_;
}
} // namespace

SCENARIO("baselines keep their queue order", "[experiment]")
{
    ScenarioBuilder builder;
    builder.addWorkers("a", 2);
    builder.addJob("running", "planners", 1, 8, 1);
    builder.addJob("large", "planners", 2, 8, 2);
    builder.addJob("small", "planners", 1, 8, 3).actualRunTime_ = std::chrono::seconds(50);
    const auto scenario = builder.build();
    THEN("first-fit blocks the small job until the large one has run")
    {
        REQUIRE(lastCompletionSeconds(scenario, "first-fit") == Approx(248).margin(1));
    }
    THEN("first-fit-skip lets the small job overtake")
    {
        REQUIRE(lastCompletionSeconds(scenario, "first-fit-skip") == Approx(199).margin(1));
    }
}

SCENARIO("partition restricts teams to their partitions", "[experiment]")
{
    ScenarioBuilder builder;
    builder.addWorkers("a", 8).addGuarantee("planners", "a", 16, 8).addGuarantee("covers", "a", 16, 8);
    for (auto i = 0; i < 5; ++i) {
        builder.addJob("job" + std::to_string(i), "planners", 1, 8);
    }
    THEN("the fifth job waits for one of the team's four workers although four others are idle")
    {
        REQUIRE(lastCompletionSeconds(builder.build(), "partition") == Approx(200).margin(1));
    }
    THEN("first-fit runs all jobs at once")
    {
        REQUIRE(lastCompletionSeconds(builder.build(), "first-fit") == Approx(100).margin(1));
    }
    THEN("a gang that is larger than its partition may use all workers")
    {
        builder.addJob("large", "planners", 8, 8, 250);
        REQUIRE(lastCompletionSeconds(builder.build(), "partition") == Approx(200).margin(1));
    }
}

SCENARIO("baselines handle failures and zone changes", "[experiment]")
{
    ScenarioBuilder builder;
    const auto *policy = GENERATE("first-fit", "first-fit-skip", "partition");
    GIVEN("a worker that fails every task that it starts")
    {
        builder.addWorkers("a", 3).addGuarantee("planners", "a", 24, 8);
        builder.scenario_.faults_.push_back({0, ScenarioBuilder::at(0), ScenarioBuilder::at(600), false, std::chrono::milliseconds(0)});
        builder.addJob("job", "planners", 2, 8);
        THEN("the gang is retried on other workers")
        {
            REQUIRE(lastCompletionSeconds(builder.build(), policy) < 110);
        }
    }
    GIVEN("a worker that is lost and returns")
    {
        builder.addWorkers("a", 2).addGuarantee("planners", "a", 16, 8);
        builder.scenario_.faults_.push_back({0, ScenarioBuilder::at(20), ScenarioBuilder::at(40), true, std::chrono::milliseconds(0)});
        builder.addJob("job", "planners", 2, 8);
        THEN("the gang is restarted only after the lease of the lost member")
        {
            // The lease of 60 s was last renewed at 20 s.
            REQUIRE(lastCompletionSeconds(builder.build(), policy) == Approx(179).margin(2));
        }
    }
    GIVEN("an impossible job ahead of one that fits")
    {
        builder.addWorkers("a", 1).addGuarantee("planners", "a", 8, 8);
        builder.addJob("impossible", "planners", 1, 16).kind_ = PlannedJobKind::Impossible;
        builder.addJob("job", "planners", 1, 8, 2);
        THEN("it does not block the other job")
        {
            REQUIRE(lastCompletionSeconds(builder.build(), policy) == Approx(100).margin(1));
        }
    }
    GIVEN("an availability zone that is taken out while a gang runs there")
    {
        builder.addWorkers("a", 2).addWorkers("b", 2).addGuarantee("planners", "a", 16, 8).takeZoneOut("a", 61);
        builder.addJob("job", "planners", 2, 8);
        THEN("the gang resumes in the other zone from its checkpoint")
        {
            // 2 s for the checkpoint and 0.5 s until the scheduler receives the rules.
            REQUIRE(lastCompletionSeconds(builder.build(), policy) == Approx(102.5).margin(1.5));
        }
    }
}
