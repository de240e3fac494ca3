#pragma once

#include "marjoramfold/scheduling/scheduler.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace Marjoramfold
{
/// Fault injected into the delivery of one command.
enum class MessageFault {
    None,
    Lost,
    Delayed,
    Duplicated,
    AnswerLost,
    OutcomeUnknown,
    Refused,
};

/// Drives a scheduler against in-memory workers that enforce leases and capacity, and records violations of the gang guarantees.
class SchedulerHarness
{
public:
    using FaultHook = std::function<MessageFault(const TaskCommand &command)>;

    explicit SchedulerHarness(std::vector<std::string> zones = {"a"}, SchedulerOptions options = {});

    /// Adds workers of the given capacity, perRack to each rack.
    auto addWorkers(const std::string &zone, int count, const Resources &capacity, int perRack = 6) -> void;

    auto submit(const JobSpec &spec) -> void;
    auto handle(const SchedulerEvent &event) -> void;

    /// Advances time in steps of 100 ms.
    auto run(std::chrono::milliseconds time) -> void;

    /// Replaces the scheduler by a new one that recovers from the worker inventory, as a new owner does.
    auto replaceScheduler() -> void;

    /// Run time after which the tasks of a job finish; jobs without an entry run until stopped.
    std::map<std::string, std::chrono::milliseconds> runTimes_;
    /// Workers on which every task fails soon after its start.
    std::set<std::string> failingWorkers_;
    /// Jobs that fail on every worker.
    std::set<std::string> failingJobs_;
    FaultHook fault_;
    std::unique_ptr<Scheduler> scheduler_;
    SteadyTime now_{std::chrono::hours(1)};

    /// All commands of the scheduler, in order.
    std::vector<SchedulerCommand> commands_;
    std::map<std::string, std::vector<JobEnded>> ended_;
    std::map<std::string, int> started_;

    /// Longest time during which only part of a gang ran.
    std::chrono::milliseconds longestPartialRun_{0};
    int duplicateRuns_ = 0;
    int overcommittedHolds_ = 0;

    [[nodiscard]] auto runningTasks(const std::string &job) const -> int;
    [[nodiscard]] auto runningAccelerators() const -> int;
    [[nodiscard]] auto workersOf(const std::string &job) const -> std::set<std::string>;
    [[nodiscard]] auto stateOf(const std::string &job) const -> std::optional<JobState>;

private:
    struct FakeTask {
        bool running_ = false;
        Resources resources_;
        SteadyTime leaseEnd_{};
        SteadyTime startedAt_{};
        SteadyTime doneAt_ = SteadyTime::max();
        std::chrono::milliseconds progress_{0};
        bool fails_ = false;
    };
    struct Delivery {
        SteadyTime at_{};
        std::function<void()> action_;
    };

    auto executeAll(const std::vector<SchedulerCommand> &commands) -> void;
    auto deliver(const TaskCommand &command) -> void;
    auto schedule(std::chrono::milliseconds delay, std::function<void()> action) -> void;
    auto execute(const TaskCommand &command) -> TaskCommandResult;
    auto startTask(FakeTask &task, const TaskCommand &command) -> void;
    auto step() -> void;
    auto endTasks() -> void;
    auto checkGangs() -> void;
    auto answer(TaskCommandResult result) -> void;

    std::vector<std::string> zones_;
    SchedulerOptions options_;
    std::map<std::string, WorkerInfo> workers_;
    std::map<WorkerId, std::map<TaskId, FakeTask>> tasks_;
    std::map<std::string, JobSpec> specs_;
    std::map<std::string, std::set<std::uint32_t>> finishedTasks_;
    std::map<std::string, SteadyTime> partialSince_;
    std::multimap<SteadyTime, std::function<void()>> deliveries_;
    RuleSetPointer rules_;
    int generation_ = 0;
};

/// A job with default values.
[[nodiscard]] inline auto makeJob(const std::string &id, int gangSize, int accelerators, Adjacency adjacency = Adjacency::None) -> JobSpec
{
    JobSpec spec;
    spec.id_ = JobId(id);
    spec.team_ = TeamId("team");
    spec.name_ = "work";
    spec.gangSize_ = gangSize;
    spec.task_ = {accelerators, 4, 1'000};
    spec.adjacency_ = adjacency;
    spec.declaredRunTime_ = std::chrono::minutes(10);
    spec.grace_ = std::chrono::seconds(2);
    return spec;
}
} // namespace Marjoramfold
