#include "marjoramfold/dispatch/workersessions.h"
#include "marjoramfold/observability/logline.h"

#include <algorithm>
#include <set>
#include <utility>
#include <vector>

namespace Marjoramfold
{
// List entries, and what follows when a worker is restarted under its id or replaced. Commands are in workersessions.cpp, renewals and
// reports in workerrenewals.cpp.

auto WorkerSessions::updateEntry(const WorkerEntry &entry) -> void
{
    auto &session = findOrCreate(entry.id_);
    // A process keeps its address, and this one has answered at the known one.
    const auto hasEntry = session.entry_.incarnation_ == session.incarnation_ && !session.entry_.address_.empty();
    if (session.responded_ && hasEntry && entry.incarnation_ == session.incarnation_ && entry.address_ != session.entry_.address_) {
        LogLine(LogSeverity::Warning, "worker_entry_unconfirmed")
            .with("worker", entry.id_.value())
            .with("address", entry.address_)
            .with("reason", "the worker has answered at another address");
        return;
    }
    if (session.incarnation_ == 0 || entry.incarnation_ == session.incarnation_) {
        applyEntry(session, entry);
        return;
    }
    if (entry.incarnation_ == 0) {
        LogLine(LogSeverity::Warning, "worker_entry_unconfirmed").with("worker", entry.id_.value()).with("reason", "the entry has no start time");
        return;
    }
    const auto known = session.announced_ && session.announced_->incarnation_ == entry.incarnation_;
    session.announced_ = entry;
    if (!known) {
        LogLine(LogSeverity::Info, "worker_announced")
            .with("worker", entry.id_.value())
            .with("born_before", session.incarnation_)
            .with("born", entry.incarnation_)
            .with("runs", session.runs_.size());
        fenceAndQuery(session);
    }
}

auto WorkerSessions::applyEntry(WorkerSession &session, const WorkerEntry &entry) -> void
{
    const auto changed = !session.isCurrent() || session.entry_.draining_ != entry.draining_ || session.entry_.capacity_ != entry.capacity_;
    session.announced_.reset();
    if (session.incarnation_ == 0 && entry.incarnation_ != 0 && session.renewing_) {
        // The renewal in flight went to the address of an entry without a start time. Its answer says nothing of this incarnation.
        session.renewing_ = false;
        session.fencingToken_ = nextToken();
    }
    session.incarnation_ = session.incarnation_ == 0 ? entry.incarnation_ : session.incarnation_;
    if (entry.draining_ && !session.entry_.draining_) {
        LogLine(LogSeverity::Info, "worker_draining").with("worker", entry.id_.value()).with("remaining_ms", entry.remaining_.count());
    }
    session.entry_ = entry;
    // A worker that was not listed may have executed a command whose response was lost.
    session.awaitsReport_ = session.awaitsReport_ || !session.listed_;
    session.listed_ = true;
    if (!session.responded_) {
        // The entry was written in the past, so its clock value is a lower bound of the worker's clock.
        session.clock_ = entry.clock_;
        session.clockAt_ = BootClock::now();
    }
    // The remaining time counts from when the worker wrote its entry.
    session.drainEndsAt_ = session.clockAt_ + (entry.clock_ + entry.remaining_ - session.clock_);
    queueRenewal(session);
    if (changed) {
        events_.capacityChanged_();
    }
}

auto WorkerSessions::removeEntry(const WorkerId &id) -> void
{
    const auto found = sessions_.find(id);
    if (found == sessions_.end()) {
        return;
    }
    auto &session = *found->second;
    if (session.listed_) {
        LogLine(LogSeverity::Info, "worker_unlisted").with("worker", id.value()).with("runs", session.runs_.size());
    }
    session.listed_ = false;
    session.unlistedAt_ = BootClock::now();
    session.announced_.reset();
}

auto WorkerSessions::removeEntriesExcept(const std::unordered_map<WorkerId, bool> &listed) -> void
{
    std::vector<WorkerId> unlisted;
    for (const auto &[id, session] : sessions_) {
        if (session->listed_ && !listed.contains(id)) {
            unlisted.push_back(id);
        }
    }
    for (const auto &id : unlisted) {
        removeEntry(id);
    }
}

auto WorkerSessions::endRunsOfReplacedWorker(WorkerSession &session) -> void
{
    // A worker with another id responds at the address. It rejects every command for this id, so none of its runs can exist.
    LogLine(LogSeverity::Warning, "worker_replaced").with("worker", session.entry_.id_.value()).with("runs", session.runs_.size());
    session.quarantine(BootClock::now(), options_.quarantineTime_);
    session.adopted_ = false;
    session.awaitsReport_ = false;
    session.announced_.reset();
    // Nobody is left to whom the ends could be acknowledged.
    session.lastEndAcknowledged_ = session.lastEndRecorded_;
    session.unreachableSince_ = {};
    endAllRuns(session, RunOutcome::Lost, "another worker responds at the address");
}

auto WorkerSessions::replaceIncarnation(WorkerSession &session, const WorkerReport &report) -> void
{
    const auto unreported = std::count_if(session.runs_.begin(), session.runs_.end(), [](const auto &run) {
        return run.second.acceptedAt_ != BootTime{} && !run.second.reported_;
    });
    LogLine(LogSeverity::Warning, "worker_restarted")
        .with("worker", session.entry_.id_.value())
        .with("born_before", session.incarnation_)
        .with("born", report.incarnation_)
        .with("runs", session.runs_.size())
        .with("accepted_unreported", unreported);
    session.incarnation_ = report.incarnation_;
    session.lastEndSeen_ = 0;
    session.lastEndRecorded_ = 0;
    session.lastEndAcknowledged_ = 0;
    updateClock(session, report.clock_);
    session.reportClock_ = report.clock_;
    session.leaseUntil_ = report.clock_ + options_.maxLease_;
    session.leaseRequestedAt_ = BootClock::now();
    session.adopted_ = false;
    session.awaitsReport_ = true;
    session.renewing_ = false;
    session.fencingToken_ = nextToken();
    // Runs that only the previous incarnation listed ended with it. The others may have been accepted by either, since the response to a
    // start command does not name the incarnation; a report requested with the new token shows which of them exist.
    std::set<RunKey> reported;
    for (const auto &run : report.running_) {
        reported.emplace(run.task_, run.run_);
    }
    std::vector<RunKey> ended;
    for (auto &[key, run] : session.runs_) {
        if (run.reported_ && !reported.contains(key)) {
            ended.push_back(key);
        } else if (run.stage_ != RunStage::Recorded) {
            run.acceptedAt_ = {};
            run.reported_ = false;
            run.endMayFollow_ = false;
            if (run.stage_ != RunStage::Stopping) {
                run.stage_ = RunStage::InDoubt;
            }
        }
    }
    for (const auto &key : ended) {
        endRun(session, key, RunOutcome::Lost, {}, false, "another incarnation of the worker responded");
    }
    if (session.announced_ && session.announced_->incarnation_ == session.incarnation_) {
        applyEntry(session, WorkerEntry(*session.announced_));
    }
}
} // namespace Marjoramfold
