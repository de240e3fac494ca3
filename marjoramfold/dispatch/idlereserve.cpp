#include "marjoramfold/dispatch/idlereserve.h"

#include "marjoramfold/observability/check.h"

namespace Marjoramfold
{
namespace
{
/// Share of a pool's workers that is kept idle for urgent gangs, which need several whole workers of a rack at once.
constexpr double ReservedShare = 0.06;
} // namespace

auto IdleReserve::addWorker(std::string_view pool, std::string_view rack, bool idle) -> void
{
    auto &count = pools_[pool];
    ++count.workers_;
    if (idle) {
        ++count.idle_;
        ++idleByRack_[rack];
    }
}

auto IdleReserve::takeIdle(std::string_view pool, std::string_view rack) -> void
{
    check(pools_[pool].idle_ > 0 && idleByRack_[rack] > 0, "an idle worker is counted in its pool and rack");
    --pools_[pool].idle_;
    --idleByRack_[rack];
}

auto IdleReserve::spareWorkers(std::string_view pool) const -> std::size_t
{
    const auto found = pools_.find(pool);
    if (found == pools_.end()) {
        return 0;
    }
    const auto &[workers, idle] = found->second;
    const auto reserved = static_cast<std::size_t>(static_cast<double>(workers) * ReservedShare);
    return idle > reserved ? idle - reserved : 0;
}

auto IdleReserve::idleInRack(std::string_view rack) const -> std::size_t
{
    const auto found = idleByRack_.find(rack);
    return found == idleByRack_.end() ? 0 : found->second;
}
} // namespace Marjoramfold
