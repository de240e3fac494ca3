#include "marjoramfold/dispatch/speedpreference.h"
#include "tests/support/simulatedfleet.h"

#include <catch2/catch.hpp>

#include <cmath>
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
