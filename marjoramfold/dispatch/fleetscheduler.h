#pragma once

#include "marjoramfold/core/clock.h"
#include "marjoramfold/dispatch/backlogforecast.h"
#include "marjoramfold/dispatch/dispatchoptions.h"
#include "marjoramfold/dispatch/joborder.h"
#include "marjoramfold/dispatch/jobstate.h"
#include "marjoramfold/dispatch/progressrecord.h"
#include "marjoramfold/dispatch/workerselector.h"
#include "marjoramfold/dispatch/workersessions.h"
#include "marjoramfold/dispatch/workerspeeds.h"
#include "marjoramfold/fleet/operatorconfig.h"
#include "marjoramfold/observability/workmeter.h"
#include "marjoramfold/store/streamstore.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <tuple>
#include <unordered_map>
#include <unordered_set>
#include <utility>
#include <vector>

namespace Marjoramfold
{
/// Callbacks through which the scheduler stores, publishes, reads its inputs and sets timers.
struct SchedulerHooks {
    /// Stores progress records in order, in one or more appends; reports false when this leader has lost its leadership.
    std::function<void(std::vector<KeyedRecord>, std::function<void(bool)>)> storeProgress_;
    /// Publishes job phases to all instances.
    std::function<void(std::vector<std::pair<JobId, JobPhase>>)> publishPhases_;
    /// Returns the configuration in force.
    std::function<const OperatorConfig &()> config_;
    /// Returns the last settings in force of a queue, for one that is missing from the configuration; null when none are known.
    std::function<const QueueConfig *(const std::string &)> lastQueueSettings_;
    /// Returns the availability zones that get no new work.
    std::function<const std::unordered_set<std::string> &()> evacuatedZones_;
    std::function<std::chrono::milliseconds()> wallNow_;
    /// False while start commands would not be sent, so that nothing is placed; null for always true.
    std::function<bool()> maySendStarts_;
    std::function<void(std::chrono::milliseconds, std::function<void()>)> schedule_;
    /// Measures the work of the control thread; null for no measurement.
    WorkMeter *workMeter_ = nullptr;
};

/// Counters exported as metrics.
struct SchedulerCounts {
    std::uint64_t starts_ = 0;
    std::uint64_t doneRuns_ = 0;
    std::uint64_t failedRuns_ = 0;
    std::uint64_t lostRuns_ = 0;
    std::uint64_t preemptions_ = 0;
    /// Urgent runs that were stopped for the guarantee of another team; not counted as preemptions.
    std::uint64_t reclaims_ = 0;
    /// Placements that waited for runs that end in any case, without a stop.
    std::uint64_t awaitedEnds_ = 0;
    /// Work that stops for other work have lost; an accelerator counts as eight cores.
    double stoppedCoreSeconds_ = 0;
    std::uint64_t stalls_ = 0;
    std::uint64_t moves_ = 0;
    /// Placements for which preferences were given up.
    std::uint64_t waivedPlacements_ = 0;
    /// Reports of runs that this leader did not know.
    std::uint64_t unexpectedRuns_ = 0;
    std::uint64_t passes_ = 0;
    /// Runs from which the speed of their workers was learned.
    std::uint64_t speedSamples_ = 0;
};

/// The leader's scheduler: places tasks on workers, stores the decisions, sends the commands and tracks runs until they end.
///
/// A run is stored before its start command is sent, and its end before it is acknowledged, so that the next leader finds every
/// run that may exist. Only the elected leader has an instance; all calls come from its control thread.
class FleetScheduler
{
public:
    FleetScheduler(DispatchOptions options, std::uint64_t epoch, WorkerCalls calls, SchedulerHooks hooks, std::function<void()> onLeadershipLost);
    ~FleetScheduler();
    FleetScheduler(const FleetScheduler &) = delete;
    auto operator=(const FleetScheduler &) -> FleetScheduler & = delete;

    /// Adds an accepted job; does nothing if the job is already known.
    auto addJob(const Submission &submission, JobPhase phase) -> void;

    /// Cancels a job and stops its runs.
    auto cancelJob(const JobId &id) -> void;

    /// Removes a job whose records were deleted.
    auto removeJob(const JobId &id) -> void;

    /// Restores a progress record that a previous leader stored; the record of an unknown job is kept until the job is added. Records
    /// must be restored in the order of their keys.
    auto restoreProgress(const std::string &key, const std::string &value, std::uint64_t offset = UnknownOffset) -> void;

    /// Enables scheduling once all jobs and progress records are loaded.
    auto startScheduling(const FormerCommands &former) -> void;

    /// The same, when former leaders may have sent commands of any kind until the given time.
    auto startScheduling(BootTime formerCommandsUntil) -> void;

    /// Applies a tighter limit of what former leaders may have sent.
    auto limitFormerCommands(const FormerCommands &former) -> void;

    /// States the workers' leases for a successor, where all progress before an offset is known here. See WorkerSessions::stateLeases().
    [[nodiscard]] auto stateLeases(std::uint64_t progressKnown) -> LeaseStatement;

    /// The store has confirmed a statement.
    auto onStatementConfirmed(const LeaseStatement &statement) -> void;

    /// Applies an entry of the platform's worker list.
    auto updateWorker(const WorkerEntry &entry) -> void;
    auto removeWorker(const WorkerId &id) -> void;
    auto removeWorkersExcept(const std::unordered_map<WorkerId, bool> &listed) -> void;

    /// Applies a new version of the configuration to jobs whose queue was not known, and schedules a pass.
    auto onConfigChanged() -> void;

    /// Schedules a pass that starts what can start.
    auto requestPass() -> void;

    /// Periodic work: lease expiry, stalled runs, draining workers and occurrences that fall due.
    auto tick() -> void;

    /// Stops all activity without notifying the workers.
    auto shutDown() -> void;

    /// Jobs whose final state is past its retention, with the keys of their progress records.
    [[nodiscard]] auto expiredJobs() const -> std::vector<std::pair<JobId, std::vector<ProgressKey>>>;

    [[nodiscard]] auto counts() const -> const SchedulerCounts &;
    [[nodiscard]] auto jobs() const -> const std::unordered_map<JobId, std::unique_ptr<TrackedJob>> &;
    [[nodiscard]] auto sessions() const -> const WorkerSessions &;
    [[nodiscard]] auto workerSpeeds() const -> const WorkerSpeeds &;

    /// The waiting work and the capacity of all pools.
    [[nodiscard]] auto backlogSample() const -> BacklogSample;

private:
    /// A run whose start command is sent once its record is stored.
    struct PendingStart {
        TaskRef task_;
        std::uint32_t run_ = 0;
        WorkerId worker_;
    };

    /// A step whose dependencies are done, with its tasks that have no run.
    struct ReadyStep {
        StepRank rank_;
        TrackedJob *job_ = nullptr;
        const QueueConfig *queue_ = nullptr;
        std::vector<std::uint32_t> tasks_;
    };

    // inheritedjobs.cpp: restored jobs and runs, jobs of queues that are missing from the configuration.
    /// Settings of a job's queue: those in force, else the last ones that were. Null when none are known; nothing of the job starts then.
    [[nodiscard]] auto queueOf(const TrackedJob &job) const -> const QueueConfig *;
    /// Fails or completes open jobs whose progress shows that they have ended.
    auto closeEndedJobs() -> void;
    /// Sets the phase of a restored job whose progress shows that it is completed or has failed.
    auto closeIfEnded(TrackedJob &job) -> void;
    /// Adopts the active runs of the restored occurrences, once all their records are restored.
    auto adoptRestoredRuns() -> void;

    // fleetscheduler.cpp: jobs, records, phases.
    auto findJob(const JobId &id) -> TrackedJob *;
    /// Marks the progress of a task as changed; that of a gang is common to its members.
    auto markDirty(const TrackedJob &job, std::uint32_t occurrence, std::uint32_t step, std::uint32_t index) -> void;
    /// The changed progress records. Fails a job whose record exceeds the store's limit, which would block the records of all others.
    [[nodiscard]] auto takeDirtyRecords() -> std::vector<KeyedRecord>;
    /// Fails a job and stops its runs.
    auto failJob(TrackedJob &job, const std::string &reason) -> void;
    auto logPhase(const TrackedJob &job, JobPhase phase) const -> void;
    auto setPhase(TrackedJob &job, JobPhase phase) -> void;
    auto flush() -> void;
    /// Ends that may be acknowledged once all changed records are stored.
    [[nodiscard]] auto recordableEnds() const -> std::vector<ReportedEnds>;
    auto onRecorded(const std::vector<PendingStart> &starts, const std::vector<ReportedEnds> &ends) -> void;
    auto sendStart(const PendingStart &start) -> void;
    [[nodiscard]] auto reasonNotToStart(const PendingStart &start) -> std::string;
    auto stopRuns(TrackedJob &job, const std::string &reason) -> void;

    // runoutcomes.cpp: handling of run starts and run ends.
    auto onRunStarted(const WorkerId &worker, const TaskRef &task, std::uint32_t run) -> void;
    auto onRunEnded(const RunEnded &end) -> void;
    /// Keeps the task from the worker for a while, so that another one gets it.
    auto onStartRefused(const WorkerId &worker, const TaskRef &task) -> void;
    /// Keeps the task of an unexpected run from starting until that run has ended; returns the capacity that the run occupies.
    auto onUnexpectedRun(const WorkerId &worker, const TaskRef &task, std::uint32_t run) -> ResourceVector;
    [[nodiscard]] auto hasUnexpectedRun(const TaskRef &task) const -> bool;
    auto applyStaleEnd(TrackedJob &job, const RunEnded &end) -> void;
    auto applyDone(TrackedJob &job, const RunEnded &end) -> void;
    auto addEndedWork(const TrackedJob &job, const StepPlan &plan, std::uint32_t tasks) -> void;
    auto applyFailure(TrackedJob &job, const RunEnded &end) -> void;
    auto stopGangMembers(TrackedJob &job, const RunEnded &end) -> void;
    auto updateWorkerHealth(const RunEnded &end) -> void;
    /// Cause that a failed run is attributed to.
    enum class FailureAttribution : std::uint8_t {
        /// Job or worker; the worker is quarantined only after failures of several jobs.
        Ambiguous,
        Worker,
    };
    auto recordWorkerFailure(WorkerSession &session, const JobId &job, FailureAttribution attribution, const std::string &reason) -> void;
    [[nodiscard]] auto attributeFailure(const RunEnded &end) -> FailureAttribution;
    auto completeIfDone(TrackedJob &job) -> void;
    auto updateRunTimeRatio(const TrackedJob &job, const RunEnded &end) -> void;
    /// Keeps the latest checkpoint; the members of a gang share it.
    auto keepCheckpoint(StepState &step, const StepPlan &plan, const RunEnded &end) -> void;

    // speedsamples.cpp: learning and recording of the workers' speeds.
    /// The speeds by which workers are chosen; null when they are not used.
    [[nodiscard]] auto speeds() const -> const WorkerSpeeds *;
    /// Learns from the end of a task's first run, compared with the other tasks of the step.
    auto learnSpeed(TrackedJob &job, const RunEnded &end) -> void;
    /// Durations of other tasks of the step on ordinary workers, of unfinished ones as projected from their progress.
    [[nodiscard]] auto otherDurations(const TrackedJob &job, const TaskRef &task) const -> std::vector<double>;
    /// True when a run on the worker takes no longer for being away from the step's data.
    [[nodiscard]] static auto ranNearData(const StepPlan &plan, const WorkerSession &session) -> bool;
    /// Adds the record of the speeds to an append if it is due.
    auto addSpeedsRecord(std::vector<KeyedRecord> &records) -> void;
    auto restoreSpeeds(const std::string &record) -> void;

    // interventions.cpp: early stops of runs that would not end by themselves.
    auto findStalls() -> void;
    /// True for a gang member without progress while another member is not running.
    [[nodiscard]] auto waitsForGangMember(const RunKey &key, const WorkerRun &run) -> bool;
    auto moveRunsOffDrainingWorkers(BootTime now) -> void;
    /// Estimated time until a run ends; empty for a service or a run without progress.
    [[nodiscard]] static auto remainingRunTime(const WorkerSession &session, const WorkerRun &run, BootTime now) -> std::optional<std::chrono::milliseconds>;

    // startpass.cpp: choice and placement of ready steps.
    auto runPass() -> void;
    /// Runs a pass and schedules the next one by the time that this one took.
    auto runTimedPass() -> void;
    /// Accelerators in use by team.
    using TeamUse = std::map<TeamId, std::int64_t>;
    /// Collects the ready steps, and adds what the teams' urgent runs use.
    [[nodiscard]] auto readySteps(TeamUse &urgentUse) -> std::vector<ReadyStep>;
    auto collectReady(TrackedJob &job, const QueueConfig &queue, std::vector<ReadyStep> &ready, TeamUse &urgentUse) -> void;
    /// Sorts the ready steps. Urgent tasks within their team's guarantee come before those beyond it; a step may be divided for that.
    auto orderSteps(std::vector<ReadyStep> &ready, TeamUse urgentUse) const -> void;
    auto placeStep(WorkerSelector &selector, ReadyStep &ready, unsigned &reservations) -> void;
    auto placeTasks(WorkerSelector &selector, const ReadyStep &ready, const std::vector<std::uint32_t> &tasks, unsigned &reservations) -> void;
    /// Time for which a task is kept away from a worker after a number of failures there.
    [[nodiscard]] auto avoidanceAfter(unsigned failures) const -> std::chrono::milliseconds;
    /// Workers that refused the start of a step's task too recently for another attempt.
    [[nodiscard]] auto refusingWorkers(const StepState &step, std::uint32_t index) const -> std::set<WorkerId>;
    [[nodiscard]] auto makeRequest(WorkerSelector &selector, const ReadyStep &ready, const std::vector<std::uint32_t> &tasks) -> PlacementRequest;
    /// Longest time for which a step waits for workers without a slowdown.
    [[nodiscard]] auto localityWait(const ReadyStep &ready) const -> std::chrono::milliseconds;
    /// True for a request of a job with nothing running that only preferences keep from starting.
    [[nodiscard]] auto isHeldBack(WorkerSelector &selector, const ReadyStep &ready, const PlacementRequest &request) const -> bool;
    /// True when a run of the job is on a worker that responds.
    [[nodiscard]] auto hasReachableRun(const TrackedJob &job) const -> bool;
    /// Placement for a step that preferences have kept waiting for too long. `givenUp` has those to give up besides the usual ones.
    [[nodiscard]] static auto findPlacementWithoutPreferences(WorkerSelector &selector, PlacementRequest request, PreferenceSet givenUp)
        -> std::optional<PlacementDecision>;
    /// Assumes that a former leader has kept each ready step waiting for as long as preferences may. The acceptance of its job does not tell
    /// how long, since the clocks of instances differ.
    auto assumeFormerWaits() -> void;
    /// Ends the held time of a step when a run has begun: of a gang or service when all of its tasks run, else at once.
    auto resetHeldTime(TrackedJob &job, const TaskRef &begun) -> void;
    /// True when the task's run was accepted by a worker that responds.
    [[nodiscard]] auto isRunning(const TaskRef &ref, const TaskState &task) const -> bool;
    [[nodiscard]] auto choosePlacement(WorkerSelector &selector, const ReadyStep &ready, const PlacementRequest &request) -> std::optional<PlacementDecision>;
    /// Reserves workers for a gang that has waited in a busy pool.
    auto reserveWorkers(WorkerSelector &selector, const ReadyStep &ready, const PlacementRequest &request, unsigned &reservations) -> void;
    /// Keeps capacity for a step whose preempted runs are still being stopped; false when there are none.
    auto holdAwaitedWorkers(WorkerSelector &selector, const ReadyStep &ready) -> bool;
    auto logWaitingStep(WorkerSelector &selector, const ReadyStep &ready, const PlacementRequest &request) -> void;
    /// Factor for the cost of stopping runs of a job, by what its caller loses; 1 unless room is shared by cost.
    [[nodiscard]] auto delayWeightOf(const JobId &id) -> double;
    auto preempt(WorkerSelector &selector, const ReadyStep &ready, const PlacementDecision &choice) -> void;
    auto startTasks(WorkerSelector &selector, const ReadyStep &ready, const std::vector<std::uint32_t> &tasks, const PlacementDecision &choice) -> void;
    /// The state of a new run that occupies capacity of a worker.
    [[nodiscard]] auto makeWorkerRun(const TrackedJob &job, std::uint32_t step, const WorkerId &worker, int priority, bool remote) const -> WorkerRun;
    [[nodiscard]] auto runTimeRatioOf(const std::string &queue) const -> double;

    DispatchOptions options_;
    SchedulerHooks hooks_;
    std::function<void()> onLeadershipLost_;
    std::unordered_map<JobId, std::unique_ptr<TrackedJob>> jobs_;
    /// Jobs without a final phase; ordered, so that decisions are reproducible.
    std::map<JobId, TrackedJob *> open_;
    std::set<ProgressKey> dirty_;
    /// Occurrences whose restored runs are not adopted yet.
    std::set<std::pair<JobId, std::uint32_t>> restored_;
    /// Offsets of the records with their progress.
    std::map<ProgressKey, std::uint64_t> restoredAt_;
    /// Runs that workers reported unexpectedly and that have not ended yet.
    std::set<std::tuple<TaskRef, std::uint32_t, WorkerId>> unexpectedRuns_;
    /// Restored progress records of jobs that are not known yet, as key and value.
    std::map<JobId, std::map<std::string, std::string>> progressOfUnknownJobs_;
    /// Ends of runs of these jobs.
    std::unordered_map<JobId, std::vector<RunEnded>> endsOfUnknownJobs_;
    std::vector<PendingStart> pendingStarts_;
    std::vector<std::pair<JobId, JobPhase>> pendingPhases_;
    /// Smoothed ratio of measured to estimated run time, by queue.
    std::unordered_map<std::string, double> runTimeRatios_;
    WorkerSpeeds speeds_;
    BootTime speedsRecordedAt_{};
    /// Work of the tasks that ended successfully, by pool; only with DispatchOptions::rejectHopeless_.
    std::map<std::string, ResourceSeconds> endedWork_;
    SchedulerCounts counts_;
    /// Version of the configuration that was last applied to the open jobs.
    std::uint64_t appliedConfig_ = 0;
    bool scheduling_ = false;
    BootTime schedulingSince_{};
    unsigned waitLinesLeft_ = 0;
    bool passRequested_ = false;
    /// Passes until then would take more than their share of the control thread's time.
    BootTime nextPassAt_{};
    bool recording_ = false;
    std::shared_ptr<bool> alive_;
    WorkerSessions sessions_;
};
} // namespace Marjoramfold
