#pragma once

#include "marjoramfold/scheduling/schedulerstate.h"

#include <deque>
#include <map>
#include <optional>
#include <utility>

namespace Marjoramfold
{
/// Excludes workers on which several different jobs failed, and probes them until they are healthy.
class Quarantine
{
public:
    explicit Quarantine(SchedulerState &state);

    /// Returns true when this failure quarantines the worker.
    auto onTaskFailure(WorkerIndex worker, const JobId &job) -> bool;

    /// Returns true when the worker leaves quarantine.
    auto onProbe(WorkerIndex worker, bool healthy) -> bool;

    /// Sends due probes.
    auto onTick() -> void;

private:
    struct WorkerHistory {
        std::deque<std::pair<SteadyTime, JobId>> failures_;
        SteadyTime nextProbe_{};
        std::chrono::milliseconds probeInterval_{0};
        /// Within the window after its release, a worker is quarantined again on its first failure.
        std::optional<SteadyTime> releasedAt_;
    };

    auto probe(WorkerIndex worker, WorkerHistory &history) -> void;

    SchedulerState *state_;
    // Ordered, so that the probe order is deterministic.
    std::map<WorkerIndex, WorkerHistory> histories_;
};
} // namespace Marjoramfold
