#include "tests/soak/runfolder.h"
#include "tests/soak/soakrun.h"

#include <catch2/catch.hpp>

#include <cstdlib>
#include <filesystem>
#include <map>

using namespace Marjoramfold::Soak;

namespace
{
/// Checks that the logs contain every step of a job, found as described in docs/OPERATIONS.md.
auto checkJobLog(const std::string &folder, const std::string &id) -> void
{
    INFO("job " << id);
    std::string jobLines;
    for (const auto &line : linesWith(folder, "job_id=" + id)) {
        jobLines += line + "\n";
    }
    for (const auto *event : {"call=submit", "step_placed", "run_ordered", "run_began", "run_ended", "phase=2"}) {
        INFO("event " << event);
        CHECK(jobLines.find(event) != std::string::npos);
    }
}

auto runSeed(SoakOptions options) -> void
{
    INFO("seed " << options.seed_ << ", logs in " << options.folder_);
    const auto violations = SoakRun(options).run();
    CHECK(violations == std::vector<std::string>{});
    if (options.faults_ == FaultMix::LeaderKilled) {
        // The logs alone must show every step of each completed job, also across the change of leader.
        const auto completed = linesWith(options.folder_, "job_phase");
        std::size_t checkedJobs = 0;
        for (const auto &line : completed) {
            if (const auto at = line.find("job_id="); line.find("phase=2") != std::string::npos) {
                checkJobLog(options.folder_, line.substr(at + 7, 16));
                ++checkedJobs;
            }
        }
        CHECK(checkedJobs > 10);
        CHECK(linesWith(options.folder_, "leadership_gained").size() == 2);
    }
    if (violations.empty()) {
        std::filesystem::remove_all(options.folder_);
    }
}
} // namespace

TEST_CASE("a new leader replaces a killed one, and every accepted job completes", "[path]")
{
    // Guards the whole path: submission, election, commands to workers, ends of runs, and the state that callers see.
    auto options = optionsFor(7);
    options.faults_ = FaultMix::LeaderKilled;
    options.faultTime_ = std::chrono::seconds(8);
    runSeed(options);
}

TEST_CASE("random faults cause no violation", "[soak]")
{
    runSeed(optionsFor(1));
}

TEST_CASE("a worker that restarts unnoticed runs no task twice and keeps to its capacity", "[soak]")
{
    // Guards against a run that is booked on the incarnation before a restart and declared lost while the next one runs it.
    auto options = optionsFor(101);
    options.faults_ = FaultMix::WorkerRestarts;
    runSeed(options);
}

TEST_CASE("faults of workers cause no violation when they accept longer leases than requested", "[soak]")
{
    auto options = optionsFor(2);
    options.faults_ = FaultMix::WorkerFaults;
    options.maxLease_ = std::chrono::seconds(10);
    runSeed(options);
}

TEST_CASE("real instances run tasks without demand beside other work under faults", "[soak]")
{
    // Guards against a stored job that ends each leader in its first pass over it.
    auto options = optionsFor(52);
    options.jobsWithoutDemand_ = true;
    runSeed(options);
}

TEST_CASE("one seed by hand", "[.][by-hand]")
{
    const auto *seed = std::getenv("SOAK_SEED");
    REQUIRE(seed != nullptr);
    auto options = optionsFor(std::stoull(seed));
    const auto setting = [](const char *name, const std::string &fallback) {
        const auto *value = std::getenv(name);
        return value == nullptr ? fallback : std::string(value);
    };
    options.program_ = setting("SOAK_PROGRAM", options.program_);
    const std::map<std::string, FaultMix> mixes{
        {"all", FaultMix::All}, {"worker-restarts", FaultMix::WorkerRestarts}, {"worker-faults", FaultMix::WorkerFaults}};
    options.faults_ = mixes.at(setting("SOAK_FAULTS", "all"));
    options.instances_ = static_cast<unsigned>(std::stoul(setting("SOAK_INSTANCES", std::to_string(options.instances_))));
    options.workers_ = static_cast<unsigned>(std::stoul(setting("SOAK_WORKERS", std::to_string(options.workers_))));
    options.callers_ = static_cast<unsigned>(std::stoul(setting("SOAK_CALLERS", std::to_string(options.callers_))));
    options.maxLease_ = std::chrono::milliseconds(std::stoul(setting("SOAK_LEASE_MS", std::to_string(options.maxLease_.count()))));
    options.unnoticedKindChanges_ = setting("SOAK_UNNOTICED_KIND_CHANGES", "0") == "1";
    options.lateAcrossRestarts_ = setting("SOAK_LATE_ACROSS_RESTARTS", "0") == "1";
    options.jobsWithoutDemand_ = setting("SOAK_WITHOUT_DEMAND", "0") == "1";
    runSeed(options);
}

TEST_CASE("the checker reports each kind of violation", "[checker]")
{
    InvariantChecker checker;
    SoakJob job;
    job.id_ = "00000000000000aa";
    job.tasks_ = 1;
    checker.addJob(job);
    checker.onWorkerBooted("w0", 8);
    checker.onWorkerBooted("w1", 8);
    const auto task = job.id_ + ".0.0.0";

    SECTION("a refused job starts")
    {
        checker.onSubmitAnswer(job.id_, 503);
        checker.onRunStarted("w0", task, 1, false);
    }
    SECTION("a task runs twice")
    {
        checker.onSubmitAnswer(job.id_, 200);
        checker.onRunStarted("w0", task, 1, false);
        checker.onRunStarted("w1", task, 2, false);
    }
    SECTION("a task starts after its end was acknowledged")
    {
        checker.onSubmitAnswer(job.id_, 200);
        checker.onRunStarted("w0", task, 1, false);
        checker.onRunEnded("w0", task, 1, "done");
        checker.onEndAcknowledged("w0", {1, task, 1, "done", false});
        checker.onRunStarted("w1", task, 2, false);
    }
    SECTION("a task starts between its end and the acknowledgement of that end")
    {
        checker.onSubmitAnswer(job.id_, 200);
        checker.onRunStarted("w0", task, 1, false);
        checker.onRunEnded("w0", task, 1, "done");
        checker.onRunStarted("w1", task, 2, false);
        checker.onEndAcknowledged("w0", {1, task, 1, "done", false});
    }
    SECTION("a task runs twice on one worker")
    {
        checker.onSubmitAnswer(job.id_, 200);
        checker.onRunStarted("w0", task, 1, false);
        checker.onRunStarted("w0", task, 2, false);
    }
    SECTION("a worker that was restarted with less capacity runs more tasks than that")
    {
        checker.onSubmitAnswer(job.id_, 200);
        checker.onWorkerBooted("w0", 1);
        checker.onRunStarted("w0", task, 1, false);
        checker.onRunStarted("w0", job.id_ + ".0.0.1", 1, false);
    }
    SECTION("a worker runs more tasks than its capacity")
    {
        checker.onSubmitAnswer(job.id_, 200);
        for (int i = 0; i < 9; ++i) {
            checker.onRunStarted("w0", job.id_ + ".0.0." + std::to_string(i), 1, false);
        }
    }
    SECTION("a job is reported as completed too early")
    {
        checker.onSubmitAnswer(job.id_, 200);
        checker.onStateAnswer(job.id_, 200, "completed");
    }
    SECTION("a job is reported as failed without a cause")
    {
        checker.onSubmitAnswer(job.id_, 200);
        checker.onStateAnswer(job.id_, 200, "failed");
    }
    CHECK(checker.violations().size() == 1);
}
