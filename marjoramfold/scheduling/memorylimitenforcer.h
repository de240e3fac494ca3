#pragma once

#include "marjoramfold/scheduling/joblifecycle.h"

namespace Marjoramfold
{
/// Throttles tasks that use more memory than reserved. If a later report still exceeds the reservation, evicts the gang, which restarts
/// with at least the reported size reserved.
class MemoryLimitEnforcer
{
public:
    MemoryLimitEnforcer(SchedulerState &state, JobLifecycle &lifecycle);

    auto onUsage(const UsageReported &event) -> void;

private:
    auto throttle(const JobRecord &job, GangMember &member, const UsageReported &event) -> void;

    SchedulerState *state_;
    JobLifecycle *lifecycle_;
};
} // namespace Marjoramfold
