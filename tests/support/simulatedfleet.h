#pragma once

#include "marjoramfold/dispatch/fleetscheduler.h"
#include "tests/support/scriptedstore.h"

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <unordered_set>
#include <utility>
#include <vector>

namespace Marjoramfold::Test
{
/// A simulated worker with runs, leases, fencing and reports that follow the platform's contract.
struct SimulatedWorker {
    struct Run {
        std::uint32_t run_ = 0;
        std::chrono::milliseconds startedAt_{0};
        std::chrono::milliseconds worked_{0};
        bool stopping_ = false;
        std::chrono::milliseconds stopAt_{0};
    };

    WorkerEntry entry_;
    std::map<TaskRef, Run> runs_;
    std::map<TaskRef, std::uint32_t> highestRun_;
    std::vector<ReportedRunEnd> ends_;
    std::uint64_t nextEnd_ = 1;
    std::uint64_t token_ = 0;
    std::chrono::milliseconds clockStartedAt_{0};
    std::chrono::milliseconds leaseUntil_{0};
    /// Successful tasks whose ends are not acknowledged yet, by end number.
    std::map<std::uint64_t, TaskRef> unacknowledgedDone_;
    bool reachable_ = true;
    /// No process listens at the address; every command fails at once and has no effect.
    bool refusesConnections_ = false;
    std::size_t refusedStarts_ = 0;
    /// Every run fails after a short time.
    bool failsAll_ = false;
    /// Runs make no progress.
    bool hangs_ = false;
    /// Duration of the same work relative to a worker of ordinary speed.
    double relativeDuration_ = 1;
};

/// A scheduler with simulated workers and a progress store on a simulated clock; checks the scheduling invariants.
class SimulatedFleet
{
public:
    SimulatedFleet();
    ~SimulatedFleet();
    SimulatedFleet(const SimulatedFleet &) = delete;
    auto operator=(const SimulatedFleet &) -> SimulatedFleet & = delete;

    /// Adds workers to a rack of a zone.
    auto addWorkers(unsigned count, const std::string &zone, const std::string &rack) -> void;

    /// Starts a leader with the next epoch; an existing one is killed.
    auto startLeader() -> void;
    auto killLeader() -> void;

    auto submit(const Submission &submission) -> void;
    auto cancel(const JobId &id) -> void;

    /// Writes a progress record as a former leader.
    auto storeProgress(const std::string &key, const std::string &value) -> void;

    /// Lets the feed show a hidden job to the leader.
    auto show(const JobId &id) -> void;

    /// Advances the clock in small steps and checks the invariants after each.
    auto advance(std::chrono::milliseconds time) -> void;

    /// Restarts a worker with the same id and empty state.
    auto restartWorker(const WorkerId &id) -> void;

    /// Drains a worker: it shuts down with all its runs after `notice`.
    auto drain(const WorkerId &id, std::chrono::milliseconds notice) -> void;

    /// Removes a worker from the list.
    auto unlist(const WorkerId &id) -> void;

    [[nodiscard]] auto phaseOf(const JobId &id) const -> JobPhase;
    [[nodiscard]] auto worker(const WorkerId &id) -> SimulatedWorker &;
    [[nodiscard]] auto workerIds() const -> std::vector<WorkerId>;
    [[nodiscard]] auto runningTasks() const -> std::size_t;
    [[nodiscard]] auto now() const -> std::chrono::milliseconds;

    OperatorConfig config_;
    /// Options of the next leader.
    DispatchOptions options_;
    /// Last settings of queues that the store has.
    std::map<std::string, QueueConfig> lastQueues_;
    std::unordered_set<std::string> evacuatedZones_;
    /// Run time of a task on a healthy worker of ordinary speed; 2 s when not set.
    std::function<std::chrono::milliseconds(const TaskRef &)> work_;
    /// Maps actual to reported progress in percent; identity when not set.
    std::function<int(int)> listedPercent_;
    /// Tasks that fail at the end of their run time.
    std::function<bool(const TaskRef &)> fails_;
    /// Fault of the next start command: 0 none, 1 lost response, 2 executed 3 s later without a response, 3 refused for want of room.
    std::function<int(const TaskRef &)> startFault_;
    /// While true, incomplete gangs are not reported as violations, because workers may be partitioned.
    bool allowIncompleteGangs_ = false;
    /// While true, no record is stored.
    bool storeDown_ = false;
    /// Selects the records that are stored; after another one, the leader hears nothing more of the append. All when not set.
    std::function<bool(const std::string &key)> storesRecord_;
    /// Largest number of bytes in a stored record.
    std::size_t largestRecord_ = 0;
    /// Jobs that the next leader does not know from the feed yet.
    std::set<JobId> hiddenJobs_;
    std::vector<std::string> violations_;
    std::map<JobId, std::vector<std::pair<TaskRef, std::chrono::milliseconds>>> starts_;
    std::unique_ptr<FleetScheduler> scheduler_;

private:
    auto check() -> void;
    auto stepWorkers() -> void;
    auto end(SimulatedWorker &worker, const TaskRef &task, RunOutcome outcome) -> void;
    auto executeStart(const StartCommand &command) -> CommandResponse;
    auto onStart(const StartCommand &command, const std::function<void(CommandResponse)> &callback) -> void;
    /// Fails a command if no worker, or another one, responds at the address.
    auto isMisdirected(const SimulatedWorker &worker, const std::string &address, const std::function<void(CommandResponse)> &callback) -> bool;
    auto onStop(const StopCommand &command, const std::function<void(CommandResponse)> &callback) -> void;
    auto onRenew(const RenewCommand &command, const std::function<void(CommandResponse)> &callback) -> void;
    auto respondToRenewal(const RenewCommand &command,
                          std::uint64_t incarnation,
                          std::chrono::milliseconds until,
                          const std::function<void(CommandResponse)> &callback) -> void;
    [[nodiscard]] auto clockOf(const SimulatedWorker &worker) const -> std::chrono::milliseconds;
    [[nodiscard]] auto planOf(const TaskRef &task) const -> const StepPlan &;
    [[nodiscard]] auto workOf(const SimulatedWorker &worker, const TaskRef &task) const -> std::chrono::milliseconds;
    auto record(std::vector<KeyedRecord> records, const std::function<void(bool)> &callback) -> void;

    ManualSchedule schedule_;
    std::chrono::milliseconds now_{1'000'000};
    std::uint64_t epoch_ = 0;
    std::map<WorkerId, SimulatedWorker> workers_;
    std::map<JobId, Submission> submissions_;
    std::map<JobId, JobPhase> phases_;
    std::set<JobId> cancelled_;
    std::map<std::string, std::string> progress_;
    std::set<TaskRef> done_;
};

/// Run time of a task unless the test sets another, and its estimate.
constexpr std::chrono::milliseconds DefaultWork{2000};

/// Creates a job with one step.
[[nodiscard]] inline auto makeSubmission(const std::string &id, const std::string &queue, std::uint32_t count, ResourceVector task) -> Submission
{
    Submission submission;
    submission.id_ = JobId(id);
    submission.queue_ = queue;
    submission.team_ = TeamId("team");
    submission.plan_.payload_ = "payload";
    StepPlan step;
    step.count_ = count;
    step.task_ = task;
    step.estimate_ = DefaultWork;
    submission.plan_.steps_.push_back(step);
    return submission;
}

/// A task of which eight fit on a worker, and one that needs all accelerators of a worker.
constexpr ResourceVector SmallTask{11'000, 46'000, 1};
constexpr ResourceVector WholeWorkerTask{52'000, 210'000, 8};

/// Adds two racks of three workers each and starts a leader.
inline auto addTwoRacks(SimulatedFleet &fleet) -> void
{
    fleet.addWorkers(3, "zone-1", "r1-1");
    fleet.addWorkers(3, "zone-2", "r2-1");
    fleet.startLeader();
}

/// Returns the job with its first step as a gang in one rack.
[[nodiscard]] inline auto asGang(Submission submission) -> Submission
{
    submission.plan_.steps_[0].gang_ = true;
    submission.plan_.steps_[0].prefersOneRack_ = true;
    return submission;
}
} // namespace Marjoramfold::Test
