#pragma once

#include "standins/executor/rawhttpserver.h"

#include <asio/io_context.hpp>
#include <nlohmann/json.hpp>

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace Review
{
using Time = std::chrono::steady_clock::time_point;

/// Capacity, place and name of a worker.
struct WorkerPlan {
    std::string id_;
    std::string zone_;
    std::string rack_;
    std::string kind_ = "a";
    std::int64_t cpu_ = 128'000;
    std::int64_t memory_ = 524'288;
    std::int64_t accelerators_ = 8;
};

/// What a task of a job does.
struct TaskPlan {
    std::chrono::milliseconds work_{1000};
    /// The task fails by its own fault at the end of its work.
    bool fails_ = false;
    bool lasts_ = false;
};

/// Stand-in for one executor. It starts what it is told to (admission_check is false) and follows leases, fences and run numbers as
/// PROTOCOL.md says. Gangs, pace and advice are not implemented.
class Worker
{
public:
    struct Hooks {
        std::function<TaskPlan(const std::string &task)> planOf_;
        std::function<void(const std::string &worker, const std::string &event)> log_;
        std::function<void(const std::string &worker, const std::string &task, int run)> began_;
        std::function<void(const std::string &worker, const std::string &task, int run, const std::string &how)> ended_;
        std::function<void(const std::string &worker, const std::string &task, int run, const std::string &how)> acknowledged_;
    };

    Worker(asio::io_context &context, WorkerPlan plan, std::chrono::milliseconds longestLease, std::chrono::milliseconds stopTime, Hooks hooks);

    [[nodiscard]] auto plan() const -> const WorkerPlan &;
    [[nodiscard]] auto isUp() const -> bool;
    /// Value of the worker's entry in the list.
    [[nodiscard]] auto entry() -> std::string;
    [[nodiscard]] auto runningTasks() const -> std::vector<std::string>;

    /// Loses the worker for good: its port closes and all that it ran is gone.
    auto crash() -> void;

    /// Crashes and starts again under the same id after a while, with nothing of before. The address stays open, like that of a proxy in
    /// front of the worker; calls that arrive meanwhile are cut.
    auto restart(std::chrono::milliseconds downTime) -> void;

    /// The next start command is held up on its way: its sender gets no answer, and it reaches the worker after this time.
    std::chrono::milliseconds nextStartDelay_{0};
    /// While set, each run fails shortly after its start.
    bool failsAll_ = false;

private:
    using RunKey = std::pair<std::string, int>;

    struct Run {
        Time startedAt_;
        Time stopAt_ = Time::max();
        TaskPlan plan_;
    };

    struct End {
        std::uint64_t number_ = 0;
        RunKey key_;
        std::string how_;
    };

    auto boot() -> void;
    auto handle(const Marjoramfold::RawRequest &request, const Marjoramfold::RawResponder &respond) -> void;
    auto hold(const nlohmann::json &command, const Marjoramfold::RawResponder &respond) -> void;
    auto answerHold(std::uint64_t token, Time until, const Marjoramfold::RawResponder &respond) -> void;
    auto start(const nlohmann::json &command) -> Marjoramfold::RawAnswer;
    auto stop(const nlohmann::json &command) -> Marjoramfold::RawAnswer;
    auto isFenced(const nlohmann::json &command) -> bool;
    auto extendLease(const nlohmann::json &command) -> void;
    auto step() -> void;
    auto endRun(const RunKey &key, const std::string &how) -> void;
    auto after(std::chrono::milliseconds pause, std::function<void()> action) -> void;
    [[nodiscard]] auto clockMs() const -> std::int64_t;
    [[nodiscard]] auto answer(int status, nlohmann::json body) const -> Marjoramfold::RawAnswer;

    asio::io_context &context_;
    WorkerPlan plan_;
    std::chrono::milliseconds longestLease_;
    std::chrono::milliseconds stopTime_;
    Hooks hooks_;
    Time bootedAt_;
    std::int64_t born_ = 0;
    std::uint64_t sequence_ = 0;
    std::uint64_t token_ = 0;
    std::int64_t leaseUntilMs_ = 0;
    std::map<RunKey, Run> runs_;
    std::map<std::string, int> highestEnded_;
    std::vector<End> ends_;
    std::uint64_t nextEnd_ = 1;
    std::unique_ptr<Marjoramfold::RawHttpServer> server_;
    std::uint16_t port_ = 0;
    bool up_ = true;
    /// Number of the life.
    unsigned life_ = 0;
};
} // namespace Review
