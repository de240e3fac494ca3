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
    /// How long a job stays known after its end, by the log's clock.
    std::chrono::milliseconds endedRetention_{std::chrono::hours(24)};
    /// Jobs in one record of a snapshot, so that a record of large gangs stays below 1 MiB.
    std::size_t maxJobsPerRecord_ = 100;
};

/// The record that moves a job to another availability zone, under the epoch of the owner that gives it up. The attempt is at
/// least one above the job's last.
[[nodiscard]] auto
makeReassignment(RecordId id, const JobStatus &job, Offset epoch, const AvailabilityZoneId &to, std::uint32_t nextAttempt, std::chrono::milliseconds progress)
    -> JobAssignedRecord;

/// The state of all jobs as the records of the `control` stream make it: a pure fold without memory of record ids.
///
/// Every record is idempotent by its content, so repeats change nothing: an attempt only goes up, and a final state stays.
/// Records of an owner count only under the epoch in force in its availability zone.
///
/// A reader whose log lost its beginning needs one snapshot of each availability zone that was decided within what it read.
/// Until then it is not complete for that zone.
class JobLedger
{
public:
    explicit JobLedger(JobLedgerOptions options = {});

    /// Reading starts at the first offset the log keeps; drops all state.
    auto startReading(Offset first) -> void;

    /// Applies the next record. Gives the jobs that changed.
    auto apply(Offset offset, WallTime time, const Record &record) -> std::vector<JobId>;

    /// All records below this offset have been applied, other types and malformed ones included.
    auto noteReadUpTo(Offset end) -> void;

    /// The availability zones that the rules name. Once each of them is complete, older records are no longer kept in memory.
    auto setZones(std::set<AvailabilityZoneId> zones) -> void;

    /// True when the state of an availability zone's jobs is known.
    [[nodiscard]] auto isComplete(const AvailabilityZoneId &zone) const -> bool;

    /// A job; null when it is not known.
    [[nodiscard]] auto find(const JobId &job) const -> const JobStatus *;

    /// All known jobs by id.
    [[nodiscard]] auto jobs() const -> const std::map<JobId, JobStatus> &;

    /// Jobs of an availability zone that have not ended.
    [[nodiscard]] auto openJobs(const AvailabilityZoneId &zone) const -> std::vector<JobStatus>;

    /// Jobs that no availability zone was given, because their submitter died in between.
    [[nodiscard]] auto unassignedJobs() const -> std::vector<JobStatus>;

    /// Records of a snapshot of an availability zone; none while it is not complete. The name must be unique to the snapshot.
    [[nodiscard]] auto snapshot(const AvailabilityZoneId &zone, const std::string &name, nlohmann::json estimates) const -> std::vector<ZoneSnapshotRecord>;

    /// True when an availability zone's newest snapshot is older than a quarter of the retention time.
    [[nodiscard]] auto isSnapshotDue(const AvailabilityZoneId &zone, WallTime now, std::chrono::milliseconds retention) const -> bool;

    /// Run-time estimates of the newest snapshot of an availability zone; an empty object when there is none.
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
    /// Ended jobs by the time of their end.
    std::set<std::pair<WallTime, JobId>> ended_;
    WallTime newestTime_;
    Offset readUpTo_ = 0;

    SnapshotAssembler assembler_;
    /// Newest whole snapshot of each availability zone; jobs only while they may be needed to rebuild.
    std::map<AvailabilityZoneId, ZoneSnapshot> snapshots_;
    bool isStateComplete_ = true;
    Offset first_ = 0;
    std::set<AvailabilityZoneId> zones_;
    /// Records read so far, while the state is not whole.
    std::vector<ReplayRecord> replayRecords_;
    std::set<std::pair<AvailabilityZoneId, Offset>> replayRenewals_;
    /// Jobs that a snapshot holds, while the state is not whole.
    std::set<JobId> jobsInSnapshots_;
};
} // namespace Marjoramfold
