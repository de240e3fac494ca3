#pragma once

#include "marjoramfold/placement/clusterstate.h"

#include <functional>
#include <optional>

namespace Marjoramfold
{
/// Finds free workers for a gang by best fit, so that whole workers and racks stay free for large gangs.
class Placer
{
public:
    /// Whether a worker may be used for the gang; an empty filter allows all.
    using WorkerFilter = std::function<bool(WorkerIndex)>;

    explicit Placer(const ClusterState &cluster);

    /// Best-fit placement in an availability zone, or none. Does not reserve anything.
    [[nodiscard]] auto place(const GangShape &shape, ZoneIndex zone, const WorkerFilter &allows = {}) const -> std::optional<GangPlacement>;

private:
    [[nodiscard]] auto placeOnOneWorker(const GangShape &shape, ZoneIndex zone, const WorkerFilter &allows) const -> std::optional<GangPlacement>;
    [[nodiscard]] auto placeInOneRack(const GangShape &shape, ZoneIndex zone, const WorkerFilter &allows) const -> std::optional<GangPlacement>;
    [[nodiscard]] auto placeAnywhere(const GangShape &shape, ZoneIndex zone, const WorkerFilter &allows) const -> std::optional<GangPlacement>;
    [[nodiscard]] auto fillRack(const GangShape &shape, RackIndex rack, const WorkerFilter &allows) const -> std::optional<GangPlacement>;
    auto allocateCoreWorkers(const GangShape &shape, const ZoneCapacity &zone, const WorkerFilter &allows, GangPlacement &placement, int remaining) const
        -> int;
    auto allocateAcceleratorWorkers(const GangShape &shape, const ZoneCapacity &zone, const WorkerFilter &allows, GangPlacement &placement, int remaining) const
        -> int;

    const ClusterState *cluster_;
};
} // namespace Marjoramfold
