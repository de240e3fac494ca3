#pragma once

#include <chrono>
#include <cstddef>

namespace Marjoramfold
{
/// Limits set by the platform and the scheduler's own timeouts within them.
struct DispatchOptions {
    /// Longest lease that a worker accepts.
    std::chrono::milliseconds maxLease_{6000};
    /// Lease requested from workers: long enough to survive a change of leader, short enough to restart a lost worker's tasks soon.
    std::chrono::milliseconds requestedLease_{6000};
    /// Largest share by which a worker's clock may run slower than the leader's.
    double maxClockDrift_ = 0.02;
    /// Added to computed lease ends to cover rounding and response latency.
    std::chrono::milliseconds leaseMargin_{200};
    /// A leader whose leadership the store no longer confirms stays in office for this long: it asks for reports and sends stops.
    std::chrono::milliseconds maxTermWithoutStore_{5000};
    /// Such a leader renews leases only for this long, or while the store is slow for as long as it is in office; its successor relies on what
    /// it stated. With the requested lease it is above the store's longest outages, 6.7 s.
    std::chrono::milliseconds maxRenewalWithoutStore_{2000};
    /// Such a leader sends start commands, and renews the leases of workers with runs that they have not reported, only for this long: a worker
    /// that was restarted, whose clock the leader does not know, may grant the longest lease for them. Beyond the delay of a slow store.
    std::chrono::milliseconds maxStartWithoutStore_{1500};
    /// Longest time that a worker delays a renewal response while no run ends, and so the interval of progress reports; the platform
    /// allows 2 s.
    std::chrono::milliseconds renewalWait_{1000};
    /// Response timeout beyond the requested wait; responses normally take 3 to 5 ms.
    std::chrono::milliseconds commandTimeout_{600};
    /// Delay before a failed renewal of a worker with runs is retried.
    std::chrono::milliseconds renewalRetryDelay_{150};
    /// Retry delay for a worker without runs; longer, because no run depends on the response.
    std::chrono::milliseconds idleProbeInterval_{700};
    /// Start commands that are sent to a worker for one run before its task may start elsewhere.
    unsigned maxStartCommands_ = 4;
    /// Time for which the state of an unlisted worker is kept: a worker that returns is then asked before it gets work.
    std::chrono::seconds unlistedSessionRetention_{60};
    /// Longest time that a worker needs to stop a run.
    std::chrono::milliseconds maxStopTime_{900};
    /// Locality, the idle reserve, reservations and quarantine together keep a job with nothing running for this long at most from workers that
    /// could take it, while its service has much room. A job may have nothing running for 3 s; the rest of that time is for a leader that falls
    /// silent and for a start command without an answer.
    std::chrono::milliseconds maxHeldTime_{1500};
    /// The same for workers that failed the task, or several jobs, some seconds ago. Longer, so that a fault does not use up the task's attempts so soon.
    std::chrono::milliseconds maxHeldTimeByFailures_{2400};
    /// A new leader gives up preferences only after this time, so that most workers have reported.
    std::chrono::milliseconds leaderSettleTime_{300};
    /// Guaranteed work must start within this time after its acceptance.
    std::chrono::milliseconds guaranteedStartDeadline_{3400};
    /// A run without progress for this long on its worker's clock counts as stalled, that is, after two reports without progress.
    std::chrono::milliseconds stallTimeout_{900};
    /// Lower bound of the stall timeout as a share of the expected run time, because progress is reported in whole percent.
    double stallRunTimeShare_ = 0.05;
    /// A task is kept away from a worker for this long after it failed there; the time doubles with each failure, up to
    /// `quarantineTime_`. Shorter than the 3 s for which a job may have nothing running while there is capacity for it, and long enough
    /// that a fault of the only suitable worker, which lasts some seconds, does not use up the task's attempts.
    std::chrono::milliseconds failedWorkerAvoidance_{2000};
    /// A worker that refused the start of a task is not asked again for it before this time, so that another one gets it. The time does not grow,
    /// since the only suitable worker may refuse several run numbers before it accepts one.
    std::chrono::milliseconds refusalPause_{250};
    /// First quarantine time of a failing worker; it doubles with each repetition. Work that no other worker can take waits no longer
    /// than this.
    std::chrono::milliseconds quarantineTime_{5000};
    std::chrono::milliseconds maxQuarantineTime_{40000};
    /// Number of different jobs with failures since the last success that quarantine a worker.
    unsigned failedJobsToQuarantine_ = 2;
    /// Factor by which a task slows down away from its data, or a gang across racks.
    double remoteSlowdown_ = 3.0;
    /// A final job state stays readable for this long before its records are deleted.
    std::chrono::seconds finalStateRetention_{240};
    /// Shortest interval between scheduling passes; limits the rate of stored records under load.
    std::chrono::milliseconds minPassInterval_{10};
    /// Largest share of the control thread's time that scheduling passes may take; the interval between passes grows accordingly.
    double maxPassShare_ = 0.3;
    /// Commands to workers that are sent in one turn of the control thread, apart from those that follow from a worker's response.
    std::size_t commandsPerTurn_ = 32;
    /// Urgent and large work prefers workers that take less time for the same work. See docs/design/worker-speeds.md.
    bool preferFastWorkers_ = false;
    /// Idle workers are kept together in few racks, for gangs that need one rack. See docs/design/capacity-sharing.md.
    bool packRacks_ = false;
    /// Waiting work of higher rank withholds capacity from work of lower rank. See docs/design/capacity-sharing.md.
    bool shareRoomByCost_ = false;
    /// Submissions that could not end in time are rejected. See docs/design/admission.md.
    bool rejectHopeless_ = false;
};
} // namespace Marjoramfold
