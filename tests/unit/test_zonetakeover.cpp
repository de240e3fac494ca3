#include "marjoramfold/entry/zonetakeover.h"

#include <catch2/catch.hpp>

using namespace Marjoramfold;
using namespace std::chrono_literals;

namespace
{
auto jobOfTwo(const char *id, std::uint32_t attempt) -> KnownJob
{
    KnownJob job;
    job.spec_.id_ = JobId(id);
    job.spec_.gangSize_ = 2;
    job.attempt_ = attempt;
    return job;
}

auto report(const char *job, std::uint32_t attempt, std::uint32_t index, WorkerTaskState state) -> WorkerTask
{
    WorkerTask task;
    task.task_ = {JobId(job), attempt, index};
    task.state_ = state;
    task.progress_ = 5s;
    return task;
}

auto inventoryOf(std::vector<WorkerTask> tasks) -> WorkerInventory
{
    WorkerInventory inventory;
    inventory.tasks_ = std::move(tasks);
    return inventory;
}

const WorkerId First("worker-1");
const WorkerId Second("worker-2");
} // namespace

SCENARIO("a takeover reconciles the jobs in the log with the tasks on the workers", "[takeover]")
{
    GIVEN("a job of two tasks at attempt 1 in the log")
    {
        const std::vector<KnownJob> jobs{jobOfTwo("job", 1)};

        WHEN("both members run")
        {
            const auto plan = planTakeover(
                jobs,
                {{First, inventoryOf({report("job", 1, 0, WorkerTaskState::Running)})}, {Second, inventoryOf({report("job", 1, 1, WorkerTaskState::Running)})}},
                {});
            THEN("the gang keeps running and keeps its progress")
            {
                REQUIRE(plan.survivors_.size() == 1);
                CHECK(plan.survivors_[0].placements_.size() == 2);
                CHECK(plan.survivors_[0].job_.progress_ == 5s);
                CHECK(plan.orphans_.empty());
                CHECK(plan.waiting_.empty());
            }
        }
        WHEN("one member runs and the other is only held, because the scheduler failed between the two starts")
        {
            const auto plan = planTakeover(
                jobs,
                {{First, inventoryOf({report("job", 1, 0, WorkerTaskState::Running)})}, {Second, inventoryOf({report("job", 1, 1, WorkerTaskState::Held)})}},
                {});
            THEN("both are stopped and the job is placed again with a new attempt")
            {
                CHECK(plan.orphans_.size() == 2);
                REQUIRE(plan.waiting_.size() == 1);
                CHECK(plan.waiting_[0].attempt_ == 2);
            }
        }
        WHEN("the former scheduler started attempt 4 without a record in the log")
        {
            const auto plan = planTakeover(jobs, {{First, inventoryOf({report("job", 4, 0, WorkerTaskState::Held)})}}, {});
            THEN("the next attempt is 5, since workers refuse task identifiers that they already know")
            {
                REQUIRE(plan.waiting_.size() == 1);
                CHECK(plan.waiting_[0].attempt_ == 5);
                CHECK(plan.orphans_.size() == 1);
            }
        }
        WHEN("a worker does not answer")
        {
            const auto plan = planTakeover(jobs, {{First, inventoryOf({report("job", 1, 0, WorkerTaskState::Running)})}}, {Second});
            THEN("the job is not placed yet, because a member may still run there")
            {
                CHECK(plan.waiting_.empty());
                CHECK(plan.uncertain_.size() == 1);
            }
        }
        WHEN("a member of an older attempt remains next to a complete newer one")
        {
            const auto plan =
                planTakeover(jobs,
                             {{First, inventoryOf({report("job", 2, 0, WorkerTaskState::Running), report("job", 1, 0, WorkerTaskState::Stopping)})},
                              {Second, inventoryOf({report("job", 2, 1, WorkerTaskState::Running)})}},
                             {});
            THEN("only the older member is stopped")
            {
                REQUIRE(plan.survivors_.size() == 1);
                REQUIRE(plan.orphans_.size() == 1);
                CHECK(plan.orphans_[0].task_.attempt_ == 1);
            }
        }
    }
    GIVEN("a worker that runs a task of a job that ended")
    {
        const auto plan = planTakeover({}, {{First, inventoryOf({report("gone", 1, 0, WorkerTaskState::Running)})}}, {});
        THEN("the task is stopped")
        {
            REQUIRE(plan.orphans_.size() == 1);
            CHECK(plan.orphans_[0].worker_ == First);
        }
    }
}
