#pragma once

#include "marjoramfold/placement/clusterstate.h"
#include "marjoramfold/placement/placer.h"

#include <functional>
#include <optional>
#include <vector>

namespace Marjoramfold
{
/// A placement that becomes free once the victims are gone.
struct PreemptionPlan {
    GangPlacement placement_;
    /// Whole gangs to evict, each once.
    std::vector<GangIndex> victims_;
    /// Sum of the victims' costs.
    double cost_ = 0;
};

/// Chooses which gangs to evict for a gang that has a right to their workers: whole gangs only, the cheapest first.
class PreemptionPlanner
{
public:
    /// Cost of evicting a gang; nothing for a gang that must stay.
    using EvictionCost = std::function<std::optional<double>(GangIndex)>;
    /// Order between workers that matters more than the cost; smaller goes first.
    using WorkerRank = std::function<int(WorkerIndex)>;

    explicit PreemptionPlanner(const ClusterState &cluster);

    /// A plan in an availability zone, or none when even all evictions together do not make room.
    [[nodiscard]] auto
    plan(const GangShape &shape, ZoneIndex zone, const EvictionCost &costOf, const Placer::WorkerFilter &allows = {}, const WorkerRank &rankOf = {}) const
        -> std::optional<PreemptionPlan>;

private:
    class Search;

    const ClusterState *cluster_;
};
} // namespace Marjoramfold
