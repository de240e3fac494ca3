#pragma once

#include "marjoramfold/core/ids.h"

#include <chrono>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Marjoramfold
{
/// Largest gang of a job, in tasks.
constexpr int MaxGangSize = 128;

/// Resources of a worker or of one task.
struct Resources {
    int accelerators_ = 0;
    int cores_ = 0;
    std::int64_t memoryMb_ = 0;

    auto operator==(const Resources &) const -> bool = default;

    /// True when every component is at least the other's.
    [[nodiscard]] auto covers(const Resources &other) const -> bool
    {
        return accelerators_ >= other.accelerators_ && cores_ >= other.cores_ && memoryMb_ >= other.memoryMb_;
    }

    auto operator+=(const Resources &other) -> Resources &
    {
        accelerators_ += other.accelerators_;
        cores_ += other.cores_;
        memoryMb_ += other.memoryMb_;
        return *this;
    }

    auto operator-=(const Resources &other) -> Resources &
    {
        accelerators_ -= other.accelerators_;
        cores_ -= other.cores_;
        memoryMb_ -= other.memoryMb_;
        return *this;
    }
};

/// Placement constraint between the tasks of a gang.
enum class Adjacency {
    None,
    Worker,
    Rack,
};

/// Priority classes of jobs. Urgent jobs may preempt any work that no guarantee covers.
enum class PriorityClass {
    Batch,
    Normal,
    Urgent,
};

/// Specification of a submitted job: a gang of identical tasks that run all together or not at all.
struct JobSpec {
    JobId id_;
    TeamId team_;
    /// Kind of work; run-time estimates are learned per team and name.
    std::string name_;
    int gangSize_ = 1;
    Resources task_;
    Adjacency adjacency_ = Adjacency::None;
    PriorityClass priority_ = PriorityClass::Normal;
    std::chrono::milliseconds declaredRunTime_{0};
    /// Availability zones that the job may run in; empty for any.
    std::vector<AvailabilityZoneId> allowedZones_;
    bool checkpointable_ = true;
    /// Time that a task needs to checkpoint before it is stopped.
    std::chrono::milliseconds grace_{0};
    /// Input of the workers, opaque to the scheduler.
    std::string payload_;

    auto operator==(const JobSpec &) const -> bool = default;
};

/// A worker as the platform lists it.
struct WorkerInfo {
    WorkerId id_;
    AvailabilityZoneId zone_;
    RackId rack_;
    Resources capacity_;
    /// HOST:PORT of the worker's command interface; empty where decisions are made without sending commands.
    std::string address_;
};

/// Where one task of a gang runs.
struct TaskPlacement {
    TaskId task_;
    WorkerId worker_;
};

/// Lifecycle states of a job. A parked job is not eligible to run until the rules change.
enum class JobState {
    Waiting,
    Starting,
    Running,
    Stopping,
    Parked,
    Finished,
    Failed,
    Cancelled,
};

[[nodiscard]] auto toString(Adjacency adjacency) -> std::string_view;
[[nodiscard]] auto toString(PriorityClass priority) -> std::string_view;
[[nodiscard]] auto toString(JobState state) -> std::string_view;
[[nodiscard]] auto adjacencyFromString(std::string_view name) -> std::optional<Adjacency>;
[[nodiscard]] auto priorityClassFromString(std::string_view name) -> std::optional<PriorityClass>;
[[nodiscard]] auto jobStateFromString(std::string_view name) -> std::optional<JobState>;

/// True for terminal states.
[[nodiscard]] auto isFinal(JobState state) -> bool;
} // namespace Marjoramfold
