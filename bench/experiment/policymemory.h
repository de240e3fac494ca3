#pragma once

#include <cstdint>

namespace Marjoramfold
{
/// Heap bytes that were allocated while a PolicyMemoryScope was open and are not freed yet, and their highest number so far.
///
/// The global operator new of the experiment marks each block with its origin, so that a block counts until it is freed,
/// wherever that happens.
struct PolicyMemory {
    std::int64_t bytes_ = 0;
    std::int64_t peakBytes_ = 0;
};

/// The memory of the policy of this run.
[[nodiscard]] auto policyMemory() -> PolicyMemory;

/// Forgets the peak of an earlier run in the same process.
auto resetPolicyMemoryPeak() -> void;

/// Attributes the allocations of its lifetime to the policy.
class PolicyMemoryScope
{
public:
    PolicyMemoryScope();
    ~PolicyMemoryScope();
    PolicyMemoryScope(const PolicyMemoryScope &) = delete;
    auto operator=(const PolicyMemoryScope &) -> PolicyMemoryScope & = delete;
};
} // namespace Marjoramfold
