#include "baselinepolicy.h"

#include <algorithm>

namespace Marjoramfold
{
namespace
{
using std::chrono::milliseconds;

/// Interval of probes of quarantined workers.
constexpr std::chrono::seconds ProbeInterval{60};
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
        [this](const auto &known) {
            on(known);
        },
        event);
    if (changed_) {
        placeWaiting();
    }
    return std::move(commands_);
}

auto BaselinePolicy::on(const WorkerUp &event) -> void
{
    placement_.addWorker(event.worker_);
    gangsOn_.resize(placement_.workerCount());
    changed_ = true;
}

auto BaselinePolicy::on(const WorkerDown &event) -> void
{
    const auto worker = placement_.indexOf(event.worker_);
    if (!worker) {
        return;
    }
    placement_.worker(*worker).lost_ = true;
    // The loop changes the set.
    const auto gangs = gangsOn_[*worker];
    for (const auto &id : gangs) {
        auto &job = jobs_.at(id);
        stopGang(job, options_.maxPreemptionGrace_, "worker lost");
        for (std::size_t i = 0; i < job.members_.size(); ++i) {
            if (job.members_[i].worker_ == *worker) {
                waitForLease(job, i);
            }
        }
    }
}

auto BaselinePolicy::on(const WorkerLeaving &event) -> void
{
    if (const auto worker = placement_.indexOf(event.worker_)) {
        placement_.worker(*worker).leaving_ = true;
        stopGangsOn(*worker, "worker leaves");
    }
}

auto BaselinePolicy::on(const JobArrived &event) -> void
{
    auto &job = jobs_[event.spec_.id_];
    job.spec_ = event.spec_;
    job.order_ = nextOrder_++;
    job.attempt_ = event.attempt_;
    job.progress_ = event.progress_;
    if (!placement_.canEverFit(job.spec_, SharedByAll)) {
        end(job, JobState::Parked, "fits no allowed availability zone");
        return;
    }
    job.share_ = placement_.shareOf(job.spec_);
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
            queue_.erase({job.share_, job.spec_.priority_ != PriorityClass::Urgent, job.order_});
            end(job, JobState::Cancelled, "cancelled");
        } else {
            stopGang(job, milliseconds(0), "cancelled");
        }
    }
    changed_ = true;
}

auto BaselinePolicy::on(const RulesChanged &event) -> void
{
    placement_.setRules(event.rules_);
    for (std::size_t i = 0; i < placement_.workerCount(); ++i) {
        if (!placement_.isIn(placement_.worker(i).info_.zone_)) {
            stopGangsOn(i, "availability zone out");
        }
    }
    changed_ = true;
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
            waitForLease(*job, event.task_.index_);
        } else if (member->state_ == MemberState::Stopping) {
            member->progress_ = event.error_ ? milliseconds(0) : event.progress_;
            memberGone(*job, *member);
            gangGone(*job);
        }
        return;
    }
    if (job->state_ == JobState::Stopping) {
        return;
    }
    if (event.error_) {
        stopGang(*job, milliseconds(0), "command refused");
        return;
    }
    if (event.kind_ == TaskCommandKind::Hold && member->state_ == MemberState::Holding) {
        member->state_ = MemberState::Held;
        startAll(*job);
    } else if (event.kind_ == TaskCommandKind::Start && member->state_ == MemberState::Starting) {
        member->state_ = MemberState::Running;
        confirm(*job);
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
    memberGone(*job, *member);
    if (event.outcome_ == TaskOutcome::Failed) {
        noteFailure(*job, worker);
    }
    if (event.outcome_ != TaskOutcome::Finished) {
        stopGang(*job, options_.maxPreemptionGrace_, event.reason_);
    }
    gangGone(*job);
}

auto BaselinePolicy::on(const UsageReported & /*event*/) -> void {}

auto BaselinePolicy::on(const JobWithdrawn & /*event*/) -> void {}

auto BaselinePolicy::on(const TeamUseElsewhere & /*event*/) -> void {}

auto BaselinePolicy::on(const ProbeResult &event) -> void
{
    if (const auto worker = placement_.indexOf(event.worker_); worker && event.healthy_) {
        placement_.worker(*worker).quarantined_ = false;
        workerFailures_.erase(*worker);
        changed_ = true;
    }
}

auto BaselinePolicy::on(const Tick & /*event*/) -> void
{
    releaseLostMembers();
    if (now_ - lastRenewal_ >= options_.renewInterval_) {
        lastRenewal_ = now_;
        renewAll();
    }
    if (now_ - lastProbe_ >= ProbeInterval) {
        lastProbe_ = now_;
        for (std::size_t i = 0; i < placement_.workerCount(); ++i) {
            if (placement_.worker(i).quarantined_) {
                commands_.emplace_back(ProbeWorker{placement_.worker(i).info_.id_});
            }
        }
    }
    changed_ = changed_ || now_ >= nextBackoff_;
}

auto BaselinePolicy::findMember(const TaskId &task, Job *&job) -> Member *
{
    const auto found = jobs_.find(task.job_);
    if (found == jobs_.end() || found->second.attempt_ != task.attempt_ || task.index_ >= found->second.members_.size()) {
        return nullptr;
    }
    job = &found->second;
    auto &member = job->members_[task.index_];
    return member.state_ == MemberState::Gone ? nullptr : &member;
}

auto BaselinePolicy::enqueue(Job &job) -> void
{
    job.state_ = JobState::Waiting;
    queue_[{job.share_, job.spec_.priority_ != PriorityClass::Urgent, job.order_}] = job.spec_.id_;
    changed_ = true;
}

auto BaselinePolicy::placeWaiting() -> void
{
    changed_ = false;
    nextBackoff_ = SteadyTime::max();
    std::set<int> blocked;
    std::vector<const Job *> unplaced;
    for (auto position = queue_.begin(); position != queue_.end();) {
        auto &job = jobs_.at(position->second);
        nextBackoff_ = job.notBefore_ > now_ ? std::min(nextBackoff_, job.notBefore_) : nextBackoff_;
        if (blocked.contains(job.share_) || !mayRun(job) || isLikeBlocked(job, unplaced)) {
            ++position;
            continue;
        }
        if (tryStart(job)) {
            position = queue_.erase(position);
            continue;
        }
        if (kind_ != BaselineKind::FirstFitSkip) {
            blocked.insert(job.share_);
        } else {
            unplaced.push_back(&job);
        }
        ++position;
    }
}

auto BaselinePolicy::isLikeBlocked(const Job &job, const std::vector<const Job *> &blocked) const -> bool
{
    // Free capacity only shrinks within a pass, so a job like one that did not fit need not be tried.
    return std::any_of(blocked.begin(), blocked.end(), [&](const Job *other) {
        const auto &spec = other->spec_;
        return other->failedWorkers_.empty() && spec.task_ == job.spec_.task_ && spec.gangSize_ <= job.spec_.gangSize_
            && spec.adjacency_ == job.spec_.adjacency_ && spec.allowedZones_ == job.spec_.allowedZones_;
    });
}

auto BaselinePolicy::mayRun(const Job &job) const -> bool
{
    if (job.notBefore_ > now_) {
        return false;
    }
    const auto quota = placement_.quota(job.spec_.team_);
    const auto used = used_.find(job.spec_.team_);
    const auto wanted = job.spec_.gangSize_ * job.spec_.task_.accelerators_ + (used == used_.end() ? 0 : used->second);
    if (quota && job.spec_.task_.accelerators_ > 0 && wanted > *quota) {
        return false;
    }
    return job.spec_.allowedZones_.empty() || std::any_of(job.spec_.allowedZones_.begin(), job.spec_.allowedZones_.end(), [this](const auto &zone) {
               return placement_.isIn(zone);
           });
}

auto BaselinePolicy::tryStart(Job &job) -> bool
{
    auto workers = placement_.place(job.spec_, job.share_, job.failedWorkers_);
    if (!workers) {
        return false;
    }
    job.state_ = JobState::Starting;
    job.renewed_ = now_;
    job.failedByWorker_ = false;
    job.members_.assign(workers->size(), Member{});
    used_[job.spec_.team_] += job.spec_.gangSize_ * job.spec_.task_.accelerators_;
    for (std::size_t i = 0; i < workers->size(); ++i) {
        job.members_[i].worker_ = (*workers)[i];
        placement_.worker((*workers)[i]).free_ -= job.spec_.task_;
        gangsOn_[(*workers)[i]].insert(job.spec_.id_);
        send(TaskCommandKind::Hold, job, i, options_.holdLease_);
    }
    return true;
}

auto BaselinePolicy::startAll(Job &job) -> void
{
    const auto held = std::all_of(job.members_.begin(), job.members_.end(), [](const Member &member) {
        return member.state_ == MemberState::Held;
    });
    for (std::size_t i = 0; held && i < job.members_.size(); ++i) {
        job.members_[i].state_ = MemberState::Starting;
        job.members_[i].started_ = true;
        send(TaskCommandKind::Start, job, i, options_.startLease_);
    }
}

auto BaselinePolicy::confirm(Job &job) -> void
{
    const auto running = std::all_of(job.members_.begin(), job.members_.end(), [](const Member &member) {
        return member.state_ == MemberState::Running || member.finished_;
    });
    if (!running) {
        return;
    }
    job.state_ = JobState::Running;
    job.renewed_ = now_;
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
    for (std::size_t worker = 0; worker < gangsOn_.size(); ++worker) {
        RenewLeases renewal{placement_.worker(worker).info_.id_, {}, options_.runLease_};
        for (const auto &id : gangsOn_[worker]) {
            auto &job = jobs_.at(id);
            job.renewed_ = job.state_ == JobState::Running ? now_ : job.renewed_;
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
        if (member.state_ == MemberState::Gone) {
            continue;
        }
        member.state_ = MemberState::Stopping;
        send(TaskCommandKind::Stop, job, i, milliseconds(0));
        std::get<TaskCommand>(commands_.back()).grace_ = grace;
    }
}

auto BaselinePolicy::stopGangsOn(std::size_t worker, const std::string &reason) -> void
{
    for (const auto &id : gangsOn_[worker]) {
        stopGang(jobs_.at(id), options_.maxPreemptionGrace_, reason);
    }
}

auto BaselinePolicy::waitForLease(const Job &job, std::size_t member) -> void
{
    lostMembers_.emplace(job.renewed_ + options_.runLease_, TaskId{job.spec_.id_, job.attempt_, static_cast<std::uint32_t>(member)});
}

auto BaselinePolicy::releaseLostMembers() -> void
{
    while (!lostMembers_.empty() && lostMembers_.begin()->first <= now_) {
        Job *job = nullptr;
        auto *member = findMember(lostMembers_.begin()->second, job);
        lostMembers_.erase(lostMembers_.begin());
        if (member != nullptr) {
            memberGone(*job, *member);
            gangGone(*job);
        }
    }
}

auto BaselinePolicy::memberGone(Job &job, Member &member) -> void
{
    member.state_ = MemberState::Gone;
    placement_.worker(member.worker_).free_ += job.spec_.task_;
    changed_ = true;
}

auto BaselinePolicy::gangGone(Job &job) -> void
{
    const auto gone = std::all_of(job.members_.begin(), job.members_.end(), [](const Member &member) {
        return member.state_ == MemberState::Gone;
    });
    if (!gone || job.members_.empty()) {
        return;
    }
    auto saved = milliseconds::max();
    auto finished = true;
    for (const auto &member : job.members_) {
        gangsOn_[member.worker_].erase(job.spec_.id_);
        finished = finished && member.finished_;
        saved = member.finished_ ? saved : std::min(saved, member.progress_);
    }
    used_[job.spec_.team_] -= job.spec_.gangSize_ * job.spec_.task_.accelerators_;
    job.members_.clear();
    if (finished) {
        return end(job, JobState::Finished, "");
    }
    job.progress_ = std::max(job.progress_, saved);
    ++job.attempt_;
    if (job.cancelled_) {
        return end(job, JobState::Cancelled, "cancelled");
    }
    if (job.failedWorkers_.size() >= static_cast<std::size_t>(options_.maxFailedWorkers_)) {
        return end(job, JobState::Failed, "failed on different workers");
    }
    job.failures_ += job.failedByWorker_ ? 1 : 0;
    const auto delay = options_.firstRetryDelay_ * (1 << std::min(job.failures_, 6));
    job.notBefore_ = now_ + (job.failedByWorker_ ? std::min<milliseconds>(delay, options_.maxRetryDelay_) : milliseconds(0));
    commands_.emplace_back(JobRequeued{job.spec_.id_, job.attempt_, job.progress_, job.reason_});
    enqueue(job);
}

auto BaselinePolicy::noteFailure(Job &job, std::size_t worker) -> void
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

auto BaselinePolicy::end(Job &job, JobState state, const std::string &reason) -> void
{
    job.state_ = state;
    commands_.emplace_back(JobEnded{job.spec_.id_, state, reason, std::nullopt});
}

auto BaselinePolicy::send(TaskCommandKind kind, const Job &job, std::size_t member, milliseconds lease) -> void
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
