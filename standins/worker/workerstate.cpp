#include "standins/worker/workerstate.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <utility>

namespace Marjoramfold::Standins
{
namespace
{
// Longest delay of a start command beyond the time since the hold that it states. A later one is refused, because the sender's check of
// the rules may be outdated.
constexpr std::chrono::milliseconds MaxStartDelay{1'000};

auto isLive(WorkerTaskState state) -> bool
{
    return state == WorkerTaskState::Held || state == WorkerTaskState::Running || state == WorkerTaskState::Stopping;
}

auto refuse(ErrorKind kind, std::string message) -> std::optional<Error>
{
    return Error{kind, std::move(message), std::nullopt};
}

auto parsePayload(const std::string &payload) -> SimulatedTask
{
    SimulatedTask simulated;
    const auto json = nlohmann::json::parse(payload, nullptr, false);
    if (!json.is_object()) {
        return simulated;
    }
    simulated.runTime_ = std::chrono::milliseconds(json.value("run_ms", simulated.runTime_.count()));
    simulated.checkpointTime_ = std::chrono::milliseconds(json.value("checkpoint_ms", simulated.checkpointTime_.count()));
    simulated.memoryMb_ = json.value("memory_mb", simulated.memoryMb_);
    simulated.fails_ = json.value("fails", simulated.fails_);
    return simulated;
}
} // namespace

WorkerState::WorkerState(Resources capacity, RackId rack, std::chrono::milliseconds usageLag)
    : capacity_(capacity)
    , rack_(std::move(rack))
    , usageLag_(usageLag)
{
}

auto WorkerState::acceptEpoch(Epoch epoch) -> bool
{
    if (epoch < epoch_) {
        return false;
    }
    epoch_ = epoch;
    return true;
}

auto WorkerState::handle(const WorkerCommand &command, SteadyTime now) -> WorkerCommandResult
{
    advance(now);
    WorkerCommandResult result{command.kind_, command.task_, std::nullopt, {}};
    switch (command.kind_) {
    case WorkerCommandKind::Hold:
        result.error_ = hold(command, now);
        break;
    case WorkerCommandKind::Start:
        result.error_ = start(command, now);
        break;
    case WorkerCommandKind::Renew:
        result.error_ = renew(command, now);
        break;
    case WorkerCommandKind::Checkpoint:
        result.error_ = checkpoint(command, now);
        break;
    case WorkerCommandKind::Throttle:
        if (auto *task = findLive(command.task_)) {
            task->throttled_ = true;
        } else {
            result.error_ = refuse(ErrorKind::NotFound, "no such task");
        }
        break;
    case WorkerCommandKind::Stop:
        result.error_ = stop(command, now);
        break;
    case WorkerCommandKind::Probe:
        if (faults_.failEveryTask_) {
            result.error_ = refuse(ErrorKind::TargetFailed, "the worker's probe task failed");
        }
        break;
    }
    result.progress_ = progressOf(command.task_);
    return result;
}

auto WorkerState::hold(const WorkerCommand &command, SteadyTime now) -> std::optional<Error>
{
    const auto found = tasks_.find(command.task_);
    if (found != tasks_.end()) {
        // A repeated hold only extends the lease; a task that was started or has ended is not held again.
        if (found->second.state_ == WorkerTaskState::Held) {
            found->second.leaseEnd_ = now + command.lease_;
            return std::nullopt;
        }
        return refuse(ErrorKind::NotRun, "the task was already started or has ended on this worker");
    }
    if (faults_.leaving_) {
        return refuse(ErrorKind::Draining, "the worker is leaving");
    }
    auto wanted = inUse();
    wanted += command.resources_;
    if (!capacity_.covers(wanted)) {
        return refuse(ErrorKind::NotRun, "not enough free resources");
    }
    Task task;
    task.resources_ = command.resources_;
    task.heldAt_ = now;
    task.leaseEnd_ = now + command.lease_;
    tasks_.emplace(command.task_, std::move(task));
    ++version_;
    return std::nullopt;
}

auto WorkerState::start(const WorkerCommand &command, SteadyTime now) -> std::optional<Error>
{
    auto *task = findLive(command.task_);
    if (task == nullptr) {
        return refuse(ErrorKind::NotRun, "the task is not held");
    }
    if (task->state_ == WorkerTaskState::Running) {
        task->leaseEnd_ = std::max(task->leaseEnd_, now + command.lease_);
        return std::nullopt;
    }
    if (task->state_ != WorkerTaskState::Held) {
        return refuse(ErrorKind::NotRun, "the task is being stopped");
    }
    if (now - task->heldAt_ > command.sinceHold_ + MaxStartDelay) {
        return refuse(ErrorKind::NotRun, "the start command arrived too late");
    }
    task->simulated_ = parsePayload(command.payload_);
    task->state_ = WorkerTaskState::Running;
    task->startedAt_ = now;
    task->progressAtStart_ = command.progress_;
    task->savedProgress_ = command.progress_;
    task->leaseEnd_ = now + command.lease_;
    ++version_;
    return std::nullopt;
}

auto WorkerState::renew(const WorkerCommand &command, SteadyTime now) -> std::optional<Error>
{
    auto *task = findLive(command.task_);
    if (task == nullptr || task->state_ != WorkerTaskState::Running) {
        return refuse(ErrorKind::NotFound, "the task is not running on this worker");
    }
    task->leaseEnd_ = now + command.lease_;
    return std::nullopt;
}

auto WorkerState::checkpoint(const WorkerCommand &command, SteadyTime now) -> std::optional<Error>
{
    auto *task = findLive(command.task_);
    if (task == nullptr || task->state_ != WorkerTaskState::Running) {
        return refuse(ErrorKind::NotFound, "the task is not running on this worker");
    }
    task->savedProgress_ = task->progressAtStart_ + ranFor(*task, now);
    return std::nullopt;
}

auto WorkerState::stop(const WorkerCommand &command, SteadyTime now) -> std::optional<Error>
{
    const auto [found, isNew] = tasks_.try_emplace(command.task_);
    auto &task = found->second;
    if (isNew) {
        // Records the stop, so that a delayed hold which arrives after it does not reserve resources.
        end(task, WorkerTaskState::Stopped, "stopped before it was held");
        return std::nullopt;
    }
    if (task.state_ == WorkerTaskState::Running) {
        task.state_ = WorkerTaskState::Stopping;
        task.stopAt_ = now + std::min(command.grace_, task.simulated_.checkpointTime_);
        if (task.simulated_.checkpointTime_ <= command.grace_) {
            task.savedProgress_ = task.progressAtStart_ + ranFor(task, now);
        }
        ++version_;
        advance(now);
    } else if (task.state_ == WorkerTaskState::Held) {
        end(task, WorkerTaskState::Stopped, "stopped");
    }
    return std::nullopt;
}

auto WorkerState::advance(SteadyTime now) -> void
{
    for (auto &[id, task] : tasks_) {
        if (task.state_ == WorkerTaskState::Stopping && now >= task.stopAt_) {
            end(task, WorkerTaskState::Stopped, "stopped");
        } else if (isLive(task.state_) && task.state_ != WorkerTaskState::Stopping && now >= task.leaseEnd_) {
            end(task, WorkerTaskState::Lapsed, "lease expired");
        } else if (task.state_ == WorkerTaskState::Running && (task.simulated_.fails_ || faults_.failEveryTask_)) {
            end(task, WorkerTaskState::Failed, faults_.failEveryTask_ ? "worker fault" : "the task exited with status 1");
        } else if (task.state_ == WorkerTaskState::Running && task.progressAtStart_ + ranFor(task, now) >= task.simulated_.runTime_) {
            end(task, WorkerTaskState::Finished, "");
        }
    }
}

auto WorkerState::isStopping(const TaskId &task) const -> bool
{
    const auto found = tasks_.find(task);
    return found != tasks_.end() && found->second.state_ == WorkerTaskState::Stopping;
}

auto WorkerState::progressOf(const TaskId &task) const -> std::chrono::milliseconds
{
    const auto found = tasks_.find(task);
    return found == tasks_.end() ? std::chrono::milliseconds(0) : found->second.savedProgress_;
}

auto WorkerState::inventory(SteadyTime now) const -> WorkerInventory
{
    WorkerInventory inventory{version_, capacity_, rack_, faults_.leaving_, {}};
    for (const auto &[id, task] : tasks_) {
        auto used = task.resources_;
        if (task.simulated_.memoryMb_ >= 0) {
            used.memoryMb_ = task.simulated_.memoryMb_;
        }
        const auto sampled = task.state_ == WorkerTaskState::Running && now - task.startedAt_ >= usageLag_;
        inventory.tasks_.push_back({id, task.state_, task.resources_, sampled ? used : Resources(), usageLag_, task.savedProgress_, task.reason_});
    }
    return inventory;
}

auto WorkerState::removeEnded(std::uint64_t acknowledgedVersion) -> void
{
    // A stop that arrived before its hold stays recorded, because the delayed hold may still arrive.
    std::erase_if(tasks_, [acknowledgedVersion](const auto &entry) {
        const auto &task = entry.second;
        return !isLive(task.state_) && task.endedVersion_ <= acknowledgedVersion && task.state_ != WorkerTaskState::Stopped;
    });
}

auto WorkerState::version() const -> std::uint64_t
{
    return version_;
}

auto WorkerState::setFaults(WorkerFaults faults) -> void
{
    faults_ = faults;
    ++version_;
}

auto WorkerState::end(Task &task, WorkerTaskState state, std::string reason) -> void
{
    task.state_ = state;
    task.reason_ = std::move(reason);
    task.endedVersion_ = ++version_;
}

auto WorkerState::findLive(const TaskId &id) -> Task *
{
    const auto found = tasks_.find(id);
    return found != tasks_.end() && isLive(found->second.state_) ? &found->second : nullptr;
}

auto WorkerState::inUse() const -> Resources
{
    Resources sum;
    for (const auto &[id, task] : tasks_) {
        if (isLive(task.state_)) {
            sum += task.resources_;
        }
    }
    return sum;
}

auto WorkerState::ranFor(const Task &task, SteadyTime now) const -> std::chrono::milliseconds
{
    const auto elapsed = std::chrono::duration_cast<std::chrono::milliseconds>(now - task.startedAt_);
    return task.throttled_ ? elapsed / 2 : elapsed;
}
} // namespace Marjoramfold::Standins
