#pragma once

#include "marjoramfold/scheduling/schedulerstate.h"

#include <chrono>
#include <optional>

namespace Marjoramfold
{
/// Cost of evicting a gang, and which gangs must not be evicted.
class EvictionPolicy
{
public:
    explicit EvictionPolicy(const SchedulerState &state);

    /// Eviction cost in accelerator-seconds for a claimant that is urgent or within its guarantee; nullopt for gangs that are
    /// guaranteed or being moved, and for urgent gangs when the claimant is urgent.
    [[nodiscard]] auto costForEntitledJob(GangIndex gang, bool claimantIsUrgent) const -> std::optional<double>;

    /// Eviction cost in accelerator-seconds for a claimant without such an entitlement; nullopt for gangs that are guaranteed, urgent or
    /// being moved, would lose their progress, or started recently.
    [[nodiscard]] auto costForQueuedJob(GangIndex gang) const -> std::optional<double>;

    /// Expected remaining run time.
    [[nodiscard]] auto timeLeft(const JobRecord &job) const -> std::chrono::milliseconds;

    /// Run time lost by an eviction, including the restart.
    [[nodiscard]] auto lostTime(const JobRecord &job) const -> std::chrono::duration<double>;

    /// Whether the job can checkpoint within the longest preemption grace.
    [[nodiscard]] auto canCheckpoint(const JobRecord &job) const -> bool;

    /// Work lost by an eviction or move, in accelerator-seconds.
    [[nodiscard]] auto lostWork(const JobRecord &job) const -> double;

    /// Whether a gang is running, can checkpoint, is not urgent, and did not start recently.
    [[nodiscard]] auto mayInterrupt(const JobRecord &job) const -> bool;

private:
    const SchedulerState *state_;
};
} // namespace Marjoramfold
