#include "marjoramfold/scheduling/gangstarter.h"

#include "marjoramfold/scheduling/leasebounds.h"

#include <algorithm>

namespace Marjoramfold
{
namespace
{
// Added to the longest preemption grace before a gang stops waiting for its evictions.
constexpr std::chrono::milliseconds EvictionWaitMargin{3'000};

// Half of the 5 s hold lease, so that the Start arrives while the Hold is valid.
constexpr std::chrono::milliseconds HoldDeadline{2'500};

// Below the 3 s start lease, so that the Renew arrives before it expires.
constexpr std::chrono::milliseconds StartDeadline{2'000};

// Limits the wait for the answers to the Renew that confirms a gang.
constexpr std::chrono::milliseconds ConfirmDeadline{2'500};
} // namespace

GangStarter::GangStarter(SchedulerState &state, GangReservations &reservations, GangStopper &stopper)
    : state_(&state)
    , reservations_(&reservations)
    , stopper_(&stopper)
{
}

auto GangStarter::setRunningHook(RunningHook hook) -> void
{
    running_ = std::move(hook);
}

auto GangStarter::begin(JobRecord &job, ZoneIndex zone, const GangPlacement &placement, bool guaranteed) -> void
{
    reservations_->reserve(job, zone, placement, guaranteed);
    holdWhenFree(job);
}

auto GangStarter::beginAtDestination(JobRecord &job) -> void
{
    reservations_->adoptDestination(job);
    holdWhenFree(job);
}

auto GangStarter::holdWhenFree(JobRecord &job) -> void
{
    ++state_->zones_[job.zone_].startingGangs_;
    job.state_ = JobState::Starting;
    job.reason_ = "gang members are being started";
    if (hasRoom(job)) {
        holdAll(job);
    } else {
        enterPhase(job, GangPhase::AwaitingEvictions, state_->options_.maxPreemptionGrace_ + EvictionWaitMargin);
    }
}

auto GangStarter::resumeAfterEvictions() -> void
{
    const auto freed = std::move(state_->freedWorkers_);
    state_->freedWorkers_.clear();
    for (const auto worker : freed) {
        const auto reservations = state_->cluster_.worker(worker).gangs_;
        for (const auto &reservation : reservations) {
            auto &job = state_->jobs_.at(reservation.gang_);
            if (job.phase_ == GangPhase::AwaitingEvictions && hasRoom(job)) {
                holdAll(job);
            }
        }
    }
}

auto GangStarter::holdAll(JobRecord &job) -> void
{
    if (!state_->zones_[job.zone_].mayStart()) {
        stopper_->stop(job, {JobState::Waiting, "starts are blocked in its availability zone", std::nullopt, {}, false});
        return;
    }
    enterPhase(job, GangPhase::Holding, HoldDeadline);
    sendToAll(job, TaskCommandKind::Hold, state_->options_.holdLease_);
}

auto GangStarter::hasRoom(const JobRecord &job) const -> bool
{
    return std::all_of(job.members_.begin(), job.members_.end(), [this](const GangMember &member) {
        return state_->cluster_.worker(member.worker_).free().covers({});
    });
}

auto GangStarter::onResult(JobRecord &job, std::size_t member, const TaskCommandResult &result) -> void
{
    if (result.error_) {
        onMemberFailure(job, member, result);
        return;
    }
    auto &state = job.members_[member].state_;
    if (result.kind_ == TaskCommandKind::Hold && state == MemberState::Holding) {
        state = MemberState::Held;
    } else if (result.kind_ == TaskCommandKind::Start && state == MemberState::Starting) {
        state = MemberState::Started;
    } else if (result.kind_ == TaskCommandKind::Renew && state == MemberState::Started && job.phase_ == GangPhase::Confirming) {
        state = MemberState::Running;
    } else {
        return;
    }
    --job.unanswered_;
    advancePhase(job);
}

auto GangStarter::onMemberFinished(JobRecord &job, std::size_t member) -> void
{
    const auto state = job.members_[member].state_;
    const auto isAwaited = state == MemberState::Starting || (state == MemberState::Started && job.phase_ == GangPhase::Confirming);
    reservations_->releaseMember(job, member, MemberState::Ended);
    if (isAwaited) {
        --job.unanswered_;
        advancePhase(job);
    }
}

auto GangStarter::advancePhase(JobRecord &job) -> void
{
    if (job.unanswered_ > 0) {
        return;
    }
    if (job.phase_ == GangPhase::Holding) {
        startAll(job);
    } else if (job.phase_ == GangPhase::Starting) {
        confirmAll(job);
    } else if (job.phase_ == GangPhase::Confirming) {
        state_->jobs_.clearTimer(job);
        job.phase_ = GangPhase::Running;
        --state_->zones_[job.zone_].startingGangs_;
        running_(job);
    }
}

auto GangStarter::onTimer(JobRecord &job) -> void
{
    if (job.phase_ == GangPhase::AwaitingEvictions) {
        stopper_->stop(job, {JobState::Waiting, "its workers were not freed before the deadline", std::nullopt, {}, false});
        return;
    }
    failStart(job, "a worker did not answer before the deadline during the gang start");
}

auto GangStarter::confirmRecovered(JobRecord &job) -> void
{
    for (auto &member : job.members_) {
        member.state_ = MemberState::Started;
        // The previous owner may have renewed the lease just before the takeover.
        member.leaseExpiryBound_ = leaseExpiryBound(state_->now_, state_->options_.runLease_);
    }
    job.runningSince_ = state_->now_;
    ++state_->zones_[job.zone_].startingGangs_;
    confirmAll(job);
}

auto GangStarter::failStart(JobRecord &job, const std::string &reason) -> void
{
    ++job.startFailures_;
    stopper_->stop(job, {JobState::Waiting, reason, std::nullopt, retryDelay(state_->options_, job.startFailures_), false});
}

auto GangStarter::startAll(JobRecord &job) -> void
{
    if (!state_->zones_[job.zone_].mayStart()) {
        stopper_->stop(job, {JobState::Waiting, "starts are blocked in its availability zone", std::nullopt, {}, false});
        return;
    }
    enterPhase(job, GangPhase::Starting, StartDeadline);
    job.runningSince_ = state_->now_;
    sendToAll(job, TaskCommandKind::Start, state_->options_.startLease_);
}

auto GangStarter::confirmAll(JobRecord &job) -> void
{
    enterPhase(job, GangPhase::Confirming, ConfirmDeadline);
    sendToAll(job, TaskCommandKind::Renew, state_->options_.runLease_);
}

auto GangStarter::sendToAll(JobRecord &job, TaskCommandKind kind, std::chrono::milliseconds lease) -> void
{
    for (std::size_t i = 0; i < job.members_.size(); ++i) {
        auto &member = job.members_[i];
        // A short task may end before its gang is confirmed.
        if (!member.holdsResources()) {
            continue;
        }
        TaskCommand command;
        command.kind_ = kind;
        command.task_ = {job.spec_.id_, job.attempt_, static_cast<std::uint32_t>(i)};
        command.worker_ = state_->cluster_.worker(member.worker_).info_.id_;
        command.resources_ = job.reserved_;
        command.lease_ = lease;
        command.progress_ = job.progress_;
        if (kind == TaskCommandKind::Start) {
            member.state_ = MemberState::Starting;
        }
        member.leaseExpiryBound_ = std::max(member.leaseExpiryBound_, leaseExpiryBound(state_->now_, lease));
        state_->send(std::move(command));
    }
}

auto GangStarter::enterPhase(JobRecord &job, GangPhase phase, std::chrono::milliseconds deadline) -> void
{
    job.phase_ = phase;
    job.phaseSince_ = state_->now_;
    job.unanswered_ = job.holding_;
    state_->jobs_.setTimer(job, state_->now_ + deadline);
}

auto GangStarter::onMemberFailure(JobRecord &job, std::size_t member, const TaskCommandResult &result) -> void
{
    const auto &worker = state_->cluster_.worker(job.members_[member].worker_).info_.id_;
    failStart(job, "worker " + worker.value() + " failed during the gang start: " + toString(*result.error_));
}
} // namespace Marjoramfold
