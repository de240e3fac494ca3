#pragma once

#include "marjoramfold/scheduling/relocation.h"

#include <vector>

namespace Marjoramfold
{
/// Moves work out of availability zones that operators took out, and off workers that are about to leave.
class Evacuation
{
public:
    Evacuation(SchedulerState &state, JobLifecycle &lifecycle, StartDecisions &decisions, Relocation &relocation);

    /// Takes the change of a zone between in and out.
    auto onZoneChanged(ZoneIndex zone, bool out) -> void;

    /// Checkpoints and requeues the gangs of a worker that is about to leave.
    auto onWorkerLeaving(WorkerIndex worker) -> void;

    /// Moves the next gangs, at most a fixed number at a time, the most important first.
    auto onTick() -> void;

private:
    struct Drain {
        bool active_ = false;
        SteadyTime since_{};
        SteadyTime nextCheckpoint_{};
    };

    auto drainZone(ZoneIndex zone) -> void;
    auto endRampUps() -> void;
    auto reassignWaitingJobs() -> void;
    [[nodiscard]] auto gangsByPriority(ZoneIndex zone) const -> std::vector<GangIndex>;
    [[nodiscard]] auto otherZoneFor(const JobSpec &spec) const -> std::optional<AvailabilityZoneId>;
    auto checkpoint(const JobRecord &job) -> void;

    SchedulerState *state_;
    JobLifecycle *lifecycle_;
    StartDecisions *decisions_;
    Relocation *relocation_;
    std::vector<Drain> drains_;
};
} // namespace Marjoramfold
