#pragma once

#include "marjoramfold/core/clock.h"
#include "marjoramfold/core/result.h"
#include "marjoramfold/fleet/jobplan.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace Marjoramfold
{
/// One task of one occurrence.
struct TaskState {
    bool done_ = false;
    /// Numbers of the runs that ended as failed, so that an end that is listed again counts once. The members of a gang share them.
    std::set<std::uint32_t> failedRuns_;
    /// Number of the last run; runs are numbered from 1.
    std::uint32_t lastRun_ = 0;
    /// Worker and its life of the run in progress; empty without one.
    WorkerId worker_;
    std::uint64_t workerIncarnation_ = 0;
    /// The newest saved progress; empty without any.
    std::string checkpoint_;
    /// Workers on which the task failed. Not recorded.
    std::set<WorkerId> failedOn_;

    /// True while a run may be in progress.
    [[nodiscard]] auto isActive() const -> bool
    {
        return !worker_.isEmpty();
    }

    /// True when there is something to record.
    [[nodiscard]] auto hasProgress() const -> bool
    {
        return done_ || !failedRuns_.empty() || lastRun_ != 0;
    }
};

/// The tasks of one step of one occurrence.
struct StepState {
    std::vector<TaskState> tasks_;
    std::uint32_t done_ = 0;
    std::uint32_t active_ = 0;
    /// For a gang, the last run that was stopped and so saved all of its progress. Not recorded.
    std::uint32_t stoppedRun_ = 0;
    /// When the step was last found ready to start but did not fit. Zero when it has not waited.
    BootTime waitingSince_{};
    /// When its wait was last logged.
    BootTime waitLoggedAt_{};
};

/// One time that the steps of a job run.
struct OccurrenceState {
    std::vector<StepState> steps_;
    bool done_ = false;
};

/// A job as the leader keeps it.
struct TrackedJob {
    Submission submission_;
    std::vector<OccurrenceState> occurrences_;
    JobPhase phase_ = JobPhase::Queued;
    bool cancelled_ = false;
    /// A task has used up its attempts.
    bool failed_ = false;
    /// When this leader learned that the job is final.
    BootTime finalSince_{};
    std::uint32_t active_ = 0;
    /// Workers on which a run of the job failed at once. Not recorded.
    std::set<WorkerId> failedQuicklyOn_;

    /// True once nothing more may start.
    [[nodiscard]] auto isClosed() const -> bool
    {
        return cancelled_ || failed_ || isFinalPhase(phase_);
    }
};

/// Prepares the state of a job without any progress.
[[nodiscard]] auto makeTrackedJob(Submission submission) -> TrackedJob;

/// Time of day in Unix milliseconds at which an occurrence is due; zero for a job that runs at once.
[[nodiscard]] auto dueTime(const JobPlan &plan, std::uint32_t occurrence) -> std::chrono::milliseconds;

/// Key of the progress record of an occurrence.
[[nodiscard]] auto progressKey(const JobId &job, std::uint32_t occurrence) -> std::string;

/// Job and occurrence of a progress key; empty for another key.
[[nodiscard]] auto parseProgressKey(const std::string &key) -> std::optional<std::pair<JobId, std::uint32_t>>;

/// The recorded part of an occurrence's state.
[[nodiscard]] auto encodeProgress(const OccurrenceState &occurrence) -> std::string;

/// Reads a progress record into an occurrence without progress. Error: Malformed.
[[nodiscard]] auto decodeProgress(const std::string &value, OccurrenceState &occurrence) -> Result<Success>;

/// The record of a submission.
[[nodiscard]] auto encodeSubmission(const Submission &submission) -> std::string;

/// Reads the record of a submission. Error: Malformed.
[[nodiscard]] auto decodeSubmission(const std::string &value) -> Result<Submission>;
} // namespace Marjoramfold
