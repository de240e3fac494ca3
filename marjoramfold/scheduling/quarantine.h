#pragma once

#include "marjoramfold/scheduling/schedulerstate.h"

#include <deque>
#include <map>
#include <optional>
#include <utility>

namespace Marjoramfold
{
/// Keeps work off workers that fail several different jobs, and probes them until they prove healthy.
class Quarantine
{
public:
    explicit Quarantine(SchedulerState &state);

    /// Takes the failure of a task on a worker. True when the worker is quarantined by it.
    auto onTaskFailure(WorkerIndex worker, const JobId &job) -> bool;

    /// Takes the answer to a probe. True when the worker may be used again.
    auto onProbe(WorkerIndex worker, bool healthy) -> bool;

    /// Sends the probes that are due.
    auto onTick() -> void;

private:
    struct WorkerHistory {
        std::deque<std::pair<SteadyTime, JobId>> failures_;
        SteadyTime nextProbe_{};
        std::chrono::milliseconds probeInterval_{0};
        /// A worker that came back is quarantined again at its first failure within the window.
        std::optional<SteadyTime> releasedAt_;
    };

    auto probe(WorkerIndex worker, WorkerHistory &history) -> void;

    SchedulerState *state_;
    // Ordered, so that probes are sent in the same order in every run.
    std::map<WorkerIndex, WorkerHistory> histories_;
};
} // namespace Marjoramfold
