#include "marjoramfold/dispatch/fleetscheduler.h"

#include "marjoramfold/observability/logline.h"

#include <algorithm>

namespace Marjoramfold
{
FleetScheduler::FleetScheduler(DispatchOptions options, std::uint64_t epoch, WorkerCalls calls, SchedulerHooks hooks, std::function<void()> onLeadershipLost)
    : options_(options)
    , hooks_(std::move(hooks))
    , onLeadershipLost_(std::move(onLeadershipLost))
    , alive_(std::make_shared<bool>(true))
    , sessions_(options,
                epoch,
                std::move(calls),
                {[this](const WorkerId &worker, const TaskRef &task, std::uint32_t run) {
                     onRunStarted(worker, task, run);
                 },
                 [this](const RunEnded &end) {
                     onRunEnded(end);
                 },
                 [this](const WorkerId &worker, const TaskRef &task, std::uint32_t run) {
                     sendStart({task, run, worker});
                 },
                 [this](const WorkerId &worker) {
                     LogLine(LogSeverity::Warning, "fenced_by_worker").with("worker", worker.value());
                     onLeadershipLost_();
                 },
                 [this] {
                     requestPass();
                 },
                 [this](const WorkerId &worker, const TaskRef &task, std::uint32_t run) {
                     return onUnexpectedRun(worker, task, run);
                 }},
                hooks_.schedule_,
                hooks_.workMeter_)
{
}

FleetScheduler::~FleetScheduler() = default;

auto FleetScheduler::shutDown() -> void
{
    alive_.reset();
    sessions_.shutDown();
}

auto FleetScheduler::counts() const -> const SchedulerCounts &
{
    return counts_;
}

auto FleetScheduler::jobs() const -> const std::unordered_map<JobId, std::unique_ptr<TrackedJob>> &
{
    return jobs_;
}

auto FleetScheduler::sessions() const -> const WorkerSessions &
{
    return sessions_;
}

auto FleetScheduler::findJob(const JobId &id) -> TrackedJob *
{
    const auto found = jobs_.find(id);
    return found == jobs_.end() ? nullptr : found->second.get();
}

auto FleetScheduler::addJob(const Submission &submission, JobPhase phase) -> void
{
    auto &slot = jobs_[submission.id_];
    if (slot) {
        return;
    }
    slot = std::make_unique<TrackedJob>(makeTrackedJob(submission));
    slot->phase_ = phase;
    slot->failed_ = phase == JobPhase::Failed;
    if (isFinalPhase(phase)) {
        slot->finalSince_ = BootClock::now();
    } else {
        open_[submission.id_] = slot.get();
    }
    if (auto progress = progressOfUnknownJobs_.extract(submission.id_); !progress.empty()) {
        for (const auto &[key, value] : progress.mapped()) {
            restoreProgress(key, value);
        }
        if (const auto ends = endsOfUnknownJobs_.extract(submission.id_); !ends.empty()) {
            for (const auto &end : ends.mapped()) {
                sessions_.endAdoptedRun(end);
            }
        }
        if (scheduling_ && !isFinalPhase(phase)) {
            closeIfEnded(*slot);
            flush();
        }
    }
    requestPass();
}

auto FleetScheduler::cancelJob(const JobId &id) -> void
{
    auto *job = findJob(id);
    if (job == nullptr || job->isClosed()) {
        return;
    }
    job->cancelled_ = true;
    stopRuns(*job, "the job was cancelled");
    setPhase(*job, JobPhase::Cancelled);
    flush();
}

auto FleetScheduler::removeJob(const JobId &id) -> void
{
    open_.erase(id);
    jobs_.erase(id);
    progressOfUnknownJobs_.erase(id);
    endsOfUnknownJobs_.erase(id);
}

auto FleetScheduler::restoreProgress(const std::string &key, const std::string &value) -> void
{
    const auto parsed = parseProgressKey(key);
    auto *job = parsed ? findJob(parsed->first) : nullptr;
    if (job == nullptr || parsed->second >= job->occurrences_.size()) {
        LogLine(LogSeverity::Warning, "progress_without_job").with("key", key);
        if (parsed && job == nullptr) {
            progressOfUnknownJobs_[parsed->first][key] = value;
        }
        return;
    }
    auto &occurrence = job->occurrences_[parsed->second];
    if (const auto decoded = decodeProgress(value, occurrence); !isOk(decoded)) {
        LogLine(LogSeverity::Error, "progress_unreadable").job(parsed->first.value()).with("reason", errorOf(decoded).message_);
        return;
    }
    const auto *queue = hooks_.config_().queueNamed(job->submission_.queue_);
    for (std::uint32_t step = 0; step < occurrence.steps_.size(); ++step) {
        const auto &plan = job->submission_.plan_.steps_[step];
        for (std::uint32_t index = 0; index < occurrence.steps_[step].tasks_.size(); ++index) {
            const auto &task = occurrence.steps_[step].tasks_[index];
            if (!task.isActive()) {
                continue;
            }
            ++occurrence.steps_[step].active_;
            ++job->active_;
            const TaskRef ref{parsed->first, parsed->second, step, index};
            sessions_.adoptRun(task.worker_, task.workerIncarnation_, ref, task.lastRun_, makeWorkerRun(plan, queue == nullptr ? 0 : queue->priority_, false));
        }
    }
}

auto FleetScheduler::startScheduling(BootTime previousRenewalsUntil) -> void
{
    sessions_.startRenewals(previousRenewalsUntil);
    scheduling_ = true;
    // A previous leader may have stored progress without completing or failing the job.
    std::vector<TrackedJob *> jobs;
    for (const auto &[id, job] : open_) {
        jobs.push_back(job);
    }
    for (auto *job : jobs) {
        closeIfEnded(*job);
    }
    flush();
    requestPass();
}

auto FleetScheduler::closeIfEnded(TrackedJob &job) -> void
{
    const auto *queue = hooks_.config_().queueNamed(job.submission_.queue_);
    for (const auto &occurrence : job.occurrences_) {
        for (const auto &step : occurrence.steps_) {
            job.failed_ = job.failed_ || std::any_of(step.tasks_.begin(), step.tasks_.end(), [queue](const TaskState &task) {
                              return queue != nullptr && !task.done_ && task.failedRuns_.size() >= queue->maxAttempts_;
                          });
        }
    }
    if (job.failed_) {
        stopRuns(job, "a task has reached its maximum number of attempts");
        setPhase(job, JobPhase::Failed);
    } else {
        completeIfDone(job);
    }
}

auto FleetScheduler::updateWorker(const WorkerEntry &entry) -> void
{
    sessions_.updateEntry(entry);
}

auto FleetScheduler::removeWorker(const WorkerId &id) -> void
{
    sessions_.removeEntry(id);
}

auto FleetScheduler::removeWorkersExcept(const std::unordered_map<WorkerId, bool> &listed) -> void
{
    sessions_.removeEntriesExcept(listed);
}

auto FleetScheduler::markDirty(TrackedJob &job, std::uint32_t occurrence) -> void
{
    dirty_.insert({job.submission_.id_, occurrence});
}

auto FleetScheduler::setPhase(TrackedJob &job, JobPhase phase) -> void
{
    if (job.phase_ == phase || isFinalPhase(job.phase_)) {
        return;
    }
    LogLine(LogSeverity::Info, "job_phase")
        .job(job.submission_.id_.value())
        .with("queue", job.submission_.queue_)
        .with("phase", static_cast<int>(phase))
        .with("age_ms", (hooks_.wallNow_() - job.submission_.acceptedAt_).count());
    job.phase_ = phase;
    pendingPhases_.emplace_back(job.submission_.id_, phase);
    if (isFinalPhase(phase)) {
        job.finalSince_ = BootClock::now();
        open_.erase(job.submission_.id_);
    }
}

auto FleetScheduler::flush() -> void
{
    if (recording_ || !scheduling_ || !alive_) {
        return;
    }
    auto ends = recordableEnds();
    if (dirty_.empty()) {
        if (!pendingPhases_.empty()) {
            hooks_.publishPhases_(std::exchange(pendingPhases_, {}));
        }
        sessions_.acknowledgeEnds(ends);
        return;
    }
    std::vector<KeyedRecord> records;
    for (const auto &[id, occurrence] : dirty_) {
        if (const auto *job = findJob(id); job != nullptr) {
            records.push_back({progressKey(id, occurrence), encodeProgress(job->occurrences_[occurrence])});
        }
    }
    dirty_.clear();
    recording_ = true;
    auto phases = std::exchange(pendingPhases_, {});
    hooks_.storeProgress_(
        std::move(records),
        [this, alive = std::weak_ptr(alive_), starts = std::exchange(pendingStarts_, {}), ends = std::move(ends), phases = std::move(phases)](bool stored) {
            if (alive.expired()) {
                return;
            }
            recording_ = false;
            if (!stored) {
                onLeadershipLost_();
                return;
            }
            if (!phases.empty()) {
                hooks_.publishPhases_(phases);
            }
            onRecorded(starts, ends);
        });
}

auto FleetScheduler::recordableEnds() const -> std::vector<ReportedEnds>
{
    auto recordable = sessions_.unrecordedEnds();
    // The end of a run whose job is not known yet changes no record, so the worker must keep it until the job is known.
    for (const auto &[id, ends] : endsOfUnknownJobs_) {
        for (const auto &end : ends) {
            for (auto &upTo : recordable) {
                if (end.number_ > 0 && upTo.worker_ == end.worker_ && upTo.incarnation_ == end.incarnation_) {
                    upTo.upTo_ = std::min(upTo.upTo_, end.number_ - 1);
                }
            }
        }
    }
    return recordable;
}

auto FleetScheduler::onRecorded(const std::vector<PendingStart> &starts, const std::vector<ReportedEnds> &ends) -> void
{
    for (const auto &start : starts) {
        sessions_.queueCommand(CommandLane::Runs, [this, start] {
            sendStart(start);
        });
    }
    sessions_.acknowledgeEnds(ends);
    flush();
}

auto FleetScheduler::reasonNotToStart(const PendingStart &start) -> std::string
{
    const auto *job = findJob(start.task_.job_);
    const auto *session = sessions_.find(start.worker_);
    if (job == nullptr || job->isClosed()) {
        return "the job is closed";
    }
    if (session == nullptr || !session->isCurrent() || session->entry_.draining_) {
        return "the worker is draining, unlisted or may have been restarted";
    }
    if (hooks_.evacuatedZones_().contains(session->entry_.zone_.value())) {
        return "the availability zone is evacuated";
    }
    if (hasUnexpectedRun(start.task_)) {
        return "the task has a run that the leader did not know";
    }
    if (!session->entry_.capacity_.covers(session->used_)) {
        return "a run that the leader did not know takes the capacity";
    }
    const auto &task = job->occurrences_[start.task_.occurrence_].steps_[start.task_.step_].tasks_[start.task_.index_];
    if (task.lastRun_ != start.run_ || task.worker_ != start.worker_ || task.workerIncarnation_ != session->incarnation_) {
        return "the run was superseded or the worker was restarted";
    }
    const auto &plan = job->submission_.plan_.steps_[start.task_.step_];
    const auto &tasks = job->occurrences_[start.task_.occurrence_].steps_[start.task_.step_].tasks_;
    const auto gangBroken = plan.gang_ && std::any_of(tasks.begin(), tasks.end(), [&start](const TaskState &member) {
                                return member.lastRun_ != start.run_ || !member.isActive();
                            });
    return gangBroken ? "another gang member cannot start" : "";
}

auto FleetScheduler::sendStart(const PendingStart &start) -> void
{
    if (const auto reason = reasonNotToStart(start); !reason.empty()) {
        sessions_.cancelUnsentStart(start.worker_, start.task_, start.run_, reason);
        return;
    }
    const auto &job = *findJob(start.task_.job_);
    const auto &task = job.occurrences_[start.task_.occurrence_].steps_[start.task_.step_].tasks_[start.task_.index_];
    ++counts_.starts_;
    sessions_.start(start.worker_, start.task_, start.run_, job.submission_.plan_.payload_, task.checkpoint_);
}

auto FleetScheduler::stopRuns(TrackedJob &job, const std::string &reason) -> void
{
    LogLine(LogSeverity::Info, "job_runs_stopped").job(job.submission_.id_.value()).with("runs", job.active_).with("reason", reason);
    for (std::uint32_t occurrence = 0; occurrence < job.occurrences_.size(); ++occurrence) {
        auto &steps = job.occurrences_[occurrence].steps_;
        for (std::uint32_t step = 0; step < steps.size(); ++step) {
            for (std::uint32_t index = 0; index < steps[step].tasks_.size(); ++index) {
                const auto &task = steps[step].tasks_[index];
                if (task.isActive()) {
                    sessions_.stop(task.worker_, {job.submission_.id_, occurrence, step, index}, task.lastRun_);
                }
            }
        }
    }
}

auto FleetScheduler::requestPass() -> void
{
    if (passRequested_ || !scheduling_ || !alive_) {
        return;
    }
    passRequested_ = true;
    const auto pause = std::chrono::ceil<std::chrono::milliseconds>(nextPassAt_ - BootClock::now());
    hooks_.schedule_(std::max(options_.minPassInterval_, pause), [this, alive = std::weak_ptr(alive_)] {
        if (!alive.expired()) {
            passRequested_ = false;
            runTimedPass();
        }
    });
}

auto FleetScheduler::runTimedPass() -> void
{
    const auto startedAt = BootClock::now();
    {
        const WorkMeter::Scope scope(hooks_.workMeter_, WorkKind::Passes);
        runPass();
    }
    const auto endedAt = BootClock::now();
    nextPassAt_ = endedAt + std::chrono::duration_cast<BootTime::duration>((endedAt - startedAt) * ((1.0 - options_.maxPassShare_) / options_.maxPassShare_));
    flush();
}

auto FleetScheduler::tick() -> void
{
    const WorkMeter::Scope scope(hooks_.workMeter_, WorkKind::Ticks);
    const auto now = BootClock::now();
    sessions_.tick(now);
    findStalls();
    moveRunsOffDrainingWorkers(now);
    requestPass();
}

auto FleetScheduler::expiredJobs() const -> std::vector<std::pair<JobId, std::uint32_t>>
{
    std::vector<std::pair<JobId, std::uint32_t>> expired;
    const auto now = BootClock::now();
    for (const auto &[id, job] : jobs_) {
        if (job->finalSince_ != BootTime{} && job->active_ == 0 && now - job->finalSince_ > options_.finalStateRetention_) {
            expired.emplace_back(id, static_cast<std::uint32_t>(job->occurrences_.size()));
        }
    }
    return expired;
}
} // namespace Marjoramfold
