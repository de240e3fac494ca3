#pragma once

#include "marjoramfold/placement/clusterstate.h"
#include "marjoramfold/placement/guaranteeledger.h"
#include "marjoramfold/scheduling/estimator.h"
#include "marjoramfold/scheduling/events.h"
#include "marjoramfold/scheduling/jobtable.h"
#include "marjoramfold/scheduling/scheduleroptions.h"

#include <map>
#include <optional>
#include <set>
#include <unordered_map>
#include <vector>

namespace Marjoramfold
{
/// What decides whether work may start in an availability zone.
struct ZoneControl {
    AvailabilityZoneId id_;
    bool gateOpen_ = true;
    bool out_ = false;
    /// When the zone came back, while the number of gangs that start there at once is limited.
    std::optional<SteadyTime> rampUpSince_;
    /// Gangs between their reservation and their confirmation.
    int startingGangs_ = 0;

    [[nodiscard]] auto mayStart() const -> bool
    {
        return gateOpen_ && !out_;
    }
};

/// State shared by the parts of the scheduler. Each part owns its own rules; this holds the facts.
struct SchedulerState {
    SchedulerState(std::vector<AvailabilityZoneId> zones, const SchedulerOptions &options);

    SchedulerOptions options_;
    std::vector<ZoneControl> zones_;
    RuleSetPointer rules_;
    ClusterState cluster_;
    GuaranteeLedger ledger_;
    JobTable jobs_;
    Estimator estimator_;
    /// Waiting jobs in the order in which they are tried.
    std::set<QueueKey> queue_;
    /// Waiting jobs that need accelerators, per team.
    std::unordered_map<TeamId, std::set<QueueKey>> waitingByTeam_;
    /// Waiting jobs that are candidates for a reservation.
    std::set<GangIndex> largeWaiting_;
    /// Teams whose waiting jobs must be compared with their guarantees.
    std::set<TeamId> teamsToRecheck_;
    /// Workers on which reservations ended during the present event.
    std::vector<WorkerIndex> freedWorkers_;
    /// Accelerators in use per team, over all availability zones.
    std::unordered_map<TeamId, int> teamUse_;
    /// Accelerators that teams use under other schedulers.
    std::map<TeamId, int> teamUseElsewhere_;
    /// Gangs that hold accelerators, per team, in the order in which they started.
    std::unordered_map<TeamId, std::vector<GangIndex>> teamGangs_;
    /// Running gang members per availability zone.
    std::vector<int> runningTasks_;
    SteadyTime now_{};
    std::vector<SchedulerCommand> commands_;

    /// Marks all teams with waiting jobs as to be compared with their guarantees.
    auto recheckGuarantees() -> void;

    /// Whether the start of a job keeps its team within its quota.
    [[nodiscard]] auto isWithinQuota(const JobRecord &job) const -> bool;

    /// The handle of an availability zone of this scheduler.
    [[nodiscard]] auto findZone(const AvailabilityZoneId &zone) const -> std::optional<ZoneIndex>;

    /// Adds a command to the answer of the present event.
    template<typename Command>
    auto send(Command command) -> void
    {
        commands_.emplace_back(std::move(command));
    }
};
} // namespace Marjoramfold
