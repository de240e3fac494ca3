#pragma once

#include "harness.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Marjoramfold
{
/// Names of all policies that an experiment can run.
[[nodiscard]] auto policyNames() -> const std::vector<std::string> &;

/// The factory of a policy by name; empty for an unknown name.
[[nodiscard]] auto policyFactory(std::string_view name) -> std::optional<PolicyFactory>;
} // namespace Marjoramfold
