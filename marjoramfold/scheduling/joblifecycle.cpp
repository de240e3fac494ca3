#include "marjoramfold/scheduling/joblifecycle.h"

#include "marjoramfold/scheduling/leasebounds.h"

#include <algorithm>

namespace Marjoramfold
{
namespace
{
// Limits the memory used to explain ended jobs.
constexpr std::size_t MaxEndedJobs = 4'096;

// A job ends as failed after this many failed runs, even if they were on few different workers.
constexpr int MaxRunFailures = 9;

// Memory reserved for a job, relative to its largest reported use.
constexpr std::int64_t ObservedMemoryPercent = 110;
} // namespace

JobLifecycle::JobLifecycle(SchedulerState &state)
    : state_(&state)
    , reservations_(state)
    , stopper_(state, reservations_)
    , starter_(state, reservations_, stopper_)
    , leases_(state, stopper_)
    , queue_(state)
    , admission_(state)
{
    stopper_.setReleasedHook([this](JobRecord &job) {
        onReleased(job);
    });
    starter_.setRunningHook([this](JobRecord &job) {
        onRunning(job);
    });
}

auto JobLifecycle::setTaskFailedHook(TaskFailedHook hook) -> void
{
    taskFailed_ = std::move(hook);
}

auto JobLifecycle::add(const JobArrived &event) -> void
{
    if (state_->jobs_.find(event.spec_.id_) != nullptr || ended_.contains(event.spec_.id_)) {
        return;
    }
    auto &job = state_->jobs_.add(event.spec_);
    job.submitted_ = state_->now_ - event.age_;
    job.attempt_ = event.attempt_;
    job.progress_ = event.progress_;
    admit(job);
}

auto JobLifecycle::recover(const GangRecovered &event) -> void
{
    if (state_->jobs_.find(event.spec_.id_) != nullptr) {
        return;
    }
    auto &job = state_->jobs_.add(event.spec_);
    job.submitted_ = state_->now_ - event.age_;
    job.progress_ = event.progress_;
    updateEstimates(job);
    auto placements = event.placements_;
    std::sort(placements.begin(), placements.end(), [](const auto &left, const auto &right) {
        return left.task_ < right.task_;
    });
    std::vector<WorkerIndex> workers;
    for (const auto &placement : placements) {
        job.attempt_ = placement.task_.attempt_;
        const auto worker = state_->cluster_.find(placement.worker_);
        if (worker && placement.task_.index_ == workers.size()) {
            workers.push_back(*worker);
        }
    }
    if (workers.empty()) {
        ++job.attempt_;
        admit(job);
        return;
    }
    reservations_.reserveRecovered(job, state_->cluster_.worker(workers.front()).zone_, workers);
    job.state_ = JobState::Starting;
    starter_.confirmRecovered(job);
    if (workers.size() != static_cast<std::size_t>(job.spec_.gangSize_)) {
        stopper_.stop(job, {JobState::Waiting, "only part of the gang was found running", std::nullopt, {}, false});
    }
}

auto JobLifecycle::cancel(const JobsCancelled &event) -> void
{
    for (const auto &id : event.jobs_) {
        auto *job = state_->jobs_.find(id);
        if (job != nullptr) {
            end(*job, {JobState::Cancelled, "cancelled by a caller", std::nullopt});
        }
    }
}

auto JobLifecycle::withdraw(const JobWithdrawn &event) -> void
{
    auto *job = state_->jobs_.find(event.job_);
    if (job == nullptr || (job->phase_ == GangPhase::Stopping && isFinal(job->afterStop_.state_))) {
        return;
    }
    job->withdrawnTo_ = event.to_;
    if (job->phase_ == GangPhase::Idle) {
        reassign(*job);
    } else if (job->phase_ == GangPhase::Running) {
        evict(*job, "job is moving to another availability zone");
    } else if (job->phase_ != GangPhase::Stopping) {
        stopper_.stop(*job, {JobState::Waiting, "job is moving to another availability zone", std::nullopt, {}, false});
    }
}

auto JobLifecycle::reassign(JobRecord &job) -> void
{
    state_->send(JobReassigned{job.spec_.id_, state_->zones_[job.zone_].id_, *job.withdrawnTo_, job.attempt_, job.progress_});
    reservations_.releaseDestination(job);
    queue_.remove(job);
    state_->jobs_.clearTimer(job);
    state_->jobs_.remove(job);
}

auto JobLifecycle::end(JobRecord &job, const JobOutcome &outcome) -> void
{
    if (job.phase_ == GangPhase::Idle) {
        recordEnd(job, outcome, true);
        return;
    }
    if (job.phase_ == GangPhase::Stopping && isFinal(job.afterStop_.state_)) {
        return;
    }
    // The end is reported immediately; the resources are released as the workers confirm.
    state_->send(JobEnded{job.spec_.id_, outcome.state_, outcome.reason_, outcome.rule_});
    stopper_.stop(job, {outcome.state_, outcome.reason_, outcome.rule_, {}, true});
}

auto JobLifecycle::evict(JobRecord &job, const std::string &reason) -> void
{
    const auto wanted = job.spec_.checkpointable_ ? job.spec_.grace_ : std::chrono::milliseconds(0);
    stopper_.stop(job, {JobState::Waiting, reason, std::nullopt, {}, false}, std::min(wanted, state_->options_.maxPreemptionGrace_));
}

auto JobLifecycle::findMember(const TaskId &task, const WorkerId &worker) -> JobRecord *
{
    auto *job = state_->jobs_.find(task.job_);
    if (job == nullptr || job->attempt_ != task.attempt_ || job->phase_ == GangPhase::Idle || task.index_ >= job->members_.size()) {
        return nullptr;
    }
    const auto &placed = state_->cluster_.worker(job->members_[task.index_].worker_).info_.id_;
    return placed == worker ? job : nullptr;
}

auto JobLifecycle::onCommandResult(const TaskCommandResult &event) -> void
{
    auto *job = findMember(event.task_, event.worker_);
    if (job == nullptr) {
        return;
    }
    const auto member = event.task_.index_;
    if (event.kind_ == TaskCommandKind::Stop) {
        stopper_.onResult(*job, member, event);
        return;
    }
    if (event.kind_ == TaskCommandKind::Checkpoint) {
        auto &saved = job->members_[member].saved_;
        saved = std::max(saved, event.progress_);
        return;
    }
    if (job->phase_ == GangPhase::Stopping || !job->members_[member].holdsResources()) {
        return;
    }
    if (job->phase_ == GangPhase::Running) {
        if (event.kind_ == TaskCommandKind::Renew && event.error_) {
            leases_.onFailure(*job, member, *event.error_);
        }
        return;
    }
    starter_.onResult(*job, member, event);
}

auto JobLifecycle::onTaskEnded(const TaskEnded &event) -> void
{
    auto *job = findMember(event.task_, event.worker_);
    if (job == nullptr || !job->members_[event.task_.index_].holdsResources()) {
        return;
    }
    const auto member = static_cast<std::size_t>(event.task_.index_);
    if (job->phase_ == GangPhase::Stopping) {
        const auto isFinished = event.outcome_ == TaskOutcome::Finished;
        stopper_.onMemberGone(*job, member, isFinished ? MemberState::Ended : MemberState::Released);
        return;
    }
    switch (event.outcome_) {
    case TaskOutcome::Finished:
        starter_.onMemberFinished(*job, member);
        if (job->holding_ == 0) {
            finish(*job);
        }
        break;
    case TaskOutcome::Failed:
        onMemberFailed(*job, member, event.reason_);
        break;
    case TaskOutcome::LeaseLapsed:
        reservations_.releaseMember(*job, member, MemberState::Released);
        starter_.failStart(*job, "the lease of a gang member expired on worker " + event.worker_.value());
        break;
    }
}

auto JobLifecycle::onMemberFailed(JobRecord &job, std::size_t member, const std::string &reason) -> void
{
    const auto worker = job.members_[member].worker_;
    ++job.runFailures_;
    if (std::find(job.failedWorkers_.begin(), job.failedWorkers_.end(), worker) == job.failedWorkers_.end()) {
        job.failedWorkers_.push_back(worker);
    }
    reservations_.releaseMember(job, member, MemberState::Released);
    if (taskFailed_) {
        taskFailed_(job, worker);
    }
    // Failures on quarantined workers do not count against the job.
    const auto onWorkers = static_cast<int>(std::count_if(job.failedWorkers_.begin(), job.failedWorkers_.end(), [this](WorkerIndex failed) {
        return !state_->cluster_.worker(failed).quarantined_;
    }));
    if (onWorkers >= state_->options_.maxFailedWorkers_ || job.runFailures_ >= MaxRunFailures) {
        end(job, {JobState::Failed, "job failed on " + std::to_string(onWorkers) + " different workers; last error: " + reason, std::nullopt});
        return;
    }
    stopper_.stop(job, {JobState::Waiting, "a task failed: " + reason, std::nullopt, retryDelay(state_->options_, job.runFailures_), false});
}

auto JobLifecycle::onTick() -> void
{
    while (auto *job = state_->jobs_.takeDue(state_->now_)) {
        onTimer(*job);
    }
}

auto JobLifecycle::onTimer(JobRecord &job) -> void
{
    switch (job.phase_) {
    case GangPhase::Idle:
        queue_.add(job);
        break;
    case GangPhase::AwaitingEvictions:
    case GangPhase::Holding:
    case GangPhase::Starting:
    case GangPhase::Confirming:
        starter_.onTimer(job);
        break;
    case GangPhase::Stopping:
        stopper_.onTimer(job);
        break;
    case GangPhase::Running:
        break;
    }
}

auto JobLifecycle::onRulesChanged() -> void
{
    for (GangIndex index = 0; index < state_->jobs_.slotCount(); ++index) {
        if (!state_->jobs_.isUsed(index)) {
            continue;
        }
        auto &job = state_->jobs_.at(index);
        if (job.state_ == JobState::Parked) {
            const auto outcome = admission_.check(job);
            if (!outcome) {
                requeue(job);
            }
        } else if (job.state_ == JobState::Waiting) {
            const auto outcome = admission_.check(job);
            if (outcome) {
                park(job, *outcome);
            }
        }
    }
    queue_.rebuild();
}

auto JobLifecycle::onWorkerDown(WorkerIndex worker) -> void
{
    const auto gangs = state_->cluster_.worker(worker).gangs_;
    for (const auto &reservation : gangs) {
        stopper_.stop(state_->jobs_.at(reservation.gang_), {JobState::Waiting, "a worker of the gang was lost", std::nullopt, {}, false});
    }
}

auto JobLifecycle::admit(JobRecord &job) -> void
{
    updateEstimates(job);
    if (const auto outcome = admission_.check(job)) {
        park(job, *outcome);
        return;
    }
    job.state_ = JobState::Waiting;
    job.reason_ = "waiting in the queue";
    queue_.add(job);
}

auto JobLifecycle::park(JobRecord &job, const JobOutcome &outcome) -> void
{
    if (outcome.state_ != JobState::Parked) {
        recordEnd(job, outcome, true);
        return;
    }
    queue_.remove(job);
    state_->jobs_.clearTimer(job);
    job.state_ = JobState::Parked;
    job.reason_ = outcome.reason_;
    job.rule_ = outcome.rule_;
    state_->send(JobEnded{job.spec_.id_, JobState::Parked, outcome.reason_, outcome.rule_});
}

auto JobLifecycle::updateEstimates(JobRecord &job) -> void
{
    job.reserved_ = job.spec_.task_;
    job.reserved_.memoryMb_ = std::max(state_->estimator_.memoryMb(job.spec_), job.peakMemoryMb_ * ObservedMemoryPercent / 100);
    const auto estimate = state_->estimator_.runTime(job.spec_);
    job.expected_ = estimate.expected_;
    job.pessimistic_ = estimate.pessimistic_;
}

auto JobLifecycle::onRunning(JobRecord &job) -> void
{
    job.state_ = JobState::Running;
    job.reason_ = "all gang members are running";
    job.startFailures_ = 0;
    job.renewFailures_ = 0;
    state_->runningTasks_[job.zone_] += static_cast<int>(job.members_.size());
    JobStarted record{job.spec_.id_, job.attempt_, {}};
    record.placements_.reserve(job.members_.size());
    for (std::size_t i = 0; i < job.members_.size(); ++i) {
        const auto &worker = state_->cluster_.worker(job.members_[i].worker_).info_.id_;
        record.placements_.push_back({{job.spec_.id_, job.attempt_, static_cast<std::uint32_t>(i)}, worker});
    }
    state_->send(std::move(record));
    leases_.scheduleGang(job);
}

auto JobLifecycle::onReleased(JobRecord &job) -> void
{
    const auto isFinished = std::all_of(job.members_.begin(), job.members_.end(), [](const GangMember &member) {
        return member.state_ == MemberState::Ended;
    });
    if (isFinal(job.afterStop_.state_)) {
        recordEnd(job, {job.afterStop_.state_, job.afterStop_.reason_, job.afterStop_.rule_}, !job.afterStop_.reported_);
    } else if (isFinished) {
        recordEnd(job, {JobState::Finished, "all gang members finished", std::nullopt}, true);
    } else {
        requeue(job);
    }
}

auto JobLifecycle::requeue(JobRecord &job) -> void
{
    // The progress of a gang is the least run time saved by any member.
    auto saved = std::chrono::milliseconds::max();
    for (const auto &member : job.members_) {
        saved = std::min(saved, member.saved_);
    }
    if (!job.members_.empty()) {
        job.progress_ = std::max(job.progress_, saved);
    }
    job.members_.clear();
    ++job.attempt_;
    if (job.withdrawnTo_) {
        reassign(job);
        return;
    }
    job.state_ = JobState::Waiting;
    job.rule_.reset();
    job.reason_ = "waiting in the queue";
    state_->send(JobRequeued{job.spec_.id_, job.attempt_, job.progress_, job.afterStop_.reason_});
    if (job.destination_ && state_->zones_[job.destination_->zone_].mayStart() && job.afterStop_.retryDelay_ == std::chrono::milliseconds(0)) {
        job.afterStop_ = {};
        starter_.beginAtDestination(job);
        return;
    }
    reservations_.releaseDestination(job);
    updateEstimates(job);
    // The margin above the reported memory must not make the job larger than any worker.
    if (job.peakMemoryMb_ > 0 && admission_.check(job)) {
        job.reserved_.memoryMb_ = std::max(job.spec_.task_.memoryMb_, job.peakMemoryMb_);
    }
    if (const auto outcome = admission_.check(job)) {
        park(job, *outcome);
        return;
    }
    if (job.afterStop_.retryDelay_ > std::chrono::milliseconds(0)) {
        job.reason_ = "waiting for a retry: " + job.afterStop_.reason_;
        state_->jobs_.setTimer(job, state_->now_ + job.afterStop_.retryDelay_);
    } else {
        queue_.add(job);
    }
    job.afterStop_ = {};
}

auto JobLifecycle::finish(JobRecord &job) -> void
{
    if (job.phase_ == GangPhase::Running) {
        state_->runningTasks_[job.zone_] -= static_cast<int>(job.members_.size());
    } else {
        --state_->zones_[job.zone_].startingGangs_;
    }
    const auto ranNow = std::chrono::duration_cast<std::chrono::milliseconds>(state_->now_ - job.runningSince_);
    state_->estimator_.learnRunTime(job.spec_, job.progress_ + ranNow);
    if (job.peakMemoryMb_ > 0) {
        state_->estimator_.learnMemory(job.spec_, job.peakMemoryMb_);
    }
    job.phase_ = GangPhase::Idle;
    recordEnd(job, {JobState::Finished, "all gang members finished", std::nullopt}, true);
}

auto JobLifecycle::recordEnd(JobRecord &job, const JobOutcome &outcome, bool report) -> void
{
    if (report) {
        state_->send(JobEnded{job.spec_.id_, outcome.state_, outcome.reason_, outcome.rule_});
    }
    ended_[job.spec_.id_] = {outcome.state_, outcome.reason_, outcome.rule_};
    endedOrder_.push_back(job.spec_.id_);
    if (endedOrder_.size() > MaxEndedJobs) {
        ended_.erase(endedOrder_.front());
        endedOrder_.pop_front();
    }
    reservations_.releaseDestination(job);
    queue_.remove(job);
    state_->jobs_.remove(job);
}

auto JobLifecycle::dropReassigned(JobRecord &job) -> void
{
    queue_.remove(job);
    state_->jobs_.remove(job);
}

auto JobLifecycle::ended(const JobId &id) const -> const EndedJob *
{
    const auto found = ended_.find(id);
    return found == ended_.end() ? nullptr : &found->second;
}
} // namespace Marjoramfold
