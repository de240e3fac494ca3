#include "baselinepolicy.h"

#include <algorithm>

namespace Marjoramfold
{
namespace
{
using std::chrono::milliseconds;

constexpr std::chrono::seconds QuarantineProbeInterval{60};
} // namespace

BaselinePolicy::BaselinePolicy(BaselineKind kind)
    : kind_(kind)
    , placement_(kind)
{
}

auto BaselinePolicy::handle(const SchedulerEvent &event, SteadyTime now) -> std::vector<SchedulerCommand>
{
    now_ = now;
    std::visit(
        [this](const auto &concrete) {
            on(concrete);
        },
        event);
    if (placementNeeded_) {
        placeQueuedJobs();
    }
    return std::move(commands_);
}

auto BaselinePolicy::on(const WorkerUp &event) -> void
{
    placement_.addWorker(event.worker_);
    gangsByWorker_.resize(placement_.workerCount());
    placementNeeded_ = true;
}

auto BaselinePolicy::on(const WorkerDown &event) -> void
{
    const auto worker = placement_.indexOf(event.worker_);
    if (!worker) {
        return;
    }
    placement_.worker(*worker).lost_ = true;
    // Copied, since the loop modifies the set.
    const auto gangs = gangsByWorker_[*worker];
    for (const auto &id : gangs) {
        auto &job = jobs_.at(id);
        stopGang(job, options_.maxPreemptionGrace_, "worker lost");
        for (std::size_t i = 0; i < job.members_.size(); ++i) {
            if (job.members_[i].worker_ == *worker) {
                releaseAfterLease(job, i);
            }
        }
    }
}

auto BaselinePolicy::on(const WorkerLeaving &event) -> void
{
    if (const auto worker = placement_.indexOf(event.worker_)) {
        placement_.worker(*worker).leaving_ = true;
        stopGangsOn(*worker, "worker is leaving");
    }
}

auto BaselinePolicy::on(const JobArrived &event) -> void
{
    auto &job = jobs_[event.spec_.id_];
    job.spec_ = event.spec_;
    job.arrivalOrder_ = nextArrivalOrder_++;
    job.attempt_ = event.attempt_;
    job.progress_ = event.progress_;
    if (!placement_.canEverFit(job.spec_, AllPartitions)) {
        endJob(job, JobState::Parked, "does not fit in any allowed availability zone");
        return;
    }
    job.partition_ = placement_.partitionOf(job.spec_);
    enqueue(job);
}

auto BaselinePolicy::on(const GangRecovered & /*event*/) -> void {}

auto BaselinePolicy::on(const JobsCancelled &event) -> void
{
    for (const auto &id : event.jobs_) {
        const auto found = jobs_.find(id);
        if (found == jobs_.end() || isFinal(found->second.state_)) {
            continue;
        }
        auto &job = found->second;
        job.cancelled_ = true;
        if (job.state_ == JobState::Waiting || job.state_ == JobState::Parked) {
            queue_.erase({job.partition_, job.spec_.priority_ != PriorityClass::Urgent, job.arrivalOrder_});
            endJob(job, JobState::Cancelled, "cancelled");
        } else {
            stopGang(job, milliseconds(0), "cancelled");
        }
    }
    placementNeeded_ = true;
}

auto BaselinePolicy::on(const RulesChanged &event) -> void
{
    placement_.setRules(event.rules_);
    for (std::size_t i = 0; i < placement_.workerCount(); ++i) {
        if (!placement_.isIn(placement_.worker(i).info_.zone_)) {
            stopGangsOn(i, "availability zone is out");
        }
    }
    placementNeeded_ = true;
}

auto BaselinePolicy::on(const StartGateChanged & /*event*/) -> void {}

auto BaselinePolicy::on(const TaskCommandResult &event) -> void
{
    Job *job = nullptr;
    auto *member = findMember(event.task_, job);
    if (member == nullptr) {
        return;
    }
    if (event.kind_ == TaskCommandKind::Stop) {
        const auto unknown = event.error_ && errorAnswer(event.error_->kind_).ran_ == Ran::Maybe;
        if (unknown) {
            releaseAfterLease(*job, event.task_.index_);
        } else if (member->state_ == MemberState::Stopping) {
            member->progress_ = event.error_ ? milliseconds(0) : event.progress_;
            releaseMember(*job, *member);
            endAttemptIfReleased(*job);
        }
        return;
    }
    if (job->state_ == JobState::Stopping) {
        return;
    }
    if (event.error_) {
        stopGang(*job, milliseconds(0), "worker rejected a command");
        return;
    }
    if (event.kind_ == TaskCommandKind::Hold && member->state_ == MemberState::Holding) {
        member->state_ = MemberState::Held;
        startIfAllHeld(*job);
    } else if (event.kind_ == TaskCommandKind::Start && member->state_ == MemberState::Starting) {
        member->state_ = MemberState::Running;
        markRunningIfAllStarted(*job);
    }
}

auto BaselinePolicy::on(const TaskEnded &event) -> void
{
    Job *job = nullptr;
    auto *member = findMember(event.task_, job);
    if (member == nullptr) {
        return;
    }
    member->finished_ = event.outcome_ == TaskOutcome::Finished;
    const auto worker = member->worker_;
    releaseMember(*job, *member);
    if (event.outcome_ == TaskOutcome::Failed) {
        recordFailure(*job, worker);
    }
    if (event.outcome_ != TaskOutcome::Finished) {
        stopGang(*job, options_.maxPreemptionGrace_, event.reason_);
    }
    endAttemptIfReleased(*job);
}

auto BaselinePolicy::on(const UsageReported & /*event*/) -> void {}

auto BaselinePolicy::on(const JobWithdrawn & /*event*/) -> void {}

auto BaselinePolicy::on(const TeamUseElsewhere & /*event*/) -> void {}

auto BaselinePolicy::on(const ProbeResult &event) -> void
{
    if (const auto worker = placement_.indexOf(event.worker_); worker && event.healthy_) {
        placement_.worker(*worker).quarantined_ = false;
        workerFailures_.erase(*worker);
        placementNeeded_ = true;
    }
}

auto BaselinePolicy::on(const Tick & /*event*/) -> void
{
    releaseExpiredMembers();
    if (now_ - lastRenewal_ >= options_.renewInterval_) {
        lastRenewal_ = now_;
        renewAll();
    }
    if (now_ - lastProbe_ >= QuarantineProbeInterval) {
        lastProbe_ = now_;
        for (std::size_t i = 0; i < placement_.workerCount(); ++i) {
            if (placement_.worker(i).quarantined_) {
                commands_.emplace_back(ProbeWorker{placement_.worker(i).info_.id_});
            }
        }
    }
    placementNeeded_ = placementNeeded_ || now_ >= nextBackoffEnd_;
}

auto BaselinePolicy::findMember(const TaskId &task, Job *&job) -> Member *
{
    const auto found = jobs_.find(task.job_);
    if (found == jobs_.end() || found->second.attempt_ != task.attempt_ || task.index_ >= found->second.members_.size()) {
        return nullptr;
    }
    job = &found->second;
    auto &member = job->members_[task.index_];
    return member.state_ == MemberState::Released ? nullptr : &member;
}

auto BaselinePolicy::enqueue(Job &job) -> void
{
    job.state_ = JobState::Waiting;
    queue_[{job.partition_, job.spec_.priority_ != PriorityClass::Urgent, job.arrivalOrder_}] = job.spec_.id_;
    placementNeeded_ = true;
}

auto BaselinePolicy::placeQueuedJobs() -> void
{
    placementNeeded_ = false;
    nextBackoffEnd_ = SteadyTime::max();
    std::set<int> blocked;
    std::vector<const Job *> unplaced;
    for (auto position = queue_.begin(); position != queue_.end();) {
        auto &job = jobs_.at(position->second);
        nextBackoffEnd_ = job.notBefore_ > now_ ? std::min(nextBackoffEnd_, job.notBefore_) : nextBackoffEnd_;
        if (blocked.contains(job.partition_) || !isEligible(job) || matchesUnplacedJob(job, unplaced)) {
            ++position;
            continue;
        }
        if (tryStart(job)) {
            position = queue_.erase(position);
            continue;
        }
        if (kind_ != BaselineKind::FirstFitSkip) {
            blocked.insert(job.partition_);
        } else {
            unplaced.push_back(&job);
        }
        ++position;
    }
}

auto BaselinePolicy::matchesUnplacedJob(const Job &job, const std::vector<const Job *> &unplaced) const -> bool
{
    // Free capacity only shrinks within a pass: a job that needs at least as much as one that did not fit cannot fit either.
    return std::any_of(unplaced.begin(), unplaced.end(), [&](const Job *other) {
        const auto &spec = other->spec_;
        return other->failedWorkers_.empty() && spec.task_ == job.spec_.task_ && spec.gangSize_ <= job.spec_.gangSize_
            && spec.adjacency_ == job.spec_.adjacency_ && spec.allowedZones_ == job.spec_.allowedZones_;
    });
}

auto BaselinePolicy::isEligible(const Job &job) const -> bool
{
    if (job.notBefore_ > now_) {
        return false;
    }
    const auto quota = placement_.quota(job.spec_.team_);
    const auto used = acceleratorsInUse_.find(job.spec_.team_);
    const auto wanted = job.spec_.gangSize_ * job.spec_.task_.accelerators_ + (used == acceleratorsInUse_.end() ? 0 : used->second);
    if (quota && job.spec_.task_.accelerators_ > 0 && wanted > *quota) {
        return false;
    }
    return job.spec_.allowedZones_.empty() || std::any_of(job.spec_.allowedZones_.begin(), job.spec_.allowedZones_.end(), [this](const auto &zone) {
               return placement_.isIn(zone);
           });
}

auto BaselinePolicy::tryStart(Job &job) -> bool
{
    auto workers = placement_.place(job.spec_, job.partition_, job.failedWorkers_);
    if (!workers) {
        return false;
    }
    job.state_ = JobState::Starting;
    job.renewedAt_ = now_;
    job.failedByWorker_ = false;
    job.members_.assign(workers->size(), Member{});
    acceleratorsInUse_[job.spec_.team_] += job.spec_.gangSize_ * job.spec_.task_.accelerators_;
    for (std::size_t i = 0; i < workers->size(); ++i) {
        job.members_[i].worker_ = (*workers)[i];
        placement_.worker((*workers)[i]).free_ -= job.spec_.task_;
        gangsByWorker_[(*workers)[i]].insert(job.spec_.id_);
        sendCommand(TaskCommandKind::Hold, job, i, options_.holdLease_);
    }
    return true;
}

auto BaselinePolicy::startIfAllHeld(Job &job) -> void
{
    const auto held = std::all_of(job.members_.begin(), job.members_.end(), [](const Member &member) {
        return member.state_ == MemberState::Held;
    });
    for (std::size_t i = 0; held && i < job.members_.size(); ++i) {
        job.members_[i].state_ = MemberState::Starting;
        job.members_[i].started_ = true;
        sendCommand(TaskCommandKind::Start, job, i, options_.startLease_);
    }
}

auto BaselinePolicy::markRunningIfAllStarted(Job &job) -> void
{
    const auto running = std::all_of(job.members_.begin(), job.members_.end(), [](const Member &member) {
        return member.state_ == MemberState::Running || member.finished_;
    });
    if (!running) {
        return;
    }
    job.state_ = JobState::Running;
    job.renewedAt_ = now_;
    JobStarted record{job.spec_.id_, job.attempt_, {}};
    std::map<std::size_t, std::vector<TaskId>> byWorker;
    for (std::size_t i = 0; i < job.members_.size(); ++i) {
        const TaskId task{job.spec_.id_, job.attempt_, static_cast<std::uint32_t>(i)};
        byWorker[job.members_[i].worker_].push_back(task);
        record.placements_.push_back({task, placement_.worker(job.members_[i].worker_).info_.id_});
    }
    for (auto &[worker, tasks] : byWorker) {
        commands_.emplace_back(RenewLeases{placement_.worker(worker).info_.id_, std::move(tasks), options_.runLease_});
    }
    commands_.emplace_back(std::move(record));
}

auto BaselinePolicy::renewAll() -> void
{
    for (std::size_t worker = 0; worker < gangsByWorker_.size(); ++worker) {
        RenewLeases renewal{placement_.worker(worker).info_.id_, {}, options_.runLease_};
        for (const auto &id : gangsByWorker_[worker]) {
            auto &job = jobs_.at(id);
            job.renewedAt_ = job.state_ == JobState::Running ? now_ : job.renewedAt_;
            for (std::size_t i = 0; job.state_ == JobState::Running && i < job.members_.size(); ++i) {
                if (job.members_[i].worker_ == worker && job.members_[i].state_ == MemberState::Running) {
                    renewal.tasks_.push_back({id, job.attempt_, static_cast<std::uint32_t>(i)});
                }
            }
        }
        if (!renewal.tasks_.empty()) {
            commands_.emplace_back(std::move(renewal));
        }
    }
}

auto BaselinePolicy::stopGang(Job &job, milliseconds grace, const std::string &reason) -> void
{
    if (job.state_ != JobState::Starting && job.state_ != JobState::Running) {
        return;
    }
    job.state_ = JobState::Stopping;
    job.reason_ = reason;
    for (std::size_t i = 0; i < job.members_.size(); ++i) {
        auto &member = job.members_[i];
        if (member.state_ == MemberState::Released) {
            continue;
        }
        member.state_ = MemberState::Stopping;
        sendCommand(TaskCommandKind::Stop, job, i, milliseconds(0));
        std::get<TaskCommand>(commands_.back()).grace_ = grace;
    }
}

auto BaselinePolicy::stopGangsOn(std::size_t worker, const std::string &reason) -> void
{
    for (const auto &id : gangsByWorker_[worker]) {
        stopGang(jobs_.at(id), options_.maxPreemptionGrace_, reason);
    }
}

auto BaselinePolicy::releaseAfterLease(const Job &job, std::size_t member) -> void
{
    lostMembers_.emplace(job.renewedAt_ + options_.runLease_, TaskId{job.spec_.id_, job.attempt_, static_cast<std::uint32_t>(member)});
}

auto BaselinePolicy::releaseExpiredMembers() -> void
{
    while (!lostMembers_.empty() && lostMembers_.begin()->first <= now_) {
        Job *job = nullptr;
        auto *member = findMember(lostMembers_.begin()->second, job);
        lostMembers_.erase(lostMembers_.begin());
        if (member != nullptr) {
            releaseMember(*job, *member);
            endAttemptIfReleased(*job);
        }
    }
}

auto BaselinePolicy::releaseMember(Job &job, Member &member) -> void
{
    member.state_ = MemberState::Released;
    placement_.worker(member.worker_).free_ += job.spec_.task_;
    placementNeeded_ = true;
}

auto BaselinePolicy::endAttemptIfReleased(Job &job) -> void
{
    const auto gone = std::all_of(job.members_.begin(), job.members_.end(), [](const Member &member) {
        return member.state_ == MemberState::Released;
    });
    if (!gone || job.members_.empty()) {
        return;
    }
    auto saved = milliseconds::max();
    auto finished = true;
    for (const auto &member : job.members_) {
        gangsByWorker_[member.worker_].erase(job.spec_.id_);
        finished = finished && member.finished_;
        saved = member.finished_ ? saved : std::min(saved, member.progress_);
    }
    acceleratorsInUse_[job.spec_.team_] -= job.spec_.gangSize_ * job.spec_.task_.accelerators_;
    job.members_.clear();
    if (finished) {
        return endJob(job, JobState::Finished, "");
    }
    job.progress_ = std::max(job.progress_, saved);
    ++job.attempt_;
    if (job.cancelled_) {
        return endJob(job, JobState::Cancelled, "cancelled");
    }
    if (job.failedWorkers_.size() >= static_cast<std::size_t>(options_.maxFailedWorkers_)) {
        return endJob(job, JobState::Failed, "failed on too many workers");
    }
    job.failures_ += job.failedByWorker_ ? 1 : 0;
    const auto delay = options_.firstRetryDelay_ * (1 << std::min(job.failures_, 6));
    job.notBefore_ = now_ + (job.failedByWorker_ ? std::min<milliseconds>(delay, options_.maxRetryDelay_) : milliseconds(0));
    commands_.emplace_back(JobRequeued{job.spec_.id_, job.attempt_, job.progress_, job.reason_});
    enqueue(job);
}

auto BaselinePolicy::recordFailure(Job &job, std::size_t worker) -> void
{
    job.failedByWorker_ = true;
    if (std::find(job.failedWorkers_.begin(), job.failedWorkers_.end(), worker) == job.failedWorkers_.end()) {
        job.failedWorkers_.push_back(worker);
    }
    auto &failures = workerFailures_[worker];
    std::erase_if(failures, [&](const auto &failure) {
        return failure.first == job.spec_.id_ || now_ - failure.second > options_.quarantineWindow_;
    });
    failures.emplace_back(job.spec_.id_, now_);
    if (failures.size() >= static_cast<std::size_t>(options_.quarantineFailures_)) {
        placement_.worker(worker).quarantined_ = true;
    }
}

auto BaselinePolicy::endJob(Job &job, JobState state, const std::string &reason) -> void
{
    job.state_ = state;
    commands_.emplace_back(JobEnded{job.spec_.id_, state, reason, std::nullopt});
}

auto BaselinePolicy::sendCommand(TaskCommandKind kind, const Job &job, std::size_t member, milliseconds lease) -> void
{
    TaskCommand command;
    command.kind_ = kind;
    command.task_ = {job.spec_.id_, job.attempt_, static_cast<std::uint32_t>(member)};
    command.worker_ = placement_.worker(job.members_[member].worker_).info_.id_;
    command.resources_ = job.spec_.task_;
    command.lease_ = lease;
    command.progress_ = job.progress_;
    commands_.emplace_back(std::move(command));
}
} // namespace Marjoramfold
