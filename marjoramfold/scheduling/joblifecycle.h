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
/// How a job ended, kept for a while so that it can be explained.
struct EndedJob {
    JobState state_ = JobState::Finished;
    std::string reason_;
    std::optional<RuleLine> rule_;
};

/// Takes jobs from their arrival to their end.
class JobLifecycle
{
public:
    /// Called when a task failed by itself on a worker.
    using TaskFailedHook = std::function<void(JobRecord &, WorkerIndex)>;

    explicit JobLifecycle(SchedulerState &state);

    auto setTaskFailedHook(TaskFailedHook hook) -> void;

    auto add(const JobArrived &event) -> void;
    auto recover(const GangRecovered &event) -> void;
    auto cancel(const JobsCancelled &event) -> void;

    /// Gives a job up for another availability zone.
    auto withdraw(const JobWithdrawn &event) -> void;
    auto onCommandResult(const TaskCommandResult &event) -> void;
    auto onTaskEnded(const TaskEnded &event) -> void;

    /// Acts on all timers of jobs that are due.
    auto onTick() -> void;

    /// Judges parked and waiting jobs again under new rules.
    auto onRulesChanged() -> void;

    /// Stops the gangs that have a member on a lost worker.
    auto onWorkerDown(WorkerIndex worker) -> void;

    /// Evicts a running gang so that it runs again later; the grace lets it checkpoint.
    auto evict(JobRecord &job, const std::string &reason) -> void;

    /// Drops a waiting job that another scheduler takes over.
    auto dropReassigned(JobRecord &job) -> void;

    /// The job whose task runs on the worker in its present attempt, or null.
    [[nodiscard]] auto findMember(const TaskId &task, const WorkerId &worker) -> JobRecord *;

    /// Ends a job that runs or waits, stopping its gang first if it has one.
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

    /// How a job ended, if that is still remembered.
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
