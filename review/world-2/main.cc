#include "world.hh"

#include <csignal>
#include <cstdlib>
#include <iostream>
#include <set>

// Scenarios of the review. Usage: review-world SCENARIO FOLDER RECORD. The exit status is 1 if the rule was broken, 0 if it held, 2 if the case could
// not run. With TROUBLE=0 in the environment the scenario runs without its disruption.

namespace
{
using namespace Review;

constexpr int Held = 0;
constexpr int Broken = 1;
constexpr int CouldNotRun = 2;

/// Time after which a configuration is in force (apply_ms), with a margin.
constexpr milliseconds ConfigInForce{3000};

auto hasTrouble() -> bool
{
    const auto *value = std::getenv("TROUBLE");
    return value == nullptr || std::string(value) != "0";
}

auto verdict(World &world, bool broken, const std::string &why) -> int
{
    world.note((broken ? "BROKEN: " : "held: ") + why);
    return broken ? Broken : Held;
}

/// A task fails for the last time that its queue allows while the queue is missing from the configuration; the queue comes back.
auto attemptsOverRemovedRoute(World &world) -> int
{
    constexpr std::size_t MaxAttempts = 3;
    const std::string id = "00000000000000a1";
    const auto prints = route("prints", 2, MaxAttempts);
    const auto other = route("other", 2, MaxAttempts);
    world.work_ = [](const std::string &) {
        return milliseconds(60'000);
    };
    world.publish(config(3, {prints, other}));
    if (!world.startInstances()) {
        return CouldNotRun;
    }
    const nlohmann::json step{{"count", 1}, {"cpu", 1000}, {"mem_mb", 1000}, {"gpu", 1}, {"estimate_ms", 60'000}};
    if (world.call(0, "POST", "/prints/" + id, nlohmann::json{{"spec", "print run"}, {"steps", {step}}}.dump()).status_ != 200) {
        return CouldNotRun;
    }
    for (std::size_t attempt = 1; attempt <= MaxAttempts; ++attempt) {
        if (!world.waitUntil(
                [&world, attempt] {
                    return world.starts_.size() == attempt;
                },
                milliseconds(10'000))) {
            return CouldNotRun;
        }
        world.wait(milliseconds(500));
        if (attempt == MaxAttempts) {
            if (hasTrouble()) {
                world.publish(config(5, {other}));
            }
            world.wait(ConfigInForce);
        }
        world.failRuns(true);
        const auto noted = world.waitUntil(
            [&world, attempt] {
                return world.ends_.size() == attempt && world.ends_.back().acknowledged_;
            },
            milliseconds(8000));
        world.failRuns(false);
        if (!noted || world.ends_.back().outcome_ != "failed") {
            return CouldNotRun;
        }
    }
    world.wait(ConfigInForce);
    if (hasTrouble()) {
        world.publish(config(8, {prints, other}));
    }
    world.wait(milliseconds(12'000));
    world.call(1, "GET", "/prints/" + id);
    return verdict(world,
                   world.starts_.size() > MaxAttempts,
                   "max_attempts is 3, and 3 ends failed were taken note of; starts of the task in all: " + std::to_string(world.starts_.size()));
}

/// A job with two steps was accepted; its queue is removed from the configuration while the first step runs.
auto jobOfRemovedRoute(World &world) -> int
{
    const std::string id = "00000000000000b1";
    const auto renders = route("renders", 2, 3);
    const auto other = route("other", 2, 3);
    world.work_ = [](const std::string &) {
        return milliseconds(4000);
    };
    world.publish(config(3, {renders, other}));
    if (!world.startInstances()) {
        return CouldNotRun;
    }
    const nlohmann::json step{{"count", 1}, {"cpu", 1000}, {"mem_mb", 1000}, {"gpu", 1}, {"estimate_ms", 4000}};
    auto second = step;
    second["depends_on"] = {0};
    const nlohmann::json job{{"spec", "render"}, {"steps", {step, second}}};
    if (world.call(0, "POST", "/renders/" + id, job.dump()).status_ != 200) {
        return CouldNotRun;
    }
    if (!world.waitUntil(
            [&world] {
                return !world.starts_.empty();
            },
            milliseconds(8000))) {
        return CouldNotRun;
    }
    world.wait(milliseconds(1000));
    if (hasTrouble()) {
        world.publish(config(5, {other}));
    }
    if (!world.waitUntil(
            [&world] {
                return !world.ends_.empty() && world.ends_.front().acknowledged_;
            },
            milliseconds(12'000))) {
        return CouldNotRun;
    }
    // The second step's turn has come. The executors are idle, and a job of the other queue shows that they get work.
    constexpr milliseconds Calm{4000};
    constexpr milliseconds Bound{3000};
    const auto started = [&world] {
        return world.starts_.size() >= 2;
    };
    const auto inTime = world.waitUntil(started, Calm + Bound + milliseconds(13'000));
    const auto startsBefore = world.starts_.size();
    world.call(2, "POST", "/other/00000000000000b2", nlohmann::json{{"spec", "x"}, {"steps", {step}}}.dump());
    const auto otherStarts = world.waitUntil(
        [&world, startsBefore] {
            return world.starts_.size() > startsBefore;
        },
        milliseconds(5000));
    world.call(1, "GET", "/renders/" + id);
    if (!otherStarts) {
        return CouldNotRun;
    }
    if (hasTrouble()) {
        // A route of another name at the same path: callers see the job again, and it still does not go on.
        auto renamed = route("renders-new", 2, 3);
        renamed["path_prefix"] = "/renders/";
        world.publish(config(8, {other, renamed}));
        world.wait(milliseconds(8000));
        world.call(1, "GET", "/renders/" + id);
    }
    return verdict(
        world, !inTime, "the second step " + std::string(inTime ? "started" : "did not start within 20 s of the first step's end, with all executors idle"));
}
/// A tenant has urgent gangs beyond its guarantee on all executors; another one hands in an urgent gang within its own.
auto guaranteeAgainstGangs(World &world) -> int
{
    constexpr std::size_t GangSize = 8;
    const auto desk = route("desk", 0, 3);
    world.work_ = [](const std::string &) {
        return milliseconds(90'000);
    };
    world.gangSize_ = [](const std::string &) {
        return GangSize;
    };
    world.publish(config(3, {desk}, {{"a", 24}, {"b", 16}}));
    if (!world.startInstances()) {
        return CouldNotRun;
    }
    const nlohmann::json member{
        {"count", GangSize}, {"cpu", 4000}, {"mem_mb", 1000}, {"gpu", 1}, {"estimate_ms", 90'000}, {"gang", true}, {"checkpointing", true}};
    const auto gang = nlohmann::json{{"spec", "x"}, {"steps", {member}}}.dump();
    // With the disruption, twice as many gangs come.
    const std::size_t gangs = hasTrouble() ? 6 : 3;
    world.useKey("a-key");
    for (std::size_t i = 1; i <= gangs; ++i) {
        if (world.call(i % 4, "POST", "/desk/000000000000000" + std::to_string(i), gang).status_ != 200) {
            return CouldNotRun;
        }
    }
    if (!world.waitUntil(
            [&world, gangs] {
                return world.running() == gangs * GangSize;
            },
            milliseconds(10'000))) {
        return CouldNotRun;
    }
    world.wait(milliseconds(6000));
    world.useKey("b-key");
    const std::string id = "00000000000000b9";
    const auto startsBefore = world.starts_.size();
    if (world.call(1, "POST", "/desk/" + id, gang).status_ != 200) {
        return CouldNotRun;
    }
    const auto confirmedAt = world.elapsed();
    const auto began = [&world, &id, startsBefore] {
        std::set<std::string> tasks;
        for (std::size_t i = startsBefore; i < world.starts_.size(); ++i) {
            if (world.starts_[i].task_.starts_with(id)) {
                tasks.insert(world.starts_[i].task_);
            }
        }
        return tasks.size();
    };
    const auto all = world.waitUntil(
        [&began] {
            return began() == GangSize;
        },
        milliseconds(45'000));
    constexpr milliseconds ReclaimBound{2700};
    const auto took = world.elapsed() - confirmedAt;
    return verdict(world,
                   !all || took > ReclaimBound,
                   "tenant b uses nothing of its guaranteed 16 gpu; " + std::to_string(began()) + " of 8 tasks of its urgent gang had begun after "
                       + std::to_string(took.count()) + " ms; the bound is 2700 ms");
}

/// A gang of low priority fills all executors. The leader is restarted while the gang's queue is missing from the configuration; the queue comes
/// back. Later a job within the team's guarantee is handed in.
auto guaranteeAfterRemovedRoute(World &world) -> int
{
    const std::string gang = "00000000000000e1";
    const std::string urgent = "00000000000000e2";
    const auto batch = route("batch", 2, 3);
    const auto desk = route("desk", 0, 3);
    world.work_ = [&gang](const std::string &task) {
        return task.starts_with(gang) ? milliseconds(300'000) : milliseconds(2000);
    };
    world.gangSize_ = [&gang](const std::string &task) {
        return task.starts_with(gang) ? std::size_t(6) : std::size_t(1);
    };
    world.publish(config(3, {batch, desk}));
    if (!world.startInstances()) {
        return CouldNotRun;
    }
    const nlohmann::json member{{"count", 6}, {"cpu", 16'000}, {"mem_mb", 1000}, {"gpu", 8}, {"estimate_ms", 300'000}, {"gang", true}};
    if (world.call(0, "POST", "/batch/" + gang, nlohmann::json{{"spec", "x"}, {"steps", {member}}}.dump()).status_ != 200) {
        return CouldNotRun;
    }
    if (!world.waitUntil(
            [&world] {
                return world.running() == 6;
            },
            milliseconds(8000))) {
        return CouldNotRun;
    }
    world.wait(milliseconds(1000));
    if (hasTrouble()) {
        world.publish(config(5, {desk}));
    }
    world.wait(ConfigInForce);
    if (hasTrouble()) {
        const auto leader = world.leader();
        world.signal(leader, SIGTERM);
        world.restart(leader);
    }
    world.wait(ConfigInForce);
    if (hasTrouble()) {
        world.publish(config(8, {batch, desk}));
    }
    // Nothing is disturbed any more when the urgent job comes.
    world.wait(milliseconds(10'000));
    if (world.running() != 6) {
        return CouldNotRun;
    }
    const nlohmann::json step{{"count", 1}, {"cpu", 16'000}, {"mem_mb", 1000}, {"gpu", 8}, {"estimate_ms", 2000}};
    if (world.call(1, "POST", "/desk/" + urgent, nlohmann::json{{"spec", "x"}, {"steps", {step}}}.dump()).status_ != 200) {
        return CouldNotRun;
    }
    const auto confirmedAt = world.elapsed();
    const auto began = world.waitUntil(
        [&world, &urgent] {
            return !world.starts_.empty() && world.starts_.back().task_.starts_with(urgent);
        },
        milliseconds(25'000));
    constexpr milliseconds ReclaimBound{2700};
    const auto took = world.elapsed() - confirmedAt;
    return verdict(world,
                   !began || took > ReclaimBound,
                   "the job of priority 0 within guaranteed " + std::string(began ? "began after " : "had not begun after ") + std::to_string(took.count())
                       + " ms; the bound is 2700 ms");
}

/// The leader's zone is lost for good while executors of that zone run a job.
auto zoneOfLeaderLost(World &world) -> int
{
    const std::string id = "00000000000000c1";
    const auto renders = route("renders", 2, 3);
    world.work_ = [](const std::string &) {
        return milliseconds(8000);
    };
    world.publish(config(3, {renders}));
    if (!world.startInstances()) {
        return CouldNotRun;
    }
    const auto zone = world.zoneOf(world.leader());
    const auto *const rack = zone == "zone-1" ? "r1-1" : "r2-1";
    world.note("the leader is in " + zone);
    const nlohmann::json step{{"count", 1}, {"cpu", 16'000}, {"mem_mb", 1000}, {"gpu", 4}, {"estimate_ms", 8000}, {"affinity", rack}};
    const auto caller = zone == "zone-1" ? 1 : 0;
    if (world.call(caller, "POST", "/renders/" + id, nlohmann::json{{"spec", "x"}, {"steps", {step}}}.dump()).status_ != 200) {
        return CouldNotRun;
    }
    const auto trafficEnd = world.elapsed();
    if (!world.waitUntil(
            [&world] {
                return world.running() == 1;
            },
            milliseconds(8000))) {
        return CouldNotRun;
    }
    world.wait(milliseconds(3000));
    if (hasTrouble()) {
        world.loseZone(zone);
    }
    // The job is asked for finish_s after the end of the traffic; from then on it must not be idle for 3 s.
    constexpr milliseconds Finish{14'000};
    constexpr milliseconds Idle{3000};
    world.wait(trafficEnd + Finish - world.elapsed());
    const auto state = world.call(caller, "GET", "/renders/" + id).state_;
    const auto busy = world.waitUntil(
        [&world] {
            return world.running() > 0;
        },
        Idle);
    const auto broken = state != "completed" && !busy;
    if (broken) {
        const auto restarted = world.waitUntil(
            [&world] {
                return world.running() > 0;
            },
            milliseconds(30'000));
        world.note(restarted ? "the task is started again" : "the task is not started again within another 30 s");
    }
    return verdict(world, broken, "finish_s after the end of the traffic the job is '" + state + "' and " + (busy ? "runs" : "has nothing running for 3 s"));
}

/// Odd entries under the ids of the executors are the newest ones when the first leader loads the list; the executors' own entries follow.
auto executorsAfterOddEntries(World &world) -> int
{
    constexpr std::size_t Executors = 6;
    const auto desk = route("desk", 2, 3);
    world.work_ = [](const std::string &) {
        return milliseconds(2000);
    };
    for (std::size_t i = 0; i < Executors; ++i) {
        world.addLabel(i, "only-w" + std::to_string(i));
    }
    world.publish(config(3, {desk}));
    world.wait(milliseconds(3000));
    if (hasTrouble()) {
        for (std::size_t i = 0; i < Executors; ++i) {
            world.writeOddEntry(i);
        }
    }
    if (!world.startInstances()) {
        return CouldNotRun;
    }
    // The executors' own entries have been the newest ones for 10 s when the jobs come.
    world.wait(milliseconds(11'500));
    for (std::size_t i = 0; i < Executors; ++i) {
        const auto number = std::to_string(i);
        const nlohmann::json step{{"count", 1}, {"cpu", 1000}, {"mem_mb", 1000}, {"gpu", 1}, {"estimate_ms", 2000}, {"requires", "only-w" + number}};
        if (world.call(0, "POST", "/desk/00000000000000f" + number, nlohmann::json{{"spec", "x"}, {"steps", {step}}}.dump()).status_ != 200) {
            return CouldNotRun;
        }
    }
    const auto all = world.waitUntil(
        [&world] {
            return world.starts_.size() == Executors;
        },
        milliseconds(25'000));
    for (std::size_t i = 0; i < Executors; ++i) {
        world.call(1, "GET", "/desk/00000000000000f" + std::to_string(i));
    }
    return verdict(world,
                   !all,
                   std::to_string(Executors - world.starts_.size())
                       + " of 6 jobs, each of which one executor can take, did not start within 25 s, though all executors are idle and up");
}
} // namespace

auto main(int argc, char **argv) -> int
{
    if (argc != 4) {
        std::cerr << "usage: review-world SCENARIO FOLDER RECORD\n";
        return CouldNotRun;
    }
    const std::string scenario = argv[1];
    World world(argv[2], argv[3], {});
    if (scenario == "attempts-over-removed-route") {
        return attemptsOverRemovedRoute(world);
    }
    if (scenario == "job-of-removed-route") {
        return jobOfRemovedRoute(world);
    }
    if (scenario == "zone-of-leader-lost") {
        return zoneOfLeaderLost(world);
    }
    if (scenario == "guarantee-against-gangs") {
        return guaranteeAgainstGangs(world);
    }
    if (scenario == "guarantee-after-removed-route") {
        return guaranteeAfterRemovedRoute(world);
    }
    if (scenario == "executors-after-odd-entries") {
        return executorsAfterOddEntries(world);
    }
    std::cerr << "review-world: unknown scenario " << scenario << "\n";
    return CouldNotRun;
}
