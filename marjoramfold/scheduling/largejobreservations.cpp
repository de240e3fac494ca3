#include "marjoramfold/scheduling/largejobreservations.h"

#include <algorithm>
#include <map>
#include <tuple>

namespace Marjoramfold
{
LargeJobReservations::LargeJobReservations(SchedulerState &state, JobLifecycle &lifecycle, const EvictionPolicy &evictions)
    : state_(&state)
    , lifecycle_(&lifecycle)
    , evictions_(&evictions)
    , reservations_(state.zones_.size())
{
}

auto LargeJobReservations::isReserved(WorkerIndex worker) const -> bool
{
    return worker < reserved_.size() && reserved_[worker];
}

auto LargeJobReservations::findReservedJob(ZoneIndex zone) const -> JobRecord *
{
    const auto &id = reservations_[zone].job_;
    auto *job = id ? state_->jobs_.find(*id) : nullptr;
    return job != nullptr && job->queueKey_ ? job : nullptr;
}

auto LargeJobReservations::mayBackfill(const JobRecord &job, ZoneIndex zone) const -> bool
{
    const auto &reservation = reservations_[zone];
    if (reservation.job_ == job.spec_.id_) {
        return true;
    }
    if (!state_->options_.backfill_) {
        return false;
    }
    const auto canBePreempted = state_->options_.compaction_ && evictions_->canCheckpoint(job) && !job.isLarge();
    const auto endsInTime = state_->now_ + job.pessimistic_ - job.progress_ <= reservation.availableAt_;
    return canBePreempted || (endsInTime && reservation.blockingBackfills_ < state_->options_.maxBlockingBackfills_);
}

auto LargeJobReservations::onStart(const JobRecord &job) -> void
{
    auto &reservation = reservations_[job.zone_];
    const auto isBlocking =
        (job.guaranteed_ || !evictions_->canCheckpoint(job)) && std::any_of(job.members_.begin(), job.members_.end(), [this](const auto &member) {
            return isReserved(member.worker_);
        });
    reservation.blockingBackfills_ += isBlocking ? 1 : 0;
}

auto LargeJobReservations::update() -> ZoneIndex
{
    const auto zone = next_;
    updateZone(zone);
    next_ = (zone + 1) % static_cast<ZoneIndex>(reservations_.size());
    return zone;
}

auto LargeJobReservations::updateZone(ZoneIndex zone) -> void
{
    auto &reservation = reservations_[zone];
    mark(reservation, false);
    reservation.workers_.clear();
    const auto *job = state_->zones_[zone].mayStart() ? chooseJob(zone) : nullptr;
    if (job == nullptr) {
        reservation.job_.reset();
        return;
    }
    if (reservation.job_ != job->spec_.id_) {
        reservation.job_ = job->spec_.id_;
        reservation.blockingBackfills_ = 0;
    }
    const auto byAvailability = availabilities(*job, zone);
    if (!reserveWorkers(*job, byAvailability, reservation)) {
        reservation.job_.reset();
        reservation.workers_.clear();
    }
    mark(reservation, true);
}

// A job within its quota keeps its reservation until it starts, so that workers are not released shortly before they become available.
auto LargeJobReservations::chooseJob(ZoneIndex zone) -> JobRecord *
{
    auto *present = findReservedJob(zone);
    if (present != nullptr && state_->isWithinQuota(*present)) {
        return present;
    }
    // Small jobs fill the first half of the availability zones, so large jobs that may run in several zones wait for the other half.
    const auto isForSmallJobs = zone < state_->zones_.size() / 2;
    JobRecord *longest = nullptr;
    for (const auto &key : state_->largeWaiting_) {
        auto &job = state_->jobs_.at(key);
        const auto isAllowed =
            state_->isWithinQuota(job) && Admission::allowsZone(job.spec_, state_->zones_[zone].id_) && !isReservedInOtherZone(job.spec_.id_, zone);
        const auto mayGoElsewhere = job.spec_.allowedZones_.size() != 1;
        if (isAllowed && !(isForSmallJobs && mayGoElsewhere) && lifecycle_->admission().fitsEmptyZone(job.shape(), zone)
            && (longest == nullptr || job.submitted_ < longest->submitted_)) {
            longest = &job;
        }
    }
    return longest;
}

auto LargeJobReservations::isReservedInOtherZone(const JobId &job, ZoneIndex zone) const -> bool
{
    for (ZoneIndex other = 0; other < reservations_.size(); ++other) {
        if (other != zone && reservations_[other].job_ == job) {
            return true;
        }
    }
    return false;
}

auto LargeJobReservations::availabilities(const JobRecord &job, ZoneIndex zone) const -> std::vector<Availability>
{
    std::vector<Availability> times;
    for (const auto worker : state_->cluster_.zone(zone).acceleratorWorkers_) {
        const auto hasFailed = std::find(job.failedWorkers_.begin(), job.failedWorkers_.end(), worker) != job.failedWorkers_.end();
        if (state_->cluster_.worker(worker).isUsable() && !hasFailed) {
            times.push_back(availabilityOf(worker));
        }
    }
    std::sort(times.begin(), times.end(), [](const Availability &one, const Availability &other) {
        return std::tie(one.time_, one.evictionCost_, one.worker_) < std::tie(other.time_, other.evictionCost_, other.worker_);
    });
    return times;
}

// A worker is available once all its gangs that cannot be evicted or moved without loss have ended.
auto LargeJobReservations::availabilityOf(WorkerIndex worker) const -> Availability
{
    Availability available{state_->now_, 0, worker};
    for (const auto &reservation : state_->cluster_.worker(worker).gangs_) {
        const auto &gang = state_->jobs_.at(reservation.gang_);
        if (gang.isUrgent() || gang.isLarge() || !evictions_->canCheckpoint(gang)) {
            available.time_ = std::max(available.time_, state_->now_ + evictions_->timeLeft(gang));
        } else {
            available.evictionCost_ += evictions_->lostWork(gang);
        }
    }
    return available;
}

auto LargeJobReservations::reserveWorkers(const JobRecord &job, const std::vector<Availability> &byAvailability, Reservation &reservation) const -> bool
{
    std::map<RackIndex, std::pair<int, std::vector<WorkerIndex>>> sets;
    for (const auto &available : byAvailability) {
        const auto &worker = state_->cluster_.worker(available.worker_);
        const auto set = job.spec_.adjacency_ == Adjacency::Rack ? worker.rack_ : 0;
        auto &[tasks, workers] = sets[set];
        const auto fitting = tasksThatFit(worker.info_.capacity_, job.reserved_, job.spec_.gangSize_);
        if (fitting == 0) {
            continue;
        }
        tasks += fitting;
        workers.push_back(available.worker_);
        if (tasks >= job.spec_.gangSize_) {
            reservation.workers_ = workers;
            reservation.availableAt_ = available.time_;
            return true;
        }
    }
    return false;
}

auto LargeJobReservations::mark(const Reservation &reservation, bool reserved) -> void
{
    for (const auto worker : reservation.workers_) {
        if (reserved_.size() <= worker) {
            reserved_.resize(worker + 1, false);
        }
        reserved_[worker] = reserved;
    }
}
} // namespace Marjoramfold
