// Measures the processor time of scheduling passes on a full fleet with many waiting steps.
// Usage: passcost [--urgent] [WORKERS...]; default 350 1100 2900. Prints one line for each size.
// With --urgent the fleet is full of urgent gangs, and gangs of another team are owed their guarantee. Two passes are measured: one in which
// victims are found for all of them, and one in which no team has enough beyond its guarantee, so that all searches fail.

#include "marjoramfold/dispatch/fleetscheduler.h"
#include "marjoramfold/observability/logline.h"

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <ctime>
#include <functional>
#include <map>
#include <ratio>
#include <string>
#include <unordered_set>
#include <utility>
#include <vector>

using namespace Marjoramfold;

namespace
{
constexpr int WorkersPerRack = 12;
constexpr int Passes = 20;
/// Waiting steps for each hundred workers.
constexpr int StepsPerHundredWorkers = 25;

/// Gangs that wait within their team's guarantee, of four shapes, and the number of their tasks.
constexpr int OwedGangs = 8;
constexpr std::uint32_t OwedTasks = 5;
/// Each result of --urgent is the mean of so many fleets.
constexpr int UrgentFleets = 5;

/// Runs scheduled functions in the order of their times.
class Schedule
{
public:
    auto add(std::chrono::milliseconds pause, std::function<void()> step) -> void
    {
        steps_.emplace(now_ + pause, std::move(step));
    }

    [[nodiscard]] auto now() const -> std::chrono::milliseconds
    {
        return now_;
    }

    auto run(std::chrono::milliseconds duration) -> void
    {
        const auto end = now_ + duration;
        while (!steps_.empty() && steps_.begin()->first <= end) {
            auto step = steps_.extract(steps_.begin());
            now_ = step.key();
            step.mapped()();
        }
        now_ = end;
    }

private:
    std::chrono::milliseconds now_{0};
    std::multimap<std::chrono::milliseconds, std::function<void()>> steps_;
};

auto makeJob(int number, std::uint32_t count, std::int64_t accelerators, bool gang) -> Submission
{
    Submission job;
    job.id_ = JobId("job-" + std::to_string(number));
    job.queue_ = "batch";
    StepPlan step;
    step.count_ = count;
    step.task_ = {accelerators * 6'000, accelerators * 20'000, accelerators};
    step.estimate_ = std::chrono::seconds(10);
    step.gang_ = gang;
    step.prefersOneRack_ = gang;
    job.plan_.steps_.push_back(step);
    return job;
}

/// An urgent gang of five tasks, as the deployments of this release have them; number % 2 decides whether it needs one rack.
auto makeOwedGang(int number) -> Submission
{
    auto job = makeJob(number, OwedTasks, std::int64_t{1} << (number / 2 % 4), true);
    job.queue_ = "urgent";
    job.team_ = TeamId("b");
    job.plan_.steps_[0].prefersOneRack_ = number % 2 == 0;
    return job;
}

/// A scheduler whose workers accept everything and never end a run.
class Fleet
{
public:
    /// `borrowed` is what team "a" may use beyond its guarantee.
    explicit Fleet(int workers, std::int64_t borrowed = 0)
        : workers_(workers)
        , config_(1,
                  {makeQueue("batch", 2), makeQueue("urgent", 0)},
                  {{"pool", false, false}},
                  {{TeamId("team"), {"key"}, 8},
                   {TeamId("a"), {"key-a"}, workers * std::int64_t{8} - borrowed},
                   {TeamId("b"), {"key-b"}, OwedGangs * OwedTasks * std::int64_t{8}}})
        , scheduler_({}, 1, makeCalls(), makeHooks(), [] {})
    {
        for (int i = 0; i < workers; ++i) {
            WorkerEntry entry;
            entry.id_ = WorkerId("w" + std::to_string(i));
            entry.address_ = "address";
            entry.pool_ = "pool";
            entry.rack_ = RackId("rack-" + std::to_string(i / WorkersPerRack));
            entry.capacity_ = {128'000, 524'288, 8};
            entry.incarnation_ = 1;
            scheduler_.updateWorker(entry);
        }
        scheduler_.startScheduling(BootClock::now());
        schedule_.run(std::chrono::seconds(2));
    }

    /// Fills all accelerators, then adds steps of a few shapes that cannot be placed.
    auto fill() -> void
    {
        int number = 0;
        scheduler_.addJob(makeJob(number++, static_cast<std::uint32_t>(workers_) * 8, 1, false), JobPhase::Queued);
        schedule_.run(std::chrono::seconds(1));
        for (int i = 0; i < workers_ * StepsPerHundredWorkers / 100; ++i) {
            const auto gang = i % 2 == 0;
            scheduler_.addJob(makeJob(number++, 4 + static_cast<std::uint32_t>(i % 20), std::int64_t{1} << (i % 4), gang), JobPhase::Queued);
        }
        schedule_.run(std::chrono::seconds(1));
    }

    /// Fills all accelerators with urgent gangs of team "a", and what is left with its single tasks. Then adds gangs of team "b".
    auto fillWithUrgentRuns() -> void
    {
        int number = 0;
        // The largest first, each for a quarter of the accelerators, so that no room is left.
        for (std::int64_t size = 8; size > 0; size /= 2) {
            for (auto left = workers_ * std::int64_t{2}; left >= size;) {
                auto job = makeJob(number++, OwedTasks, size, left >= size * OwedTasks);
                auto &step = job.plan_.steps_[0];
                step.count_ = step.gang_ ? OwedTasks : 1;
                step.prefersOneRack_ = false;
                job.queue_ = "urgent";
                job.team_ = TeamId("a");
                left -= step.count_ * size;
                scheduler_.addJob(job, JobPhase::Queued);
            }
            schedule_.run(std::chrono::seconds(1));
        }
        for (int i = 0; i < OwedGangs; ++i) {
            auto job = makeOwedGang(number + i);
            job.plan_.steps_[0].estimate_ = std::chrono::milliseconds(1);
            scheduler_.addJob(job, JobPhase::Queued);
        }
    }

    /// Processor time of the most expensive one of some passes.
    auto measureMost() -> std::chrono::microseconds
    {
        std::clock_t most = 0;
        for (int i = 0; i < Passes; ++i) {
            scheduler_.requestPass();
            const auto startedAt = std::clock();
            schedule_.run(std::chrono::milliseconds(10));
            most = std::max(most, std::clock() - startedAt);
        }
        return std::chrono::microseconds(most * std::micro::den / CLOCKS_PER_SEC);
    }

    /// Runs that were stopped for guarantees.
    [[nodiscard]] auto reclaims() const -> std::uint64_t
    {
        return scheduler_.counts().reclaims_;
    }

    [[nodiscard]] auto now() const -> std::chrono::milliseconds
    {
        return schedule_.now();
    }

    /// Processor time of a pass.
    auto measure() -> std::chrono::microseconds
    {
        const auto before = scheduler_.counts().passes_;
        const auto startedAt = std::clock();
        while (scheduler_.counts().passes_ < before + Passes) {
            scheduler_.requestPass();
            schedule_.run(std::chrono::milliseconds(100));
        }
        const auto seconds = static_cast<double>(std::clock() - startedAt) / CLOCKS_PER_SEC;
        return std::chrono::duration_cast<std::chrono::microseconds>(std::chrono::duration<double>(seconds / Passes));
    }

private:
    static auto makeQueue(const std::string &name, int priority) -> QueueConfig
    {
        QueueConfig queue;
        queue.name_ = name;
        queue.pool_ = "pool";
        queue.priority_ = priority;
        queue.maxAttempts_ = 3;
        return queue;
    }

    auto makeCalls() -> WorkerCalls
    {
        const auto accept = [this](const auto & /*command*/, const std::function<void(CommandResponse)> &callback) {
            schedule_.add(std::chrono::milliseconds(1), [callback] {
                CommandResponse response;
                response.outcome_ = CommandOutcome::Accepted;
                response.clock_ = std::chrono::seconds(1);
                callback(response);
            });
        };
        const auto report = [this](const auto & /*command*/, const std::function<void(CommandResponse)> &callback) {
            if (answersReports_) {
                schedule_.add(std::chrono::milliseconds(1), [callback] {
                    CommandResponse response;
                    response.outcome_ = CommandOutcome::Accepted;
                    response.report_.incarnation_ = 1;
                    response.report_.clock_ = std::chrono::seconds(1);
                    callback(response);
                });
                answersReports_ = ++reports_ < workers_;
            }
        };
        return {accept, accept, report};
    }

    auto makeHooks() -> SchedulerHooks
    {
        SchedulerHooks hooks;
        hooks.storeProgress_ = [this](const std::vector<KeyedRecord> & /*records*/, const std::function<void(bool)> &callback) {
            schedule_.add(std::chrono::milliseconds(1), [callback] {
                callback(true);
            });
        };
        hooks.publishPhases_ = [](const std::vector<std::pair<JobId, JobPhase>> & /*phases*/) {};
        hooks.config_ = [this]() -> const OperatorConfig & {
            return config_;
        };
        hooks.evacuatedZones_ = [this]() -> const std::unordered_set<std::string> & {
            return evacuatedZones_;
        };
        hooks.wallNow_ = [] {
            return std::chrono::milliseconds(0);
        };
        hooks.schedule_ = [this](std::chrono::milliseconds pause, std::function<void()> step) {
            schedule_.add(pause, std::move(step));
        };
        return hooks;
    }

    int workers_;
    /// Each worker reports once, before it gets work.
    bool answersReports_ = true;
    int reports_ = 0;
    Schedule schedule_;
    OperatorConfig config_;
    std::unordered_set<std::string> evacuatedZones_;
    FleetScheduler scheduler_;
};

/// Measures fleets full of urgent runs, of which team "a" uses `borrowed` accelerators beyond its guarantee.
auto measureUrgent(int workers, std::int64_t borrowed) -> std::pair<std::chrono::microseconds, std::uint64_t>
{
    std::chrono::microseconds sum{0};
    std::uint64_t stopped = 0;
    for (int i = 0; i < UrgentFleets; ++i) {
        Fleet fleet(workers, borrowed);
        // Gangs wait for one rack by this clock. It must not fall behind the real one, which the scheduler has seen.
        BootClock::useSource([&fleet, begin = BootClock::now()] {
            return begin + fleet.now();
        });
        fleet.fillWithUrgentRuns();
        sum += fleet.measureMost();
        stopped += fleet.reclaims();
        BootClock::useSource({});
    }
    return {sum / UrgentFleets, stopped / UrgentFleets};
}

auto printUrgent(int workers) -> void
{
    const auto [found, stopped] = measureUrgent(workers, workers * std::int64_t{4});
    const auto [failed, none] = measureUrgent(workers, OwedTasks);
    std::printf("workers=%d owed_gangs=%d found_pass_us=%lld stopped=%llu failed_pass_us=%lld stopped=%llu\n",
                workers,
                OwedGangs,
                static_cast<long long>(found.count()),
                static_cast<unsigned long long>(stopped),
                static_cast<long long>(failed.count()),
                static_cast<unsigned long long>(none));
}
} // namespace

auto main(int argc, char **argv) -> int
{
    setLogOutput([](LogSeverity /*severity*/, const std::string & /*event*/, const std::string & /*line*/) {});
    std::vector<int> sizes;
    const auto urgent = argc > 1 && std::string(argv[1]) == "--urgent";
    for (int i = urgent ? 2 : 1; i < argc; ++i) {
        sizes.push_back(std::atoi(argv[i]));
    }
    if (sizes.empty()) {
        sizes = {350, 1100, 2900};
    }
    for (const auto workers : sizes) {
        if (urgent) {
            printUrgent(workers);
            continue;
        }
        Fleet fleet(workers);
        fleet.fill();
        const auto pass = fleet.measure();
        const auto steps = workers * StepsPerHundredWorkers / 100;
        std::printf("workers=%d waiting_steps=%d pass_us=%lld us_per_step=%.2f\n",
                    workers,
                    steps,
                    static_cast<long long>(pass.count()),
                    static_cast<double>(pass.count()) / steps);
    }
    return 0;
}
