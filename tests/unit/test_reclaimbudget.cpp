#include "marjoramfold/dispatch/reclaimbudget.h"

#include <catch2/catch.hpp>

#include <cstdint>
#include <memory>
#include <string>

using namespace Marjoramfold;

namespace
{
const TeamId Rich("rich");
const TeamId Poor("poor");
constexpr std::int64_t Guaranteed = 8;

/// Adds a run of a team to a worker, which is created when it does not exist.
auto addRun(WorkerSessionMap &sessions, const std::string &worker, const TaskRef &task, const TeamId &team, std::int64_t accelerators, std::uint32_t gangSize)
    -> RunKey
{
    auto &session = sessions[WorkerId(worker)];
    if (!session) {
        session = std::make_unique<WorkerSession>();
    }
    WorkerRun run;
    run.stage_ = RunStage::Running;
    run.team_ = team;
    run.demand_ = {1000, 1000, accelerators};
    run.gangSize_ = gangSize;
    const RunKey key{task, 1};
    session->runs_[key] = run;
    return key;
}
} // namespace

TEST_CASE("a budget gives out what a team uses beyond its guarantee, and no more", "[dispatch][guarantee]")
{
    WorkerSessionMap sessions;
    const JobId job("00000000000000a1");
    const auto single = addRun(sessions, "one", {job, 0, 0, 0}, Rich, 4, 1);
    const auto firstMember = addRun(sessions, "one", {job, 0, 1, 0}, Rich, 2, 2);
    const auto secondMember = addRun(sessions, "two", {job, 0, 1, 1}, Rich, 2, 2);
    const auto runOf = [&sessions](const char *worker, const RunKey &key) -> WorkerRun & {
        return sessions.at(WorkerId(worker))->runs_.at(key);
    };
    const auto budget = [&sessions] {
        return ReclaimBudget(sessions, [](const TeamId &) {
            return Guaranteed;
        });
    };

    SECTION("a team at its guarantee keeps all")
    {
        auto left = budget();
        CHECK_FALSE(left.take(single, runOf("one", single)));
        CHECK_FALSE(left.take(firstMember, runOf("one", firstMember)));
    }

    SECTION("a gang counts once and as a whole")
    {
        addRun(sessions, "two", {job, 0, 2, 0}, Rich, 4, 1);
        auto left = budget();
        CHECK(left.take(firstMember, runOf("one", firstMember)));
        CHECK(left.take(secondMember, runOf("two", secondMember)));
        CHECK_FALSE(left.take(single, runOf("one", single)));
    }

    SECTION("what is stopping already is not in use, and neither is the rest of its gang")
    {
        addRun(sessions, "two", {job, 0, 2, 0}, Rich, 4, 1);
        runOf("two", secondMember).stage_ = RunStage::Stopping;
        auto left = budget();
        CHECK_FALSE(left.take(single, runOf("one", single)));
        CHECK(left.take(firstMember, runOf("one", firstMember)));
    }

    SECTION("a team below its guarantee has nothing to give, and work without accelerators gives none")
    {
        const auto other = addRun(sessions, "two", {JobId("00000000000000b1"), 0, 0, 0}, Poor, 4, 1);
        const auto idle = addRun(sessions, "two", {JobId("00000000000000a2"), 0, 0, 0}, Rich, 0, 1);
        addRun(sessions, "two", {job, 0, 2, 0}, Rich, 4, 1);
        auto left = budget();
        CHECK_FALSE(left.take(other, runOf("two", other)));
        CHECK_FALSE(left.take(idle, runOf("two", idle)));
    }

    SECTION("a run that is within the guarantee only in part is beyond it")
    {
        // Guards against a guarantee that is never met because the excess of the others is smaller than each of their runs.
        const auto part = addRun(sessions, "two", {job, 0, 2, 0}, Rich, 3, 1);
        const auto other = addRun(sessions, "two", {job, 0, 3, 0}, Rich, 4, 2);
        addRun(sessions, "three", {job, 0, 3, 1}, Rich, 4, 2);
        auto left = budget();
        // Of 4, 4, 3 and 8 accelerators the first two, or the last one, fill the guarantee of 8.
        CHECK(left.excessOf(Rich) == 11);
        CHECK(left.totalExcess() == 11);
        CHECK(left.take(part, runOf("two", part)));
        CHECK(left.take(other, runOf("two", other)));
        CHECK_FALSE(left.take(single, runOf("one", single)));
    }

    SECTION("what is left of a guarantee by runs that do not fill it is not given out either")
    {
        constexpr std::int64_t Fill = 5;
        runOf("one", single).demand_.accelerators_ = Fill;
        runOf("one", firstMember).stage_ = RunStage::Stopping;
        const auto second = addRun(sessions, "two", {job, 0, 2, 0}, Rich, Fill, 1);
        auto left = budget();
        CHECK(left.excessOf(Rich) == Fill);
        CHECK(left.take(second, runOf("two", second)));
        CHECK_FALSE(left.take(single, runOf("one", single)));
    }

    SECTION("less urgent work has no guarantee")
    {
        runOf("one", single).priority_ = 2;
        auto left = budget();
        CHECK(left.take(single, runOf("one", single)));
        CHECK_FALSE(left.take(firstMember, runOf("one", firstMember)));
    }
}
