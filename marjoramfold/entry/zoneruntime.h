#pragma once

#include "marjoramfold/entry/taskcommandencoder.h"
#include "marjoramfold/entry/workerinventorypoller.h"
#include "marjoramfold/entry/zonetakeover.h"
#include "marjoramfold/scheduling/scheduler.h"

#include <map>
#include <memory>
#include <set>
#include <vector>

namespace Marjoramfold
{
/// Callbacks of a zone runtime.
struct ZoneRuntimeHooks {
    /// Appends the record of a scheduler's decision; never called with task commands.
    std::function<void(const SchedulerCommand &command)> recordDecision_;
    /// A worker refused a command because it has seen a newer epoch; this scheduler must stop.
    std::function<void()> onStaleEpoch_;
    /// Whether tasks may start now; checked again for each start command when it is sent.
    std::function<bool()> mayStart_;
    /// Traceparent header for the commands of a job.
    std::function<std::string(const JobId &job)> traceparentOf_;
};

/// Runs the scheduler of one availability zone under one epoch: sends its commands to the workers and passes their answers to it.
class ZoneRuntime : public std::enable_shared_from_this<ZoneRuntime>
{
public:
    ZoneRuntime(asio::io_context &context, WorkerClient &client, AvailabilityZoneId zone, Epoch epoch, RuleSetPointer rules, ZoneRuntimeHooks hooks);

    /// Fences the workers and fetches their inventories; scheduling begins once that is done.
    auto start(const std::vector<WorkerInfo> &workers, std::vector<KnownJob> jobs) -> void;

    /// Stops sending commands. Tasks keep running until their leases expire.
    auto close() -> void;

    /// Applies a newer list of workers.
    auto setWorkers(const std::vector<WorkerInfo> &workers, const std::set<WorkerId> &leaving) -> void;

    auto setRules(RuleSetPointer rules) -> void;
    auto addJob(KnownJob job) -> void;
    auto cancelJobs(std::vector<JobId> jobs) -> void;

    /// Moves a job to another availability zone; the reassignment is recorded once no worker runs the job.
    auto moveJob(const JobId &job, const AvailabilityZoneId &to) -> void;

    /// Sets the accelerators that teams use in other availability zones; they count against quotas.
    auto setUseElsewhere(std::map<TeamId, int> accelerators) -> void;

    /// Checks timeouts and schedules waiting jobs.
    auto tick() -> void;

    /// True once the workers are fenced and the scheduler is active.
    [[nodiscard]] auto isScheduling() const -> bool;
    [[nodiscard]] auto zone() const -> const AvailabilityZoneId &;
    [[nodiscard]] auto epoch() const -> Epoch;
    [[nodiscard]] auto explain(const JobId &job) const -> std::optional<JobExplanation>;
    [[nodiscard]] auto summarize() const -> ZoneSummary;

private:
    struct UncertainJobs {
        SteadyTime until_;
        std::vector<KnownJob> jobs_;
    };

    auto startPolling(const WorkerInfo &worker) -> void;
    auto handleInventory(const WorkerInfo &worker, const WorkerInventory &inventory) -> void;
    auto reportTaskChanges(const WorkerInfo &worker, const WorkerInventory &inventory) -> void;
    auto handleLost(const WorkerId &worker) -> void;
    auto finishFencing() -> void;
    auto stopOrphans(const std::vector<OrphanedTask> &orphans) -> void;
    auto submitUncertainJobs(SteadyTime now) -> void;
    auto submitToScheduler(const KnownJob &job) -> void;

    auto handleEvent(const SchedulerEvent &event) -> void;
    auto execute(const std::vector<SchedulerCommand> &commands) -> void;
    auto sendTaskCommands(const WorkerId &worker, std::vector<TaskCommand> commands) -> void;
    auto sendBatch(const WorkerId &worker, const std::vector<TaskCommand> &commands) -> void;
    auto sendRenewals(const RenewLeases &renewals) -> void;
    auto sendProbe(const ProbeWorker &probe) -> void;
    auto handleResults(const WorkerId &worker, const std::vector<TaskCommand> &commands, Result<std::vector<WorkerCommandResult>> results, bool onlyFailures)
        -> void;
    auto reportResult(const TaskCommand &command, const WorkerId &worker, std::optional<Error> error, std::chrono::milliseconds progress) -> void;
    [[nodiscard]] auto addressOf(const WorkerId &worker) const -> std::string;

    asio::io_context &context_;
    WorkerClient &client_;
    AvailabilityZoneId zone_;
    Epoch epoch_;
    RuleSetPointer rules_;
    ZoneRuntimeHooks hooks_;
    Scheduler scheduler_;
    bool scheduling_ = false;
    bool closed_ = false;
    bool gateOpen_ = false;
    SteadyTime fenceDeadline_{};
    std::map<WorkerId, std::shared_ptr<WorkerInventoryPoller>> pollers_;
    std::map<WorkerId, WorkerInventory> inventories_;
    std::set<WorkerId> leaving_;
    std::vector<KnownJob> jobsAtStart_;
    UncertainJobs uncertain_;
    TaskCommandEncoder encoder_;
    /// Ended tasks in each worker's last inventory, so that each end is reported to the scheduler once.
    std::map<WorkerId, std::set<TaskId>> reportedEnds_;
};
} // namespace Marjoramfold
