#pragma once

#include "scenario.h"

#include <map>
#include <optional>
#include <unordered_map>
#include <vector>

namespace Marjoramfold
{
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
    SteadyTime started_;
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
    /// End of the last lease of members that were lost with their workers; a policy must take them as running until then.
    SteadyTime lostLeaseEnd_ = SteadyTime::min();
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
    /// End of a lease that was renewed at a worker that was lost already, before that was known: the renewal may have been
    /// granted for all that a policy knows.
    SteadyTime maybeRenewedUntil_ = SteadyTime::min();
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

/// What is true of all jobs: their attempts, saved progress and ends.
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

    /// A task was held; opens its attempt with the first.
    auto held(const FakeTask &task) -> void;
    /// A held task began to compute with the progress that it carries.
    auto started(const FakeTask &task, SteadyTime now) -> void;
    /// A computing task began to stop; its stretch is ended already.
    auto stopping(const FakeTask &task) -> void;
    /// A member computed to its end.
    auto finished(const FakeTask &task, SteadyTime now) -> void;
    /// A member failed or was lost.
    auto failed(const FakeTask &task, SteadyTime now) -> void;
    /// A task left its worker; closes its attempt with the last.
    auto gone(const FakeTask &task) -> void;
    /// A renewal went to a worker whose loss was not known yet.
    auto maybeRenewed(const JobId &job, SteadyTime until) -> void;
    /// A member wrote a checkpoint.
    auto save(const FakeTask &task, std::chrono::milliseconds progress) -> void;
    /// A member that computes stops to do so, or goes on at another speed.
    auto endStretch(const FakeTask &task, SteadyTime now) -> void;
    /// Reports all attempts that are left as closed.
    auto closeAll() -> void;
    auto workerChanged(std::size_t worker) -> void;

private:
    const Scenario &scenario_;
    std::vector<FakeClusterObserver *> observers_;
    std::vector<FakeJob> jobs_;
    std::unordered_map<JobId, std::size_t> index_;
};
} // namespace Marjoramfold
