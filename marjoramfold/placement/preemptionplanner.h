#pragma once

#include "marjoramfold/placement/clusterstate.h"
#include "marjoramfold/placement/placer.h"

#include <functional>
#include <optional>
#include <vector>

namespace Marjoramfold
{
/// A placement whose capacity is free once the victims are evicted.
struct PreemptionPlan {
    GangPlacement placement_;
    /// Whole gangs to evict, each once.
    std::vector<GangIndex> victims_;
    /// Sum of the victims' costs.
    double cost_ = 0;
};

/// Chooses gangs to evict for a gang that is entitled to their workers: whole gangs only, cheapest first.
class PreemptionPlanner
{
public:
    /// Cost of evicting a gang; empty for a gang that must not be evicted.
    using EvictionCost = std::function<std::optional<double>(GangIndex)>;
    /// Primary sort key of workers, before the cost; smaller values come first.
    using WorkerRank = std::function<int(WorkerIndex)>;

    explicit PreemptionPlanner(const ClusterState &cluster);

    /// A plan in an availability zone, or none when not even all evictions together free enough capacity.
    [[nodiscard]] auto
    plan(const GangShape &shape, ZoneIndex zone, const EvictionCost &costOf, const Placer::WorkerFilter &allows = {}, const WorkerRank &rankOf = {}) const
        -> std::optional<PreemptionPlan>;

private:
    class Search;

    const ClusterState *cluster_;
};
} // namespace Marjoramfold
