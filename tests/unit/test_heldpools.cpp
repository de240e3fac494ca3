#include "tests/support/simulatedfleet.h"

#include <catch2/catch.hpp>

#include <cstdint>
#include <string>
#include <vector>

using namespace Marjoramfold;
using namespace Marjoramfold::Test;
using namespace std::chrono_literals;

// Accepted work beside free workers: what other pools, lost workers and earlier failures may do to it.

namespace
{
const JobId FirstId("00000000000000a1");
const JobId SecondId("00000000000000a2");

/// Longest time for which a job may have nothing running while there is room for it twice over and the service is under half used.
constexpr std::chrono::milliseconds MaxTimeWithoutRun{3000};
/// Longest time for which a lasting task may not run while there is room for it twice over.
constexpr std::chrono::milliseconds MaxTimeWithoutLastingRun{9000};

/// Time in which a task starts that no preference concerns.
constexpr std::chrono::milliseconds PromptStart{500};

/// A task that needs all resources of a worker.
constexpr ResourceVector FullWorkerTask{128'000, 524'288, 8};

constexpr unsigned LargePoolRacks = 9;
constexpr unsigned WorkersPerRack = 6;

auto isBackground(const TaskRef &task) -> bool
{
    return task.job_.value().find("0b") != std::string::npos;
}

/// Time from the submission to the first start; the time so far without one.
auto timeToStart(SimulatedFleet &fleet, const JobId &job, std::chrono::milliseconds submittedAt) -> std::chrono::milliseconds
{
    const auto &starts = fleet.starts_[job];
    return (starts.empty() ? fleet.now() : starts.front().second) - submittedAt;
}

/// Puts the workers that the fleet has into the pool of the queue "batch", and adds a larger pool whose workers are all in use.
auto addFullPool(SimulatedFleet &fleet) -> void
{
    auto batch = *fleet.config_.queueNamed("batch");
    auto crowd = *fleet.config_.queueNamed("urgent");
    crowd.name_ = "crowd";
    crowd.pool_ = "large-pool";
    fleet.config_ = OperatorConfig(2, {batch, crowd}, {{"pool", false, false}, {"large-pool", false, false}}, {{TeamId("team"), {"key"}, 8}});
    const auto small = fleet.workerIds().size();
    for (unsigned rack = 0; rack < LargePoolRacks; ++rack) {
        fleet.addWorkers(WorkersPerRack, "zone-3", "r3-" + std::to_string(rack));
        for (unsigned i = 0; i < WorkersPerRack; ++i) {
            fleet.worker(WorkerId("w-r3-" + std::to_string(rack) + "-" + std::to_string(i))).entry_.pool_ = "large-pool";
        }
    }
    fleet.work_ = [](const TaskRef &task) {
        return isBackground(task) ? 120'000ms : 2'000ms;
    };
    fleet.startLeader();
    auto job = makeSubmission("00000000000000bf", "crowd", LargePoolRacks * WorkersPerRack, WholeWorkerTask);
    job.plan_.steps_[0].estimate_ = 120s;
    fleet.submit(job);
    fleet.advance(500ms);
    REQUIRE(fleet.workerIds().size() == small + LargePoolRacks * WorkersPerRack);
    REQUIRE(fleet.runningTasks() == LargePoolRacks * WorkersPerRack);
}
} // namespace

TEST_CASE("the idle workers of a pool are not kept because another pool has none", "[dispatch][held]")
{
    // Guards against a reserve that grows with the workers of all pools, so that a small pool keeps all of its workers.
    SimulatedFleet fleet;
    fleet.addWorkers(2, "zone-1", "r1-1");
    addFullPool(fleet);
    const auto submittedAt = fleet.now();

    SECTION("from a task")
    {
        fleet.submit(makeSubmission(FirstId.value(), "batch", 1, WholeWorkerTask));
        fleet.advance(4s);
        CHECK(timeToStart(fleet, FirstId, submittedAt) < PromptStart);
    }

    SECTION("from a gang that needs the whole pool")
    {
        fleet.submit(asGang(makeSubmission(FirstId.value(), "batch", 2, WholeWorkerTask)));
        fleet.advance(4s);
        CHECK(timeToStart(fleet, FirstId, submittedAt) < PromptStart);
    }
    CHECK(fleet.phaseOf(FirstId) == JobPhase::Completed);
    CHECK(fleet.violations_ == std::vector<std::string>{});
}

TEST_CASE("the workers of a pool that is nearly empty are not reserved because another pool is full", "[dispatch][held]")
{
    // Guards against work that waits for blocked gangs although most of its pool is free.
    constexpr unsigned SmallRack = 3;
    SimulatedFleet fleet;
    fleet.addWorkers(SmallRack, "zone-1", "r1-1");
    fleet.addWorkers(SmallRack, "zone-2", "r2-1");
    addFullPool(fleet);
    // One small task in each rack keeps a gang of three whole workers from it.
    for (const std::string rack : {"1", "2"}) {
        auto small = makeSubmission("00000000000000b" + rack, "batch", 1, SmallTask);
        small.plan_.steps_[0].dataRack_ = "r" + rack + "-1";
        small.plan_.steps_[0].estimate_ = 120s;
        fleet.submit(small);
        auto gang = asGang(makeSubmission("00000000000000c" + rack, "batch", SmallRack, WholeWorkerTask));
        gang.plan_.steps_[0].dataRack_ = "r" + rack + "-1";
        gang.plan_.steps_[0].estimate_ = 33s;
        fleet.advance(200ms);
        fleet.submit(gang);
    }
    fleet.advance(2s);
    REQUIRE(fleet.starts_[JobId("00000000000000c1")].empty());
    REQUIRE(fleet.starts_[JobId("00000000000000c2")].empty());

    // Its objective ends after those of the gangs, so it ranks below them.
    const auto submittedAt = fleet.now();
    auto task = makeSubmission(FirstId.value(), "batch", 1, WholeWorkerTask);
    task.plan_.steps_[0].estimate_ = 60s;
    fleet.submit(task);
    fleet.advance(4s);
    CHECK(timeToStart(fleet, FirstId, submittedAt) < PromptStart);
    CHECK(fleet.violations_ == std::vector<std::string>{});
}

TEST_CASE("a start that fails does not begin the wait for other workers anew", "[dispatch][held]")
{
    // Guards against a limit for preferences that a run which never began resets.
    SimulatedFleet fleet;
    fleet.addWorkers(WorkersPerRack, "zone-1", "r1-1");
    fleet.addWorkers(WorkersPerRack, "zone-2", "r2-1");
    fleet.addWorkers(WorkersPerRack, "zone-3", "r3-1");
    fleet.addWorkers(WorkersPerRack, "zone-4", "r4-1");
    fleet.work_ = [](const TaskRef &task) {
        return isBackground(task) ? 120'000ms : 2'000ms;
    };
    fleet.startLeader();
    auto rack = makeSubmission("00000000000000b0", "batch", WorkersPerRack, WholeWorkerTask);
    rack.plan_.steps_[0].dataRack_ = "r1-1";
    rack.plan_.steps_[0].estimate_ = 120s;
    fleet.submit(rack);
    fleet.advance(200ms);
    REQUIRE(fleet.runningTasks() == WorkersPerRack);
    // The processes of idle workers end, which only the next command to them shows.
    for (const auto *id : {"w-r2-1-0", "w-r2-1-1"}) {
        fleet.worker(WorkerId(id)).refusesConnections_ = true;
    }
    const auto submittedAt = fleet.now();
    auto job = makeSubmission(FirstId.value(), "batch", 1, WholeWorkerTask);
    job.plan_.steps_[0].dataRack_ = "r1-1";
    job.plan_.steps_[0].estimate_ = 33s;
    fleet.submit(job);
    fleet.advance(6s);
    CHECK(fleet.worker(WorkerId("w-r2-1-0")).refusedStarts_ == 1);
    CHECK(fleet.worker(WorkerId("w-r2-1-1")).refusedStarts_ == 1);
    CHECK(timeToStart(fleet, FirstId, submittedAt) < MaxTimeWithoutRun);
    CHECK(fleet.violations_ == std::vector<std::string>{});
}

TEST_CASE("the runs of lost workers do not make a service look full", "[dispatch][held]")
{
    // Guards against preferences without a limit until the leases of runs have expired whose workers are gone.
    constexpr unsigned SoundRacks = 3;
    SimulatedFleet fleet;
    fleet.addWorkers(2 * WorkersPerRack, "zone-1", "r1-1");
    for (unsigned rack = 0; rack < SoundRacks; ++rack) {
        fleet.addWorkers(WorkersPerRack, "zone-2", "r2-" + std::to_string(rack));
    }
    fleet.work_ = [](const TaskRef &task) {
        return isBackground(task) ? 120'000ms : 2'000ms;
    };
    fleet.startLeader();
    const auto occupy = [&fleet](const std::string &id, unsigned count, const std::string &rack) {
        auto job = makeSubmission(id, "batch", count, FullWorkerTask);
        job.plan_.steps_[0].dataRack_ = rack;
        job.plan_.steps_[0].estimate_ = 120s;
        fleet.submit(job);
    };
    for (unsigned rack = 0; rack < SoundRacks; ++rack) {
        occupy("00000000000000b" + std::to_string(rack), 1, "r2-" + std::to_string(rack));
    }
    occupy("00000000000000bf", 2 * WorkersPerRack, "r1-1");
    fleet.advance(500ms);
    REQUIRE(fleet.runningTasks() == 2 * WorkersPerRack + SoundRacks);
    for (unsigned i = 0; i < 2 * WorkersPerRack; ++i) {
        auto &worker = fleet.worker(WorkerId("w-r1-1-" + std::to_string(i)));
        worker.reachable_ = false;
        worker.runs_.clear();
    }
    fleet.advance(1500ms);

    const auto submittedAt = fleet.now();
    auto gang = asGang(makeSubmission(FirstId.value(), "batch", WorkersPerRack, FullWorkerTask));
    gang.plan_.steps_[0].estimate_ = 33s;
    fleet.submit(gang);
    fleet.advance(6s);
    CHECK(timeToStart(fleet, FirstId, submittedAt) < MaxTimeWithoutRun);
    CHECK(fleet.violations_ == std::vector<std::string>{});
}

TEST_CASE("a lasting task that lost its worker is restarted on the last idle workers of a full service", "[dispatch][held]")
{
    // A lasting task has to run again however full the service is.
    constexpr unsigned Workers = 70;
    constexpr unsigned IdleWorkers = 4;
    SimulatedFleet fleet;
    fleet.addWorkers(Workers, "zone-1", "r1-1");
    fleet.work_ = [](const TaskRef &) {
        return 120'000ms;
    };
    fleet.startLeader();
    constexpr unsigned LastingTasks = 3;
    auto lasting = makeSubmission(FirstId.value(), "batch", LastingTasks, WholeWorkerTask);
    lasting.plan_.steps_[0].service_ = true;
    fleet.submit(lasting);
    fleet.advance(100ms);
    REQUIRE(fleet.runningTasks() == LastingTasks);
    auto others = makeSubmission("00000000000000b0", "batch", Workers - LastingTasks - IdleWorkers, WholeWorkerTask);
    others.plan_.steps_[0].estimate_ = 120s;
    fleet.submit(others);
    fleet.advance(500ms);
    REQUIRE(fleet.runningTasks() == Workers - IdleWorkers);
    std::vector<WorkerId> hosts;
    for (const auto &id : fleet.workerIds()) {
        const auto &runs = fleet.worker(id).runs_;
        if (!runs.empty() && runs.begin()->first.job_ == FirstId) {
            hosts.push_back(id);
        }
    }
    REQUIRE(hosts.size() == LastingTasks);
    const auto lose = [&fleet](const WorkerId &id) {
        fleet.worker(id).reachable_ = false;
        fleet.worker(id).runs_.clear();
    };
    const auto &starts = fleet.starts_[FirstId];

    SECTION("while the other tasks of its job run")
    {
        const auto lostAt = fleet.now();
        lose(hosts[0]);
        fleet.advance(12s);
        REQUIRE(starts.size() == LastingTasks + 1);
        CHECK(starts[LastingTasks].second - lostAt < MaxTimeWithoutLastingRun);
    }

    SECTION("while another task of its job waits too")
    {
        const auto firstLostAt = fleet.now();
        lose(hosts[0]);
        fleet.advance(1s);
        const auto secondLostAt = fleet.now();
        lose(hosts[1]);
        fleet.advance(12s);
        REQUIRE(starts.size() == LastingTasks + 2);
        CHECK(starts[LastingTasks].second - firstLostAt < MaxTimeWithoutLastingRun);
        CHECK(starts[LastingTasks + 1].second - secondLostAt < MaxTimeWithoutLastingRun);
    }

    SECTION("while leaders follow one another")
    {
        const auto lostAt = fleet.now();
        lose(hosts[0]);
        fleet.advance(6500ms);
        fleet.startLeader();
        fleet.advance(800ms);
        fleet.startLeader();
        fleet.advance(10s);
        REQUIRE(starts.size() == LastingTasks + 1);
        CHECK(starts[LastingTasks].second - lostAt < MaxTimeWithoutLastingRun);
    }
    CHECK(fleet.violations_ == std::vector<std::string>{});
}

TEST_CASE("a task that failed twice on a worker with much room is not kept from it for too long", "[dispatch][held]")
{
    // Guards against a job with nothing running beside the only worker with its label, which has room for it several times.
    SimulatedFleet fleet;
    addTwoRacks(fleet);
    fleet.worker(WorkerId("w-r1-1-0")).entry_.labels_[0] = "b";
    fleet.startLeader();
    fleet.fails_ = [&fleet](const TaskRef &) {
        return fleet.starts_[FirstId].size() <= 2;
    };
    auto job = makeSubmission(FirstId.value(), "batch", 1, SmallTask);
    job.plan_.steps_[0].requiredLabel_ = "b";
    fleet.submit(job);
    fleet.advance(14s);
    const auto &starts = fleet.starts_[FirstId];
    REQUIRE(starts.size() == 3);
    CHECK(starts[2].second - (starts[1].second + DefaultWork) < MaxTimeWithoutRun);
    CHECK(fleet.phaseOf(FirstId) == JobPhase::Completed);
    CHECK(fleet.violations_ == std::vector<std::string>{});
}

TEST_CASE("work does not wait for the end of a quarantine beside idle workers for too long", "[dispatch][held]")
{
    // Guards against a faulty job whose quick failures keep all workers of a small pool from the jobs of others.
    SimulatedFleet fleet;
    fleet.addWorkers(2, "zone-1", "r1-1");
    fleet.startLeader();
    fleet.work_ = [](const TaskRef &task) {
        return task.job_ == FirstId ? 200ms : 2'000ms;
    };
    fleet.fails_ = [](const TaskRef &task) {
        return task.job_ == FirstId;
    };
    auto faulty = makeSubmission(FirstId.value(), "batch", 1, WholeWorkerTask);
    faulty.plan_.steps_[0].estimate_ = 6s;
    fleet.submit(faulty);
    fleet.advance(1s);
    REQUIRE(fleet.starts_[FirstId].size() == 2);
    const auto submittedAt = fleet.now();
    fleet.submit(makeSubmission(SecondId.value(), "batch", 1, WholeWorkerTask));
    fleet.advance(8s);
    CHECK(timeToStart(fleet, SecondId, submittedAt) < MaxTimeWithoutRun);
    CHECK(fleet.violations_ == std::vector<std::string>{});
}

TEST_CASE("a task is not offered again and again to a worker that refuses it", "[dispatch][held]")
{
    // Guards against a job with nothing running beside idle workers, because its placement stays the same after each refusal.
    SimulatedFleet fleet;
    addTwoRacks(fleet);
    fleet.advance(100ms);
    constexpr std::uint32_t NewerRun = 1'000;
    fleet.worker(WorkerId("w-r1-1-0")).highestRun_[{FirstId, 0, 0, 0}] = NewerRun;
    const auto submittedAt = fleet.now();
    fleet.submit(makeSubmission(FirstId.value(), "batch", 1, WholeWorkerTask));
    fleet.advance(6s);
    CHECK(timeToStart(fleet, FirstId, submittedAt) < MaxTimeWithoutRun);
    CHECK(fleet.phaseOf(FirstId) == JobPhase::Completed);
    CHECK(fleet.violations_ == std::vector<std::string>{});
}

TEST_CASE("a start that is refused goes to another worker, or to the same one after a pause", "[dispatch][held]")
{
    // Guards against start commands that follow each other as fast as they are refused, each with an append to the store.
    SimulatedFleet fleet;
    std::size_t refused = 0;
    const auto refuseUntil = [&fleet, &refused](std::chrono::milliseconds end) {
        fleet.startFault_ = [&fleet, &refused, end](const TaskRef &) {
            constexpr auto Refused = 3;
            const auto refuses = fleet.now() < end;
            refused += refuses ? 1 : 0;
            return refuses ? Refused : 0;
        };
    };

    SECTION("when no other worker is suitable")
    {
        fleet.addWorkers(1, "zone-1", "r1-1");
        fleet.startLeader();
        fleet.advance(100ms);
        const auto submittedAt = fleet.now();
        refuseUntil(submittedAt + 5s);
        fleet.submit(makeSubmission(FirstId.value(), "batch", 1, SmallTask));
        fleet.advance(8s);
        // Four a second.
        CHECK(refused <= 25);
        // It starts soon after the worker accepts it.
        CHECK(timeToStart(fleet, FirstId, submittedAt) < 5'500ms);
        CHECK(fleet.phaseOf(FirstId) == JobPhase::Completed);
    }

    SECTION("when all workers refuse a gang")
    {
        addTwoRacks(fleet);
        fleet.advance(100ms);
        const auto submittedAt = fleet.now();
        refuseUntil(submittedAt + 2s);
        fleet.submit(asGang(makeSubmission(FirstId.value(), "urgent", 2, WholeWorkerTask)));
        fleet.advance(8s);
        CHECK(timeToStart(fleet, FirstId, submittedAt) < MaxTimeWithoutRun);
        CHECK(fleet.phaseOf(FirstId) == JobPhase::Completed);
    }

    SECTION("when the tasks of a job are refused together, and the others take them")
    {
        addTwoRacks(fleet);
        fleet.advance(100ms);
        constexpr std::uint32_t NewerRun = 1'000;
        constexpr std::uint32_t Count = 24;
        for (std::uint32_t index = 0; index < Count; ++index) {
            fleet.worker(WorkerId("w-r1-1-0")).highestRun_[{FirstId, 0, 0, index}] = NewerRun;
        }
        fleet.submit(makeSubmission(FirstId.value(), "batch", Count, SmallTask));
        fleet.advance(1s);
        CHECK(fleet.starts_[FirstId].size() == Count);
        CHECK(fleet.worker(WorkerId("w-r1-1-0")).runs_.empty());
    }
    CHECK(fleet.violations_ == std::vector<std::string>{});
}
