#pragma once

#include "marjoramfold/dispatch/placementrequest.h"
#include "marjoramfold/dispatch/workerspeeds.h"

#include <cstdint>
#include <vector>

namespace Marjoramfold
{
/// A worker that could take tasks of a request.
struct SpeedChoice {
    SpeedClass speed_ = SpeedClass::Ordinary;
    /// Expected to miss the objective of the request's queue.
    bool isTooSlow_ = false;
    /// Number of tasks that fit.
    std::uint32_t fits_ = 0;
    /// Workers of lower health ranks are taken first, whatever their speed.
    unsigned healthRank_ = 0;
};

/// True for urgent work and for gangs of priority 1, which take fast workers first.
[[nodiscard]] auto prefersFastWorkers(const PlacementRequest &request) -> bool;

/// True for bulk, that is, independent tasks of lower priority, which leave fast workers free for others.
[[nodiscard]] auto leavesFastWorkers(const PlacementRequest &request) -> bool;

/// Ranks the workers that could take a request by speed, one number for each choice. Within a health rank, lower numbers are taken first, and
/// equal numbers leave the choice to other preferences. Only an order: it excludes no worker.
///
/// Answers the load pattern in which urgent and large gangs and bulk compete for workers of different speed.
[[nodiscard]] auto rankBySpeed(const PlacementRequest &request, const std::vector<SpeedChoice> &choices) -> std::vector<int>;
} // namespace Marjoramfold
