#include "bench/experiment/policies.h"
#include "experimentscenario.h"

#include <catch2/catch.hpp>

using namespace Marjoramfold;
using namespace Marjoramfold::ExperimentTest;

namespace
{
/// JSON of a run without the keys whose values depend on the machine.
auto stableJson(const Scenario &scenario, const std::string &policy) -> std::string
{
    auto json = toJson(scenario, policy, runExperiment(scenario, *policyFactory(policy)));
    for (const auto *key : {"decision_p50_us", "decision_p99_us", "peak_memory_mb", "timing"}) {
        json.erase(key);
    }
    return json.dump();
}

/// A simulated cluster that records the events it delivers.
struct ClusterRun {
    explicit ClusterRun(Scenario scenario)
        : scenario_(std::move(scenario))
        , cluster_(scenario_, queue_, [this](SchedulerEvent event) {
            events_.push_back(std::move(event));
        })
    {
    }

    auto runUntil(int seconds) -> void
    {
        // The queue advances its clock only when it runs an event.
        queue_.schedule(ScenarioBuilder::at(seconds), [] {});
        while (queue_.runNext(ScenarioBuilder::at(seconds))) {}
    }

    template<typename Event>
    auto last() const -> const Event *
    {
        for (auto event = events_.rbegin(); event != events_.rend(); ++event) {
            if (const auto *found = std::get_if<Event>(&*event)) {
                return found;
            }
        }
        return nullptr;
    }

    Scenario scenario_;
    EventQueue queue_;
    std::vector<SchedulerEvent> events_;
    FakeCluster cluster_;
};
} // namespace

SCENARIO("a run is determined by scenario, policy and seed", "[experiment]")
{
    const auto first = *makeScenario("tritura-certo", 7, 1.0);
    const auto second = *makeScenario("tritura-certo", 7, 1.0);
    const auto other = *makeScenario("tritura-certo", 8, 1.0);
    const auto *policy = GENERATE("marjoramfold", "first-fit", "partition");
    REQUIRE(stableJson(first, policy) == stableJson(second, policy));
    REQUIRE(stableJson(first, policy) != stableJson(other, policy));
}

SCENARIO("each scenario contains the jobs, rules and faults that docs/design.md lists", "[experiment]")
{
    const auto *name = GENERATE("agenda-carpatica", "tritura-certo", "design-size");
    const auto scenario = *makeScenario(name, 1, 1.0);
    auto kinds = std::map<PlannedJobKind, int>{};
    auto urgent = 0;
    auto declaredTooLow = 0;
    auto declaredTooHigh = 0;
    auto aboveMemory = 0;
    for (const auto &job : scenario.jobs_) {
        ++kinds[job.kind_];
        urgent += job.spec_.priority_ == PriorityClass::Urgent ? 1 : 0;
        declaredTooLow += job.spec_.declaredRunTime_ * 3 < job.actualRunTime_ ? 1 : 0;
        declaredTooHigh += job.spec_.declaredRunTime_ > job.actualRunTime_ * 3 ? 1 : 0;
        aboveMemory += job.actualMemoryMb_ > job.spec_.task_.memoryMb_ ? 1 : 0;
    }
    REQUIRE(kinds[PlannedJobKind::Impossible] > 0);
    REQUIRE(kinds[PlannedJobKind::Crashing] > 0);
    REQUIRE(kinds[PlannedJobKind::Cancelled] > 0);
    REQUIRE(urgent > 0);
    REQUIRE(declaredTooLow > 0);
    REQUIRE(declaredTooHigh > 0);
    REQUIRE(aboveMemory > 0);
    REQUIRE(scenario.rules_.size() == 3);
    REQUIRE_FALSE(scenario.faults_.empty());
    REQUIRE(scenario.cancellations_.size() == 2);
}

SCENARIO("design-size has the size of the two-year plan", "[experiment]")
{
    const auto scenario = *makeScenario("design-size", 1, 1.0);
    auto accelerators = 0;
    for (const auto &worker : scenario.workers_) {
        accelerators += worker.capacity_.accelerators_;
    }
    REQUIRE(scenario.workers_.size() == 2'900);
    REQUIRE(accelerators == 4'320);
    REQUIRE(scenario.rules_.front().rules_->quotas_.size() == 440);
    REQUIRE(scenario.rules_.front().rules_->zones_.size() == 10);
}

SCENARIO("simulated workers follow the worker contract", "[experiment]")
{
    ScenarioBuilder builder;
    builder.addWorkers("a", 1);
    auto &job = builder.addJob("job", "planners", 1, 8);
    const TaskId task{job.spec_.id_, 0, 0};
    const auto spec = job.spec_;
    GIVEN("a Hold that is not followed by a Start")
    {
        ClusterRun run(builder.build());
        run.cluster_.execute(command(TaskCommandKind::Hold, task, "a0", spec));
        REQUIRE(run.cluster_.workers()[0].free_.accelerators_ == 0);
        THEN("the task is removed when its lease expires")
        {
            run.runUntil(4);
            REQUIRE(run.cluster_.workers()[0].free_.accelerators_ == 0);
            run.runUntil(6);
            REQUIRE(run.cluster_.workers()[0].free_.accelerators_ == 8);
            REQUIRE(run.last<TaskEnded>()->outcome_ == TaskOutcome::LeaseLapsed);
        }
        THEN("a second task is rejected for lack of resources")
        {
            run.cluster_.execute(command(TaskCommandKind::Hold, {spec.id_, 1, 0}, "a0", spec));
            run.runUntil(1);
            REQUIRE(run.last<TaskCommandResult>()->error_->kind_ == ErrorKind::NotRun);
        }
    }
    GIVEN("a Start without a Hold")
    {
        ClusterRun run(builder.build());
        run.cluster_.execute(command(TaskCommandKind::Start, task, "a0", spec));
        run.runUntil(1);
        THEN("it is rejected")
        {
            REQUIRE(run.last<TaskCommandResult>()->error_->kind_ == ErrorKind::NotRun);
        }
    }
    GIVEN("a running task")
    {
        auto withMemory = builder.build();
        withMemory.jobs_[0].actualMemoryMb_ = 5'000;
        withMemory.jobs_[0].actualRunTime_ = std::chrono::seconds(200);
        ClusterRun run(withMemory);
        run.cluster_.execute(command(TaskCommandKind::Hold, task, "a0", spec));
        run.cluster_.execute(command(TaskCommandKind::Start, task, "a0", spec));
        run.cluster_.execute(command(TaskCommandKind::Renew, task, "a0", spec));
        WHEN("it is stopped with a sufficient grace period")
        {
            run.runUntil(20);
            run.cluster_.execute(command(TaskCommandKind::Stop, task, "a0", spec));
            run.runUntil(21);
            REQUIRE(run.cluster_.workers()[0].free_.accelerators_ == 0);
            run.runUntil(25);
            THEN("its progress is saved, and a new attempt cannot start with more progress")
            {
                REQUIRE(run.last<TaskCommandResult>()->progress_ == std::chrono::seconds(20));
                REQUIRE(run.cluster_.workers()[0].free_.accelerators_ == 8);
                auto start = command(TaskCommandKind::Start, {spec.id_, 1, 0}, "a0", spec);
                start.progress_ = std::chrono::seconds(90);
                run.cluster_.execute(command(TaskCommandKind::Hold, start.task_, "a0", spec));
                run.cluster_.execute(start);
                REQUIRE(run.cluster_.startsBeyondCheckpoint() == 1);
                REQUIRE(run.cluster_.workers()[0].tasks_[0].progress_ == std::chrono::seconds(20));
            }
        }
        WHEN("it is stopped without a grace period")
        {
            run.runUntil(20);
            run.cluster_.execute([&] {
                auto stop = command(TaskCommandKind::Stop, task, "a0", spec);
                stop.grace_ = std::chrono::milliseconds(0);
                return stop;
            }());
            run.runUntil(21);
            THEN("its progress is lost")
            {
                REQUIRE(run.last<TaskCommandResult>()->progress_ == std::chrono::seconds(0));
                REQUIRE(run.cluster_.workers()[0].free_.accelerators_ == 8);
            }
        }
        WHEN("its lease is not renewed")
        {
            run.runUntil(59);
            REQUIRE(run.cluster_.workers()[0].tasks_.size() == 1);
            run.runUntil(61);
            THEN("it ends when its lease expires")
            {
                REQUIRE(run.last<TaskEnded>()->outcome_ == TaskOutcome::LeaseLapsed);
            }
        }
        WHEN("time passes")
        {
            run.runUntil(55);
            THEN("its memory usage is reported with a lag and grows to the actual usage")
            {
                REQUIRE(run.last<UsageReported>()->used_.memoryMb_ == 1'250);
                run.cluster_.execute(command(TaskCommandKind::Renew, task, "a0", spec));
                run.runUntil(110);
                run.cluster_.execute(command(TaskCommandKind::Renew, task, "a0", spec));
                run.runUntil(135);
                REQUIRE(run.last<UsageReported>()->used_.memoryMb_ == 5'000);
                REQUIRE(run.last<UsageReported>()->lag_ > std::chrono::milliseconds(0));
            }
        }
    }
}
