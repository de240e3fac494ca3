#pragma once

#include "marjoramfold/core/clock.h"
#include "marjoramfold/fleet/workerentry.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <utility>

namespace Marjoramfold
{
/// Where a run stands at its worker, as far as the leader knows.
enum class RunStage : std::uint8_t {
    /// Recorded in the store; the order has not been sent.
    Recorded,
    /// The order was sent; no answer yet.
    StartSent,
    /// The order got no answer; it may have been carried out, or may be later.
    InDoubt,
    Running,
    /// A stop was sent.
    Stopping,
};

/// Name of a stage for logs.
[[nodiscard]] auto toString(RunStage stage) -> std::string_view;

/// A task and the number of its run.
using RunKey = std::pair<TaskRef, std::uint32_t>;

/// A run that takes room at a worker.
struct WorkerRun {
    RunStage stage_ = RunStage::Recorded;
    ResourceVector demand_;
    int priority_ = 0;
    /// Tasks that end when this run is stopped: all members of a gang.
    std::uint32_t gangSize_ = 1;
    /// A stop saves the progress.
    bool checkpointsOnStop_ = false;
    /// Run time that is expected at this place.
    std::chrono::milliseconds expected_{0};
    BootTime placedAt_{};
    /// Token of the start order; a list asked for under a higher one shows for certain whether the order was carried out.
    std::uint64_t startToken_ = 0;
    /// When the worker's acceptance arrived; a list asked for earlier may lack the run.
    BootTime acceptedAt_{};
    BootTime progressAt_{};
    /// The worker's clock when it listed the progress; its own time tells a run that stands still from an answer that was late.
    std::chrono::milliseconds progressClock_{0};
    int percent_ = 0;
    std::string checkpoint_;
    /// When the last stop was sent.
    BootTime stopSentAt_{};
};

/// One life of a worker as the leader sees it: its entry, its runs, its lease and its clock.
struct WorkerSession {
    WorkerEntry entry_;
    /// The platform's list has an entry for it.
    bool listed_ = true;
    std::map<RunKey, WorkerRun> runs_;
    ResourceVector used_;
    std::uint64_t fencingToken_ = 0;
    /// Number of the last end that was handed to the scheduler, recorded in the store, and acknowledged to the worker.
    std::uint64_t lastEndSeen_ = 0;
    std::uint64_t lastEndRecorded_ = 0;
    std::uint64_t lastEndAcknowledged_ = 0;
    /// Latest lease end that any order of this leader asked for, on the worker's clock.
    std::chrono::milliseconds leaseUntil_{0};
    /// The worker's clock was at least this when its answer arrived.
    std::chrono::milliseconds clock_{0};
    BootTime clockAt_{};
    /// The worker's clock when it last listed its runs.
    std::chrono::milliseconds listedClock_{0};
    /// Earliest time at which a draining worker is gone.
    BootTime drainEndsAt_{};
    /// The worker has answered this leader.
    bool answered_ = false;
    /// When this leader first asked; only that question may have extended a lease unheard.
    BootTime firstRenewalAt_{};
    /// A former leader gave orders to this life of the worker.
    bool adopted_ = false;
    bool renewing_ = false;
    /// Start of the last renewal that was answered.
    BootTime renewedAt_{};
    /// First failure of the failing calls in progress; zero when the last call was answered.
    BootTime unreachableSince_{};
    /// Last sign that runs get on there: progress or a run that was done.
    BootTime lastHealthyAt_{};
    /// Jobs whose tasks failed or stood still there since the last success.
    std::set<JobId> failedJobs_;
    unsigned quarantineCount_ = 0;
    /// Gets no new work until then.
    BootTime quarantinedUntil_{};

    /// Room that new runs may take.
    [[nodiscard]] auto freeCapacity() const -> ResourceVector
    {
        auto room = entry_.capacity_;
        room -= used_;
        return room;
    }
};
} // namespace Marjoramfold
