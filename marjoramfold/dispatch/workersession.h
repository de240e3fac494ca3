#pragma once

#include "marjoramfold/core/clock.h"
#include "marjoramfold/fleet/workerentry.h"

#include <chrono>
#include <cstdint>
#include <limits>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>

namespace Marjoramfold
{
/// Stage of a run as known to the leader.
enum class RunStage : std::uint8_t {
    /// Placed and being stored; the start command has not been sent.
    Recorded,
    /// The start command was sent; no response yet.
    StartSent,
    /// The start command got no response; it may have been executed or may be executed later.
    InDoubt,
    Running,
    /// A stop command was sent.
    Stopping,
};

/// Name of a stage for logs.
[[nodiscard]] auto toString(RunStage stage) -> std::string_view;

/// A task and the number of its run.
using RunKey = std::pair<TaskRef, std::uint32_t>;

/// Offset of a progress record that is not known; above all others.
constexpr auto UnknownOffset = std::numeric_limits<std::uint64_t>::max();

/// A run that occupies capacity of a worker.
struct WorkerRun {
    RunStage stage_ = RunStage::Recorded;
    ResourceVector demand_;
    int priority_ = 0;
    TeamId team_;
    /// Number of tasks that end when this run is stopped: all members of a gang.
    std::uint32_t gangSize_ = 1;
    /// Stopping the run saves its progress.
    bool checkpointsOnStop_ = false;
    /// Expected run time on this worker; zero for a service.
    std::chrono::milliseconds expected_{0};
    /// The same on a worker of ordinary speed, or on this one if it is slower: the measure for a stall, which a learned speed must not tighten.
    std::chrono::milliseconds longestExpected_{0};
    BootTime placedAt_{};
    /// Fencing token of the start command; a report requested with a higher token proves whether the command was executed.
    std::uint64_t startToken_ = 0;
    /// Number of start commands that were sent for the run.
    unsigned startCommands_ = 0;
    /// When the worker's acceptance arrived; a report requested earlier may lack the run.
    BootTime acceptedAt_{};
    /// The worker's acceptance came as an answer to the start command, so that `acceptedAt_` is when the run began. A run that a report showed
    /// may have begun long before.
    bool startTimeKnown_ = false;
    /// A report of the session's worker incarnation contained the run; the response to a start command does not name its incarnation.
    bool reported_ = false;
    /// Offset of the progress record from which a run of a former leader was restored.
    std::uint64_t recordedAt_ = UnknownOffset;
    /// The newest report lacks the run and had no room for all ends, so that its end may follow once those in the report are acknowledged.
    bool endMayFollow_ = false;
    BootTime progressAt_{};
    /// The worker's clock when it reported the last progress; distinguishes a stalled run from a late response.
    std::chrono::milliseconds progressClock_{0};
    int percent_ = 0;
    std::string checkpoint_;
    BootTime stopSentAt_{};
};

/// The leader's view of one worker incarnation: list entry, runs, lease and clock.
struct WorkerSession {
    WorkerEntry entry_;
    /// Incarnation that the other fields describe. A list entry sets the first one; only the worker's own reports replace it.
    std::uint64_t incarnation_ = 0;
    /// List entry of another incarnation, which the worker has not confirmed yet.
    std::optional<WorkerEntry> announced_;
    /// The platform's worker list contains the worker.
    bool listed_ = true;
    /// When the worker's entry was removed, or when the session was created without one.
    BootTime unlistedAt_{};
    std::map<RunKey, WorkerRun> runs_;
    ResourceVector used_;
    std::uint64_t fencingToken_ = 0;
    /// Number of the last run end that was passed to the scheduler, stored, and acknowledged in a call that the worker answered.
    std::uint64_t lastEndSeen_ = 0;
    std::uint64_t lastEndRecorded_ = 0;
    std::uint64_t lastEndAcknowledged_ = 0;
    /// Latest lease end that the worker may have granted, on its clock, and the time of the last command that requested a lease.
    std::chrono::milliseconds leaseUntil_{0};
    BootTime leaseRequestedAt_{};
    /// Lower bound of the worker's clock at `clockAt_`.
    std::chrono::milliseconds clock_{0};
    BootTime clockAt_{};
    /// The worker's clock in its last report.
    std::chrono::milliseconds reportClock_{0};
    /// Earliest time at which a draining worker may leave.
    BootTime drainEndsAt_{};
    /// The worker has responded to this leader.
    bool responded_ = false;
    /// The worker may have runs, a lease or in-flight commands that this leader does not know; it gets new work only after a report.
    bool awaitsReport_ = false;
    /// A previous leader sent commands to this incarnation of the worker.
    bool adopted_ = false;
    /// The leader has stated the worker as silent, so that it gets neither a lease nor a start command. See LeaseStatement.
    bool statedSilent_ = false;
    bool renewing_ = false;
    /// A renewal waits in the sessions' PacedQueue.
    bool renewalQueued_ = false;
    /// Send time of the last successful renewal.
    BootTime renewedAt_{};
    /// First of the current series of failed calls; zero when the last call succeeded.
    BootTime unreachableSince_{};
    /// When it was last logged what the runs of the silent worker wait for.
    BootTime proofLoggedAt_{};
    /// Last progress or successful end of a run on the worker.
    BootTime lastHealthyAt_{};
    /// Jobs with failed or stalled runs on the worker since its last success.
    std::set<JobId> failedJobs_;
    /// Number of quarantines since its last success.
    unsigned quarantineCount_ = 0;
    /// When the quarantine last began or was prolonged.
    BootTime quarantinedAt_{};
    /// Until then the worker gets only work that no other worker can take.
    BootTime quarantinedUntil_{};

    /// Address for commands: an announced incarnation is asked at its own address.
    [[nodiscard]] auto address() const -> const std::string &
    {
        return announced_ ? announced_->address_ : entry_.address_;
    }

    /// Begins or prolongs a quarantine.
    auto quarantine(BootTime now, std::chrono::milliseconds time) -> void
    {
        quarantinedAt_ = now;
        quarantinedUntil_ = now + time;
    }

    /// True when the list entry describes the current incarnation, whose state this leader knows.
    [[nodiscard]] auto isCurrent() const -> bool
    {
        const auto describesIncarnation = entry_.incarnation_ == 0 || entry_.incarnation_ == incarnation_;
        return listed_ && describesIncarnation && !awaitsReport_ && !announced_ && !statedSilent_;
    }

    /// Capacity that is not used by runs.
    [[nodiscard]] auto freeCapacity() const -> ResourceVector
    {
        auto free = entry_.capacity_;
        free -= used_;
        return free;
    }
};

/// All sessions in the order of their ids, so that decisions are reproducible.
using WorkerSessionMap = std::map<WorkerId, std::unique_ptr<WorkerSession>>;
} // namespace Marjoramfold
