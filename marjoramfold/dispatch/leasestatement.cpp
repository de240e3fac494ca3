#include "marjoramfold/dispatch/leasestatement.h"

#include <algorithm>

namespace Marjoramfold
{
auto LeaseStatement::findSilent(const WorkerId &worker) const -> const SilentLease *
{
    const auto found = std::lower_bound(silent_.begin(), silent_.end(), worker, [](const SilentLease &silent, const WorkerId &id) {
        return silent.worker_ < id;
    });
    return found != silent_.end() && found->worker_ == worker ? &*found : nullptr;
}

auto LeaseStatement::covers(const WorkerId &worker, std::uint64_t recordedAt) const -> bool
{
    return recordedAt < recordedBefore_ && !std::binary_search(unreported_.begin(), unreported_.end(), worker);
}
} // namespace Marjoramfold
