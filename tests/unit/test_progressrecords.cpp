#include "marjoramfold/dispatch/progressrecord.h"
#include "tests/support/simulatedfleet.h"

#include <catch2/catch.hpp>

#include <cstdint>
#include <cstring>
#include <string>

using namespace Marjoramfold;
using namespace Marjoramfold::Test;
using namespace std::chrono_literals;

// The records of the progress of jobs, which the store limits in size.

namespace
{
const JobId FirstJob("00000000000000a1");
/// A task of which over a thousand fit on a worker.
constexpr ResourceVector TinyTask{100, 64, 0};

/// State of a job whose tasks all run on workers with long ids.
auto runningJob(const JobPlan &plan, const std::string &checkpoint) -> OccurrenceState
{
    Submission submission;
    submission.plan_ = plan;
    auto occurrence = makeTrackedJob(submission).occurrences_.front();
    for (auto &step : occurrence.steps_) {
        for (auto &task : step.tasks_) {
            task.lastRun_ = 7;
            task.worker_ = WorkerId(std::string(250, 'w'));
            task.checkpoint_ = checkpoint;
        }
    }
    return occurrence;
}
/// One record with the tasks of two: each begins with a byte for the byte order and the number of its tasks.
auto joined(std::string first, const std::string &second) -> std::string
{
    constexpr std::size_t CountAt = 1;
    std::uint64_t count = 0;
    std::uint64_t added = 0;
    std::memcpy(&count, first.data() + CountAt, sizeof(count));
    std::memcpy(&added, second.data() + CountAt, sizeof(added));
    count += added;
    std::memcpy(first.data() + CountAt, &count, sizeof(count));
    return first + second.substr(CountAt + sizeof(count));
}
} // namespace

TEST_CASE("progress is divided into records of a limited number of tasks", "[dispatch][records]")
{
    JobPlan plan;
    plan.steps_.resize(2);
    plan.steps_[0].count_ = TasksPerProgressRecord - 1;
    plan.steps_[1].count_ = TasksPerProgressRecord + 2;
    CHECK(progressPartCount(plan) == 3);
    CHECK(progressPartOf(plan, 0, TasksPerProgressRecord - 2) == 0);
    CHECK(progressPartOf(plan, 1, 0) == 0);
    CHECK(progressPartOf(plan, 1, 1) == 1);
    CHECK(progressPartOf(plan, 1, TasksPerProgressRecord + 1) == 2);
    auto state = runningJob(plan, "0000");
    state.steps_[1].tasks_[1].done_ = true;

    SECTION("which together restore the whole state")
    {
        auto restored = runningJob(plan, "");
        for (std::uint32_t part = 0; part < 3; ++part) {
            const auto lastPart = decodeProgress(encodeProgress(state, part, StoredCheckpoints::All), plan, restored);
            REQUIRE(isOk(lastPart));
            CHECK(valueOf(lastPart) == part);
        }
        CHECK(restored.steps_[1].done_ == 1);
        CHECK(restored.steps_[0].tasks_[0].checkpoint_ == "0000");
        CHECK(restored.steps_[1].tasks_[TasksPerProgressRecord + 1].checkpoint_ == "0000");
    }

    SECTION("of which each is within the limit of the store, even with the longest worker ids")
    {
        CHECK(encodeProgress(state, 1, StoredCheckpoints::All).size() < 262'144);
    }

    SECTION("and without checkpoints when these are too long")
    {
        state = runningJob(plan, std::string(4'000, 'c'));
        CHECK(encodeProgress(state, 0, StoredCheckpoints::All).size() > 262'144);
        CHECK(encodeProgress(state, 0, StoredCheckpoints::None).size() < 262'144);
    }

    SECTION("a record that names a task the job does not have changes nothing")
    {
        JobPlan other = plan;
        other.steps_[1].count_ = 1;
        auto restored = runningJob(other, "");
        CHECK_FALSE(isOk(decodeProgress(encodeProgress(state, 1, StoredCheckpoints::All), other, restored)));
        CHECK(restored.steps_[1].done_ == 0);
    }

    SECTION("their keys can be read back")
    {
        for (const auto part : {0U, 1U, 78U}) {
            const ProgressKey key{FirstJob, 12, part};
            CHECK(parseProgressKey(toString(key)) == key);
        }
        CHECK(toString(ProgressKey{FirstJob, 12, 0}) == FirstJob.value() + ".12");
        for (const auto *text : {"", "a1", "a1.", "a1.x", "a1.1.", "a1.1.x", "a1.1.2.3", "a1.99999999999"}) {
            INFO(text);
            CHECK_FALSE(parseProgressKey(text).has_value());
        }
    }
}

TEST_CASE("the progress that a version without divided records stored is restored and divided", "[dispatch][records]")
{
    // Guards against tasks that run again because the first change replaces the one record that contained all of them.
    SimulatedFleet fleet;
    fleet.addWorkers(3, "zone-1", "r1-1");
    auto wide = makeSubmission(FirstJob.value(), "batch", 2 * TasksPerProgressRecord, TinyTask);
    auto state = makeTrackedJob(wide).occurrences_.front();
    for (auto &task : state.steps_[0].tasks_) {
        task.done_ = true;
        task.lastRun_ = 1;
    }
    state.steps_[0].tasks_[0].done_ = false;
    fleet.submit(wide);
    fleet.storeProgress(FirstJob.value() + ".0", joined(encodeProgress(state, 0, StoredCheckpoints::All), encodeProgress(state, 1, StoredCheckpoints::All)));
    fleet.startLeader();
    fleet.advance(3s);
    CHECK(fleet.phaseOf(FirstJob) == JobPhase::Completed);
    CHECK(fleet.starts_[FirstJob].size() == 1);
    fleet.startLeader();
    fleet.advance(1s);
    CHECK(fleet.starts_[FirstJob].size() == 1);
    CHECK(fleet.violations_ == std::vector<std::string>{});
}
