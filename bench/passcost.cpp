// Measures the processor time of scheduling passes on a full fleet with many waiting steps.
// Usage: passcost [WORKERS...]; default 350 1100 2900. Prints one line for each size.

#include "marjoramfold/dispatch/fleetscheduler.h"
#include "marjoramfold/observability/logline.h"

#include <chrono>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <ctime>
#include <functional>
#include <map>
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

/// Runs scheduled functions in the order of their times.
class Schedule
{
public:
    auto add(std::chrono::milliseconds pause, std::function<void()> step) -> void
    {
        steps_.emplace(now_ + pause, std::move(step));
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

/// A scheduler whose workers accept everything and never end a run.
class Fleet
{
public:
    explicit Fleet(int workers)
        : workers_(workers)
        , config_(1, {makeQueue()}, {{"pool", false, false}}, {{TeamId("team"), {"key"}, 8}})
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
    static auto makeQueue() -> QueueConfig
    {
        QueueConfig queue;
        queue.name_ = "batch";
        queue.pool_ = "pool";
        queue.priority_ = 2;
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
} // namespace

auto main(int argc, char **argv) -> int
{
    setLogOutput([](LogSeverity /*severity*/, const std::string & /*event*/, const std::string & /*line*/) {});
    std::vector<int> sizes;
    for (int i = 1; i < argc; ++i) {
        sizes.push_back(std::atoi(argv[i]));
    }
    if (sizes.empty()) {
        sizes = {350, 1100, 2900};
    }
    for (const auto workers : sizes) {
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
