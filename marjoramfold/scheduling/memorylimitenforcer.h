#pragma once

#include "marjoramfold/scheduling/joblifecycle.h"

namespace Marjoramfold
{
/// Acts on tasks that use more memory than their lease: throttles them first, then stops their gang, which starts again with a lease of
/// the size that was seen.
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
