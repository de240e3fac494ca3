#include "marjoramfold/scheduling/evacuation.h"

#include <algorithm>
#include <tuple>

namespace Marjoramfold
{
namespace
{
// Gangs without a destination keep running in a zone that is out, and are checkpointed at this interval.
constexpr std::chrono::minutes DrainCheckpointInterval{5};

// Gangs still in the zone after this time are checkpointed and stopped, so that the drain completes.
constexpr std::chrono::minutes DrainDeadline{30};

// Concurrent starts in a zone are limited for this time after its return.
constexpr std::chrono::minutes RampUpDuration{10};

// Destination searches per call; bounds decision latency.
constexpr int MaxDestinationSearches = 4;
} // namespace

Evacuation::Evacuation(SchedulerState &state, JobLifecycle &lifecycle, StartDecisions &decisions, Relocation &relocation)
    : state_(&state)
    , lifecycle_(&lifecycle)
    , decisions_(&decisions)
    , relocation_(&relocation)
    , drains_(state.zones_.size())
{
}

auto Evacuation::onZoneChanged(ZoneIndex zone, bool out) -> void
{
    auto &control = state_->zones_[zone];
    if (control.out_ == out) {
        return;
    }
    control.out_ = out;
    control.rampUpSince_ = out ? std::nullopt : std::optional(state_->now_);
    drains_[zone] = {out, state_->now_, state_->now_};
}

auto Evacuation::onWorkerLeaving(WorkerIndex worker) -> void
{
    const auto reservations = state_->cluster_.worker(worker).gangs_;
    for (const auto &reservation : reservations) {
        auto &job = state_->jobs_.at(reservation.gang_);
        // Work that cannot be checkpointed may still finish before the worker leaves.
        if (decisions_->evictions().canCheckpoint(job) && job.phase_ != GangPhase::Stopping) {
            lifecycle_->evict(job, "a worker of the gang is leaving");
        }
    }
}

auto Evacuation::onTick() -> void
{
    for (ZoneIndex zone = 0; zone < drains_.size(); ++zone) {
        if (drains_[zone].active_) {
            drainZone(zone);
        }
    }
    endRampUps();
    reassignWaitingJobs();
}

auto Evacuation::endRampUps() -> void
{
    for (auto &zone : state_->zones_) {
        if (zone.rampUpSince_ && state_->now_ - *zone.rampUpSince_ > RampUpDuration) {
            zone.rampUpSince_.reset();
        }
    }
}

auto Evacuation::drainZone(ZoneIndex zone) -> void
{
    auto &drain = drains_[zone];
    const auto gangs = gangsByPriority(zone);
    drain.active_ = !gangs.empty() || state_->zones_[zone].out_;
    auto moving = static_cast<int>(std::count_if(gangs.begin(), gangs.end(), [this](GangIndex gang) {
        return state_->jobs_.at(gang).phase_ == GangPhase::Stopping;
    }));
    const auto isPastDeadline = state_->now_ - drain.since_ >= DrainDeadline;
    const auto isCheckpointDue = state_->now_ >= drain.nextCheckpoint_;
    auto searches = MaxDestinationSearches;
    for (const auto index : gangs) {
        auto &gang = state_->jobs_.at(index);
        if (gang.phase_ != GangPhase::Running) {
            continue;
        }
        const auto canMove = decisions_->evictions().canCheckpoint(gang) && moving < state_->options_.maxConcurrentMoves_;
        if (canMove && searches > 0 && relocation_->moveElsewhere(gang)) {
            ++moving;
        } else if (isPastDeadline && moving < state_->options_.maxConcurrentMoves_) {
            lifecycle_->evict(gang, "its availability zone was taken out of service");
            ++moving;
        } else if (isCheckpointDue && gang.spec_.checkpointable_) {
            checkpoint(gang);
        }
        --searches;
    }
    if (isCheckpointDue) {
        drain.nextCheckpoint_ = state_->now_ + DrainCheckpointInterval;
    }
}

auto Evacuation::gangsByPriority(ZoneIndex zone) const -> std::vector<GangIndex>
{
    std::vector<GangIndex> gangs;
    for (const auto worker : state_->cluster_.zone(zone).workers_) {
        for (const auto &reservation : state_->cluster_.worker(worker).gangs_) {
            const auto &job = state_->jobs_.at(reservation.gang_);
            if (job.zone_ == zone && job.phase_ != GangPhase::Idle) {
                gangs.push_back(reservation.gang_);
            }
        }
    }
    std::sort(gangs.begin(), gangs.end());
    gangs.erase(std::unique(gangs.begin(), gangs.end()), gangs.end());
    std::stable_sort(gangs.begin(), gangs.end(), [this](GangIndex one, GangIndex other) {
        const auto &first = state_->jobs_.at(one);
        const auto &second = state_->jobs_.at(other);
        return std::tuple(!first.isUrgent(), lifecycle_->queue().scoreOf(first)) < std::tuple(!second.isUrgent(), lifecycle_->queue().scoreOf(second));
    });
    return gangs;
}

auto Evacuation::checkpoint(const JobRecord &job) -> void
{
    for (std::size_t i = 0; i < job.members_.size(); ++i) {
        if (job.members_[i].state_ != MemberState::Running) {
            continue;
        }
        TaskCommand command;
        command.kind_ = TaskCommandKind::Checkpoint;
        command.task_ = {job.spec_.id_, job.attempt_, static_cast<std::uint32_t>(i)};
        command.worker_ = state_->cluster_.worker(job.members_[i].worker_).info_.id_;
        command.resources_ = job.reserved_;
        state_->send(std::move(command));
    }
}

// When all zones of this scheduler are out, reassigns waiting jobs to another owner's zone, a limited number per call.
auto Evacuation::reassignWaitingJobs() -> void
{
    const auto allOut = std::all_of(state_->zones_.begin(), state_->zones_.end(), [](const ZoneControl &zone) {
        return zone.out_;
    });
    if (!allOut) {
        return;
    }
    std::vector<GangIndex> leaving;
    for (const auto &key : state_->queue_) {
        if (static_cast<int>(leaving.size()) < state_->options_.maxConcurrentMoves_ && otherZoneFor(state_->jobs_.at(key.job_).spec_)) {
            leaving.push_back(key.job_);
        }
    }
    for (const auto index : leaving) {
        auto &job = state_->jobs_.at(index);
        state_->send(JobReassigned{job.spec_.id_, state_->zones_[job.zone_].id_, *otherZoneFor(job.spec_), job.attempt_, job.progress_});
        lifecycle_->dropReassigned(job);
    }
}

auto Evacuation::otherZoneFor(const JobSpec &spec) const -> std::optional<AvailabilityZoneId>
{
    for (const auto &[id, rule] : state_->rules_->zones_) {
        if (rule.state_ == AvailabilityZoneState::In && !state_->findZone(id) && Admission::allowsZone(spec, id)) {
            return id;
        }
    }
    return std::nullopt;
}
} // namespace Marjoramfold
