#pragma once

#include <chrono>

namespace Marjoramfold
{
/// Limits and feature switches of the scheduler. Experiments use the switches to measure each feature.
struct SchedulerOptions {
    /// Lease of a held task; it expires unless the task is started.
    std::chrono::milliseconds holdLease_{5'000};
    /// First lease of a started task; bounds the run time of a partial gang when its scheduler crashes between two Start messages.
    std::chrono::milliseconds startLease_{3'000};
    /// Lease of a confirmed gang.
    std::chrono::milliseconds runLease_{60'000};
    std::chrono::milliseconds renewInterval_{20'000};
    /// Upper bound on the preemption grace, so that urgent work starts within 9.1 s.
    std::chrono::milliseconds maxPreemptionGrace_{5'000};
    /// Jobs per reservation that may start on reserved workers although they cannot be evicted without loss.
    int maxBlockingBackfills_ = 16;
    /// Gangs of an availability zone that move, or start during a ramp-up, at the same time.
    int maxConcurrentMoves_ = 8;
    /// Different jobs that must fail on a worker within the quarantine window to quarantine it.
    int quarantineFailures_ = 3;
    std::chrono::milliseconds quarantineWindow_{600'000};
    /// Different workers on which a job must fail to end as failed.
    int maxFailedWorkers_ = 3;
    std::chrono::milliseconds firstRetryDelay_{1'000};
    std::chrono::milliseconds maxRetryDelay_{60'000};
    bool backfill_ = true;
    bool compaction_ = true;
    bool learnedEstimates_ = true;
};
} // namespace Marjoramfold
