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
constexpr std::chrono::milliseconds MinLateDelay{500};
constexpr std::chrono::milliseconds MaxLateDelay{4000};
constexpr std::chrono::milliseconds MaxRenewalWait{2000};
constexpr std::int64_t MaxClockBaseMs = 900'000;
constexpr double MinClockRate = 0.98;
constexpr std::size_t MaxListedEnds = 500;

auto unixMilliseconds() -> std::int64_t
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count();
}
} // namespace

LeasedWorker::LeasedWorker(asio::io_context &context, std::string id, LeasedWorkerHooks hooks, std::chrono::milliseconds maxLease, std::uint64_t seed)
    : context_(context)
    , id_(std::move(id))
    , hooks_(std::move(hooks))
    , maxLease_(maxLease)
    , random_(seed)
{
    boot({});
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

auto LeasedWorker::isUp() const -> bool
{
    return Clock::now() >= upAt_;
}

auto LeasedWorker::running() const -> std::vector<std::pair<std::string, int>>
{
    std::vector<std::pair<std::string, int>> tasks;
    for (const auto &[key, run] : runs_) {
        tasks.push_back(key);
    }
    return tasks;
}

auto LeasedWorker::restart(const LeasedWorkerBoot &boot) -> void
{
    for (const auto &[key, run] : runs_) {
        hooks_.ended_(id_, key.first, key.second, "gone");
    }
    runs_.clear();
    highestEnded_.clear();
    ends_.clear();
    nextEnd_ = 1;
    fencingToken_ = 0;
    leaseUntilMs_ = 0;
    sequence_ = 0;
    this->boot(boot);
}

auto LeasedWorker::boot(const LeasedWorkerBoot &boot) -> void
{
    bootedAt_ = Clock::now();
    upAt_ = bootedAt_ + boot.duration_;
    clockBaseMs_ = draw(1, MaxClockBaseMs);
    clockRate_ = std::uniform_real_distribution<double>(MinClockRate, 1)(random_);
    accelerators_ = boot.accelerators_;
    ++boot_;
    const auto startTime = unixMilliseconds() + boot.clockStep_.count();
    startTime_ = startTime == startTime_ ? startTime + 1 : startTime;
    hooks_.booted_(id_, accelerators_);
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
                               {"capacity", {{"cpu", 128'000}, {"mem_mb", 524'288}, {"gpu", accelerators_}}},
                               {"labels", {"a", rack}},
                               {"clock_ms", clockMs()},
                               {"born", startTime_},
                               {"sequence", ++sequence_}};
    return entry.dump();
}

auto LeasedWorker::clockMs() const -> std::int64_t
{
    const auto elapsed = std::chrono::duration<double, std::milli>(Clock::now() - bootedAt_);
    return clockBaseMs_ + static_cast<std::int64_t>(elapsed.count() * clockRate_);
}

auto LeasedWorker::draw(std::int64_t first, std::int64_t last) -> std::int64_t
{
    return std::uniform_int_distribution<std::int64_t>(first, last)(random_);
}

auto LeasedWorker::chance(double share) -> bool
{
    return std::uniform_real_distribution<double>(0, 1)(random_) < share;
}

auto LeasedWorker::answer(int status, nlohmann::json body) const -> RawAnswer
{
    body["clock_ms"] = clockMs();
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
    RawAnswer dropped;
    dropped.dropped_ = true;
    if (!isUp()) {
        respond(dropped);
        return;
    }
    const auto command = nlohmann::json::parse(request.body_, nullptr, false);
    if (command.is_discarded() || !command.is_object()) {
        respond(answer(400, {{"reason", "unreadable"}}));
        return;
    }
    if (findHeader(request.headers_, "X-Expect-Instance").value_or(id_) != id_) {
        respond(answer(421, nlohmann::json::object()));
        return;
    }
    if (chance(faults_.lateCommands_)) {
        const auto pause = std::chrono::milliseconds(draw(MinLateDelay.count(), MaxLateDelay.count()));
        after(pause, [this, target = request.target_, command, boot = boot_, across = faults_.lateAcrossRestarts_] {
            if (isUp() && (boot == boot_ || across)) {
                execute(target, command, true, [](const RawAnswer &) {});
            }
        });
        // The connection stays open without an answer for as long as the command is on its way.
        after(pause, [respond, dropped] {
            respond(dropped);
        });
        return;
    }
    if (chance(faults_.lostAnswers_)) {
        execute(request.target_, command, false, [respond, dropped](const RawAnswer &) {
            respond(dropped);
        });
        return;
    }
    execute(request.target_, command, false, respond);
}

auto LeasedWorker::execute(const std::string &target, const nlohmann::json &command, bool late, const RawResponder &respond) -> void
{
    if (target == "/marjoramfold/run-start") {
        respond(start(command, late));
    } else if (target == "/marjoramfold/run-stop") {
        respond(stop(command));
    } else if (target == "/marjoramfold/hold") {
        renew(command, respond);
    } else {
        respond(answer(404, nlohmann::json::object()));
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
    leaseUntilMs_ = std::max(leaseUntilMs_, std::min(command.value("deadline_ms", std::int64_t(0)), clockMs() + maxLease_.count()));
}

auto LeasedWorker::start(const nlohmann::json &command, bool late) -> RawAnswer
{
    if (isFenced(command)) {
        return answer(409, {{"reason", "fence"}});
    }
    if (command.value("deadline_ms", std::int64_t(0)) < clockMs()) {
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
    runs_[key].startedAt_ = Clock::now();
    hooks_.began_(id_, key.first, key.second, late);
    return answer(200, nlohmann::json::object());
}

auto LeasedWorker::stop(const nlohmann::json &command) -> RawAnswer
{
    if (isFenced(command)) {
        return answer(409, {{"reason", "fence"}});
    }
    const RunKey key(command.value("task", std::string()), command.value("run_id", 0));
    highestEnded_[key.first] = std::max(highestEnded_[key.first], key.second);
    if (const auto found = runs_.find(key); found != runs_.end() && !found->second.stopping_) {
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
    std::erase_if(ends_, [this, acknowledged](const LeasedRunEnd &end) {
        if (end.number_ > acknowledged) {
            return false;
        }
        hooks_.acknowledged_(id_, end);
        return true;
    });
    const auto wait = std::min(MaxRenewalWait, std::chrono::milliseconds(command.value("wait_ms", 0)));
    answerRenewal(fencingToken_, boot_, Clock::now() + wait, respond);
}

auto LeasedWorker::answerRenewal(std::uint64_t token, std::uint64_t boot, Clock::time_point until, const RawResponder &respond) -> void
{
    if (boot != boot_) {
        // The process that received the command no longer exists.
        RawAnswer dropped;
        dropped.dropped_ = true;
        respond(dropped);
        return;
    }
    if (token < fencingToken_) {
        respond(answer(409, {{"reason", "fence"}}));
        return;
    }
    if (ends_.empty() && Clock::now() < until) {
        after(StepInterval, [this, token, boot, until, respond] {
            answerRenewal(token, boot, until, respond);
        });
        return;
    }
    auto running = nlohmann::json::array();
    for (const auto &[key, run] : runs_) {
        const auto percent = 100 * run.worked_ / std::max(std::chrono::milliseconds(1), hooks_.work_(key.first));
        running.push_back({key.first, key.second, "", static_cast<int>(percent), 1000});
    }
    auto finished = nlohmann::json::array();
    for (std::size_t i = 0; i < std::min(ends_.size(), MaxListedEnds); ++i) {
        finished.push_back({ends_[i].number_, ends_[i].task_, ends_[i].run_, ends_[i].outcome_, ""});
    }
    respond(answer(200, {{"born", startTime_}, {"running", running}, {"finished", finished}}));
}

auto LeasedWorker::end(const RunKey &key, const std::string &outcome) -> void
{
    runs_.erase(key);
    highestEnded_[key.first] = std::max(highestEnded_[key.first], key.second);
    ends_.push_back({nextEnd_++, key.first, key.second, outcome, false});
    hooks_.ended_(id_, key.first, key.second, outcome);
}

auto LeasedWorker::outcomeOf(const RunKey &key, Run &run) -> std::string
{
    const auto now = Clock::now();
    const auto size = hooks_.gangSize_(key.first);
    const auto complete = size <= 1 || hooks_.present_(key.first, key.second) == size;
    if (clockMs() > leaseUntilMs_) {
        return "lapsed";
    }
    if (run.stopping_ && now >= run.stopAt_) {
        return "stopped";
    }
    if (!complete && run.worked_.count() > 0) {
        return "broken";
    }
    if (!complete) {
        return now - run.startedAt_ > GangTimeout ? "alone" : "";
    }
    run.worked_ += StepInterval;
    if (faults_.failsAll_ && run.worked_ > FailureDelay) {
        return "failed";
    }
    return run.worked_ >= hooks_.work_(key.first) ? "done" : "";
}

auto LeasedWorker::step() -> void
{
    std::vector<std::pair<RunKey, std::string>> ends;
    for (auto &[key, run] : runs_) {
        if (auto outcome = outcomeOf(key, run); !outcome.empty()) {
            ends.emplace_back(key, std::move(outcome));
        }
    }
    if (clockMs() > leaseUntilMs_) {
        for (auto &end : ends_) {
            end.leaseLapsed_ = true;
        }
    }
    for (const auto &[key, outcome] : ends) {
        end(key, outcome);
    }
    after(StepInterval, [this] {
        step();
    });
}
} // namespace Marjoramfold
