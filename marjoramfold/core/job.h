#pragma once

#include "marjoramfold/core/ids.h"

#include <chrono>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Marjoramfold
{
/// Largest gang that a job may ask for, in tasks.
constexpr int MaxGangSize = 128;

/// Resources of a worker or of one task.
struct Resources {
    int accelerators_ = 0;
    int cores_ = 0;
    std::int64_t memoryMb_ = 0;

    auto operator==(const Resources &) const -> bool = default;

    /// True when every part of this is at least the other's.
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

/// How close together the tasks of a gang must be placed.
enum class Adjacency {
    None,
    Worker,
    Rack,
};

/// Priority classes of jobs. Urgent work may preempt any work that is not guaranteed.
enum class PriorityClass {
    Batch,
    Normal,
    Urgent,
};

/// What a team submits: a gang of equal tasks that run all together or not at all.
struct JobSpec {
    JobId id_;
    TeamId team_;
    /// Name of the kind of work; run-time estimates are learned per team and name.
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
    /// What the workers run, opaque to the scheduler.
    std::string payload_;

    auto operator==(const JobSpec &) const -> bool = default;
};

/// A worker as the platform describes it.
struct WorkerInfo {
    WorkerId id_;
    AvailabilityZoneId zone_;
    RackId rack_;
    Resources capacity_;
    /// HOST:PORT of the worker's command interface; empty in pure decisions.
    std::string address_;
};

/// Where one task of a gang runs.
struct TaskPlacement {
    TaskId task_;
    WorkerId worker_;
};

/// States of a job over its life.
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

/// True for the states that a job never leaves.
[[nodiscard]] auto isFinal(JobState state) -> bool;
} // namespace Marjoramfold
