#include "marjoramfold/dispatch/reservationpolicy.h"

namespace Marjoramfold
{
namespace
{
/// Utilization of the accelerators above which workers are reserved; below it other work must never wait for a blocked gang.
constexpr double MinUtilization = 0.65;

constexpr unsigned MaxGangs = 2;
constexpr std::chrono::milliseconds MinWait{1500};

/// Eight gangs of 13 whole workers would take 30 % of 350 workers, so that most of a fleet remains for the work behind them.
constexpr unsigned MaxGangsByCost = 8;
/// Longer than the time until a stopped run frees its room in most cases, so that a gang whose room is about to come keeps nothing else.
constexpr std::chrono::milliseconds MinWaitByCost{300};
} // namespace

ReservationPolicy::ReservationPolicy(bool byCost)
    : maxGangs_(byCost ? MaxGangsByCost : MaxGangs)
    , minWait_(byCost ? MinWaitByCost : MinWait)
{
}

auto ReservationPolicy::mayReserve(std::chrono::milliseconds waited, unsigned reserved, double utilization) const -> bool
{
    return waited > minWait_ && reserved < maxGangs_ && utilization > MinUtilization;
}

auto ReservationPolicy::maxGangs() const -> unsigned
{
    return maxGangs_;
}
} // namespace Marjoramfold
