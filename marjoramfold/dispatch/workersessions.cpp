#include "marjoramfold/dispatch/workersessions.h"

#include "marjoramfold/core/namedvalues.h"
#include "marjoramfold/observability/check.h"
#include "marjoramfold/observability/logline.h"

#include <algorithm>

namespace Marjoramfold
{
namespace
{
/// Low bits of a fencing token, below the epoch; a leader issues fewer than 2^20 tokens.
constexpr unsigned TokenCounterBits = 20;

/// Lines on runs of silent workers: at most so many a tick, one for each worker in this interval, and none for a short disturbance.
constexpr unsigned MaxProofLinesPerTick = 4;
constexpr std::chrono::seconds ProofLogInterval{5};
constexpr std::chrono::milliseconds MinLoggedSilence{1000};

constexpr std::array StageNames{
    NamedValue<RunStage>{RunStage::Recorded, "recorded"},
    NamedValue<RunStage>{RunStage::StartSent, "ordered"},
    NamedValue<RunStage>{RunStage::InDoubt, "in_doubt"},
    NamedValue<RunStage>{RunStage::Running, "running"},
    NamedValue<RunStage>{RunStage::Stopping, "stopping"},
};

auto milliseconds(BootTime::duration time) -> std::chrono::milliseconds
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(time);
}
} // namespace

auto toString(RunStage stage) -> std::string_view
{
    return nameOf(StageNames, stage);
}

WorkerSessions::WorkerSessions(DispatchOptions options, std::uint64_t epoch, WorkerCalls calls, SessionEvents events, Schedule schedule, WorkMeter *workMeter)
    : options_(options)
    , epoch_(epoch)
    , calls_(std::move(calls))
    , events_(std::move(events))
    , schedule_(std::move(schedule))
    , commands_(schedule_, options_.commandsPerTurn_, workMeter)
    , inherited_(options)
    , alive_(std::make_shared<bool>(true))
{
}

WorkerSessions::~WorkerSessions() = default;

auto WorkerSessions::shutDown() -> void
{
    alive_.reset();
    commands_.stop();
}

auto WorkerSessions::queueCommand(CommandLane lane, std::function<void()> send) -> void
{
    commands_.add(lane, std::move(send));
}

auto WorkerSessions::limitFormerCommands(const FormerCommands &former) -> void
{
    inherited_.setFormerCommands(former);
}

auto WorkerSessions::startRenewals(const FormerCommands &former) -> void
{
    inherited_.setFormerCommands(former);
    for (const auto &[id, session] : sessions_) {
        queueRenewal(*session);
    }
}

auto WorkerSessions::all() const -> const WorkerSessionMap &
{
    return sessions_;
}

auto WorkerSessions::find(const WorkerId &id) const -> WorkerSession *
{
    const auto found = sessions_.find(id);
    return found == sessions_.end() ? nullptr : found->second.get();
}

auto WorkerSessions::findOrCreate(const WorkerId &id) -> WorkerSession &
{
    auto &slot = sessions_[id];
    if (!slot) {
        slot = std::make_unique<WorkerSession>();
        slot->entry_.id_ = id;
        slot->listed_ = false;
        slot->unlistedAt_ = BootClock::now();
        slot->fencingToken_ = nextToken();
        // The start command of a run that a former leader declared ended may still be on its way; no record names that run.
        slot->awaitsReport_ = true;
    }
    return *slot;
}

auto WorkerSessions::nextToken() -> std::uint64_t
{
    ++tokensIssued_;
    check(tokensIssued_ < (1ULL << TokenCounterBits), "the leader has tokens left");
    return (epoch_ << TokenCounterBits) + tokensIssued_;
}

auto WorkerSessions::adoptRun(const WorkerId &worker, std::uint64_t incarnation, const TaskRef &task, std::uint32_t run, WorkerRun state) -> void
{
    auto &session = findOrCreate(worker);
    if (const auto found = session.runs_.find({task, run}); found != session.runs_.end()) {
        // The worker reported the run before its job was known, so it is being stopped.
        session.used_ -= found->second.demand_;
        session.used_ += state.demand_;
        found->second.demand_ = state.demand_;
        return;
    }
    state.stage_ = RunStage::InDoubt;
    state.progressAt_ = state.placedAt_;
    place(worker, task, run, std::move(state));
    if (session.incarnation_ == 0) {
        session.incarnation_ = incarnation;
    }
    session.adopted_ = true;
    session.awaitsReport_ = true;
    renew(session);
}

auto WorkerSessions::endAdoptedRun(const RunEnded &end) -> void
{
    if (auto *session = find(end.worker_); session != nullptr) {
        endRun(*session, {end.task_, end.run_}, end.kind_, end.checkpoint_, end.neverStarted_, end.reason_, end.number_);
    }
}

auto WorkerSessions::place(const WorkerId &worker, const TaskRef &task, std::uint32_t run, WorkerRun state) -> void
{
    auto &session = findOrCreate(worker);
    session.used_ += state.demand_;
    session.runs_[{task, run}] = std::move(state);
}

auto WorkerSessions::nextLeaseEnd(const WorkerSession &session, BootTime now) const -> std::chrono::milliseconds
{
    return session.clock_ + milliseconds(now - session.clockAt_) + std::min(options_.requestedLease_, options_.maxLease_);
}

auto WorkerSessions::updateClock(WorkerSession &session, std::chrono::milliseconds clock) -> void
{
    session.clock_ = clock;
    session.clockAt_ = BootClock::now();
    session.responded_ = true;
    if (session.unreachableSince_ != BootTime{}) {
        LogLine(LogSeverity::Info, "worker_regained").with("worker", session.entry_.id_.value());
        session.unreachableSince_ = {};
    }
}

auto WorkerSessions::start(const WorkerId &worker, const TaskRef &task, std::uint32_t run, const std::string &payload, const std::string &checkpoint) -> void
{
    auto *session = find(worker);
    const RunKey key(task, run);
    if (session == nullptr || !session->runs_.contains(key)) {
        return;
    }
    auto &state = session->runs_[key];
    check(state.stage_ == RunStage::Recorded, "a start command is sent once for a recorded run");
    state.stage_ = RunStage::StartSent;
    const auto until = nextLeaseEnd(*session, BootClock::now());
    session->leaseUntil_ = std::max(session->leaseUntil_, until);
    session->leaseRequestedAt_ = BootClock::now();
    const auto token = session->fencingToken_;
    const auto incarnation = session->incarnation_;
    state.startToken_ = token;
    ++state.startCommands_;
    LogLine(LogSeverity::Info, "run_ordered")
        .job(task.job_.value())
        .with("task", toString(task))
        .with("run", run)
        .with("worker", worker.value())
        .with("token", token)
        .with("lease_until_ms", until.count())
        .with("worker_clock_age_ms", milliseconds(BootClock::now() - session->clockAt_).count());
    calls_.start_({worker, session->entry_.address_, task, run, payload, checkpoint, token, until},
                  [this, alive = std::weak_ptr(alive_), worker, incarnation, key, token](const CommandResponse &response) {
                      if (!alive.expired()) {
                          onStartResponse(worker, incarnation, key, token, response);
                      }
                  });
}

auto WorkerSessions::onStartResponse(const WorkerId &id, std::uint64_t incarnation, const RunKey &key, std::uint64_t token, const CommandResponse &response)
    -> void
{
    auto *session = find(id);
    if (session == nullptr || session->incarnation_ != incarnation) {
        return;
    }
    if (response.outcome_ != CommandOutcome::Accepted) {
        LogLine(LogSeverity::Warning, "start_not_accepted")
            .job(key.first.job_.value())
            .with("task", toString(key.first))
            .with("run", key.second)
            .with("worker", id.value())
            .with("outcome", toString(response.outcome_))
            .with("reason", response.reason_);
    }
    if (response.outcome_ == CommandOutcome::WorkerReplaced && session->responded_) {
        endRunsOfReplacedWorker(*session);
        return;
    }
    if (response.clock_.count() > 0) {
        updateClock(*session, response.clock_);
    }
    if (response.outcome_ == CommandOutcome::NotConnected && session->unreachableSince_ == BootTime{}) {
        // Without this, the run would be placed on the same worker again at once.
        onRenewFailure(*session, response);
    }
    const auto found = session->runs_.find(key);
    if (found == session->runs_.end()) {
        return;
    }
    auto &state = found->second;
    switch (response.outcome_) {
    case CommandOutcome::Accepted:
        state.acceptedAt_ = BootClock::now();
        state.startTimeKnown_ = true;
        state.progressAt_ = state.acceptedAt_;
        state.progressClock_ = session->clock_;
        if (state.stage_ == RunStage::StartSent || state.stage_ == RunStage::InDoubt) {
            state.stage_ = RunStage::Running;
            events_.runStarted_(id, key.first, key.second);
        } else if (state.stage_ == RunStage::Stopping) {
            sendStop(*session, key.first, key.second);
        }
        renew(*session);
        break;
    case CommandOutcome::Fenced:
        if (token == session->fencingToken_) {
            events_.fenced_(id);
            break;
        }
        [[fallthrough]];
    case CommandOutcome::Refused:
    case CommandOutcome::LeaseExpired:
    case CommandOutcome::NotConnected:
        if (response.outcome_ == CommandOutcome::Refused || response.outcome_ == CommandOutcome::LeaseExpired) {
            events_.startRefused_(id, key.first);
        }
        endRun(*session, key, RunOutcome::Lost, {}, true, response.reason_);
        break;
    case CommandOutcome::WorkerReplaced:
        session->quarantine(BootClock::now(), options_.quarantineTime_);
        endRun(*session, key, RunOutcome::Lost, {}, true, "another worker responds at the address");
        break;
    case CommandOutcome::Unknown:
        if (state.stage_ == RunStage::StartSent) {
            state.stage_ = RunStage::InDoubt;
        }
        fenceAndQuery(*session);
        break;
    }
}

auto WorkerSessions::fenceAndQuery(WorkerSession &session) -> void
{
    // A higher token fences every command still in flight, so reports requested with it show which commands were executed.
    session.fencingToken_ = nextToken();
    session.renewing_ = false;
    renew(session);
}

auto WorkerSessions::cancelUnsentStart(const WorkerId &worker, const TaskRef &task, std::uint32_t run, const std::string &reason) -> void
{
    if (auto *session = find(worker); session != nullptr) {
        endRun(*session, {task, run}, RunOutcome::Lost, {}, true, reason);
    }
}

auto WorkerSessions::stop(const WorkerId &worker, const TaskRef &task, std::uint32_t run) -> void
{
    auto *session = find(worker);
    if (session == nullptr) {
        return;
    }
    const auto found = session->runs_.find({task, run});
    if (found == session->runs_.end()) {
        return;
    }
    auto &state = found->second;
    if (state.stage_ == RunStage::Recorded || state.stage_ == RunStage::Stopping) {
        // The scheduler drops an unsent start command when its record is confirmed.
        return;
    }
    state.stage_ = RunStage::Stopping;
    state.stopSentAt_ = BootClock::now();
    queueCommand(CommandLane::Runs, [this, worker, task, run] {
        if (auto *current = find(worker); current != nullptr && current->runs_.contains({task, run})) {
            sendStop(*current, task, run);
            renew(*current);
        }
    });
}

auto WorkerSessions::sendStop(WorkerSession &session, const TaskRef &task, std::uint32_t run) -> void
{
    if (const auto found = session.runs_.find({task, run}); found != session.runs_.end()) {
        found->second.stopSentAt_ = BootClock::now();
    }
    if (session.address().empty()) {
        return;
    }
    const auto id = session.entry_.id_;
    const auto token = session.fencingToken_;
    calls_.stop_({id, session.entry_.address_, task, run, token}, [this, alive = std::weak_ptr(alive_), id, token, task](const CommandResponse &response) {
        if (alive.expired()) {
            return;
        }
        if (response.outcome_ != CommandOutcome::Accepted) {
            LogLine(LogSeverity::Warning, "stop_not_accepted")
                .job(task.job_.value())
                .with("task", toString(task))
                .with("worker", id.value())
                .with("outcome", toString(response.outcome_))
                .with("reason", response.reason_);
        }
        if (const auto *current = find(id); response.outcome_ == CommandOutcome::Fenced && current != nullptr && current->fencingToken_ == token) {
            events_.fenced_(id);
        }
    });
}

auto WorkerSessions::acknowledgeEnds(const std::vector<ReportedEnds> &recorded) -> void
{
    for (const auto &ends : recorded) {
        if (auto *session = find(ends.worker_); session != nullptr && session->incarnation_ == ends.incarnation_ && ends.upTo_ <= session->lastEndSeen_) {
            session->lastEndRecorded_ = std::max(session->lastEndRecorded_, ends.upTo_);
            queueRenewal(*session);
        }
    }
}

auto WorkerSessions::unrecordedEnds() const -> std::vector<ReportedEnds>
{
    std::vector<ReportedEnds> ends;
    for (const auto &[id, session] : sessions_) {
        if (session->lastEndSeen_ > session->lastEndRecorded_) {
            ends.push_back({id, session->incarnation_, session->lastEndSeen_});
        }
    }
    return ends;
}

auto WorkerSessions::endRun(
    WorkerSession &session, RunKey key, RunOutcome kind, const std::string &checkpoint, bool neverStarted, const std::string &reason, std::uint64_t number)
    -> void
{
    const auto found = session.runs_.find(key);
    if (found == session.runs_.end()) {
        return;
    }
    const auto run = std::move(found->second);
    session.runs_.erase(found);
    session.used_ -= run.demand_;
    const auto ranFor = run.acceptedAt_ == BootTime{} ? std::chrono::milliseconds(0) : milliseconds(BootClock::now() - run.acceptedAt_);
    events_.runEnded_({session.entry_.id_,
                       key.first,
                       key.second,
                       kind,
                       checkpoint.empty() ? run.checkpoint_ : checkpoint,
                       neverStarted,
                       reason,
                       ranFor,
                       session.incarnation_,
                       run.reported_,
                       number,
                       run.startTimeKnown_});
    events_.capacityChanged_();
}

auto WorkerSessions::endAllRuns(WorkerSession &session, RunOutcome kind, const std::string &reason) -> void
{
    while (!session.runs_.empty()) {
        endRun(session, session.runs_.begin()->first, kind, {}, false, reason);
    }
}

auto WorkerSessions::leaseEnd(const WorkerSession &session, const WorkerRun &run) const -> std::optional<BootTime>
{
    const auto stretched = [this](std::chrono::milliseconds time) {
        return std::chrono::duration_cast<BootTime::duration>(time * (1.0 / (1.0 - options_.maxClockDrift_)));
    };
    if (session.leaseUntil_.count() == 0 && !session.adopted_) {
        // No command was sent yet.
        return std::nullopt;
    }
    if (!session.responded_ && session.adopted_) {
        // This leader requests no lease before the worker has answered.
        return inherited_.endOf(session.entry_.id_, run);
    }
    const auto longest = std::max(session.clockAt_, session.leaseRequestedAt_ + options_.commandTimeout_) + stretched(options_.maxLease_);
    if (run.stage_ != RunStage::Recorded && !run.reported_) {
        // An incarnation with another clock may have accepted the run, and shortened the requested lease only to the longest one.
        return longest + options_.leaseMargin_;
    }
    const auto remaining = std::max(std::chrono::milliseconds(0), session.leaseUntil_ - session.clock_);
    // A lease end that was computed for another clock is shortened by the worker to the longest lease.
    return std::min(session.clockAt_ + stretched(remaining), longest) + options_.leaseMargin_;
}

auto WorkerSessions::endRunsWithExpiredLease(WorkerSession &session, BootTime now) -> void
{
    std::vector<RunKey> expired;
    for (const auto &[key, run] : session.runs_) {
        if (const auto end = leaseEnd(session, run); end && now > *end) {
            expired.push_back(key);
        }
    }
    for (const auto &key : expired) {
        endRun(session, key, RunOutcome::LeaseExpired, {}, false, "the lease has expired");
    }
}

auto WorkerSessions::logAwaitedProof(WorkerSession &session, BootTime now) const -> bool
{
    const auto &[key, run] = *session.runs_.begin();
    const auto silent = session.unreachableSince_ != BootTime{} && now - session.unreachableSince_ >= MinLoggedSilence;
    if (!silent || now - session.proofLoggedAt_ < ProofLogInterval) {
        return false;
    }
    session.proofLoggedAt_ = now;
    std::optional<BootTime> latest;
    for (const auto &[other, state] : session.runs_) {
        latest = std::max(latest, leaseEnd(session, state));
    }
    LogLine(LogSeverity::Warning, "runs_await_proof")
        .job(key.first.job_.value())
        .with("worker", session.entry_.id_.value())
        .with("runs", session.runs_.size())
        .with("task", toString(key.first))
        .with("run", key.second)
        .with("stage", toString(run.stage_))
        .with("proof", latest ? "report_or_lease_end" : "report")
        .with("lease_ends_in_ms", latest ? milliseconds(*latest - now).count() : -1)
        .with("lease_bound", session.adopted_ && !session.responded_ ? toString(inherited_.boundOf(session.entry_.id_, run)) : "granted")
        .with("silent_ms", milliseconds(now - session.unreachableSince_).count())
        .with("adopted", session.adopted_);
    return true;
}

auto WorkerSessions::tick(BootTime now) -> void
{
    std::erase_if(sessions_, [this, now](const auto &entry) {
        const auto &session = *entry.second;
        return !session.listed_ && session.runs_.empty() && now - session.unlistedAt_ > options_.unlistedSessionRetention_;
    });
    std::vector<WorkerId> ids;
    for (const auto &[id, session] : sessions_) {
        if (!session->runs_.empty()) {
            ids.push_back(id);
        }
    }
    auto proofLinesLeft = MaxProofLinesPerTick;
    for (const auto &id : ids) {
        auto &session = *sessions_[id];
        if (session.unreachableSince_ != BootTime{} || !session.responded_) {
            endRunsWithExpiredLease(session, now);
            if (session.runs_.empty()) {
                continue;
            }
            if (proofLinesLeft > 0 && logAwaitedProof(session, now)) {
                --proofLinesLeft;
            }
        }
        for (const auto &[key, run] : session.runs_) {
            if (run.stage_ == RunStage::Stopping && now - run.stopSentAt_ > options_.maxStopTime_ + options_.commandTimeout_) {
                sendStop(session, key.first, key.second);
                break;
            }
        }
        queueRenewal(session);
    }
}
} // namespace Marjoramfold
