#include "review/world/cases.hh"

#include <algorithm>

namespace Review
{
namespace
{
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr const char *KeyA = "d4a3hwrr6x73d3zji9n7";
constexpr const char *KeyB = "3hh2b9wu3fexd9dnn2ct";
/// RULES.md, LOST: for how long a job has nothing running.
constexpr milliseconds NothingRunning{3500};

/// Workers in racks of six, spread over four zones.
auto makeWorkers(std::size_t count) -> std::vector<WorkerPlan>
{
    std::vector<WorkerPlan> plans;
    for (std::size_t i = 0; i < count; ++i) {
        WorkerPlan plan;
        char id[16];
        std::snprintf(id, sizeof(id), "i-7f3a%04zx", i);
        plan.id_ = id;
        plan.zone_ = "zone-" + std::to_string(1 + i / 6 % 4);
        plan.rack_ = "r1-" + std::to_string(1 + i / 6);
        plans.push_back(plan);
    }
    return plans;
}

auto step(std::size_t count, int cpu, int memory, int accelerators, int estimate) -> nlohmann::json
{
    nlohmann::json json{{"count", count}, {"cpu", cpu}, {"mem_mb", memory}, {"estimate_ms", estimate}};
    if (accelerators > 0) {
        json["gpu"] = accelerators;
    }
    return json;
}

/// Jobs that are not finished and of which nothing runs during the whole time.
auto jobsWithNothingRunning(World &world, const std::vector<Job *> &jobs, milliseconds time) -> std::vector<Job *>
{
    std::set<Job *> idle(jobs.begin(), jobs.end());
    const auto deadline = std::chrono::steady_clock::now() + time;
    while (std::chrono::steady_clock::now() < deadline) {
        std::erase_if(idle, [](const Job *job) {
            return !job->accepted_ || job->tasksDone() == job->tasks_ || job->tasksRunning() > 0;
        });
        world.run(milliseconds(10));
    }
    return {idle.begin(), idle.end()};
}

/// A job with more tasks than one progress record can hold.
auto wideJob(const std::string &folder, const std::string &record, const std::string &program, bool trouble) -> Verdict
{
    World world(folder, record, program, Bounds{});
    world.addWorkers(makeWorkers(8));
    world.publish({{"batch", "/batch/", 2, 4}}, {{"tenant-a", KeyA, 16}, {"tenant-b", KeyB, 8}});
    if (!world.startInstances(4)) {
        return Verdict::CouldNotRun;
    }
    std::vector<Job *> jobs;
    const auto submitSmall = [&](const char *key) {
        jobs.push_back(&world.submit("/batch/", key, nlohmann::json::array({step(2, 1000, 1000, 1, 500)}), {milliseconds(500)}));
    };
    submitSmall(KeyA);
    submitSmall(KeyB);
    if (!world.runUntil(seconds(8), [&] {
            return std::all_of(jobs.begin(), jobs.end(), [](const Job *job) {
                return job->tasksDone() == job->tasks_;
            });
        })) {
        return Verdict::CouldNotRun;
    }
    world.note(trouble ? "trouble: one job of 5000 tasks" : "no trouble: five jobs of 1000 tasks");
    for (int i = 0; i < (trouble ? 1 : 5); ++i) {
        jobs.push_back(&world.submit("/batch/", KeyA, nlohmann::json::array({step(trouble ? 5000 : 1000, 100, 64, 0, 1000)}), {milliseconds(1000)}));
    }
    for (int i = 0; i < 20; ++i) {
        world.run(milliseconds(500));
        submitSmall(i % 2 == 0 ? KeyA : KeyB);
    }
    world.note("the traffic ends");
    world.run(world.bounds().finish_);
    const auto idle = jobsWithNothingRunning(world, jobs, NothingRunning);
    for (auto *job : jobs) {
        world.ask(*job);
        world.note("job " + job->id_ + ": " + std::to_string(job->tasks_) + " tasks, " + std::to_string(job->tasksBegun()) + " begun, "
                   + std::to_string(job->tasksDone()) + " done");
    }
    world.note("the store rejected " + std::to_string(world.store().oversizedAppends()) + " appends with a record over record_bytes ("
               + std::to_string(Store::RecordBytes) + "); the largest had " + std::to_string(world.store().largestRecord()) + " bytes");
    world.note(std::to_string(idle.size()) + " accepted jobs have had nothing running for over 3 s, finish_s after the end of the traffic");
    return world.instanceEnded() || !idle.empty() ? Verdict::Broken : Verdict::Held;
}

/// A tenant's guaranteed accelerators are in use by urgent jobs of another tenant.
auto guarantee(const std::string &folder, const std::string &record, const std::string &program, bool trouble) -> Verdict
{
    World world(folder, record, program, Bounds{});
    world.addWorkers(makeWorkers(6));
    world.publish({{"urgent", "/urgent/", 0, 4}, {"batch", "/batch/", 2, 4}}, {{"tenant-a", KeyA, 24}, {"tenant-b", KeyB, 16}});
    if (!world.startInstances(4)) {
        return Verdict::CouldNotRun;
    }
    auto work = step(8, 4000, 16'000, 1, 90'000);
    work["checkpointing"] = true;
    std::vector<Job *> jobs;
    for (int i = 0; i < (trouble ? 6 : 3); ++i) {
        jobs.push_back(&world.submit("/urgent/", KeyA, nlohmann::json::array({work}), {milliseconds(90'000)}));
        world.run(milliseconds(300));
    }
    if (!world.runUntil(seconds(5), [&] {
            return std::all_of(jobs.begin(), jobs.end(), [](const Job *job) {
                return job->tasksRunning() == job->tasks_;
            });
        })) {
        return Verdict::CouldNotRun;
    }
    world.note("tenant-a has " + std::to_string(jobs.size() * 8) + " of 48 accelerators in use; 24 are guaranteed to it, and 16 to tenant-b, which uses none");
    world.run(seconds(3));
    auto &job = world.submit("/urgent/", KeyB, nlohmann::json::array({step(8, 4000, 16'000, 1, 2000)}), {milliseconds(2000)});
    if (!world.runUntil(seconds(4), [&] {
            return job.accepted_;
        })) {
        return Verdict::CouldNotRun;
    }
    const auto begun = [&] {
        return job.tasksBegun() == job.tasks_;
    };
    const auto inTime = world.runUntil(world.bounds().reclaim_, begun);
    world.note("reclaim_ms after its confirmation tenant-b's job of 8 accelerators has begun " + std::to_string(job.tasksBegun()) + " of 8 tasks");
    if (!inTime) {
        world.runUntil(seconds(45), begun);
        world.ask(job);
        world.note("45 s later it has begun " + std::to_string(job.tasksBegun()) + " of 8 tasks");
    }
    return inTime && !world.instanceEnded() ? Verdict::Held : Verdict::Broken;
}

/// A job whose submission got no answer from the store is cancelled at another instance.
auto cancelled(const std::string &folder, const std::string &record, const std::string &program, bool trouble) -> Verdict
{
    constexpr seconds CancelBound{3};
    World world(folder, record, program, Bounds{});
    world.addWorkers(makeWorkers(6));
    world.publish({{"batch", "/batch/", 2, 4}}, {{"tenant-a", KeyA, 16}});
    if (!world.startInstances(4)) {
        return Verdict::CouldNotRun;
    }
    auto &job = world.makeJob("/batch/", KeyA, nlohmann::json::array({step(1, 4000, 16'000, 1, 20'000)}), {milliseconds(20'000)});
    const auto silentAt = std::chrono::steady_clock::now();
    if (trouble) {
        world.setStoreSilent(0, true);
    }
    const auto submitted = world.call("POST", job, 0);
    const auto cancelled = world.call("DELETE", job, 1);
    const auto cancelledAt = std::chrono::steady_clock::now();
    if (trouble) {
        world.runUntil(seconds(8), [silentAt] {
            return std::chrono::steady_clock::now() - silentAt > seconds(7);
        });
        world.setStoreSilent(0, false);
    }
    if ((cancelled < 200 || cancelled >= 300) && cancelled != 410) {
        return Verdict::CouldNotRun;
    }
    world.run(seconds(10));
    const auto task = job.id_ + ".0.0.0";
    const auto late = !job.starts_.empty() && job.startedAt_[task] - cancelledAt > CancelBound;
    world.note("POST got " + std::to_string(submitted) + ", DELETE got " + std::to_string(cancelled) + "; the task was "
               + (late ? "started over cancel_ms after the answer to DELETE" : "not started over cancel_ms after the answer to DELETE"));
    world.ask(job);
    return late || job.tasksRunning() > 0 || world.instanceEnded() ? Verdict::Broken : Verdict::Held;
}

/// The only worker with a label fails one run of a task that requires the label.
auto label(const std::string &folder, const std::string &record, const std::string &program, bool trouble) -> Verdict
{
    World world(folder, record, program, Bounds{});
    auto plans = makeWorkers(10);
    plans[9].kind_ = "b";
    const auto special = plans[9].id_;
    world.addWorkers(plans);
    world.publish({{"batch", "/batch/", 2, 4}}, {{"tenant-a", KeyA, 16}});
    if (!world.startInstances(4)) {
        return Verdict::CouldNotRun;
    }
    if (trouble) {
        world.worker(special).failsAll_ = true;
        world.note("worker " + special + ", the only one with the label b, fails all that it starts, for 5 s");
    }
    auto work = step(1, 4000, 16'000, 1, 2000);
    work["requires"] = "b";
    std::vector<Job *> jobs{&world.submit("/batch/", KeyA, nlohmann::json::array({work}), {milliseconds(2000)})};
    world.run(seconds(5));
    world.worker(special).failsAll_ = false;
    world.note("all workers are sound from here on");
    for (int i = 0; i < 5; ++i) {
        jobs.push_back(&world.submit("/batch/", KeyA, nlohmann::json::array({step(2, 4000, 16'000, 1, 1000)}), {milliseconds(1000)}));
        world.run(seconds(1));
    }
    world.note("the traffic ends");
    world.run(world.bounds().finish_);
    const auto idle = jobsWithNothingRunning(world, jobs, NothingRunning);
    world.note(std::to_string(idle.size()) + " accepted jobs have had nothing running for over 3 s, finish_s after the end of the traffic");
    for (auto *job : idle) {
        world.runUntil(seconds(40), [&] {
            return job->tasksRunning() > 0;
        });
        world.ask(*job);
        world.note("40 s later: job " + job->id_ + " has " + std::to_string(job->tasksRunning()) + " tasks running and " + std::to_string(job->tasksDone())
                   + " done; worker " + special + " runs " + std::to_string(world.worker(special).runningTasks().size()) + " tasks");
    }
    return world.instanceEnded() || !idle.empty() ? Verdict::Broken : Verdict::Held;
}

/// The estimated run time of a job is a tenth of the real one.
auto estimate(const std::string &folder, const std::string &record, const std::string &program, bool trouble) -> Verdict
{
    constexpr int RealTime = 200'000;
    World world(folder, record, program, Bounds{});
    world.addWorkers(makeWorkers(10));
    world.publish({{"render", "/render/", 1, 4}, {"batch", "/batch/", 2, 4}}, {{"tenant-a", KeyA, 16}, {"tenant-b", KeyB, 16}});
    if (!world.startInstances(4)) {
        return Verdict::CouldNotRun;
    }
    const auto estimated = trouble ? RealTime / 10 : RealTime;
    auto &longJob = world.submit("/render/", KeyA, nlohmann::json::array({step(10, 20'000, 64'000, 2, estimated)}), {milliseconds(RealTime)});
    std::vector<Job *> jobs{&longJob};
    for (int i = 0; i < 20; ++i) {
        world.run(seconds(1));
        jobs.push_back(&world.submit("/batch/", KeyB, nlohmann::json::array({step(2, 4000, 16'000, 1, 1000)}), {milliseconds(1000)}));
    }
    world.note("the traffic ends");
    world.run(world.bounds().finish_);
    std::set<Job *> broken;
    for (int i = 0; i < 15; ++i) {
        for (auto *job : jobsWithNothingRunning(world, jobs, NothingRunning)) {
            if (broken.insert(job).second) {
                world.note("job " + job->id_ + " has had nothing running for " + std::to_string(NothingRunning.count()) + " ms");
            }
        }
    }
    std::size_t runs = 0;
    for (const auto &[task, started] : longJob.starts_) {
        runs += started.size();
    }
    world.ask(longJob);
    world.note("the job of 10 tasks of 200 s: " + std::to_string(runs) + " runs were started, " + std::to_string(longJob.tasksRunning()) + " run, "
               + std::to_string(longJob.tasksDone()) + " are done; the longest run took " + std::to_string(longJob.longestRun_.count()) + " ms");
    world.note(std::to_string(broken.size()) + " accepted jobs had nothing running for over 3 s, finish_s after the end of the traffic");
    return world.instanceEnded() || !broken.empty() ? Verdict::Broken : Verdict::Held;
}
} // namespace

auto cases() -> const std::map<std::string, Case> &
{
    static const std::map<std::string, Case> Cases{
        {"wide-job", &wideJob}, {"guarantee", &guarantee}, {"label", &label}, {"cancelled", &cancelled}, {"estimate", &estimate}};
    return Cases;
}
} // namespace Review
