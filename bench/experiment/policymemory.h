#pragma once

#include <cstdint>

namespace Marjoramfold
{
/// Live heap bytes that were allocated while a PolicyMemoryScope was open, and their peak.
///
/// The experiment replaces the global operator new and tags each block with its origin, so that a block counts until it is
/// freed, inside or outside a scope.
struct PolicyMemory {
    std::int64_t bytes_ = 0;
    std::int64_t peakBytes_ = 0;
};

/// Memory of the policy, as measured on the calling thread.
[[nodiscard]] auto policyMemory() -> PolicyMemory;

/// Resets the peak to the current number of bytes, before another run in the same process.
auto resetPolicyMemoryPeak() -> void;

/// Attributes all allocations during its lifetime to the policy.
class PolicyMemoryScope
{
public:
    PolicyMemoryScope();
    ~PolicyMemoryScope();
    PolicyMemoryScope(const PolicyMemoryScope &) = delete;
    auto operator=(const PolicyMemoryScope &) -> PolicyMemoryScope & = delete;
};
} // namespace Marjoramfold
