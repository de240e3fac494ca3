#pragma once

#include "harness.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Marjoramfold
{
/// Names that policyFactory() accepts.
[[nodiscard]] auto policyNames() -> const std::vector<std::string> &;

/// Returns the factory of a policy; empty for an unknown name.
[[nodiscard]] auto policyFactory(std::string_view name) -> std::optional<PolicyFactory>;
} // namespace Marjoramfold
