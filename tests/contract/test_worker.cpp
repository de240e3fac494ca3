#include "marjoramfold/worker/workerclient.h"
#include "standins/worker/workerserver.h"

#include <catch2/catch.hpp>

#include <thread>

using namespace Marjoramfold;
using namespace std::chrono_literals;

namespace
{
constexpr Epoch CurrentEpoch{10, 0};

/// A worker that is reached through its command protocol, so that another implementation can be substituted.
class WorkerUnderTest
{
public:
    WorkerUnderTest()
        : server_(context_, {"127.0.0.1", 0, "", WorkerId("worker-1"), AvailabilityZoneId("zone-a"), RackId("rack-1"), {8, 16, 1'000}, 0ms})
        , http_(context_)
        , client_(http_)
        , address_("127.0.0.1:" + std::to_string(server_.start()))
    {
    }

    auto send(const std::vector<WorkerCommand> &commands, Epoch epoch = CurrentEpoch) -> Result<std::vector<WorkerCommandResult>>
    {
        Result<std::vector<WorkerCommandResult>> answer;
        client_.send(address_, {epoch, commands}, "", [&](auto results) {
            answer = std::move(results);
            context_.stop();
        });
        context_.restart();
        context_.run();
        return answer;
    }

    auto inventory(Epoch epoch = CurrentEpoch, std::uint64_t after = 0, std::chrono::milliseconds wait = 0ms) -> Result<WorkerInventory>
    {
        Result<WorkerInventory> answer;
        client_.fetchInventory(address_, epoch, after, wait, [&](auto result) {
            answer = std::move(result);
            context_.stop();
        });
        context_.restart();
        context_.run();
        return answer;
    }

    /// Sends one command and returns the kind of its error, if it has one.
    auto sendOne(const WorkerCommand &command) -> std::optional<ErrorKind>
    {
        const auto answer = send({command});
        REQUIRE(isOk(answer));
        const auto &error = valueOf(answer).front().error_;
        return error ? std::optional(error->kind_) : std::nullopt;
    }

    auto stateOf(const TaskId &task) -> std::optional<WorkerTaskState>
    {
        const auto listed = inventory();
        REQUIRE(isOk(listed));
        for (const auto &entry : valueOf(listed).tasks_) {
            if (entry.task_ == task) {
                return entry.state_;
            }
        }
        return std::nullopt;
    }

private:
    asio::io_context context_;
    Standins::WorkerServer server_;
    HttpClient http_;
    WorkerClient client_;
    std::string address_;
};

const TaskId Task{JobId("job"), 1, 0};

auto hold(std::chrono::milliseconds lease = 60s, const TaskId &task = Task, Resources resources = {4, 8, 500}) -> WorkerCommand
{
    WorkerCommand command;
    command.kind_ = WorkerCommandKind::Hold;
    command.task_ = task;
    command.lease_ = lease;
    command.resources_ = resources;
    return command;
}

auto start(std::chrono::milliseconds lease = 60s, const std::string &payload = R"({"run_ms":60000})") -> WorkerCommand
{
    WorkerCommand command;
    command.kind_ = WorkerCommandKind::Start;
    command.task_ = Task;
    command.lease_ = lease;
    command.sinceHold_ = 60s;
    command.payload_ = payload;
    return command;
}

auto stop(std::chrono::milliseconds grace = 0ms) -> WorkerCommand
{
    WorkerCommand command;
    command.kind_ = WorkerCommandKind::Stop;
    command.task_ = Task;
    command.grace_ = grace;
    return command;
}

auto renew() -> WorkerCommand
{
    WorkerCommand command;
    command.kind_ = WorkerCommandKind::Renew;
    command.task_ = Task;
    command.lease_ = 60s;
    return command;
}

/// Commands sent in order, the expected error of the last one and the expected state of the task.
struct CommandCase {
    const char *name_;
    std::vector<WorkerCommand> commands_;
    std::optional<ErrorKind> lastError_;
    std::optional<WorkerTaskState> state_;
};

auto lateStart() -> WorkerCommand
{
    auto command = start();
    command.sinceHold_ = -5s;
    return command;
}

auto commandCases() -> std::vector<CommandCase>
{
    return {
        {"a hold reserves and starts nothing", {hold()}, std::nullopt, WorkerTaskState::Held},
        {"a repeated hold reserves once", {hold(), hold()}, std::nullopt, WorkerTaskState::Held},
        {"a hold beyond the capacity is refused", {hold(60s, Task, {9, 1, 1})}, ErrorKind::NotRun, std::nullopt},
        {"a start after a hold runs", {hold(), start()}, std::nullopt, WorkerTaskState::Running},
        {"a repeated start runs once", {hold(), start(), start()}, std::nullopt, WorkerTaskState::Running},
        {"a start without a hold is refused", {start()}, ErrorKind::NotRun, std::nullopt},
        {"a start that was delayed beyond its hold is refused", {hold(), lateStart()}, ErrorKind::NotRun, WorkerTaskState::Held},
        {"a start after the hold lapsed is refused", {hold(0ms), start()}, ErrorKind::NotRun, WorkerTaskState::Lapsed},
        {"a running task lapses when its lease expires", {hold(), start(0ms)}, std::nullopt, WorkerTaskState::Lapsed},
        {"a renewal of a lapsed task is refused", {hold(), start(0ms), renew()}, ErrorKind::NotFound, WorkerTaskState::Lapsed},
        {"a renewal of a held task is refused", {hold(), renew()}, ErrorKind::NotFound, WorkerTaskState::Held},
        {"a stop ends a running task", {hold(), start(), stop()}, std::nullopt, WorkerTaskState::Stopped},
        {"a repeated stop has no effect", {hold(), start(), stop(), stop()}, std::nullopt, WorkerTaskState::Stopped},
        {"a hold that arrives after a stop is refused", {stop(), hold()}, ErrorKind::NotRun, WorkerTaskState::Stopped},
        {"a start that arrives after a stop is refused", {hold(), stop(), start()}, ErrorKind::NotRun, WorkerTaskState::Stopped},
        {"a task that fails is reported as failed", {hold(), start(60s, R"({"fails":true})")}, std::nullopt, WorkerTaskState::Failed},
    };
}
} // namespace

SCENARIO("a worker implements the command protocol", "[worker]")
{
    for (const auto &row : commandCases()) {
        DYNAMIC_SECTION(row.name_)
        {
            WorkerUnderTest worker;
            std::optional<ErrorKind> lastError;
            for (const auto &command : row.commands_) {
                lastError = worker.sendOne(command);
            }
            CHECK(lastError == row.lastError_);
            CHECK(worker.stateOf(Task) == row.state_);
        }
    }
}

SCENARIO("a worker refuses schedulers with a lower epoch", "[worker]")
{
    WorkerUnderTest worker;
    REQUIRE_FALSE(worker.sendOne(hold()));
    GIVEN("a newer scheduler that has only queried the inventory")
    {
        const auto newer = GENERATE(Epoch{11, 0}, Epoch{10, 1});
        REQUIRE(isOk(worker.inventory(newer)));
        THEN("commands and queries of the earlier one are refused and change nothing")
        {
            const auto commands = worker.send({start()});
            REQUIRE_FALSE(isOk(commands));
            CHECK(errorOf(commands).kind_ == ErrorKind::StaleEpoch);
            CHECK_FALSE(isOk(worker.inventory(CurrentEpoch)));
            const auto listed = worker.inventory(newer);
            REQUIRE(isOk(listed));
            CHECK(valueOf(listed).tasks_.front().state_ == WorkerTaskState::Held);
        }
    }
}

SCENARIO("a waiting inventory query returns when a task ends", "[worker]")
{
    WorkerUnderTest worker;
    REQUIRE_FALSE(worker.sendOne(hold()));
    REQUIRE_FALSE(worker.sendOne(start(60s, R"({"run_ms":50})")));
    const auto before = worker.inventory();
    REQUIRE(isOk(before));
    const auto after = worker.inventory(CurrentEpoch, valueOf(before).version_, 30s);
    REQUIRE(isOk(after));
    CHECK(valueOf(after).tasks_.front().state_ == WorkerTaskState::Finished);
    THEN("a task whose end was already reported is not listed again")
    {
        const auto again = worker.inventory(CurrentEpoch, valueOf(after).version_, 0ms);
        REQUIRE(isOk(again));
        CHECK(valueOf(again).tasks_.empty());
    }
}
