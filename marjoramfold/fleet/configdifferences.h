#pragma once

#include "marjoramfold/fleet/operatorconfig.h"

#include <string>
#include <vector>

namespace Marjoramfold
{
/// Describes the differences between two configurations, a line each. Entries are compared by name.
[[nodiscard]] auto describeDifferences(const OperatorConfig &before, const OperatorConfig &after) -> std::vector<std::string>;
} // namespace Marjoramfold
