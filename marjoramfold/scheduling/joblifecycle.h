#pragma once

#include "marjoramfold/scheduling/admission.h"
#include "marjoramfold/scheduling/gangstarter.h"
#include "marjoramfold/scheduling/leaserenewer.h"
#include "marjoramfold/scheduling/waitingqueue.h"

#include <deque>
#include <functional>
#include <unordered_map>

namespace Marjoramfold
{
/// Outcome of a recently ended job, kept for explanations.
struct EndedJob {
    JobState state_ = JobState::Finished;
    std::string reason_;
    std::optional<RuleLine> rule_;
};

/// State transitions of jobs from arrival to end.
class JobLifecycle
{
public:
    /// Called when a task failed on a worker.
    using TaskFailedHook = std::function<void(JobRecord &, WorkerIndex)>;

    explicit JobLifecycle(SchedulerState &state);

    auto setTaskFailedHook(TaskFailedHook hook) -> void;

    auto add(const JobArrived &event) -> void;
    auto recover(const GangRecovered &event) -> void;
    auto cancel(const JobsCancelled &event) -> void;

    /// Hands a job over to another availability zone.
    auto withdraw(const JobWithdrawn &event) -> void;
    auto onCommandResult(const TaskCommandResult &event) -> void;
    auto onTaskEnded(const TaskEnded &event) -> void;

    /// Handles all due job timers.
    auto onTick() -> void;

    /// Repeats the admission check of parked and waiting jobs.
    auto onRulesChanged() -> void;

    /// Stops the gangs that have a member on a lost worker.
    auto onWorkerDown(WorkerIndex worker) -> void;

    /// Evicts a running gang with a grace period for a checkpoint, and requeues its job.
    auto evict(JobRecord &job, const std::string &reason) -> void;

    /// Removes a waiting job that was reassigned to another scheduler.
    auto dropReassigned(JobRecord &job) -> void;

    /// The job whose current attempt has this task on this worker, or null.
    [[nodiscard]] auto findMember(const TaskId &task, const WorkerId &worker) -> JobRecord *;

    /// Reports the end of a job and stops its gang, if it has one.
    auto end(JobRecord &job, const JobOutcome &outcome) -> void;

    [[nodiscard]] auto starter() -> GangStarter &
    {
        return starter_;
    }

    [[nodiscard]] auto stopper() -> GangStopper &
    {
        return stopper_;
    }

    [[nodiscard]] auto queue() -> WaitingQueue &
    {
        return queue_;
    }

    [[nodiscard]] auto leases() -> LeaseRenewer &
    {
        return leases_;
    }

    [[nodiscard]] auto admission() const -> const Admission &
    {
        return admission_;
    }

    [[nodiscard]] auto reservations() -> GangReservations &
    {
        return reservations_;
    }

    /// Returns null when the job has not ended or its outcome was dropped.
    [[nodiscard]] auto ended(const JobId &id) const -> const EndedJob *;

private:
    auto admit(JobRecord &job) -> void;
    auto park(JobRecord &job, const JobOutcome &outcome) -> void;
    auto onRunning(JobRecord &job) -> void;
    auto onReleased(JobRecord &job) -> void;
    auto requeue(JobRecord &job) -> void;
    auto reassign(JobRecord &job) -> void;
    auto finish(JobRecord &job) -> void;
    auto recordEnd(JobRecord &job, const JobOutcome &outcome, bool report) -> void;
    auto onMemberFailed(JobRecord &job, std::size_t member, const std::string &reason) -> void;
    auto updateEstimates(JobRecord &job) -> void;
    auto onTimer(JobRecord &job) -> void;

    SchedulerState *state_;
    GangReservations reservations_;
    GangStopper stopper_;
    GangStarter starter_;
    LeaseRenewer leases_;
    WaitingQueue queue_;
    Admission admission_;
    TaskFailedHook taskFailed_;
    std::unordered_map<JobId, EndedJob> ended_;
    std::deque<JobId> endedOrder_;
};
} // namespace Marjoramfold
