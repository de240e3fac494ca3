#include "schedulerharness.h"

#include <algorithm>

namespace Marjoramfold
{
namespace
{
constexpr std::chrono::milliseconds StepTime{100};
constexpr std::chrono::milliseconds AnswerDelay{100};
constexpr std::chrono::milliseconds MessageDelay{4'000};

auto errorOfKind(ErrorKind kind) -> Error
{
    return {kind, "injected", std::nullopt};
}
} // namespace

SchedulerHarness::SchedulerHarness(std::vector<std::string> zones, SchedulerOptions options)
    : zones_(std::move(zones))
    , options_(options)
{
    std::vector<AvailabilityZoneId> ids;
    for (const auto &zone : zones_) {
        ids.emplace_back(zone);
    }
    scheduler_ = std::make_unique<Scheduler>(std::move(ids), options_);
}

auto SchedulerHarness::addWorkers(const std::string &zone, int count, const Resources &capacity, int perRack) -> void
{
    for (auto i = 0; i < count; ++i) {
        const auto number = std::to_string(workers_.size());
        WorkerInfo info{WorkerId("w" + number), AvailabilityZoneId(zone), RackId(zone + "-r" + std::to_string(i / perRack)), capacity, {}};
        workers_["w" + number] = info;
        handle(WorkerUp{info});
    }
}

auto SchedulerHarness::submit(const JobSpec &spec) -> void
{
    specs_[spec.id_.value()] = spec;
    handle(JobArrived{spec, {}, 0, {}});
}

auto SchedulerHarness::handle(const SchedulerEvent &event) -> void
{
    if (const auto *rules = std::get_if<RulesChanged>(&event)) {
        rules_ = rules->rules_;
    }
    executeAll(scheduler_->handle(event, now_));
}

auto SchedulerHarness::run(std::chrono::milliseconds time) -> void
{
    for (const auto end = now_ + time; now_ < end;) {
        step();
    }
}

auto SchedulerHarness::step() -> void
{
    now_ += StepTime;
    while (!deliveries_.empty() && deliveries_.begin()->first <= now_) {
        const auto action = std::move(deliveries_.begin()->second);
        deliveries_.erase(deliveries_.begin());
        action();
    }
    endTasks();
    checkGangs();
    handle(Tick{});
}

auto SchedulerHarness::schedule(std::chrono::milliseconds delay, std::function<void()> action) -> void
{
    deliveries_.emplace(now_ + delay, std::move(action));
}

auto SchedulerHarness::executeAll(const std::vector<SchedulerCommand> &commands) -> void
{
    for (const auto &command : commands) {
        commands_.push_back(command);
        if (const auto *task = std::get_if<TaskCommand>(&command)) {
            deliver(*task);
        } else if (const auto *renewal = std::get_if<RenewLeases>(&command)) {
            for (const auto &id : renewal->tasks_) {
                TaskCommand single{TaskCommandKind::Renew, id, renewal->worker_, {}, renewal->lease_, {}, {}};
                auto result = execute(single);
                if (result.error_) {
                    answer(std::move(result));
                }
            }
        } else if (const auto *end = std::get_if<JobEnded>(&command)) {
            ended_[end->job_.value()].push_back(*end);
        } else if (const auto *start = std::get_if<JobStarted>(&command)) {
            ++started_[start->job_.value()];
        } else if (const auto *probe = std::get_if<ProbeWorker>(&command)) {
            const auto worker = probe->worker_;
            schedule(AnswerDelay, [this, worker] {
                handle(ProbeResult{worker, !failingWorkers_.contains(worker.value())});
            });
        }
    }
}

auto SchedulerHarness::answer(TaskCommandResult result) -> void
{
    schedule(AnswerDelay, [this, result = std::move(result), generation = generation_] {
        if (generation == generation_) {
            handle(result);
        }
    });
}

auto SchedulerHarness::deliver(const TaskCommand &command) -> void
{
    const auto fault = fault_ ? fault_(command) : MessageFault::None;
    switch (fault) {
    case MessageFault::Lost:
        return;
    case MessageFault::Delayed:
        schedule(MessageDelay, [this, command] {
            answer(execute(command));
        });
        return;
    case MessageFault::Refused:
        answer({command.kind_, command.task_, command.worker_, errorOfKind(ErrorKind::NotRun), {}});
        return;
    case MessageFault::Duplicated:
        answer(execute(command));
        answer(execute(command));
        return;
    case MessageFault::AnswerLost:
        (void)execute(command);
        return;
    case MessageFault::OutcomeUnknown:
        (void)execute(command);
        answer({command.kind_, command.task_, command.worker_, errorOfKind(ErrorKind::TargetTimeout), {}});
        return;
    case MessageFault::None:
        break;
    }
    const auto task = tasks_[command.worker_].find(command.task_);
    const auto checkpoints = command.kind_ == TaskCommandKind::Stop && command.grace_.count() > 0 && task != tasks_[command.worker_].end();
    if (checkpoints) {
        schedule(command.grace_, [this, command] {
            answer(execute(command));
        });
        return;
    }
    answer(execute(command));
}

auto SchedulerHarness::execute(const TaskCommand &command) -> TaskCommandResult
{
    TaskCommandResult result{command.kind_, command.task_, command.worker_, std::nullopt, {}};
    auto &tasks = tasks_[command.worker_];
    const auto found = tasks.find(command.task_);
    const auto isKnown = found != tasks.end();
    switch (command.kind_) {
    case TaskCommandKind::Hold: {
        if (isKnown) {
            break;
        }
        auto used = command.resources_;
        for (const auto &[id, task] : tasks) {
            used += task.resources_;
        }
        if (!workers_.at(command.worker_.value()).capacity_.covers(used)) {
            ++overcommittedHolds_;
            result.error_ = errorOfKind(ErrorKind::NotRun);
            break;
        }
        FakeTask task;
        task.resources_ = command.resources_;
        task.leaseEnd_ = now_ + command.lease_;
        tasks[command.task_] = task;
        break;
    }
    case TaskCommandKind::Start:
        if (!isKnown) {
            result.error_ = errorOfKind(ErrorKind::NotRun);
        } else if (!found->second.running_) {
            startTask(found->second, command);
        }
        break;
    case TaskCommandKind::Renew:
        if (!isKnown || !found->second.running_) {
            result.error_ = errorOfKind(ErrorKind::NotFound);
        } else {
            found->second.leaseEnd_ = now_ + command.lease_;
        }
        break;
    case TaskCommandKind::Stop:
        if (!isKnown) {
            result.error_ = errorOfKind(ErrorKind::NotFound);
        } else {
            const auto ran = std::chrono::duration_cast<std::chrono::milliseconds>(now_ - found->second.startedAt_);
            if (command.grace_.count() > 0 && found->second.running_) {
                result.progress_ = found->second.progress_ + ran;
            }
            tasks.erase(found);
        }
        break;
    case TaskCommandKind::Checkpoint:
    case TaskCommandKind::Throttle:
        if (!isKnown) {
            result.error_ = errorOfKind(ErrorKind::NotFound);
        }
        break;
    }
    return result;
}

auto SchedulerHarness::startTask(FakeTask &task, const TaskCommand &command) -> void
{
    const auto &job = command.task_.job_.value();
    task.running_ = true;
    task.leaseEnd_ = now_ + command.lease_;
    task.startedAt_ = now_;
    task.progress_ = command.progress_;
    const auto runTime = runTimes_.find(job);
    if (runTime != runTimes_.end()) {
        task.doneAt_ = now_ + runTime->second - command.progress_;
    }
    if (failingWorkers_.contains(command.worker_.value()) || failingJobs_.contains(job)) {
        task.doneAt_ = now_ + std::chrono::seconds(1);
        task.fails_ = true;
    }
}

auto SchedulerHarness::endTasks() -> void
{
    std::vector<TaskEnded> events;
    for (auto &[worker, tasks] : tasks_) {
        for (auto task = tasks.begin(); task != tasks.end();) {
            const auto isDone = task->second.running_ && task->second.doneAt_ <= now_;
            const auto hasLapsed = task->second.leaseEnd_ <= now_;
            if (!isDone && !hasLapsed) {
                ++task;
                continue;
            }
            const auto done = task->second.fails_ ? TaskOutcome::Failed : TaskOutcome::Finished;
            if (isDone && !task->second.fails_) {
                finishedTasks_[task->first.job_.value()].insert(task->first.index_);
            }
            if (task->second.running_) {
                events.push_back({task->first, worker, isDone ? done : TaskOutcome::LeaseLapsed, "injected"});
            }
            task = tasks.erase(task);
        }
    }
    for (const auto &event : events) {
        handle(event);
    }
}

// Uses only the state of the workers, not the scheduler's view.
auto SchedulerHarness::checkGangs() -> void
{
    std::map<std::string, std::map<std::uint32_t, int>> running;
    for (const auto &[worker, tasks] : tasks_) {
        for (const auto &[id, task] : tasks) {
            if (task.running_) {
                ++running[id.job_.value()][id.attempt_];
            }
        }
    }
    std::erase_if(partialSince_, [&running](const auto &entry) {
        return !running.contains(entry.first);
    });
    for (const auto &[job, attempts] : running) {
        duplicateRuns_ += attempts.size() > 1 ? 1 : 0;
        const auto isWhole = attempts.begin()->second == specs_[job].gangSize_;
        if (isWhole || !finishedTasks_[job].empty()) {
            partialSince_.erase(job);
            continue;
        }
        const auto since = partialSince_.try_emplace(job, now_).first->second;
        longestPartialRun_ = std::max(longestPartialRun_, std::chrono::duration_cast<std::chrono::milliseconds>(now_ - since));
    }
}

auto SchedulerHarness::replaceScheduler() -> void
{
    ++generation_;
    std::vector<AvailabilityZoneId> ids;
    for (const auto &zone : zones_) {
        ids.emplace_back(zone);
    }
    scheduler_ = std::make_unique<Scheduler>(std::move(ids), options_);
    if (rules_) {
        handle(RulesChanged{rules_});
    }
    for (const auto &[name, info] : workers_) {
        handle(WorkerUp{info});
    }
    std::map<std::string, GangRecovered> gangs;
    std::map<std::string, std::uint32_t> lastAttempt;
    for (const auto &[worker, tasks] : tasks_) {
        for (const auto &[id, task] : tasks) {
            lastAttempt[id.job_.value()] = std::max(lastAttempt[id.job_.value()], id.attempt_);
            if (task.running_) {
                gangs[id.job_.value()].placements_.push_back({id, worker});
            }
        }
    }
    for (const auto &[name, spec] : specs_) {
        if (ended_.contains(name)) {
            continue;
        }
        if (gangs.contains(name)) {
            gangs[name].spec_ = spec;
            handle(gangs[name]);
        } else {
            handle(JobArrived{spec, {}, lastAttempt.contains(name) ? lastAttempt[name] + 1 : 0, {}});
        }
    }
}

auto SchedulerHarness::runningTasks(const std::string &job) const -> int
{
    auto count = 0;
    for (const auto &[worker, tasks] : tasks_) {
        count += static_cast<int>(std::count_if(tasks.begin(), tasks.end(), [&job](const auto &task) {
            return task.second.running_ && task.first.job_.value() == job;
        }));
    }
    return count;
}

auto SchedulerHarness::runningAccelerators() const -> int
{
    auto count = 0;
    for (const auto &[worker, tasks] : tasks_) {
        for (const auto &[id, task] : tasks) {
            count += task.running_ ? task.resources_.accelerators_ : 0;
        }
    }
    return count;
}

auto SchedulerHarness::workersOf(const std::string &job) const -> std::set<std::string>
{
    std::set<std::string> workers;
    for (const auto &[worker, tasks] : tasks_) {
        for (const auto &[id, task] : tasks) {
            if (task.running_ && id.job_.value() == job) {
                workers.insert(worker.value());
            }
        }
    }
    return workers;
}

auto SchedulerHarness::stateOf(const std::string &job) const -> std::optional<JobState>
{
    const auto explanation = scheduler_->explain(JobId(job));
    return explanation ? std::optional(explanation->state_) : std::nullopt;
}
} // namespace Marjoramfold
