#include "marjoramfold/entry/joblog.h"

#include "marjoramfold/core/jobjson.h"
#include "marjoramfold/entry/jobtrace.h"

#include <glog/logging.h>

#include <utility>

namespace Marjoramfold
{
namespace
{
// A caller waits for the append of its submission or cancellation.
constexpr std::chrono::milliseconds CallerAppendTimeout{4'000};

// Decisions of the scheduler must reach the log however long an outage lasts.
constexpr std::chrono::milliseconds DecisionAppendTimeout = std::chrono::hours(24);

constexpr std::chrono::milliseconds RetryAfter{2'000};

auto appendOptions() -> AppendQueueOptions
{
    AppendQueueOptions options;
    options.stream_ = LogStream::Control;
    options.maxRecords_ = 16'384;
    return options;
}

auto followerOptions() -> LogFollowerOptions
{
    LogFollowerOptions options;
    options.stream_ = LogStream::Control;
    return options;
}

/// Error for a caller whose appends were not all confirmed. Only if no record can be in the log does it say that nothing ran.
auto appendError(bool mayBeInLog, const std::string &reason) -> Error
{
    if (!mayBeInLog) {
        return {ErrorKind::LogUnavailable, "the platform's log did not accept the record: " + reason, RetryAfter};
    }
    return {ErrorKind::MaybeRan, "the platform's log did not confirm the append; query the job by its id", RetryAfter};
}

auto idsJson(const std::vector<WorkerId> &ids) -> nlohmann::json
{
    auto json = nlohmann::json::array();
    for (const auto &id : ids) {
        json.push_back(id.value());
    }
    return json;
}

/// Joins several appends into one answer to the caller: the document if all were appended, else an error.
/// The records may be in different batches, so one of them may be in the log although another is not.
class AppendJoin
{
public:
    AppendJoin(std::size_t count, nlohmann::json document, JsonCallback done)
        : remaining_(count)
        , document_(std::move(document))
        , done_(std::move(done))
    {
    }

    auto report(const AppendReport &report) -> void
    {
        if (!done_) {
            return;
        }
        if (report.outcome_ == AppendOutcome::NotAppended) {
            failureReason_ = report.error_.message_;
        } else {
            mayBeInLog_ = true;
        }
        allAppended_ = allAppended_ && report.outcome_ == AppendOutcome::Appended;
        if (--remaining_ > 0) {
            return;
        }
        const auto done = std::exchange(done_, nullptr);
        if (allAppended_) {
            done(std::move(document_));
        } else {
            done(appendError(mayBeInLog_, failureReason_));
        }
    }

private:
    std::size_t remaining_;
    nlohmann::json document_;
    JsonCallback done_;
    bool allAppended_ = true;
    bool mayBeInLog_ = false;
    std::string failureReason_;
};
} // namespace

JobLog::JobLog(asio::io_context &context, LogClient &log, Clock clock, JobLogHooks hooks)
    : clock_(std::move(clock))
    , hooks_(std::move(hooks))
    , appends_(context, log, clock_, appendOptions())
    , follower_(context,
                log,
                clock_,
                followerOptions(),
                {[this](Offset first) {
                     ledger_.startReading(first);
                     hooks_.onBegin_(first);
                 },
                 [this](const std::vector<FollowedRecord> &records) {
                     handleRecords(records);
                 },
                 [this] {
                     ledger_.noteReadUpTo(follower_.position());
                 }})
{
}

auto JobLog::start() -> void
{
    started_ = true;
    follower_.start();
}

auto JobLog::hasStarted() const -> bool
{
    return started_;
}

auto JobLog::append(const Record &record, AppendCallback done) -> void
{
    appends_.append(record, CallerAppendTimeout, std::move(done));
}

auto JobLog::submit(const JobSpec &spec, const AvailabilityZoneId &zone, JsonCallback done) -> void
{
    const nlohmann::json document{{"id", spec.id_.value()}, {"availability_zone", zone.value()}, {"trace", toHex(traceOfJob(spec.id_).traceId_)}};
    auto join = std::make_shared<AppendJoin>(2, document, std::move(done));
    const auto report = [join](const AppendReport &outcome) {
        join->report(outcome);
    };
    appends_.append(JobSubmittedRecord{hooks_.newRecordId_(), spec}, CallerAppendTimeout, report);
    JobAssignedRecord assigned;
    assigned.id_ = hooks_.newRecordId_();
    assigned.job_ = spec.id_;
    assigned.zone_ = zone;
    appends_.append(assigned, CallerAppendTimeout, report);
}

auto JobLog::cancel(const std::vector<JobId> &jobs, JsonCallback done) -> void
{
    auto ids = nlohmann::json::array();
    for (const auto &job : jobs) {
        ids.push_back(job.value());
    }
    if (jobs.empty()) {
        done(nlohmann::json{{"cancelled", std::move(ids)}});
        return;
    }
    auto join = std::make_shared<AppendJoin>(jobs.size(), nlohmann::json{{"cancelled", std::move(ids)}}, std::move(done));
    for (const auto &job : jobs) {
        appends_.append(JobCancelledRecord{hooks_.newRecordId_(), job, "cancelled by a caller"}, CallerAppendTimeout, [join](const AppendReport &outcome) {
            join->report(outcome);
        });
    }
}

auto JobLog::recordDecision(const AvailabilityZoneId &zone, Epoch epoch, const SchedulerCommand &command) -> void
{
    if (const auto *started = std::get_if<JobStarted>(&command)) {
        decidedAttempts_[started->job_] = started->attempt_;
        JobStartedRecord record{hooks_.newRecordId_(), zone, epoch.claim_, started->job_, started->attempt_, {}};
        record.workers_.resize(started->placements_.size());
        for (const auto &placement : started->placements_) {
            record.workers_.at(placement.task_.index_) = placement.worker_;
        }
        appendDecision(record, started->job_);
    } else if (const auto *requeued = std::get_if<JobRequeued>(&command)) {
        decidedAttempts_[requeued->job_] = requeued->nextAttempt_;
        appendDecision(
            JobPreemptedRecord{hooks_.newRecordId_(), zone, epoch.claim_, requeued->job_, requeued->nextAttempt_, requeued->progress_, requeued->reason_},
            requeued->job_);
    } else if (const auto *ended = std::get_if<JobEnded>(&command)) {
        JobFinishedRecord record;
        record.id_ = hooks_.newRecordId_();
        record.zone_ = zone;
        record.epoch_ = epoch.claim_;
        record.job_ = ended->job_;
        record.attempt_ = currentAttempt(ended->job_);
        record.state_ = ended->state_;
        record.reason_ = ended->reason_;
        if (ended->rule_) {
            record.ruleLine_ = ended->rule_->number_;
            record.ruleText_ = ended->rule_->text_;
        }
        appendDecision(record, ended->job_);
    } else if (const auto *moved = std::get_if<JobReassigned>(&command)) {
        if (const auto *status = ledger_.find(moved->job_)) {
            appendDecision(makeReassignment(hooks_.newRecordId_(), *status, epoch.claim_, moved->to_, moved->nextAttempt_, moved->progress_), moved->job_);
        }
    }
}

auto JobLog::snapshotIfDue(const AvailabilityZoneId &zone, std::chrono::milliseconds retention) -> void
{
    if (pendingSnapshots_.contains(zone) || !ledger_.isSnapshotDue(zone, clock_.wallNow_(), retention)) {
        return;
    }
    const auto records = ledger_.snapshot(zone, hooks_.newRecordId_().value(), nlohmann::json::object());
    if (records.empty()) {
        return;
    }
    pendingSnapshots_.insert(zone);
    for (std::size_t i = 0; i < records.size(); ++i) {
        const auto isLast = i + 1 == records.size();
        appends_.append(records[i], DecisionAppendTimeout, [this, zone, isLast](const AppendReport &report) {
            if (isLast) {
                pendingSnapshots_.erase(zone);
                LOG(INFO) << "snapshot_written availability_zone=" << zone.value() << " appended=" << (report.outcome_ == AppendOutcome::Appended);
            }
        });
    }
}

auto JobLog::ledger() -> JobLedger &
{
    return ledger_;
}

auto JobLog::ledger() const -> const JobLedger &
{
    return ledger_;
}

auto JobLog::confirmedAt() const -> std::optional<SteadyTime>
{
    return follower_.confirmedAt();
}

auto JobLog::unreachableSince() const -> std::optional<SteadyTime>
{
    return follower_.unreachableSince();
}

auto JobLog::pendingAppends() const -> std::size_t
{
    return appends_.pending();
}

auto JobLog::handleRecords(const std::vector<FollowedRecord> &records) -> void
{
    std::set<JobId> changed;
    for (const auto &record : records) {
        for (const auto &job : ledger_.apply(record.offset_, record.time_, record.record_)) {
            changed.insert(job);
        }
        trackStart(record);
        hooks_.onRecord_(record);
    }
    const auto isRemoved = [this](const auto &entry) {
        return ledger_.find(entry.first) == nullptr;
    };
    std::erase_if(starts_, isRemoved);
    std::erase_if(decidedAttempts_, isRemoved);
    if (!changed.empty()) {
        hooks_.onJobsChanged_(changed);
    }
}

auto JobLog::appendDecision(const Record &record, const JobId &job) -> void
{
    appends_.append(record, DecisionAppendTimeout, [job](const AppendReport &report) {
        if (report.outcome_ == AppendOutcome::NotAppended) {
            LOG(ERROR) << "decision_not_recorded job=" << job.value() << " error=\"" << toString(report.error_) << "\"";
        }
    });
}

auto JobLog::currentAttempt(const JobId &job) const -> std::uint32_t
{
    // The ledger may not have read the newest decision yet.
    const auto *status = ledger_.find(job);
    const auto recorded = status == nullptr ? 0 : status->attempt_;
    const auto decided = decidedAttempts_.find(job);
    return decided == decidedAttempts_.end() ? recorded : std::max(recorded, decided->second);
}

auto JobLog::describe(const JobStatus &status) const -> nlohmann::json
{
    nlohmann::json json{{"id", status.spec_.id_.value()},
                        {"state", toString(status.state_)},
                        {"availability_zone", status.zone_.value()},
                        {"attempt", status.attempt_},
                        {"progress_ms", status.progress_.count()},
                        {"workers", idsJson(status.workers_)},
                        {"reason", status.reason_},
                        {"submitted_ms", toUnixMilliseconds(status.submitted_).count()},
                        {"trace", toHex(traceOfJob(status.spec_.id_).traceId_)},
                        {"job", toJson(status.spec_)}};
    if (const auto start = starts_.find(status.spec_.id_); start != starts_.end()) {
        json["started_ms"] = toUnixMilliseconds(start->second.firstStart_).count();
        json["last_workers"] = idsJson(start->second.lastWorkers_);
    }
    if (isFinal(status.state_)) {
        json["ended_ms"] = toUnixMilliseconds(status.ended_).count();
    }
    if (!status.ruleText_.empty()) {
        json["rule"] = {{"line", status.ruleLine_}, {"text", status.ruleText_}};
    }
    return json;
}

auto JobLog::trackStart(const FollowedRecord &record) -> void
{
    const auto *started = std::get_if<JobStartedRecord>(&record.record_);
    if (started == nullptr || ledger_.find(started->job_) == nullptr) {
        return;
    }
    const auto [info, isFirst] = starts_.try_emplace(started->job_);
    if (isFirst) {
        info->second.firstStart_ = record.time_;
    }
    info->second.lastWorkers_ = started->workers_;
}
} // namespace Marjoramfold
