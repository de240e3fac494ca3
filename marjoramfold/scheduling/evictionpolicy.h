#pragma once

#include "marjoramfold/scheduling/schedulerstate.h"

#include <chrono>
#include <optional>

namespace Marjoramfold
{
/// What the eviction of a gang would lose, and which gangs must stay.
class EvictionPolicy
{
public:
    explicit EvictionPolicy(const SchedulerState &state);

    /// Lost work in accelerator-seconds for a claimant with a right to the workers; nothing for guaranteed work, or for urgent work when
    /// the claimant is urgent itself.
    [[nodiscard]] auto costForEntitledJob(GangIndex gang, bool claimantIsUrgent) const -> std::optional<double>;

    /// Lost work in accelerator-seconds; nothing for gangs that are not worth an eviction without a right: those that would lose their
    /// work, started lately, or are urgent.
    [[nodiscard]] auto costForQueuedJob(GangIndex gang) const -> std::optional<double>;

    /// Expected run time that a gang still needs.
    [[nodiscard]] auto timeLeft(const JobRecord &job) const -> std::chrono::milliseconds;

    /// Run time that an eviction loses.
    [[nodiscard]] auto lostTime(const JobRecord &job) const -> std::chrono::duration<double>;

    /// Whether an eviction with the longest allowed grace keeps the progress.
    [[nodiscard]] auto canCheckpoint(const JobRecord &job) const -> bool;

    /// Lost work in accelerator-seconds of an eviction or move.
    [[nodiscard]] auto lostWork(const JobRecord &job) const -> double;

    /// Whether a gang may be interrupted for work without a right: it runs, loses nothing, and did not start lately.
    [[nodiscard]] auto mayInterrupt(const JobRecord &job) const -> bool;

private:
    const SchedulerState *state_;
};
} // namespace Marjoramfold
