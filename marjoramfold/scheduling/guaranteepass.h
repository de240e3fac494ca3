#pragma once

#include "marjoramfold/scheduling/startdecisions.h"

namespace Marjoramfold
{
/// Starts waiting jobs that are within their team's guarantee, so that a guaranteed share is there when the team wants it.
class GuaranteePass
{
public:
    GuaranteePass(SchedulerState &state, StartDecisions &decisions);

    /// Looks again at teams with jobs for which there was no room. Called on ticks.
    auto retry() -> void;

    /// Looks at teams whose waiting jobs or use changed, up to a bounded number of jobs.
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
