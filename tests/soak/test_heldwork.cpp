#include "tests/soak/runfolder.h"
#include "tests/soak/soakrun.h"

#include <catch2/catch.hpp>

#include <cstdint>
#include <filesystem>
#include <map>
#include <string>
#include <vector>

using namespace Marjoramfold::Soak;
using namespace std::chrono_literals;

// Accepted work that preferences of the scheduler keep from workers that could take it.

namespace
{
constexpr unsigned Racks = 4;
constexpr unsigned WorkersPerRack = 4;
constexpr int AcceleratorsPerWorker = 8;
const std::string GangId = "00000000000000a1";

/// Longest time for which a job may have nothing running while there is room for it twice over and the service is under half used.
constexpr std::chrono::milliseconds MaxTimeWithoutRun{3000};
/// Time without a leader after a kill: 0.9 s of silence, the claim and the load (docs/platform.md).
constexpr std::chrono::milliseconds TimeWithoutLeader{1100};
/// Time for which a killed instance stays away; another one becomes leader before.
constexpr std::chrono::milliseconds RestartDelay{3000};
/// Time to start the processes, or to complete a call or a run, also beside load.
constexpr std::chrono::milliseconds SetupTime{15'000};

/// Work that occupies one worker of a rack for the whole test.
auto longRunIn(unsigned rack) -> SoakJob
{
    SoakJob job;
    job.id_ = "00000000000000b" + std::to_string(rack);
    job.accelerators_ = AcceleratorsPerWorker;
    job.dataRack_ = SoakRun::rackName(rack);
    job.work_ = 120s;
    return job;
}

/// Gang that fills a rack and is expected to run for a long time.
auto gangAsWideAsARack() -> SoakJob
{
    SoakJob job;
    job.id_ = GangId;
    job.tasks_ = WorkersPerRack;
    job.gang_ = true;
    job.accelerators_ = AcceleratorsPerWorker;
    job.work_ = 1s;
    job.estimate_ = 33s;
    return job;
}

/// True when all instances accept calls and one of them leads.
auto areReady(const SoakOptions &options) -> bool
{
    return linesWith(options.folder_, "instance_ready").size() == options.instances_ && !linesWith(options.folder_, "leadership_begun").empty();
}

/// Number of busy workers in each rack when one of each is busy.
auto oneInEachRack() -> std::map<std::string, std::size_t>
{
    std::map<std::string, std::size_t> busy;
    for (unsigned rack = 0; rack < Racks; ++rack) {
        busy[SoakRun::rackName(rack)] = 1;
    }
    return busy;
}
} // namespace

TEST_CASE("real instances start a gang beside free workers although no rack has room for it", "[path]")
{
    // Guards against an accepted gang that has nothing running for as long as its estimate, while most of the service is idle.
    // Each section has logs of its own.
    static std::uint64_t seed = 33;
    auto options = optionsFor(seed++);
    options.workers_ = Racks * WorkersPerRack;
    options.racks_ = Racks;
    options.restartDelay_ = RestartDelay;
    INFO("logs in " << options.folder_);
    SoakRun run(options);
    run.start();
    const auto ready = [&options] {
        return areReady(options);
    };
    REQUIRE(run.runUntil(ready, SetupTime));

    // One worker of each rack is busy; three times the room of the gang is idle.
    for (unsigned rack = 0; rack < Racks; ++rack) {
        run.submitJob(longRunIn(rack));
    }
    const auto occupied = [&run] {
        return run.busyWorkersByRack() == oneInEachRack();
    };
    REQUIRE(run.runUntil(occupied, SetupTime));

    run.submitJob(gangAsWideAsARack());
    const auto &gang = run.job(GangId);
    const auto accepted = [&gang] {
        return gang.accepted_;
    };
    REQUIRE(run.runUntil(accepted, SetupTime));
    const auto started = [&gang] {
        return gang.startedAt_.has_value();
    };
    auto limit = MaxTimeWithoutRun;
    std::size_t leaders = 1;

    SECTION("under one leader") {}

    SECTION("when its leader is killed while it waits")
    {
        REQUIRE_FALSE(run.runUntil(started, 800ms));
        run.killLeader();
        limit += TimeWithoutLeader;
        leaders = 2;
    }

    run.runUntil(started, 2 * limit);
    const auto waited = std::chrono::duration_cast<std::chrono::milliseconds>(gang.startedAt_.value_or(Clock::now()) - gang.acceptedAt_);
    INFO("logs in " << options.folder_);
    INFO("the gang waited " << waited.count() << " ms" << (started() ? "" : " and has not started"));
    REQUIRE(waited < limit);
    REQUIRE(started());

    run.queryState();
    const auto completed = [&gang] {
        return gang.state_ == "completed";
    };
    REQUIRE(run.runUntil(completed, SetupTime));
    REQUIRE(run.violations() == std::vector<std::string>{});
    const auto placements = linesWith(options.folder_, "step_placed job_id=" + GangId);
    REQUIRE(placements.size() == 1);
    REQUIRE(placements[0].find("gave_up=locality") != std::string::npos);
    REQUIRE(linesWith(options.folder_, "leadership_gained").size() == leaders);
    std::filesystem::remove_all(options.folder_);
}
