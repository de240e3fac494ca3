#pragma once

#include "marjoramfold/api/controlapi.h"
#include "marjoramfold/log/appendqueue.h"
#include "marjoramfold/log/logfollower.h"
#include "marjoramfold/scheduling/events.h"
#include "marjoramfold/scheduling/jobledger.h"

#include <map>
#include <memory>
#include <set>

namespace Marjoramfold
{
/// Callbacks of the job log.
struct JobLogHooks {
    /// Reading of `control` starts, or restarts.
    std::function<void(Offset first)> onBegin_;
    /// A record was read; called after the ledger applied it.
    std::function<void(const FollowedRecord &record)> onRecord_;
    /// Jobs changed; called once per page of records.
    std::function<void(const std::set<JobId> &jobs)> onJobsChanged_;
    std::function<RecordId()> newRecordId_;
};

/// Follows the stream `control` and appends job records to it. Control thread only.
class JobLog
{
public:
    JobLog(asio::io_context &context, LogClient &log, Clock clock, JobLogHooks hooks);

    auto start() -> void;
    [[nodiscard]] auto hasStarted() const -> bool;

    /// Appends a record; the callback gets `NotAppended` only if the record is certainly not in the log.
    auto append(const Record &record, AppendCallback done) -> void;

    /// Appends a submission and its assignment; answers once both are in the log.
    auto submit(const JobSpec &spec, const AvailabilityZoneId &zone, JsonCallback done) -> void;

    /// Appends cancellations; answers once they are in the log.
    auto cancel(const std::vector<JobId> &jobs, JsonCallback done) -> void;

    /// Appends the record of a scheduler's decision about a job, made under an epoch.
    auto recordDecision(const AvailabilityZoneId &zone, Epoch epoch, const SchedulerCommand &command) -> void;

    /// Appends a snapshot of an availability zone if one is due for the retention time of the log. Only for the zone's owner.
    auto snapshotIfDue(const AvailabilityZoneId &zone, std::chrono::milliseconds retention) -> void;

    [[nodiscard]] auto ledger() -> JobLedger &;
    [[nodiscard]] auto ledger() const -> const JobLedger &;
    [[nodiscard]] auto confirmedAt() const -> std::optional<SteadyTime>;
    [[nodiscard]] auto unreachableSince() const -> std::optional<SteadyTime>;

    /// JSON of a job for API answers: status, first start and last workers.
    [[nodiscard]] auto describe(const JobStatus &status) const -> nlohmann::json;

    /// Number of records without a final append outcome.
    [[nodiscard]] auto pendingAppends() const -> std::size_t;

private:
    /// Start data that the ledger drops when a gang stops, but that API answers still contain.
    struct StartInfo {
        WallTime firstStart_;
        std::vector<WorkerId> lastWorkers_;
    };

    auto trackStart(const FollowedRecord &record) -> void;
    auto handleRecords(const std::vector<FollowedRecord> &records) -> void;
    [[nodiscard]] auto currentAttempt(const JobId &job) const -> std::uint32_t;
    auto appendDecision(const Record &record, const JobId &job) -> void;

    Clock clock_;
    JobLogHooks hooks_;
    JobLedger ledger_;
    AppendQueue appends_;
    LogFollower follower_;
    bool started_ = false;
    std::set<AvailabilityZoneId> pendingSnapshots_;
    std::map<JobId, StartInfo> starts_;
    /// Attempts from this instance's own decisions, which the ledger may not contain yet.
    std::map<JobId, std::uint32_t> decidedAttempts_;
};
} // namespace Marjoramfold
