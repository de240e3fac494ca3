#pragma once

#include "marjoramfold/entry/joblog.h"
#include "marjoramfold/entry/zonechooser.h"
#include "marjoramfold/entry/zoneruntime.h"
#include "marjoramfold/log/instancelist.h"
#include "marjoramfold/membership/peermessages.h"
#include "marjoramfold/scheduling/ownership.h"

#include <map>
#include <memory>
#include <set>
#include <string>

namespace Marjoramfold
{
/// Callbacks of the zones controller.
struct ZonesControllerHooks {
    /// Whether the start gate is open.
    std::function<bool()> mayStart_;
    /// Live entry instances that are not draining, including this one.
    std::function<std::vector<OwnershipCandidate>()> candidates_;
    std::function<std::set<InstanceId>()> confirmedDead_;
    std::function<void(const JobId &job, const std::string &event)> traceJob_;
};

/// Claims, renews and releases the ownership of availability zones, and runs the schedulers of owned zones. Control thread only.
class ZonesController
{
public:
    ZonesController(asio::io_context &context, JobLog &jobs, WorkerClient &workers, OwnershipCandidate self, std::string idPrefix, ZonesControllerHooks hooks);

    /// Sets the rules in force; the first call starts the job log.
    auto setRules(const RuleSetPointer &rules) -> void;

    /// Applies the workers in the platform's instance list.
    auto setInstances(const InstanceList &list) -> void;

    /// Events of the job log.
    auto beginReading(Offset first) -> void;
    auto applyRecord(const FollowedRecord &record) -> void;
    auto applyJobChanges(const std::set<JobId> &jobs) -> void;

    /// Updates the ownership of all zones and ticks their schedulers.
    auto tick(SteadyTime now) -> void;

    /// Releases all availability zones and claims no more.
    auto release() -> void;

    /// Chooses the availability zone for a new job, or returns the reason why none fits.
    [[nodiscard]] auto chooseZone(const JobSpec &spec) -> Result<AvailabilityZoneId>;

    /// Owner and epoch of an availability zone according to the log.
    [[nodiscard]] auto ownerOf(const AvailabilityZoneId &zone) const -> ZoneEpoch;

    /// Runtime of an availability zone; null if this instance does not schedule the zone.
    [[nodiscard]] auto runtimeOf(const AvailabilityZoneId &zone) const -> const ZoneRuntime *;

    /// Capacities of the zones that this instance schedules, to be sent to the peers.
    [[nodiscard]] auto capacities() -> std::vector<AdvertisedCapacity>;

    /// True while the runtime of any availability zone exists.
    [[nodiscard]] auto hasRuntime() const -> bool;

private:
    /// One availability zone that the rules name.
    struct Zone {
        explicit Zone(Ownership ownership)
            : ownership_(std::move(ownership))
        {
        }
        Ownership ownership_;
        std::shared_ptr<ZoneRuntime> runtime_;
        /// Epoch under which the runtime starts once the ledger has all jobs of the zone.
        std::optional<Epoch> pendingEpoch_;
        /// Jobs passed to the runtime.
        std::set<JobId> runtimeJobs_;
        /// Jobs being moved to another zone, until the log shows them there.
        std::set<JobId> movingJobs_;
    };

    auto addZone(const AvailabilityZoneId &id) -> void;
    auto updateOwnership(Zone &zone, const std::vector<OwnershipCandidate> &candidates, const std::set<InstanceId> &confirmedDead, SteadyTime now) -> void;
    auto execute(Zone &zone, const OwnershipCommand &command) -> void;
    auto startRuntime(Zone &zone, Epoch epoch) -> void;
    auto stopRuntime(Zone &zone) -> void;
    auto handleDecision(Zone &zone, const SchedulerCommand &command) -> void;
    auto assignUnassignedJobs(SteadyTime now) -> void;
    auto moveJobs(SteadyTime now) -> void;
    auto updateUseElsewhere() -> void;
    auto moveJobsOf(Zone &zone, SteadyTime now) -> void;
    auto addNewJobs(Zone &zone) -> void;
    [[nodiscard]] auto workersOf(const AvailabilityZoneId &zone) const -> std::vector<WorkerInfo>;
    [[nodiscard]] auto toKnownJob(const JobStatus &status) const -> KnownJob;
    [[nodiscard]] auto isOut(const AvailabilityZoneId &zone) const -> bool;

    asio::io_context &context_;
    JobLog &jobs_;
    WorkerClient &workers_;
    OwnershipCandidate self_;
    std::string idPrefix_;
    ZonesControllerHooks hooks_;
    RuleSetPointer rules_;
    std::map<AvailabilityZoneId, std::unique_ptr<Zone>> zones_;
    std::vector<InstanceEntry> listedWorkers_;
    std::optional<Offset> firstOffset_;
    /// Ownership records of zones that are not in the rules yet.
    std::map<AvailabilityZoneId, std::vector<FollowedRecord>> deferredOwnership_;
    std::uint32_t capacityCounter_ = 0;
    SteadyTime nextAssignmentCheck_{};
    SteadyTime nextMoveTime_{};
    ZoneChooser chooser_;
    bool draining_ = false;
};
} // namespace Marjoramfold
