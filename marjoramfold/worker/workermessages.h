#pragma once

#include "marjoramfold/core/job.h"
#include "marjoramfold/core/result.h"

#include <nlohmann/json_fwd.hpp>

#include <chrono>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Marjoramfold
{
/// Commands of the worker protocol. Hold reserves resources for a task; Start runs a task that is held.
enum class WorkerCommandKind {
    Hold,
    Start,
    Renew,
    Checkpoint,
    Throttle,
    Stop,
    Probe,
};

/// One command to a worker. Fields that a kind does not use keep their defaults.
struct WorkerCommand {
    WorkerCommandKind kind_ = WorkerCommandKind::Hold;
    /// The task; empty for Probe.
    TaskId task_;
    Resources resources_;
    /// Hold, Start, Renew: lease duration, from receipt of the command.
    std::chrono::milliseconds lease_{0};
    /// Start: time since the task's Hold was sent, by the sender's clock.
    std::chrono::milliseconds sinceHold_{0};
    /// Start: run time saved by an earlier checkpoint.
    std::chrono::milliseconds progress_{0};
    /// Stop: time for the task to write a checkpoint.
    std::chrono::milliseconds grace_{0};
    /// Start: input of the task, opaque to the scheduler.
    std::string payload_;
};

/// Commands of one scheduler. The worker refuses the whole batch when it has seen a higher epoch.
struct WorkerCommandBatch {
    Epoch epoch_;
    std::vector<WorkerCommand> commands_;
};

/// Result of one command.
struct WorkerCommandResult {
    WorkerCommandKind kind_ = WorkerCommandKind::Hold;
    TaskId task_;
    std::optional<Error> error_;
    /// Run time saved by checkpoints so far.
    std::chrono::milliseconds progress_{0};
};

/// States of a task on its worker. Held: resources are reserved. Lapsed: the lease expired.
enum class WorkerTaskState {
    Held,
    Running,
    Stopping,
    Finished,
    Failed,
    Lapsed,
    Stopped,
};

/// A task as its worker reports it.
struct WorkerTask {
    TaskId task_;
    WorkerTaskState state_ = WorkerTaskState::Held;
    Resources resources_;
    /// Usage as of the last sample, usageLag_ ago.
    Resources used_;
    std::chrono::milliseconds usageLag_{0};
    /// Run time saved by checkpoints so far.
    std::chrono::milliseconds progress_{0};
    /// Cause of a failure.
    std::string reason_;
};

/// Tasks that a worker holds and runs, and tasks that ended recently.
struct WorkerInventory {
    /// Increases with every change of a task's state; a query can wait for a higher version.
    std::uint64_t version_ = 0;
    Resources capacity_;
    RackId rack_;
    bool leaving_ = false;
    std::vector<WorkerTask> tasks_;
};

[[nodiscard]] auto toString(WorkerCommandKind kind) -> std::string_view;
[[nodiscard]] auto toString(WorkerTaskState state) -> std::string_view;

/// JSON form of resources: accelerators, cores, memory_mb.
[[nodiscard]] auto resourcesToJson(const Resources &resources) -> nlohmann::json;

/// Parses the JSON form of resources; throws a std::exception when it is malformed.
[[nodiscard]] auto resourcesFromJson(const nlohmann::json &json) -> Resources;

[[nodiscard]] auto encodeBatch(const WorkerCommandBatch &batch) -> std::string;
[[nodiscard]] auto decodeBatch(std::string_view text) -> Result<WorkerCommandBatch>;
[[nodiscard]] auto encodeResults(const std::vector<WorkerCommandResult> &results) -> std::string;
[[nodiscard]] auto decodeResults(std::string_view text) -> Result<std::vector<WorkerCommandResult>>;
[[nodiscard]] auto encodeInventory(const WorkerInventory &inventory) -> std::string;
[[nodiscard]] auto decodeInventory(std::string_view text) -> Result<WorkerInventory>;
} // namespace Marjoramfold
