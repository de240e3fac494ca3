#pragma once

#include "marjoramfold/core/clock.h"
#include "marjoramfold/core/ids.h"
#include "marjoramfold/core/job.h"
#include "marjoramfold/core/result.h"
#include "marjoramfold/core/rulerecords.h"

#include <nlohmann/json.hpp>

#include <chrono>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace Marjoramfold
{
/// An instance claims an availability zone. The record's offset is the epoch. It is valid when supersedes_ is the epoch in force.
struct ClaimRecord {
    RecordId id_;
    AvailabilityZoneId zone_;
    InstanceId instance_;
    Offset supersedes_ = 0;
    /// Instances that act for the owner during a log outage, by rank from 1. Fixed for the epoch, so that no two share a rank.
    std::vector<InstanceId> deputies_;
};

/// The owner extends its lease. It repeats the claim's deputies for readers whose log no longer has the claim.
struct RenewalRecord {
    RecordId id_;
    AvailabilityZoneId zone_;
    InstanceId instance_;
    Offset epoch_ = 0;
    std::vector<InstanceId> deputies_;
};

/// The owner gives its availability zone up, so that a candidate need not wait for the lease.
struct ReleaseRecord {
    RecordId id_;
    AvailabilityZoneId zone_;
    InstanceId instance_;
    Offset epoch_ = 0;
};

/// A job is submitted. Written by any instance.
struct JobSubmittedRecord {
    RecordId id_;
    JobSpec spec_;
};

/// A job is given to an availability zone: first by any instance (no from_, epoch 0), later by the owner of the one that gives it
/// up, with a higher attempt than before, so that a repeat of the record changes nothing.
struct JobAssignedRecord {
    RecordId id_;
    JobId job_;
    AvailabilityZoneId from_;
    /// Epoch of the owner of from_; 0 for a first assignment.
    Offset epoch_ = 0;
    AvailabilityZoneId zone_;
    std::uint32_t attempt_ = 0;
    std::chrono::milliseconds progress_{0};
    /// Set when the job moves: the snapshots of two availability zones are decided at different offsets, and a job that moved
    /// in between would be in neither.
    std::optional<JobSpec> spec_;
    /// When the job was submitted, by the log's clock; set together with spec_.
    WallTime submitted_;
};

/// A gang runs as a whole.
struct JobStartedRecord {
    RecordId id_;
    AvailabilityZoneId zone_;
    Offset epoch_ = 0;
    JobId job_;
    std::uint32_t attempt_ = 0;
    /// Worker of each task, by its index in the gang.
    std::vector<WorkerId> workers_;
};

/// A gang was stopped and the job waits again, with a higher attempt than before.
struct JobPreemptedRecord {
    RecordId id_;
    AvailabilityZoneId zone_;
    Offset epoch_ = 0;
    JobId job_;
    std::uint32_t nextAttempt_ = 0;
    std::chrono::milliseconds progress_{0};
    std::string reason_;
};

/// A job ended by itself (finished or failed), or is parked until rules change.
struct JobFinishedRecord {
    RecordId id_;
    AvailabilityZoneId zone_;
    Offset epoch_ = 0;
    JobId job_;
    std::uint32_t attempt_ = 0;
    JobState state_ = JobState::Finished;
    std::string reason_;
    /// Line of the rules file that decided; number 0 for none.
    int ruleLine_ = 0;
    std::string ruleText_;
};

/// A caller cancelled a job. Written by any instance.
struct JobCancelledRecord {
    RecordId id_;
    JobId job_;
    std::string reason_;
};

/// All that the log says about a job.
struct JobStatus {
    JobSpec spec_;
    JobState state_ = JobState::Waiting;
    /// Empty before the first assignment.
    AvailabilityZoneId zone_;
    std::uint32_t attempt_ = 0;
    std::chrono::milliseconds progress_{0};
    /// Worker of each task while the gang runs.
    std::vector<WorkerId> workers_;
    std::string reason_;
    int ruleLine_ = 0;
    std::string ruleText_;
    /// By the log's clock.
    WallTime submitted_;
    /// By the log's clock; meaningful in a final state.
    WallTime ended_;
    /// Offset of the last record that changed the job.
    Offset changedAt_ = 0;
};

/// One part of the state of an availability zone, so that readers can do without older records.
struct ZoneSnapshotRecord {
    RecordId id_;
    /// The same in all parts of one snapshot.
    std::string snapshot_;
    int part_ = 0;
    int parts_ = 1;
    AvailabilityZoneId zone_;
    Offset epoch_ = 0;
    /// The snapshot holds the effect of every record below this offset.
    Offset decidedUpTo_ = 0;
    std::vector<JobStatus> jobs_;
    /// Learned run-time estimates, as the scheduler writes them.
    nlohmann::json estimates_ = nlohmann::json::object();
};

/// An instance is about to dispatch the request of a caller's key.
struct Intent {
    std::string key_;
    /// Made by the writer, to tell its own intent from another's of the same key.
    std::string intentId_;
};

/// Intents of one instance, grouped.
struct IntentBatchRecord {
    RecordId id_;
    InstanceId instance_;
    std::vector<Intent> intents_;
};

using Record = std::variant<PublishRecord,
                            RuleSetRestatedRecord,
                            ClaimRecord,
                            RenewalRecord,
                            ReleaseRecord,
                            JobSubmittedRecord,
                            JobAssignedRecord,
                            JobStartedRecord,
                            JobPreemptedRecord,
                            JobFinishedRecord,
                            JobCancelledRecord,
                            ZoneSnapshotRecord,
                            IntentBatchRecord>;

/// JSON body of a record, as the log keeps it.
[[nodiscard]] auto encodeRecord(const Record &record) -> nlohmann::json;

/// Typed record of a JSON body. Malformed when its type is unknown or a field is missing or wrong; unknown fields are ignored.
[[nodiscard]] auto decodeRecord(const nlohmann::json &body) -> Result<Record>;

/// Identifier of a record.
[[nodiscard]] auto idOf(const Record &record) -> const RecordId &;
} // namespace Marjoramfold
