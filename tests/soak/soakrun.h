#pragma once

#include "marjoramfold/http/httpclient.h"
#include "standins/cloud/keyedstore.h"
#include "standins/cloud/leasedworker.h"
#include "standins/faultproxy/tcproute.h"
#include "tests/soak/idleconnections.h"
#include "tests/soak/invariantchecker.h"

#include <asio/io_context.hpp>
#include <sys/types.h>

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace Marjoramfold::Soak
{
/// Faults that a run injects.
enum class FaultMix : std::uint8_t {
    /// Faults of instances, the store, workers and worker entries, which overlap.
    All,
    /// Kills the leader, once.
    LeaderKilled,
    /// Restarts workers under their IDs in quick succession.
    WorkerRestarts,
    /// All faults of workers and worker entries in quick succession.
    WorkerFaults,
};

/// Size, duration and program of a run.
struct SoakOptions {
    std::uint64_t seed_ = 1;
    std::string program_;
    std::string folder_;
    unsigned instances_ = 4;
    unsigned workers_ = 8;
    /// Racks over which the workers are spread; half of them are in each availability zone.
    unsigned racks_ = 2;
    std::chrono::milliseconds faultTime_{12'000};
    /// Time to complete the work after the faults end: a change of leader, the expiry of all leases, and the work itself.
    std::chrono::milliseconds settleTime_{40'000};
    FaultMix faults_ = FaultMix::All;
    /// Longest lease that the workers accept.
    std::chrono::milliseconds maxLease_{6000};
    /// Workers also execute late commands that were sent before their restart.
    bool lateAcrossRestarts_ = false;
    /// The first job and each third one after it have several tasks without demand for each worker.
    bool jobsWithoutDemand_ = false;
    /// Workers that restart with less capacity accept commands before their new entry is written. The platform's contract gives a leader
    /// no complete protection against this.
    bool unnoticedKindChanges_ = false;
    /// Time from the end of an instance's process to its restart. With none, a killed leader is back before its silence is noticed.
    std::chrono::milliseconds restartDelay_{0};
    /// Streams of submissions and of state queries.
    unsigned callers_ = 1;
};

/// One run: real instances as processes, the platform's stand-ins in this process, and injected faults. Every random choice derives from the seed.
class SoakRun
{
public:
    explicit SoakRun(SoakOptions options);
    ~SoakRun();
    SoakRun(const SoakRun &) = delete;
    auto operator=(const SoakRun &) -> SoakRun & = delete;

    /// Runs to the end and returns the violations.
    auto run() -> std::vector<std::string>;

    /// Starts the store, the workers and the instances, without jobs or faults.
    auto start() -> void;
    /// Runs until the condition holds; false if it does not within the time.
    auto runUntil(const std::function<bool()> &condition, std::chrono::milliseconds time) -> bool;
    auto submitJob(const SoakJob &job) -> void;
    /// Asks for the state of a random open job at intervals.
    auto queryState() -> void;
    auto killLeader() -> void;
    [[nodiscard]] auto job(const std::string &id) -> const SoakJob &;
    /// Number of workers in each rack that run tasks.
    [[nodiscard]] auto busyWorkersByRack() const -> std::map<std::string, std::size_t>;
    [[nodiscard]] auto violations() const -> const std::vector<std::string> &;
    /// Name of the rack with this number.
    [[nodiscard]] static auto rackName(unsigned rack) -> std::string;

private:
    struct Instance {
        std::string name_;
        std::string zone_;
        std::string callerAddress_;
        std::string readinessAddress_;
        std::string metricsAddress_;
        std::unique_ptr<TcpRoute> storeRoute_;
        /// Zero before the first start and while the instance is down.
        pid_t process_ = 0;
        bool terminating_ = false;
        Clock::time_point terminatedAt_;
        bool paused_ = false;
        /// Connections without a request, which the callers keep open.
        std::unique_ptr<IdleConnections> idle_;
        /// The instance was killed or paused, so its broken connections are no violation.
        bool killedOrPaused_ = false;
    };

    struct Worker {
        std::unique_ptr<LeasedWorker> worker_;
        std::unique_ptr<TcpRoute> route_;
        std::string zone_;
        std::string rack_;
        /// The worker's entry is not written before.
        Clock::time_point entryHeldUntil_;
        std::string lastEntry_;
    };

    auto makeWorkers() -> void;
    auto makeInstances() -> void;
    auto startProcess(Instance &instance) -> void;
    auto restartEndedProcesses() -> void;
    auto restartAfterDelay(std::size_t index) -> void;
    /// Checks that an instance ends within its grace period, although callers keep connections open.
    auto checkShutdown(Instance &instance) -> void;
    auto publishWorkers() -> void;
    auto publishWorker(Worker &worker) -> void;
    auto publishConfig() -> void;
    auto submitNextJob() -> void;
    auto submit(const std::string &id, int attemptsLeft) -> void;
    auto cancelRandomJob() -> void;
    auto call(const std::string &method, const std::string &id, const std::string &body, std::function<void(int, const std::string &)> done) -> void;
    auto injectFault() -> void;
    auto injectInstanceFault() -> void;
    /// Sends several signals to an instance, with short pauses.
    auto signalInSeries(std::size_t index) -> void;
    auto sendSignal(std::size_t index, int signal) -> void;
    auto injectStoreFault() -> void;
    auto injectWorkerFault() -> void;
    /// Restarts a worker under its ID, with delays of the restart and of the next entry that are drawn.
    auto restartWorker(std::size_t index, LeasedWorkerBoot boot) -> void;
    /// Restarts several workers, each several times.
    auto restartWorkersInSeries() -> void;
    auto restartWorkerBehindCut(std::size_t index, std::chrono::milliseconds time) -> void;
    /// Restarts a worker with less capacity, and later with its full capacity.
    auto changeKind(std::size_t index, std::chrono::milliseconds time) -> void;
    auto cutWorker(std::size_t index, std::chrono::milliseconds time) -> void;
    /// Deletes the worker's entry for a time.
    auto hideEntry(std::size_t index, std::chrono::milliseconds time) -> void;
    /// Writes an entry of another writer, under a key of its own or under the worker's key.
    auto writeOddEntry(std::size_t index, std::chrono::milliseconds time) -> void;
    [[nodiscard]] auto workerAddress(const Worker &worker) const -> std::string;
    /// Injects faults of workers only, in quick succession.
    auto injectWorkerFaults(const std::function<void()> &injectOne) -> void;
    auto endFaults() -> void;
    [[nodiscard]] auto allJobsDone() -> bool;
    auto runAfter(std::chrono::milliseconds delay, std::function<void()> step) -> void;
    [[nodiscard]] auto pick(std::size_t count) -> std::size_t;
    [[nodiscard]] auto chance(double share) -> bool;
    auto logEvent(const std::string &what) -> void;

    SoakOptions options_;
    asio::io_context context_{1};
    std::mt19937_64 random_;
    InvariantChecker checker_;
    KeyedStore store_;
    std::uint16_t storePort_ = 0;
    std::vector<Worker> workers_;
    std::vector<Instance> instances_;
    HttpClient client_;
    Clock::time_point startedAt_;
    bool faultsActive_ = true;
    bool finished_ = false;
    unsigned nextJob_ = 0;
};
} // namespace Marjoramfold::Soak
