#include "fakecluster.h"

#include <algorithm>
#include <cassert>

namespace Marjoramfold
{
namespace
{
using std::chrono::milliseconds;

/// A command to a lost worker is answered by a timeout of the client after this time.
constexpr milliseconds CommandTimeout{1'000};
/// Time until a lost worker is confirmed lost: the failure detection of section 5.8.
constexpr milliseconds LossDetection{2'500};
/// Time until a task on a failing worker, or a crashing job, fails.
constexpr milliseconds FailureDelay{2'000};
/// Time until a task is first reported; the next reports of a young task come at twice its age.
constexpr milliseconds FirstUsage{30'000};
/// Time in which the memory of a task grows to all that it ever uses.
constexpr milliseconds MemoryGrowth{120'000};
/// Age of usage reports when they arrive.
constexpr milliseconds UsageLag{10'000};

auto sinceThen(SteadyTime from, SteadyTime to) -> milliseconds
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

auto FakeCluster::planFaults() -> void
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
            lose(index);
        });
        queue_.schedule(fault.to_, [this, index] {
            bringBack(index);
        });
    }
}

auto FakeCluster::closeAll() -> void
{
    for (auto &worker : workers_) {
        for (auto &task : worker.tasks_) {
            if (task.state_ == FakeTaskState::Computing) {
                jobs_.endStretch(task, queue_.now());
                jobs_.save(task, progressOf(task));
            }
        }
    }
    jobs_.closeAll();
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
        if (lost && queue_.now() - workers_[found->second].lostAt_ <= LossDetection + MessageDelay) {
            jobs_.maybeRenewed(id.job_, queue_.now() + command.lease_);
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
        // A repeated Hold renews the lease of a held task.
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
    planLeaseCheck(worker);
    jobs_.held(worker.tasks_.back());
    answer(command, std::nullopt, milliseconds(0), MessageDelay);
}

auto FakeCluster::start(FakeWorker &worker, const TaskCommand &command) -> void
{
    auto *task = find(worker, command.task_);
    if (task == nullptr || task->state_ != FakeTaskState::Held) {
        return answer(command, ErrorKind::NotRun, milliseconds(0), MessageDelay);
    }
    const auto &job = jobs_.all()[task->job_];
    // A checkpoint that was never written cannot be continued, whatever the policy says.
    if (command.progress_ > job.saved_) {
        ++inventedProgress_;
    }
    task->progress_ = std::min(command.progress_, job.saved_);
    task->state_ = FakeTaskState::Computing;
    task->since_ = queue_.now();
    task->started_ = queue_.now();
    task->leaseUntil_ = queue_.now() + command.lease_;
    task->generation_ = nextGeneration_++;
    jobs_.started(*task, queue_.now());
    planLeaseCheck(worker);
    if (worker.failing_ || scenario_.jobs_[task->job_].kind_ == PlannedJobKind::Crashing) {
        whenCurrent(*task, FailureDelay, [this](FakeWorker &, FakeTask &current) {
            end(current, TaskOutcome::Failed, "exit code 1");
        });
    } else {
        planFinish(*task);
        planUsage(*task, FirstUsage);
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
    // The task goes on while its state as of now is written.
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
        jobs_.endStretch(*task, queue_.now());
        task->progress_ = progressOf(*task);
        task->since_ = queue_.now();
        task->throttled_ = true;
        task->generation_ = nextGeneration_++;
        planFinish(*task);
        planUsage(*task, FirstUsage);
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
        // The first Stop is answered for both when the task is gone.
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
    // The task stops computing at once and writes its checkpoint before it leaves.
    jobs_.endStretch(*task, queue_.now());
    task->progress_ = progressOf(*task);
    task->state_ = FakeTaskState::Stopping;
    task->generation_ = nextGeneration_++;
    jobs_.stopping(*task);
    whenCurrent(*task, spec.grace_, [this, command](FakeWorker &, FakeTask &current) {
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
        result.error_ = Error{*error, "refused by the worker", std::nullopt};
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
    const auto elapsed = sinceThen(task.since_, queue_.now());
    return task.progress_ + (task.throttled_ ? elapsed / 2 : elapsed);
}

auto FakeCluster::planFinish(const FakeTask &task) -> void
{
    const auto left = std::max(milliseconds(1), scenario_.jobs_[task.job_].trueRunTime_ - task.progress_);
    whenCurrent(task, task.throttled_ ? left * 2 : left, [this](FakeWorker &, FakeTask &current) {
        end(current, TaskOutcome::Finished, "");
    });
}

auto FakeCluster::planUsage(const FakeTask &task, milliseconds delay) -> void
{
    whenCurrent(task, delay, [this, delay](FakeWorker &worker, FakeTask &current) {
        const auto id = current.id_;
        reportUsage(worker, current);
        killLargestOverLease(worker);
        if (const auto *left = find(worker, id)) {
            const auto age = sinceThen(left->started_, queue_.now());
            planUsage(*left, age < MemoryGrowth ? std::max(age, delay) : scenario_.usageInterval_);
        }
    });
}

auto FakeCluster::memoryOf(const FakeTask &task) const -> std::int64_t
{
    const auto age = std::min(MemoryGrowth, sinceThen(task.started_, queue_.now()));
    return task.state_ == FakeTaskState::Held ? 0 : scenario_.jobs_[task.job_].trueMemoryMb_ * age.count() / MemoryGrowth.count();
}

auto FakeCluster::reportUsage(FakeWorker &worker, const FakeTask &task) -> void
{
    UsageReported report;
    report.task_ = task.id_;
    report.worker_ = worker.info_.id_;
    report.used_ = task.resources_;
    report.used_.memoryMb_ = memoryOf(task);
    report.lag_ = UsageLag;
    queue_.after(UsageLag, [this, report] {
        deliver_(report);
    });
}

auto FakeCluster::killLargestOverLease(FakeWorker &worker) -> void
{
    // The memory of the worker as a whole is short: the task that is furthest above its lease is killed.
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

auto FakeCluster::planLeaseCheck(FakeWorker &worker) -> void
{
    auto next = SteadyTime::max();
    for (const auto &task : worker.tasks_) {
        next = task.state_ == FakeTaskState::Stopping ? next : std::min(next, task.leaseUntil_);
    }
    if (next >= worker.leaseCheck_) {
        return;
    }
    worker.leaseCheck_ = next;
    queue_.schedule(next, [this, &worker, next] {
        // A check that was replaced by an earlier one does nothing.
        if (worker.leaseCheck_ == next) {
            worker.leaseCheck_ = SteadyTime::max();
            checkLeases(worker);
            planLeaseCheck(worker);
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
        end(task, TaskOutcome::LeaseLapsed, "lease lapsed");
    }
}

auto FakeCluster::end(FakeTask task, TaskOutcome outcome, const std::string &reason) -> void
{
    if (outcome == TaskOutcome::Finished) {
        jobs_.finished(task, queue_.now());
    } else if (task.state_ == FakeTaskState::Computing) {
        jobs_.failed(task, queue_.now());
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
    jobs_.endStretch(gone, queue_.now());
    worker.free_ += gone.resources_;
    std::erase_if(worker.tasks_, [&](const FakeTask &candidate) {
        return candidate.id_ == gone.id_;
    });
    jobs_.gone(gone);
}

auto FakeCluster::lose(std::size_t index) -> void
{
    auto &worker = workers_[index];
    worker.lost_ = true;
    worker.lostAt_ = queue_.now();
    while (!worker.tasks_.empty()) {
        const auto task = worker.tasks_.back();
        if (task.state_ != FakeTaskState::Held) {
            jobs_.failed(task, queue_.now());
        }
        auto &leaseEnd = jobs_.attemptOf(task).lostLeaseEnd_;
        leaseEnd = std::max(leaseEnd, task.leaseUntil_);
        remove(task);
    }
    jobs_.workerChanged(index);
    queue_.after(LossDetection, [this, id = worker.info_.id_] {
        deliver_(WorkerDown{id});
    });
}

auto FakeCluster::bringBack(std::size_t index) -> void
{
    workers_[index].lost_ = false;
    jobs_.workerChanged(index);
    queue_.after(MessageDelay, [this, info = workers_[index].info_] {
        deliver_(WorkerUp{info});
    });
}

auto FakeCluster::whenCurrent(const FakeTask &task, milliseconds delay, std::function<void(FakeWorker &, FakeTask &)> action) -> void
{
    queue_.after(delay, [this, id = task.id_, worker = task.worker_, generation = task.generation_, action = std::move(action)] {
        auto *current = find(workers_[worker], id);
        if (current != nullptr && current->generation_ == generation) {
            action(workers_[worker], *current);
        }
    });
}
} // namespace Marjoramfold
