#include "marjoramfold/dispatch/speedpreference.h"
#include "marjoramfold/dispatch/workerselector.h"
#include "tests/support/simulatedfleet.h"

#include <catch2/catch.hpp>

#include <cmath>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

using namespace Marjoramfold;
using namespace Marjoramfold::Test;
using namespace std::chrono_literals;

// The use of learned speeds in the choice of workers.

namespace
{
const JobId FirstJob("00000000000000a1");

/// A record of the speeds of workers with many samples; the values are relative durations.
auto recordOf(const std::vector<std::pair<std::string, double>> &durations) -> std::string
{
    WorkerSpeeds speeds;
    const std::vector<double> others(1000, std::log(10'000.0));
    for (const auto &[id, duration] : durations) {
        for (auto i = 0; i < 200; ++i) {
            speeds.addSample(WorkerId(id), std::chrono::milliseconds(std::lround(10'000 * duration)), others);
        }
    }
    return speeds.encode(262'144);
}

/// Two racks of three workers; the first rack has one very fast worker, the second two fast ones.
struct UnevenFleet {
    explicit UnevenFleet(bool prefersFast)
    {
        fleet_.options_.preferFastWorkers_ = prefersFast;
        fleet_.storeProgress(WorkerSpeeds::RecordKey, recordOf({{"w-r1-1-2", 0.5}, {"w-r2-1-1", 0.8}, {"w-r2-1-2", 0.8}, {"w-r1-1-1", 1.3}}));
        addTwoRacks(fleet_);
        fleet_.advance(1s);
    }

    /// Ids of the workers on which tasks run.
    [[nodiscard]] auto used() -> std::set<std::string>
    {
        std::set<std::string> ids;
        for (const auto &id : fleet_.workerIds()) {
            if (!fleet_.worker(id).runs_.empty()) {
                ids.insert(id.value());
            }
        }
        return ids;
    }

    SimulatedFleet fleet_;
};
} // namespace

TEST_CASE("urgent work takes fast workers and bulk leaves them free", "[dispatch][speeds]")
{
    // Load pattern: urgent gangs, large gangs and bulk compete for workers of different speed.
    UnevenFleet uneven(true);
    auto &fleet = uneven.fleet_;

    SECTION("a single urgent task runs on the fastest worker")
    {
        fleet.submit(makeSubmission(FirstJob.value(), "urgent", 1, SmallTask));
        fleet.advance(300ms);
        CHECK(uneven.used() == std::set<std::string>{"w-r1-1-2"});
    }

    SECTION("an urgent gang of two whole workers in one rack takes the two that are fast, not the rack with the fastest")
    {
        fleet.submit(asGang(makeSubmission(FirstJob.value(), "urgent", 2, WholeWorkerTask)));
        fleet.advance(300ms);
        CHECK(uneven.used() == std::set<std::string>{"w-r2-1-1", "w-r2-1-2"});
    }

    SECTION("an urgent gang of three whole workers runs, although it needs slower ones")
    {
        fleet.submit(asGang(makeSubmission(FirstJob.value(), "urgent", 3, WholeWorkerTask)));
        fleet.advance(300ms);
        CHECK(uneven.used() == std::set<std::string>{"w-r2-1-0", "w-r2-1-1", "w-r2-1-2"});
    }

    SECTION("bulk begins with the slowest worker")
    {
        fleet.submit(makeSubmission(FirstJob.value(), "batch", 4, SmallTask));
        fleet.advance(300ms);
        CHECK(uneven.used() == std::set<std::string>{"w-r1-1-1"});
    }

    SECTION("bulk that needs all workers uses the fast ones too")
    {
        fleet.submit(makeSubmission(FirstJob.value(), "batch", 48, SmallTask));
        fleet.advance(300ms);
        CHECK(fleet.runningTasks() == 48);
    }
    fleet.advance(10s);
    CHECK(fleet.phaseOf(FirstJob) == JobPhase::Completed);
    CHECK(fleet.violations_.empty());
}

TEST_CASE("with the switch off a record of speeds changes nothing", "[dispatch][speeds]")
{
    UnevenFleet uneven(false);
    uneven.fleet_.submit(makeSubmission(FirstJob.value(), "urgent", 1, SmallTask));
    uneven.fleet_.advance(300ms);
    CHECK(uneven.used() == std::set<std::string>{"w-r1-1-0"});
    uneven.fleet_.advance(10s);
    CHECK(uneven.fleet_.scheduler_->counts().speedSamples_ == 0);
}

TEST_CASE("speeds are learned from bulk and outlast the leader", "[dispatch][speeds]")
{
    // Load pattern: steps of bulk on a fleet where one rack is twice as fast. Failure: the leader is replaced.
    SimulatedFleet fleet;
    fleet.options_.preferFastWorkers_ = true;
    addTwoRacks(fleet);
    for (const auto &id : fleet.workerIds()) {
        fleet.worker(id).relativeDuration_ = id.value().starts_with("w-r2") ? 0.5 : 1.0;
    }
    fleet.advance(1s);
    for (auto job = 0; job < 4; ++job) {
        fleet.submit(makeSubmission("00000000000000b" + std::to_string(job), "batch", 48, SmallTask));
        fleet.advance(6s);
    }
    const auto isFaster = [&fleet] {
        const auto &speeds = fleet.scheduler_->workerSpeeds();
        return speedClassOf(speeds.relativeDuration(WorkerId("w-r2-1-0"))) < speedClassOf(speeds.relativeDuration(WorkerId("w-r1-1-0")));
    };
    REQUIRE(isFaster());

    SECTION("to a successor")
    {
        fleet.startLeader();
        CHECK(isFaster());
        CHECK(fleet.scheduler_->counts().speedSamples_ == 0);
    }

    SECTION("and a restart of the worker, which keeps its machine")
    {
        fleet.restartWorker(WorkerId("w-r2-1-0"));
        fleet.advance(3s);
        CHECK(isFaster());
    }

    SECTION("to a successor that finds a truncated record and starts without, with all its jobs")
    {
        fleet.submit(makeSubmission(FirstJob.value(), "batch", 4, SmallTask));
        fleet.advance(500ms);
        fleet.storeProgress(WorkerSpeeds::RecordKey, R"({"format":"worker-speeds-1","wor)");
        fleet.startLeader();
        CHECK_FALSE(isFaster());
        fleet.advance(10s);
        CHECK(fleet.starts_[FirstJob].size() == 4);
        CHECK(fleet.phaseOf(FirstJob) == JobPhase::Completed);
    }
    CHECK(fleet.violations_.empty());
}

TEST_CASE("speed ranks workers of equal health for a request", "[dispatch][speeds]")
{
    // Load pattern: urgent and large gangs and bulk compete for workers of different speed.
    auto submission = makeSubmission(FirstJob.value(), "batch", 4, SmallTask);
    auto &step = submission.plan_.steps_[0];
    const auto ranks = [&step](int priority, std::uint32_t count, const std::vector<SpeedChoice> &choices) {
        PlacementRequest request;
        request.step_ = &step;
        request.count_ = count;
        request.priority_ = priority;
        return rankBySpeed(request, choices);
    };
    const std::vector<SpeedChoice> oneOfEach{{SpeedClass::VeryFast, false, 1, 0}, {SpeedClass::Ordinary, false, 1, 0}, {SpeedClass::Slow, false, 1, 0}};

    SECTION("where independent tasks are ranked by priority")
    {
        CHECK(ranks(0, 1, oneOfEach) == std::vector{0, 2, 3});
        CHECK(ranks(1, 1, oneOfEach) == std::vector{0, 0, 0});
        CHECK(ranks(2, 1, oneOfEach) == std::vector{4, 2, 1});
    }

    SECTION("where a gang takes the slowest workers that it needs first, and slower ones last")
    {
        step.gang_ = true;
        CHECK(ranks(1, 2, oneOfEach) == std::vector{2, 0, 3});
        CHECK(ranks(0, 1, oneOfEach) == std::vector{0, 2, 3});
    }

    SECTION("where a gang that healthy workers cannot hold leaves the fast ones among the others")
    {
        step.gang_ = true;
        // The healthy slow worker is taken in any case, so the gang is slow.
        const std::vector<SpeedChoice> choices{{SpeedClass::Slow, false, 1, 0}, {SpeedClass::VeryFast, false, 1, 1}, {SpeedClass::Slow, false, 1, 1}};
        CHECK(ranks(0, 2, choices) == std::vector{0, 3, 0});
    }

    SECTION("where bulk uses workers that miss its objective last")
    {
        const std::vector<SpeedChoice> choices{{SpeedClass::VeryFast, false, 1, 0}, {SpeedClass::VerySlow, true, 1, 0}};
        const auto found = ranks(2, 1, choices);
        CHECK(found.front() < found.back());
    }
}

TEST_CASE("a learned speed does not make the detection of stalls stricter", "[dispatch][speeds]")
{
    // Guards against runs on fast workers that are stopped although their progress pauses for less than 5 % of the caller's estimate.
    SimulatedFleet fleet;
    fleet.options_.preferFastWorkers_ = true;
    fleet.storeProgress(WorkerSpeeds::RecordKey, recordOf({{"w-r1-1-0", 0.4}}));
    addTwoRacks(fleet);
    fleet.advance(1s);
    fleet.work_ = [](const TaskRef &) {
        return 40s;
    };
    auto job = makeSubmission(FirstJob.value(), "urgent", 1, SmallTask);
    job.plan_.steps_[0].estimate_ = 40s;
    fleet.submit(job);
    fleet.advance(10s);
    auto &worker = fleet.worker(WorkerId("w-r1-1-0"));
    REQUIRE(worker.runs_.size() == 1);
    for (auto pause = 0; pause < 4; ++pause) {
        worker.hangs_ = true;
        fleet.advance(1'400ms);
        worker.hangs_ = false;
        fleet.advance(2s);
    }
    CHECK(fleet.scheduler_->counts().stalls_ == 0);
    CHECK(worker.runs_.size() == 1);
}

TEST_CASE("speed decides among equally healthy workers only, and excludes none", "[dispatch][speeds]")
{
    const auto now = BootTime(100s);
    WorkerSessionMap sessions;
    const auto add = [&](const std::string &id, const std::string &rack, std::int64_t used, BootTime lastHealthyAt) {
        auto &session = sessions[WorkerId(id)];
        session = std::make_unique<WorkerSession>();
        session->entry_.id_ = WorkerId(id);
        session->entry_.pool_ = "pool";
        session->entry_.rack_ = RackId(rack);
        session->entry_.capacity_ = {128'000, 524'288, 8};
        session->used_ = {0, 0, used};
        session->lastHealthyAt_ = lastHealthyAt;
    };
    auto submission = asGang(makeSubmission(FirstJob.value(), "urgent", 2, SmallTask));
    PlacementRequest request{&submission.plan_.steps_[0], "pool", 2, 0, false, {}, {}, {}};
    WorkerSpeeds speeds;
    REQUIRE(isOk(speeds.restore(recordOf({{"a1", 0.5}, {"a2", 0.5}, {"c1", 0.95}}))));

    SECTION("where a gang goes to the healthy rack, although the other one is fast")
    {
        for (const auto *id : {"a1", "a2"}) {
            add(id, "rack-a", 7, now - 60s);
        }
        for (const auto *id : {"b1", "b2"}) {
            add(id, "rack-b", 7, now - 1s);
        }
        const auto choice = WorkerSelector(sessions, {}, {}, 5s, now, &speeds).findPlacement(request, true);
        REQUIRE(choice);
        CHECK(choice->workers_.front()->entry_.rack_ == RackId("rack-b"));
    }

    SECTION("and to the fast one, although it is emptier, if both are healthy")
    {
        add("a1", "rack-a", 0, now);
        add("b1", "rack-b", 6, now);
        const auto choice = WorkerSelector(sessions, {}, {}, 5s, now, &speeds).findPlacement(request, true);
        REQUIRE(choice);
        CHECK(choice->workers_.front()->entry_.rack_ == RackId("rack-a"));
    }

    SECTION("where the fullest worker is taken of those that differ by a few percent")
    {
        add("c1", "rack-a", 0, now);
        add("c2", "rack-a", 4, now);
        const auto choice = WorkerSelector(sessions, {}, {}, 5s, now, &speeds).findPlacement(request, true);
        REQUIRE(choice);
        CHECK(choice->workers_.front()->entry_.id_ == WorkerId("c2"));
    }

    SECTION("where a request that fits without speeds fits with them, and without samples is placed alike")
    {
        // Guards against a preference that leaves work waiting beside free workers.
        std::mt19937 random(5);
        const auto draw = [&random](int from, int to) {
            return std::uniform_int_distribution<int>(from, to)(random);
        };
        const WorkerSpeeds without;
        for (auto round = 0; round < 500; ++round) {
            sessions.clear();
            std::vector<std::pair<std::string, double>> durations;
            for (auto worker = 0; worker < 12; ++worker) {
                const auto id = "w" + std::to_string(worker);
                add(id, "rack-" + std::to_string(worker / 4), draw(0, 8), now - draw(0, 8) * 1s);
                durations.emplace_back(id, draw(5, 14) / 10.0);
            }
            WorkerSpeeds drawn;
            REQUIRE(isOk(drawn.restore(recordOf(durations))));
            auto &step = submission.plan_.steps_[0];
            step.gang_ = draw(0, 1) == 1;
            step.task_.accelerators_ = draw(1, 8);
            request.count_ = static_cast<std::uint32_t>(draw(1, 10));
            request.priority_ = draw(0, 2);
            const auto local = draw(0, 1) == 1;
            const auto plain = WorkerSelector(sessions, {}, {}, 5s, now).findPlacement(request, local);
            const auto bySpeed = WorkerSelector(sessions, {}, {}, 5s, now, &drawn).findPlacement(request, local);
            const auto noSamples = WorkerSelector(sessions, {}, {}, 5s, now, &without).findPlacement(request, local);
            REQUIRE(plain.has_value() == bySpeed.has_value());
            REQUIRE(plain.has_value() == noSamples.has_value());
            if (plain) {
                CHECK(plain->workers_.size() == bySpeed->workers_.size());
                CHECK(plain->workers_ == noSamples->workers_);
            }
        }
    }
}
