#pragma once

#include "marjoramfold/core/clock.h"
#include "marjoramfold/dispatch/dispatchoptions.h"
#include "marjoramfold/dispatch/inheritedleases.h"
#include "marjoramfold/dispatch/leasestatement.h"
#include "marjoramfold/dispatch/pacedqueue.h"
#include "marjoramfold/dispatch/workersession.h"
#include "marjoramfold/fleet/workerentry.h"

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

namespace Marjoramfold
{
/// Commands to workers. Each callback runs exactly once, on the caller's thread.
struct WorkerCalls {
    std::function<void(StartCommand, std::function<void(CommandResponse)>)> start_;
    std::function<void(StopCommand, std::function<void(CommandResponse)>)> stop_;
    std::function<void(RenewCommand, std::function<void(CommandResponse)>)> renew_;
};

/// Reports that a run ended or was never started.
struct RunEnded {
    WorkerId worker_;
    TaskRef task_;
    std::uint32_t run_ = 0;
    RunOutcome kind_ = RunOutcome::Lost;
    std::string checkpoint_;
    /// It is certain that the worker never started the run.
    bool neverStarted_ = false;
    std::string reason_;
    std::chrono::milliseconds ranFor_{0};
    /// Incarnation of the worker when the run was declared ended.
    std::uint64_t incarnation_ = 0;
    /// A report of that incarnation contained the run.
    bool reported_ = false;
    /// Number of the end in the incarnation's reports; 0 when the worker has not reported it.
    std::uint64_t number_ = 0;
    /// `ranFor_` counts from the begin of the run.
    bool startTimeKnown_ = false;
};

/// A worker's ends up to a number, which counts anew in each incarnation.
struct ReportedEnds {
    WorkerId worker_;
    std::uint64_t incarnation_ = 0;
    std::uint64_t upTo_ = 0;
};

/// Events that the sessions report to the scheduler.
struct SessionEvents {
    std::function<void(const WorkerId &, const TaskRef &, std::uint32_t run)> runStarted_;
    std::function<void(const RunEnded &)> runEnded_;
    /// A worker has not executed a run's start command and never will; the run is sent again or cancelled.
    std::function<void(const WorkerId &, const TaskRef &, std::uint32_t run)> startNotExecuted_;
    /// A worker rejected a command because it has seen the fencing token of another leader.
    std::function<void(const WorkerId &)> fenced_;
    /// Capacity may have become free, or a worker joined.
    std::function<void()> capacityChanged_;
    /// A worker reported a run that the leader does not know, and which is stopped; returns the capacity that the run occupies.
    std::function<ResourceVector(const WorkerId &, const TaskRef &, std::uint32_t run)> unexpectedRun_;
    /// A worker refused a run's start command, and would refuse the next one for the same reason. Its end is reported as well.
    std::function<void(const WorkerId &, const TaskRef &)> startRefused_;
};

/// Renews the leases of all workers with runs, sends commands to them and determines the outcome of each run.
///
/// Every run is reported as ended exactly once. It occupies its worker's capacity until its end is certain: the worker reports the
/// end, a report requested with a newer fencing token lacks the run, another incarnation than the one that listed the run responds, or
/// the lease has expired.
class WorkerSessions
{
public:
    using Schedule = std::function<void(std::chrono::milliseconds, std::function<void()>)>;

    /// A null `workMeter` measures nothing.
    WorkerSessions(DispatchOptions options, std::uint64_t epoch, WorkerCalls calls, SessionEvents events, Schedule schedule, WorkMeter *workMeter = nullptr);
    ~WorkerSessions();
    WorkerSessions(const WorkerSessions &) = delete;
    auto operator=(const WorkerSessions &) -> WorkerSessions & = delete;

    /// Applies an entry of the platform's worker list.
    auto updateEntry(const WorkerEntry &entry) -> void;

    /// Marks a worker as absent from the platform's list. Its session is kept for a while, because commands may still be on their way.
    auto removeEntry(const WorkerId &id) -> void;

    /// Removes the entries of all workers that are not in `listed`.
    auto removeEntriesExcept(const std::unordered_map<WorkerId, bool> &listed) -> void;

    /// Asks every worker for a report and starts to renew leases.
    auto startRenewals(const FormerCommands &former) -> void;

    /// Applies a tighter limit of what former leaders may have sent.
    auto limitFormerCommands(const FormerCommands &former) -> void;

    /// States the leases for a successor, where all runs recorded before an offset of the progress stream are known here. From now on the
    /// silent workers in it get no lease.
    [[nodiscard]] auto stateLeases(std::uint64_t recordedBefore) -> LeaseStatement;

    /// The store has confirmed a statement: silent workers that it no longer names may get leases again.
    auto onStatementConfirmed(const LeaseStatement &statement) -> void;

    /// Adopts a run that a previous leader stored for a worker incarnation; its state is queried from the worker.
    auto adoptRun(const WorkerId &worker, std::uint64_t incarnation, const TaskRef &task, std::uint32_t run, WorkerRun state) -> void;

    /// Ends an adopted run whose end was reported before it was adopted.
    auto endAdoptedRun(const RunEnded &end) -> void;

    /// Queues a command of the given lane; the number of commands in a turn is limited.
    auto queueCommand(CommandLane lane, std::function<void()> send) -> void;

    /// Allocates capacity for a run before it is stored.
    auto place(const WorkerId &worker, const TaskRef &task, std::uint32_t run, WorkerRun state) -> void;

    /// Sends the start command of a stored run, also again after startNotExecuted_.
    auto start(const WorkerId &worker, const TaskRef &task, std::uint32_t run, const std::string &payload, const std::string &checkpoint) -> void;

    /// Drops a run whose start command was not sent.
    auto cancelUnsentStart(const WorkerId &worker, const TaskRef &task, std::uint32_t run, const std::string &reason) -> void;

    /// Sends a stop command unless the run is not started yet or already stopping.
    auto stop(const WorkerId &worker, const TaskRef &task, std::uint32_t run) -> void;

    /// Marks reported ends as stored, so that they are acknowledged to the workers.
    auto acknowledgeEnds(const std::vector<ReportedEnds> &recorded) -> void;

    /// Ends that were reported but not stored yet.
    [[nodiscard]] auto unrecordedEnds() const -> std::vector<ReportedEnds>;

    /// Ends runs whose lease has expired, repeats stop commands without effect and renews leases.
    auto tick(BootTime now) -> void;

    /// Stops all activity without notifying the workers.
    auto shutDown() -> void;

    [[nodiscard]] auto all() const -> const WorkerSessionMap &;
    [[nodiscard]] auto find(const WorkerId &id) const -> WorkerSession *;

private:
    auto findOrCreate(const WorkerId &id) -> WorkerSession &;
    auto nextToken() -> std::uint64_t;
    auto nextLeaseEnd(const WorkerSession &session, BootTime now) const -> std::chrono::milliseconds;
    [[nodiscard]] auto leaseEnd(const WorkerSession &session, const WorkerRun &run) const -> std::optional<BootTime>;
    /// For how long the lease of a silent worker with runs may last; empty for other workers, and while a start command may request a lease.
    [[nodiscard]] auto silentLeaseLeft(const WorkerSession &session, BootTime now) const -> std::optional<std::chrono::milliseconds>;
    /// Logs what the runs of a silent worker wait for; false when nothing is due.
    auto logAwaitedProof(WorkerSession &session, BootTime now) const -> bool;
    auto updateClock(WorkerSession &session, std::chrono::milliseconds clock) -> void;
    auto applyEntry(WorkerSession &session, const WorkerEntry &entry) -> void;
    auto onStartResponse(const WorkerId &id, std::uint64_t incarnation, const RunKey &key, std::uint64_t token, const CommandResponse &response) -> void;
    auto fenceAndQuery(WorkerSession &session) -> void;
    auto renew(WorkerSession &session) -> void;
    /// Queues a renewal, for events that concern many workers at once.
    auto queueRenewal(WorkerSession &session) -> void;
    auto needsRenewal(const WorkerSession &session) const -> bool;
    auto onRenewResponse(const WorkerId &id, std::uint64_t incarnation, BootTime sentAt, const RenewCommand &command, const CommandResponse &response) -> void;
    auto onReport(WorkerSession &session, BootTime sentAt, std::uint64_t token, const WorkerReport &report) -> void;
    /// Longest lease that a worker may have from commands which this leader did not send, or sent for another incarnation's clock.
    [[nodiscard]] auto longestUnknownGrant(const WorkerSession &session) const -> std::chrono::milliseconds;
    auto onReportedRun(WorkerSession &session, const ReportedRun &reported) -> void;
    auto onReportedEnds(WorkerSession &session, const WorkerReport &report) -> void;
    auto onRenewFailure(WorkerSession &session, const CommandResponse &response) -> void;
    auto sendStop(WorkerSession &session, const TaskRef &task, std::uint32_t run) -> void;
    auto endRun(WorkerSession &session,
                RunKey key,
                RunOutcome kind,
                const std::string &checkpoint,
                bool neverStarted,
                const std::string &reason,
                std::uint64_t number = 0) -> void;
    auto endAllRuns(WorkerSession &session, RunOutcome kind, const std::string &reason) -> void;
    auto endRunsWithExpiredLease(WorkerSession &session, BootTime now) -> void;
    auto endRunsOfReplacedWorker(WorkerSession &session) -> void;
    auto replaceIncarnation(WorkerSession &session, const WorkerReport &report) -> void;

    DispatchOptions options_;
    std::uint64_t epoch_;
    std::uint64_t tokensIssued_ = 0;
    WorkerCalls calls_;
    SessionEvents events_;
    Schedule schedule_;
    PacedQueue commands_;
    InheritedLeases inherited_;
    WorkerSessionMap sessions_;
    /// Expires on shutdown, so that late callbacks do nothing.
    std::shared_ptr<bool> alive_;
};
} // namespace Marjoramfold
