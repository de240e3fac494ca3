#include "marjoramfold/dispatch/failedrequests.h"

#include <algorithm>

namespace Marjoramfold
{
namespace
{
/// Number of tasks that must find workers: all of a gang, one of other tasks.
auto requiredTasks(const PlacementRequest &request) -> std::uint32_t
{
    return request.step_->gang_ ? request.count_ : 1;
}
} // namespace

auto FailedRequests::shapeOf(const PlacementRequest &request, bool local, Search search) -> std::optional<Shape>
{
    const auto &step = *request.step_;
    if (!request.avoidedWorkers_.empty() || !request.refusingWorkers_.empty() || step.maxPerWorker_ > 0) {
        return std::nullopt;
    }
    Shape shape;
    shape.search_ = search;
    shape.local_ = local;
    shape.waived_ = request.waived_;
    shape.gang_ = step.gang_;
    shape.oneRack_ = step.prefersOneRack_;
    shape.priority_ = request.priority_;
    shape.milliCores_ = step.task_.milliCores_;
    shape.memoryMb_ = step.task_.memoryMb_;
    shape.accelerators_ = step.task_.accelerators_;
    shape.pool_ = request.pool_;
    shape.label_ = step.requiredLabel_;
    shape.dataRack_ = step.dataRack_;
    return shape;
}

auto FailedRequests::add(const PlacementRequest &request, bool local, Search search) -> void
{
    if (const auto shape = shapeOf(request, local, search); shape) {
        const auto required = requiredTasks(request);
        auto &smallest = smallest_.try_emplace(*shape, required).first->second;
        smallest = std::min(smallest, required);
    }
}

auto FailedRequests::contains(const PlacementRequest &request, bool local, Search search) const -> bool
{
    const auto shape = shapeOf(request, local, search);
    const auto found = shape ? smallest_.find(*shape) : smallest_.end();
    return found != smallest_.end() && requiredTasks(request) >= found->second;
}

auto FailedRequests::addFit(const PlacementRequest &request, bool local) -> void
{
    if (const auto shape = shapeOf(request, local, Search::Capacity); shape) {
        auto &largest = largestFits_[*shape];
        largest = std::max(largest, requiredTasks(request));
    }
}

auto FailedRequests::containsFit(const PlacementRequest &request, bool local) const -> bool
{
    const auto shape = shapeOf(request, local, Search::Capacity);
    const auto found = shape ? largestFits_.find(*shape) : largestFits_.end();
    return found != largestFits_.end() && requiredTasks(request) <= found->second;
}
} // namespace Marjoramfold
