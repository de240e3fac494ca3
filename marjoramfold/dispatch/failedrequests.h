#pragma once

#include "marjoramfold/dispatch/placementrequest.h"

#include <compare>
#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace Marjoramfold
{
/// Remembers which requests found no workers in a scheduling pass.
///
/// Answers the load pattern in which hundreds of steps of a few shapes wait for a full fleet. Free capacity only shrinks during a pass, so
/// a request of a shape that found no workers, and is not smaller, need not be searched for again.
class FailedRequests
{
public:
    /// Kinds of search; each has its own results.
    enum class Search : std::uint8_t {
        FreeCapacity,
        Preemption,
        Reclaim,
        /// Whether the workers could hold the request if they were empty.
        Capacity,
        /// Whether the free capacity holds the request twice.
        TwiceFree,
    };

    /// Records that a request found no workers. `local` tells whether only workers without a slowdown were considered.
    auto add(const PlacementRequest &request, bool local, Search search) -> void;

    /// True when an equal or smaller request found no workers.
    [[nodiscard]] auto contains(const PlacementRequest &request, bool local, Search search) const -> bool;

    /// Records that a request fits into the capacity of the workers, which does not change during a pass.
    auto addFit(const PlacementRequest &request, bool local) -> void;

    /// True when an equal or larger request fits into the capacity of the workers.
    [[nodiscard]] auto containsFit(const PlacementRequest &request, bool local) const -> bool;

private:
    /// What decides whether a request fits, besides its number of tasks.
    struct Shape {
        Search search_ = Search::FreeCapacity;
        bool local_ = false;
        PreferenceSet waived_;
        bool gang_ = false;
        bool oneRack_ = false;
        int priority_ = 0;
        std::int64_t milliCores_ = 0;
        std::int64_t memoryMb_ = 0;
        std::int64_t accelerators_ = 0;
        std::string pool_;
        std::string label_;
        std::string dataRack_;

        auto operator<=>(const Shape &) const = default;
    };

    /// Empty for a request whose workers also depend on its own earlier runs.
    [[nodiscard]] static auto shapeOf(const PlacementRequest &request, bool local, Search search) -> std::optional<Shape>;

    /// Smallest number of tasks that found no workers.
    std::map<Shape, std::uint32_t> smallest_;
    /// Largest number of tasks that fits into the capacity.
    std::map<Shape, std::uint32_t> largestFits_;
};
} // namespace Marjoramfold
