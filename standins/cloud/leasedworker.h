#pragma once

#include "standins/executor/rawhttpserver.h"

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>
#include <nlohmann/json.hpp>

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <utility>
#include <vector>

namespace Marjoramfold
{
/// Properties of tasks that a stand-in worker needs, and callbacks for events of their runs.
struct LeasedWorkerHooks {
    /// Duration of a task, by its wire name.
    std::function<std::chrono::milliseconds(const std::string &task)> work_;
    /// Number of members of the task's gang; at most 1 for a task without a gang.
    std::function<std::size_t(const std::string &task)> gangSize_;
    std::function<void(const std::string &worker, const std::string &task, int run)> began_;
    std::function<void(const std::string &worker, const std::string &task, int run, const std::string &outcome)> ended_;
    /// The leader acknowledged the end of a run.
    std::function<void(const std::string &worker, const std::string &task, int run, const std::string &outcome)> acknowledged_;
    /// Number of members of the gang's run that are present on any worker.
    std::function<std::size_t(const std::string &task, int run)> present_;
};

/// Faults to inject into a worker.
struct LeasedWorkerFaults {
    /// Share of start commands, from 0 to 1, that are executed but get no answer.
    double lostAnswers_ = 0;
    /// Share of start commands, from 0 to 1, that get no answer and are executed seconds later.
    double lateStarts_ = 0;
    /// All runs fail shortly after their start.
    bool failsAll_ = false;
};

/// Stand-in for a worker of the platform: runs tasks under a lease, lists them, and rejects commands with outdated fencing tokens.
class LeasedWorker
{
public:
    LeasedWorker(asio::io_context &context, std::string id, LeasedWorkerHooks hooks, std::uint64_t seed);

    /// Listens on loopback; returns the port.
    auto listen() -> std::uint16_t;

    /// Simulates a restart under the same ID: a new incarnation without any state, whose clock starts at zero.
    auto restart() -> void;

    /// Returns the worker's record in the platform's worker list.
    [[nodiscard]] auto entry(const std::string &address, const std::string &zone, const std::string &rack, const std::string &pool) -> std::string;

    [[nodiscard]] auto id() const -> const std::string &;

    /// Tasks in progress with their run numbers.
    [[nodiscard]] auto running() const -> std::vector<std::pair<std::string, int>>;

    LeasedWorkerFaults faults_;

private:
    using Clock = std::chrono::steady_clock;

    struct Run {
        int run_ = 0;
        std::chrono::milliseconds worked_{0};
        Clock::time_point startedAt_;
        bool stopping_ = false;
        Clock::time_point stopAt_;
    };

    struct End {
        std::uint64_t number_ = 0;
        std::string task_;
        int run_ = 0;
        std::string outcome_;
    };

    auto handle(const RawRequest &request, const RawResponder &respond) -> void;
    [[nodiscard]] auto start(const nlohmann::json &command) -> RawAnswer;
    [[nodiscard]] auto stop(const nlohmann::json &command) -> RawAnswer;
    auto renew(const nlohmann::json &command, const RawResponder &respond) -> void;
    auto answerRenewal(std::uint64_t token, std::uint64_t incarnation, Clock::time_point until, const RawResponder &respond) -> void;
    auto step() -> void;
    auto end(const std::string &task, const std::string &outcome) -> void;
    auto after(std::chrono::milliseconds pause, std::function<void()> action) -> void;
    /// True for a command with an outdated fencing token; otherwise stores the token.
    [[nodiscard]] auto isFenced(const nlohmann::json &command) -> bool;
    auto extendLease(const nlohmann::json &command) -> void;
    [[nodiscard]] auto clockMs() const -> std::int64_t;
    [[nodiscard]] auto answer(int status, nlohmann::json body) const -> RawAnswer;
    [[nodiscard]] auto chance(double share) -> bool;

    asio::io_context &context_;
    std::string id_;
    LeasedWorkerHooks hooks_;
    std::mt19937_64 random_;
    std::unique_ptr<RawHttpServer> server_;
    Clock::time_point clockStartedAt_;
    std::uint64_t incarnation_ = 0;
    std::uint64_t sequence_ = 0;
    std::uint64_t fencingToken_ = 0;
    /// On the worker's clock.
    std::int64_t leaseUntilMs_ = 0;
    std::map<std::string, Run> runs_;
    std::map<std::string, int> highestRun_;
    std::vector<End> ends_;
    std::uint64_t nextEnd_ = 1;
};
} // namespace Marjoramfold
