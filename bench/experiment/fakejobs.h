#pragma once

#include "scenario.h"

#include <map>
#include <optional>
#include <unordered_map>
#include <vector>

namespace Marjoramfold
{
enum class FakeTaskState {
    Held,
    Computing,
    /// Writes a checkpoint within its grace period; occupies its resources but does not compute.
    Stopping,
};

/// A task on a simulated worker.
struct FakeTask {
    TaskId id_;
    std::size_t job_ = 0;
    std::size_t worker_ = 0;
    Resources resources_;
    FakeTaskState state_ = FakeTaskState::Held;
    SteadyTime leaseUntil_;
    SteadyTime started_;
    /// Start of the current compute interval, and progress at that time.
    SteadyTime since_;
    std::chrono::milliseconds progress_{0};
    bool throttled_ = false;
    /// Changes with the state of the task, to invalidate events that were scheduled before.
    std::uint64_t generation_ = 0;
};

/// A time during which one member computed without interruption, at one speed.
struct ComputeInterval {
    std::size_t worker_ = 0;
    SteadyTime from_;
    SteadyTime to_;
    std::chrono::milliseconds progress_{0};
    bool throttled_ = false;
};

/// Simulated state of one attempt of a job.
struct FakeAttempt {
    std::uint32_t number_ = 0;
    int held_ = 0;
    int computing_ = 0;
    int stopping_ = 0;
    int finished_ = 0;
    /// Whether a member has failed or was lost.
    bool failed_ = false;
    /// Latest lease end of members on lost workers; a policy must assume that they run until then.
    SteadyTime lostLeaseEnd_ = SteadyTime::min();
    /// Progress saved by each member.
    std::vector<std::chrono::milliseconds> saved_;
    std::vector<ComputeInterval> intervals_;

    /// Number of members on workers.
    [[nodiscard]] auto presentMembers() const -> int
    {
        return held_ + computing_ + stopping_;
    }
};

/// Simulated state of a job.
struct FakeJob {
    std::map<std::uint32_t, FakeAttempt> attempts_;
    std::chrono::milliseconds saved_{0};
    std::optional<SteadyTime> firstStart_;
    std::optional<SteadyTime> finished_;
    /// Number of attempts with a failed or lost member, and the time of the last failure.
    int failures_ = 0;
    SteadyTime lastFailure_;
    /// End of a lease whose renewal was sent to a worker before its loss was detected. The policy cannot know whether the
    /// worker granted it.
    SteadyTime possiblyRenewedUntil_ = SteadyTime::min();
};

/// Observer of the simulated cluster. Calls are made after the change.
class FakeClusterObserver
{
public:
    virtual ~FakeClusterObserver() = default;

    /// A task was held, or its state changed.
    virtual auto taskChanged(const FakeTask & /*task*/, const FakeAttempt & /*attempt*/) -> void {}
    /// A worker accepted a Start.
    virtual auto taskStarted(const FakeTask & /*task*/) -> void {}
    /// A task was removed from its worker.
    virtual auto taskRemoved(const FakeTask & /*task*/, const FakeAttempt & /*attempt*/) -> void {}
    /// The last member of an attempt was removed from its worker; the attempt is deleted afterwards.
    virtual auto attemptClosed(std::size_t /*job*/, const FakeAttempt & /*attempt*/) -> void {}
    /// A worker was lost or returned.
    virtual auto workerChanged(std::size_t /*worker*/) -> void {}
};

/// Simulated state of all jobs: attempts, saved progress and completion.
class FakeJobs
{
public:
    explicit FakeJobs(const Scenario &scenario);

    auto addObserver(FakeClusterObserver *observer) -> void
    {
        observers_.push_back(observer);
    }

    [[nodiscard]] auto all() const -> const std::vector<FakeJob> &
    {
        return jobs_;
    }
    [[nodiscard]] auto indexOf(const JobId &job) const -> std::optional<std::size_t>;
    [[nodiscard]] auto attemptOf(const FakeTask &task) -> FakeAttempt &
    {
        return jobs_[task.job_].attempts_.at(task.id_.attempt_);
    }

    /// Records a held task; the first one of an attempt creates the attempt.
    auto onHeld(const FakeTask &task) -> void;
    /// Records that a held task starts to compute from its progress_.
    auto onStarted(const FakeTask &task, SteadyTime now) -> void;
    /// Records that a computing task is stopping; its compute interval must have been ended before.
    auto onStopping(const FakeTask &task) -> void;
    /// Records that a member finished.
    auto onFinished(const FakeTask &task, SteadyTime now) -> void;
    /// Records that a member failed or was lost.
    auto onFailed(const FakeTask &task, SteadyTime now) -> void;
    /// Records that a task was removed from its worker; the last one of an attempt closes the attempt.
    auto onRemoved(const FakeTask &task) -> void;
    /// Records a lease renewal that was sent to a lost worker before the loss was detected.
    auto renewalPossiblyGranted(const JobId &job, SteadyTime until) -> void;
    /// Records a checkpoint of a member.
    auto save(const FakeTask &task, std::chrono::milliseconds progress) -> void;
    /// Ends the compute interval of a member that stops or changes its speed.
    auto endInterval(const FakeTask &task, SteadyTime now) -> void;
    /// Reports all remaining attempts as closed.
    auto closeAllAttempts() -> void;
    auto workerChanged(std::size_t worker) -> void;

private:
    const Scenario &scenario_;
    std::vector<FakeClusterObserver *> observers_;
    std::vector<FakeJob> jobs_;
    std::unordered_map<JobId, std::size_t> index_;
};
} // namespace Marjoramfold
