#pragma once

#include "marjoramfold/http/httpclient.h"
#include "standins/cloud/keyedstore.h"
#include "standins/cloud/leasedworker.h"
#include "standins/faultproxy/tcproute.h"
#include "tests/soak/promises.h"

#include <asio/io_context.hpp>
#include <sys/types.h>

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace Marjoramfold::Soak
{
/// Size and length of a run.
struct SoakOptions {
    std::uint64_t seed_ = 1;
    std::string program_;
    std::string folder_;
    unsigned instances_ = 4;
    unsigned workers_ = 8;
    std::chrono::milliseconds faultTime_{12'000};
    /// Time for the work to be done once no fault is left: a change of leader, a lapse of all leases, and the work itself.
    std::chrono::milliseconds settleTime_{40'000};
    /// Only the leader is killed, once; no other fault.
    bool killLeaderOnly_ = false;
};

/// One run: real instances as processes, the platform's stand-ins here, and faults from outside. Everything follows from the seed.
class SoakRun
{
public:
    explicit SoakRun(SoakOptions options);
    ~SoakRun();
    SoakRun(const SoakRun &) = delete;
    auto operator=(const SoakRun &) -> SoakRun & = delete;

    /// Runs to the end and returns the broken promises.
    auto run() -> std::vector<std::string>;

private:
    struct Instance {
        std::string name_;
        std::string zone_;
        std::string callers_;
        std::string readiness_;
        std::string metrics_;
        std::unique_ptr<TcpRoute> storeRoute_;
        pid_t process_ = 0;
        bool terminating_ = false;
        bool paused_ = false;
        /// Connections may break without a promise being broken.
        bool disturbed_ = false;
    };

    struct Worker {
        std::unique_ptr<LeasedWorker> worker_;
        std::unique_ptr<TcpRoute> route_;
        std::string zone_;
        std::string rack_;
    };

    auto makeWorkers() -> void;
    auto makeInstances() -> void;
    auto startProcess(Instance &instance) -> void;
    auto watchProcesses() -> void;
    auto publishEntries() -> void;
    auto publishConfig() -> void;
    auto sendJob() -> void;
    auto submit(const std::string &id, int tries) -> void;
    auto ask() -> void;
    auto cancelSome() -> void;
    auto call(const std::string &method, const std::string &id, const std::string &body, std::function<void(int, const std::string &)> done) -> void;
    auto injectFault() -> void;
    auto faultInstance() -> void;
    auto faultStore() -> void;
    auto faultWorker() -> void;
    auto killLeader() -> void;
    auto endFaults() -> void;
    [[nodiscard]] auto allDone() -> bool;
    auto later(std::chrono::milliseconds pause, std::function<void()> step) -> void;
    [[nodiscard]] auto pick(std::size_t count) -> std::size_t;
    [[nodiscard]] auto chance(double share) -> bool;
    auto note(const std::string &what) -> void;

    SoakOptions options_;
    asio::io_context context_{1};
    std::mt19937_64 random_;
    Promises promises_;
    KeyedStore store_;
    std::uint16_t storePort_ = 0;
    std::vector<Worker> workers_;
    std::vector<Instance> instances_;
    HttpClient client_;
    Clock::time_point startedAt_;
    bool faulting_ = true;
    bool over_ = false;
    unsigned nextJob_ = 0;
};
} // namespace Marjoramfold::Soak
