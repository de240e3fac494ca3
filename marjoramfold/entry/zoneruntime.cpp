#include "marjoramfold/entry/zoneruntime.h"

#include <glog/logging.h>

#include <algorithm>
#include <utility>

namespace Marjoramfold
{
namespace
{
// In a takeover, a worker that has not answered within this time counts as unreachable.
constexpr std::chrono::milliseconds FenceTimeout{2'000};

// The former owner may renew task leases until its own lease of 15 s expires; a task then runs for up to its lease of 60 s.
constexpr std::chrono::milliseconds UncertainJobDelay{75'000};

auto isEnded(WorkerTaskState state) -> bool
{
    return state == WorkerTaskState::Finished || state == WorkerTaskState::Failed || state == WorkerTaskState::Lapsed;
}

auto outcomeOf(WorkerTaskState state) -> TaskOutcome
{
    switch (state) {
    case WorkerTaskState::Finished:
        return TaskOutcome::Finished;
    case WorkerTaskState::Failed:
        return TaskOutcome::Failed;
    default:
        return TaskOutcome::LeaseLapsed;
    }
}
} // namespace

ZoneRuntime::ZoneRuntime(asio::io_context &context, WorkerClient &client, AvailabilityZoneId zone, Epoch epoch, RuleSetPointer rules, ZoneRuntimeHooks hooks)
    : context_(context)
    , client_(client)
    , zone_(std::move(zone))
    , epoch_(epoch)
    , rules_(std::move(rules))
    , hooks_(std::move(hooks))
    , scheduler_({zone_}, SchedulerOptions())
{
}

auto ZoneRuntime::start(const std::vector<WorkerInfo> &workers, std::vector<KnownJob> jobs) -> void
{
    fenceDeadline_ = std::chrono::steady_clock::now() + FenceTimeout;
    jobsAtStart_ = std::move(jobs);
    for (const auto &worker : workers) {
        startPolling(worker);
    }
    LOG(INFO) << "zone_takeover_started availability_zone=" << zone_.value() << " epoch=" << epoch_.claim_ << " rank=" << epoch_.rank_
              << " workers=" << workers.size() << " jobs=" << jobsAtStart_.size();
}

auto ZoneRuntime::close() -> void
{
    closed_ = true;
    scheduling_ = false;
    for (auto &[id, poller] : pollers_) {
        poller->close();
    }
}

auto ZoneRuntime::setWorkers(const std::vector<WorkerInfo> &workers, const std::set<WorkerId> &leaving) -> void
{
    for (const auto &worker : workers) {
        const auto found = pollers_.find(worker.id_);
        if (found == pollers_.end()) {
            startPolling(worker);
        } else if (found->second->worker().address_ != worker.address_) {
            // A new worker uses the same id, so the tasks of the old one are lost.
            found->second->close();
            pollers_.erase(found);
            handleLost(worker.id_);
            startPolling(worker);
        }
    }
    for (const auto &worker : leaving) {
        if (leaving_.insert(worker).second && scheduling_) {
            handleEvent(WorkerLeaving{worker});
        }
    }
}

auto ZoneRuntime::setRules(RuleSetPointer rules) -> void
{
    rules_ = std::move(rules);
    if (scheduling_) {
        handleEvent(RulesChanged{rules_});
    }
}

auto ZoneRuntime::addJob(KnownJob job) -> void
{
    if (scheduling_) {
        submitToScheduler(job);
    } else {
        jobsAtStart_.push_back(std::move(job));
    }
}

auto ZoneRuntime::cancelJobs(std::vector<JobId> jobs) -> void
{
    const auto isCancelled = [&jobs](const KnownJob &job) {
        return std::find(jobs.begin(), jobs.end(), job.spec_.id_) != jobs.end();
    };
    std::erase_if(jobsAtStart_, isCancelled);
    std::erase_if(uncertain_.jobs_, isCancelled);
    if (scheduling_) {
        handleEvent(JobsCancelled{std::move(jobs)});
    }
}

auto ZoneRuntime::moveJob(const JobId &job, const AvailabilityZoneId &to) -> void
{
    if (scheduling_) {
        handleEvent(JobWithdrawn{job, to});
    }
}

auto ZoneRuntime::setUseElsewhere(std::map<TeamId, int> accelerators) -> void
{
    if (scheduling_) {
        handleEvent(TeamUseElsewhere{std::move(accelerators)});
    }
}

auto ZoneRuntime::tick() -> void
{
    const auto now = std::chrono::steady_clock::now();
    if (closed_) {
        return;
    }
    if (!scheduling_) {
        if (inventories_.size() == pollers_.size() || now >= fenceDeadline_) {
            finishFencing();
        }
        return;
    }
    const auto mayStart = hooks_.mayStart_();
    if (mayStart != gateOpen_) {
        gateOpen_ = mayStart;
        handleEvent(StartGateChanged{zone_, mayStart});
    }
    submitUncertainJobs(now);
    handleEvent(Tick{});
}

auto ZoneRuntime::isScheduling() const -> bool
{
    return scheduling_;
}

auto ZoneRuntime::zone() const -> const AvailabilityZoneId &
{
    return zone_;
}

auto ZoneRuntime::epoch() const -> Epoch
{
    return epoch_;
}

auto ZoneRuntime::explain(const JobId &job) const -> std::optional<JobExplanation>
{
    return scheduler_.explain(job);
}

auto ZoneRuntime::summarize() const -> ZoneSummary
{
    return scheduler_.summarize(zone_);
}

auto ZoneRuntime::startPolling(const WorkerInfo &worker) -> void
{
    WorkerInventoryPollerHooks hooks;
    hooks.onInventory_ = [weak = weak_from_this()](const WorkerInfo &info, const WorkerInventory &inventory) {
        if (const auto self = weak.lock()) {
            self->handleInventory(info, inventory);
        }
    };
    hooks.onLost_ = [weak = weak_from_this()](const WorkerId &id) {
        if (const auto self = weak.lock()) {
            self->handleLost(id);
        }
    };
    hooks.onStaleEpoch_ = [weak = weak_from_this()] {
        if (const auto self = weak.lock()) {
            self->hooks_.onStaleEpoch_();
        }
    };
    auto poller = std::make_shared<WorkerInventoryPoller>(context_, client_, worker, epoch_, std::move(hooks));
    pollers_[worker.id_] = poller;
    poller->start();
}

auto ZoneRuntime::handleInventory(const WorkerInfo &worker, const WorkerInventory &inventory) -> void
{
    if (closed_) {
        return;
    }
    const auto isNew = !inventories_.contains(worker.id_);
    inventories_[worker.id_] = inventory;
    if (!scheduling_) {
        return;
    }
    if (isNew) {
        handleEvent(WorkerUp{worker});
        // Tasks still on a worker that was lost and returned belong to gangs that were stopped in the meantime.
        std::vector<OrphanedTask> orphans;
        for (const auto &task : inventory.tasks_) {
            if (!isEnded(task.state_) && task.state_ != WorkerTaskState::Stopped) {
                orphans.push_back({task.task_, worker.id_});
            }
        }
        stopOrphans(orphans);
    }
    if (inventory.leaving_ && leaving_.insert(worker.id_).second) {
        handleEvent(WorkerLeaving{worker.id_});
    }
    reportTaskChanges(worker, inventory);
}

auto ZoneRuntime::reportTaskChanges(const WorkerInfo &worker, const WorkerInventory &inventory) -> void
{
    auto &reported = reportedEnds_[worker.id_];
    std::set<TaskId> stillListed;
    for (const auto &task : inventory.tasks_) {
        if (isEnded(task.state_)) {
            stillListed.insert(task.task_);
            if (!reported.contains(task.task_)) {
                handleEvent(TaskEnded{task.task_, worker.id_, outcomeOf(task.state_), task.reason_});
            }
        } else if (task.state_ == WorkerTaskState::Running && task.used_.memoryMb_ > 0) {
            handleEvent(UsageReported{task.task_, worker.id_, task.used_, task.usageLag_});
        }
    }
    reported = std::move(stillListed);
}

auto ZoneRuntime::handleLost(const WorkerId &worker) -> void
{
    inventories_.erase(worker);
    reportedEnds_.erase(worker);
    LOG(WARNING) << "worker_lost worker=" << worker.value() << " availability_zone=" << zone_.value();
    if (scheduling_) {
        handleEvent(WorkerDown{worker});
    }
}

auto ZoneRuntime::finishFencing() -> void
{
    // From now on, every worker that answered refuses commands of the former owner.
    scheduling_ = true;
    std::set<WorkerId> unreachable;
    for (const auto &[id, poller] : pollers_) {
        if (!inventories_.contains(id)) {
            unreachable.insert(id);
        }
    }
    handleEvent(RulesChanged{rules_});
    gateOpen_ = hooks_.mayStart_();
    handleEvent(StartGateChanged{zone_, gateOpen_});
    for (const auto &[id, inventory] : inventories_) {
        handleEvent(WorkerUp{pollers_.at(id)->worker()});
        if (inventory.leaving_ || leaving_.contains(id)) {
            leaving_.insert(id);
            handleEvent(WorkerLeaving{id});
        }
    }
    auto plan = planTakeover(jobsAtStart_, inventories_, unreachable);
    LOG(INFO) << "zone_takeover_done availability_zone=" << zone_.value() << " epoch=" << epoch_.claim_ << " unreachable_workers=" << unreachable.size()
              << " surviving_gangs=" << plan.survivors_.size() << " stray_tasks=" << plan.orphans_.size() << " waiting_jobs=" << plan.waiting_.size()
              << " uncertain_jobs=" << plan.uncertain_.size();
    stopOrphans(plan.orphans_);
    for (const auto &survivor : plan.survivors_) {
        encoder_.setPayload(survivor.job_.spec_.id_, survivor.job_.spec_.payload_);
        handleEvent(GangRecovered{survivor.job_.spec_, survivor.job_.age_, survivor.placements_, survivor.job_.progress_});
    }
    for (const auto &job : plan.waiting_) {
        submitToScheduler(job);
    }
    uncertain_ = {std::chrono::steady_clock::now() + UncertainJobDelay, std::move(plan.uncertain_)};
    jobsAtStart_.clear();
    for (const auto &[id, poller] : pollers_) {
        const auto inventory = inventories_.find(id);
        if (inventory != inventories_.end()) {
            reportTaskChanges(poller->worker(), WorkerInventory(inventory->second));
        }
    }
}

auto ZoneRuntime::stopOrphans(const std::vector<OrphanedTask> &orphans) -> void
{
    std::map<WorkerId, WorkerCommandBatch> batches;
    for (const auto &orphan : orphans) {
        auto &batch = batches[orphan.worker_];
        batch.epoch_ = epoch_;
        WorkerCommand stop;
        stop.kind_ = WorkerCommandKind::Stop;
        stop.task_ = orphan.task_;
        batch.commands_.push_back(stop);
    }
    for (const auto &[worker, batch] : batches) {
        client_.send(addressOf(worker), batch, "", [weak = weak_from_this()](const Result<std::vector<WorkerCommandResult>> &result) {
            const auto self = weak.lock();
            if (self && !isOk(result) && errorOf(result).kind_ == ErrorKind::StaleEpoch) {
                self->hooks_.onStaleEpoch_();
            }
        });
    }
}

auto ZoneRuntime::submitUncertainJobs(SteadyTime now) -> void
{
    if (uncertain_.jobs_.empty() || now < uncertain_.until_) {
        return;
    }
    const auto jobs = std::exchange(uncertain_.jobs_, {});
    for (const auto &job : jobs) {
        submitToScheduler(job);
    }
}

auto ZoneRuntime::submitToScheduler(const KnownJob &job) -> void
{
    encoder_.setPayload(job.spec_.id_, job.spec_.payload_);
    handleEvent(JobArrived{job.spec_, job.age_, job.attempt_, job.progress_});
}

auto ZoneRuntime::handleEvent(const SchedulerEvent &event) -> void
{
    if (!closed_) {
        execute(scheduler_.handle(event, std::chrono::steady_clock::now()));
    }
}

auto ZoneRuntime::execute(const std::vector<SchedulerCommand> &commands) -> void
{
    std::map<WorkerId, std::vector<TaskCommand>> perWorker;
    for (const auto &command : commands) {
        if (const auto *task = std::get_if<TaskCommand>(&command)) {
            perWorker[task->worker_].push_back(*task);
        } else if (const auto *renewals = std::get_if<RenewLeases>(&command)) {
            sendRenewals(*renewals);
        } else if (const auto *probe = std::get_if<ProbeWorker>(&command)) {
            sendProbe(*probe);
        } else {
            // Parked jobs keep their payload, since they may start later.
            if (const auto *ended = std::get_if<JobEnded>(&command); ended != nullptr && isFinal(ended->state_)) {
                encoder_.removeJob(ended->job_);
            } else if (const auto *moved = std::get_if<JobReassigned>(&command)) {
                encoder_.removeJob(moved->job_);
            }
            hooks_.recordDecision_(command);
        }
    }
    for (auto &[worker, list] : perWorker) {
        sendTaskCommands(worker, std::move(list));
    }
}

auto ZoneRuntime::sendTaskCommands(const WorkerId &worker, std::vector<TaskCommand> commands) -> void
{
    // A stop is answered only after its grace period, so it must not delay the answers of other commands.
    std::vector<TaskCommand> prompt;
    for (auto &command : commands) {
        if (command.kind_ == TaskCommandKind::Stop) {
            sendBatch(worker, {command});
        } else if (command.kind_ == TaskCommandKind::Start && !hooks_.mayStart_()) {
            // Posted, since the scheduler must not be re-entered while its commands are executed.
            asio::post(context_, [self = shared_from_this(), command, worker] {
                self->reportResult(command, worker, Error{ErrorKind::NotRun, "the rules are not confirmed as current, so no task may start", std::nullopt}, {});
            });
        } else {
            prompt.push_back(std::move(command));
        }
    }
    if (!prompt.empty()) {
        sendBatch(worker, prompt);
    }
}

auto ZoneRuntime::sendBatch(const WorkerId &worker, const std::vector<TaskCommand> &commands) -> void
{
    const auto now = std::chrono::steady_clock::now();
    WorkerCommandBatch batch{epoch_, {}};
    for (const auto &command : commands) {
        batch.commands_.push_back(encoder_.encode(command, now));
    }
    const auto traceparent = hooks_.traceparentOf_(commands.front().task_.job_);
    client_.send(addressOf(worker), batch, traceparent, [weak = weak_from_this(), worker, commands](Result<std::vector<WorkerCommandResult>> results) {
        if (const auto self = weak.lock()) {
            self->handleResults(worker, commands, std::move(results), false);
        }
    });
}

auto ZoneRuntime::sendRenewals(const RenewLeases &renewals) -> void
{
    WorkerCommandBatch batch{epoch_, {}};
    std::vector<TaskCommand> commands;
    for (const auto &task : renewals.tasks_) {
        WorkerCommand renew;
        renew.kind_ = WorkerCommandKind::Renew;
        renew.task_ = task;
        renew.lease_ = renewals.lease_;
        batch.commands_.push_back(renew);
        TaskCommand command;
        command.kind_ = TaskCommandKind::Renew;
        command.task_ = task;
        command.worker_ = renewals.worker_;
        commands.push_back(std::move(command));
    }
    client_.send(addressOf(renewals.worker_), batch, "", [weak = weak_from_this(), worker = renewals.worker_, commands](auto results) {
        if (const auto self = weak.lock()) {
            // Only failed renewals are reported to the scheduler.
            self->handleResults(worker, commands, std::move(results), true);
        }
    });
}

auto ZoneRuntime::sendProbe(const ProbeWorker &probe) -> void
{
    WorkerCommand command;
    command.kind_ = WorkerCommandKind::Probe;
    client_.send(addressOf(probe.worker_), {epoch_, {command}}, "", [weak = weak_from_this(), worker = probe.worker_](const auto &results) {
        if (const auto self = weak.lock()) {
            const auto healthy = isOk(results) && !valueOf(results).front().error_;
            self->handleEvent(ProbeResult{worker, healthy});
        }
    });
}

auto ZoneRuntime::handleResults(const WorkerId &worker,
                                const std::vector<TaskCommand> &commands,
                                Result<std::vector<WorkerCommandResult>> results,
                                bool onlyFailures) -> void
{
    if (closed_) {
        return;
    }
    if (!isOk(results)) {
        if (errorOf(results).kind_ == ErrorKind::StaleEpoch) {
            hooks_.onStaleEpoch_();
            return;
        }
        for (const auto &command : commands) {
            reportResult(command, worker, errorOf(results), {});
        }
        return;
    }
    const auto &list = valueOf(results);
    for (std::size_t i = 0; i < list.size(); ++i) {
        if (!onlyFailures || list[i].error_) {
            reportResult(commands[i], worker, list[i].error_, list[i].progress_);
        }
    }
}

auto ZoneRuntime::reportResult(const TaskCommand &command, const WorkerId &worker, std::optional<Error> error, std::chrono::milliseconds progress) -> void
{
    handleEvent(TaskCommandResult{command.kind_, command.task_, worker, std::move(error), progress});
}

auto ZoneRuntime::addressOf(const WorkerId &worker) const -> std::string
{
    const auto found = pollers_.find(worker);
    return found == pollers_.end() ? std::string() : found->second->worker().address_;
}
} // namespace Marjoramfold
