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
/// What the zones controller needs from its instance.
struct ZonesControllerHooks {
    /// Whether the freshness gate lets tasks start.
    std::function<bool()> mayStart_;
    /// Live entry instances that do not drain, this one included.
    std::function<std::vector<OwnershipCandidate>()> candidates_;
    std::function<std::set<InstanceId>()> confirmedDead_;
    std::function<void(const JobId &job, const std::string &event)> traceJob_;
};

/// Takes, keeps and gives up availability zones, and runs the schedulers of those it owns. Control thread only.
class ZonesController
{
public:
    ZonesController(asio::io_context &context, JobLog &jobs, WorkerClient &workers, OwnershipCandidate self, std::string idPrefix, ZonesControllerHooks hooks);

    /// Takes the rules in force; the first ones start the reading of jobs.
    auto setRules(const RuleSetPointer &rules) -> void;

    /// Takes the workers of the platform's list.
    auto setInstances(const InstanceList &list) -> void;

    /// Events of the job log.
    auto beginReading(Offset first) -> void;
    auto applyRecord(const FollowedRecord &record) -> void;
    auto applyJobChanges(const std::set<JobId> &jobs) -> void;

    /// Decides about ownership and lets the schedulers look at their timeouts.
    auto tick(SteadyTime now) -> void;

    /// Gives all availability zones up.
    auto release() -> void;

    /// The availability zone to assign a new job to, or why there is none.
    [[nodiscard]] auto chooseZone(const JobSpec &spec) -> Result<AvailabilityZoneId>;

    /// Owner and epoch of an availability zone by the log.
    [[nodiscard]] auto ownerOf(const AvailabilityZoneId &zone) const -> ZoneEpoch;

    /// The runtime of an availability zone that this instance schedules; null for others.
    [[nodiscard]] auto runtimeOf(const AvailabilityZoneId &zone) const -> const ZoneRuntime *;

    /// Capacities of the zones that this instance schedules, for the other instances.
    [[nodiscard]] auto capacities() -> std::vector<ZoneRoom>;

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
        /// Epoch to act under as soon as the ledger knows the zone's jobs.
        std::optional<Epoch> pendingEpoch_;
        /// Jobs that the runtime was given.
        std::set<JobId> runtimeJobs_;
        /// Jobs that are on their way to another zone, until the log shows them there.
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
    /// Ownership records of zones that the rules do not name yet.
    std::map<AvailabilityZoneId, std::vector<FollowedRecord>> deferredOwnership_;
    std::uint32_t capacityCounter_ = 0;
    SteadyTime nextAssignmentCheck_{};
    SteadyTime nextMoveTime_{};
    ZoneChooser chooser_;
    bool draining_ = false;
};
} // namespace Marjoramfold
