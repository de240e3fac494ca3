#include "marjoramfold/worker/workermessages.h"

#include "marjoramfold/core/namedvalues.h"

#include <nlohmann/json.hpp>

#include <array>
#include <utility>

namespace Marjoramfold
{
namespace
{
using Json = nlohmann::json;

constexpr std::array CommandKindNames{
    NamedValue<WorkerCommandKind>{WorkerCommandKind::Hold, "hold"},
    NamedValue<WorkerCommandKind>{WorkerCommandKind::Start, "start"},
    NamedValue<WorkerCommandKind>{WorkerCommandKind::Renew, "renew"},
    NamedValue<WorkerCommandKind>{WorkerCommandKind::Checkpoint, "checkpoint"},
    NamedValue<WorkerCommandKind>{WorkerCommandKind::Throttle, "throttle"},
    NamedValue<WorkerCommandKind>{WorkerCommandKind::Stop, "stop"},
    NamedValue<WorkerCommandKind>{WorkerCommandKind::Probe, "probe"},
};

constexpr std::array TaskStateNames{
    NamedValue<WorkerTaskState>{WorkerTaskState::Held, "held"},
    NamedValue<WorkerTaskState>{WorkerTaskState::Running, "running"},
    NamedValue<WorkerTaskState>{WorkerTaskState::Stopping, "stopping"},
    NamedValue<WorkerTaskState>{WorkerTaskState::Finished, "finished"},
    NamedValue<WorkerTaskState>{WorkerTaskState::Failed, "failed"},
    NamedValue<WorkerTaskState>{WorkerTaskState::Lapsed, "lapsed"},
    NamedValue<WorkerTaskState>{WorkerTaskState::Stopped, "stopped"},
};

/// Thrown by decoders for valid JSON that the protocol does not allow.
struct InvalidValue : std::runtime_error {
    using std::runtime_error::runtime_error;
};

template<typename Names>
auto valueOfName(const Names &names, const std::string &wanted) -> typename Names::value_type::first_type
{
    const auto value = valueNamed(names, wanted);
    if (!value) {
        throw InvalidValue("unknown kind or state '" + wanted + "'");
    }
    return *value;
}

auto taskFromJson(const Json &json) -> TaskId
{
    TaskId task;
    const auto text = json.get<std::string>();
    if (!text.empty() && !parseTaskId(text, task)) {
        throw InvalidValue("malformed task identifier '" + text + "'");
    }
    return task;
}

auto taskToJson(const TaskId &task) -> std::string
{
    return task.job_.isEmpty() ? std::string() : toString(task);
}

auto readMilliseconds(const Json &json, const char *key) -> std::chrono::milliseconds
{
    return std::chrono::milliseconds(json.value(key, std::int64_t(0)));
}

/// Runs a decoder and converts its exceptions into an error.
template<typename Value, typename Decode>
auto decodeWith(std::string_view text, Decode decode) -> Result<Value>
{
    try {
        return decode(Json::parse(text));
    } catch (const std::exception &exception) {
        return Error{ErrorKind::Malformed, std::string("malformed worker message: ") + exception.what(), std::nullopt};
    }
}

auto commandToJson(const WorkerCommand &command) -> Json
{
    Json json{{"kind", toString(command.kind_)}, {"task", taskToJson(command.task_)}, {"lease_ms", command.lease_.count()}};
    switch (command.kind_) {
    case WorkerCommandKind::Hold:
        json["resources"] = resourcesToJson(command.resources_);
        break;
    case WorkerCommandKind::Start:
        json["since_hold_ms"] = command.sinceHold_.count();
        json["progress_ms"] = command.progress_.count();
        json["payload"] = command.payload_;
        break;
    case WorkerCommandKind::Stop:
        json["grace_ms"] = command.grace_.count();
        break;
    default:
        break;
    }
    return json;
}

auto commandFromJson(const Json &json) -> WorkerCommand
{
    WorkerCommand command;
    command.kind_ = valueOfName(CommandKindNames, json.at("kind").get<std::string>());
    command.task_ = taskFromJson(json.at("task"));
    command.lease_ = readMilliseconds(json, "lease_ms");
    command.sinceHold_ = readMilliseconds(json, "since_hold_ms");
    command.progress_ = readMilliseconds(json, "progress_ms");
    command.grace_ = readMilliseconds(json, "grace_ms");
    command.payload_ = json.value("payload", std::string());
    if (command.kind_ == WorkerCommandKind::Hold) {
        command.resources_ = resourcesFromJson(json.at("resources"));
    }
    return command;
}

auto resultToJson(const WorkerCommandResult &result) -> Json
{
    Json json{{"kind", toString(result.kind_)}, {"task", taskToJson(result.task_)}, {"progress_ms", result.progress_.count()}};
    if (result.error_) {
        json["error"] = {{"kind", errorAnswer(result.error_->kind_).name_}, {"message", result.error_->message_}};
    }
    return json;
}

auto resultFromJson(const Json &json) -> WorkerCommandResult
{
    WorkerCommandResult result;
    result.kind_ = valueOfName(CommandKindNames, json.at("kind").get<std::string>());
    result.task_ = taskFromJson(json.at("task"));
    result.progress_ = readMilliseconds(json, "progress_ms");
    if (json.contains("error")) {
        const auto &error = json.at("error");
        const auto kind = errorKindFromName(error.at("kind").get<std::string>());
        result.error_ = Error{kind.value_or(ErrorKind::Internal), error.value("message", std::string()), std::nullopt};
    }
    return result;
}

auto taskReportToJson(const WorkerTask &task) -> Json
{
    return {{"task", taskToJson(task.task_)},
            {"state", toString(task.state_)},
            {"resources", resourcesToJson(task.resources_)},
            {"used", resourcesToJson(task.used_)},
            {"usage_lag_ms", task.usageLag_.count()},
            {"progress_ms", task.progress_.count()},
            {"reason", task.reason_}};
}

auto taskReportFromJson(const Json &json) -> WorkerTask
{
    WorkerTask task;
    task.task_ = taskFromJson(json.at("task"));
    task.state_ = valueOfName(TaskStateNames, json.at("state").get<std::string>());
    task.resources_ = resourcesFromJson(json.at("resources"));
    task.used_ = resourcesFromJson(json.at("used"));
    task.usageLag_ = readMilliseconds(json, "usage_lag_ms");
    task.progress_ = readMilliseconds(json, "progress_ms");
    task.reason_ = json.value("reason", std::string());
    return task;
}
} // namespace

auto toString(WorkerCommandKind kind) -> std::string_view
{
    return nameOf(CommandKindNames, kind);
}

auto toString(WorkerTaskState state) -> std::string_view
{
    return nameOf(TaskStateNames, state);
}

auto resourcesToJson(const Resources &resources) -> nlohmann::json
{
    return {{"accelerators", resources.accelerators_}, {"cores", resources.cores_}, {"memory_mb", resources.memoryMb_}};
}

auto resourcesFromJson(const nlohmann::json &json) -> Resources
{
    Resources resources{json.at("accelerators").get<int>(), json.at("cores").get<int>(), json.at("memory_mb").get<std::int64_t>()};
    if (resources.accelerators_ < 0 || resources.cores_ < 0 || resources.memoryMb_ < 0) {
        throw InvalidValue("resources must not be negative");
    }
    return resources;
}

auto encodeBatch(const WorkerCommandBatch &batch) -> std::string
{
    Json commands = Json::array();
    for (const auto &command : batch.commands_) {
        commands.push_back(commandToJson(command));
    }
    return Json{{"epoch", batch.epoch_.claim_}, {"rank", batch.epoch_.rank_}, {"commands", std::move(commands)}}.dump();
}

auto decodeBatch(std::string_view text) -> Result<WorkerCommandBatch>
{
    return decodeWith<WorkerCommandBatch>(text, [](const Json &json) {
        WorkerCommandBatch batch;
        batch.epoch_ = {json.at("epoch").get<Offset>(), json.at("rank").get<std::uint32_t>()};
        for (const auto &command : json.at("commands")) {
            batch.commands_.push_back(commandFromJson(command));
        }
        return batch;
    });
}

auto encodeResults(const std::vector<WorkerCommandResult> &results) -> std::string
{
    Json list = Json::array();
    for (const auto &result : results) {
        list.push_back(resultToJson(result));
    }
    return Json{{"results", std::move(list)}}.dump();
}

auto decodeResults(std::string_view text) -> Result<std::vector<WorkerCommandResult>>
{
    return decodeWith<std::vector<WorkerCommandResult>>(text, [](const Json &json) {
        std::vector<WorkerCommandResult> results;
        for (const auto &result : json.at("results")) {
            results.push_back(resultFromJson(result));
        }
        return results;
    });
}

auto encodeInventory(const WorkerInventory &inventory) -> std::string
{
    Json tasks = Json::array();
    for (const auto &task : inventory.tasks_) {
        tasks.push_back(taskReportToJson(task));
    }
    return Json{{"version", inventory.version_},
                {"capacity", resourcesToJson(inventory.capacity_)},
                {"rack", inventory.rack_.value()},
                {"leaving", inventory.leaving_},
                {"tasks", std::move(tasks)}}
        .dump();
}

auto decodeInventory(std::string_view text) -> Result<WorkerInventory>
{
    return decodeWith<WorkerInventory>(text, [](const Json &json) {
        WorkerInventory inventory;
        inventory.version_ = json.at("version").get<std::uint64_t>();
        inventory.capacity_ = resourcesFromJson(json.at("capacity"));
        inventory.rack_ = RackId(json.at("rack").get<std::string>());
        inventory.leaving_ = json.value("leaving", false);
        for (const auto &task : json.at("tasks")) {
            inventory.tasks_.push_back(taskReportFromJson(task));
        }
        return inventory;
    });
}
} // namespace Marjoramfold
