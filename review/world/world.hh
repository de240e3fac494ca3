#pragma once

#include "marjoramfold/http/httpclient.h"
#include "review/world/store.hh"
#include "review/world/worker.hh"

#include <asio/io_context.hpp>
#include <nlohmann/json.hpp>
#include <sys/types.h>

#include <chrono>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace Review
{
/// Exit codes of a script.
enum class Verdict {
    Held = 0,
    Broken = 1,
    CouldNotRun = 2,
};

/// Bounds of the site tritura-ne.
struct Bounds {
    std::chrono::milliseconds longestLease_{10'000};
    std::chrono::milliseconds stop_{200};
    std::chrono::milliseconds reclaim_{2700};
    std::chrono::milliseconds finish_{14'000};
    std::chrono::milliseconds apply_{2000};
};

struct Route {
    std::string name_;
    std::string prefix_;
    int priority_ = 1;
    int maxAttempts_ = 4;
};

struct Tenant {
    std::string name_;
    std::string key_;
    int guaranteed_ = 0;
};

/// A job as a consumer hands it in, and what was seen of it.
struct Job {
    std::string id_;
    std::string prefix_;
    std::string key_;
    nlohmann::json body_;
    TaskPlan task_;
    int answers_ = 0;
    bool accepted_ = false;
    Time acceptedAt_{};
    std::string state_;
    /// Seen at the workers, by task.
    std::map<std::string, std::vector<int>> starts_;
    std::map<std::string, std::set<int>> running_;
    std::map<std::string, int> done_;
    std::map<std::string, int> failed_;
    std::map<std::string, int> doneAcknowledged_;
    std::map<std::string, int> failedAcknowledged_;
    std::map<std::string, Time> startedAt_;
    std::chrono::milliseconds longestRun_{0};
    std::size_t tasks_ = 0;

    [[nodiscard]] auto tasksRunning() const -> std::size_t;
    [[nodiscard]] auto tasksBegun() const -> std::size_t;
    [[nodiscard]] auto tasksDone() const -> std::size_t;
};

/// The deployment of one case: the project's instances as processes, and stand-ins for store, workers, consumers and operator.
class World
{
public:
    World(std::string folder, std::string record, std::string program, Bounds bounds);
    ~World();
    World(const World &) = delete;
    auto operator=(const World &) -> World & = delete;

    /// Writes a line to the record, with the time since the start.
    auto note(const std::string &text) -> void;

    auto addWorkers(const std::vector<WorkerPlan> &plans) -> void;
    /// Publishes the next version of the configuration.
    auto publish(const std::vector<Route> &routes, const std::vector<Tenant> &tenants) -> void;
    /// Starts the instances and waits until all are ready; false if they do not become ready.
    auto startInstances(std::size_t count) -> bool;

    /// Hands in a job, at another instance after each answer that permits it, up to four more times.
    auto submit(const std::string &prefix, const std::string &key, const nlohmann::json &steps, TaskPlan task) -> Job &;
    /// Sends one call for a job to an instance and waits for the answer; 0 without one.
    auto call(const std::string &method, Job &job, std::size_t instance) -> int;
    /// A job that is not handed in yet.
    auto makeJob(const std::string &prefix, const std::string &key, const nlohmann::json &steps, TaskPlan task) -> Job &;
    /// The store turns an instance away, or serves it again.
    auto setStoreSilent(std::size_t instance, bool silent) -> void;
    /// Asks for the state of a job and waits for the answer.
    auto ask(Job &job) -> std::string;

    auto run(std::chrono::milliseconds time) -> void;
    /// Runs until the condition holds; false if it does not within the time.
    auto runUntil(std::chrono::milliseconds limit, const std::function<bool()> &condition) -> bool;

    [[nodiscard]] auto worker(const std::string &id) -> Worker &;
    [[nodiscard]] auto workers() -> std::vector<std::unique_ptr<Worker>> &;
    [[nodiscard]] auto store() -> Store &;
    [[nodiscard]] auto bounds() const -> const Bounds &;
    /// True if an instance ended by itself.
    [[nodiscard]] auto instanceEnded() -> bool;

private:
    struct Instance {
        std::string name_;
        std::string callers_;
        std::string readiness_;
        std::string log_;
        std::string store_;
        pid_t process_ = 0;
    };

    auto jobOfTask(const std::string &task) -> Job *;
    auto publishWorkers() -> void;
    auto writeSettings(const Instance &instance, const std::string &zone, const std::string &metrics) -> std::string;
    auto send(Job &job, std::size_t attempt) -> void;

    std::string folder_;
    std::ofstream record_;
    std::string program_;
    Bounds bounds_;
    Time startedAt_;
    asio::io_context context_;
    Store store_;
    Marjoramfold::HttpClient client_;
    std::vector<std::unique_ptr<Worker>> workers_;
    std::vector<Instance> instances_;
    std::map<std::string, std::unique_ptr<Job>> jobs_;
    std::size_t nextInstance_ = 0;
    unsigned nextJob_ = 0;
    std::uint64_t version_ = 4;
};
} // namespace Review
