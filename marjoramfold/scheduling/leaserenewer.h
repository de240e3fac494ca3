#pragma once

#include "marjoramfold/scheduling/gangstopper.h"

#include <optional>
#include <set>
#include <utility>
#include <vector>

namespace Marjoramfold
{
/// Renews the leases of running gangs with one message per worker, and stops the whole gang when a member's lease cannot be renewed.
class LeaseRenewer
{
public:
    LeaseRenewer(SchedulerState &state, GangStopper &stopper);

    /// Schedules renewals for the workers of a running gang.
    auto scheduleGang(const JobRecord &job) -> void;

    /// Sends due renewals, up to a limited number of tasks.
    auto renewDue() -> void;

    /// Handles a failed renewal of one member of a running gang.
    auto onFailure(JobRecord &job, std::size_t member, const Error &error) -> void;

private:
    auto schedule(WorkerIndex worker, SteadyTime time) -> void;
    auto renew(WorkerIndex worker) -> std::size_t;

    SchedulerState *state_;
    GangStopper *stopper_;
    std::set<std::pair<SteadyTime, WorkerIndex>> due_;
    std::vector<std::optional<SteadyTime>> dueByWorker_;
};
} // namespace Marjoramfold
