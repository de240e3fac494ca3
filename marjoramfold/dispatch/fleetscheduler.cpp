#include "marjoramfold/dispatch/fleetscheduler.h"

#include "marjoramfold/observability/check.h"
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
                 },
                 [this](const WorkerId &worker, const TaskRef &task) {
                     onStartRefused(worker, task);
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
        adoptRestoredRuns();
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

auto FleetScheduler::restoreProgress(const std::string &key, const std::string &value, std::uint64_t offset) -> void
{
    if (key == WorkerSpeeds::RecordKey) {
        restoreSpeeds(value);
        return;
    }
    const auto parsed = parseProgressKey(key);
    auto *job = parsed ? findJob(parsed->job_) : nullptr;
    if (job == nullptr || parsed->occurrence_ >= job->occurrences_.size()) {
        LogLine(LogSeverity::Warning, "progress_without_job").with("key", key);
        if (parsed && job == nullptr) {
            progressOfUnknownJobs_[parsed->job_][key] = value;
        }
        return;
    }
    const auto lastPart = decodeProgress(value, job->submission_.plan_, job->occurrences_[parsed->occurrence_]);
    if (!isOk(lastPart)) {
        LogLine(LogSeverity::Error, "progress_unreadable").job(parsed->job_.value()).with("key", key).with("reason", errorOf(lastPart).message_);
        return;
    }
    restored_.insert({parsed->job_, parsed->occurrence_});
    for (auto part = parsed->part_; part <= std::max(parsed->part_, valueOf(lastPart)); ++part) {
        restoredAt_[{parsed->job_, parsed->occurrence_, part}] = offset;
    }
    // Versions that did not divide the progress stored all tasks in the first part, which the next change of that part replaces.
    for (auto part = parsed->part_ + 1; part <= valueOf(lastPart); ++part) {
        dirty_.insert({parsed->job_, parsed->occurrence_, part});
    }
}

auto FleetScheduler::startScheduling(BootTime formerCommandsUntil) -> void
{
    startScheduling({formerCommandsUntil, formerCommandsUntil});
}

auto FleetScheduler::limitFormerCommands(const FormerCommands &former) -> void
{
    sessions_.limitFormerCommands(former);
}

auto FleetScheduler::stateLeases(std::uint64_t progressKnown) -> LeaseStatement
{
    const WorkMeter::Scope scope(hooks_.workMeter_, WorkKind::Ticks);
    // Runs of a job that is not known yet are not among the sessions' runs.
    return sessions_.stateLeases(progressOfUnknownJobs_.empty() ? progressKnown : 0);
}

auto FleetScheduler::onStatementConfirmed(const LeaseStatement &statement) -> void
{
    sessions_.onStatementConfirmed(statement);
}

auto FleetScheduler::startScheduling(const FormerCommands &former) -> void
{
    adoptRestoredRuns();
    sessions_.startRenewals(former);
    scheduling_ = true;
    schedulingSince_ = BootClock::now();
    // A previous leader may have stored progress without completing or failing the job.
    closeEndedJobs();
    appliedConfig_ = hooks_.config_().version();
    assumeFormerWaits();
    flush();
    requestPass();
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

auto FleetScheduler::failJob(TrackedJob &job, const std::string &reason) -> void
{
    job.failed_ = true;
    stopRuns(job, reason);
    setPhase(job, JobPhase::Failed);
}

auto FleetScheduler::markDirty(const TrackedJob &job, std::uint32_t occurrence, std::uint32_t step, std::uint32_t index) -> void
{
    const auto &plan = job.submission_.plan_;
    const auto isGang = plan.steps_[step].gang_;
    const auto last = progressPartOf(plan, step, isGang ? plan.steps_[step].count_ - 1 : index);
    for (auto part = progressPartOf(plan, step, isGang ? 0 : index); part <= last; ++part) {
        dirty_.insert({job.submission_.id_, occurrence, part});
    }
}

auto FleetScheduler::takeDirtyRecords() -> std::vector<KeyedRecord>
{
    std::vector<KeyedRecord> records;
    const auto dirty = std::exchange(dirty_, {});
    // The first part comes last: stored by a version that did not divide the progress, it has to last until the others are stored.
    for (auto key = dirty.rbegin(); key != dirty.rend(); ++key) {
        auto *job = findJob(key->job_);
        if (job == nullptr) {
            continue;
        }
        const auto &occurrence = job->occurrences_[key->occurrence_];
        KeyedRecord record{toString(*key), encodeProgress(occurrence, key->part_, StoredCheckpoints::All)};
        if (storedBytes(record) > MaxRecordBytes) {
            LogLine(LogSeverity::Error, "progress_too_large").job(key->job_.value()).with("key", record.key_).with("bytes", storedBytes(record));
            record.value_ = encodeProgress(occurrence, key->part_, StoredCheckpoints::None);
        }
        if (storedBytes(record) <= MaxRecordBytes) {
            records.push_back(std::move(record));
        } else if (!job->isClosed()) {
            failJob(*job, "its progress does not fit into a record of the store");
        }
    }
    addSpeedsRecord(records);
    return records;
}

auto FleetScheduler::logPhase(const TrackedJob &job, JobPhase phase) const -> void
{
    const auto &submission = job.submission_;
    LogLine line(LogSeverity::Info, "job_phase");
    line.job(submission.id_.value())
        .with("queue", submission.queue_)
        .with("phase", static_cast<int>(phase))
        .with("age_ms", (hooks_.wallNow_() - submission.acceptedAt_).count())
        .with("team", submission.team_.value());
    const auto *queue = hooks_.config_().queueNamed(submission.queue_);
    if (queue == nullptr) {
        return;
    }
    line.with("priority", queue->priority_);
    // The age counts from the acceptance, so it cannot be compared with the objective of a job that is due later.
    if (submission.plan_.occurrences_ == 0) {
        line.with("objective_ms", objectiveOf(submission.plan_, *queue, runTimeRatioOf(queue->name_)).count());
    }
}

auto FleetScheduler::setPhase(TrackedJob &job, JobPhase phase) -> void
{
    if (job.phase_ == phase || isFinalPhase(job.phase_)) {
        return;
    }
    logPhase(job, phase);
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
    recording_ = true;
    auto records = takeDirtyRecords();
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
    const JobScope scope(start.task_.job_);
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
    if (hooks_.maySendStarts_ && !hooks_.maySendStarts_()) {
        // The next tick requests a pass again.
        return;
    }
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

auto FleetScheduler::expiredJobs() const -> std::vector<std::pair<JobId, std::vector<ProgressKey>>>
{
    std::vector<std::pair<JobId, std::vector<ProgressKey>>> expired;
    const auto now = BootClock::now();
    for (const auto &[id, job] : jobs_) {
        if (job->finalSince_ != BootTime{} && job->active_ == 0 && now - job->finalSince_ > options_.finalStateRetention_) {
            auto &keys = expired.emplace_back(id, std::vector<ProgressKey>()).second;
            const auto parts = progressPartCount(job->submission_.plan_);
            for (std::uint32_t occurrence = 0; occurrence < job->occurrences_.size(); ++occurrence) {
                for (std::uint32_t part = 0; part < parts; ++part) {
                    keys.push_back({id, occurrence, part});
                }
            }
        }
    }
    return expired;
}
} // namespace Marjoramfold
