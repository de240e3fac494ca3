#include "marjoramfold/dispatch/workerspeeds.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <cmath>
#include <map>
#include <random>
#include <string>
#include <vector>

using namespace Marjoramfold;
using namespace std::chrono_literals;

// What is learned of the workers' speeds from runs, and its record.

namespace
{
const WorkerId Worker("worker-000");
/// Durations of the other tasks of a step, all of a second.
const std::vector<double> OneSecond(9, std::log(1000.0));
/// Spread of a run's duration in the natural logarithm.
constexpr double Spread = 0.3;

auto workerNumbered(unsigned number) -> WorkerId
{
    return WorkerId("i-" + std::to_string(2'000'000'000U + number));
}

/// Lets a fleet run steps of 30 tasks on workers chosen evenly until each has had about `samples` runs; 3 % of the tasks take 7 times as long.
auto learn(WorkerSpeeds &speeds, const std::vector<double> &durations, unsigned samples, std::mt19937 &random) -> void
{
    constexpr unsigned StepTasks = 30;
    constexpr double LongTasks = 0.03;
    constexpr double LongFactor = 7;
    std::normal_distribution<double> noise(0, Spread);
    std::uniform_real_distribution<double> even(0, 1);
    std::uniform_int_distribution<unsigned> any(0, static_cast<unsigned>(durations.size()) - 1);
    for (unsigned step = 0; step < samples * durations.size() / StepTasks; ++step) {
        std::vector<double> ordinary;
        const auto nominal = 1000 + 9000 * even(random);
        for (unsigned task = 0; task < StepTasks; ++task) {
            const auto worker = any(random);
            const auto factor = even(random) < LongTasks ? LongFactor : 1.0;
            const auto duration = std::chrono::milliseconds(std::lround(nominal * durations[worker] * factor * std::exp(noise(random))));
            const auto own = speeds.ordinaryDuration(workerNumbered(worker), duration);
            speeds.addSample(workerNumbered(worker), duration, ordinary);
            ordinary.push_back(own);
        }
    }
}

/// Share of the fastest `count` workers by estimate that have the shortest true duration.
auto shareOfFastest(const WorkerSpeeds &speeds, const std::vector<double> &durations, std::size_t count) -> double
{
    std::vector<std::pair<double, unsigned>> order;
    for (unsigned i = 0; i < durations.size(); ++i) {
        order.emplace_back(speeds.relativeDuration(workerNumbered(i)), i);
    }
    std::sort(order.begin(), order.end());
    const auto fastest = *std::min_element(durations.begin(), durations.end());
    const auto right = std::count_if(order.begin(), order.begin() + static_cast<std::ptrdiff_t>(count), [&](const auto &entry) {
        return durations[entry.second] == fastest;
    });
    return static_cast<double>(right) / static_cast<double>(count);
}
} // namespace

TEST_CASE("the speed of a worker is learned from the durations of its runs", "[dispatch][speeds]")
{
    // Load pattern: the same task takes longer on some workers than on others.
    WorkerSpeeds speeds;
    CHECK(speeds.relativeDuration(Worker) == 1.0);
    CHECK_FALSE(speeds.isChanged());

    SECTION("of which a single one moves the estimate only a little, since its spread is large")
    {
        REQUIRE(speeds.addSample(Worker, 500ms, OneSecond));
        CHECK(speeds.isChanged());
        CHECK(speeds.relativeDuration(Worker) < 0.9);
        CHECK(speeds.relativeDuration(Worker) > 0.7);
    }

    SECTION("until with more of them the estimate is near the truth")
    {
        for (auto i = 0; i < 20; ++i) {
            speeds.addSample(Worker, 500ms, OneSecond);
        }
        CHECK(speeds.relativeDuration(Worker) == Approx(0.5).epsilon(0.2));
        CHECK(speedClassOf(speeds.relativeDuration(Worker)) == SpeedClass::VeryFast);

        // Guards against estimates that keep a worker preferred which a fault has slowed.
        for (auto i = 0; i < 8; ++i) {
            speeds.addSample(Worker, 2'000ms, OneSecond);
        }
        CHECK(speedClassOf(speeds.relativeDuration(Worker)) >= SpeedClass::Slow);
    }

    SECTION("where a task that is long itself tells nothing of its worker")
    {
        CHECK_FALSE(speeds.addSample(Worker, 7'000ms, OneSecond));
        CHECK(speeds.relativeDuration(Worker) == 1.0);
    }

    SECTION("where the median of the other tasks is not moved by long ones")
    {
        auto others = OneSecond;
        others.front() = std::log(7000.0);
        REQUIRE(speeds.addSample(Worker, 1'000ms, others));
        CHECK(speeds.relativeDuration(Worker) == Approx(1.0));
    }

    SECTION("but not without other tasks to compare with, or from a run without a duration")
    {
        CHECK_FALSE(speeds.addSample(Worker, 500ms, {}));
        CHECK_FALSE(speeds.addSample(Worker, 500ms, {std::log(1000.0)}));
        CHECK_FALSE(speeds.addSample(Worker, 0ms, OneSecond));
        CHECK_FALSE(speeds.isChanged());
    }
}

TEST_CASE("workers of a step on slow workers only stay slow", "[dispatch][speeds]")
{
    // Load pattern: bulk runs on slow workers, because fast ones are left to urgent work. Compared with each other they would look ordinary.
    std::mt19937 random(7);
    std::vector<double> durations(60, 1.25);
    std::fill(durations.begin(), durations.begin() + 30, 0.8);
    WorkerSpeeds speeds;
    learn(speeds, durations, 12, random);
    std::normal_distribution<double> noise(0, Spread);
    for (auto step = 0; step < 60; ++step) {
        std::vector<double> ordinary;
        for (unsigned worker = 30; worker < 60; ++worker) {
            const auto duration = std::chrono::milliseconds(std::lround(5000 * 1.25 * std::exp(noise(random))));
            const auto own = speeds.ordinaryDuration(workerNumbered(worker), duration);
            speeds.addSample(workerNumbered(worker), duration, ordinary);
            ordinary.push_back(own);
        }
    }
    double fast = 0;
    double slow = 0;
    for (unsigned worker = 0; worker < 30; ++worker) {
        fast += speeds.relativeDuration(workerNumbered(worker)) / 30;
        slow += speeds.relativeDuration(workerNumbered(worker + 30)) / 30;
    }
    CHECK(slow / fast > 1.25);
}

TEST_CASE("with the samples of a short time most fast workers are recognised", "[dispatch][speeds]")
{
    // Load pattern: a quarter of 350 workers takes half the time, or a third each takes 0.8, 1.0 and 1.25 of it; about 9 samples a worker.
    std::mt19937 random(11);
    WorkerSpeeds speeds;
    std::vector<double> durations(350, 1.2);

    SECTION("where a quarter is more than twice as fast")
    {
        std::fill(durations.begin(), durations.begin() + 88, 0.55);
        learn(speeds, durations, 4, random);
        CHECK(shareOfFastest(speeds, durations, 80) > 0.85);
        learn(speeds, durations, 5, random);
        CHECK(shareOfFastest(speeds, durations, 80) > 0.95);
    }

    SECTION("where the differences are smaller than the spread of a sample")
    {
        for (unsigned i = 0; i < durations.size(); ++i) {
            durations[i] = i % 3 == 0 ? 0.8 : i % 3 == 1 ? 1.0 : 1.25;
        }
        learn(speeds, durations, 9, random);
        CHECK(shareOfFastest(speeds, durations, 80) > 0.75);
    }

    SECTION("and where all are equally fast, few are classed otherwise")
    {
        learn(speeds, durations, 9, random);
        CHECK(speeds.countByClass().at(static_cast<std::size_t>(SpeedClass::Ordinary)) > 250);
    }
}

TEST_CASE("classes of speed do not tell workers apart that are nearly as fast as an ordinary one", "[dispatch][speeds]")
{
    CHECK(speedClassOf(1.0) == SpeedClass::Ordinary);
    CHECK(speedClassOf(0.9) == SpeedClass::Ordinary);
    CHECK(speedClassOf(1.12) == SpeedClass::Ordinary);
    CHECK(speedClassOf(0.8) == SpeedClass::Fast);
    CHECK(speedClassOf(0.55) == SpeedClass::VeryFast);
    CHECK(speedClassOf(0.01) == SpeedClass::VeryFast);
    CHECK(speedClassOf(1.25) == SpeedClass::Slow);
    CHECK(speedClassOf(100) == SpeedClass::VerySlow);
}

TEST_CASE("a record of speeds restores what was learned", "[dispatch][speeds][records]")
{
    // Failure: the leader is replaced, and its successor would have to learn anew.
    constexpr std::size_t Limit = 262'144;
    std::mt19937 random(3);
    std::vector<double> durations(350, 1.2);
    std::fill(durations.begin(), durations.begin() + 88, 0.55);
    WorkerSpeeds speeds;
    learn(speeds, durations, 9, random);
    const auto record = speeds.encode(Limit);
    CHECK_FALSE(speeds.isChanged());
    WorkerSpeeds successor;

    SECTION("in a few bytes for each worker")
    {
        CAPTURE(record.size());
        CHECK(record.size() < 350 * 32);
        const auto restored = successor.restore(record);
        REQUIRE(isOk(restored));
        CHECK(valueOf(restored) == 350);
        CHECK_FALSE(successor.isChanged());
        for (unsigned worker = 0; worker < 350; ++worker) {
            const auto id = workerNumbered(worker);
            CHECK(successor.relativeDuration(id) == Approx(speeds.relativeDuration(id)).epsilon(0.02));
        }
    }

    SECTION("unless it is truncated anywhere")
    {
        REQUIRE(isOk(successor.restore(record)));
        const auto before = successor.relativeDuration(workerNumbered(0));
        for (std::size_t size = 0; size < record.size(); size += 37) {
            CHECK_FALSE(isOk(successor.restore(record.substr(0, size))));
        }
        CHECK(successor.relativeDuration(workerNumbered(0)) == before);
    }

    SECTION("unless it is foreign or out of range")
    {
        const auto withWorkers = [](const std::string &workers) {
            return R"({"format":"worker-speeds-1","workers":)" + workers + "}";
        };
        CHECK(isOk(successor.restore(withWorkers("{}"))));
        CHECK(isOk(successor.restore(withWorkers(R"({"w":[-50,300]})"))));
        CHECK(successor.relativeDuration(WorkerId("w")) < 0.8);
        for (const auto &malformed : {withWorkers("[]"),
                                      withWorkers(R"({"w":[-50]})"),
                                      withWorkers(R"({"w":[-50,"1"]})"),
                                      withWorkers(R"({"w":[-101,100]})"),
                                      withWorkers(R"({"w":[-5e300,100]})"),
                                      withWorkers(R"({"w":[99999999999999999999,100]})"),
                                      withWorkers(R"({"w":[18446744073709551615,100]})"),
                                      withWorkers(R"({"w":[0,0]})"),
                                      withWorkers(R"({"w":[0,-1]})"),
                                      withWorkers(R"({"w":{"0":0,"1":1}})"),
                                      std::string(R"({"format":"worker-speeds-2","workers":{}})"),
                                      std::string(R"({"format":7,"workers":{}})"),
                                      std::string("null"),
                                      std::string("\0\xff\x01", 3),
                                      std::string(200'000, '['),
                                      withWorkers(std::string(100'000, '[') + std::string(100'000, ']'))}) {
            CAPTURE(malformed.substr(0, 80));
            CHECK_FALSE(isOk(successor.restore(malformed)));
        }
        CHECK(successor.relativeDuration(WorkerId("w")) < 0.8);
    }

    SECTION("of the workers with the latest samples if it would exceed the store's limit")
    {
        speeds.addSample(workerNumbered(5), 1'000ms, OneSecond);
        const auto small = speeds.encode(record.size() / 3);
        CHECK(small.size() <= record.size() / 3);
        const auto restored = successor.restore(small);
        REQUIRE(isOk(restored));
        CHECK(valueOf(restored) > 50);
        CHECK(successor.relativeDuration(workerNumbered(5)) == Approx(speeds.relativeDuration(workerNumbered(5))).epsilon(0.02));
    }
}
