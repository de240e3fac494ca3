#pragma once

#include "marjoramfold/core/clock.h"
#include "marjoramfold/dispatch/dispatchoptions.h"
#include "marjoramfold/dispatch/joborder.h"
#include "marjoramfold/dispatch/jobstate.h"
#include "marjoramfold/dispatch/workerselector.h"
#include "marjoramfold/dispatch/workersessions.h"
#include "marjoramfold/fleet/operatorconfig.h"
#include "marjoramfold/store/streamstore.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <utility>
#include <vector>

namespace Marjoramfold
{
/// What the scheduler needs from its surroundings.
struct SchedulerHooks {
    /// Stores progress records, all or nothing; false when this leader was deposed.
    std::function<void(std::vector<KeyedRecord>, std::function<void(bool)>)> storeProgress_;
    /// Tells all instances the phases of jobs.
    std::function<void(std::vector<std::pair<JobId, JobPhase>>)> publishPhases_;
    /// The configuration in force.
    std::function<const OperatorConfig &()> config_;
    /// Availability zones that get no new work.
    std::function<const std::unordered_set<std::string> &()> evacuatedZones_;
    std::function<std::chrono::milliseconds()> wallNow_;
    std::function<void(std::chrono::milliseconds, std::function<void()>)> schedule_;
};

/// Figures for metrics.
struct SchedulerCounts {
    std::uint64_t starts_ = 0;
    std::uint64_t doneRuns_ = 0;
    std::uint64_t failedRuns_ = 0;
    std::uint64_t lostRuns_ = 0;
    std::uint64_t preemptions_ = 0;
    std::uint64_t stalls_ = 0;
    std::uint64_t moves_ = 0;
    std::uint64_t passes_ = 0;
};

/// The leader's scheduler: decides what starts where, records it, orders it, and follows it to its end.
///
/// A run is recorded before it is ordered, and an end before it is acknowledged, so that a successor finds every run that may
/// exist. Only the elected leader has one; all calls come from its control thread.
class FleetScheduler
{
public:
    /// `othersRenewedUntil` is the time until which a former leader may have renewed leases.
    FleetScheduler(DispatchOptions options,
                   std::uint64_t epoch,
                   BootTime previousRenewalsUntil,
                   WorkerCalls calls,
                   SchedulerHooks hooks,
                   std::function<void()> onLeadershipLost);
    ~FleetScheduler();
    FleetScheduler(const FleetScheduler &) = delete;
    auto operator=(const FleetScheduler &) -> FleetScheduler & = delete;

    /// Adds an accepted job; a job that is known already is left as it is.
    auto addJob(const Submission &submission, JobPhase phase) -> void;

    /// Cancels a job and stops its runs.
    auto cancelJob(const JobId &id) -> void;

    /// Forgets a job whose records were dropped.
    auto removeJob(const JobId &id) -> void;

    /// Takes over a progress record of a former leader.
    auto restoreProgress(const std::string &key, const std::string &value) -> void;

    /// Begins to decide; jobs and progress are complete.
    auto startScheduling() -> void;

    /// Takes over an entry of the platform's list of workers.
    auto updateWorker(const WorkerEntry &entry) -> void;
    auto removeWorker(const WorkerId &id) -> void;
    auto removeWorkersExcept(const std::unordered_map<WorkerId, bool> &listed) -> void;

    /// Looks for work that can start, soon.
    auto requestPass() -> void;

    /// Timed work: leases, stalls, occurrences that fall due, old jobs.
    auto tick() -> void;

    /// Stops all activity, without a word to the workers.
    auto shutDown() -> void;

    /// Jobs whose final state need not be readable any longer.
    [[nodiscard]] auto expiredJobs() const -> std::vector<std::pair<JobId, std::uint32_t>>;

    [[nodiscard]] auto counts() const -> const SchedulerCounts &;
    [[nodiscard]] auto jobs() const -> const std::unordered_map<JobId, std::unique_ptr<TrackedJob>> &;
    [[nodiscard]] auto sessions() const -> const WorkerSessions &;

private:
    /// A run that waits for its record before its order goes out.
    struct PendingStart {
        TaskRef task_;
        std::uint32_t run_ = 0;
        WorkerId worker_;
    };

    /// A ready step with its tasks that can start now.
    struct ReadyStep {
        StepRank rank_;
        TrackedJob *job_ = nullptr;
        const QueueConfig *queue_ = nullptr;
        std::vector<std::uint32_t> tasks_;
    };

    // fleetscheduler.cpp: jobs, records, phases.
    auto findJob(const JobId &id) -> TrackedJob *;
    auto markDirty(TrackedJob &job, std::uint32_t occurrence) -> void;
    auto setPhase(TrackedJob &job, JobPhase phase) -> void;
    auto flush() -> void;
    auto onRecorded(const std::vector<PendingStart> &starts, const std::vector<std::pair<WorkerId, std::uint64_t>> &ends) -> void;
    auto sendStart(const PendingStart &start) -> void;
    [[nodiscard]] auto reasonNotToStart(const PendingStart &start) -> std::string;
    auto stopRuns(TrackedJob &job, const std::string &reason) -> void;

    // runoutcomes.cpp: what follows from what workers report.
    auto onRunStarted(const WorkerId &worker, const TaskRef &task, std::uint32_t run) -> void;
    auto onRunEnded(const RunEnded &end) -> void;
    auto applyStaleEnd(TrackedJob &job, const RunEnded &end) -> void;
    auto applyDone(TrackedJob &job, const RunEnded &end) -> void;
    auto applyFailure(TrackedJob &job, const RunEnded &end) -> void;
    auto stopGangMembers(TrackedJob &job, const RunEnded &end) -> void;
    auto updateWorkerHealth(const RunEnded &end) -> void;
    /// What a failure says of its worker.
    enum class FailureAttribution : std::uint8_t {
        /// It may be the job's own fault; failures of several jobs are needed.
        Ambiguous,
        Worker,
    };
    auto recordWorkerFailure(WorkerSession &session, const JobId &job, FailureAttribution attribution, const std::string &reason) -> void;
    [[nodiscard]] auto attributeFailure(const RunEnded &end) -> FailureAttribution;
    auto completeIfDone(TrackedJob &job) -> void;
    auto updateRunTimeRatio(const TrackedJob &job, const RunEnded &end) -> void;
    /// Keeps the newest saved progress; the members of a gang share it.
    auto keepCheckpoint(StepState &step, const StepPlan &plan, const RunEnded &end) -> void;

    // interventions.cpp: runs that are stopped because they would not come to their end.
    auto findStalls() -> void;
    /// True for a member of a gang that has not begun to work because another member is missing.
    [[nodiscard]] auto waitsForGangMember(const RunKey &key, const WorkerRun &run) -> bool;
    auto moveRunsOffDrainingWorkers(BootTime now) -> void;
    /// Time that a run needs to its end; empty when it would not come to it, because it lasts or stands still.
    [[nodiscard]] static auto remainingRunTime(const WorkerSession &session, const WorkerRun &run, BootTime now) -> std::optional<std::chrono::milliseconds>;

    // startpass.cpp: choosing what starts.
    auto runPass() -> void;
    [[nodiscard]] auto readySteps() -> std::vector<ReadyStep>;
    auto collectReady(TrackedJob &job, const QueueConfig &queue, std::vector<ReadyStep> &ready) -> void;
    auto placeStep(WorkerSelector &selector, ReadyStep &ready, unsigned &reservations) -> void;
    auto placeTasks(WorkerSelector &selector, const ReadyStep &ready, const std::vector<std::uint32_t> &tasks, unsigned &reservations) -> void;
    [[nodiscard]] auto makeRequest(const ReadyStep &ready, const std::vector<std::uint32_t> &tasks) -> PlacementRequest;
    [[nodiscard]] auto choosePlacement(WorkerSelector &selector, const ReadyStep &ready, const PlacementRequest &request, unsigned &reservations)
        -> std::optional<PlacementDecision>;
    auto logWaitingStep(const WorkerSelector &selector, const ReadyStep &ready, const PlacementRequest &request) -> void;
    auto preempt(WorkerSelector &selector, const ReadyStep &ready, const PlacementDecision &choice) -> void;
    auto startTasks(WorkerSelector &selector, const ReadyStep &ready, const std::vector<std::uint32_t> &tasks, const PlacementDecision &choice) -> void;
    /// A run of a step that takes room at a worker from now on.
    [[nodiscard]] auto makeWorkerRun(const StepPlan &plan, int priority, bool remote) const -> WorkerRun;
    [[nodiscard]] auto runTimeRatioOf(const std::string &queue) const -> double;

    DispatchOptions options_;
    SchedulerHooks hooks_;
    std::function<void()> onLeadershipLost_;
    std::unordered_map<JobId, std::unique_ptr<TrackedJob>> jobs_;
    /// Jobs that are not closed, in a fixed order.
    std::map<JobId, TrackedJob *> open_;
    std::set<std::pair<JobId, std::uint32_t>> dirty_;
    std::vector<PendingStart> pendingStarts_;
    std::vector<std::pair<JobId, JobPhase>> pendingPhases_;
    /// Run time against estimate, learned a queue.
    std::unordered_map<std::string, double> runTimeRatios_;
    SchedulerCounts counts_;
    bool scheduling_ = false;
    bool passRequested_ = false;
    bool recording_ = false;
    std::shared_ptr<bool> alive_;
    WorkerSessions sessions_;
};
} // namespace Marjoramfold
