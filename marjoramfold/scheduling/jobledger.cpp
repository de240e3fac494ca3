#include "marjoramfold/scheduling/jobledger.h"

#include <algorithm>
#include <type_traits>
#include <utility>

namespace Marjoramfold
{
namespace
{
/// A snapshot is due after a quarter of the retention time, which leaves three quarters for outages.
constexpr int SnapshotsPerRetention = 4;

/// Returns null for records that do not concern a job.
auto jobOf(const Record &record) -> const JobId *
{
    return std::visit(
        [](const auto &typed) -> const JobId * {
            using Type = std::decay_t<decltype(typed)>;
            if constexpr (std::is_same_v<Type, JobSubmittedRecord>) {
                return &typed.spec_.id_;
            } else if constexpr (requires { typed.job_; }) {
                return &typed.job_;
            } else {
                return nullptr;
            }
        },
        record);
}
} // namespace

auto makeReassignment(
    RecordId id, const JobStatus &job, Offset epoch, const AvailabilityZoneId &to, std::uint32_t nextAttempt, std::chrono::milliseconds progress)
    -> JobAssignedRecord
{
    const auto attempt = std::max(nextAttempt, job.attempt_ + 1);
    return {std::move(id), job.spec_.id_, job.zone_, epoch, to, attempt, std::max(progress, job.progress_), job.spec_, job.submitted_};
}

JobLedger::JobLedger(JobLedgerOptions options)
    : options_(options)
{
}

auto JobLedger::startReading(Offset first) -> void
{
    epochs_.startReading(first);
    jobs_.clear();
    ended_.clear();
    newestTime_ = {};
    readUpTo_ = first;
    assembler_.clear();
    snapshots_.clear();
    replayRecords_.clear();
    replayRenewals_.clear();
    jobsInSnapshots_.clear();
    first_ = first;
    isStateComplete_ = first <= 1;
}

auto JobLedger::apply(Offset offset, WallTime time, const Record &record) -> std::vector<JobId>
{
    readUpTo_ = std::max(readUpTo_, offset + 1);
    std::vector<JobId> changed;
    if (const auto *part = std::get_if<ZoneSnapshotRecord>(&record)) {
        if (auto snapshot = assembler_.add(time, *part)) {
            changed = onSnapshot(std::move(*snapshot));
        }
    } else {
        if (!isStateComplete_ && isNeededToRebuild(record)) {
            replayRecords_.push_back({offset, time, record});
        }
        if (auto job = applyRecord(offset, time, record)) {
            changed.push_back(std::move(*job));
        }
    }
    removeExpired(time);
    return changed;
}

auto JobLedger::noteReadUpTo(Offset end) -> void
{
    readUpTo_ = std::max(readUpTo_, end);
}

auto JobLedger::setZones(std::set<AvailabilityZoneId> zones) -> void
{
    zones_ = std::move(zones);
    dropReplayRecords();
}

auto JobLedger::isComplete(const AvailabilityZoneId &zone) const -> bool
{
    const auto found = snapshots_.find(zone);
    return isStateComplete_ || (found != snapshots_.end() && found->second.decidedUpTo_ >= first_);
}

auto JobLedger::find(const JobId &job) const -> const JobStatus *
{
    const auto found = jobs_.find(job);
    return found == jobs_.end() ? nullptr : &found->second;
}

auto JobLedger::jobs() const -> const std::map<JobId, JobStatus> &
{
    return jobs_;
}

auto JobLedger::openJobs(const AvailabilityZoneId &zone) const -> std::vector<JobStatus>
{
    std::vector<JobStatus> open;
    for (const auto &[id, job] : jobs_) {
        if (job.zone_ == zone && !isFinal(job.state_)) {
            open.push_back(job);
        }
    }
    return open;
}

auto JobLedger::unassignedJobs() const -> std::vector<JobStatus>
{
    return openJobs(AvailabilityZoneId());
}

auto JobLedger::snapshot(const AvailabilityZoneId &zone, const std::string &name, nlohmann::json estimates) const -> std::vector<ZoneSnapshotRecord>
{
    if (!isComplete(zone)) {
        return {};
    }
    ZoneSnapshot whole{zone, epochs_.find(zone).epoch_, readUpTo_, {}, {}, std::move(estimates)};
    for (const auto &[id, job] : jobs_) {
        // Jobs without a zone are in every snapshot, since they have no owner yet.
        if (job.zone_ == zone || job.zone_.isEmpty()) {
            whole.jobs_.push_back(job);
        }
    }
    return splitSnapshot(std::move(whole), name, options_.maxJobsPerRecord_);
}

auto JobLedger::isSnapshotDue(const AvailabilityZoneId &zone, WallTime now, std::chrono::milliseconds retention) const -> bool
{
    const auto found = snapshots_.find(zone);
    return isComplete(zone) && (found == snapshots_.end() || now - found->second.time_ > retention / SnapshotsPerRetention);
}

auto JobLedger::estimates(const AvailabilityZoneId &zone) const -> nlohmann::json
{
    const auto found = snapshots_.find(zone);
    return found == snapshots_.end() ? nlohmann::json::object() : found->second.estimates_;
}

/// Applies a record to the state and returns the changed job.
auto JobLedger::applyRecord(Offset offset, WallTime time, const Record &record) -> std::optional<JobId>
{
    return std::visit(
        [&](const auto &typed) -> std::optional<JobId> {
            using Type = std::decay_t<decltype(typed)>;
            if constexpr (std::is_same_v<Type, ClaimRecord>) {
                epochs_.apply(offset, typed);
            } else if constexpr (std::is_same_v<Type, RenewalRecord> || std::is_same_v<Type, ReleaseRecord>) {
                epochs_.apply(typed);
            } else if constexpr (requires { applyToJob(offset, time, typed); }) {
                return applyToJob(offset, time, typed);
            }
            return std::nullopt;
        },
        record);
}

auto JobLedger::applyToJob(Offset offset, WallTime time, const JobSubmittedRecord &record) -> std::optional<JobId>
{
    JobStatus job;
    job.spec_ = record.spec_;
    job.submitted_ = time;
    job.changedAt_ = offset;
    const auto isNew = jobs_.emplace(record.spec_.id_, std::move(job)).second;
    return isNew ? std::optional(record.spec_.id_) : std::nullopt;
}

auto JobLedger::applyToJob(Offset offset, WallTime /*time*/, const JobAssignedRecord &record) -> std::optional<JobId>
{
    const auto isFirst = record.from_.isEmpty();
    if (!isFirst && !isCurrent(record.from_, record.epoch_)) {
        return std::nullopt;
    }
    if (record.spec_ && !isStateComplete_ && !jobsInSnapshots_.contains(record.job_)) {
        learnFromReassignment(record);
    }
    auto *job = findOpen(record.job_);
    const auto isRepeat = job != nullptr && (job->zone_ != record.from_ || (!isFirst && record.attempt_ <= job->attempt_));
    if (job == nullptr || isRepeat) {
        return std::nullopt;
    }
    job->state_ = JobState::Waiting;
    job->zone_ = record.zone_;
    job->attempt_ = record.attempt_;
    job->progress_ = std::max(job->progress_, record.progress_);
    job->workers_.clear();
    job->reason_.clear();
    job->ruleLine_ = 0;
    job->ruleText_.clear();
    job->changedAt_ = offset;
    return record.job_;
}

/// Restores a job from its reassignment when its submission or an earlier move was truncated from the log, so that the job is unknown
/// or known only from a repeat of an older record. Each move increases the attempt, so the higher one is newer.
auto JobLedger::learnFromReassignment(const JobAssignedRecord &record) -> void
{
    const auto [found, isNew] = jobs_.try_emplace(record.job_);
    auto &job = found->second;
    if (record.attempt_ == 0 || isFinal(job.state_) || (!isNew && record.attempt_ <= job.attempt_)) {
        return;
    }
    job.spec_ = *record.spec_;
    job.submitted_ = record.submitted_;
    job.zone_ = record.from_;
    job.attempt_ = record.attempt_ - 1;
}

auto JobLedger::applyToJob(Offset offset, WallTime /*time*/, const JobStartedRecord &record) -> std::optional<JobId>
{
    auto *job = findOwnedOpen(record.job_, record.zone_, record.epoch_);
    const auto isRepeat = job != nullptr && (record.attempt_ < job->attempt_ || (record.attempt_ == job->attempt_ && job->state_ == JobState::Running));
    if (job == nullptr || isRepeat) {
        return std::nullopt;
    }
    job->state_ = JobState::Running;
    job->attempt_ = record.attempt_;
    job->workers_ = record.workers_;
    job->reason_.clear();
    job->ruleLine_ = 0;
    job->ruleText_.clear();
    job->changedAt_ = offset;
    return record.job_;
}

auto JobLedger::applyToJob(Offset offset, WallTime /*time*/, const JobPreemptedRecord &record) -> std::optional<JobId>
{
    auto *job = findOwnedOpen(record.job_, record.zone_, record.epoch_);
    if (job == nullptr || record.nextAttempt_ <= job->attempt_) {
        return std::nullopt;
    }
    job->state_ = JobState::Waiting;
    job->attempt_ = record.nextAttempt_;
    job->progress_ = std::max(job->progress_, record.progress_);
    job->workers_.clear();
    job->reason_ = record.reason_;
    job->changedAt_ = offset;
    return record.job_;
}

auto JobLedger::applyToJob(Offset offset, WallTime time, const JobFinishedRecord &record) -> std::optional<JobId>
{
    auto *job = findOwnedOpen(record.job_, record.zone_, record.epoch_);
    // Only waiting jobs are parked: a delayed repeat must not park a job that was started since.
    const auto isLate = job != nullptr && (record.attempt_ < job->attempt_ || (record.state_ == JobState::Parked && job->state_ == JobState::Running));
    if (job == nullptr || isLate) {
        return std::nullopt;
    }
    job->reason_ = record.reason_;
    job->ruleLine_ = record.ruleLine_;
    job->ruleText_ = record.ruleText_;
    job->changedAt_ = offset;
    setEndState(*job, record.state_, time);
    return record.job_;
}

auto JobLedger::applyToJob(Offset offset, WallTime time, const JobCancelledRecord &record) -> std::optional<JobId>
{
    auto *job = findOpen(record.job_);
    if (job == nullptr) {
        return std::nullopt;
    }
    job->reason_ = record.reason_;
    job->changedAt_ = offset;
    setEndState(*job, JobState::Cancelled, time);
    return record.job_;
}

/// Returns null for unknown and ended jobs.
auto JobLedger::findOpen(const JobId &job) -> JobStatus *
{
    const auto found = jobs_.find(job);
    return found == jobs_.end() || isFinal(found->second.state_) ? nullptr : &found->second;
}

/// Whether an epoch is in force in an availability zone.
auto JobLedger::isCurrent(const AvailabilityZoneId &zone, Offset epoch) -> bool
{
    epochs_.confirmEpoch(zone, epoch);
    return epoch != 0 && epoch == epochs_.find(zone).epoch_;
}

/// Returns null when the job has ended or belongs to another zone, or when the epoch is not in force.
auto JobLedger::findOwnedOpen(const JobId &job, const AvailabilityZoneId &zone, Offset epoch) -> JobStatus *
{
    if (!isCurrent(zone, epoch)) {
        return nullptr;
    }
    auto *found = findOpen(job);
    return found != nullptr && found->zone_ == zone ? found : nullptr;
}

/// Sets a final or parked state.
auto JobLedger::setEndState(JobStatus &job, JobState state, WallTime time) -> void
{
    job.state_ = state;
    job.workers_.clear();
    if (isFinal(state)) {
        job.ended_ = time;
        ended_.emplace(time, job.spec_.id_);
    }
}

/// Removes ended jobs older than the retention, relative to the newest record time.
auto JobLedger::removeExpired(WallTime time) -> void
{
    newestTime_ = std::max(newestTime_, time);
    while (!ended_.empty() && newestTime_ - ended_.begin()->first > options_.endedRetention_) {
        jobs_.erase(ended_.begin()->second);
        ended_.erase(ended_.begin());
    }
}

/// Stores a complete snapshot. Rebuilds the state from it when the start of the log was truncated.
auto JobLedger::onSnapshot(ZoneSnapshot snapshot) -> std::vector<JobId>
{
    auto &newest = snapshots_[snapshot.zone_];
    if (newest.decidedUpTo_ > snapshot.decidedUpTo_) {
        return {};
    }
    const auto isNeeded = !isStateComplete_ && snapshot.decidedUpTo_ >= first_;
    if (!isNeeded) {
        snapshot.jobs_.clear();
    }
    newest = std::move(snapshot);
    if (!isNeeded) {
        return {};
    }
    rebuildState();
    dropReplayRecords();
    std::vector<JobId> changed;
    for (const auto &[id, job] : jobs_) {
        changed.push_back(id);
    }
    return changed;
}

/// Rebuilds the state from the newest snapshots and the records read.
auto JobLedger::rebuildState() -> void
{
    const auto coveredUpTo = loadSnapshots();
    restoreEpochs();
    for (const auto &replayed : replayRecords_) {
        const auto *job = jobOf(replayed.record_);
        const auto covered = job == nullptr ? coveredUpTo.end() : coveredUpTo.find(*job);
        if (covered == coveredUpTo.end() || replayed.offset_ >= covered->second) {
            applyRecord(replayed.offset_, replayed.time_, replayed.record_);
        }
        removeExpired(replayed.time_);
    }
}

/// Restores the epoch in force at the first offset read for each zone with a snapshot. Starts at the snapshot's epoch and follows the
/// supersedes links of the claims backwards.
auto JobLedger::restoreEpochs() -> void
{
    epochs_.startReading(first_);
    std::map<Offset, Offset> superseded;
    for (const auto &replayed : replayRecords_) {
        if (const auto *claim = std::get_if<ClaimRecord>(&replayed.record_)) {
            superseded.emplace(replayed.offset_, claim->supersedes_);
        }
    }
    for (const auto &[zone, snapshot] : snapshots_) {
        auto epoch = snapshot.epoch_;
        for (auto found = superseded.find(epoch); found != superseded.end(); found = superseded.find(epoch)) {
            epoch = found->second;
        }
        if (snapshot.decidedUpTo_ >= first_) {
            epochs_.setInitialEpoch(zone, epoch);
        }
    }
}

/// Loads the jobs of the newest snapshots. Returns for each job the offset below which its records are already included.
auto JobLedger::loadSnapshots() -> std::map<JobId, Offset>
{
    std::map<JobId, Offset> coveredUpTo;
    jobsInSnapshots_.clear();
    jobs_.clear();
    ended_.clear();
    for (const auto &[zone, snapshot] : snapshots_) {
        for (const auto &job : snapshot.jobs_) {
            const auto &id = job.spec_.id_;
            const auto found = jobs_.find(id);
            // A moved job is in two snapshots; the one with its later change wins.
            if (found == jobs_.end() || found->second.changedAt_ <= job.changedAt_) {
                jobs_[id] = job;
                jobsInSnapshots_.insert(id);
                coveredUpTo[id] = std::max(coveredUpTo[id], snapshot.decidedUpTo_);
            }
        }
    }
    for (const auto &[id, job] : jobs_) {
        if (isFinal(job.state_)) {
            ended_.emplace(job.ended_, id);
        }
    }
    return coveredUpTo;
}

/// Skips renewals of an epoch that already has one; most records of the stream are renewals.
auto JobLedger::isNeededToRebuild(const Record &record) -> bool
{
    const auto *renewal = std::get_if<RenewalRecord>(&record);
    return renewal == nullptr || replayRenewals_.emplace(renewal->zone_, renewal->epoch_).second;
}

/// Drops the records kept for a rebuild once every availability zone is complete.
auto JobLedger::dropReplayRecords() -> void
{
    const auto isDone = !isStateComplete_ && !zones_.empty() && std::all_of(zones_.begin(), zones_.end(), [&](const AvailabilityZoneId &zone) {
        return isComplete(zone);
    });
    if (!isDone) {
        return;
    }
    isStateComplete_ = true;
    replayRecords_.clear();
    replayRenewals_.clear();
    jobsInSnapshots_.clear();
    for (auto &[zone, snapshot] : snapshots_) {
        snapshot.jobs_.clear();
    }
}
} // namespace Marjoramfold
