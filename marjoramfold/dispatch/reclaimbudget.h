#pragma once

#include "marjoramfold/core/ids.h"
#include "marjoramfold/dispatch/workersession.h"

#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <tuple>

namespace Marjoramfold
{
/// Accelerators guaranteed to a team.
using GuaranteeOf = std::function<std::int64_t(const TeamId &)>;

/// What the teams' urgent runs use beyond their guarantees, and other teams may therefore reclaim.
///
/// Answers the load pattern in which the urgent jobs of some teams fill the fleet. A team is never brought below its own guarantee, so its
/// stopped work cannot reclaim the accelerators back.
class ReclaimBudget
{
public:
    ReclaimBudget(const WorkerSessionMap &sessions, const GuaranteeOf &guaranteeOf);

    /// Accelerators that may be reclaimed from a team; negative for a team below its guarantee.
    [[nodiscard]] auto excessOf(const TeamId &team) const -> std::int64_t;

    /// True when a run may be stopped: its team keeps its guarantee, also without the rest of the run's gang.
    [[nodiscard]] auto canTake(const RunKey &key, const WorkerRun &run) const -> bool;

    /// Counts a run, and with it its gang, as stopped. Returns false and changes nothing when canTake() is false.
    auto take(const RunKey &key, const WorkerRun &run) -> bool;

private:
    /// Job, occurrence, step and number of a gang's run.
    using GangKey = std::tuple<JobId, std::uint32_t, std::uint32_t, std::uint32_t>;

    [[nodiscard]] static auto gangOf(const RunKey &key) -> GangKey;

    std::map<TeamId, std::int64_t> excess_;
    /// Gangs with a member that is stopping; the other members end with it.
    std::set<GangKey> stoppedGangs_;
};
} // namespace Marjoramfold
