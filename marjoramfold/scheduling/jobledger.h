#pragma once

#include "marjoramfold/core/clock.h"
#include "marjoramfold/log/records.h"
#include "marjoramfold/scheduling/epochtable.h"
#include "marjoramfold/scheduling/snapshotassembler.h"

#include <chrono>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace Marjoramfold
{
/// Limits of a job ledger.
struct JobLedgerOptions {
    /// How long ended jobs are kept, measured by record times.
    std::chrono::milliseconds endedRetention_{std::chrono::hours(24)};
    /// Keeps a snapshot record of large gangs below 1 MiB.
    std::size_t maxJobsPerRecord_ = 100;
};

/// Record that moves a job to another availability zone, under the epoch of the current owner. The attempt is at least one above the
/// job's last.
[[nodiscard]] auto
makeReassignment(RecordId id, const JobStatus &job, Offset epoch, const AvailabilityZoneId &to, std::uint32_t nextAttempt, std::chrono::milliseconds progress)
    -> JobAssignedRecord;

/// State of all jobs, derived deterministically from the `control` stream without tracking record ids.
///
/// Records are idempotent by content: attempts only increase and final states never change, so repeats have no effect.
/// Records of an owner are ignored unless their epoch is in force in its availability zone.
///
/// When the start of the log was truncated, a zone is incomplete until a snapshot of it was read whose decidedUpTo_ is not below the
/// first retained offset.
class JobLedger
{
public:
    explicit JobLedger(JobLedgerOptions options = {});

    /// Clears all state and starts at the first retained offset of the log.
    auto startReading(Offset first) -> void;

    /// Applies the next record and returns the changed jobs.
    auto apply(Offset offset, WallTime time, const Record &record) -> std::vector<JobId>;

    /// All records below this offset were read, including malformed ones and other types.
    auto noteReadUpTo(Offset end) -> void;

    /// Sets the zones that the rules name. Records are kept in memory for a rebuild until all of them are complete.
    auto setZones(std::set<AvailabilityZoneId> zones) -> void;

    /// Whether the state of all jobs of an availability zone is known.
    [[nodiscard]] auto isComplete(const AvailabilityZoneId &zone) const -> bool;

    /// Returns null for an unknown job.
    [[nodiscard]] auto find(const JobId &job) const -> const JobStatus *;

    [[nodiscard]] auto jobs() const -> const std::map<JobId, JobStatus> &;

    /// Jobs of an availability zone that have not ended.
    [[nodiscard]] auto openJobs(const AvailabilityZoneId &zone) const -> std::vector<JobStatus>;

    /// Jobs without an availability zone: their submitter crashed between submission and assignment.
    [[nodiscard]] auto unassignedJobs() const -> std::vector<JobStatus>;

    /// Snapshot records of an availability zone; empty while it is incomplete. The name must be unique per snapshot.
    [[nodiscard]] auto snapshot(const AvailabilityZoneId &zone, const std::string &name, nlohmann::json estimates) const -> std::vector<ZoneSnapshotRecord>;

    /// Whether a complete zone has no snapshot younger than a quarter of the retention time.
    [[nodiscard]] auto isSnapshotDue(const AvailabilityZoneId &zone, WallTime now, std::chrono::milliseconds retention) const -> bool;

    /// Run-time estimates of the newest snapshot; an empty object without one.
    [[nodiscard]] auto estimates(const AvailabilityZoneId &zone) const -> nlohmann::json;

private:
    struct ReplayRecord {
        Offset offset_ = 0;
        WallTime time_;
        Record record_;
    };

    auto applyRecord(Offset offset, WallTime time, const Record &record) -> std::optional<JobId>;
    auto applyToJob(Offset offset, WallTime time, const JobSubmittedRecord &record) -> std::optional<JobId>;
    auto applyToJob(Offset offset, WallTime time, const JobAssignedRecord &record) -> std::optional<JobId>;
    auto applyToJob(Offset offset, WallTime time, const JobStartedRecord &record) -> std::optional<JobId>;
    auto applyToJob(Offset offset, WallTime time, const JobPreemptedRecord &record) -> std::optional<JobId>;
    auto applyToJob(Offset offset, WallTime time, const JobFinishedRecord &record) -> std::optional<JobId>;
    auto applyToJob(Offset offset, WallTime time, const JobCancelledRecord &record) -> std::optional<JobId>;
    auto findOpen(const JobId &job) -> JobStatus *;
    auto learnFromReassignment(const JobAssignedRecord &record) -> void;
    auto isCurrent(const AvailabilityZoneId &zone, Offset epoch) -> bool;
    auto findOwnedOpen(const JobId &job, const AvailabilityZoneId &zone, Offset epoch) -> JobStatus *;
    auto setEndState(JobStatus &job, JobState state, WallTime time) -> void;
    auto removeExpired(WallTime time) -> void;

    auto onSnapshot(ZoneSnapshot snapshot) -> std::vector<JobId>;
    auto rebuildState() -> void;
    auto restoreEpochs() -> void;
    auto loadSnapshots() -> std::map<JobId, Offset>;
    auto isNeededToRebuild(const Record &record) -> bool;
    auto dropReplayRecords() -> void;

    JobLedgerOptions options_;
    EpochTable epochs_;
    std::map<JobId, JobStatus> jobs_;
    /// Ended jobs by end time.
    std::set<std::pair<WallTime, JobId>> ended_;
    WallTime newestTime_;
    Offset readUpTo_ = 0;

    SnapshotAssembler assembler_;
    /// Newest complete snapshot of each availability zone; its jobs are kept only while a rebuild may need them.
    std::map<AvailabilityZoneId, ZoneSnapshot> snapshots_;
    bool isStateComplete_ = true;
    Offset first_ = 0;
    std::set<AvailabilityZoneId> zones_;
    /// Records read while the state is incomplete.
    std::vector<ReplayRecord> replayRecords_;
    std::set<std::pair<AvailabilityZoneId, Offset>> replayRenewals_;
    /// Jobs contained in a snapshot, while the state is incomplete.
    std::set<JobId> jobsInSnapshots_;
};
} // namespace Marjoramfold
