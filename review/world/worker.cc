#include "review/world/worker.hh"

#include "marjoramfold/http/httpmessage.h"

#include <asio/steady_timer.hpp>

#include <algorithm>
#include <utility>

using namespace Marjoramfold;

namespace Review
{
namespace
{
constexpr std::chrono::milliseconds StepInterval{20};
constexpr std::chrono::milliseconds HoldInterval{10};
constexpr std::chrono::milliseconds LongestWait{2000};
constexpr std::chrono::milliseconds FailureDelay{300};
constexpr std::size_t ListedEnds = 500;

auto since(Time time) -> std::chrono::milliseconds
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::steady_clock::now() - time);
}
} // namespace

Worker::Worker(asio::io_context &context, WorkerPlan plan, std::chrono::milliseconds longestLease, std::chrono::milliseconds stopTime, Hooks hooks)
    : context_(context)
    , plan_(std::move(plan))
    , longestLease_(longestLease)
    , stopTime_(stopTime)
    , hooks_(std::move(hooks))
{
    boot();
}

auto Worker::boot() -> void
{
    up_ = true;
    ++life_;
    bootedAt_ = std::chrono::steady_clock::now();
    born_ = std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count();
    sequence_ = 0;
    token_ = 0;
    leaseUntilMs_ = 0;
    highestEnded_.clear();
    nextEnd_ = 1;
    if (!server_) {
        server_ = std::make_unique<RawHttpServer>(context_, "127.0.0.1", 0, [this](const RawRequest &request, std::size_t, const RawResponder &respond) {
            handle(request, respond);
        });
        port_ = server_->port();
    }
    step();
}

auto Worker::restart(std::chrono::milliseconds downTime) -> void
{
    up_ = false;
    runs_.clear();
    ends_.clear();
    hooks_.log_(plan_.id_, "crashes");
    after(downTime, [this] {
        boot();
        hooks_.log_(plan_.id_, "starts again under its id");
    });
}

auto Worker::plan() const -> const WorkerPlan &
{
    return plan_;
}

auto Worker::isUp() const -> bool
{
    return up_;
}

auto Worker::clockMs() const -> std::int64_t
{
    constexpr std::int64_t ClockAtBoot = 5000;
    return ClockAtBoot + since(bootedAt_).count();
}

auto Worker::entry() -> std::string
{
    return nlohmann::json{{"service", "pool"},
                          {"address", "127.0.0.1:" + std::to_string(port_)},
                          {"zone", plan_.zone_},
                          {"version", "v1"},
                          {"slots", 8},
                          {"state", "ready"},
                          {"cold_left_ms", 0},
                          {"capacity", {{"cpu", plan_.cpu_}, {"mem_mb", plan_.memory_}, {"gpu", plan_.accelerators_}}},
                          {"labels", {plan_.kind_, plan_.rack_}},
                          {"clock_ms", clockMs()},
                          {"born", born_},
                          {"sequence", ++sequence_}}
        .dump();
}

auto Worker::runningTasks() const -> std::vector<std::string>
{
    std::vector<std::string> tasks;
    for (const auto &[key, run] : runs_) {
        tasks.push_back(key.first);
    }
    return tasks;
}

auto Worker::crash() -> void
{
    up_ = false;
    runs_.clear();
    ends_.clear();
    hooks_.log_(plan_.id_, "crashes for good");
    server_.reset();
}

auto Worker::after(std::chrono::milliseconds pause, std::function<void()> action) -> void
{
    auto timer = std::make_shared<asio::steady_timer>(context_, pause);
    timer->async_wait([timer, action = std::move(action)](const std::error_code &error) {
        if (!error) {
            action();
        }
    });
}

auto Worker::answer(int status, nlohmann::json body) const -> RawAnswer
{
    body["clock_ms"] = clockMs();
    return {status, {{"Content-Type", "application/json"}}, body.dump()};
}

auto Worker::handle(const RawRequest &request, const RawResponder &respond) -> void
{
    if (!up_) {
        RawAnswer dropped;
        dropped.dropped_ = true;
        respond(dropped);
        return;
    }
    if (findHeader(request.headers_, "X-Expect-Instance").value_or(plan_.id_) != plan_.id_) {
        respond(answer(421, nlohmann::json::object()));
        return;
    }
    const auto command = nlohmann::json::parse(request.body_, nullptr, false);
    if (!command.is_object()) {
        respond(answer(400, nlohmann::json::object()));
    } else if (request.target_ == "/marjoramfold/run-start" && nextStartDelay_.count() > 0) {
        hooks_.log_(plan_.id_, "is sent a start command that is held up on its way");
        after(std::exchange(nextStartDelay_, std::chrono::milliseconds(0)), [this, command, respond] {
            const auto result = up_ ? start(command).status_ : 0;
            hooks_.log_(plan_.id_, "gets the start command that was held up, result " + std::to_string(result));
            RawAnswer dropped;
            dropped.dropped_ = true;
            respond(dropped);
        });
    } else if (request.target_ == "/marjoramfold/run-start") {
        respond(start(command));
    } else if (request.target_ == "/marjoramfold/run-stop") {
        respond(stop(command));
    } else if (request.target_ == "/marjoramfold/hold") {
        hold(command, respond);
    } else {
        respond(answer(404, nlohmann::json::object()));
    }
}

auto Worker::isFenced(const nlohmann::json &command) -> bool
{
    const auto token = command.value("fencing_token", std::uint64_t(0));
    if (token < token_) {
        return true;
    }
    token_ = token;
    return false;
}

auto Worker::extendLease(const nlohmann::json &command) -> void
{
    leaseUntilMs_ = std::max(leaseUntilMs_, std::min(command.value("deadline_ms", std::int64_t(0)), clockMs() + longestLease_.count()));
}

auto Worker::start(const nlohmann::json &command) -> RawAnswer
{
    if (isFenced(command)) {
        return answer(409, {{"reason", "fence"}});
    }
    if (command.value("deadline_ms", std::int64_t(0)) <= clockMs()) {
        return answer(409, {{"reason", "late"}});
    }
    extendLease(command);
    const RunKey key(command.value("task", std::string()), command.value("run_id", 0));
    if (runs_.contains(key)) {
        return answer(200, nlohmann::json::object());
    }
    if (const auto ended = highestEnded_.find(key.first); ended != highestEnded_.end() && ended->second >= key.second) {
        return answer(409, {{"reason", "old"}});
    }
    runs_[key] = {std::chrono::steady_clock::now(), Time::max(), hooks_.planOf_(key.first)};
    hooks_.began_(plan_.id_, key.first, key.second);
    return answer(200, nlohmann::json::object());
}

auto Worker::stop(const nlohmann::json &command) -> RawAnswer
{
    if (isFenced(command)) {
        return answer(409, {{"reason", "fence"}});
    }
    const RunKey key(command.value("task", std::string()), command.value("run_id", 0));
    highestEnded_[key.first] = std::max(highestEnded_[key.first], key.second);
    if (const auto found = runs_.find(key); found != runs_.end() && found->second.stopAt_ == Time::max()) {
        found->second.stopAt_ = std::chrono::steady_clock::now() + stopTime_;
    }
    return answer(200, nlohmann::json::object());
}

auto Worker::hold(const nlohmann::json &command, const RawResponder &respond) -> void
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
        hooks_.acknowledged_(plan_.id_, end.key_.first, end.key_.second, end.how_);
        return true;
    });
    const auto wait = std::min(LongestWait, std::chrono::milliseconds(command.value("wait_ms", 0)));
    answerHold(token_, std::chrono::steady_clock::now() + wait, respond);
}

auto Worker::answerHold(std::uint64_t token, Time until, const RawResponder &respond) -> void
{
    if (!up_) {
        RawAnswer dropped;
        dropped.dropped_ = true;
        respond(dropped);
        return;
    }
    if (token < token_) {
        respond(answer(409, {{"reason", "fence"}}));
        return;
    }
    if (ends_.empty() && std::chrono::steady_clock::now() < until) {
        after(HoldInterval, [this, token, until, respond] {
            answerHold(token, until, respond);
        });
        return;
    }
    auto running = nlohmann::json::array();
    for (const auto &[key, run] : runs_) {
        const auto percent =
            run.plan_.lasts_ ? 100 : std::min<std::int64_t>(100, 100 * since(run.startedAt_).count() / std::max<std::int64_t>(1, run.plan_.work_.count()));
        running.push_back({key.first, key.second, "", percent, 1000});
    }
    auto finished = nlohmann::json::array();
    for (std::size_t i = 0; i < std::min(ends_.size(), ListedEnds); ++i) {
        finished.push_back({ends_[i].number_, ends_[i].key_.first, ends_[i].key_.second, ends_[i].how_, ""});
    }
    respond(answer(200, {{"born", born_}, {"running", running}, {"finished", finished}}));
}

auto Worker::endRun(const RunKey &key, const std::string &how) -> void
{
    runs_.erase(key);
    highestEnded_[key.first] = std::max(highestEnded_[key.first], key.second);
    ends_.push_back({nextEnd_++, key, how});
    hooks_.ended_(plan_.id_, key.first, key.second, how);
}

auto Worker::step() -> void
{
    if (!up_) {
        return;
    }
    const auto now = std::chrono::steady_clock::now();
    std::vector<std::pair<RunKey, std::string>> ends;
    for (const auto &[key, run] : runs_) {
        if (clockMs() > leaseUntilMs_) {
            ends.emplace_back(key, "lapsed");
        } else if (now >= run.stopAt_) {
            ends.emplace_back(key, "stopped");
        } else if (failsAll_ && since(run.startedAt_) >= FailureDelay) {
            ends.emplace_back(key, "failed");
        } else if (!run.plan_.lasts_ && since(run.startedAt_) >= run.plan_.work_) {
            ends.emplace_back(key, run.plan_.fails_ ? "failed" : "done");
        }
    }
    for (const auto &[key, how] : ends) {
        endRun(key, how);
    }
    after(StepInterval, [this, life = life_] {
        if (life == life_) {
            step();
        }
    });
}
} // namespace Review
