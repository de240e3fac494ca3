#pragma once

#include "marjoramfold/scheduling/startdecisions.h"

namespace Marjoramfold
{
/// Starts waiting jobs that are within their team's guarantee, evicting borrowing gangs when needed.
class GuaranteePass
{
public:
    GuaranteePass(SchedulerState &state, StartDecisions &decisions);

    /// Schedules a recheck of teams with jobs for which there was no room. Called on ticks.
    auto retry() -> void;

    /// Checks teams whose waiting jobs or usage changed, up to a limited number of jobs.
    auto run() -> void;

private:
    auto startForTeam(const TeamId &team, int &comparisonsLeft) -> bool;
    [[nodiscard]] auto isWithinAnyGuarantee(const JobRecord &job) const -> bool;

    SchedulerState *state_;
    StartDecisions *decisions_;
    std::set<TeamId> teamsWithoutRoom_;
    int searchesLeft_ = 0;
};
} // namespace Marjoramfold
