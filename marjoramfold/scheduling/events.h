#pragma once

#include "marjoramfold/core/clock.h"
#include "marjoramfold/core/error.h"
#include "marjoramfold/core/job.h"
#include "marjoramfold/rules/ruleset.h"

#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace Marjoramfold
{
/// A worker joined, returned, or changed its capacity.
struct WorkerUp {
    WorkerInfo worker_;
};

/// A worker is lost; its tasks count as stopped only once their leases have expired.
struct WorkerDown {
    WorkerId worker_;
};

/// A worker is leaving: it gets no new work and its gangs are moved.
struct WorkerLeaving {
    WorkerId worker_;
};

/// A job to place. A job that ran before carries its next attempt and its checkpointed progress.
struct JobArrived {
    JobSpec spec_;
    /// Time since the first submission.
    std::chrono::milliseconds age_{0};
    std::uint32_t attempt_ = 0;
    /// Run time already saved by a checkpoint.
    std::chrono::milliseconds progress_{0};
};

/// A running gang was found on the workers at a takeover and keeps running.
struct GangRecovered {
    JobSpec spec_;
    std::chrono::milliseconds age_{0};
    std::vector<TaskPlacement> placements_;
    std::chrono::milliseconds progress_{0};
};

/// A batch of jobs was cancelled by callers.
struct JobsCancelled {
    std::vector<JobId> jobs_;
};

/// A new rule set is in force.
struct RulesChanged {
    RuleSetPointer rules_;
};

/// A job must move to an availability zone of another scheduler. Answered with a JobReassigned: immediately for a waiting job, after
/// checkpoint and stop for a running one.
struct JobWithdrawn {
    JobId job_;
    AvailabilityZoneId to_;
};

/// Accelerators in use per team in other schedulers' availability zones; they count against the quotas.
struct TeamUseElsewhere {
    std::map<TeamId, int> accelerators_;
};

/// Opens or closes starts in an availability zone; starts are allowed only while the rules are fresh.
struct StartGateChanged {
    AvailabilityZoneId zone_;
    bool open_ = false;
};

/// Commands to workers, each answered by a TaskCommandResult.
enum class TaskCommandKind {
    Hold,
    Start,
    Renew,
    Checkpoint,
    Throttle,
    Stop,
};

/// Answer of a worker to a command, or the error instead of an answer. An unknown outcome has an error whose ran_ is maybe.
struct TaskCommandResult {
    TaskCommandKind kind_ = TaskCommandKind::Hold;
    TaskId task_;
    WorkerId worker_;
    std::optional<Error> error_;
    /// For checkpoints: run time saved so far.
    std::chrono::milliseconds progress_{0};
};

/// How a task ended without a Stop.
enum class TaskOutcome {
    Finished,
    Failed,
    LeaseLapsed,
};

/// A task ended on its worker without a Stop.
struct TaskEnded {
    TaskId task_;
    WorkerId worker_;
    TaskOutcome outcome_ = TaskOutcome::Finished;
    std::string reason_;
};

/// Resource usage of a task as reported by its worker.
struct UsageReported {
    TaskId task_;
    WorkerId worker_;
    Resources used_;
    /// Age of the report.
    std::chrono::milliseconds lag_{0};
};

/// Answer to a ProbeWorker command.
struct ProbeResult {
    WorkerId worker_;
    bool healthy_ = false;
};

/// Periodic event that drives timeouts, lease renewals and the queue.
struct Tick {
};

using SchedulerEvent = std::variant<WorkerUp,
                                    WorkerDown,
                                    WorkerLeaving,
                                    JobArrived,
                                    GangRecovered,
                                    JobsCancelled,
                                    JobWithdrawn,
                                    TeamUseElsewhere,
                                    RulesChanged,
                                    StartGateChanged,
                                    TaskCommandResult,
                                    TaskEnded,
                                    UsageReported,
                                    ProbeResult,
                                    Tick>;

/// A command for one task on its worker. The lease of Hold, Start and Renew counts from receipt.
struct TaskCommand {
    TaskCommandKind kind_ = TaskCommandKind::Hold;
    TaskId task_;
    WorkerId worker_;
    Resources resources_;
    std::chrono::milliseconds lease_{0};
    /// For Stop: grace period for a checkpoint.
    std::chrono::milliseconds grace_{0};
    /// For Start: run time saved by an earlier checkpoint.
    std::chrono::milliseconds progress_{0};
};

/// Renews all leases of one worker in one message. Answered by a Renew TaskCommandResult for each task that failed.
struct RenewLeases {
    WorkerId worker_;
    std::vector<TaskId> tasks_;
    std::chrono::milliseconds lease_{0};
};

/// Health check of a quarantined worker. Answered by a ProbeResult.
struct ProbeWorker {
    WorkerId worker_;
};

/// All members of a gang run; recorded in the log.
struct JobStarted {
    JobId job_;
    std::uint32_t attempt_ = 0;
    std::vector<TaskPlacement> placements_;
};

/// A gang was stopped and its job is waiting again; recorded in the log.
struct JobRequeued {
    JobId job_;
    std::uint32_t nextAttempt_ = 0;
    std::chrono::milliseconds progress_{0};
    std::string reason_;
};

/// A job reached a final state, or is parked until the rules change; recorded in the log.
struct JobEnded {
    JobId job_;
    JobState state_ = JobState::Finished;
    std::string reason_;
    /// The rule that decided, if any.
    std::optional<RuleLine> rule_;
};

/// This scheduler released a job to another availability zone; recorded in the log as an assignment.
struct JobReassigned {
    JobId job_;
    AvailabilityZoneId from_;
    AvailabilityZoneId to_;
    std::uint32_t nextAttempt_ = 0;
    std::chrono::milliseconds progress_{0};
};

using SchedulerCommand = std::variant<TaskCommand, RenewLeases, ProbeWorker, JobStarted, JobRequeued, JobEnded, JobReassigned>;

/// A scheduling policy: maps one event to commands, which must be executed in order.
using SchedulingPolicy = std::function<std::vector<SchedulerCommand>(const SchedulerEvent &event, SteadyTime now)>;
} // namespace Marjoramfold
