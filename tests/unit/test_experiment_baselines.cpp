#include "bench/experiment/policies.h"
#include "experimentscenario.h"

#include <catch2/catch.hpp>

using namespace Marjoramfold;
using namespace Marjoramfold::ExperimentTest;

namespace
{
/// Simulated seconds until the last compared job finished.
auto longest(const Scenario &scenario, const std::string &policy) -> double
{
    const auto result = runExperiment(scenario, *policyFactory(policy));
    REQUIRE(result.completion_.finished_ == result.completion_.submitted_);
    REQUIRE(count(result, ViolationKind::PartialGang) == 0);
    REQUIRE(count(result, ViolationKind::DoubleRun) == 0);
    REQUIRE(count(result, ViolationKind::StartInOutZone) == 0);
    return result.completion_.all_.max_;
}
} // namespace

SCENARIO("baselines keep their order", "[experiment]")
{
    ScenarioBuilder builder;
    builder.addWorkers("a", 2);
    builder.addJob("running", "planners", 1, 8, 1);
    builder.addJob("large", "planners", 2, 8, 2);
    builder.addJob("small", "planners", 1, 8, 3).trueRunTime_ = std::chrono::seconds(50);
    const auto scenario = builder.build();
    THEN("strict first-fit holds the small job back until the large one ran")
    {
        REQUIRE(longest(scenario, "first-fit") == Approx(248).margin(1));
    }
    THEN("first-fit-skip lets it go ahead")
    {
        REQUIRE(longest(scenario, "first-fit-skip") == Approx(199).margin(1));
    }
}

SCENARIO("partition keeps teams on their shares", "[experiment]")
{
    ScenarioBuilder builder;
    builder.addWorkers("a", 8).addGuarantee("planners", "a", 16, 8).addGuarantee("covers", "a", 16, 8);
    for (auto i = 0; i < 5; ++i) {
        builder.addJob("job" + std::to_string(i), "planners", 1, 8);
    }
    THEN("the fifth job waits for one of the team's four workers although four others are free")
    {
        REQUIRE(longest(builder.build(), "partition") == Approx(200).margin(1));
    }
    THEN("first-fit runs all at once")
    {
        REQUIRE(longest(builder.build(), "first-fit") == Approx(100).margin(1));
    }
    THEN("a gang that is larger than its share runs on all workers")
    {
        builder.addJob("large", "planners", 8, 8, 250);
        REQUIRE(longest(builder.build(), "partition") == Approx(200).margin(1));
    }
}

SCENARIO("baselines survive what goes wrong", "[experiment]")
{
    ScenarioBuilder builder;
    const auto *policy = GENERATE("first-fit", "first-fit-skip", "partition");
    GIVEN("a worker that fails all it starts")
    {
        builder.addWorkers("a", 3).addGuarantee("planners", "a", 24, 8);
        builder.scenario_.faults_.push_back({0, ScenarioBuilder::at(0), ScenarioBuilder::at(600), false, std::chrono::milliseconds(0)});
        builder.addJob("job", "planners", 2, 8);
        THEN("the gang is retried elsewhere")
        {
            REQUIRE(longest(builder.build(), policy) < 110);
        }
    }
    GIVEN("a worker that is lost and comes back")
    {
        builder.addWorkers("a", 2).addGuarantee("planners", "a", 16, 8);
        builder.scenario_.faults_.push_back({0, ScenarioBuilder::at(20), ScenarioBuilder::at(40), true, std::chrono::milliseconds(0)});
        builder.addJob("job", "planners", 2, 8);
        THEN("the gang starts again only after the lease of the lost member")
        {
            // The lease of 60 s was renewed at 20 s.
            REQUIRE(longest(builder.build(), policy) == Approx(179).margin(2));
        }
    }
    GIVEN("a job that fits nowhere in front of one that fits")
    {
        builder.addWorkers("a", 1).addGuarantee("planners", "a", 8, 8);
        builder.addJob("impossible", "planners", 1, 16).kind_ = PlannedJobKind::Impossible;
        builder.addJob("job", "planners", 1, 8, 2);
        THEN("it holds up nothing")
        {
            REQUIRE(longest(builder.build(), policy) == Approx(100).margin(1));
        }
    }
    GIVEN("an availability zone that is taken out under a running gang")
    {
        builder.addWorkers("a", 2).addWorkers("b", 2).addGuarantee("planners", "a", 16, 8).takeOut("a", 61);
        builder.addJob("job", "planners", 2, 8);
        THEN("the gang goes on in the other zone from its checkpoint")
        {
            // 2 s of checkpoint and 0.5 s until the rules are known.
            REQUIRE(longest(builder.build(), policy) == Approx(102.5).margin(1.5));
        }
    }
}
