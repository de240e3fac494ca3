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
/// End of a run on a worker.
struct LeasedRunEnd {
    std::uint64_t number_ = 0;
    std::string task_;
    int run_ = 0;
    std::string outcome_;
    /// The worker's lease lapsed after the run had ended.
    bool leaseLapsed_ = false;
};

/// Properties of tasks that a stand-in worker needs, and callbacks for events of their runs.
struct LeasedWorkerHooks {
    /// Duration of a task, by its wire name.
    std::function<std::chrono::milliseconds(const std::string &task)> work_;
    /// Number of members of the task's gang; at most 1 for a task without a gang.
    std::function<std::size_t(const std::string &task)> gangSize_;
    /// A run started; a late one was requested seconds before.
    std::function<void(const std::string &worker, const std::string &task, int run, bool late)> began_;
    std::function<void(const std::string &worker, const std::string &task, int run, const std::string &outcome)> ended_;
    /// The leader acknowledged the end of a run.
    std::function<void(const std::string &worker, const LeasedRunEnd &end)> acknowledged_;
    /// Number of members of the gang's run that are present on any worker.
    std::function<std::size_t(const std::string &task, int run)> present_;
    /// The worker started with this number of accelerators, and runs nothing.
    std::function<void(const std::string &worker, int accelerators)> booted_;
};

/// Faults to inject into a worker.
struct LeasedWorkerFaults {
    /// Share of commands, from 0 to 1, that are executed but get no answer.
    double lostAnswers_ = 0;
    /// Share of commands, from 0 to 1, that get no answer and are executed seconds later, after newer commands.
    double lateCommands_ = 0;
    /// A late command is also executed by a worker that has been restarted meanwhile under the same ID. The platform's contract
    /// gives a leader no complete protection against this.
    bool lateAcrossRestarts_ = false;
    /// All runs fail shortly after their start.
    bool failsAll_ = false;
};

/// Properties of one incarnation of a worker.
struct LeasedWorkerBoot {
    /// Added to the wall clock for the start time, as by a clock step.
    std::chrono::milliseconds clockStep_{0};
    int accelerators_ = 8;
    /// Time until the worker accepts connections.
    std::chrono::milliseconds duration_{0};
};

/// Stand-in for a worker of the platform: runs tasks under a lease, lists them, and rejects commands with outdated fencing tokens.
///
/// Its clock, start time and fencing token follow the platform's contract: every answer contains the clock, but only the report of a
/// hold command and the list entry contain the start time, and a restart under the same ID forgets all state.
class LeasedWorker
{
public:
    LeasedWorker(asio::io_context &context, std::string id, LeasedWorkerHooks hooks, std::chrono::milliseconds maxLease, std::uint64_t seed);

    /// Listens on loopback; returns the port.
    auto listen() -> std::uint16_t;

    /// Simulates a restart under the same ID: a new incarnation without any state, whose clock has another base.
    auto restart(const LeasedWorkerBoot &boot) -> void;

    /// Returns the worker's record in the platform's worker list.
    [[nodiscard]] auto entry(const std::string &address, const std::string &zone, const std::string &rack, const std::string &pool) -> std::string;

    [[nodiscard]] auto id() const -> const std::string &;

    /// False while the worker starts.
    [[nodiscard]] auto isUp() const -> bool;

    /// Tasks in progress with their run numbers.
    [[nodiscard]] auto running() const -> std::vector<std::pair<std::string, int>>;

    LeasedWorkerFaults faults_;

private:
    using Clock = std::chrono::steady_clock;
    using RunKey = std::pair<std::string, int>;

    struct Run {
        std::chrono::milliseconds worked_{0};
        Clock::time_point startedAt_;
        bool stopping_ = false;
        Clock::time_point stopAt_;
    };

    auto handle(const RawRequest &request, const RawResponder &respond) -> void;
    auto execute(const std::string &target, const nlohmann::json &command, bool late, const RawResponder &respond) -> void;
    [[nodiscard]] auto start(const nlohmann::json &command, bool late) -> RawAnswer;
    [[nodiscard]] auto stop(const nlohmann::json &command) -> RawAnswer;
    auto renew(const nlohmann::json &command, const RawResponder &respond) -> void;
    auto answerRenewal(std::uint64_t token, std::uint64_t boot, Clock::time_point until, const RawResponder &respond) -> void;
    auto step() -> void;
    [[nodiscard]] auto outcomeOf(const RunKey &key, Run &run) -> std::string;
    auto end(const RunKey &key, const std::string &outcome) -> void;
    auto boot(const LeasedWorkerBoot &boot) -> void;
    auto after(std::chrono::milliseconds pause, std::function<void()> action) -> void;
    /// True for a command with an outdated fencing token; otherwise stores the token.
    [[nodiscard]] auto isFenced(const nlohmann::json &command) -> bool;
    auto extendLease(const nlohmann::json &command) -> void;
    [[nodiscard]] auto clockMs() const -> std::int64_t;
    [[nodiscard]] auto answer(int status, nlohmann::json body) const -> RawAnswer;
    [[nodiscard]] auto chance(double share) -> bool;
    [[nodiscard]] auto draw(std::int64_t first, std::int64_t last) -> std::int64_t;

    asio::io_context &context_;
    std::string id_;
    LeasedWorkerHooks hooks_;
    std::chrono::milliseconds maxLease_;
    std::mt19937_64 random_;
    std::unique_ptr<RawHttpServer> server_;
    Clock::time_point bootedAt_;
    Clock::time_point upAt_;
    std::int64_t clockBaseMs_ = 0;
    double clockRate_ = 1;
    int accelerators_ = 0;
    /// Counts the incarnations; unlike the start time it never repeats.
    std::uint64_t boot_ = 0;
    std::int64_t startTime_ = 0;
    std::uint64_t sequence_ = 0;
    std::uint64_t fencingToken_ = 0;
    /// On the worker's clock.
    std::int64_t leaseUntilMs_ = 0;
    std::map<RunKey, Run> runs_;
    /// Highest run of each task that was stopped or has ended.
    std::map<std::string, int> highestEnded_;
    std::vector<LeasedRunEnd> ends_;
    std::uint64_t nextEnd_ = 1;
};
} // namespace Marjoramfold
