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
/// Whether and how fast work may start in an availability zone.
struct ZoneControl {
    AvailabilityZoneId id_;
    bool gateOpen_ = true;
    bool out_ = false;
    /// Return of the zone to service, while concurrent starts there are limited.
    std::optional<SteadyTime> rampUpSince_;
    /// Gangs that are reserved but not yet confirmed running.
    int startingGangs_ = 0;

    [[nodiscard]] auto mayStart() const -> bool
    {
        return gateOpen_ && !out_;
    }
};

/// State shared by the components of the scheduler; it contains no policy.
struct SchedulerState {
    SchedulerState(std::vector<AvailabilityZoneId> zones, const SchedulerOptions &options);

    SchedulerOptions options_;
    std::vector<ZoneControl> zones_;
    RuleSetPointer rules_;
    ClusterState cluster_;
    GuaranteeLedger ledger_;
    JobTable jobs_;
    Estimator estimator_;
    /// Waiting jobs in queue order.
    std::set<QueueKey> queue_;
    /// Waiting jobs that need accelerators, per team.
    std::unordered_map<TeamId, std::set<QueueKey>> waitingByTeam_;
    /// Waiting jobs that are candidates for a reservation.
    std::set<GangIndex> largeWaiting_;
    /// Teams whose waiting jobs must be checked against their guarantees.
    std::set<TeamId> teamsToRecheck_;
    /// Workers on which reservations were released by the current event.
    std::vector<WorkerIndex> freedWorkers_;
    /// Accelerators in use per team in all zones of this scheduler.
    std::unordered_map<TeamId, int> teamUse_;
    /// Accelerators in use per team under other schedulers.
    std::map<TeamId, int> teamUseElsewhere_;
    /// Gangs that hold accelerators, per team, in start order.
    std::unordered_map<TeamId, std::vector<GangIndex>> teamGangs_;
    /// Running gang members per availability zone.
    std::vector<int> runningTasks_;
    SteadyTime now_{};
    std::vector<SchedulerCommand> commands_;

    /// Schedules a guarantee check for all teams with waiting jobs.
    auto recheckGuarantees() -> void;

    /// Whether the team stays within its quota when the job starts.
    [[nodiscard]] auto isWithinQuota(const JobRecord &job) const -> bool;

    /// Returns nullopt for an availability zone of another scheduler.
    [[nodiscard]] auto findZone(const AvailabilityZoneId &zone) const -> std::optional<ZoneIndex>;

    /// Adds a command to the result of the current event.
    template<typename Command>
    auto send(Command command) -> void
    {
        commands_.emplace_back(std::move(command));
    }
};
} // namespace Marjoramfold
