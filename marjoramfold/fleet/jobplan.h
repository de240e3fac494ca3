#pragma once

#include "marjoramfold/core/clock.h"
#include "marjoramfold/core/ids.h"

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace Marjoramfold
{
/// Resources that a task takes or a worker has.
struct ResourceVector {
    /// Thousandths of a core.
    std::int64_t milliCores_ = 0;
    std::int64_t memoryMb_ = 0;
    std::int64_t accelerators_ = 0;

    auto operator==(const ResourceVector &) const -> bool = default;

    /// True when every part of this is at least the other's.
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

    /// Serializes the demand with cereal.
    template<typename Archive>
    auto serialize(Archive &archive) -> void
    {
        archive(milliCores_, memoryMb_, accelerators_);
    }
};

/// One step of a job: tasks of the same shape.
struct StepPlan {
    std::uint32_t count_ = 0;
    ResourceVector task_;
    /// Run time that the caller expects of one task; often far off.
    std::chrono::milliseconds estimate_{0};
    /// Earlier steps, all tasks of which must be done first.
    std::vector<std::uint32_t> dependsOn_;
    /// Tasks save their progress and can resume from it.
    bool checkpoints_ = false;
    /// All tasks run together or not at all.
    bool gang_ = false;
    /// The gang runs several times slower on more than one rack.
    bool prefersOneRack_ = false;
    /// Copies of a task may run at the same time; the first end counts.
    bool copiesAllowed_ = false;
    /// Tasks run until the job is cancelled and are started again however they end.
    bool service_ = false;
    /// Label that the worker must have; empty for any worker.
    std::string requiredLabel_;
    /// Rack that holds the data; tasks run several times slower elsewhere. Empty without one.
    std::string dataRack_;
    /// Most tasks of the step on one worker; 0 for no limit.
    std::uint32_t maxPerWorker_ = 0;
    /// Tasks of a service step that the scheduler may keep away at once.
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

/// What a caller hands in.
struct JobPlan {
    /// What the workers run, opaque to the scheduler.
    std::string payload_;
    std::vector<StepPlan> steps_;
    /// How often a scheduled job runs; 0 for a job that runs once, at once.
    std::uint32_t occurrences_ = 0;
    /// Time of day, in Unix milliseconds, at which the first occurrence is due.
    std::chrono::milliseconds firstDue_{0};
    /// Time between occurrences.
    std::chrono::milliseconds interval_{0};

    auto operator==(const JobPlan &) const -> bool = default;

    /// Serializes the plan with cereal.
    template<typename Archive>
    auto serialize(Archive &archive) -> void
    {
        archive(payload_, steps_, occurrences_, firstDue_, interval_);
    }
};

/// A job as it is accepted and stored.
struct Submission {
    JobId id_;
    std::string queue_;
    TeamId team_;
    /// Unix milliseconds at the accepting instance.
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

/// State of a job as callers see it.
enum class JobPhase : std::uint8_t {
    Queued,
    Running,
    Completed,
    Failed,
    Cancelled,
};

/// True for the phases that a job never leaves.
[[nodiscard]] constexpr auto isFinalPhase(JobPhase phase) -> bool
{
    return phase == JobPhase::Completed || phase == JobPhase::Failed || phase == JobPhase::Cancelled;
}

/// One task of one occurrence of a job.
struct TaskRef {
    JobId job_;
    std::uint32_t occurrence_ = 0;
    std::uint32_t step_ = 0;
    std::uint32_t index_ = 0;

    auto operator<=>(const TaskRef &) const = default;
};

/// Text of a task for logs: JOB/OCCURRENCE/STEP/INDEX.
[[nodiscard]] auto toString(const TaskRef &task) -> std::string;
} // namespace Marjoramfold

template<>
struct std::hash<Marjoramfold::TaskRef> {
    auto operator()(const Marjoramfold::TaskRef &task) const noexcept -> std::size_t
    {
        return std::hash<std::string>()(task.job_.value()) ^ (std::size_t(task.occurrence_) << 40U) ^ (std::size_t(task.step_) << 20U) ^ task.index_;
    }
};
