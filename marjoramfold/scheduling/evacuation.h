#pragma once

#include "marjoramfold/scheduling/relocation.h"

#include <vector>

namespace Marjoramfold
{
/// Drains availability zones that operators took out of service and workers that are leaving.
class Evacuation
{
public:
    Evacuation(SchedulerState &state, JobLifecycle &lifecycle, StartDecisions &decisions, Relocation &relocation);

    /// Starts a drain when a zone is taken out of service, and a ramp-up when it returns.
    auto onZoneChanged(ZoneIndex zone, bool out) -> void;

    /// Checkpoints and requeues the gangs of a leaving worker.
    auto onWorkerLeaving(WorkerIndex worker) -> void;

    /// Moves the next gangs by priority, up to the limit on concurrent moves.
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
