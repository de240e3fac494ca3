#include "tests/support/simulatedfleet.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <cstdint>
#include <string>

using namespace Marjoramfold;
using namespace Marjoramfold::Test;
using namespace std::chrono_literals;

// Guaranteed accelerators that urgent jobs of other teams use.

namespace
{
const JobId OwedJob("00000000000000b1");
/// Start deadline of guaranteed work on the site with the shortest one.
constexpr std::chrono::milliseconds StartDeadline{2700};

/// A fleet of 48 accelerators, of which 24 are guaranteed to team a and 16 to team b.
class TwoTeams
{
public:
    TwoTeams()
    {
        QueueConfig urgent;
        urgent.name_ = "urgent";
        urgent.pool_ = "pool";
        urgent.maxAttempts_ = 3;
        urgent.stretch_ = 1.5;
        auto batch = urgent;
        batch.name_ = "batch";
        batch.priority_ = 2;
        fleet_.config_ = OperatorConfig(2, {urgent, batch}, {{"pool", false, false}}, {{TeamId("a"), {"key-a"}, 24}, {TeamId("b"), {"key-b"}, 16}});
        fleet_.work_ = [](const TaskRef &task) {
            return task.job_.value().starts_with("00000000000000a") ? 90'000ms : 5'000ms;
        };
        addTwoRacks(fleet_);
    }

    /// A job of team a that lasts.
    auto borrow(const std::string &id, std::uint32_t count, ResourceVector task = SmallTask) -> Submission
    {
        auto job = makeSubmission("00000000000000" + id, "urgent", count, task);
        job.team_ = TeamId("a");
        job.plan_.steps_[0].estimate_ = 90'000ms;
        job.plan_.steps_[0].checkpoints_ = true;
        return job;
    }

    static auto owed(std::uint32_t count, ResourceVector task = SmallTask) -> Submission
    {
        auto job = makeSubmission(OwedJob.value(), "urgent", count, task);
        job.team_ = TeamId("b");
        return job;
    }

    /// Accelerators that running tasks of the team's jobs use.
    [[nodiscard]] auto use(const std::string &prefix) -> std::int64_t
    {
        std::int64_t used = 0;
        for (const auto &id : fleet_.workerIds()) {
            for (const auto &[task, run] : fleet_.worker(id).runs_) {
                const auto &job = *fleet_.scheduler_->jobs().at(task.job_);
                used += task.job_.value().starts_with("00000000000000" + prefix) ? job.submission_.plan_.steps_[task.step_].task_.accelerators_ : 0;
            }
        }
        return used;
    }

    SimulatedFleet fleet_;
};
} // namespace

TEST_CASE("a team's guaranteed accelerators are reclaimed from the urgent jobs of another team", "[dispatch][guarantee]")
{
    // Guards against a guarantee that is read from the configuration and never used: a team's urgent jobs keep another one's accelerators for
    // as long as they last.
    TwoTeams teams;
    auto &fleet = teams.fleet_;
    for (int i = 0; i < 6; ++i) {
        fleet.submit(teams.borrow("a" + std::to_string(i), 8));
        fleet.advance(100ms);
    }
    fleet.advance(500ms);
    REQUIRE(teams.use("a") == 48);

    SECTION("all tasks of its job begin before the deadline, and the other team keeps the rest")
    {
        fleet.submit(TwoTeams::owed(8));
        fleet.advance(StartDeadline);
        CHECK(teams.use("b") == 8);
        CHECK(teams.use("a") == 40);
        fleet.advance(5s);
        CHECK(fleet.phaseOf(OwedJob) == JobPhase::Completed);
        CHECK(fleet.starts_[OwedJob].size() == 8);
        CHECK(teams.use("a") == 48);
        CHECK(fleet.scheduler_->counts().reclaims_ == 8);
    }

    SECTION("work that waits for free accelerators does not take those that were reclaimed")
    {
        // Guards against earlier jobs, such as the one that was stopped, which start in the accelerators as they become free.
        fleet.submit(teams.borrow("a7", 16));
        fleet.advance(100ms);
        fleet.submit(TwoTeams::owed(16));
        fleet.advance(StartDeadline);
        CHECK(fleet.starts_[OwedJob].size() == 16);
        CHECK(fleet.scheduler_->counts().reclaims_ == 16);
    }

    SECTION("no more than the guarantee is reclaimed")
    {
        fleet.submit(TwoTeams::owed(30));
        fleet.advance(1'500ms);
        CHECK(teams.use("b") == 16);
        CHECK(teams.use("a") == 32);
    }

    SECTION("a job beyond the guarantee waits")
    {
        fleet.submit(asGang(TwoTeams::owed(24)));
        fleet.advance(5s);
        CHECK(fleet.starts_[OwedJob].empty());
        CHECK(teams.use("a") == 48);
    }

    SECTION("a new leader knows whose runs they are")
    {
        fleet.startLeader();
        fleet.advance(500ms);
        fleet.submit(TwoTeams::owed(8));
        fleet.advance(StartDeadline);
        CHECK(fleet.starts_[OwedJob].size() == 8);
    }

    SECTION("a gang that needs whole workers of one rack")
    {
        fleet.submit(asGang(TwoTeams::owed(2, WholeWorkerTask)));
        fleet.advance(StartDeadline);
        CHECK(fleet.starts_[OwedJob].size() == 2);
        CHECK(teams.use("a") == 32);
    }

    SECTION("less urgent work is stopped first")
    {
        fleet.cancel(JobId("00000000000000a5"));
        fleet.advance(500ms);
        auto batch = teams.borrow("a9", 8);
        batch.queue_ = "batch";
        fleet.submit(batch);
        fleet.advance(500ms);
        REQUIRE(teams.use("a9") == 8);
        fleet.submit(TwoTeams::owed(8));
        fleet.advance(StartDeadline);
        CHECK(fleet.starts_[OwedJob].size() == 8);
        CHECK(fleet.scheduler_->counts().reclaims_ == 0);
        CHECK(fleet.scheduler_->counts().preemptions_ == 8);
    }
    CHECK(fleet.violations_ == std::vector<std::string>{});
}

TEST_CASE("a team is not brought below its own guarantee", "[dispatch][guarantee]")
{
    // Guards against a guarantee that is met at the cost of another one, and then reclaimed back.
    TwoTeams teams;
    auto &fleet = teams.fleet_;

    SECTION("when one of its gangs has to end as a whole")
    {
        fleet.submit(asGang(teams.borrow("a1", 3, WholeWorkerTask)));
        fleet.submit(asGang(teams.borrow("a2", 3, WholeWorkerTask)));
        fleet.advance(500ms);
        REQUIRE(teams.use("a") == 48);
        fleet.submit(TwoTeams::owed(8));
        fleet.advance(1s);
        CHECK(fleet.starts_[OwedJob].size() == 8);
        CHECK(teams.use("a") == 24);
    }

    SECTION("when it uses exactly that")
    {
        auto &config = fleet.config_;
        config = OperatorConfig(3, {*config.queueNamed("urgent")}, {{"pool", false, false}}, {{TeamId("a"), {"key-a"}, 48}, {TeamId("b"), {"key-b"}, 16}});
        fleet.submit(teams.borrow("a1", 48));
        fleet.advance(500ms);
        fleet.submit(TwoTeams::owed(8));
        fleet.advance(5s);
        CHECK(teams.use("a") == 48);
        CHECK(fleet.scheduler_->counts().reclaims_ == 0);
    }

    SECTION("when two claims come together")
    {
        fleet.submit(asGang(teams.borrow("a1", 3, WholeWorkerTask)));
        fleet.submit(teams.borrow("a2", 24));
        fleet.advance(500ms);
        REQUIRE(teams.use("a") == 48);
        fleet.submit(TwoTeams::owed(4));
        fleet.advance(20ms);
        auto second = TwoTeams::owed(4);
        second.id_ = JobId("00000000000000b2");
        fleet.submit(second);
        auto least = teams.use("a");
        for (int i = 0; i < 300; ++i) {
            fleet.advance(10ms);
            least = std::min(least, teams.use("a"));
        }
        CHECK(fleet.starts_[OwedJob].size() == 4);
        CHECK(fleet.starts_[second.id_].size() == 4);
        CHECK(least >= 24);
    }
    CHECK(fleet.violations_ == std::vector<std::string>{});
}

TEST_CASE("runs that end together are stopped together", "[dispatch][guarantee]")
{
    TwoTeams teams;
    auto &fleet = teams.fleet_;

    SECTION("a gang within the guarantee starts in the room of one of the gangs that fill all workers")
    {
        // Guards against a search that stops one member on each of several workers: each ends its whole gang, and after three gangs the other
        // team is at its guarantee, although the first one would have made room.
        for (int i = 0; i < 6; ++i) {
            fleet.submit(asGang(teams.borrow("a" + std::to_string(i), 8)));
            fleet.advance(100ms);
        }
        fleet.advance(500ms);
        REQUIRE(teams.use("a") == 48);
        fleet.submit(asGang(TwoTeams::owed(8)));
        fleet.advance(StartDeadline);
        CHECK(fleet.starts_[OwedJob].size() == 8);
        CHECK(teams.use("b") == 8);
        CHECK(teams.use("a") == 40);
        CHECK(fleet.scheduler_->counts().reclaims_ == 8);
    }

    SECTION("a gang within the guarantee, in the room of gangs of which one is within the other guarantee in part")
    {
        // Guards against a guarantee that is never met, as the other team would be below its own without a gang that it has borrowed in part.
        auto &config = fleet.config_;
        config = OperatorConfig(3, {*config.queueNamed("urgent")}, {{"pool", false, false}}, {{TeamId("a"), {"key-a"}, 28}, {TeamId("b"), {"key-b"}, 20}});
        for (int i = 0; i < 6; ++i) {
            fleet.submit(asGang(teams.borrow("a" + std::to_string(i), 8)));
            fleet.advance(100ms);
        }
        fleet.advance(500ms);
        REQUIRE(teams.use("a") == 48);
        auto spread = asGang(TwoTeams::owed(20));
        spread.plan_.steps_[0].prefersOneRack_ = false;
        fleet.submit(spread);
        fleet.advance(StartDeadline);
        CHECK(fleet.starts_[OwedJob].size() == 20);
        CHECK(teams.use("a") == 24);
        // The gangs that were stopped do not reclaim the accelerators back.
        CHECK(fleet.scheduler_->counts().reclaims_ == 24);
        fleet.advance(10s);
        CHECK(fleet.phaseOf(OwedJob) == JobPhase::Completed);
        CHECK(fleet.scheduler_->counts().reclaims_ == 24);
    }

    SECTION("a gang within the guarantee, in the room of gangs that are spread over the workers")
    {
        for (int i = 0; i < 2; ++i) {
            auto spread = asGang(teams.borrow("a" + std::to_string(i), 24));
            spread.plan_.steps_[0].prefersOneRack_ = false;
            spread.plan_.steps_[0].maxPerWorker_ = 4;
            fleet.submit(spread);
            fleet.advance(100ms);
        }
        fleet.advance(500ms);
        REQUIRE(teams.use("a") == 48);
        fleet.submit(asGang(TwoTeams::owed(12)));
        fleet.advance(StartDeadline);
        CHECK(fleet.starts_[OwedJob].size() == 12);
        CHECK(teams.use("a") == 24);
    }

    SECTION("the loss of a gang counts once, although it makes room on several workers")
    {
        // Guards against a cost that counts a gang once for each of its members, by which much older work is stopped in its place.
        auto tasks = teams.borrow("a1", 3, WholeWorkerTask);
        tasks.queue_ = "batch";
        tasks.plan_.steps_[0].checkpoints_ = false;
        fleet.submit(tasks);
        fleet.advance(10s);
        auto gang = asGang(tasks);
        gang.id_ = JobId("00000000000000a2");
        fleet.submit(gang);
        fleet.advance(2s);
        REQUIRE(teams.use("a") == 48);
        fleet.submit(asGang(TwoTeams::owed(2, WholeWorkerTask)));
        fleet.advance(StartDeadline);
        CHECK(fleet.starts_[OwedJob].size() == 2);
        CHECK(teams.use("a1") == 24);
        CHECK(teams.use("a2") == 0);
        CHECK(fleet.scheduler_->counts().preemptions_ == 3);
    }
    CHECK(fleet.violations_ == std::vector<std::string>{});
}

TEST_CASE("work is stopped for other work no more often than needed", "[dispatch][guarantee]")
{
    TwoTeams teams;
    auto &fleet = teams.fleet_;
    const auto batch = [&teams](const std::string &id) {
        auto job = teams.borrow(id, 1, WholeWorkerTask);
        job.queue_ = "batch";
        return job;
    };
    const auto urgent = [](int number) {
        auto job = TwoTeams::owed(1, WholeWorkerTask);
        job.id_ = JobId("00000000000000b" + std::to_string(number));
        return job;
    };

    SECTION("the same job is not stopped again while others can be stopped")
    {
        // Guards against a restarted job that is always the cheapest to stop, because it has lost little so far.
        for (int i = 0; i < 6; ++i) {
            fleet.submit(batch("a" + std::to_string(i)));
        }
        fleet.advance(1s);
        REQUIRE(teams.use("a") == 48);
        for (int i = 0; i < 6; ++i) {
            fleet.submit(urgent(i));
            fleet.advance(6s);
        }
        CHECK(fleet.scheduler_->counts().preemptions_ == 6);
        for (int i = 0; i < 6; ++i) {
            CHECK(fleet.starts_[JobId("00000000000000a" + std::to_string(i))].size() == 2);
        }
    }

    SECTION("a run that is about to end is waited for")
    {
        auto shortJob = batch("c1");
        shortJob.plan_.steps_[0].estimate_ = 5s;
        shortJob.plan_.steps_[0].checkpoints_ = false;
        fleet.submit(shortJob);
        for (int i = 0; i < 5; ++i) {
            fleet.submit(batch("a" + std::to_string(i)));
        }
        fleet.advance(4'800ms);
        fleet.submit(urgent(1));
        fleet.advance(1s);
        CHECK(fleet.phaseOf(shortJob.id_) == JobPhase::Completed);
        CHECK(fleet.starts_[urgent(1).id_].size() == 1);
        CHECK(fleet.scheduler_->counts().preemptions_ == 0);
    }

    SECTION("an estimate that is too short delays urgent work by no more than the wait for it")
    {
        // A run may stay at its last percent for long.
        fleet.listedPercent_ = [](int percent) {
            return percent < 5 ? percent : 99;
        };
        fleet.work_ = [](const TaskRef &task) {
            return task.job_.value().starts_with("00000000000000a") ? 90'000ms : 500ms;
        };
        for (int i = 0; i < 6; ++i) {
            fleet.submit(batch("a" + std::to_string(i)));
        }
        fleet.advance(5'750ms);
        fleet.submit(urgent(1));
        fleet.advance(1'500ms);
        CHECK(fleet.starts_[urgent(1).id_].size() == 1);
        CHECK(fleet.scheduler_->counts().awaitedEnds_ > 0);
        CHECK(fleet.scheduler_->counts().preemptions_ == 1);
    }
    CHECK(fleet.violations_ == std::vector<std::string>{});
}
