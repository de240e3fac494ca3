#include "marjoramfold/scheduling/gangreservations.h"

#include <algorithm>

namespace Marjoramfold
{
GangReservations::GangReservations(SchedulerState &state)
    : state_(&state)
{
}

auto GangReservations::reserve(JobRecord &job, ZoneIndex zone, const GangPlacement &placement, bool guaranteed) -> void
{
    initGang(job, zone, guaranteed);
    for (const auto &allocation : placement) {
        for (auto i = 0; i < allocation.tasks_; ++i) {
            reserveMember(job, allocation.worker_);
        }
    }
}

auto GangReservations::reserveRecovered(JobRecord &job, ZoneIndex zone, const std::vector<WorkerIndex> &workers) -> void
{
    initGang(job, zone, false);
    for (const auto worker : workers) {
        reserveMember(job, worker);
    }
    promote(zone, job.spec_.team_);
}

auto GangReservations::reserveDestination(JobRecord &job, Destination destination) -> void
{
    job.destination_ = std::move(destination);
    changeDestination(job, true);
}

auto GangReservations::releaseDestination(JobRecord &job) -> void
{
    if (job.destination_) {
        changeDestination(job, false);
        job.destination_.reset();
    }
}

auto GangReservations::adoptDestination(JobRecord &job) -> void
{
    const auto destination = *job.destination_;
    releaseDestination(job);
    reserve(job, destination.zone_, destination.placement_, destination.guaranteed_);
    promote(destination.zone_, job.spec_.team_);
}

auto GangReservations::changeDestination(const JobRecord &job, bool isReserving) -> void
{
    const auto accelerators = job.destination_->guaranteed_ ? job.reserved_.accelerators_ : 0;
    const auto &team = job.spec_.team_;
    state_->ledger_.changeTotalUse(job.destination_->zone_, team, (isReserving ? 1 : -1) * job.accelerators());
    for (const auto &allocation : job.destination_->placement_) {
        for (auto i = 0; i < allocation.tasks_; ++i) {
            if (isReserving) {
                state_->cluster_.reserve(allocation.worker_, job.index_, job.reserved_);
                state_->ledger_.charge(job.destination_->zone_, team, allocation.worker_, accelerators);
            } else {
                state_->cluster_.release(allocation.worker_, job.index_, job.reserved_);
                state_->ledger_.refund(job.destination_->zone_, team, allocation.worker_, accelerators);
                state_->freedWorkers_.push_back(allocation.worker_);
            }
        }
    }
}

auto GangReservations::initGang(JobRecord &job, ZoneIndex zone, bool guaranteed) -> void
{
    job.zone_ = zone;
    job.guaranteed_ = guaranteed;
    job.holding_ = 0;
    job.members_.clear();
    job.members_.reserve(static_cast<std::size_t>(job.spec_.gangSize_));
    if (job.reserved_.accelerators_ > 0) {
        state_->teamGangs_[job.spec_.team_].push_back(job.index_);
    }
}

auto GangReservations::reserveMember(JobRecord &job, WorkerIndex worker) -> void
{
    job.members_.push_back({worker, MemberState::Holding, {}, {}, std::nullopt});
    ++job.holding_;
    state_->cluster_.reserve(worker, job.index_, job.reserved_);
    state_->teamUse_[job.spec_.team_] += job.reserved_.accelerators_;
    state_->ledger_.changeTotalUse(job.zone_, job.spec_.team_, job.reserved_.accelerators_);
    if (job.guaranteed_) {
        state_->ledger_.charge(job.zone_, job.spec_.team_, worker, job.reserved_.accelerators_);
    }
}

auto GangReservations::releaseMember(JobRecord &job, std::size_t index, MemberState state) -> void
{
    auto &member = job.members_[index];
    if (!member.holdsResources()) {
        return;
    }
    member.state_ = state;
    --job.holding_;
    state_->cluster_.release(member.worker_, job.index_, job.reserved_);
    state_->freedWorkers_.push_back(member.worker_);
    state_->teamUse_[job.spec_.team_] -= job.reserved_.accelerators_;
    state_->ledger_.changeTotalUse(job.zone_, job.spec_.team_, -job.reserved_.accelerators_);
    if (job.guaranteed_) {
        state_->ledger_.refund(job.zone_, job.spec_.team_, member.worker_, job.reserved_.accelerators_);
    }
    if (job.holding_ == 0 && job.reserved_.accelerators_ > 0) {
        std::erase(state_->teamGangs_[job.spec_.team_], job.index_);
        promote(job.zone_, job.spec_.team_);
        state_->teamsToRecheck_.insert(job.spec_.team_);
    }
}

auto GangReservations::promote(ZoneIndex zone, const TeamId &team) -> void
{
    for (const auto index : state_->teamGangs_[team]) {
        auto &job = state_->jobs_.at(index);
        const auto isBorrowed = job.zone_ == zone && !job.guaranteed_ && job.phase_ != GangPhase::Stopping;
        if (isBorrowed && state_->ledger_.mayPromote(zone, team, job.accelerators())) {
            markGuaranteed(job);
        }
    }
}

// A gang that would block an unused guaranteed shape of another team is not promoted, so that it can be moved away.
auto GangReservations::markGuaranteed(JobRecord &job) -> void
{
    GangPlacement placement;
    for (const auto &member : job.members_) {
        if (member.holdsResources()) {
            placement.push_back({member.worker_, 1});
        }
    }
    if (!state_->ledger_.preservesUnusedShapes(job.zone_, job.spec_.team_, placement, job.reserved_.accelerators_)) {
        return;
    }
    for (const auto &allocation : placement) {
        state_->ledger_.charge(job.zone_, job.spec_.team_, allocation.worker_, job.reserved_.accelerators_);
    }
    job.guaranteed_ = true;
}
} // namespace Marjoramfold
