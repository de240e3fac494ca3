#pragma once

#include "marjoramfold/http/httpclient.h"
#include "marjoramfold/http/persistenthttpclient.h"
#include "standins/cloud/keyedstore.h"
#include "standins/cloud/leasedworker.h"

#include <asio/io_context.hpp>
#include <nlohmann/json.hpp>
#include <sys/types.h>

#include <chrono>
#include <cstdint>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace Review
{
using namespace std::chrono_literals;
using Milliseconds = std::chrono::milliseconds;

/// Keys of the two tenants, to each of which 16 accelerators are guaranteed.
constexpr const char *Key = "review-key";
constexpr const char *OtherKey = "other-key";

/// An executor of the project's stand-in behind a server of its own, which can answer commands as an unhealthy executor does.
struct Executor {
    std::string id_;
    std::string zone_;
    std::string rack_;
    std::unique_ptr<Marjoramfold::LeasedWorker> worker_;
    std::uint16_t innerPort_ = 0;
    std::unique_ptr<Marjoramfold::RawHttpServer> server_;
    /// Answers every command with 503 and executes nothing.
    bool isUnhealthy_ = false;
    unsigned refusedStarts_ = 0;
};

/// One instance of the system as a process.
struct Instance {
    std::string name_;
    std::string callers_;
    std::string readiness_;
    std::string settings_;
    pid_t process_ = 0;
    unsigned ends_ = 0;
};

/// Time for which a run of a task was at work on an executor, in milliseconds of the record.
struct RunSpan {
    std::string executor_;
    int run_ = 0;
    std::int64_t beganAt_ = 0;
    std::int64_t endedAt_ = -1;
    std::string outcome_;
};

/// A small deployment on loopback: the store, executors, instances and one client.
class World
{
public:
    World(std::string folder, std::string program, unsigned instances, unsigned executors);
    ~World();
    World(const World &) = delete;
    auto operator=(const World &) -> World & = delete;

    /// Starts all processes and waits until every instance is ready; false if they are not within 15 s.
    auto start() -> bool;
    /// Ends all processes that were started.
    auto stop() -> void;

    auto runFor(Milliseconds time) -> void;
    auto runUntil(const std::function<bool()> &condition, Milliseconds time) -> bool;
    auto after(Milliseconds pause, std::function<void()> action) -> void;

    /// Milliseconds since the start of the record.
    [[nodiscard]] auto now() const -> std::int64_t;
    auto note(const std::string &line) -> void;

    /// Sends a call of a client; status 0 when no answer came.
    auto call(const std::string &method,
              const std::string &prefix,
              const std::string &id,
              const nlohmann::json &body,
              std::size_t instance,
              std::function<void(int status, const std::string &state)> done,
              const std::string &key = Key) -> void;
    /// Hands a job in as a client does: after no answer, 429, 502, 503 or 504 it comes again at the next instance.
    auto submit(const std::string &prefix, const std::string &id, const nlohmann::json &body, unsigned attempts, std::size_t instance) -> void;
    /// The same with the key of another tenant.
    auto submitAs(const std::string &key, const std::string &prefix, const std::string &id, const nlohmann::json &body, unsigned attempts, std::size_t instance)
        -> void;
    /// Asks one instance after the other for the state of a job; empty without a 200.
    auto askState(const std::string &prefix, const std::string &id) -> std::string;

    [[nodiscard]] auto isAccepted(const std::string &id) const -> bool;
    [[nodiscard]] auto runsOf(const std::string &task) const -> const std::vector<RunSpan> &;
    /// True when a task of the job is at work on an executor.
    [[nodiscard]] auto hasRun(const std::string &id) const -> bool;
    [[nodiscard]] auto hasEnded(const std::string &task) const -> bool;

    auto setWork(const std::string &task, Milliseconds work) -> void;
    auto setGang(const std::string &id, std::size_t members) -> void;
    auto executors() -> std::vector<Executor> &;
    auto instances() -> std::vector<Instance> &;
    auto store() -> Marjoramfold::KeyedStore &;
    /// Starts the process of an instance.
    auto startProcess(Instance &instance) -> void;

private:
    auto publishConfig() -> void;
    auto publishEntries() -> void;
    auto makeExecutors(unsigned count) -> void;
    auto makeInstances(unsigned count) -> void;
    auto restartEnded() -> void;
    auto forward(Executor &executor, const Marjoramfold::RawRequest &request, const Marjoramfold::RawResponder &respond) -> void;

    asio::io_context context_;
    std::string folder_;
    std::string program_;
    std::ofstream record_;
    std::chrono::steady_clock::time_point startedAt_;
    Marjoramfold::KeyedStore store_;
    std::uint16_t storePort_ = 0;
    Marjoramfold::HttpClient client_;
    Marjoramfold::PersistentHttpClient forwarder_;
    std::vector<Executor> executors_;
    std::vector<Instance> instances_;
    std::set<std::string> accepted_;
    std::map<std::string, Milliseconds> work_;
    std::map<std::string, std::size_t> gangs_;
    std::map<std::string, std::vector<RunSpan>> runs_;
    bool stopped_ = false;
};
} // namespace Review
