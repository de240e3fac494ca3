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
/// A worker joined, came back, or changed its shape.
struct WorkerUp {
    WorkerInfo worker_;
};

/// A worker is lost: its tasks must be taken as stopped once their leases lapsed.
struct WorkerDown {
    WorkerId worker_;
};

/// A worker is about to leave: it gets no new work and its gangs are moved.
struct WorkerLeaving {
    WorkerId worker_;
};

/// A job became this scheduler's to place. A job that ran before carries its next attempt and its checkpointed progress.
struct JobArrived {
    JobSpec spec_;
    /// Time since the job was first submitted.
    std::chrono::milliseconds age_{0};
    std::uint32_t attempt_ = 0;
    /// Run time already saved by a checkpoint.
    std::chrono::milliseconds progress_{0};
};

/// A running gang was found on the workers at a takeover and goes on.
struct GangRecovered {
    JobSpec spec_;
    std::chrono::milliseconds age_{0};
    std::vector<TaskPlacement> placements_;
    std::chrono::milliseconds progress_{0};
};

/// Callers cancelled these jobs; handled in one pass.
struct JobsCancelled {
    std::vector<JobId> jobs_;
};

/// A new rule set is in force.
struct RulesChanged {
    RuleSetPointer rules_;
};

/// A job must move to another availability zone, which this scheduler does not own. Answered with a JobReassigned, at once for a
/// waiting job and after its checkpoint and stop for a running one.
struct JobWithdrawn {
    JobId job_;
    AvailabilityZoneId to_;
};

/// Accelerators that teams use in availability zones of other schedulers; they count against the teams' quotas.
struct TeamUseElsewhere {
    std::map<TeamId, int> accelerators_;
};

/// Whether starts are allowed in an availability zone by the freshness of the rules.
struct StartGateChanged {
    AvailabilityZoneId zone_;
    bool open_ = false;
};

/// Commands to workers that are answered by a TaskCommandResult.
enum class TaskCommandKind {
    Hold,
    Start,
    Renew,
    Checkpoint,
    Throttle,
    Stop,
};

/// Answer of a worker to a command, or the error that took its place. An unknown outcome has an error whose ran_ is maybe.
struct TaskCommandResult {
    TaskCommandKind kind_ = TaskCommandKind::Hold;
    TaskId task_;
    WorkerId worker_;
    std::optional<Error> error_;
    /// For checkpoints: run time saved so far.
    std::chrono::milliseconds progress_{0};
};

/// Why a task ended by itself.
enum class TaskOutcome {
    Finished,
    Failed,
    LeaseLapsed,
};

/// A task ended by itself on its worker.
struct TaskEnded {
    TaskId task_;
    WorkerId worker_;
    TaskOutcome outcome_ = TaskOutcome::Finished;
    std::string reason_;
};

/// Use of a task as its worker reports it, with a lag.
struct UsageReported {
    TaskId task_;
    WorkerId worker_;
    Resources used_;
    /// How old the report is.
    std::chrono::milliseconds lag_{0};
};

/// Answer to a ProbeWorker command.
struct ProbeResult {
    WorkerId worker_;
    bool healthy_ = false;
};

/// Time passed; timeouts, lease renewals and waiting jobs are looked at.
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

/// A command for one task on its worker. Hold, Start and Renew carry the lease that the worker grants from receipt.
struct TaskCommand {
    TaskCommandKind kind_ = TaskCommandKind::Hold;
    TaskId task_;
    WorkerId worker_;
    Resources resources_;
    std::chrono::milliseconds lease_{0};
    /// For Stop: time that the task may use to checkpoint first.
    std::chrono::milliseconds grace_{0};
    /// For Start: run time saved by an earlier checkpoint.
    std::chrono::milliseconds progress_{0};
};

/// Renewal of all leases of one worker in one message. Answered by a TaskCommandResult of kind Renew for each task that failed.
struct RenewLeases {
    WorkerId worker_;
    std::vector<TaskId> tasks_;
    std::chrono::milliseconds lease_{0};
};

/// Ask a quarantined worker to prove itself. Answered by a ProbeResult.
struct ProbeWorker {
    WorkerId worker_;
};

/// A gang runs as a whole; recorded in the log.
struct JobStarted {
    JobId job_;
    std::uint32_t attempt_ = 0;
    std::vector<TaskPlacement> placements_;
};

/// A gang was stopped and the job waits again; recorded in the log.
struct JobRequeued {
    JobId job_;
    std::uint32_t nextAttempt_ = 0;
    std::chrono::milliseconds progress_{0};
    std::string reason_;
};

/// A job reached a final state, or is parked until rules change; recorded in the log.
struct JobEnded {
    JobId job_;
    JobState state_ = JobState::Finished;
    std::string reason_;
    /// Line of the rules file that decided, if one did.
    std::optional<RuleLine> rule_;
};

/// This scheduler gives a job up so that another availability zone can run it; recorded in the log as an assignment.
struct JobReassigned {
    JobId job_;
    AvailabilityZoneId from_;
    AvailabilityZoneId to_;
    std::uint32_t nextAttempt_ = 0;
    std::chrono::milliseconds progress_{0};
};

using SchedulerCommand = std::variant<TaskCommand, RenewLeases, ProbeWorker, JobStarted, JobRequeued, JobEnded, JobReassigned>;

/// A scheduling policy: takes one event at a time and answers with commands, in the order in which they must be carried out.
using SchedulingPolicy = std::function<std::vector<SchedulerCommand>(const SchedulerEvent &event, SteadyTime now)>;
} // namespace Marjoramfold
