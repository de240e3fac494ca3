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
/// What a worker stand-in needs to know of tasks, and whom it tells.
struct LeasedWorkerHooks {
    /// Work of a task, by its wire name.
    std::function<std::chrono::milliseconds(const std::string &task)> work_;
    /// True when the task belongs to a gang of this many members.
    std::function<std::size_t(const std::string &task)> gangSize_;
    std::function<void(const std::string &worker, const std::string &task, int run)> began_;
    std::function<void(const std::string &worker, const std::string &task, int run, const std::string &how)> ended_;
    /// An end was acknowledged.
    std::function<void(const std::string &worker, const std::string &task, int run, const std::string &how)> acknowledged_;
    /// Members of the gang's run that are present anywhere.
    std::function<std::size_t(const std::string &task, int run)> present_;
};

/// Faults of a worker.
struct LeasedWorkerFaults {
    /// Share of start orders whose answer is lost.
    double lostAnswers_ = 0;
    /// Share of start orders that get no answer and are carried out seconds later.
    double lateOrders_ = 0;
    /// All that is started fails soon.
    bool failsAll_ = false;
};

/// Stand-in for a worker of the platform: runs tasks under a lease, lists them, and obeys fencing tokens.
class LeasedWorker
{
public:
    LeasedWorker(asio::io_context &context, std::string id, LeasedWorkerHooks hooks, std::uint64_t seed);

    /// Listens on loopback; returns the port.
    auto listen() -> std::uint16_t;

    /// Begins a new life under the same id: nothing of before is known, and the clock starts anew.
    auto restart() -> void;

    /// The entry of the worker in the platform's list.
    [[nodiscard]] auto entry(const std::string &address, const std::string &zone, const std::string &rack, const std::string &pool) -> std::string;

    [[nodiscard]] auto id() const -> const std::string &;

    /// Tasks that run now.
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
        std::string how_;
    };

    auto handle(const RawRequest &request, const RawResponder &respond) -> void;
    [[nodiscard]] auto start(const nlohmann::json &order) -> RawAnswer;
    [[nodiscard]] auto stop(const nlohmann::json &order) -> RawAnswer;
    auto hold(const nlohmann::json &order, const RawResponder &respond) -> void;
    auto answerHold(std::uint64_t token, std::uint64_t life, Clock::time_point until, const RawResponder &respond) -> void;
    auto step() -> void;
    auto end(const std::string &task, const std::string &how) -> void;
    auto after(std::chrono::milliseconds pause, std::function<void()> action) -> void;
    [[nodiscard]] auto fenced(const nlohmann::json &order) -> bool;
    auto extendLease(const nlohmann::json &order) -> void;
    [[nodiscard]] auto clock() const -> std::int64_t;
    [[nodiscard]] auto answer(int status, nlohmann::json body) const -> RawAnswer;
    [[nodiscard]] auto chance(double share) -> bool;

    asio::io_context &context_;
    std::string id_;
    LeasedWorkerHooks hooks_;
    std::mt19937_64 random_;
    std::unique_ptr<RawHttpServer> server_;
    Clock::time_point lifeStart_;
    std::uint64_t born_ = 0;
    std::uint64_t sequence_ = 0;
    std::uint64_t token_ = 0;
    std::int64_t leaseUntil_ = 0;
    std::map<std::string, Run> runs_;
    std::map<std::string, int> highestRun_;
    std::vector<End> ends_;
    std::uint64_t nextEnd_ = 1;
};
} // namespace Marjoramfold
