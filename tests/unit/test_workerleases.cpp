#include "marjoramfold/dispatch/workersessions.h"

#include <catch2/catch.hpp>

#include <functional>
#include <memory>
#include <utility>
#include <vector>

using namespace Marjoramfold;
using namespace std::chrono_literals;

namespace
{
const WorkerId Worker("w1");
const TaskRef Task{JobId("00000000000000a1"), 0, 0, 0};

/// Sessions with one worker whose responses are lost unless it answers, on a stepped clock.
class SilentWorker
{
public:
    SilentWorker()
    {
        BootClock::useSource([this] {
            return BootTime(now_);
        });
        options_.maxLease_ = 10s;
        options_.requestedLease_ = 6s;
        WorkerCalls calls{[this](const StartCommand &command, const std::function<void(CommandResponse)> &callback) {
                              started_ = answers_ ? command.run_ : 0;
                              respond(callback, 0ms, {CommandOutcome::Accepted, "", 0, now_, {}});
                          },
                          [this](const StopCommand & /*command*/, const std::function<void(CommandResponse)> &callback) {
                              loseResponse(callback);
                          },
                          [this](const RenewCommand &command, const std::function<void(CommandResponse)> &callback) {
                              WorkerReport report{1, now_ + command.wait_, {}, {}};
                              if (started_ > 0) {
                                  report.running_.push_back({Task, started_, "", 0});
                              }
                              respond(callback, command.wait_, {CommandOutcome::Accepted, "", 0, now_, report});
                          }};
        SessionEvents events;
        events.runEnded_ = [this](const RunEnded &end) {
            endedAt_.push_back(now_);
            CHECK(end.kind_ == RunOutcome::LeaseExpired);
        };
        events.capacityChanged_ = [] {};
        events.runStarted_ = [](const WorkerId & /*worker*/, const TaskRef & /*task*/, std::uint32_t /*run*/) {};
        events.startRefused_ = [](const WorkerId & /*worker*/, const TaskRef & /*task*/) {};
        sessions_ = std::make_unique<WorkerSessions>(options_, 1, calls, events, [this](std::chrono::milliseconds pause, std::function<void()> step) {
            steps_.emplace_back(now_ + pause, std::move(step));
        });
        sessions_->startRenewals({BootTime(now_), BootTime(now_)});
    }

    ~SilentWorker()
    {
        BootClock::useSource({});
    }

    SilentWorker(const SilentWorker &) = delete;
    auto operator=(const SilentWorker &) -> SilentWorker & = delete;

    auto advance(std::chrono::milliseconds time) -> void
    {
        constexpr auto TickInterval = 100ms;
        for (const auto end = now_ + time; now_ < end;) {
            now_ += TickInterval;
            for (auto &[at, step] : std::exchange(steps_, {})) {
                if (at <= now_) {
                    step();
                } else {
                    steps_.emplace_back(at, std::move(step));
                }
            }
            sessions_->tick(BootTime(now_));
        }
    }

    auto list() -> void
    {
        WorkerEntry entry;
        entry.id_ = Worker;
        entry.address_ = "address";
        entry.incarnation_ = 1;
        entry.clock_ = 100s;
        sessions_->updateEntry(entry);
    }

    auto startRun() -> void
    {
        sessions_->place(Worker, Task, 1, {});
        sessions_->start(Worker, Task, 1, "payload", {});
    }

    /// The worker has a run of a former leader.
    auto startedBefore() -> void
    {
        started_ = 1;
    }

    DispatchOptions options_;
    bool answers_ = false;
    std::unique_ptr<WorkerSessions> sessions_;
    std::vector<std::chrono::milliseconds> endedAt_;

private:
    /// Passes a response on after a delay, if the worker answers then.
    auto respond(const std::function<void(CommandResponse)> &callback, std::chrono::milliseconds delay, CommandResponse response) -> void
    {
        steps_.emplace_back(now_ + delay, [this, callback, response = std::move(response)] {
            if (answers_) {
                callback(response);
            } else {
                loseResponse(callback);
            }
        });
    }

    auto loseResponse(const std::function<void(CommandResponse)> &callback) -> void
    {
        steps_.emplace_back(now_ + options_.commandTimeout_, [callback] {
            callback({CommandOutcome::Unknown, "timeout", 0, 0ms, {}});
        });
    }

    std::chrono::milliseconds now_{1'000'000};
    /// Number of the run that the worker has started; 0 for none.
    std::uint32_t started_ = 0;
    std::vector<std::pair<std::chrono::milliseconds, std::function<void()>>> steps_;
};
} // namespace

TEST_CASE("a run that no report listed keeps its task until the longest lease has passed", "[dispatch]")
{
    // Guards against a second run while a restarted worker, whose clock the leader does not know, still runs the first one.
    SilentWorker worker;

    SECTION("when its start command got no response")
    {
        worker.list();
        worker.startRun();
    }

    SECTION("when a former leader sent it and resigned")
    {
        worker.sessions_->adoptRun(Worker, 1, Task, 1, {});
    }

    worker.advance(10s);
    CHECK(worker.endedAt_.empty());
    worker.advance(2s);
    CHECK(worker.endedAt_.size() == 1);
}

TEST_CASE("a run whose worker is lost soon after its start waits for the requested lease only", "[dispatch]")
{
    // Guards against a first report that comes up to a second after the start, until which the longest lease counts.
    SilentWorker worker;
    worker.answers_ = true;
    worker.list();
    // A lease of a former leader has ended by then.
    worker.advance(worker.options_.maxLease_);
    worker.startRun();
    worker.advance(400ms);
    worker.answers_ = false;
    worker.advance(worker.options_.requestedLease_ + 2s);
    CHECK(worker.endedAt_.size() == 1);
}

TEST_CASE("a statement names the workers whose leases may be longer than requested", "[dispatch][inherit]")
{
    // Guards against a successor that counts a lease as requested which another incarnation or a former leader's command has made longer.
    SilentWorker worker;
    constexpr std::uint64_t Recorded = 1;

    SECTION("as no report has listed their run")
    {
        worker.list();
        worker.startRun();
        CHECK(worker.sessions_->stateLeases(Recorded).unreported_ == std::vector{Worker});
    }

    SECTION("as a former leader may have granted it, until the requested lease is as long")
    {
        worker.answers_ = true;
        worker.startedBefore();
        worker.sessions_->adoptRun(Worker, 1, Task, 1, {});
        worker.list();
        worker.advance(500ms);
        CHECK(worker.sessions_->stateLeases(Recorded).unreported_ == std::vector{Worker});
        worker.advance(worker.options_.maxLease_ - worker.options_.requestedLease_);
        const auto statement = worker.sessions_->stateLeases(Recorded);
        CHECK(statement.unreported_.empty());
        CHECK(statement.covers(Worker, Recorded - 1));
        CHECK(!statement.covers(Worker, Recorded));
    }

    SECTION("unless they are silent")
    {
        worker.answers_ = true;
        worker.list();
        worker.advance(worker.options_.maxLease_);
        worker.startRun();
        worker.advance(1s);
        CHECK(worker.sessions_->stateLeases(Recorded).silent_.empty());
        worker.answers_ = false;
        worker.advance(2s);
        const auto statement = worker.sessions_->stateLeases(Recorded);
        REQUIRE(statement.findSilent(Worker) != nullptr);
        CHECK(statement.findSilent(Worker)->leaseLeft_ < worker.options_.requestedLease_);
        CHECK(statement.unreported_.empty());
    }
}
