#include "fakecluster.h"

#include <algorithm>
#include <cassert>

namespace Marjoramfold
{
namespace
{
using std::chrono::milliseconds;

/// Client-side timeout of a command to a lost worker.
constexpr milliseconds CommandTimeout{1'000};
/// Time until the failure detector reports a lost worker; see docs/design.md, section 5.8.
constexpr milliseconds LossDetectionDelay{2'500};
/// Time from the start of a task to its failure, on a failing worker or in a crashing job.
constexpr milliseconds FailureDelay{2'000};
/// Age of a task at its first usage report; the age doubles between reports until the memory usage is constant.
constexpr milliseconds FirstUsageReportDelay{30'000};
/// Time from the start of a task until it reaches its full memory usage.
constexpr milliseconds MemoryGrowthTime{120'000};
/// Age of a usage report when it arrives.
constexpr milliseconds UsageReportLag{10'000};

auto elapsedBetween(SteadyTime from, SteadyTime to) -> milliseconds
{
    return std::chrono::duration_cast<milliseconds>(to - from);
}
} // namespace

FakeCluster::FakeCluster(const Scenario &scenario, EventQueue &queue, Deliver deliver)
    : scenario_(scenario)
    , queue_(queue)
    , deliver_(std::move(deliver))
    , jobs_(scenario)
{
    for (const auto &info : scenario.workers_) {
        workerIndex_[info.id_] = workers_.size();
        FakeWorker worker;
        worker.info_ = info;
        worker.free_ = info.capacity_;
        workers_.push_back(std::move(worker));
    }
}

auto FakeCluster::addObserver(FakeClusterObserver *observer) -> void
{
    jobs_.addObserver(observer);
}

auto FakeCluster::scheduleFaults() -> void
{
    for (const auto &fault : scenario_.faults_) {
        const auto index = fault.worker_;
        if (!fault.lost_) {
            queue_.schedule(fault.from_, [this, index] {
                workers_[index].failing_ = true;
            });
            queue_.schedule(fault.to_, [this, index] {
                workers_[index].failing_ = false;
            });
            continue;
        }
        if (fault.notice_.count() > 0) {
            queue_.schedule(fault.from_ - fault.notice_, [this, index] {
                deliver_(WorkerLeaving{workers_[index].info_.id_});
            });
        }
        queue_.schedule(fault.from_, [this, index] {
            loseWorker(index);
        });
        queue_.schedule(fault.to_, [this, index] {
            restoreWorker(index);
        });
    }
}

auto FakeCluster::closeAllAttempts() -> void
{
    for (auto &worker : workers_) {
        for (auto &task : worker.tasks_) {
            if (task.state_ == FakeTaskState::Computing) {
                jobs_.endInterval(task, queue_.now());
                jobs_.save(task, progressOf(task));
            }
        }
    }
    jobs_.closeAllAttempts();
}

auto FakeCluster::execute(const TaskCommand &command) -> void
{
    const auto found = workerIndex_.find(command.worker_);
    if (found == workerIndex_.end()) {
        answer(command, ErrorKind::ConnectFailed, milliseconds(0), MessageDelay);
        return;
    }
    auto &worker = workers_[found->second];
    if (worker.lost_) {
        answer(command, ErrorKind::Timeout, milliseconds(0), CommandTimeout);
        return;
    }
    switch (command.kind_) {
    case TaskCommandKind::Hold:
        return hold(worker, command);
    case TaskCommandKind::Start:
        return start(worker, command);
    case TaskCommandKind::Renew:
        return renew(worker, command);
    case TaskCommandKind::Checkpoint:
        return checkpoint(worker, command);
    case TaskCommandKind::Throttle:
        return throttle(worker, command);
    case TaskCommandKind::Stop:
        return stop(worker, command);
    }
}

auto FakeCluster::execute(const RenewLeases &command) -> void
{
    const auto found = workerIndex_.find(command.worker_);
    for (const auto &id : command.tasks_) {
        auto *task = found == workerIndex_.end() || workers_[found->second].lost_ ? nullptr : find(workers_[found->second], id);
        if (task != nullptr && task->state_ == FakeTaskState::Computing) {
            task->leaseUntil_ = queue_.now() + command.lease_;
            continue;
        }
        TaskCommand failed;
        failed.kind_ = TaskCommandKind::Renew;
        failed.task_ = id;
        failed.worker_ = command.worker_;
        const auto lost = found != workerIndex_.end() && workers_[found->second].lost_;
        if (lost && queue_.now() - workers_[found->second].lostAt_ <= LossDetectionDelay + MessageDelay) {
            jobs_.renewalPossiblyGranted(id.job_, queue_.now() + command.lease_);
        }
        answer(failed, lost ? ErrorKind::Timeout : ErrorKind::NotFound, milliseconds(0), lost ? CommandTimeout : MessageDelay);
    }
}

auto FakeCluster::execute(const ProbeWorker &command) -> void
{
    const auto found = workerIndex_.find(command.worker_);
    const auto healthy = found != workerIndex_.end() && !workers_[found->second].lost_ && !workers_[found->second].failing_;
    queue_.after(FailureDelay, [this, worker = command.worker_, healthy] {
        deliver_(ProbeResult{worker, healthy});
    });
}

auto FakeCluster::hold(FakeWorker &worker, const TaskCommand &command) -> void
{
    if (auto *task = find(worker, command.task_)) {
        // Hold is idempotent: a repeated one renews the lease of the held task.
        if (task->state_ == FakeTaskState::Held) {
            task->leaseUntil_ = queue_.now() + command.lease_;
            return answer(command, std::nullopt, milliseconds(0), MessageDelay);
        }
        return answer(command, ErrorKind::NotRun, milliseconds(0), MessageDelay);
    }
    const auto job = jobs_.indexOf(command.task_.job_);
    if (!job || !worker.free_.covers(command.resources_)) {
        return answer(command, ErrorKind::NotRun, milliseconds(0), MessageDelay);
    }
    FakeTask task;
    task.id_ = command.task_;
    task.job_ = *job;
    task.worker_ = static_cast<std::size_t>(&worker - workers_.data());
    task.resources_ = command.resources_;
    task.leaseUntil_ = queue_.now() + command.lease_;
    task.generation_ = nextGeneration_++;
    worker.free_ -= task.resources_;
    worker.tasks_.push_back(task);
    scheduleLeaseCheck(worker);
    jobs_.onHeld(worker.tasks_.back());
    answer(command, std::nullopt, milliseconds(0), MessageDelay);
}

auto FakeCluster::start(FakeWorker &worker, const TaskCommand &command) -> void
{
    auto *task = find(worker, command.task_);
    if (task == nullptr || task->state_ != FakeTaskState::Held) {
        return answer(command, ErrorKind::NotRun, milliseconds(0), MessageDelay);
    }
    const auto &job = jobs_.all()[task->job_];
    // A task resumes from saved progress only, whatever progress the policy specifies.
    if (command.progress_ > job.saved_) {
        ++startsBeyondCheckpoint_;
    }
    task->progress_ = std::min(command.progress_, job.saved_);
    task->state_ = FakeTaskState::Computing;
    task->since_ = queue_.now();
    task->started_ = queue_.now();
    task->leaseUntil_ = queue_.now() + command.lease_;
    task->generation_ = nextGeneration_++;
    jobs_.onStarted(*task, queue_.now());
    scheduleLeaseCheck(worker);
    if (worker.failing_ || scenario_.jobs_[task->job_].kind_ == PlannedJobKind::Crashing) {
        scheduleIfUnchanged(*task, FailureDelay, [this](FakeWorker &, FakeTask &current) {
            end(current, TaskOutcome::Failed, "exit code 1");
        });
    } else {
        scheduleFinish(*task);
        scheduleUsageReport(*task, FirstUsageReportDelay);
    }
    answer(command, std::nullopt, milliseconds(0), MessageDelay);
}

auto FakeCluster::renew(FakeWorker &worker, const TaskCommand &command) -> void
{
    auto *task = find(worker, command.task_);
    if (task == nullptr || task->state_ == FakeTaskState::Stopping) {
        return answer(command, ErrorKind::NotFound, milliseconds(0), MessageDelay);
    }
    task->leaseUntil_ = queue_.now() + command.lease_;
    answer(command, std::nullopt, milliseconds(0), MessageDelay);
}

auto FakeCluster::checkpoint(FakeWorker &worker, const TaskCommand &command) -> void
{
    auto *task = find(worker, command.task_);
    const auto job = task == nullptr ? nullptr : &scenario_.jobs_[task->job_].spec_;
    if (task == nullptr || task->state_ != FakeTaskState::Computing || !job->checkpointable_) {
        return answer(command, ErrorKind::NotFound, milliseconds(0), MessageDelay);
    }
    // The task keeps computing while the checkpoint of its current state is written.
    const auto saved = progressOf(*task);
    const auto generation = task->generation_;
    queue_.after(job->grace_, [this, &worker, command, saved, generation] {
        auto *current = find(worker, command.task_);
        if (current == nullptr || current->generation_ != generation) {
            return answer(command, ErrorKind::NotFound, milliseconds(0), MessageDelay);
        }
        jobs_.save(*current, saved);
        answer(command, std::nullopt, saved, MessageDelay);
    });
}

auto FakeCluster::throttle(FakeWorker &worker, const TaskCommand &command) -> void
{
    auto *task = find(worker, command.task_);
    if (task == nullptr || task->state_ != FakeTaskState::Computing) {
        return answer(command, ErrorKind::NotFound, milliseconds(0), MessageDelay);
    }
    if (!task->throttled_) {
        jobs_.endInterval(*task, queue_.now());
        task->progress_ = progressOf(*task);
        task->since_ = queue_.now();
        task->throttled_ = true;
        task->generation_ = nextGeneration_++;
        scheduleFinish(*task);
        scheduleUsageReport(*task, FirstUsageReportDelay);
    }
    answer(command, std::nullopt, milliseconds(0), MessageDelay);
}

auto FakeCluster::stop(FakeWorker &worker, const TaskCommand &command) -> void
{
    auto *task = find(worker, command.task_);
    if (task == nullptr) {
        return answer(command, std::nullopt, milliseconds(0), MessageDelay);
    }
    const auto &spec = scenario_.jobs_[task->job_].spec_;
    if (task->state_ == FakeTaskState::Stopping) {
        // Answered when the grace of the first Stop has passed and the task is gone.
        return answer(command, std::nullopt, milliseconds(0), spec.grace_ + MessageDelay);
    }
    const auto saves = task->state_ == FakeTaskState::Computing && spec.checkpointable_ && command.grace_ >= spec.grace_;
    if (!saves || spec.grace_.count() == 0) {
        const auto gone = *task;
        if (saves) {
            jobs_.save(gone, progressOf(gone));
        }
        const auto saved = gone.state_ == FakeTaskState::Computing ? jobs_.attemptOf(gone).saved_[gone.id_.index_] : milliseconds(0);
        remove(gone);
        return answer(command, std::nullopt, saved, MessageDelay);
    }
    // The task stops computing at once, and is removed when its checkpoint is written.
    jobs_.endInterval(*task, queue_.now());
    task->progress_ = progressOf(*task);
    task->state_ = FakeTaskState::Stopping;
    task->generation_ = nextGeneration_++;
    jobs_.onStopping(*task);
    scheduleIfUnchanged(*task, spec.grace_, [this, command](FakeWorker &, FakeTask &current) {
        const auto gone = current;
        jobs_.save(gone, gone.progress_);
        remove(gone);
        answer(command, std::nullopt, gone.progress_, MessageDelay);
    });
}

auto FakeCluster::answer(const TaskCommand &command, std::optional<ErrorKind> error, milliseconds progress, milliseconds delay) -> void
{
    TaskCommandResult result;
    result.kind_ = command.kind_;
    result.task_ = command.task_;
    result.worker_ = command.worker_;
    result.progress_ = progress;
    if (error) {
        result.error_ = Error{*error, "the worker rejected the command", std::nullopt};
    }
    queue_.after(delay, [this, result] {
        deliver_(result);
    });
}

auto FakeCluster::find(FakeWorker &worker, const TaskId &task) -> FakeTask *
{
    for (auto &candidate : worker.tasks_) {
        if (candidate.id_.index_ == task.index_ && candidate.id_.attempt_ == task.attempt_ && candidate.id_.job_ == task.job_) {
            return &candidate;
        }
    }
    return nullptr;
}

auto FakeCluster::progressOf(const FakeTask &task) const -> milliseconds
{
    if (task.state_ != FakeTaskState::Computing) {
        return task.progress_;
    }
    const auto elapsed = elapsedBetween(task.since_, queue_.now());
    return task.progress_ + (task.throttled_ ? elapsed / 2 : elapsed);
}

auto FakeCluster::scheduleFinish(const FakeTask &task) -> void
{
    const auto left = std::max(milliseconds(1), scenario_.jobs_[task.job_].actualRunTime_ - task.progress_);
    scheduleIfUnchanged(task, task.throttled_ ? left * 2 : left, [this](FakeWorker &, FakeTask &current) {
        end(current, TaskOutcome::Finished, "");
    });
}

auto FakeCluster::scheduleUsageReport(const FakeTask &task, milliseconds delay) -> void
{
    scheduleIfUnchanged(task, delay, [this, delay](FakeWorker &worker, FakeTask &current) {
        const auto id = current.id_;
        reportUsage(worker, current);
        killLargestOverReservation(worker);
        if (const auto *left = find(worker, id)) {
            const auto age = elapsedBetween(left->started_, queue_.now());
            scheduleUsageReport(*left, age < MemoryGrowthTime ? std::max(age, delay) : scenario_.usageInterval_);
        }
    });
}

auto FakeCluster::memoryOf(const FakeTask &task) const -> std::int64_t
{
    const auto age = std::min(MemoryGrowthTime, elapsedBetween(task.started_, queue_.now()));
    return task.state_ == FakeTaskState::Held ? 0 : scenario_.jobs_[task.job_].actualMemoryMb_ * age.count() / MemoryGrowthTime.count();
}

auto FakeCluster::reportUsage(FakeWorker &worker, const FakeTask &task) -> void
{
    UsageReported report;
    report.task_ = task.id_;
    report.worker_ = worker.info_.id_;
    report.used_ = task.resources_;
    report.used_.memoryMb_ = memoryOf(task);
    report.lag_ = UsageReportLag;
    queue_.after(UsageReportLag, [this, report] {
        deliver_(report);
    });
}

auto FakeCluster::killLargestOverReservation(FakeWorker &worker) -> void
{
    // When the worker runs out of memory, the task that exceeds its reservation the most is killed.
    std::int64_t used = 0;
    const FakeTask *worst = nullptr;
    std::int64_t worstExcess = 0;
    for (const auto &task : worker.tasks_) {
        const auto memory = memoryOf(task);
        used += memory;
        if (task.state_ == FakeTaskState::Computing && memory - task.resources_.memoryMb_ > worstExcess) {
            worstExcess = memory - task.resources_.memoryMb_;
            worst = &task;
        }
    }
    if (worst != nullptr && used > worker.info_.capacity_.memoryMb_) {
        end(*worst, TaskOutcome::Failed, "out of memory");
    }
}

auto FakeCluster::scheduleLeaseCheck(FakeWorker &worker) -> void
{
    auto next = SteadyTime::max();
    for (const auto &task : worker.tasks_) {
        next = task.state_ == FakeTaskState::Stopping ? next : std::min(next, task.leaseUntil_);
    }
    if (next >= worker.nextLeaseCheck_) {
        return;
    }
    worker.nextLeaseCheck_ = next;
    queue_.schedule(next, [this, &worker, next] {
        // Ignored if an earlier check has been scheduled since.
        if (worker.nextLeaseCheck_ == next) {
            worker.nextLeaseCheck_ = SteadyTime::max();
            checkLeases(worker);
            scheduleLeaseCheck(worker);
        }
    });
}

auto FakeCluster::checkLeases(FakeWorker &worker) -> void
{
    std::vector<FakeTask> lapsed;
    for (const auto &task : worker.tasks_) {
        if (task.state_ != FakeTaskState::Stopping && task.leaseUntil_ <= queue_.now()) {
            lapsed.push_back(task);
        }
    }
    for (const auto &task : lapsed) {
        end(task, TaskOutcome::LeaseLapsed, "lease expired");
    }
}

auto FakeCluster::end(FakeTask task, TaskOutcome outcome, const std::string &reason) -> void
{
    if (outcome == TaskOutcome::Finished) {
        jobs_.onFinished(task, queue_.now());
    } else if (task.state_ == FakeTaskState::Computing) {
        jobs_.onFailed(task, queue_.now());
    }
    remove(task);
    TaskEnded ended{task.id_, workers_[task.worker_].info_.id_, outcome, reason};
    queue_.after(MessageDelay, [this, ended] {
        deliver_(ended);
    });
}

auto FakeCluster::remove(const FakeTask &task) -> void
{
    const auto gone = task;
    auto &worker = workers_[gone.worker_];
    jobs_.endInterval(gone, queue_.now());
    worker.free_ += gone.resources_;
    std::erase_if(worker.tasks_, [&](const FakeTask &candidate) {
        return candidate.id_ == gone.id_;
    });
    jobs_.onRemoved(gone);
}

auto FakeCluster::loseWorker(std::size_t index) -> void
{
    auto &worker = workers_[index];
    worker.lost_ = true;
    worker.lostAt_ = queue_.now();
    while (!worker.tasks_.empty()) {
        const auto task = worker.tasks_.back();
        if (task.state_ != FakeTaskState::Held) {
            jobs_.onFailed(task, queue_.now());
        }
        auto &leaseEnd = jobs_.attemptOf(task).lostLeaseEnd_;
        leaseEnd = std::max(leaseEnd, task.leaseUntil_);
        remove(task);
    }
    jobs_.workerChanged(index);
    queue_.after(LossDetectionDelay, [this, id = worker.info_.id_] {
        deliver_(WorkerDown{id});
    });
}

auto FakeCluster::restoreWorker(std::size_t index) -> void
{
    workers_[index].lost_ = false;
    jobs_.workerChanged(index);
    queue_.after(MessageDelay, [this, info = workers_[index].info_] {
        deliver_(WorkerUp{info});
    });
}

auto FakeCluster::scheduleIfUnchanged(const FakeTask &task, milliseconds delay, std::function<void(FakeWorker &, FakeTask &)> action) -> void
{
    queue_.after(delay, [this, id = task.id_, worker = task.worker_, generation = task.generation_, action = std::move(action)] {
        auto *current = find(workers_[worker], id);
        if (current != nullptr && current->generation_ == generation) {
            action(workers_[worker], *current);
        }
    });
}
} // namespace Marjoramfold
