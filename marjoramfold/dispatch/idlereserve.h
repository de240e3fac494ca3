#pragma once

#include <cstddef>
#include <map>
#include <string_view>

namespace Marjoramfold
{
/// Counts the idle workers of each pool and rack during a scheduling pass, and how many of them less urgent work may take.
///
/// Answers the load pattern in which urgent gangs that need several whole workers of one rack arrive beside a steady flow of bulk: a part of each
/// pool's workers is kept idle for them, and the counts by rack allow to keep these workers in few racks.
class IdleReserve
{
public:
    /// Adds a worker. Names must outlive the reserve.
    auto addWorker(std::string_view pool, std::string_view rack, bool idle) -> void;

    /// A worker of the pool and rack that was counted as idle no longer is.
    auto takeIdle(std::string_view pool, std::string_view rack) -> void;

    /// Number of a pool's idle workers beyond those that only urgent work may use.
    [[nodiscard]] auto spareWorkers(std::string_view pool) const -> std::size_t;

    /// Number of a rack's idle workers.
    [[nodiscard]] auto idleInRack(std::string_view rack) const -> std::size_t;

private:
    struct PoolCount {
        std::size_t workers_ = 0;
        std::size_t idle_ = 0;
    };

    /// Each pool has its own reserve.
    std::map<std::string_view, PoolCount> pools_;
    std::map<std::string_view, std::size_t> idleByRack_;
};
} // namespace Marjoramfold
