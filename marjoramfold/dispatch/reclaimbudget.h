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
/// Answers the load pattern in which the urgent jobs of some teams fill the fleet. A team keeps as much of its guarantee as its runs can fill:
/// of runs that end as wholes, one that is within the guarantee only in part is beyond it. What is stopped therefore does not fit into what is
/// left of the guarantee, and cannot reclaim the accelerators back.
class ReclaimBudget
{
public:
    ReclaimBudget(const WorkerSessionMap &sessions, const GuaranteeOf &guaranteeOf);

    /// Accelerators that may be reclaimed from a team.
    [[nodiscard]] auto excessOf(const TeamId &team) const -> std::int64_t;

    /// Accelerators that may be reclaimed from all teams.
    [[nodiscard]] auto totalExcess() const -> std::int64_t;

    /// True when a run may be stopped, and with it the rest of its gang.
    [[nodiscard]] auto canTake(const RunKey &key, const WorkerRun &run) const -> bool;

    /// Counts a run, and with it its gang, as stopped. Returns false and changes nothing when canTake() is false.
    auto take(const RunKey &key, const WorkerRun &run) -> bool;

private:
    /// Job, occurrence, step and number of a gang's run.
    using GangKey = std::tuple<JobId, std::uint32_t, std::uint32_t, std::uint32_t>;

    [[nodiscard]] static auto gangOf(const RunKey &key) -> GangKey;

    /// Largest sum of some of the sizes that does not exceed the limit; `sizes` has the number of units by their size.
    [[nodiscard]] static auto largestFill(const std::map<std::int64_t, std::int64_t> &sizes, std::int64_t limit) -> std::int64_t;

    std::map<TeamId, std::int64_t> excess_;
    /// Gangs with a member that is stopping; the other members end with it.
    std::set<GangKey> stoppedGangs_;
};
} // namespace Marjoramfold
