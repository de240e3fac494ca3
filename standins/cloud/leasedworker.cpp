#include "standins/cloud/leasedworker.h"

#include <algorithm>

namespace Marjoramfold
{
namespace
{
constexpr std::chrono::milliseconds StepInterval{20};
constexpr std::chrono::milliseconds StopDuration{150};
constexpr std::chrono::milliseconds GangTimeout{3000};
constexpr std::chrono::milliseconds FailureDelay{200};
constexpr std::chrono::milliseconds LateStartDelay{2500};
constexpr std::int64_t MaxLeaseMs = 6000;
} // namespace

LeasedWorker::LeasedWorker(asio::io_context &context, std::string id, LeasedWorkerHooks hooks, std::uint64_t seed)
    : context_(context)
    , id_(std::move(id))
    , hooks_(std::move(hooks))
    , random_(seed)
    , clockStartedAt_(Clock::now())
    , incarnation_(
          static_cast<std::uint64_t>(std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count()))
{
}

auto LeasedWorker::listen() -> std::uint16_t
{
    server_ = std::make_unique<RawHttpServer>(context_, "127.0.0.1", 0, [this](const RawRequest &request, std::size_t /*open*/, const RawResponder &respond) {
        handle(request, respond);
    });
    step();
    return server_->port();
}

auto LeasedWorker::id() const -> const std::string &
{
    return id_;
}

auto LeasedWorker::running() const -> std::vector<std::pair<std::string, int>>
{
    std::vector<std::pair<std::string, int>> tasks;
    for (const auto &[task, run] : runs_) {
        tasks.emplace_back(task, run.run_);
    }
    return tasks;
}

auto LeasedWorker::restart() -> void
{
    for (const auto &[task, run] : runs_) {
        hooks_.ended_(id_, task, run.run_, "gone");
    }
    runs_.clear();
    highestRun_.clear();
    ends_.clear();
    nextEnd_ = 1;
    fencingToken_ = 0;
    leaseUntilMs_ = 0;
    sequence_ = 0;
    clockStartedAt_ = Clock::now();
    ++incarnation_;
}

auto LeasedWorker::entry(const std::string &address, const std::string &zone, const std::string &rack, const std::string &pool) -> std::string
{
    const nlohmann::json entry{{"service", pool},
                               {"address", address},
                               {"zone", zone},
                               {"version", "v1"},
                               {"slots", 8},
                               {"state", "ready"},
                               {"cold_left_ms", 0},
                               {"capacity", {{"cpu", 128'000}, {"mem_mb", 524'288}, {"gpu", 8}}},
                               {"labels", {"a", rack}},
                               {"clock_ms", clockMs()},
                               {"born", incarnation_},
                               {"sequence", ++sequence_}};
    return entry.dump();
}

auto LeasedWorker::clockMs() const -> std::int64_t
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(Clock::now() - clockStartedAt_).count();
}

auto LeasedWorker::chance(double share) -> bool
{
    return std::uniform_real_distribution<double>(0, 1)(random_) < share;
}

auto LeasedWorker::answer(int status, nlohmann::json body) const -> RawAnswer
{
    body["clock_ms"] = clockMs();
    body["born"] = incarnation_;
    return {status, {{"Content-Type", "application/json"}}, body.dump()};
}

auto LeasedWorker::after(std::chrono::milliseconds pause, std::function<void()> action) -> void
{
    auto timer = std::make_shared<asio::steady_timer>(context_, pause);
    timer->async_wait([timer, action = std::move(action)](const std::error_code &error) {
        if (!error) {
            action();
        }
    });
}

auto LeasedWorker::handle(const RawRequest &request, const RawResponder &respond) -> void
{
    const auto command = nlohmann::json::parse(request.body_, nullptr, false);
    if (command.is_discarded() || !command.is_object()) {
        respond(answer(400, {{"reason", "unreadable"}}));
        return;
    }
    if (findHeader(request.headers_, "X-Expect-Instance").value_or(id_) != id_) {
        respond(answer(421, {}));
        return;
    }
    if (request.target_ == "/marjoramfold/run-start") {
        if (chance(faults_.lateStarts_)) {
            after(LateStartDelay, [this, command] {
                (void)start(command);
            });
            return;
        }
        auto result = start(command);
        result.dropped_ = chance(faults_.lostAnswers_);
        respond(result);
    } else if (request.target_ == "/marjoramfold/run-stop") {
        respond(stop(command));
    } else if (request.target_ == "/marjoramfold/hold") {
        renew(command, respond);
    } else {
        respond(answer(404, {}));
    }
}

auto LeasedWorker::isFenced(const nlohmann::json &command) -> bool
{
    const auto token = command.value("fencing_token", std::uint64_t(0));
    if (token < fencingToken_) {
        return true;
    }
    fencingToken_ = token;
    return false;
}

auto LeasedWorker::extendLease(const nlohmann::json &command) -> void
{
    leaseUntilMs_ = std::max(leaseUntilMs_, std::min(command.value("deadline_ms", std::int64_t(0)), clockMs() + MaxLeaseMs));
}

auto LeasedWorker::start(const nlohmann::json &command) -> RawAnswer
{
    if (isFenced(command)) {
        return answer(409, {{"reason", "fence"}});
    }
    if (command.value("deadline_ms", std::int64_t(0)) < clockMs()) {
        return answer(409, {{"reason", "late"}});
    }
    extendLease(command);
    const auto task = command.value("task", std::string());
    const auto run = command.value("run_id", 0);
    if (const auto found = runs_.find(task); found != runs_.end() && found->second.run_ == run) {
        return answer(200, nlohmann::json::object());
    }
    if (highestRun_[task] >= run) {
        return answer(409, {{"reason", "old"}});
    }
    highestRun_[task] = run;
    runs_[task] = {run, std::chrono::milliseconds(0), Clock::now(), false, {}};
    hooks_.began_(id_, task, run);
    return answer(200, nlohmann::json::object());
}

auto LeasedWorker::stop(const nlohmann::json &command) -> RawAnswer
{
    if (isFenced(command)) {
        return answer(409, {{"reason", "fence"}});
    }
    const auto task = command.value("task", std::string());
    const auto run = command.value("run_id", 0);
    highestRun_[task] = std::max(highestRun_[task], run);
    if (const auto found = runs_.find(task); found != runs_.end() && found->second.run_ == run && !found->second.stopping_) {
        found->second.stopping_ = true;
        found->second.stopAt_ = Clock::now() + StopDuration;
    }
    return answer(200, nlohmann::json::object());
}

auto LeasedWorker::renew(const nlohmann::json &command, const RawResponder &respond) -> void
{
    if (isFenced(command)) {
        respond(answer(409, {{"reason", "fence"}}));
        return;
    }
    extendLease(command);
    const auto acknowledged = command.value("ack_position", std::uint64_t(0));
    std::erase_if(ends_, [this, acknowledged](const End &end) {
        if (end.number_ > acknowledged) {
            return false;
        }
        hooks_.acknowledged_(id_, end.task_, end.run_, end.outcome_);
        return true;
    });
    answerRenewal(fencingToken_, incarnation_, Clock::now() + std::chrono::milliseconds(command.value("wait_ms", 0)), respond);
}

auto LeasedWorker::answerRenewal(std::uint64_t token, std::uint64_t incarnation, Clock::time_point until, const RawResponder &respond) -> void
{
    if (token < fencingToken_ || incarnation != incarnation_) {
        respond(answer(409, {{"reason", "fence"}}));
        return;
    }
    if (ends_.empty() && Clock::now() < until) {
        after(StepInterval, [this, token, incarnation, until, respond] {
            answerRenewal(token, incarnation, until, respond);
        });
        return;
    }
    auto running = nlohmann::json::array();
    for (const auto &[task, run] : runs_) {
        running.push_back({task, run.run_, "", static_cast<int>(100 * run.worked_ / std::max(std::chrono::milliseconds(1), hooks_.work_(task)))});
    }
    auto finished = nlohmann::json::array();
    for (const auto &end : ends_) {
        finished.push_back({end.number_, end.task_, end.run_, end.outcome_, ""});
    }
    respond(answer(200, {{"running", running}, {"finished", finished}}));
}

auto LeasedWorker::end(const std::string &task, const std::string &outcome) -> void
{
    const auto run = runs_.at(task).run_;
    runs_.erase(task);
    ends_.push_back({nextEnd_++, task, run, outcome});
    hooks_.ended_(id_, task, run, outcome);
}

auto LeasedWorker::step() -> void
{
    const auto now = Clock::now();
    std::vector<std::pair<std::string, std::string>> ends;
    for (auto &[task, run] : runs_) {
        const auto size = hooks_.gangSize_(task);
        const auto canProgress = size <= 1 || run.worked_.count() > 0 || hooks_.present_(task, run.run_) == size;
        if (canProgress) {
            run.worked_ += StepInterval;
        }
        if (clockMs() > leaseUntilMs_) {
            ends.emplace_back(task, "lapsed");
        } else if (run.stopping_ && now >= run.stopAt_) {
            ends.emplace_back(task, "stopped");
        } else if (faults_.failsAll_ && run.worked_ > FailureDelay) {
            ends.emplace_back(task, "failed");
        } else if (run.worked_ >= hooks_.work_(task)) {
            ends.emplace_back(task, "done");
        } else if (!canProgress && now - run.startedAt_ > GangTimeout) {
            ends.emplace_back(task, "alone");
        }
    }
    for (const auto &[task, outcome] : ends) {
        end(task, outcome);
    }
    after(StepInterval, [this] {
        step();
    });
}
} // namespace Marjoramfold
