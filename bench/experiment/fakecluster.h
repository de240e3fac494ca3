#pragma once

#include "eventqueue.h"
#include "fakejobs.h"
#include "marjoramfold/scheduling/events.h"
#include "scenario.h"

#include <functional>
#include <unordered_map>
#include <vector>

namespace Marjoramfold
{
/// One-way network delay of commands and answers.
constexpr std::chrono::milliseconds MessageDelay{2};

struct FakeWorker {
    WorkerInfo info_;
    Resources free_;
    std::vector<FakeTask> tasks_;
    bool lost_ = false;
    SteadyTime lostAt_;
    bool failing_ = false;
    /// Time of the next check for expired leases.
    SteadyTime nextLeaseCheck_ = SteadyTime::max();
};

/// Simulates all workers: executes commands by the worker contract and reports results as events.
class FakeCluster
{
public:
    /// Delivers an event to the policy; called after the network delay has passed.
    using Deliver = std::function<void(SchedulerEvent)>;

    FakeCluster(const Scenario &scenario, EventQueue &queue, Deliver deliver);

    auto addObserver(FakeClusterObserver *observer) -> void;

    /// Schedules the worker faults of the scenario.
    auto scheduleFaults() -> void;

    /// Reports all open attempts as closed, with their current progress as saved.
    auto closeAllAttempts() -> void;

    /// Executes a command that arrives at its worker now.
    auto execute(const TaskCommand &command) -> void;
    auto execute(const RenewLeases &command) -> void;
    auto execute(const ProbeWorker &command) -> void;

    [[nodiscard]] auto workers() const -> const std::vector<FakeWorker> &
    {
        return workers_;
    }
    [[nodiscard]] auto jobs() const -> const std::vector<FakeJob> &
    {
        return jobs_.all();
    }
    /// Number of Start commands with more progress than any checkpoint saved; the excess is ignored.
    [[nodiscard]] auto startsBeyondCheckpoint() const -> int
    {
        return startsBeyondCheckpoint_;
    }

private:
    auto hold(FakeWorker &worker, const TaskCommand &command) -> void;
    auto start(FakeWorker &worker, const TaskCommand &command) -> void;
    auto renew(FakeWorker &worker, const TaskCommand &command) -> void;
    auto checkpoint(FakeWorker &worker, const TaskCommand &command) -> void;
    auto throttle(FakeWorker &worker, const TaskCommand &command) -> void;
    auto stop(FakeWorker &worker, const TaskCommand &command) -> void;

    auto answer(const TaskCommand &command, std::optional<ErrorKind> error, std::chrono::milliseconds progress, std::chrono::milliseconds delay) -> void;
    auto find(FakeWorker &worker, const TaskId &task) -> FakeTask *;
    auto progressOf(const FakeTask &task) const -> std::chrono::milliseconds;
    auto scheduleFinish(const FakeTask &task) -> void;
    auto scheduleUsageReport(const FakeTask &task, std::chrono::milliseconds delay) -> void;
    auto memoryOf(const FakeTask &task) const -> std::int64_t;
    auto reportUsage(FakeWorker &worker, const FakeTask &task) -> void;
    auto killLargestOverReservation(FakeWorker &worker) -> void;
    auto scheduleLeaseCheck(FakeWorker &worker) -> void;
    auto checkLeases(FakeWorker &worker) -> void;
    auto end(FakeTask task, TaskOutcome outcome, const std::string &reason) -> void;
    auto remove(const FakeTask &task) -> void;
    auto loseWorker(std::size_t worker) -> void;
    auto restoreWorker(std::size_t worker) -> void;
    auto scheduleIfUnchanged(const FakeTask &task, std::chrono::milliseconds delay, std::function<void(FakeWorker &, FakeTask &)> action) -> void;

    const Scenario &scenario_;
    EventQueue &queue_;
    Deliver deliver_;
    std::vector<FakeWorker> workers_;
    FakeJobs jobs_;
    std::unordered_map<WorkerId, std::size_t> workerIndex_;
    std::uint64_t nextGeneration_ = 1;
    int startsBeyondCheckpoint_ = 0;
};
} // namespace Marjoramfold
