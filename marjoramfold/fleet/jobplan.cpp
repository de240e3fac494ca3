#include "marjoramfold/fleet/jobplan.h"

namespace Marjoramfold
{
auto toString(const TaskRef &task) -> std::string
{
    return task.job_.value() + "/" + std::to_string(task.occurrence_) + "/" + std::to_string(task.step_) + "/" + std::to_string(task.index_);
}
} // namespace Marjoramfold
