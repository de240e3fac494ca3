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
/// Kinds of commands that a worker takes.
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
    /// Hold, Start, Renew: lease from the receipt of the command.
    std::chrono::milliseconds lease_{0};
    /// Start: time since the Hold of the task was sent, by the sender's clock.
    std::chrono::milliseconds sinceHold_{0};
    /// Start: run time that an earlier checkpoint saved.
    std::chrono::milliseconds progress_{0};
    /// Stop: time that the task may use to write a checkpoint.
    std::chrono::milliseconds grace_{0};
    /// Start: what to run, opaque to the scheduler.
    std::string payload_;
};

/// Commands of one scheduler; the worker refuses the whole batch when the epoch is lower than one it has seen.
struct WorkerCommandBatch {
    Epoch epoch_;
    std::vector<WorkerCommand> commands_;
};

/// Answer to one command.
struct WorkerCommandResult {
    WorkerCommandKind kind_ = WorkerCommandKind::Hold;
    TaskId task_;
    std::optional<Error> error_;
    /// Run time saved by checkpoints so far.
    std::chrono::milliseconds progress_{0};
};

/// States of a task on its worker.
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
    /// Use at the time of the report's sample, which lags.
    Resources used_;
    std::chrono::milliseconds usageLag_{0};
    /// Run time saved by checkpoints so far.
    std::chrono::milliseconds progress_{0};
    /// Why it ended, when it failed.
    std::string reason_;
};

/// What a worker holds and runs, and which tasks ended lately.
struct WorkerInventory {
    /// Grows with every change of a task's state; a query can wait for a change after it.
    std::uint64_t version_ = 0;
    Resources capacity_;
    RackId rack_;
    bool leaving_ = false;
    std::vector<WorkerTask> tasks_;
};

[[nodiscard]] auto toString(WorkerCommandKind kind) -> std::string_view;
[[nodiscard]] auto toString(WorkerTaskState state) -> std::string_view;

/// JSON of resources: accelerators, cores, memory_mb.
[[nodiscard]] auto resourcesToJson(const Resources &resources) -> nlohmann::json;

/// Resources from their JSON; throws nlohmann::json::exception when it is malformed.
[[nodiscard]] auto resourcesFromJson(const nlohmann::json &json) -> Resources;

[[nodiscard]] auto encodeBatch(const WorkerCommandBatch &batch) -> std::string;
[[nodiscard]] auto decodeBatch(std::string_view text) -> Result<WorkerCommandBatch>;
[[nodiscard]] auto encodeResults(const std::vector<WorkerCommandResult> &results) -> std::string;
[[nodiscard]] auto decodeResults(std::string_view text) -> Result<std::vector<WorkerCommandResult>>;
[[nodiscard]] auto encodeInventory(const WorkerInventory &inventory) -> std::string;
[[nodiscard]] auto decodeInventory(std::string_view text) -> Result<WorkerInventory>;
} // namespace Marjoramfold
