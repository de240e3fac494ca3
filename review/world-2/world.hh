#pragma once

#include "marjoramfold/http/httpclient.h"
#include "standins/cloud/keyedstore.h"
#include "standins/cloud/leasedworker.h"

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <nlohmann/json.hpp>
#include <sys/types.h>

#include <chrono>
#include <cstddef>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace Review
{
using std::chrono::milliseconds;

/// A start of a task on a worker, as the worker saw it.
struct Start {
    std::string worker_;
    std::string task_;
    int run_ = 0;
    milliseconds at_{0};
};

/// An end of a run on a worker, as the worker saw it.
struct End {
    std::string worker_;
    std::string task_;
    int run_ = 0;
    std::string outcome_;
    milliseconds at_{0};
    bool acknowledged_ = false;
};

/// An answer to a caller; status 0 without one.
struct Answer {
    int status_ = 0;
    std::string state_;
};

/// Size of the deployment.
struct Size {
    std::size_t instances_ = 4;
    std::size_t workers_ = 6;
};

/// A small deployment on loopback: the instances as separate processes, the stand-ins for the store and the workers in this process.
class World
{
public:
    /// Keeps settings and logs in `folder`, and writes what was sent, answered and run to the file `record`.
    World(std::string folder, const std::string &record, Size size);
    ~World();
    World(const World &) = delete;
    auto operator=(const World &) -> World & = delete;

    /// Publishes a configuration as the operator.
    auto publish(const nlohmann::json &config) -> void;

    /// Starts the instances and waits until all of them are ready; false if they are not in time.
    auto startInstances() -> bool;

    /// Sends a caller's request to one instance and waits for the answer.
    auto call(std::size_t instance, const std::string &method, const std::string &path, const std::string &body = {}) -> Answer;

    /// The API key of the calls that follow; that of the first tenant until this is called.
    auto useKey(std::string key) -> void;

    /// Writes an entry under the id of a worker as another writer does: without the time of the worker's start, and with the address of a
    /// server that accepts connections and never answers.
    auto writeOddEntry(std::size_t worker) -> void;

    /// Gives a worker a further label.
    auto addLabel(std::size_t worker, const std::string &label) -> void;

    /// Zone of an instance.
    [[nodiscard]] auto zoneOf(std::size_t instance) const -> const std::string &;

    /// A zone loses power for good: its instances are killed, its executors and what runs on them are gone. The entries of these executors are
    /// removed after three ping intervals.
    auto loseZone(const std::string &zone) -> void;

    /// Runs the stand-ins for a time.
    auto wait(milliseconds time) -> void;

    /// Runs the stand-ins until a condition holds; false if it does not in time.
    auto waitUntil(const std::function<bool()> &condition, milliseconds limit) -> bool;

    /// The instance whose log tells last of a leadership that began.
    [[nodiscard]] auto leader() const -> std::size_t;

    /// Sends a signal to an instance.
    auto signal(std::size_t instance, int number) -> void;

    /// Waits until the process of an instance has ended, and starts the instance again.
    auto restart(std::size_t instance) -> void;

    /// Makes all runs on all workers fail, or stops doing so.
    auto failRuns(bool fail) -> void;

    /// Writes a line with the time to the record.
    auto note(const std::string &text) -> void;

    [[nodiscard]] auto elapsed() const -> milliseconds;
    /// Tasks that run now on any worker.
    [[nodiscard]] auto running() const -> std::size_t;

    /// Duration of each task, by its name on the wire.
    std::function<milliseconds(const std::string &task)> work_ = [](const std::string &) {
        return milliseconds(1000);
    };
    /// Number of members of the gang of a task, by the name of the task on the wire; 1 for a task without a gang.
    std::function<std::size_t(const std::string &task)> gangSize_ = [](const std::string &) {
        return std::size_t(1);
    };
    std::vector<Start> starts_;
    std::vector<End> ends_;

private:
    struct Instance {
        std::string name_;
        std::string zone_;
        std::string callers_;
        std::string readiness_;
        std::string metrics_;
        pid_t process_ = 0;
    };

    struct Worker {
        std::unique_ptr<Marjoramfold::LeasedWorker> worker_;
        std::string address_;
        std::string zone_;
        std::string rack_;
        std::vector<std::string> moreLabels_;
        bool lost_ = false;
    };

    auto makeWorkers(std::size_t count) -> void;
    auto publishWorker(const Worker &worker) -> void;
    auto publishPeriodically(std::size_t worker, milliseconds delay) -> void;
    [[nodiscard]] auto entryOf(const Worker &worker) const -> nlohmann::json;
    auto freeAddress() -> std::string;
    auto startProcess(Instance &instance) -> void;
    auto send(const std::string &address, const std::string &method, const std::string &path, const std::string &body) -> Answer;

    std::string folder_;
    std::ofstream record_;
    std::chrono::steady_clock::time_point startedAt_ = std::chrono::steady_clock::now();
    asio::io_context context_;
    Marjoramfold::KeyedStore store_;
    std::uint16_t storePort_ = 0;
    /// Listens, but nothing is ever read or answered.
    asio::ip::tcp::acceptor silentServer_;
    Marjoramfold::HttpClient client_;
    std::vector<Worker> workers_;
    std::vector<Instance> instances_;
    std::uint16_t nextPort_ = 0;
    std::string key_;
    /// Workers and numbers of the runs in progress, by task.
    std::map<std::string, std::set<std::pair<std::string, int>>> active_;
};

/// The route of a queue in the operator's configuration.
[[nodiscard]] auto route(const std::string &name, int priority, int maxAttempts) -> nlohmann::json;

/// A tenant of the configuration, whose only key is NAME-key.
struct Tenant {
    std::string name_;
    int guaranteedGpu_ = 0;
};

/// A configuration with one service, the given routes, and one tenant unless others are given.
[[nodiscard]] auto config(int version, const std::vector<nlohmann::json> &routes, const std::vector<Tenant> &tenants = {{"team", 8}}) -> nlohmann::json;
} // namespace Review
