#include "policymemory.h"

#include <algorithm>
#include <cstddef>
#include <cstdlib>
#include <new>

namespace
{
/// Precedes each block; its alignment preserves the alignment of the block.
struct alignas(std::max_align_t) BlockHeader {
    std::size_t size_ = 0;
    bool policy_ = false;
};

// thread_local, since libraries of the test program may allocate on other threads; the experiment runs on one thread.
thread_local bool inPolicy = false;
thread_local Marjoramfold::PolicyMemory memory;
} // namespace

// Sanitizers define their own operators, which must not be mixed with these. Memory is then reported as 0.
#if !defined(__SANITIZE_ADDRESS__) && !defined(__SANITIZE_THREAD__)
auto operator new(std::size_t size) -> void *
{
    auto *header = static_cast<BlockHeader *>(std::malloc(size + sizeof(BlockHeader)));
    if (header == nullptr) {
        throw std::bad_alloc();
    }
    header->size_ = size;
    header->policy_ = inPolicy;
    if (inPolicy) {
        memory.bytes_ += static_cast<std::int64_t>(size);
        memory.peakBytes_ = std::max(memory.peakBytes_, memory.bytes_);
    }
    return header + 1;
}

auto operator delete(void *block) noexcept -> void
{
    if (block == nullptr) {
        return;
    }
    auto *header = static_cast<BlockHeader *>(block) - 1;
    if (header->policy_) {
        memory.bytes_ -= static_cast<std::int64_t>(header->size_);
    }
    std::free(header);
}

auto operator delete(void *block, std::size_t /*size*/) noexcept -> void
{
    operator delete(block);
}
#endif

namespace Marjoramfold
{
auto policyMemory() -> PolicyMemory
{
    return memory;
}

auto resetPolicyMemoryPeak() -> void
{
    memory.peakBytes_ = memory.bytes_;
}

PolicyMemoryScope::PolicyMemoryScope()
{
    inPolicy = true;
}

PolicyMemoryScope::~PolicyMemoryScope()
{
    inPolicy = false;
}
} // namespace Marjoramfold
