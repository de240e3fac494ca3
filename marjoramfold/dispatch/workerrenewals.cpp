#include "marjoramfold/dispatch/workersessions.h"
#include "marjoramfold/observability/logline.h"

#include <algorithm>
#include <set>
#include <utility>
#include <vector>

namespace Marjoramfold
{
namespace
{
/// Interval of reports from a worker that answers again, until the store has confirmed that it is no longer stated as silent.
constexpr std::chrono::milliseconds StatementPollInterval{100};
} // namespace

// Lease renewals and the reports in their responses.

auto WorkerSessions::needsRenewal(const WorkerSession &session) const -> bool
{
    const auto gone = !session.listed_ && session.runs_.empty() && session.unreachableSince_ != BootTime{};
    if (session.address().empty() || gone) {
        return false;
    }
    // Also polls workers without runs that are unresponsive or whose state is unknown: they get new work only after a report.
    const auto unknown = session.unreachableSince_ != BootTime{} || session.awaitsReport_;
    if (session.announced_ || (unknown && session.listed_)) {
        return true;
    }
    // No poll while ends are not stored yet, except to keep the lease: the worker would respond at once with the same ends.
    if (session.lastEndSeen_ > session.lastEndRecorded_) {
        return BootClock::now() - session.renewedAt_ > options_.maxLease_ / 4;
    }
    if (session.lastEndRecorded_ > session.lastEndAcknowledged_) {
        return true;
    }
    return std::any_of(session.runs_.begin(), session.runs_.end(), [](const auto &run) {
        return run.second.stage_ != RunStage::Recorded && run.second.stage_ != RunStage::StartSent;
    });
}

auto WorkerSessions::renew(WorkerSession &session) -> void
{
    if (session.renewing_ || !alive_ || !inherited_.isKnown() || !needsRenewal(session)) {
        return;
    }
    session.renewing_ = true;
    const auto now = BootClock::now();
    // A worker that is unresponsive or may have been replaced is only polled. A renewal whose response is lost would still extend the
    // lease, and the numbers of ends and the clock of another incarnation differ. Unknown runs of a former leader get no longer lease.
    const auto failing = session.unreachableSince_ != BootTime{};
    const auto hasOnlyUnknownRuns = session.awaitsReport_ && session.runs_.empty();
    // Until the first answer this leader has extended no lease, so that the wait for a worker that is lost does not begin anew with each leader.
    const auto isUnanswered = session.adopted_ && !session.responded_;
    const auto pollOnly = failing || session.announced_ || hasOnlyUnknownRuns || isUnanswered || session.statedSilent_;
    const auto until = pollOnly ? std::chrono::milliseconds(0) : nextLeaseEnd(session, now);
    if (!pollOnly) {
        session.leaseUntil_ = std::max(session.leaseUntil_, until);
        session.leaseRequestedAt_ = now;
    }
    // The first report about a run and the final acknowledgement must not wait for a run to end: without a report the longest lease counts.
    const auto immediate = session.runs_.empty() || !session.responded_ || pollOnly || session.awaitsReport_ || session.lastEndSeen_ > session.lastEndRecorded_
        || std::any_of(session.runs_.begin(), session.runs_.end(), [](const auto &run) {
                               const auto &state = run.second;
                               return state.stage_ == RunStage::InDoubt || (state.stage_ == RunStage::Running && !state.reported_ && !state.endMayFollow_);
                           });
    const auto awaitsStatement = session.statedSilent_ && session.responded_ && !failing;
    const auto wait = awaitsStatement ? StatementPollInterval : immediate ? std::chrono::milliseconds(0) : options_.renewalWait_;
    // The worker may have restarted if it accepted a run that it has not reported; end numbers mean other ends then.
    const auto hasUnreportedRun = std::any_of(session.runs_.begin(), session.runs_.end(), [](const auto &run) {
        const auto &state = run.second;
        return !state.reported_ && !state.endMayFollow_ && state.stage_ != RunStage::Recorded && state.stage_ != RunStage::StartSent;
    });
    const auto acknowledges = !pollOnly && !session.awaitsReport_ && !hasUnreportedRun && session.lastEndRecorded_ > session.lastEndAcknowledged_;
    RenewCommand command{session.entry_.id_, session.address(), session.fencingToken_, acknowledges ? session.lastEndRecorded_ : 0, until, wait, failing};
    command.hasUnreportedRuns_ = std::any_of(session.runs_.begin(), session.runs_.end(), [](const auto &run) {
        return !run.second.reported_ && run.second.stage_ != RunStage::Recorded;
    });
    calls_.renew_(command, [this, alive = std::weak_ptr(alive_), incarnation = session.incarnation_, now, command](const CommandResponse &response) {
        if (!alive.expired()) {
            onRenewResponse(command.worker_, incarnation, now, command, response);
        }
    });
}

auto WorkerSessions::queueRenewal(WorkerSession &session) -> void
{
    if (session.renewing_ || session.renewalQueued_ || !alive_ || !inherited_.isKnown() || !needsRenewal(session)) {
        return;
    }
    session.renewalQueued_ = true;
    const auto mayWait = session.runs_.empty() && session.lastEndRecorded_ <= session.lastEndAcknowledged_;
    queueCommand(mayWait ? CommandLane::Contacts : CommandLane::Leases, [this, id = session.entry_.id_] {
        if (auto *current = find(id); current != nullptr) {
            current->renewalQueued_ = false;
            renew(*current);
        }
    });
}

auto WorkerSessions::onRenewResponse(
    const WorkerId &id, std::uint64_t incarnation, BootTime sentAt, const RenewCommand &command, const CommandResponse &response) -> void
{
    auto *session = find(id);
    if (session == nullptr || session->incarnation_ != incarnation || session->fencingToken_ != command.fencingToken_) {
        return;
    }
    session->renewing_ = false;
    const auto atOtherAddress = command.address_ != session->entry_.address_ && !session->entry_.address_.empty();
    if (atOtherAddress && (response.outcome_ != CommandOutcome::Accepted || response.report_.incarnation_ == incarnation)) {
        // Only an answer of the announced incarnation counts there; the known one is asked at its own address again.
        LogLine(LogSeverity::Warning, "worker_entry_unconfirmed")
            .with("worker", id.value())
            .with("address", command.address_)
            .with("outcome", toString(response.outcome_))
            .with("reason", response.reason_);
        session->announced_.reset();
        renew(*session);
        return;
    }
    // Without an earlier answer from there the worker may be at another address, and its runs end with their lease.
    if (response.outcome_ == CommandOutcome::WorkerReplaced && session->responded_) {
        endRunsOfReplacedWorker(*session);
        return;
    }
    const auto reported = response.report_.incarnation_;
    if (response.outcome_ == CommandOutcome::Accepted && reported != 0 && incarnation != 0 && reported != incarnation) {
        replaceIncarnation(*session, response.report_);
    } else if (response.outcome_ == CommandOutcome::Accepted) {
        session->incarnation_ = incarnation == 0 ? reported : incarnation;
        session->renewedAt_ = sentAt;
        session->lastEndAcknowledged_ = std::max(session->lastEndAcknowledged_, command.acknowledged_);
        if (session->announced_) {
            LogLine(LogSeverity::Warning, "worker_entry_unconfirmed")
                .with("worker", id.value())
                .with("born", incarnation)
                .with("announced", session->announced_->incarnation_);
            session->announced_.reset();
        }
        updateClock(*session, response.report_.clock_);
        onReport(*session, sentAt, command.fencingToken_, response.report_);
    } else if (response.outcome_ == CommandOutcome::Fenced) {
        events_.fenced_(id);
        return;
    } else {
        onRenewFailure(*session, response);
        return;
    }
    renew(*session);
}

auto WorkerSessions::onRenewFailure(WorkerSession &session, const CommandResponse &response) -> void
{
    if (session.unreachableSince_ == BootTime{}) {
        session.unreachableSince_ = BootClock::now();
        LogLine(LogSeverity::Warning, "worker_lost")
            .with("worker", session.entry_.id_.value())
            .with("runs", session.runs_.size())
            .with("outcome", toString(response.outcome_))
            .with("reason", response.reason_);
    }
    const auto pause = session.runs_.empty() ? options_.idleProbeInterval_ : options_.renewalRetryDelay_;
    schedule_(pause, [this, alive = std::weak_ptr(alive_), id = session.entry_.id_] {
        if (alive.expired()) {
            return;
        }
        if (auto *current = find(id); current != nullptr) {
            queueRenewal(*current);
        }
    });
}

auto WorkerSessions::onReport(WorkerSession &session, BootTime sentAt, std::uint64_t token, const WorkerReport &report) -> void
{
    session.reportClock_ = report.clock_;
    if (session.awaitsReport_) {
        // Commands of a previous leader, or for the clock of another incarnation, may have granted a longer lease.
        if (inherited_.mayExist() || session.leaseUntil_.count() > 0) {
            session.leaseUntil_ = std::max(session.leaseUntil_, report.clock_ + longestUnknownGrant(session));
        }
        session.awaitsReport_ = false;
        events_.capacityChanged_();
    }
    std::set<RunKey> reported;
    for (const auto &run : report.running_) {
        reported.emplace(run.task_, run.run_);
        onReportedRun(session, run);
    }
    onReportedEnds(session, report);
    // A run in neither list no longer exists, provided that the report is newer than the run's last known state.
    std::vector<RunKey> missing;
    for (auto &[key, run] : session.runs_) {
        const auto newer = token > run.startToken_ || (run.acceptedAt_ != BootTime{} && run.acceptedAt_ <= sentAt);
        // A start command that is still under way will be answered itself.
        const auto started = run.stage_ != RunStage::Recorded && run.stage_ != RunStage::StartSent;
        const auto isMissing = newer && started && !reported.contains(key);
        run.endMayFollow_ = isMissing && report.moreEnds_;
        if (run.endMayFollow_) {
            // The report tells nothing of the run's progress either.
            run.progressClock_ = report.clock_;
        } else if (isMissing) {
            missing.push_back(key);
        }
    }
    for (const auto &key : missing) {
        auto &run = session.runs_[key];
        const auto neverStarted = run.acceptedAt_ == BootTime{};
        const auto mayStart = neverStarted && run.stage_ == RunStage::InDoubt && run.startCommands_ < options_.maxStartCommands_;
        if (mayStart && session.statedSilent_) {
            // A later report decides, when the worker may get a lease again.
            continue;
        }
        if (mayStart) {
            // The former command is fenced, but another incarnation of the worker would not know the fence. While the run stays on this
            // worker, that incarnation can only start the run that it is expected to start.
            run.stage_ = RunStage::Recorded;
            events_.startNotExecuted_(session.entry_.id_, key.first, key.second);
            continue;
        }
        endRun(session, key, RunOutcome::Lost, {}, neverStarted, "the worker does not report the run");
    }
}

auto WorkerSessions::longestUnknownGrant(const WorkerSession &session) const -> std::chrono::milliseconds
{
    auto longest = session.adopted_ && !session.runs_.empty() ? std::chrono::milliseconds(0) : options_.maxLease_;
    for (const auto &[key, run] : session.runs_) {
        longest = std::max(longest, inherited_.longestGrant(session.entry_.id_, run));
    }
    return longest;
}

auto WorkerSessions::onReportedRun(WorkerSession &session, const ReportedRun &reported) -> void
{
    const auto found = session.runs_.find({reported.task_, reported.run_});
    if (found == session.runs_.end()) {
        LogLine(LogSeverity::Warning, "unexpected_run_stopped")
            .job(reported.task_.job_.value())
            .with("task", toString(reported.task_))
            .with("run", reported.run_)
            .with("worker", session.entry_.id_.value())
            .with("born", session.incarnation_);
        WorkerRun unexpected;
        unexpected.stage_ = RunStage::Stopping;
        unexpected.demand_ = events_.unexpectedRun_(session.entry_.id_, reported.task_, reported.run_);
        unexpected.acceptedAt_ = BootClock::now();
        unexpected.placedAt_ = unexpected.acceptedAt_;
        unexpected.reported_ = true;
        place(session.entry_.id_, reported.task_, reported.run_, std::move(unexpected));
        sendStop(session, reported.task_, reported.run_);
        return;
    }
    auto &run = found->second;
    run.reported_ = true;
    const auto now = BootClock::now();
    if (reported.percent_ != run.percent_) {
        run.percent_ = reported.percent_;
        run.progressAt_ = now;
        session.lastHealthyAt_ = now;
        run.progressClock_ = session.clock_;
    }
    if (!reported.checkpoint_.empty()) {
        run.checkpoint_ = reported.checkpoint_;
    }
    if (run.stage_ == RunStage::InDoubt || run.stage_ == RunStage::StartSent) {
        run.stage_ = RunStage::Running;
        run.acceptedAt_ = now;
        run.progressAt_ = now;
        run.progressClock_ = session.clock_;
        events_.runStarted_(session.entry_.id_, reported.task_, reported.run_);
    }
}

auto WorkerSessions::onReportedEnds(WorkerSession &session, const WorkerReport &report) -> void
{
    for (const auto &end : report.ended_) {
        if (end.number_ <= session.lastEndSeen_) {
            continue;
        }
        session.lastEndSeen_ = end.number_;
        if (!session.runs_.contains({end.task_, end.run_})) {
            // The run was already declared ended before this report arrived; its actual end still counts.
            events_.runEnded_({session.entry_.id_,
                               end.task_,
                               end.run_,
                               end.kind_,
                               end.checkpoint_,
                               false,
                               "reported by the worker after the run was declared ended",
                               {},
                               session.incarnation_,
                               true,
                               end.number_,
                               false});
            continue;
        }
        endRun(session, {end.task_, end.run_}, end.kind_, end.checkpoint_, false, "reported by the worker", end.number_);
    }
}
} // namespace Marjoramfold
