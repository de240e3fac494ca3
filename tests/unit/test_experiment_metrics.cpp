#include "bench/experiment/policies.h"
#include "bench/experiment/summary.h"
#include "experimentscenario.h"

#include <catch2/catch.hpp>

#include <numeric>
#include <sstream>

using namespace Marjoramfold;
using namespace Marjoramfold::ExperimentTest;

SCENARIO("percentiles are nearest-rank", "[experiment]")
{
    std::vector<double> values(100);
    std::iota(values.rbegin(), values.rend(), 1.0);
    const auto distribution = distributionOf(values);
    REQUIRE(distribution.mean_ == Approx(50.5));
    REQUIRE(distribution.p95_ == 95);
    REQUIRE(distribution.p99_ == 99);
    REQUIRE(distribution.max_ == 100);
    REQUIRE(distributionOf({7}).p99_ == 7);
    REQUIRE(distributionOf({}).count_ == 0);
}

SCENARIO("fragmentation compares the idle workers with those that packing would give", "[experiment]")
{
    ScenarioBuilder builder;
    builder.addWorkers("a", 2);
    builder.addJob("first", "planners", 1, 4);
    builder.addJob("second", "planners", 1, 4);
    const auto *secondWorker = GENERATE("a0", "a1");
    const auto result =
        runExperiment(builder.build(), scriptedPolicy([secondWorker](const JobArrived &arrived) {
                          return runTaskCommands({arrived.spec_.id_, 0, 0}, arrived.spec_.id_.value() == "first" ? "a0" : secondWorker, arrived.spec_);
                      }));
    // Eight accelerators are free in both cases: all of one worker, or half of each.
    REQUIRE(result.fragmentation_ == (std::string(secondWorker) == "a0" ? 0.0 : 1.0));
    REQUIRE(result.utilization_ == Approx(0.5));
}

SCENARIO("useful work excludes lost work", "[experiment]")
{
    ScenarioBuilder builder;
    builder.addWorkers("a", 1);
    auto &job = builder.addJob("job", "planners", 1, 8);
    const auto policy = scriptedPolicy([](const JobArrived &arrived) {
        return runTaskCommands({arrived.spec_.id_, 0, 0}, "a0", arrived.spec_);
    });
    GIVEN("a job that finishes")
    {
        job.actualRunTime_ = std::chrono::seconds(250);
        const auto result = runExperiment(builder.build(), policy);
        THEN("its time in the window counts relative to the capacity of 17 samples of 10 s")
        {
            REQUIRE(result.zoneChangeUsefulWork_ == Approx(151.012 / 170));
        }
    }
    GIVEN("a job whose lease expires before it ends and before any checkpoint")
    {
        job.actualRunTime_ = std::chrono::seconds(350);
        const auto result = runExperiment(builder.build(), policy);
        THEN("no work counts")
        {
            REQUIRE(result.zoneChangeUsefulWork_ == 0);
        }
    }
}

SCENARIO("memory that a policy holds is attributed to it", "[experiment]")
{
    ScenarioBuilder builder;
    builder.addWorkers("a", 1);
    builder.addJob("job", "planners", 1, 8);
    constexpr std::size_t HeldBytes = 5'000'000;
    const auto result = runExperiment(builder.build(), [](const Scenario &) -> SchedulingPolicy {
        return [held = std::make_shared<std::vector<char>>()](const SchedulerEvent &, SteadyTime) {
            held->resize(HeldBytes);
            return std::vector<SchedulerCommand>{};
        };
    });
    REQUIRE(result.peakMemoryMb_ == Approx(5.0).margin(0.1));
    REQUIRE(runExperiment(builder.scenario_, *policyFactory("first-fit")).peakMemoryMb_ < 1.0);
}

SCENARIO("tables have one row per policy that was run", "[experiment]")
{
    ScenarioBuilder builder;
    builder.addWorkers("a", 1);
    builder.addJob("job", "planners", 1, 8);
    const auto scenario = builder.build();
    std::stringstream lines;
    for (const auto *policy : {"first-fit", "partition"}) {
        lines << toJson(scenario, policy, runExperiment(scenario, *policyFactory(policy))).dump() << '\n';
    }
    const auto table = summarize(lines);
    REQUIRE(table.find("| first-fit | 1 of 1 | 100 |") != std::string::npos);
    REQUIRE(table.find("| partition | 1 of 1 | 100 |") != std::string::npos);
    REQUIRE(table.find("marjoramfold") == std::string::npos);
}
