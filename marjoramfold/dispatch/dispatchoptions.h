#pragma once

#include <chrono>

namespace Marjoramfold
{
/// Bounds that the platform sets, and times that the scheduler chooses within them.
struct DispatchOptions {
    /// Longest lease that a worker grants.
    std::chrono::milliseconds maxLease_{6000};
    /// Lease that is asked for: long enough for a change of leader, short enough to start a lost worker's tasks again soon.
    std::chrono::milliseconds requestedLease_{6000};
    /// A worker's clock may run this much slower than ours.
    double maxClockDrift_ = 0.02;
    /// Added to computed ends of leases, for rounding and the time of an answer.
    std::chrono::milliseconds leaseMargin_{200};
    /// A leader that lost the store goes on renewing leases for this long; its successor counts on it.
    std::chrono::milliseconds maxRenewalWithoutStore_{5000};
    /// Longest wait of a renewal for an end, and so the time between two looks at a run's progress; the platform allows 2 s.
    std::chrono::milliseconds renewalWait_{1000};
    /// Time for an answer from a worker beyond the wait; answers take 3 to 5 ms when all is well.
    std::chrono::milliseconds commandTimeout_{600};
    /// Pause before an unreachable worker is tried again.
    std::chrono::milliseconds renewalRetryDelay_{150};
    /// As above, for a worker without runs: nothing waits for its answer.
    std::chrono::milliseconds idleProbeInterval_{700};
    /// Longest time that a stop takes at a worker.
    std::chrono::milliseconds maxStopTime_{900};
    /// Guaranteed work has started this long after its acceptance.
    std::chrono::milliseconds guaranteedStartDeadline_{3400};
    /// A run whose progress stands still for this long, on its worker's clock, is taken for hung: two looks without progress.
    std::chrono::milliseconds stallTimeout_{900};
    /// Slow runs are given this share of their expected time, since progress is listed in whole hundredths.
    double stallRunTimeShare_ = 0.05;
    /// First time that a worker is avoided after failures; it doubles each time.
    std::chrono::milliseconds quarantineTime_{5000};
    std::chrono::milliseconds maxQuarantineTime_{40000};
    /// Failures in a row, without a success between them, that make a worker suspect.
    unsigned failedJobsToQuarantine_ = 2;
    /// How many times longer a task runs away from its data or a gang across racks.
    double remoteSlowdown_ = 3.0;
    /// A final state stays readable for this long before its records are dropped.
    std::chrono::seconds finalStateRetention_{240};
    /// Records go out at most this often while many things change.
    std::chrono::milliseconds minPassInterval_{10};
};
} // namespace Marjoramfold
