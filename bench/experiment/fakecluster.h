#pragma once

#include "eventqueue.h"
#include "marjoramfold/scheduling/events.h"
#include "scenario.h"

#include <functional>
#include <map>
#include <unordered_map>
#include <vector>

namespace Marjoramfold
{
/// One-way delay of commands and answers.
constexpr std::chrono::milliseconds MessageDelay{2};

/// States of a task on a fake worker.
enum class FakeTaskState {
    Held,
    Computing,
    /// Checkpoints within its grace; it holds its resources and computes nothing.
    Stopping,
};

/// A task on a fake worker.
struct FakeTask {
    TaskId id_;
    std::size_t job_ = 0;
    std::size_t worker_ = 0;
    Resources resources_;
    FakeTaskState state_ = FakeTaskState::Held;
    SteadyTime leaseUntil_;
    /// Start of the present stretch of computing, and progress at that time.
    SteadyTime since_;
    std::chrono::milliseconds progress_{0};
    bool throttled_ = false;
    /// Invalidates planned events of an earlier state.
    std::uint64_t generation_ = 0;
};

/// A stretch of computing of one member.
struct ComputeStretch {
    std::size_t worker_ = 0;
    SteadyTime from_;
    SteadyTime to_;
    std::chrono::milliseconds progress_{0};
    bool throttled_ = false;
};

/// What the fakes know of one attempt of a job.
struct FakeAttempt {
    std::uint32_t number_ = 0;
    int held_ = 0;
    int computing_ = 0;
    int stopping_ = 0;
    int finished_ = 0;
    /// True once a member failed or was lost.
    bool failed_ = false;
    /// Progress saved by each member.
    std::vector<std::chrono::milliseconds> saved_;
    std::vector<ComputeStretch> stretches_;

    /// Members that are still on workers.
    [[nodiscard]] auto present() const -> int
    {
        return held_ + computing_ + stopping_;
    }
};

/// What the fakes know of a job.
struct FakeJob {
    std::map<std::uint32_t, FakeAttempt> attempts_;
    std::chrono::milliseconds saved_{0};
    std::optional<SteadyTime> firstStart_;
    std::optional<SteadyTime> finished_;
    /// Attempts that ended with a failed or lost member, and the time of the last one.
    int failures_ = 0;
    SteadyTime lastFailure_;
};

/// A fake worker.
struct FakeWorker {
    WorkerInfo info_;
    Resources free_;
    std::vector<FakeTask> tasks_;
    bool lost_ = false;
    bool failing_ = false;
    /// When the next lapse of a lease is looked for.
    SteadyTime leaseCheck_ = SteadyTime::max();
};

/// What an observer of the fakes is told. States are those after the change.
class FakeClusterObserver
{
public:
    virtual ~FakeClusterObserver() = default;

    /// A task was held, or changed its state.
    virtual auto taskChanged(const FakeTask & /*task*/, const FakeAttempt & /*attempt*/) -> void {}
    /// A Start reached a worker that did not refuse it.
    virtual auto taskStarted(const FakeTask & /*task*/) -> void {}
    /// A task left its worker.
    virtual auto taskGone(const FakeTask & /*task*/, const FakeAttempt & /*attempt*/) -> void {}
    /// The last member of an attempt left its worker; the attempt is forgotten afterwards.
    virtual auto attemptClosed(std::size_t /*job*/, const FakeAttempt & /*attempt*/) -> void {}
    /// A worker was lost or came back.
    virtual auto workerChanged(std::size_t /*worker*/) -> void {}
};

/// Fakes of all workers: they carry out commands by the worker contract and report by events.
class FakeCluster
{
public:
    /// Sends events to the policy; the delay of the answer has passed when it is called.
    using Deliver = std::function<void(SchedulerEvent)>;

    FakeCluster(const Scenario &scenario, EventQueue &queue, Deliver deliver);

    auto addObserver(FakeClusterObserver *observer) -> void;

    /// Plans the worker faults of the scenario.
    auto planFaults() -> void;

    /// Reports all attempts that are still there as closed, with their present progress as saved.
    auto closeAll() -> void;

    /// Carries out commands that reach the workers now.
    auto execute(const TaskCommand &command) -> void;
    auto execute(const RenewLeases &command) -> void;
    auto execute(const ProbeWorker &command) -> void;

    [[nodiscard]] auto workers() const -> const std::vector<FakeWorker> &
    {
        return workers_;
    }
    [[nodiscard]] auto jobs() const -> const std::vector<FakeJob> &
    {
        return jobs_;
    }
    /// Progress given by Start commands beyond what checkpoints saved; the fakes ignore it.
    [[nodiscard]] auto inventedProgress() const -> int
    {
        return inventedProgress_;
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
    auto attemptOf(const FakeTask &task) -> FakeAttempt &;
    auto progressOf(const FakeTask &task) const -> std::chrono::milliseconds;
    auto save(const FakeTask &task, std::chrono::milliseconds progress) -> void;
    auto endStretch(FakeTask &task) -> void;
    auto planFinish(const FakeTask &task) -> void;
    auto planUsage(const FakeTask &task, std::chrono::milliseconds delay) -> void;
    auto reportUsage(FakeWorker &worker, const FakeTask &task) -> void;
    auto killLargestOverLease(FakeWorker &worker) -> void;
    auto planLeaseCheck(FakeWorker &worker) -> void;
    auto checkLeases(FakeWorker &worker) -> void;
    auto end(FakeTask task, TaskOutcome outcome, const std::string &reason) -> void;
    auto remove(const FakeTask &task) -> void;
    auto noteFailure(const FakeTask &task) -> void;
    auto lose(std::size_t worker) -> void;
    auto bringBack(std::size_t worker) -> void;
    auto whenCurrent(const FakeTask &task, std::chrono::milliseconds delay, std::function<void(FakeWorker &, FakeTask &)> action) -> void;

    const Scenario &scenario_;
    EventQueue &queue_;
    Deliver deliver_;
    std::vector<FakeClusterObserver *> observers_;
    std::vector<FakeWorker> workers_;
    std::vector<FakeJob> jobs_;
    std::unordered_map<WorkerId, std::size_t> workerIndex_;
    std::unordered_map<JobId, std::size_t> jobIndex_;
    std::uint64_t nextGeneration_ = 1;
    int inventedProgress_ = 0;
};
} // namespace Marjoramfold
