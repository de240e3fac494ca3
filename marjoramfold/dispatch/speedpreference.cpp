#include "marjoramfold/dispatch/speedpreference.h"

#include <algorithm>
#include <array>
#include <map>

namespace Marjoramfold
{
namespace
{
/// Lowest priority of bulk; urgent work has priority 0.
constexpr int BulkPriority = 2;
constexpr auto SlowestNumber = static_cast<int>(SpeedClassCount) - 1;

auto numberOf(const SpeedChoice &choice) -> int
{
    return static_cast<int>(choice.speed_);
}

/// For each health rank, the slowest class of which a gang needs workers: a gang is as slow as its slowest member, so that one worker that is
/// faster than the others is better left free.
auto slowestNeeded(const std::vector<SpeedChoice> &choices, std::uint32_t count) -> std::map<unsigned, int>
{
    std::map<unsigned, std::array<std::uint32_t, SpeedClassCount>> fitting;
    for (const auto &choice : choices) {
        fitting[choice.healthRank_].at(static_cast<std::size_t>(choice.speed_)) += choice.fits_;
    }
    std::map<unsigned, int> slowest;
    auto left = count;
    auto needed = 0;
    for (const auto &[healthRank, fits] : fitting) {
        // What the healthier workers cannot hold is left to the others, and is no faster than the slowest worker that is taken already.
        for (auto number = 0; number <= SlowestNumber && left > 0; ++number) {
            const auto taken = std::min(left, fits.at(static_cast<std::size_t>(number)));
            left -= taken;
            needed = taken > 0 ? std::max(needed, number) : needed;
        }
        slowest[healthRank] = needed;
    }
    return slowest;
}
} // namespace

auto prefersFastWorkers(const PlacementRequest &request) -> bool
{
    return request.priority_ == 0 || (request.priority_ < BulkPriority && request.step_->gang_);
}

auto leavesFastWorkers(const PlacementRequest &request) -> bool
{
    return request.priority_ >= BulkPriority && !request.step_->gang_;
}

auto rankBySpeed(const PlacementRequest &request, const std::vector<SpeedChoice> &choices) -> std::vector<int>
{
    const auto prefersFast = prefersFastWorkers(request);
    const auto slowest = prefersFast && request.step_->gang_ ? slowestNeeded(choices, request.count_) : std::map<unsigned, int>();
    std::vector<int> ranks;
    ranks.reserve(choices.size());
    for (const auto &choice : choices) {
        const auto number = numberOf(choice);
        if (!slowest.empty()) {
            const auto needed = slowest.at(choice.healthRank_);
            ranks.push_back(number <= needed ? needed - number : number);
        } else if (prefersFast) {
            ranks.push_back(number);
        } else {
            const auto rank = leavesFastWorkers(request) ? SlowestNumber - number : 0;
            ranks.push_back(choice.isTooSlow_ ? rank + static_cast<int>(SpeedClassCount) : rank);
        }
    }
    return ranks;
}
} // namespace Marjoramfold
