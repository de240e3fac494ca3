#pragma once

#include <chrono>

namespace Marjoramfold
{
/// Decides which waiting gangs keep workers from work of lower rank until they fit.
///
/// Answers the load pattern in which bulk tasks take each accelerator that becomes free, so that a large gang would wait until a whole rack happens to
/// become empty: bulk tasks waited 0 s and large gangs up to 51 s on the same day.
class ReservationPolicy
{
public:
    /// `byCost` lets more gangs reserve, and sooner: the delay of a bulk task costs its caller nothing before its objective is near, while a large gang
    /// cannot start at all in room that is scattered over many workers.
    explicit ReservationPolicy(bool byCost);

    /// True when a gang that has waited for room may reserve workers, with `reserved` gangs of higher rank having done so in this pass.
    /// `utilization` is the used share of its pool's accelerators.
    [[nodiscard]] auto mayReserve(std::chrono::milliseconds waited, unsigned reserved, double utilization) const -> bool;

    /// Number of gangs that may reserve in one pass.
    [[nodiscard]] auto maxGangs() const -> unsigned;

private:
    unsigned maxGangs_;
    std::chrono::milliseconds minWait_;
};
} // namespace Marjoramfold
