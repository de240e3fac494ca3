#include "review/world-3/cases.hh"

#include "review/world-3/world.hh"

#include <algorithm>

namespace Review
{
namespace
{
/// Time after the end of the traffic at which jobs are asked for, and for which a job may have nothing running.
constexpr Milliseconds FinishTime{14'000};
constexpr Milliseconds LongestGap{3000};
constexpr Milliseconds SampleInterval{20};

/// A job of filling tasks that need no memory and no accelerator, so that they take nothing of an executor's capacity.
auto playTasksWithoutDemand(const CaseOptions &options) -> int
{
    constexpr unsigned Tasks = 24;
    World world(options.folder_, options.program_, 4, 12);
    if (!world.start()) {
        return CouldNotRun;
    }
    const std::string id = "00000000000000a1";
    nlohmann::json step{{"count", Tasks}, {"cpu", 500}, {"estimate_ms", 2000}, {"fills", true}};
    if (!options.withTrouble_) {
        step["mem_mb"] = 256;
    }
    world.submit("/batch/", id, {{"spec", "fills"}, {"steps", {step}}}, 4, 0);
    if (!world.runUntil(
            [&world, &id] {
                return world.isAccepted(id);
            },
            10'000ms)) {
        return CouldNotRun;
    }
    world.note("job " + id + " accepted; end of the traffic");
    const auto end = world.now();
    auto lastRunAt = end;
    while (world.now() < end + FinishTime.count() + LongestGap.count()) {
        world.runFor(SampleInterval);
        const auto isDone = world.hasEnded(id + ".0.0." + std::to_string(Tasks - 1));
        lastRunAt = world.hasRun(id) || isDone ? world.now() : lastRunAt;
    }
    const auto state = world.askState("/batch/", id);
    unsigned machines = 0;
    for (const auto &instance : world.instances()) {
        world.note(instance.name_ + " ended by itself " + std::to_string(instance.ends_) + " times");
        machines += instance.ends_ >= 3 ? 1 : 0;
    }
    const auto gap = world.now() - lastRunAt;
    const auto isLost = gap >= LongestGap.count();
    world.note("state '" + state + "', nothing running for " + std::to_string(gap) + " ms at the end");
    world.note(std::string("LOST ") + (isLost ? "broken" : "held") + "; Fault " + (machines >= 2 ? "broken" : "held")
               + ", machines with three ends or more: " + std::to_string(machines));
    return isLost || machines >= 2 ? RuleBroken : RuleHeld;
}

/// One of twelve executors is unhealthy and refuses what it is told when a scheduled job is due.
auto playUnhealthyExecutor(const CaseOptions &options) -> int
{
    constexpr Milliseconds DueAfter{10'700};
    constexpr Milliseconds UnhealthyFrom{10'600};
    constexpr Milliseconds UnhealthyFor{6500};
    World world(options.folder_, options.program_, 4, 12);
    if (!world.start()) {
        return CouldNotRun;
    }
    const std::string id = "00000000000000a1";
    const auto task = id + ".0.0.0";
    const auto wallNow = std::chrono::duration_cast<Milliseconds>(std::chrono::system_clock::now().time_since_epoch());
    const nlohmann::json step{{"count", 1}, {"cpu", 11'000}, {"mem_mb", 46'000}, {"gpu", 1}, {"estimate_ms", 2000}};
    const nlohmann::json body{{"spec", "scheduled"}, {"steps", {step}}, {"times", 1}, {"start_ms", (wallNow + DueAfter).count()}, {"interval_ms", 1000}};
    world.submit("/batch/", id, body, 4, 0);
    if (!world.runUntil(
            [&world, &id] {
                return world.isAccepted(id);
            },
            5000ms)) {
        return CouldNotRun;
    }
    world.note("job " + id + " accepted; end of the traffic");
    const auto end = world.now();
    const auto due = end + DueAfter.count();
    auto &unhealthy = world.executors().front();
    if (options.withTrouble_) {
        world.after(UnhealthyFrom, [&world, &unhealthy] {
            world.note("unhealthy: " + unhealthy.id_);
            unhealthy.isUnhealthy_ = true;
        });
        world.after(UnhealthyFrom + UnhealthyFor, [&world, &unhealthy] {
            world.note("healthy again: " + unhealthy.id_);
            unhealthy.isUnhealthy_ = false;
        });
    }
    // The longest time up to the end of the check in which the task had its turn and nothing of the job ran.
    std::int64_t longest = 0;
    auto lastRunAt = due;
    while (world.now() < end + FinishTime.count() + LongestGap.count()) {
        world.runFor(SampleInterval);
        const auto waits = world.now() >= due && !world.hasEnded(task) && !world.hasRun(id);
        lastRunAt = waits ? lastRunAt : world.now();
        longest = std::max(longest, world.now() - lastRunAt);
    }
    world.note("starts refused by " + unhealthy.id_ + ": " + std::to_string(unhealthy.refusedStarts_));
    world.note("longest time with nothing running: " + std::to_string(longest) + " ms; state '" + world.askState("/batch/", id) + "'");
    return longest >= LongestGap.count() ? RuleBroken : RuleHeld;
}
/// Two tenants with 16 guaranteed accelerators each on four executors of eight. What is left of the other tenant's work takes half of each executor.
auto playDividedGuarantee(const CaseOptions &options) -> int
{
    constexpr Milliseconds ReclaimTime{2700};
    constexpr Milliseconds WatchTime{20'000};
    constexpr Milliseconds ShortWork{4000};
    constexpr Milliseconds LongWork{40'000};
    World world(options.folder_, options.program_, 4, 4);
    if (!world.start()) {
        return CouldNotRun;
    }
    const auto step = [](int accelerators, Milliseconds work) {
        return nlohmann::json{{"count", 1}, {"cpu", 15'000}, {"mem_mb", 61'000}, {"gpu", accelerators}, {"estimate_ms", work.count()}};
    };
    std::vector<std::string> longJobs;
    for (unsigned i = 0; i < 8; ++i) {
        const auto id = "00000000000000b" + std::to_string(i);
        const auto isLong = options.withTrouble_ ? i % 2 == 1 : i >= 4;
        const auto work = isLong ? LongWork : ShortWork;
        world.setWork(id + ".0.0.0", work);
        world.submitAs(OtherKey, "/urgent/", id, {{"spec", "other"}, {"steps", {step(4, work)}}}, 4, i);
        if (isLong) {
            longJobs.push_back(id);
        }
        world.runFor(200ms);
    }
    world.runFor(ShortWork + 2000ms);
    for (const auto &executor : world.executors()) {
        world.note(executor.id_ + " runs " + std::to_string(executor.worker_->running().size()) + " tasks of 4 accelerators");
    }
    const auto isReady = std::all_of(longJobs.begin(), longJobs.end(), [&world](const std::string &id) {
        return world.hasRun(id);
    });
    const std::string id = "00000000000000a1";
    world.submit("/urgent/", id, {{"spec", "guaranteed"}, {"steps", {step(8, 2000ms)}}}, 4, 0);
    if (!isReady
        || !world.runUntil(
            [&world, &id] {
                return world.isAccepted(id);
            },
            3000ms)) {
        return CouldNotRun;
    }
    const auto acceptedAt = world.now();
    const auto begins = world.runUntil(
        [&world, &id] {
            return !world.runsOf(id + ".0.0.0").empty();
        },
        WatchTime);
    const auto waited = world.now() - acceptedAt;
    world.note("job " + id + (begins ? " began " : " has not begun ") + std::to_string(waited) + " ms after its confirmation");
    return waited > ReclaimTime.count() ? RuleBroken : RuleHeld;
}
/// Urgent work of another tenant uses all cores of all executors, and no accelerator. A tenant hands in a job within its guarantee.
auto playCoresInUse(const CaseOptions &options) -> int
{
    constexpr Milliseconds ReclaimTime{2700};
    constexpr Milliseconds WatchTime{20'000};
    constexpr Milliseconds OtherWork{60'000};
    constexpr int AllCores = 128'000;
    constexpr int MostCores = 96'000;
    World world(options.folder_, options.program_, 4, 4);
    if (!world.start()) {
        return CouldNotRun;
    }
    const auto cores = options.withTrouble_ ? AllCores : MostCores;
    std::vector<std::string> others;
    for (unsigned i = 0; i < 4; ++i) {
        others.push_back("00000000000000b" + std::to_string(i));
        world.setWork(others.back() + ".0.0.0", OtherWork);
        const nlohmann::json step{{"count", 1}, {"cpu", cores}, {"mem_mb", 4000}, {"estimate_ms", OtherWork.count()}};
        world.submitAs(OtherKey, "/urgent/", others.back(), {{"spec", "other"}, {"steps", {step}}}, 4, i);
        world.runFor(200ms);
    }
    world.runFor(5000ms);
    const auto isReady = std::all_of(others.begin(), others.end(), [&world](const std::string &id) {
        return world.hasRun(id);
    });
    const std::string id = "00000000000000a1";
    const nlohmann::json step{{"count", 1}, {"cpu", 15'000}, {"mem_mb", 61'000}, {"gpu", 8}, {"estimate_ms", 2000}};
    world.submit("/urgent/", id, {{"spec", "guaranteed"}, {"steps", {step}}}, 4, 0);
    if (!isReady
        || !world.runUntil(
            [&world, &id] {
                return world.isAccepted(id);
            },
            3000ms)) {
        return CouldNotRun;
    }
    const auto acceptedAt = world.now();
    const auto begins = world.runUntil(
        [&world, &id] {
            return !world.runsOf(id + ".0.0.0").empty();
        },
        WatchTime);
    const auto waited = world.now() - acceptedAt;
    world.note("job " + id + (begins ? " began " : " has not begun ") + std::to_string(waited) + " ms after its confirmation");
    return waited > ReclaimTime.count() ? RuleBroken : RuleHeld;
}
} // namespace

auto cases() -> const std::map<std::string, std::function<int(const CaseOptions &)>> &
{
    static const std::map<std::string, std::function<int(const CaseOptions &)>> Cases{
        {"tasks-without-demand", &playTasksWithoutDemand},
        {"unhealthy-executor", &playUnhealthyExecutor},
        {"divided-guarantee", &playDividedGuarantee},
        {"cores-in-use", &playCoresInUse},
    };
    return Cases;
}
} // namespace Review
