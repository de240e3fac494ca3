#include "tests/soak/soakrun.h"

#include <catch2/catch.hpp>

#include <cstdlib>
#include <filesystem>
#include <fstream>

using namespace Marjoramfold::Soak;

namespace
{
auto optionsFor(std::uint64_t seed) -> SoakOptions
{
    SoakOptions options;
    options.seed_ = seed;
    options.program_ = MARJORAMFOLD_INSTANCE;
    options.folder_ = (std::filesystem::temp_directory_path() / ("marjoramfold-soak-" + std::to_string(seed) + "-" + std::to_string(getpid()))).string();
    return options;
}

/// Lines of all instances' logs that hold a text.
auto linesWith(const std::string &folder, const std::string &text) -> std::vector<std::string>
{
    std::vector<std::string> lines;
    for (const auto &file : std::filesystem::directory_iterator(folder)) {
        std::ifstream log(file.path());
        for (std::string line; file.path().extension() == ".log" && std::getline(log, line);) {
            if (line.find(text) != std::string::npos) {
                lines.push_back(line);
            }
        }
    }
    return lines;
}

/// Follows a job through the logs by the steps of docs/OPERATIONS.md.
auto checkTrail(const std::string &folder, const std::string &id) -> void
{
    INFO("job " << id);
    std::string trail;
    for (const auto &line : linesWith(folder, "job_id=" + id)) {
        trail += line + "\n";
    }
    for (const auto *event : {"call=submit", "step_placed", "run_ordered", "run_began", "run_ended", "phase=2"}) {
        INFO("event " << event);
        CHECK(trail.find(event) != std::string::npos);
    }
}

auto runSeed(SoakOptions options) -> void
{
    INFO("seed " << options.seed_ << ", logs in " << options.folder_);
    const auto broken = SoakRun(options).run();
    CHECK(broken == std::vector<std::string>{});
    if (options.killLeaderOnly_) {
        // Every job that was completed can be explained from the logs alone, also across the change of leader.
        const auto completed = linesWith(options.folder_, "job_phase");
        std::size_t followed = 0;
        for (const auto &line : completed) {
            if (const auto at = line.find("job_id="); line.find("phase=2") != std::string::npos) {
                checkTrail(options.folder_, line.substr(at + 7, 16));
                ++followed;
            }
        }
        CHECK(followed > 10);
        CHECK(linesWith(options.folder_, "leadership_gained").size() == 2);
    }
    if (broken.empty()) {
        std::filesystem::remove_all(options.folder_);
    }
}
} // namespace

TEST_CASE("a killed leader is succeeded, and every accepted job is done", "[path]")
{
    // Guards the whole path: submission, election, orders, ends, and the state that callers are shown.
    auto options = optionsFor(7);
    options.killLeaderOnly_ = true;
    options.faultTime_ = std::chrono::seconds(8);
    runSeed(options);
}

TEST_CASE("random faults break no promise", "[soak]")
{
    runSeed(optionsFor(1));
}

TEST_CASE("one seed by hand", "[.][by-hand]")
{
    const auto *seed = std::getenv("SOAK_SEED");
    REQUIRE(seed != nullptr);
    runSeed(optionsFor(std::stoull(seed)));
}

TEST_CASE("the checker sees each kind of broken promise", "[checker]")
{
    Promises promises;
    SoakJob job;
    job.id_ = "00000000000000aa";
    job.tasks_ = 1;
    promises.addJob(job);
    const auto task = job.id_ + ".0.0.0";

    SECTION("a refused job starts")
    {
        promises.submitted(job.id_, 503);
        promises.began("w0", task, 1);
    }
    SECTION("a task runs twice")
    {
        promises.submitted(job.id_, 200);
        promises.began("w0", task, 1);
        promises.began("w1", task, 2);
    }
    SECTION("a task starts after its end was noted")
    {
        promises.submitted(job.id_, 200);
        promises.began("w0", task, 1);
        promises.ended("w0", task, 1, "done");
        promises.acknowledged("w0", task, "done");
        promises.began("w1", task, 2);
    }
    SECTION("a worker is overfilled")
    {
        promises.submitted(job.id_, 200);
        for (int i = 0; i < 9; ++i) {
            promises.began("w0", job.id_ + ".0.0." + std::to_string(i), 1);
        }
    }
    SECTION("a job is shown as completed too early")
    {
        promises.submitted(job.id_, 200);
        promises.asked(job.id_, 200, "completed");
    }
    SECTION("a job is shown as failed without a cause")
    {
        promises.submitted(job.id_, 200);
        promises.asked(job.id_, 200, "failed");
    }
    CHECK(promises.broken().size() == 1);
}
