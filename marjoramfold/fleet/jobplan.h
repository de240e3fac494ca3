#pragma once

#include "marjoramfold/core/clock.h"
#include "marjoramfold/core/ids.h"

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace Marjoramfold
{
/// Resources of a task, a worker or a group of runs.
struct ResourceVector {
    /// Thousandths of a core.
    std::int64_t milliCores_ = 0;
    std::int64_t memoryMb_ = 0;
    std::int64_t accelerators_ = 0;

    auto operator==(const ResourceVector &) const -> bool = default;

    /// True when each resource is at least the other's.
    [[nodiscard]] auto covers(const ResourceVector &other) const -> bool
    {
        return milliCores_ >= other.milliCores_ && memoryMb_ >= other.memoryMb_ && accelerators_ >= other.accelerators_;
    }

    auto operator+=(const ResourceVector &other) -> ResourceVector &
    {
        milliCores_ += other.milliCores_;
        memoryMb_ += other.memoryMb_;
        accelerators_ += other.accelerators_;
        return *this;
    }

    auto operator-=(const ResourceVector &other) -> ResourceVector &
    {
        milliCores_ -= other.milliCores_;
        memoryMb_ -= other.memoryMb_;
        accelerators_ -= other.accelerators_;
        return *this;
    }

    /// Serializes the resources with cereal.
    template<typename Archive>
    auto serialize(Archive &archive) -> void
    {
        archive(milliCores_, memoryMb_, accelerators_);
    }
};

/// Number of tasks that fit into free resources, up to a limit. Divides, since a worker may hold thousands of tasks that need little or nothing.
[[nodiscard]] inline auto fittingTasks(const ResourceVector &free, const ResourceVector &task, std::uint32_t limit) -> std::uint32_t
{
    std::int64_t count = limit;
    const auto restrict = [&count](std::int64_t available, std::int64_t needed) {
        if (available < needed) {
            count = 0;
        } else if (needed * count > available) {
            count = available / needed;
        }
    };
    // The resource that allows the fewest tasks in most cases comes first, so that one division is enough.
    restrict(free.accelerators_, task.accelerators_);
    restrict(free.memoryMb_, task.memoryMb_);
    restrict(free.milliCores_, task.milliCores_);
    return static_cast<std::uint32_t>(count);
}

/// One step of a job: tasks with equal requirements.
struct StepPlan {
    std::uint32_t count_ = 0;
    ResourceVector task_;
    /// Caller's run time estimate for one task; often off by a large factor.
    std::chrono::milliseconds estimate_{0};
    /// Indexes of earlier steps that must be complete first.
    std::vector<std::uint32_t> dependsOn_;
    /// Tasks save checkpoints and can resume from them.
    bool checkpoints_ = false;
    /// Gang scheduling: all tasks run together or none does.
    bool gang_ = false;
    /// The gang runs several times slower on more than one rack.
    bool prefersOneRack_ = false;
    /// Speculative copies of a task may run concurrently; the first end counts.
    bool copiesAllowed_ = false;
    /// Tasks run until the job is cancelled and are restarted however they end.
    bool service_ = false;
    /// Label that the worker must have; empty for no requirement.
    std::string requiredLabel_;
    /// Rack that holds the data; tasks run several times slower elsewhere. Empty for none.
    std::string dataRack_;
    /// Maximum number of the step's tasks per worker; 0 for no limit.
    std::uint32_t maxPerWorker_ = 0;
    /// Maximum number of a service step's tasks that the scheduler may make unavailable at once.
    std::uint32_t maxUnavailable_ = 0;

    auto operator==(const StepPlan &) const -> bool = default;

    /// Serializes the step with cereal.
    template<typename Archive>
    auto serialize(Archive &archive) -> void
    {
        archive(count_,
                task_,
                estimate_,
                dependsOn_,
                checkpoints_,
                gang_,
                prefersOneRack_,
                copiesAllowed_,
                service_,
                requiredLabel_,
                dataRack_,
                maxPerWorker_,
                maxUnavailable_);
    }
};

/// Description of a job as submitted by a caller.
struct JobPlan {
    /// Payload for the workers, opaque to the scheduler.
    std::string payload_;
    std::vector<StepPlan> steps_;
    /// Number of occurrences of a scheduled job; 0 for a job that runs once, immediately.
    std::uint32_t occurrences_ = 0;
    /// Due time of the first occurrence in Unix milliseconds.
    std::chrono::milliseconds firstDue_{0};
    /// Time between the due times of occurrences.
    std::chrono::milliseconds interval_{0};

    auto operator==(const JobPlan &) const -> bool = default;

    /// Serializes the plan with cereal.
    template<typename Archive>
    auto serialize(Archive &archive) -> void
    {
        archive(payload_, steps_, occurrences_, firstDue_, interval_);
    }
};

/// An accepted job as it is stored.
struct Submission {
    JobId id_;
    std::string queue_;
    TeamId team_;
    /// Acceptance time in Unix milliseconds on the clock of the accepting instance.
    std::chrono::milliseconds acceptedAt_{0};
    JobPlan plan_;

    auto operator==(const Submission &) const -> bool = default;

    /// Serializes the submission with cereal.
    template<typename Archive>
    auto serialize(Archive &archive) -> void
    {
        archive(id_, queue_, team_, acceptedAt_, plan_);
    }
};

/// State of a job as reported to callers.
enum class JobPhase : std::uint8_t {
    Queued,
    Running,
    Completed,
    Failed,
    Cancelled,
};

/// True for phases that are final.
[[nodiscard]] constexpr auto isFinalPhase(JobPhase phase) -> bool
{
    return phase == JobPhase::Completed || phase == JobPhase::Failed || phase == JobPhase::Cancelled;
}

/// Identifies a task within an occurrence of a job.
struct TaskRef {
    JobId job_;
    std::uint32_t occurrence_ = 0;
    std::uint32_t step_ = 0;
    std::uint32_t index_ = 0;

    auto operator<=>(const TaskRef &) const = default;
};

/// Formats a task for logs as JOB/OCCURRENCE/STEP/INDEX.
[[nodiscard]] auto toString(const TaskRef &task) -> std::string;
} // namespace Marjoramfold

template<>
struct std::hash<Marjoramfold::TaskRef> {
    auto operator()(const Marjoramfold::TaskRef &task) const noexcept -> std::size_t
    {
        return std::hash<std::string>()(task.job_.value()) ^ (std::size_t(task.occurrence_) << 40U) ^ (std::size_t(task.step_) << 20U) ^ task.index_;
    }
};
