#pragma once

#include "marjoramfold/core/clock.h"
#include "marjoramfold/dispatch/dispatchoptions.h"
#include "marjoramfold/dispatch/workersession.h"
#include "marjoramfold/fleet/workerentry.h"

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

namespace Marjoramfold
{
/// Calls to workers. Callbacks run on the caller's thread, once each.
struct WorkerCalls {
    std::function<void(StartCommand, std::function<void(CommandResponse)>)> start_;
    std::function<void(StopCommand, std::function<void(CommandResponse)>)> stop_;
    std::function<void(RenewCommand, std::function<void(CommandResponse)>)> renew_;
};

/// A run is over, or never began.
struct RunEnded {
    WorkerId worker_;
    TaskRef task_;
    std::uint32_t run_ = 0;
    RunOutcome kind_ = RunOutcome::Lost;
    std::string checkpoint_;
    /// The worker surely never began the run.
    bool neverStarted_ = false;
    std::string reason_;
    std::chrono::milliseconds ranFor_{0};
};

/// What sessions tell the scheduler.
struct SessionEvents {
    /// A worker has begun a run.
    std::function<void(const WorkerId &, const TaskRef &, std::uint32_t run)> runStarted_;
    std::function<void(const RunEnded &)> runEnded_;
    /// A worker has seen the token of another leader.
    std::function<void(const WorkerId &)> fenced_;
    /// Room may have become free, or a worker joined.
    std::function<void()> capacityChanged_;
};

/// Keeps the leases of all workers with runs, gives orders to them and finds out what became of each.
///
/// Every run is reported as ended exactly once. A run counts against its worker's room until its end is certain: the worker
/// lists it, a list asked for under a newer fencing token lacks it, another life of the worker answers, or the lease has run out.
class WorkerSessions
{
public:
    using Schedule = std::function<void(std::chrono::milliseconds, std::function<void()>)>;

    /// `othersRenewedUntil` is the time until which a former leader may have renewed leases.
    WorkerSessions(DispatchOptions options, std::uint64_t epoch, BootTime previousRenewalsUntil, WorkerCalls calls, SessionEvents events, Schedule schedule);
    ~WorkerSessions();
    WorkerSessions(const WorkerSessions &) = delete;
    auto operator=(const WorkerSessions &) -> WorkerSessions & = delete;

    /// Takes over an entry of the platform's list.
    auto updateEntry(const WorkerEntry &entry) -> void;

    /// The platform's list has no entry for a worker any more.
    auto removeEntry(const WorkerId &id) -> void;

    /// Workers whose entries are not among these are removed.
    auto removeEntriesExcept(const std::unordered_map<WorkerId, bool> &listed) -> void;

    /// Takes over a run that a former leader recorded for a life of a worker; the worker is asked what became of it.
    auto adoptRun(const WorkerId &worker, std::uint64_t incarnation, const TaskRef &task, std::uint32_t run, WorkerRun state) -> void;

    /// Takes room for a run before it is recorded.
    auto place(const WorkerId &worker, const TaskRef &task, std::uint32_t run, WorkerRun state) -> void;

    /// Orders a recorded run to start.
    auto start(const WorkerId &worker, const TaskRef &task, std::uint32_t run, const std::string &payload, const std::string &checkpoint) -> void;

    /// Gives up a run whose order was not sent.
    auto cancelUnsentStart(const WorkerId &worker, const TaskRef &task, std::uint32_t run, const std::string &reason) -> void;

    /// Orders a run to stop, whatever its stage; a stop that is under way is not repeated at once.
    auto stop(const WorkerId &worker, const TaskRef &task, std::uint32_t run) -> void;

    /// Ends that were handed out before are recorded in the store and may be acknowledged.
    auto acknowledgeEnds(const std::vector<std::pair<WorkerId, std::uint64_t>> &recorded) -> void;

    /// Ends handed out so far and not recorded yet, as worker and number.
    [[nodiscard]] auto unrecordedEnds() const -> std::vector<std::pair<WorkerId, std::uint64_t>>;

    /// Ends runs whose lease has run out, and repeats stops.
    auto tick(BootTime now) -> void;

    /// Stops all activity, without a word to the workers.
    auto shutDown() -> void;

    [[nodiscard]] auto all() const -> const std::unordered_map<WorkerId, std::unique_ptr<WorkerSession>> &;
    [[nodiscard]] auto find(const WorkerId &id) const -> WorkerSession *;

private:
    auto findOrCreate(const WorkerId &id) -> WorkerSession &;
    auto nextToken() -> std::uint64_t;
    auto nextLeaseEnd(const WorkerSession &session, BootTime now) const -> std::chrono::milliseconds;
    auto isLeaseExpired(const WorkerSession &session, BootTime now) const -> bool;
    auto updateClock(WorkerSession &session, std::chrono::milliseconds clock) -> void;
    auto onStartAnswer(const WorkerId &id, std::uint64_t incarnation, const RunKey &key, std::uint64_t token, const CommandResponse &answer) -> void;
    auto fenceAndQuery(WorkerSession &session) -> void;
    auto renew(WorkerSession &session) -> void;
    auto needsRenewal(const WorkerSession &session) const -> bool;
    auto onRenewAnswer(const WorkerId &id, std::uint64_t incarnation, BootTime sentAt, std::uint64_t token, const CommandResponse &answer) -> void;
    auto onReport(WorkerSession &session, BootTime sentAt, std::uint64_t token, const WorkerReport &report) -> void;
    auto onReportedRun(WorkerSession &session, const ReportedRun &listed) -> void;
    auto onReportedEnds(WorkerSession &session, const WorkerReport &report) -> void;
    auto onRenewFailure(WorkerSession &session, const CommandResponse &answer) -> void;
    auto sendStop(WorkerSession &session, const TaskRef &task, std::uint32_t run) -> void;
    auto endRun(WorkerSession &session, RunKey key, RunOutcome kind, const std::string &checkpoint, bool neverStarted, const std::string &reason) -> void;
    auto endAllRuns(WorkerSession &session, RunOutcome kind, const std::string &reason) -> void;
    auto endRunsOfReplacedWorker(WorkerSession &session) -> void;
    auto resetForIncarnation(WorkerSession &session, std::uint64_t incarnation, const std::string &reason) -> void;

    DispatchOptions options_;
    std::uint64_t epoch_;
    std::uint64_t tokensIssued_ = 0;
    WorkerCalls calls_;
    SessionEvents events_;
    Schedule schedule_;
    BootTime previousRenewalsUntil_;
    std::unordered_map<WorkerId, std::unique_ptr<WorkerSession>> sessions_;
    /// Expires with the object, so that late callbacks do nothing.
    std::shared_ptr<bool> alive_;
};
} // namespace Marjoramfold
