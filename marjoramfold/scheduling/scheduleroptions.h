#pragma once

#include <chrono>

namespace Marjoramfold
{
/// Limits and switches of the scheduler. The switches let experiments show what each part is worth.
struct SchedulerOptions {
    /// Lease of a held task that is not started; it lapses by itself.
    std::chrono::milliseconds holdLease_{5'000};
    /// First lease of a started task; bounds a partial gang when its scheduler dies between two start messages.
    std::chrono::milliseconds startLease_{3'000};
    /// Lease of a confirmed gang.
    std::chrono::milliseconds runLease_{60'000};
    /// Interval of lease renewals.
    std::chrono::milliseconds renewInterval_{20'000};
    /// Longest grace that preempted work gets, so that urgent work starts within 9.1 s.
    std::chrono::milliseconds maxPreemptionGrace_{5'000};
    /// Jobs that may start ahead of a reserved large job.
    int maxBlockingBackfills_ = 16;
    /// Gangs of an availability zone that move or return at once.
    int maxConcurrentMoves_ = 8;
    /// Different jobs that must fail on a worker within the quarantine window before it is quarantined.
    int quarantineFailures_ = 3;
    std::chrono::milliseconds quarantineWindow_{600'000};
    /// Different workers that a job may fail on before it ends as failed.
    int maxFailedWorkers_ = 3;
    std::chrono::milliseconds firstRetryDelay_{1'000};
    std::chrono::milliseconds maxRetryDelay_{60'000};
    bool backfill_ = true;
    bool compaction_ = true;
    bool learnedEstimates_ = true;
};
} // namespace Marjoramfold
