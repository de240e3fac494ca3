#pragma once

#include "bench/experiment/harness.h"

#include <memory>
#include <string>
#include <vector>

namespace Marjoramfold::ExperimentTest
{
/// Builds a small scenario whose workers have 8 accelerators each.
class ScenarioBuilder
{
public:
    ScenarioBuilder()
    {
        scenario_.name_ = "test";
        scenario_.loadEnd_ = at(60);
        scenario_.end_ = at(600);
        scenario_.zoneOut_ = at(100);
        scenario_.zoneBack_ = at(200);
    }

    static auto at(int seconds) -> SteadyTime
    {
        return SteadyTime{} + std::chrono::seconds(seconds);
    }

    auto addWorkers(const std::string &zone, int count) -> ScenarioBuilder &
    {
        AvailabilityZoneRule rule;
        rule.zone_ = AvailabilityZoneId(zone);
        rule.workers_ = count;
        rule.workersPerRack_ = 6;
        rule.acceleratorsPerWorker_ = 8;
        rules_.zones_[rule.zone_] = rule;
        for (auto i = 0; i < count; ++i) {
            scenario_.workers_.push_back({WorkerId(zone + std::to_string(i)), rule.zone_, RackId(zone + "-rack"), {8, 130, 500'000}, ""});
        }
        return *this;
    }

    auto addGuarantee(const std::string &team, const std::string &zone, int accelerators, int perWorker) -> ScenarioBuilder &
    {
        const AvailabilityZoneId id(zone);
        rules_.guarantees_[TeamId(team)][id] = {TeamId(team), id, accelerators, perWorker, {}};
        return *this;
    }

    /// Adds a job that runs for 100 s; returns it for modification.
    auto addJob(const std::string &id, const std::string &team, int gangSize, int accelerators, int submitted = 1) -> PlannedJob &
    {
        PlannedJob job;
        job.spec_.id_ = JobId(id);
        job.spec_.team_ = TeamId(team);
        job.spec_.name_ = "test";
        job.spec_.gangSize_ = gangSize;
        job.spec_.task_ = {accelerators, accelerators, 1'000};
        job.spec_.declaredRunTime_ = std::chrono::seconds(100);
        job.spec_.grace_ = std::chrono::seconds(2);
        job.submitted_ = at(submitted);
        job.actualRunTime_ = std::chrono::seconds(100);
        job.actualMemoryMb_ = 1'000;
        scenario_.jobs_.push_back(job);
        return scenario_.jobs_.back();
    }

    /// Takes an availability zone out at a simulated time.
    auto takeZoneOut(const std::string &zone, int seconds) -> ScenarioBuilder &
    {
        outZone_ = AvailabilityZoneId(zone);
        outAt_ = at(seconds);
        return *this;
    }

    auto build() -> Scenario
    {
        rules_.version_ = 1;
        scenario_.rules_.push_back({SteadyTime{}, std::make_shared<const RuleSet>(rules_)});
        if (!outZone_.isEmpty()) {
            rules_.version_ = 2;
            rules_.zones_.at(outZone_).state_ = AvailabilityZoneState::Out;
            scenario_.rules_.push_back({outAt_, std::make_shared<const RuleSet>(rules_)});
        }
        return scenario_;
    }

    Scenario scenario_;

private:
    RuleSet rules_;
    AvailabilityZoneId outZone_;
    SteadyTime outAt_;
};

/// A command for a task, with the leases of docs/design.md, section 5.5.
inline auto command(TaskCommandKind kind, const TaskId &task, const std::string &worker, const JobSpec &spec) -> TaskCommand
{
    TaskCommand result;
    result.kind_ = kind;
    result.task_ = task;
    result.worker_ = WorkerId(worker);
    result.resources_ = spec.task_;
    result.lease_ = std::chrono::seconds(kind == TaskCommandKind::Hold ? 5 : kind == TaskCommandKind::Start ? 3 : 60);
    result.grace_ = std::chrono::seconds(5);
    return result;
}

/// A policy that returns the given commands for each arrival, and none for other events.
inline auto scriptedPolicy(std::function<std::vector<SchedulerCommand>(const JobArrived &)> onArrival) -> PolicyFactory
{
    return [onArrival = std::move(onArrival)](const Scenario &) -> SchedulingPolicy {
        return [onArrival](const SchedulerEvent &event, SteadyTime) -> std::vector<SchedulerCommand> {
            const auto *arrived = std::get_if<JobArrived>(&event);
            return arrived == nullptr ? std::vector<SchedulerCommand>{} : onArrival(*arrived);
        };
    };
}

/// Hold, Start and Renew of one task in one message; the renewed lease is longer than the task.
inline auto runTaskCommands(const TaskId &task, const std::string &worker, const JobSpec &spec) -> std::vector<SchedulerCommand>
{
    auto renew = command(TaskCommandKind::Renew, task, worker, spec);
    renew.lease_ = std::chrono::seconds(300);
    return {command(TaskCommandKind::Hold, task, worker, spec), command(TaskCommandKind::Start, task, worker, spec), renew};
}

/// Number of violations of one kind in a run.
inline auto count(const RunResult &result, ViolationKind kind) -> int
{
    return result.violations_.count(kind);
}
} // namespace Marjoramfold::ExperimentTest
