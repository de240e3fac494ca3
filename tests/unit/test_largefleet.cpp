#include "marjoramfold/dispatch/fleetscheduler.h"
#include "tests/support/simulatedfleet.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <map>
#include <memory>
#include <unordered_set>

using namespace Marjoramfold;
using namespace Marjoramfold::Test;
using namespace std::chrono_literals;

namespace
{
/// A single thread on a simulated clock. Work takes time, so an event that is due during other work is handled late.
class ChargedThread
{
public:
    ChargedThread()
    {
        BootClock::useSource([this] {
            return now_;
        });
    }

    ~ChargedThread()
    {
        BootClock::useSource({});
    }

    ChargedThread(const ChargedThread &) = delete;
    auto operator=(const ChargedThread &) -> ChargedThread & = delete;

    [[nodiscard]] auto schedule() -> std::function<void(std::chrono::milliseconds, std::function<void()>)>
    {
        return [this](std::chrono::milliseconds pause, std::function<void()> step) {
            steps_.emplace(now_ + pause, std::move(step));
        };
    }

    /// The current event takes this long.
    auto charge(BootTime::duration time) -> void
    {
        now_ += time;
    }

    auto run(std::chrono::milliseconds duration) -> void
    {
        for (const auto end = now_ + duration; !steps_.empty() && steps_.begin()->first <= end;) {
            auto step = steps_.extract(steps_.begin());
            now_ = std::max(now_, step.key());
            step.mapped()();
        }
    }

    [[nodiscard]] auto now() const -> BootTime
    {
        return now_;
    }

private:
    BootTime now_{100s};
    std::multimap<BootTime, std::function<void()>> steps_;
};

/// The scheduler of a leader of 1,100 workers. Each command and each response costs as much as on an instance with 0.12 cores.
class LargeFleet
{
public:
    LargeFleet()
    {
        QueueConfig batch;
        batch.name_ = "batch";
        batch.pool_ = "pool";
        batch.priority_ = 2;
        batch.maxAttempts_ = 3;
        config_ = OperatorConfig(1, {batch}, {{"pool", false, false}}, {{TeamId("team"), {"key"}, 8}});
        const auto answer = [this](const auto & /*command*/, const std::function<void(CommandResponse)> &callback) {
            ++commands_;
            thread_.charge(CommandCost);
            thread_.schedule()(ResponseDelay, [this, callback] {
                thread_.charge(CommandCost);
                callback(response());
            });
        };
        SchedulerHooks hooks;
        hooks.storeProgress_ = [this](const std::vector<KeyedRecord> & /*records*/, const std::function<void(bool)> &callback) {
            thread_.schedule()(ResponseDelay, [callback] {
                callback(true);
            });
        };
        hooks.publishPhases_ = [](const std::vector<std::pair<JobId, JobPhase>> & /*phases*/) {};
        hooks.config_ = [this]() -> const OperatorConfig & {
            return config_;
        };
        hooks.evacuatedZones_ = [this]() -> const std::unordered_set<std::string> & {
            // Read once in each pass.
            thread_.charge(passCost_);
            ++passes_;
            return evacuatedZones_;
        };
        hooks.wallNow_ = [] {
            return 0ms;
        };
        hooks.schedule_ = thread_.schedule();
        scheduler_ = std::make_unique<FleetScheduler>(DispatchOptions(), 1, WorkerCalls{answer, answer, answer}, hooks, [] {});
        for (int i = 0; i < Workers; ++i) {
            WorkerEntry entry;
            entry.id_ = WorkerId("w" + std::to_string(i));
            entry.address_ = "address";
            entry.pool_ = "pool";
            entry.rack_ = RackId("rack-" + std::to_string(i / 12));
            entry.capacity_ = {128'000, 524'288, 8};
            entry.incarnation_ = 1;
            scheduler_->updateWorker(entry);
        }
        renew();
    }

    /// Longest time between two of the leader's own renewals.
    [[nodiscard]] auto longestSilence() const -> BootTime::duration
    {
        return longestSilence_;
    }

    ChargedThread thread_;
    BootTime::duration passCost_{0};
    bool workersReachable_ = true;
    std::size_t commands_ = 0;
    std::size_t passes_ = 0;
    std::unique_ptr<FleetScheduler> scheduler_;

private:
    static constexpr int Workers = 1'100;
    static constexpr std::chrono::microseconds CommandCost{1'000};
    static constexpr std::chrono::milliseconds ResponseDelay{4};
    static constexpr std::chrono::milliseconds RenewInterval{250};

    [[nodiscard]] auto response() const -> CommandResponse
    {
        if (!workersReachable_) {
            return {CommandOutcome::Unknown, "timeout", 0, 0ms, {}};
        }
        CommandResponse response{CommandOutcome::Accepted, "", 1, 5s, {}};
        response.report_.incarnation_ = 1;
        response.report_.clock_ = 5s;
        return response;
    }

    auto renew() -> void
    {
        if (lastRenewal_ != BootTime{}) {
            longestSilence_ = std::max(longestSilence_, thread_.now() - lastRenewal_);
        }
        lastRenewal_ = thread_.now();
        thread_.schedule()(RenewInterval, [this] {
            renew();
        });
    }

    OperatorConfig config_;
    std::unordered_set<std::string> evacuatedZones_;
    BootTime lastRenewal_{};
    BootTime::duration longestSilence_{0};
};

/// A leader without a renewal for this long is succeeded.
constexpr std::chrono::milliseconds LeaderTimeout{900};
} // namespace

TEST_CASE("a leader of 1,100 workers on a small share of a core renews in time", "[dispatch]")
{
    // Guards against a leader that falls silent because one event concerns all workers: its successor does the same work again.
    LargeFleet fleet;

    SECTION("while it contacts all workers after the start of its leadership")
    {
        fleet.scheduler_->startScheduling(fleet.thread_.now());
        fleet.thread_.run(10s);
        CHECK(fleet.commands_ >= 1'100);
        CHECK(fleet.longestSilence() < LeaderTimeout);
    }

    SECTION("while no worker responds, and when all of them respond again")
    {
        fleet.workersReachable_ = false;
        fleet.scheduler_->startScheduling(fleet.thread_.now());
        fleet.thread_.run(10s);
        fleet.workersReachable_ = true;
        fleet.thread_.run(10s);
        CHECK(fleet.longestSilence() < LeaderTimeout);
    }
}

TEST_CASE("scheduling passes leave time for other work", "[dispatch]")
{
    // Guards against passes that take the whole thread when hundreds of steps wait for a full fleet.
    LargeFleet fleet;
    fleet.scheduler_->startScheduling(fleet.thread_.now());
    fleet.thread_.run(10s);
    fleet.passCost_ = 100ms;
    const auto before = fleet.passes_;
    constexpr auto Duration = 3s;
    for (auto waited = 0ms; waited < Duration; waited += 10ms) {
        fleet.scheduler_->requestPass();
        fleet.thread_.run(10ms);
    }
    const auto passTime = static_cast<double>(fleet.passes_ - before) * 0.1;
    CHECK(passTime <= 0.3 * std::chrono::duration<double>(Duration).count() + 0.1);
    CHECK(fleet.passes_ > before);
}
