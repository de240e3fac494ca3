#include "marjoramfold/placement/placementtypes.h"

#include <algorithm>

namespace Marjoramfold
{
auto resourcesOf(const Resources &task, int tasks) -> Resources
{
    return {task.accelerators_ * tasks, task.cores_ * tasks, task.memoryMb_ * tasks};
}

auto tasksThatFit(const Resources &free, const Resources &task, int atMost) -> int
{
    auto count = static_cast<std::int64_t>(atMost);
    if (task.accelerators_ > 0) {
        count = std::min<std::int64_t>(count, free.accelerators_ / task.accelerators_);
    }
    if (task.cores_ > 0) {
        count = std::min<std::int64_t>(count, free.cores_ / task.cores_);
    }
    if (task.memoryMb_ > 0) {
        count = std::min(count, free.memoryMb_ / task.memoryMb_);
    }
    return static_cast<int>(std::max<std::int64_t>(count, 0));
}
} // namespace Marjoramfold
