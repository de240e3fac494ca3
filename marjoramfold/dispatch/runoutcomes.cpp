#include "marjoramfold/dispatch/backlogsampler.h"
#include "marjoramfold/dispatch/fleetscheduler.h"
#include "marjoramfold/observability/logline.h"

#include <algorithm>

namespace Marjoramfold
{
namespace
{
/// Weight of a new sample in the moving average of the run time ratio.
constexpr double RunTimeRatioWeight = 0.1;
/// A failure before this share of the expected time indicates a faulty worker: only 3% of the tasks' own failures occur so early.
constexpr double QuickFailureShare = 0.1;
/// Workers to which quick failures of one job are attributed; on further workers the job itself may be the cause.
constexpr unsigned MaxWorkersAttributedPerJob = 2;
/// Keeps the factor in range; the longest quarantine is reached before.
constexpr unsigned MaxQuarantineDoublings = 8;

/// True when the job has the task; worker reports may contain tasks that other clients started.
auto hasTask(const TrackedJob &job, const TaskRef &task) -> bool
{
    return task.occurrence_ < job.occurrences_.size() && task.step_ < job.occurrences_[task.occurrence_].steps_.size()
        && task.index_ < job.occurrences_[task.occurrence_].steps_[task.step_].tasks_.size();
}

/// Limits of a run time ratio sample; callers' estimates are off by factors, not by orders of magnitude.
constexpr double MinRunTimeRatio = 0.3;
constexpr double MaxRunTimeRatio = 4.0;
} // namespace

auto FleetScheduler::onRunStarted(const WorkerId &worker, const TaskRef &ref, std::uint32_t run) -> void
{
    auto *job = findJob(ref.job_);
    if (job == nullptr) {
        return;
    }
    LogLine(LogSeverity::Info, "run_began").job(ref.job_.value()).with("task", toString(ref)).with("run", run).with("worker", worker.value());
    if (job->isClosed()) {
        sessions_.stop(worker, ref, run);
        return;
    }
    if (hasTask(*job, ref)) {
        resetHeldTime(*job, ref);
        job->occurrences_[ref.occurrence_].steps_[ref.step_].refusedBy_.erase(ref.index_);
    }
    if (job->phase_ == JobPhase::Queued) {
        setPhase(*job, JobPhase::Running);
        flush();
    }
}

auto FleetScheduler::onUnexpectedRun(const WorkerId &worker, const TaskRef &task, std::uint32_t run) -> ResourceVector
{
    ++counts_.unexpectedRuns_;
    unexpectedRuns_.emplace(task, run, worker);
    const auto *job = findJob(task.job_);
    return job != nullptr && hasTask(*job, task) ? job->submission_.plan_.steps_[task.step_].task_ : ResourceVector{};
}

auto FleetScheduler::hasUnexpectedRun(const TaskRef &task) const -> bool
{
    const auto found = unexpectedRuns_.lower_bound({task, 0, WorkerId()});
    return found != unexpectedRuns_.end() && std::get<TaskRef>(*found) == task;
}

auto FleetScheduler::onRunEnded(const RunEnded &end) -> void
{
    if (unexpectedRuns_.erase({end.task_, end.run_, end.worker_}) > 0) {
        requestPass();
    }
    LogLine(end.kind_ == RunOutcome::Done ? LogSeverity::Info : LogSeverity::Warning, "run_ended")
        .job(end.task_.job_.value())
        .with("task", toString(end.task_))
        .with("run", end.run_)
        .with("worker", end.worker_.value())
        .with("how", toString(end.kind_))
        .with("ran_ms", end.ranFor_.count())
        .with("born", end.incarnation_)
        .with("reported", end.reported_)
        .with("reason", end.reason_);
    updateWorkerHealth(end);
    auto *job = findJob(end.task_.job_);
    if (job == nullptr) {
        if (progressOfUnknownJobs_.contains(end.task_.job_)) {
            endsOfUnknownJobs_[end.task_.job_].push_back(end);
        }
        return;
    }
    if (!hasTask(*job, end.task_)) {
        LogLine(LogSeverity::Warning, "end_of_unknown_task").job(end.task_.job_.value()).with("task", toString(end.task_));
        return;
    }
    auto &step = job->occurrences_[end.task_.occurrence_].steps_[end.task_.step_];
    auto &task = step.tasks_[end.task_.index_];
    if (task.lastRun_ != end.run_ || task.worker_ != end.worker_) {
        applyStaleEnd(*job, end);
        return;
    }
    task.worker_ = WorkerId();
    --step.active_;
    --job->active_;
    markDirty(*job, end.task_.occurrence_, end.task_.step_, end.task_.index_);
    const auto &plan = job->submission_.plan_.steps_[end.task_.step_];
    keepCheckpoint(step, plan, end);
    if (end.kind_ == RunOutcome::Done && !plan.service_) {
        updateRunTimeRatio(*job, end);
        learnSpeed(*job, end);
        applyDone(*job, end);
    } else if (end.kind_ == RunOutcome::Failed && !plan.service_) {
        applyFailure(*job, end);
    }
    if (plan.gang_ && end.kind_ != RunOutcome::Done) {
        stopGangMembers(*job, end);
    }
    requestPass();
    flush();
}

auto FleetScheduler::onStartRefused(const WorkerId &worker, const TaskRef &task) -> void
{
    auto *job = findJob(task.job_);
    if (job == nullptr || !hasTask(*job, task)) {
        return;
    }
    job->occurrences_[task.occurrence_].steps_[task.step_].refusedBy_[task.index_][worker] = BootClock::now();
}

auto FleetScheduler::keepCheckpoint(StepState &step, const StepPlan &plan, const RunEnded &end) -> void
{
    if (!plan.checkpoints_ || end.checkpoint_.empty()) {
        return;
    }
    if (!plan.gang_) {
        step.tasks_[end.task_.index_].checkpoint_ = end.checkpoint_;
        return;
    }
    // A stop saves the whole progress; members that end because of it report an older checkpoint.
    if (end.kind_ != RunOutcome::Stopped && step.stoppedRun_ == end.run_) {
        return;
    }
    step.stoppedRun_ = end.kind_ == RunOutcome::Stopped ? end.run_ : step.stoppedRun_;
    for (auto &member : step.tasks_) {
        member.checkpoint_ = end.checkpoint_;
    }
}

auto FleetScheduler::applyStaleEnd(TrackedJob &job, const RunEnded &end) -> void
{
    auto &step = job.occurrences_[end.task_.occurrence_].steps_[end.task_.step_];
    const auto &plan = job.submission_.plan_.steps_[end.task_.step_];
    if (plan.service_ || step.tasks_[end.task_.index_].done_ || job.isClosed()) {
        return;
    }
    if (end.kind_ == RunOutcome::Failed) {
        markDirty(job, end.task_.occurrence_, end.task_.step_, end.task_.index_);
        applyFailure(job, end);
    } else if (end.kind_ == RunOutcome::Done) {
        markDirty(job, end.task_.occurrence_, end.task_.step_, end.task_.index_);
        applyDone(job, end);
        // Later runs of tasks that are now done are redundant.
        for (std::uint32_t index = 0; index < step.tasks_.size(); ++index) {
            const auto &task = step.tasks_[index];
            if (task.done_ && task.isActive()) {
                sessions_.stop(task.worker_, {end.task_.job_, end.task_.occurrence_, end.task_.step_, index}, task.lastRun_);
            }
        }
    }
    requestPass();
    flush();
}

auto FleetScheduler::applyDone(TrackedJob &job, const RunEnded &end) -> void
{
    ++counts_.doneRuns_;
    auto &step = job.occurrences_[end.task_.occurrence_].steps_[end.task_.step_];
    const auto &plan = job.submission_.plan_.steps_[end.task_.step_];
    // The successful end of one gang member completes all members.
    const auto first = plan.gang_ ? 0 : end.task_.index_;
    const auto last = plan.gang_ ? plan.count_ - 1 : end.task_.index_;
    const auto doneBefore = step.done_;
    for (auto index = first; index <= last; ++index) {
        auto &task = step.tasks_[index];
        step.done_ += task.done_ ? 0 : 1;
        task.done_ = true;
    }
    addEndedWork(job, plan, step.done_ - doneBefore);
    completeIfDone(job);
}

auto FleetScheduler::addEndedWork(const TrackedJob &job, const StepPlan &plan, std::uint32_t tasks) -> void
{
    const auto *queue = options_.rejectHopeless_ ? hooks_.config_().queueNamed(job.submission_.queue_) : nullptr;
    if (queue != nullptr) {
        endedWork_[queue->pool_] += workOf(plan.task_, expectedTime(plan, runTimeRatioOf(queue->name_)), tasks);
    }
}

auto FleetScheduler::backlogSample() const -> BacklogSample
{
    const auto ratioOf = [this](const std::string &queue) {
        return runTimeRatioOf(queue);
    };
    return BacklogSampler({open_, sessions_.all(), hooks_.config_(), hooks_.evacuatedZones_(), endedWork_, ratioOf, hooks_.wallNow_()}).take();
}

auto FleetScheduler::applyFailure(TrackedJob &job, const RunEnded &end) -> void
{
    ++counts_.failedRuns_;
    auto &step = job.occurrences_[end.task_.occurrence_].steps_[end.task_.step_];
    const auto &plan = job.submission_.plan_.steps_[end.task_.step_];
    auto &task = step.tasks_[end.task_.index_];
    if (task.done_) {
        return;
    }
    task.addFailure(end.worker_, BootClock::now());
    task.failedRuns_.insert(end.run_);
    if (plan.gang_) {
        // A gang run counts as one failure, however many members report it.
        for (auto &member : step.tasks_) {
            member.failedRuns_.insert(end.run_);
        }
    }
    const auto *queue = queueOf(job);
    if (queue != nullptr && task.failedRuns_.size() >= queue->maxAttempts_ && !job.isClosed()) {
        failJob(job, "a task has reached its maximum number of attempts");
    }
}

auto FleetScheduler::stopGangMembers(TrackedJob &job, const RunEnded &end) -> void
{
    auto &step = job.occurrences_[end.task_.occurrence_].steps_[end.task_.step_];
    for (std::uint32_t index = 0; index < step.tasks_.size(); ++index) {
        auto &member = step.tasks_[index];
        if (member.done_) {
            continue;
        }
        if (member.isActive() && member.lastRun_ == end.run_) {
            sessions_.stop(member.worker_, {end.task_.job_, end.task_.occurrence_, end.task_.step_, index}, end.run_);
        }
    }
}

auto FleetScheduler::completeIfDone(TrackedJob &job) -> void
{
    for (auto &occurrence : job.occurrences_) {
        occurrence.done_ = std::all_of(occurrence.steps_.begin(), occurrence.steps_.end(), [](const StepState &step) {
            return step.done_ == step.tasks_.size();
        });
        if (!occurrence.done_) {
            return;
        }
    }
    setPhase(job, JobPhase::Completed);
}

auto FleetScheduler::updateRunTimeRatio(const TrackedJob &job, const RunEnded &end) -> void
{
    const auto *session = sessions_.find(end.worker_);
    const auto &plan = job.submission_.plan_.steps_[end.task_.step_];
    const auto ranLocally = session != nullptr && (plan.dataRack_.empty() || session->entry_.rack_.value() == plan.dataRack_);
    if (plan.estimate_.count() <= 0 || !ranLocally || end.ranFor_.count() <= 0 || plan.gang_) {
        return;
    }
    const auto observed = static_cast<double>(end.ranFor_.count()) / static_cast<double>(plan.estimate_.count());
    auto &ratio = runTimeRatios_.try_emplace(job.submission_.queue_, 1.0).first->second;
    ratio += RunTimeRatioWeight * (std::clamp(observed, MinRunTimeRatio, MaxRunTimeRatio) - ratio);
}

auto FleetScheduler::runTimeRatioOf(const std::string &queue) const -> double
{
    const auto found = runTimeRatios_.find(queue);
    return found == runTimeRatios_.end() ? 1.0 : found->second;
}

auto FleetScheduler::updateWorkerHealth(const RunEnded &end) -> void
{
    auto *session = sessions_.find(end.worker_);
    if (session == nullptr) {
        return;
    }
    if (end.kind_ == RunOutcome::Done) {
        session->lastHealthyAt_ = BootClock::now();
        session->failedJobs_.clear();
        session->quarantineCount_ = 0;
    } else if (end.kind_ == RunOutcome::Failed) {
        recordWorkerFailure(*session, end.task_.job_, attributeFailure(end), "runs failed");
    } else {
        counts_.lostRuns_ += 1;
        if (end.neverStarted_ && end.reason_.starts_with("busy")) {
            recordWorkerFailure(*session, end.task_.job_, FailureAttribution::Ambiguous, "start commands refused");
        }
    }
}

auto FleetScheduler::attributeFailure(const RunEnded &end) -> FailureAttribution
{
    auto *job = findJob(end.task_.job_);
    if (job == nullptr || !hasTask(*job, end.task_)) {
        return FailureAttribution::Ambiguous;
    }
    const auto &plan = job->submission_.plan_.steps_[end.task_.step_];
    const auto quick = end.ranFor_ < expectedTime(plan, runTimeRatioOf(job->submission_.queue_)) * QuickFailureShare;
    if (!quick) {
        return FailureAttribution::Ambiguous;
    }
    // A job that fails quickly on several workers is probably faulty itself.
    job->failedQuicklyOn_.insert(end.worker_);
    return job->failedQuicklyOn_.size() <= MaxWorkersAttributedPerJob ? FailureAttribution::Worker : FailureAttribution::Ambiguous;
}

auto FleetScheduler::recordWorkerFailure(WorkerSession &session, const JobId &job, FailureAttribution attribution, const std::string &reason) -> void
{
    // A job that always fails must not quarantine workers, so ambiguous failures of several jobs are required.
    session.failedJobs_.insert(job);
    if (attribution == FailureAttribution::Ambiguous && session.failedJobs_.size() < options_.failedJobsToQuarantine_) {
        return;
    }
    // Runs that fail together tell of one fault: only a failure after the end of the last quarantine doubles its time.
    const auto now = BootClock::now();
    session.quarantineCount_ += session.quarantineCount_ == 0 || session.quarantinedUntil_ <= now ? 1 : 0;
    const auto doublings = std::min(session.quarantineCount_ - 1, MaxQuarantineDoublings);
    const auto time = std::min(options_.maxQuarantineTime_, options_.quarantineTime_ * (1U << doublings));
    session.quarantine(now, time);
    LogLine(LogSeverity::Warning, "worker_suspect")
        .with("worker", session.entry_.id_.value())
        .with("reason", reason)
        .with("jobs", session.failedJobs_.size())
        .with("for_ms", time.count());
}
} // namespace Marjoramfold
