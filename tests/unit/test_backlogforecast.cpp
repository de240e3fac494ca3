#include "marjoramfold/dispatch/backlogforecast.h"
#include "tests/support/simulatedfleet.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <string>
#include <vector>

using namespace Marjoramfold;
using namespace Marjoramfold::Test;
using namespace std::chrono_literals;

namespace
{
constexpr ResourceVector BulkTask{3'000, 4'000, 1};

/// A pool of 100 accelerators and 400 cores with an urgent, a large and a bulk queue. A typical job takes 8 s; the start of one is of use
/// within 73 s (three times 3 x 8 s + 3 s, less its run time).
class ForecastFixture
{
public:
    ForecastFixture()
    {
        for (auto priority = 0; priority < 3; ++priority) {
            auto &queue = queues_.at(static_cast<std::size_t>(priority));
            queue.name_ = std::string(1, "ulb"[priority]);
            queue.pool_ = "pool";
            queue.priority_ = priority;
            queue.stretch_ = 3;
            queue.targetLatency_ = 3s;
            sample_.queues_.push_back({&queue, 1.0, {}, {}, 8s, BulkTask});
        }
        sample_.pools_["pool"].room_ = {400, 100};
    }

    /// The sample of a queue by its priority.
    auto queue(std::size_t priority) -> QueueSample &
    {
        return sample_.queues_.at(priority);
    }

    /// Adds a sample after a pause; returns the names of the queues that must reject.
    auto after(std::chrono::milliseconds pause) -> std::string
    {
        now_ += pause;
        last_ = forecast_.update(sample_, now_);
        std::string names;
        for (const auto &queue : last_) {
            names += queue.queue_;
        }
        return names;
    }

    /// Samples every second for 10 s, in which work ends at a rate.
    auto measure(double acceleratorsPerSecond) -> std::string
    {
        std::string names;
        for (auto second = 0; second < 10; ++second) {
            sample_.pools_["pool"].ended_ += {acceleratorsPerSecond, acceleratorsPerSecond};
            names = after(1s);
        }
        return names;
    }

    [[nodiscard]] auto config(std::size_t priority) const -> const QueueConfig &
    {
        return queues_.at(priority);
    }

    BacklogSample sample_;
    std::vector<QueueForecast> last_;
    BacklogForecast forecast_;

private:
    std::vector<QueueConfig> queues_ = std::vector<QueueConfig>(3);
    BootTime now_{1000s};
};

auto planOf(const ResourceVector &task, std::chrono::milliseconds estimate) -> JobPlan
{
    JobPlan plan;
    plan.steps_.resize(1);
    plan.steps_[0].count_ = 4;
    plan.steps_[0].task_ = task;
    plan.steps_[0].estimate_ = estimate;
    return plan;
}
} // namespace

TEST_CASE("too much bulk work: a queue rejects when even twice the possible rate would not do", "[backlog]")
{
    ForecastFixture fixture;

    SECTION("work that twice the room does in time rejects nothing")
    {
        // Guards against rejections while the rate of ends has not been measured, as after a change of leader.
        fixture.queue(2).timely_ = {0, 2 * 100 * 72};
        CHECK(fixture.after(1s).empty());
        CHECK(fixture.after(2s).empty());
    }

    SECTION("more work rejects, but only after a second, and one better forecast ends it")
    {
        // Guards against rejections for a short burst.
        fixture.queue(2).timely_ = {0, 2 * 100 * 74};
        CHECK(fixture.after(1s).empty());
        CHECK(fixture.after(999ms).empty());
        CHECK(fixture.after(1ms) == "b");
        CHECK(fixture.last_[0].timely_.accelerators_ == 74s);
        fixture.queue(2).timely_ = {0, 2 * 100 * 72};
        CHECK(fixture.after(1s).empty());
        fixture.queue(2).timely_ = {0, 2 * 100 * 74};
        CHECK(fixture.after(1s).empty());
        CHECK(fixture.after(1s) == "b");
    }

    SECTION("bursts that last for one forecast each reject nothing")
    {
        for (auto burst = 0; burst < 5; ++burst) {
            fixture.queue(2).timely_ = {0, 1e6};
            CHECK(fixture.after(2s).empty());
            fixture.queue(2).timely_ = {};
            CHECK(fixture.after(2s).empty());
        }
    }

    SECTION("a leader that has just begun rejects nothing, however much work waits")
    {
        // Guards against rejections by a leader that has not heard from its workers yet.
        fixture.queue(2).timely_ = {1e9, 1e9};
        CHECK(BacklogForecast().update(fixture.sample_, BootTime(5s)).empty());
    }

    SECTION("work of equal and higher rank counts, of lower rank does not, and urgent queues never reject")
    {
        fixture.queue(2).timely_ = {0, 1e6};
        fixture.after(1s);
        CHECK(fixture.after(1s) == "b");
        fixture.queue(0).timely_ = {0, 1e6};
        fixture.after(1s);
        CHECK(fixture.after(1s) == "lb");
    }

    SECTION("a job that would go before the late ones is not rejected because of them")
    {
        // Guards against a backlog that can no longer meet its objective keeping out work that can.
        fixture.queue(2).late_ = {0, 1e6};
        fixture.after(1s);
        CHECK(fixture.after(1s).empty());
        fixture.queue(2).timely_ = {0, 2 * 100 * 30};
        fixture.after(1s);
        CHECK(fixture.after(1s) == "b");
    }

    SECTION("a pool without workers, or with free capacity for what waits, rejects nothing")
    {
        fixture.queue(2).timely_ = {0, 1e6};
        fixture.queue(2).blockedTask_.reset();
        fixture.after(1s);
        CHECK(fixture.after(1s).empty());
        fixture.queue(2).blockedTask_ = BulkTask;
        fixture.sample_.pools_.clear();
        fixture.after(1s);
        CHECK(fixture.after(1s).empty());
    }
}

TEST_CASE("estimates that are wrong either way do not reject work that can end in time", "[backlog]")
{
    ForecastFixture fixture;

    SECTION("estimates of twice the run time: ends are measured by the same estimates")
    {
        // At 200 per second, twice the room, the work takes 100 s, and 50 s if it is done twice as fast again.
        fixture.queue(2).timely_ = {0, 20'000};
        CHECK(fixture.measure(200).empty());
        fixture.queue(2).timely_ = {0, 30'000};
        CHECK(fixture.measure(200) == "b");
    }

    SECTION("estimates of half the run time: work that the room holds in time is accepted, more is rejected")
    {
        fixture.queue(2).timely_ = {0, 7'200};
        CHECK(fixture.measure(50).empty());
        fixture.queue(2).timely_ = {0, 7'400};
        CHECK(fixture.measure(50) == "b");
    }

    SECTION("no ends at all for some seconds, because of long tasks or a fault, do not count as no capacity")
    {
        fixture.queue(2).timely_ = {0, 7'200};
        CHECK(fixture.measure(0).empty());
    }

    SECTION("an estimate that is far too low does not shorten the job's last useful time")
    {
        fixture.queue(2).timely_ = {0, 2 * 100 * 74};
        fixture.after(1s);
        REQUIRE(fixture.after(1s) == "b");
        CHECK(forecastStart(fixture.last_[0], fixture.config(2), planOf(BulkTask, 100ms)).lastUsefulStart_ == 73s);
        CHECK(forecastStart(fixture.last_[0], fixture.config(2), planOf(BulkTask, 8s)).isHopeless());
        CHECK_FALSE(forecastStart(fixture.last_[0], fixture.config(2), planOf(BulkTask, 9s)).isHopeless());
    }
}

TEST_CASE("a job is judged by the resources that it needs", "[backlog]")
{
    // Guards against rejecting work for a backlog that it does not compete with.
    ForecastFixture fixture;
    fixture.queue(2).timely_ = {0, 1e6};
    fixture.after(1s);
    REQUIRE(fixture.after(1s) == "b");
    const auto isHopeless = [&fixture](const ResourceVector &task) {
        return forecastStart(fixture.last_[0], fixture.config(2), planOf(task, 8s)).isHopeless();
    };
    CHECK(isHopeless(BulkTask));
    CHECK(isHopeless({4'000, 8'000, 8}));
    // Without accelerators, or smaller than the smallest task that does not fit.
    CHECK_FALSE(isHopeless({3'000, 4'000, 0}));
    CHECK_FALSE(isHopeless({2'000, 4'000, 1}));
}

TEST_CASE("a flood of small jobs before a wide gang: the sample has what competes for the pool", "[backlog]")
{
    SimulatedFleet fleet;
    addTwoRacks(fleet);
    const auto batchOf = [&fleet]() -> QueueSample {
        const auto sample = fleet.scheduler_->backlogSample();
        const auto found = std::find_if(sample.queues_.begin(), sample.queues_.end(), [](const QueueSample &queue) {
            return queue.queue_->name_ == "batch";
        });
        return found == sample.queues_.end() ? QueueSample() : *found;
    };
    const auto submit = [&fleet](int number, Submission submission) {
        submission.id_ = JobId("00000000000001" + std::to_string(10 + number));
        submission.acceptedAt_ = fleet.now();
        fleet.submit(submission);
    };
    fleet.advance(500ms);

    SECTION("work that starts at once leaves no blocked task")
    {
        submit(0, makeSubmission("", "batch", 10, SmallTask));
        CHECK_FALSE(batchOf().blockedTask_);
        fleet.advance(300ms);
        CHECK(batchOf().timely_.accelerators_ == 0);
    }

    SECTION("tasks beyond the 48 accelerators wait, and a wide gang with them")
    {
        for (auto job = 0; job < 10; ++job) {
            submit(job, makeSubmission("", "batch", 12, SmallTask));
        }
        fleet.advance(300ms);
        const auto tasks = batchOf();
        CHECK(tasks.timely_.accelerators_ == Approx((120 - 48) * 2));
        CHECK(tasks.blockedTask_ == SmallTask);
        CHECK(tasks.typicalPath_ == 2s);
        submit(10, asGang(makeSubmission("", "batch", 3, WholeWorkerTask)));
        CHECK(batchOf().timely_.accelerators_ == Approx((120 - 48) * 2 + 3 * 8 * 2));
    }

    SECTION("work that the workers cannot hold, lasting work and work that is not due keep nothing waiting")
    {
        // Guards against gangs that can never start rejecting all work of their rank.
        submit(0, asGang(makeSubmission("", "batch", 7, WholeWorkerTask)));
        submit(1, makeSubmission("", "batch", 2, {11'000, 46'000, 9}));
        auto labelled = makeSubmission("", "batch", 100, SmallTask);
        labelled.plan_.steps_[0].requiredLabel_ = "r1-1";
        submit(2, labelled);
        auto service = makeSubmission("", "batch", 100, SmallTask);
        service.plan_.steps_[0].service_ = true;
        submit(3, service);
        auto scheduled = makeSubmission("", "batch", 100, SmallTask);
        scheduled.plan_.occurrences_ = 1;
        scheduled.plan_.firstDue_ = fleet.now() + 60s;
        submit(4, scheduled);
        const auto batch = batchOf();
        CHECK(batch.timely_.accelerators_ == 0);
        CHECK(batch.late_.accelerators_ == 0);
        CHECK_FALSE(batch.blockedTask_);
    }

    SECTION("the room is that of the workers that take work")
    {
        CHECK(fleet.scheduler_->backlogSample().pools_.at("pool").room_.accelerators_ == Approx(48));
        fleet.evacuatedZones_.insert("zone-2");
        CHECK(fleet.scheduler_->backlogSample().pools_.at("pool").room_.accelerators_ == Approx(24));
        fleet.unlist(fleet.workerIds().front());
        CHECK(fleet.scheduler_->backlogSample().pools_.at("pool").room_.accelerators_ == Approx(16));
    }
    CHECK(fleet.violations_.empty());
}
