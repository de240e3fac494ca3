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

/// A task fails for the last time while its route is missing from the configuration.
auto attempts(const std::string &folder, const std::string &record, const std::string &program, bool trouble) -> Verdict
{
    constexpr int MaxAttempts = 2;
    World world(folder, record, program, Bounds{});
    world.addWorkers(makeWorkers(6));
    const std::vector<Tenant> tenants{{"tenant-a", KeyA, 16}};
    const Route render{"render", "/render/", 1, MaxAttempts};
    const Route batch{"batch", "/batch/", 2, 4};
    world.publish({render, batch}, tenants);
    if (!world.startInstances(4)) {
        return Verdict::CouldNotRun;
    }
    auto &job = world.submit("/render/", KeyA, nlohmann::json::array({step(1, 4000, 16'000, 1, 5000)}), {milliseconds(5000), true});
    const auto task = job.id_ + ".0.0.0";
    const auto begun = [&](std::size_t runs) {
        return [&job, task, runs] {
            return job.starts_[task].size() >= runs;
        };
    };
    const auto failed = [&](int ends) {
        return [&job, task, ends] {
            return job.failedAcknowledged_[task] >= ends;
        };
    };
    if (!world.runUntil(seconds(20), begun(2))) {
        return Verdict::CouldNotRun;
    }
    if (trouble) {
        world.run(seconds(1));
        world.publish({batch}, tenants);
    }
    if (!world.runUntil(seconds(15), failed(2))) {
        return Verdict::CouldNotRun;
    }
    world.note("both failed ends have been acknowledged");
    if (trouble) {
        world.run(seconds(3));
        world.publish({render, batch}, tenants);
    }
    const auto again = world.runUntil(seconds(20), begun(3));
    world.run(world.bounds().apply_);
    world.ask(job);
    world.note("max_attempts is 2, 2 runs have ended failed, and " + std::to_string(job.starts_[task].size()) + " were started");
    return again || world.instanceEnded() ? Verdict::Broken : Verdict::Held;
}

/// One of the workers of a job that lasts is lost for good.
auto lasting(const std::string &folder, const std::string &record, const std::string &program, bool trouble) -> Verdict
{
    constexpr std::size_t Workers = 36;
    constexpr std::size_t Tasks = 34;
    World world(folder, record, program, Bounds{});
    world.addWorkers(makeWorkers(Workers));
    world.publish({{"serving", "/serving/", 1, 4}}, {{"tenant-a", KeyA, 16}});
    if (!world.startInstances(4)) {
        return Verdict::CouldNotRun;
    }
    auto work = step(Tasks, 100'000, 400'000, 8, 60'000);
    work["long_running"] = true;
    auto &job = world.submit("/serving/", KeyA, nlohmann::json::array({work}), {milliseconds(0), false, true});
    if (!world.runUntil(seconds(10), [&] {
            return job.tasksRunning() == Tasks;
        })) {
        return Verdict::CouldNotRun;
    }
    world.run(seconds(5));
    if (trouble) {
        const auto found = std::find_if(world.workers().begin(), world.workers().end(), [](const auto &worker) {
            return !worker->runningTasks().empty();
        });
        const auto id = (*found)->plan().id_;
        const auto task = (*found)->runningTasks().front();
        (*found)->crash();
        job.running_[task].clear();
        world.note("lost with it: " + task);
        // The entry is removed after three ping intervals of 1.5 s.
        world.run(milliseconds(4500));
        world.store().put("keyed.servers", id, std::nullopt);
        world.note("the platform removes the entry of " + id);
    }
    // Longer than contact_ms and the longest lease, so that the 6 s after the last run and the 4 s before the check are calm.
    world.run(seconds(15));
    const auto restarted = world.runUntil(NothingRunning, [&] {
        return job.tasksRunning() == Tasks;
    });
    const auto idle = std::count_if(world.workers().begin(), world.workers().end(), [](const auto &worker) {
        return worker->isUp() && worker->runningTasks().empty();
    });
    world.note(std::to_string(job.tasksRunning()) + " of 34 tasks run, and " + std::to_string(idle) + " sound workers run nothing");
    if (!restarted) {
        const auto later = world.runUntil(seconds(30), [&] {
            return job.tasksRunning() == Tasks;
        });
        world.note(std::string("30 s later the task ") + (later ? "runs" : "still does not run"));
    }
    return restarted && !world.instanceEnded() ? Verdict::Held : Verdict::Broken;
}
/// A start command that is held up on its way reaches its worker after the worker has been restarted.
auto lateOrder(const std::string &folder, const std::string &record, const std::string &program, bool trouble) -> Verdict
{
    World world(folder, record, program, Bounds{});
    auto plans = makeWorkers(6);
    plans[5].kind_ = "b";
    const auto id = plans[5].id_;
    world.addWorkers(plans);
    world.publish({{"batch", "/batch/", 2, 4}}, {{"tenant-a", KeyA, 16}});
    if (!world.startInstances(4)) {
        return Verdict::CouldNotRun;
    }
    auto &worker = world.worker(id);
    auto work = step(1, 4000, 16'000, 1, 1000);
    work["requires"] = "b";
    const auto sentAt = std::chrono::steady_clock::now();
    constexpr milliseconds OrderDelay{5000};
    worker.nextStartDelay_ = trouble ? OrderDelay : milliseconds(0);
    auto &job = world.submit("/batch/", KeyA, nlohmann::json::array({work}), {milliseconds(1000)});
    const auto task = job.id_ + ".0.0.0";
    if (!world.runUntil(milliseconds(4000), [&] {
            return job.doneAcknowledged_[task] > 0;
        })) {
        return Verdict::CouldNotRun;
    }
    world.note("the task has ended done, and the end has been acknowledged");
    const auto startsBefore = job.starts_[task].size();
    world.runUntil(milliseconds(3500), [sentAt] {
        return std::chrono::steady_clock::now() - sentAt > milliseconds(4000);
    });
    world.ask(job);
    worker.restart(milliseconds(950));
    world.run(seconds(6));
    world.ask(job);
    const auto again = job.starts_[task].size() > startsBefore;
    world.note(again ? "the task was started again after its acknowledged end" : "the task was not started again");
    return again || world.instanceEnded() ? Verdict::Broken : Verdict::Held;
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
    static const std::map<std::string, Case> Cases{{"wide-job", &wideJob},
                                                   {"guarantee", &guarantee},
                                                   {"label", &label},
                                                   {"cancelled", &cancelled},
                                                   {"late-order", &lateOrder},
                                                   {"attempts", &attempts},
                                                   {"lasting", &lasting},
                                                   {"estimate", &estimate}};
    return Cases;
}
} // namespace Review
