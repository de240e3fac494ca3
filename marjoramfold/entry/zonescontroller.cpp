#include "marjoramfold/entry/zonescontroller.h"

#include "marjoramfold/entry/jobtrace.h"

#include <glog/logging.h>

#include <algorithm>
#include <tuple>
#include <utility>

namespace Marjoramfold
{
namespace
{
// Interval of the check for unassigned jobs. An assignment is appended directly after its submission, so such a job usually has a
// submitter that crashed.
constexpr std::chrono::milliseconds UnassignedJobCheckInterval{5'000};

// Jobs of one zone that move concurrently. Limited so that a zone set to out or in does not overload the other zones.
constexpr std::size_t MaxConcurrentMoves = 8;
constexpr std::chrono::milliseconds MoveInterval{250};

// A job that is only waiting for its gang start must not move to another zone.
constexpr std::chrono::milliseconds MinWaitBeforeMove{2'000};

/// The availability zone of an ownership record; empty for other records.
auto zoneOfOwnershipRecord(const Record &record) -> AvailabilityZoneId
{
    if (const auto *claim = std::get_if<ClaimRecord>(&record)) {
        return claim->zone_;
    }
    if (const auto *renewal = std::get_if<RenewalRecord>(&record)) {
        return renewal->zone_;
    }
    if (const auto *release = std::get_if<ReleaseRecord>(&record)) {
        return release->zone_;
    }
    return {};
}
} // namespace

ZonesController::ZonesController(
    asio::io_context &context, JobLog &jobs, WorkerClient &workers, OwnershipCandidate self, std::string idPrefix, ZonesControllerHooks hooks)
    : context_(context)
    , jobs_(jobs)
    , workers_(workers)
    , self_(std::move(self))
    , idPrefix_(std::move(idPrefix))
    , hooks_(std::move(hooks))
{
}

auto ZonesController::setRules(const RuleSetPointer &rules) -> void
{
    rules_ = rules;
    std::set<AvailabilityZoneId> ids;
    for (const auto &[id, rule] : rules->zones_) {
        ids.insert(id);
        if (!zones_.contains(id)) {
            addZone(id);
        }
    }
    jobs_.ledger().setZones(ids);
    chooser_.setRules(rules);
    for (auto &[id, zone] : zones_) {
        if (zone->runtime_) {
            zone->runtime_->setRules(rules);
        }
    }
    if (!jobs_.hasStarted()) {
        jobs_.start();
    }
}

auto ZonesController::setInstances(const InstanceList &list) -> void
{
    listedWorkers_.clear();
    std::set<WorkerId> leaving;
    for (const auto &instance : list.instances_) {
        if (instance.role_ != InstanceRole::Worker) {
            continue;
        }
        listedWorkers_.push_back(instance);
        if (instance.state_ == InstanceState::Leaving) {
            leaving.insert(WorkerId(instance.id_));
        }
    }
    for (auto &[id, zone] : zones_) {
        if (zone->runtime_) {
            zone->runtime_->setWorkers(workersOf(id), leaving);
        }
    }
}

auto ZonesController::beginReading(Offset first) -> void
{
    firstOffset_ = first;
    deferredOwnership_.clear();
    for (auto &[id, zone] : zones_) {
        zone->ownership_.startReading(first);
    }
}

auto ZonesController::applyRecord(const FollowedRecord &record) -> void
{
    const auto id = zoneOfOwnershipRecord(record.record_);
    if (id.isEmpty()) {
        return;
    }
    const auto found = zones_.find(id);
    if (found != zones_.end()) {
        found->second->ownership_.apply(record.offset_, record.record_, std::chrono::steady_clock::now());
        return;
    }
    // Kept until the zone is in the rules; of consecutive renewals only the newest is needed.
    auto &kept = deferredOwnership_[id];
    if (!kept.empty() && std::holds_alternative<RenewalRecord>(record.record_) && std::holds_alternative<RenewalRecord>(kept.back().record_)) {
        kept.back() = record;
    } else {
        kept.push_back(record);
    }
}

auto ZonesController::applyJobChanges(const std::set<JobId> &jobs) -> void
{
    chooser_.setJobs(jobs_.ledger().jobs());
    std::vector<JobId> cancelled;
    for (const auto &job : jobs) {
        const auto *status = jobs_.ledger().find(job);
        if (status != nullptr && status->state_ == JobState::Cancelled) {
            cancelled.push_back(job);
        }
    }
    for (auto &[id, zone] : zones_) {
        if (!zone->runtime_) {
            continue;
        }
        if (!cancelled.empty()) {
            zone->runtime_->cancelJobs(cancelled);
        }
        addNewJobs(*zone);
    }
}

auto ZonesController::tick(SteadyTime now) -> void
{
    // Computed once for all zones, since both iterate over all known instances.
    const auto candidates = hooks_.candidates_();
    const auto confirmedDead = hooks_.confirmedDead_();
    for (auto &[id, zone] : zones_) {
        updateOwnership(*zone, candidates, confirmedDead, now);
        if (zone->runtime_) {
            zone->runtime_->tick();
        }
    }
    moveJobs(now);
    assignUnassignedJobs(now);
}

auto ZonesController::release() -> void
{
    draining_ = true;
    for (auto &[id, zone] : zones_) {
        zone->ownership_.release();
    }
}

auto ZonesController::chooseZone(const JobSpec &spec) -> Result<AvailabilityZoneId>
{
    return chooser_.choose(spec, std::chrono::steady_clock::now());
}

auto ZonesController::ownerOf(const AvailabilityZoneId &zone) const -> ZoneEpoch
{
    const auto found = zones_.find(zone);
    return found == zones_.end() ? ZoneEpoch() : found->second->ownership_.inForce();
}

auto ZonesController::runtimeOf(const AvailabilityZoneId &zone) const -> const ZoneRuntime *
{
    const auto found = zones_.find(zone);
    return found == zones_.end() ? nullptr : found->second->runtime_.get();
}

auto ZonesController::capacities() -> std::vector<AdvertisedCapacity>
{
    std::vector<AdvertisedCapacity> capacities;
    ++capacityCounter_;
    for (const auto &[id, zone] : zones_) {
        if (zone->runtime_ && zone->runtime_->isScheduling()) {
            const auto summary = zone->runtime_->summarize();
            capacities.push_back({id,
                                  zone->runtime_->epoch(),
                                  capacityCounter_,
                                  static_cast<std::uint32_t>(std::max(0, summary.freeAccelerators_)),
                                  static_cast<std::uint32_t>(std::max(0, summary.largestFreeGang_)),
                                  static_cast<std::uint32_t>(std::max(0, summary.waitingJobs_))});
        }
    }
    return capacities;
}

auto ZonesController::hasRuntime() const -> bool
{
    return std::any_of(zones_.begin(), zones_.end(), [](const auto &entry) {
        return entry.second->runtime_ != nullptr;
    });
}

auto ZonesController::addZone(const AvailabilityZoneId &id) -> void
{
    auto zone = std::make_unique<Zone>(Ownership(id, self_, idPrefix_ + "-" + id.value()));
    if (firstOffset_) {
        zone->ownership_.startReading(*firstOffset_);
        const auto now = std::chrono::steady_clock::now();
        for (const auto &record : deferredOwnership_[id]) {
            zone->ownership_.apply(record.offset_, record.record_, now);
        }
        deferredOwnership_.erase(id);
    }
    if (draining_) {
        zone->ownership_.release();
    }
    zones_.emplace(id, std::move(zone));
}

auto ZonesController::updateOwnership(Zone &zone, const std::vector<OwnershipCandidate> &candidates, const std::set<InstanceId> &confirmedDead, SteadyTime now)
    -> void
{
    if (!firstOffset_) {
        return;
    }
    zone.ownership_.onLogStatus(jobs_.confirmedAt(), jobs_.unreachableSince());
    zone.ownership_.onInstancesChanged(candidates, confirmedDead, now);
    for (const auto &command : zone.ownership_.step(now)) {
        execute(zone, command);
    }
    if (zone.pendingEpoch_ && jobs_.ledger().isComplete(zone.ownership_.zone())) {
        startRuntime(zone, *std::exchange(zone.pendingEpoch_, std::nullopt));
    }
}

auto ZonesController::execute(Zone &zone, const OwnershipCommand &command) -> void
{
    if (const auto *append = std::get_if<AppendOwnershipRecord>(&command)) {
        const auto recordId = idOf(append->record_);
        jobs_.append(append->record_, [this, id = zone.ownership_.zone(), recordId](const AppendReport &report) {
            const auto found = zones_.find(id);
            if (found != zones_.end() && report.outcome_ == AppendOutcome::NotAppended) {
                found->second->ownership_.onAppendFailed(recordId);
            }
        });
    } else if (const auto *start = std::get_if<ActivateEpoch>(&command)) {
        LOG(INFO) << "ownership_taken availability_zone=" << zone.ownership_.zone().value() << " epoch=" << start->epoch_.claim_
                  << " rank=" << start->epoch_.rank_;
        stopRuntime(zone);
        zone.pendingEpoch_ = start->epoch_;
    } else {
        LOG(INFO) << "ownership_ended availability_zone=" << zone.ownership_.zone().value();
        stopRuntime(zone);
    }
}

auto ZonesController::startRuntime(Zone &zone, Epoch epoch) -> void
{
    const auto id = zone.ownership_.zone();
    ZoneRuntimeHooks hooks;
    hooks.recordDecision_ = [this, id](const SchedulerCommand &command) {
        handleDecision(*zones_.at(id), command);
    };
    hooks.onStaleEpoch_ = [this, id] {
        // Posted, since handling the refusal may destroy the runtime that calls this.
        asio::post(context_, [this, id] {
            zones_.at(id)->ownership_.onStaleEpochRejected(std::chrono::steady_clock::now());
        });
    };
    hooks.mayStart_ = hooks_.mayStart_;
    hooks.traceparentOf_ = [](const JobId &job) {
        return formatTraceparent(traceOfJob(job));
    };
    zone.runtime_ = std::make_shared<ZoneRuntime>(context_, workers_, id, epoch, rules_, std::move(hooks));
    std::vector<KnownJob> known;
    zone.runtimeJobs_.clear();
    zone.movingJobs_.clear();
    for (const auto &status : jobs_.ledger().openJobs(id)) {
        known.push_back(toKnownJob(status));
        zone.runtimeJobs_.insert(status.spec_.id_);
    }
    zone.runtime_->start(workersOf(id), std::move(known));
}

auto ZonesController::stopRuntime(Zone &zone) -> void
{
    zone.pendingEpoch_.reset();
    if (zone.runtime_) {
        zone.runtime_->close();
        zone.runtime_.reset();
    }
}

auto ZonesController::handleDecision(Zone &zone, const SchedulerCommand &command) -> void
{
    if (!zone.runtime_) {
        return;
    }
    const auto epoch = zone.runtime_->epoch();
    const auto id = zone.ownership_.zone();
    if (const auto *started = std::get_if<JobStarted>(&command)) {
        hooks_.traceJob_(started->job_, "job started in " + id.value());
    } else if (const auto *requeued = std::get_if<JobRequeued>(&command)) {
        hooks_.traceJob_(requeued->job_, "job requeued: " + requeued->reason_);
    } else if (const auto *ended = std::get_if<JobEnded>(&command)) {
        hooks_.traceJob_(ended->job_, "job " + std::string(toString(ended->state_)));
    } else if (const auto *moved = std::get_if<JobReassigned>(&command)) {
        hooks_.traceJob_(moved->job_, "job moved to " + moved->to_.value());
    }
    jobs_.recordDecision(id, epoch, command);
}

auto ZonesController::assignUnassignedJobs(SteadyTime now) -> void
{
    if (now < nextAssignmentCheck_ || !rules_ || draining_) {
        return;
    }
    nextAssignmentCheck_ = now + UnassignedJobCheckInterval;
    const auto candidates = hooks_.candidates_();
    const auto isLowest = std::none_of(candidates.begin(), candidates.end(), [this](const OwnershipCandidate &candidate) {
        return candidate.id_ < self_.id_;
    });
    if (!isLowest) {
        return;
    }
    for (const auto &status : jobs_.ledger().unassignedJobs()) {
        const auto zone = chooseZone(status.spec_);
        if (isOk(zone)) {
            JobAssignedRecord record;
            record.id_ = RecordId(idPrefix_ + "-assign-" + status.spec_.id_.value());
            record.job_ = status.spec_.id_;
            record.zone_ = valueOf(zone);
            jobs_.append(record, [](const AppendReport &) {});
        }
    }
}

auto ZonesController::addNewJobs(Zone &zone) -> void
{
    // Adds jobs that the log assigned to this zone after the runtime started, by submission or by another zone's owner. A job that
    // this runtime ended or moved stays in the set until its record is read, else it would be added a second time.
    const auto open = jobs_.ledger().openJobs(zone.ownership_.zone());
    std::set<JobId> openIds;
    for (const auto &status : open) {
        openIds.insert(status.spec_.id_);
    }
    std::erase_if(zone.runtimeJobs_, [&openIds](const JobId &job) {
        return !openIds.contains(job);
    });
    for (const auto &status : open) {
        if (zone.runtimeJobs_.insert(status.spec_.id_).second) {
            auto job = toKnownJob(status);
            ++job.attempt_;
            zone.runtime_->addJob(std::move(job));
        }
    }
}

auto ZonesController::workersOf(const AvailabilityZoneId &zone) const -> std::vector<WorkerInfo>
{
    std::vector<WorkerInfo> workers;
    for (const auto &instance : listedWorkers_) {
        if (instance.zone_ == zone) {
            workers.push_back({WorkerId(instance.id_), zone, instance.rack_, instance.capacity_, instance.address_});
        }
    }
    return workers;
}

auto ZonesController::toKnownJob(const JobStatus &status) const -> KnownJob
{
    const auto age = std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::system_clock::now() - status.submitted_);
    return {status.spec_, std::max(age, std::chrono::milliseconds(0)), status.attempt_, status.progress_};
}

auto ZonesController::isOut(const AvailabilityZoneId &zone) const -> bool
{
    const auto rule = rules_->zones_.find(zone);
    return rule != rules_->zones_.end() && rule->second.state_ == AvailabilityZoneState::Out;
}

auto ZonesController::moveJobs(SteadyTime now) -> void
{
    if (now < nextMoveTime_ || !rules_ || draining_) {
        return;
    }
    nextMoveTime_ = now + MoveInterval;
    updateUseElsewhere();
    for (auto &[id, zone] : zones_) {
        if (zone->runtime_ && zone->runtime_->isScheduling()) {
            moveJobsOf(*zone, now);
        }
    }
}

auto ZonesController::updateUseElsewhere() -> void
{
    // Derived from the log, so a quota can be exceeded until the record of a start is appended and read.
    for (auto &[id, zone] : zones_) {
        if (!zone->runtime_) {
            continue;
        }
        std::map<TeamId, int> use;
        for (const auto &[job, status] : jobs_.ledger().jobs()) {
            if (status.state_ == JobState::Running && status.zone_ != id) {
                use[status.spec_.team_] += status.spec_.gangSize_ * status.spec_.task_.accelerators_;
            }
        }
        zone->runtime_->setUseElsewhere(std::move(use));
    }
}

auto ZonesController::moveJobsOf(Zone &zone, SteadyTime now) -> void
{
    const auto id = zone.ownership_.zone();
    const auto isZoneOut = isOut(id);
    auto open = jobs_.ledger().openJobs(id);
    std::erase_if(zone.movingJobs_, [&open](const JobId &job) {
        return std::none_of(open.begin(), open.end(), [&job](const JobStatus &status) {
            return status.spec_.id_ == job;
        });
    });
    // Highest priority first, then oldest: the zone may become unavailable before all jobs are moved.
    std::sort(open.begin(), open.end(), [](const JobStatus &left, const JobStatus &right) {
        return std::tuple(right.spec_.priority_, left.submitted_, left.spec_.id_) < std::tuple(left.spec_.priority_, right.submitted_, right.spec_.id_);
    });
    const auto latestSubmission = std::chrono::system_clock::now() - MinWaitBeforeMove;
    for (const auto &status : open) {
        if (zone.movingJobs_.size() >= MaxConcurrentMoves) {
            return;
        }
        const auto isWaiting = status.state_ == JobState::Waiting && status.submitted_ <= latestSubmission;
        if (zone.movingJobs_.contains(status.spec_.id_) || (!isZoneOut && !isWaiting)) {
            continue;
        }
        const auto to = isZoneOut ? chooser_.findEvacuationZone(status.spec_, id, now) : chooser_.findZoneWithCapacity(status.spec_, id, now);
        if (to) {
            zone.movingJobs_.insert(status.spec_.id_);
            zone.runtime_->moveJob(status.spec_.id_, *to);
        }
    }
}
} // namespace Marjoramfold
