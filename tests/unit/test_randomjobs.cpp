#include "tests/support/simulatedfleet.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <cstdint>
#include <initializer_list>
#include <random>
#include <string>
#include <vector>

using namespace Marjoramfold;
using namespace Marjoramfold::Test;
using namespace std::chrono_literals;

// Random jobs and fleets with the amounts at which counts and searches go wrong: none, one, a typical one, and the most.

namespace
{
constexpr std::int64_t MostResource = 2'147'483'647;
constexpr std::chrono::milliseconds LongestTime{std::int64_t(1) << 42};
constexpr std::chrono::milliseconds Day{24h};

/// Draws fleets, jobs and configurations from a seed.
class Draw
{
public:
    explicit Draw(unsigned seed)
        : random_(seed)
    {
    }

    template<typename Value>
    auto oneOf(std::initializer_list<Value> values) -> Value
    {
        return *(values.begin() + std::uniform_int_distribution<std::ptrdiff_t>(0, static_cast<std::ptrdiff_t>(values.size()) - 1)(random_));
    }

    auto chance(unsigned oneIn) -> bool
    {
        return std::uniform_int_distribution<unsigned>(1, oneIn)(random_) == 1;
    }

    auto capacity() -> ResourceVector
    {
        return {oneOf<std::int64_t>({0, 1, 128'000, 128'000, 128'000, MostResource}),
                oneOf<std::int64_t>({0, 1, 524'288, 524'288, 524'288, MostResource}),
                oneOf<std::int64_t>({0, 1, 8, 8, 8, MostResource})};
    }

    auto demand() -> ResourceVector
    {
        if (chance(3)) {
            return {};
        }
        return {oneOf<std::int64_t>({0, 0, 1, 11'000, 128'000, MostResource}),
                oneOf<std::int64_t>({0, 0, 1, 46'000, 524'288, MostResource}),
                oneOf<std::int64_t>({0, 0, 1, 8, MostResource})};
    }

    auto step() -> StepPlan
    {
        StepPlan step;
        step.count_ = oneOf({1U, 1U, 2U, 7U, 40U});
        step.task_ = demand();
        step.estimate_ = oneOf({0ms, 1ms, 2'000ms, Day, LongestTime});
        step.checkpoints_ = chance(4);
        step.gang_ = chance(3);
        step.prefersOneRack_ = chance(2);
        step.dataRack_ = oneOf<std::string>({"", "", "r1", "unknown"});
        step.requiredLabel_ = oneOf<std::string>({"", "", "", "", "r1", "unknown"});
        step.maxPerWorker_ = oneOf({0U, 0U, 0U, 1U, 20'000U});
        return step;
    }

    auto job(unsigned number, std::chrono::milliseconds now) -> Submission
    {
        auto job = makeSubmission("00000000000000" + std::to_string(10 + number), oneOf<std::string>({"urgent", "batch", "bulk"}), 1, {});
        job.team_ = TeamId(oneOf<std::string>({"team", "other"}));
        job.plan_.steps_.clear();
        const auto steps = oneOf({1U, 1U, 2U, 3U});
        for (unsigned i = 0; i < steps; ++i) {
            job.plan_.steps_.push_back(step());
            if (i > 0 && chance(2)) {
                job.plan_.steps_.back().dependsOn_ = {i - 1};
            }
        }
        if (chance(4)) {
            job.plan_.occurrences_ = oneOf({1U, 3U});
            job.plan_.firstDue_ = oneOf({0ms, now, now + 500ms});
            job.plan_.interval_ = oneOf({0ms, 1ms, 700ms});
        }
        return job;
    }

    auto config(std::uint64_t version) -> OperatorConfig
    {
        std::vector<QueueConfig> queues;
        for (const auto *name : {"urgent", "batch", "bulk"}) {
            QueueConfig queue;
            queue.name_ = name;
            queue.pool_ = "pool";
            queue.priority_ = oneOf({0, 0, 1, 2, 2'147'483'647});
            queue.maxAttempts_ = oneOf({3U, 1000U});
            queue.stretch_ = oneOf({0.0, 1.5, 1e6});
            queue.targetLatency_ = oneOf({0ms, 250ms, LongestTime});
            queues.push_back(queue);
        }
        const auto guarantee = [this] {
            return oneOf<std::int64_t>({0, 1, 16, MostResource});
        };
        return OperatorConfig(version, queues, {{"pool", false, false}}, {{TeamId("team"), {"key"}, guarantee()}, {TeamId("other"), {"other"}, guarantee()}});
    }

private:
    std::mt19937 random_;
};

/// Adds workers of random capacity in up to three racks, one of them without a name.
auto addRandomWorkers(SimulatedFleet &fleet, Draw &draw) -> void
{
    fleet.addWorkers(draw.oneOf({1U, 3U, 6U}), "zone-1", "r1");
    if (draw.chance(2)) {
        fleet.addWorkers(draw.oneOf({1U, 4U}), "zone-2", "r2");
    }
    if (draw.chance(3)) {
        fleet.addWorkers(2, "zone-2", "");
    }
    for (const auto &id : fleet.workerIds()) {
        fleet.worker(id).entry_.capacity_ = draw.capacity();
    }
}

/// True when each step of the job fits on the empty fleet.
auto couldRun(SimulatedFleet &fleet, const Submission &job) -> bool
{
    return std::all_of(job.plan_.steps_.begin(), job.plan_.steps_.end(), [&fleet](const StepPlan &step) {
        std::int64_t fits = 0;
        for (const auto &id : fleet.workerIds()) {
            const auto &entry = fleet.worker(id).entry_;
            const auto hasLabel =
                step.requiredLabel_.empty() || std::find(entry.labels_.begin(), entry.labels_.end(), step.requiredLabel_) != entry.labels_.end();
            const auto most = step.maxPerWorker_ == 0 ? step.count_ : std::min(step.count_, step.maxPerWorker_);
            auto free = entry.capacity_;
            for (std::uint32_t i = 0; hasLabel && i < most && free.covers(step.task_); ++i) {
                free -= step.task_;
                ++fits;
            }
        }
        return fits >= (step.gang_ ? step.count_ : 1);
    });
}
} // namespace

TEST_CASE("a pass places random jobs on random fleets", "[dispatch][demand][random]")
{
    // Guards against valid jobs that end the leader, exceed a worker's capacity, or keep other jobs from running.
    constexpr unsigned Jobs = 6;
    const auto seed = GENERATE(range(1U, 61U));
    Draw draw(seed);
    SimulatedFleet fleet;
    fleet.options_.preferFastWorkers_ = draw.chance(2);
    fleet.options_.packRacks_ = draw.chance(2);
    fleet.options_.shareRoomByCost_ = draw.chance(2);
    fleet.config_ = draw.config(1);
    addRandomWorkers(fleet, draw);
    fleet.work_ = [](const TaskRef &) {
        return 200ms;
    };
    fleet.startLeader();
    std::vector<Submission> jobs;
    for (unsigned i = 0; i < Jobs; ++i) {
        jobs.push_back(draw.job(i, fleet.now()));
        fleet.submit(jobs.back());
        fleet.advance(draw.oneOf({0ms, 10ms, 300ms}));
    }

    SECTION("and all of them end that the fleet could hold") {}

    SECTION("also when the configuration and the leader change meanwhile")
    {
        fleet.advance(100ms);
        fleet.config_ = draw.config(2);
        fleet.advance(300ms);
        fleet.startLeader();
    }
    const auto isOpen = [&fleet](const Submission &job) {
        return couldRun(fleet, job) && fleet.phaseOf(job.id_) != JobPhase::Completed;
    };
    for (auto i = 0; i < 60 && std::any_of(jobs.begin(), jobs.end(), isOpen); ++i) {
        fleet.advance(1s);
    }
    INFO("seed " << seed);
    for (const auto &job : jobs) {
        INFO("job " << job.id_.value());
        CHECK_FALSE(isOpen(job));
    }
    CHECK(fleet.violations_ == std::vector<std::string>{});
}
