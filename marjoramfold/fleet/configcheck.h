#pragma once

#include "marjoramfold/fleet/operatorconfig.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Marjoramfold
{
/// Kind of a finding in a configuration.
enum class ConfigFindingKind {
    /// A value or name that is not as intended: empty, duplicate, unknown or not supported.
    Error,
    /// An entry that no request or caller can match.
    NeverMatches,
    /// Limits of which not all can be met.
    Contradiction,
};

/// List of a configuration that holds an entry.
enum class ConfigList {
    Queues,
    Pools,
    Teams,
};

/// Something in a configuration that operators should correct. API keys do not appear in it.
struct ConfigFinding {
    ConfigFindingKind kind_ = ConfigFindingKind::Error;
    /// Entry that it is about; empty for the configuration as a whole.
    std::optional<ConfigList> list_;
    std::size_t index_ = 0;
    /// Kind and name of the entry, for example "queue 'q'".
    std::string entry_;
    std::string message_;
};

[[nodiscard]] auto nameOf(ConfigFindingKind kind) -> std::string_view;

/// Finds entries that are wrong, cannot match or contradict each other. Guarantees are compared with the capacity in accelerators if it is given.
[[nodiscard]] auto checkConfig(const OperatorConfig &config, std::optional<std::int64_t> accelerators = std::nullopt) -> std::vector<ConfigFinding>;
} // namespace Marjoramfold
