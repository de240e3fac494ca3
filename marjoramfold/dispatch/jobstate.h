#pragma once

#include "marjoramfold/core/clock.h"
#include "marjoramfold/core/result.h"
#include "marjoramfold/dispatch/heldtime.h"
#include "marjoramfold/fleet/jobplan.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace Marjoramfold
{
/// Failures and stalls of a task on one worker.
struct WorkerFailures {
    BootTime last_{};
    unsigned count_ = 0;
};

/// State of a task within an occurrence.
struct TaskState {
    bool done_ = false;
    /// Numbers of the failed runs, so that an end that is reported twice counts once. The members of a gang share them.
    std::set<std::uint32_t> failedRuns_;
    /// Number of the latest run; numbering starts at 1.
    std::uint32_t lastRun_ = 0;
    /// Worker and worker incarnation of the active run; empty without one.
    WorkerId worker_;
    std::uint64_t workerIncarnation_ = 0;
    /// The latest checkpoint; empty without one.
    std::string checkpoint_;
    /// Workers on which the task failed or stalled. Not stored.
    std::map<WorkerId, WorkerFailures> failedOn_;
    /// WorkerSpeeds::ordinaryDuration() of the first run, if it ended done. Not stored.
    std::optional<double> ordinaryDuration_;

    /// True while a run may exist.
    [[nodiscard]] auto isActive() const -> bool
    {
        return !worker_.isEmpty();
    }

    /// Notes that the task failed or stalled on a worker.
    auto addFailure(const WorkerId &worker, BootTime now) -> void
    {
        auto &failures = failedOn_[worker];
        failures.last_ = now;
        ++failures.count_;
    }

    /// True when the task has state to store.
    [[nodiscard]] auto hasProgress() const -> bool
    {
        return done_ || !failedRuns_.empty() || lastRun_ != 0;
    }
};

/// State of a step within an occurrence.
struct StepState {
    std::vector<TaskState> tasks_;
    std::uint32_t done_ = 0;
    std::uint32_t active_ = 0;
    /// For a gang, the latest run that was stopped and thereby saved its whole progress. Not stored.
    std::uint32_t stoppedRun_ = 0;
    /// When the step first failed to fit since its last start; zero when it is not waiting.
    BootTime waitingSince_{};
    BootTime waitLoggedAt_{};
    /// Time for which preferences have kept the step from workers since it last ran. Not stored.
    HeldTime held_{};
    /// Workers on which lower priorities were stopped for the step, and until when they are awaited. Not stored.
    std::vector<WorkerId> awaitedWorkers_{};
    BootTime awaitedUntil_{};
    /// By index, the tasks whose start was refused since their last run began: by which workers, and when. Not stored; few tasks have an entry.
    std::map<std::uint32_t, std::map<WorkerId, BootTime>> refusedBy_{};
};

/// State of one occurrence of a job.
struct OccurrenceState {
    std::vector<StepState> steps_;
    bool done_ = false;
};

/// A job with the state that the leader tracks.
struct TrackedJob {
    Submission submission_;
    std::vector<OccurrenceState> occurrences_;
    JobPhase phase_ = JobPhase::Queued;
    bool cancelled_ = false;
    /// A task has reached its maximum number of attempts.
    bool failed_ = false;
    /// When this leader first saw the final phase; starts the retention time.
    BootTime finalSince_{};
    std::uint32_t active_ = 0;
    /// Workers on which a run of the job failed quickly. Not stored.
    std::set<WorkerId> failedQuicklyOn_;
    /// When runs of the job were last stopped for other work; zero for never. Not stored.
    BootTime stoppedForOthersAt_{};

    /// True once no further run may start.
    [[nodiscard]] auto isClosed() const -> bool
    {
        return cancelled_ || failed_ || isFinalPhase(phase_);
    }
};

/// Creates the state of a job without progress.
[[nodiscard]] auto makeTrackedJob(Submission submission) -> TrackedJob;

/// True when tasks of the step may start: its dependencies are done, and tasks are neither done nor active.
[[nodiscard]] auto isReady(const JobPlan &plan, const OccurrenceState &occurrence, std::uint32_t step) -> bool;

/// Unix time from which an occurrence may run: its due time, or the acceptance of a job that runs immediately.
[[nodiscard]] auto referenceTime(const Submission &submission, std::uint32_t occurrence) -> std::chrono::milliseconds;

/// Due time of an occurrence in Unix milliseconds; zero for a job that runs immediately.
[[nodiscard]] auto dueTime(const JobPlan &plan, std::uint32_t occurrence) -> std::chrono::milliseconds;

/// Encodes the stored record of a submission.
[[nodiscard]] auto encodeSubmission(const Submission &submission) -> std::string;

/// Decodes the stored record of a submission. Error: Malformed.
[[nodiscard]] auto decodeSubmission(const std::string &value) -> Result<Submission>;
} // namespace Marjoramfold
