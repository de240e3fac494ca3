#include "marjoramfold/scheduling/leaserenewer.h"

#include "marjoramfold/scheduling/leasebounds.h"

#include <algorithm>

namespace Marjoramfold
{
namespace
{
// 31,000 tasks every 20 s are 1,550 per second, so one tick per second keeps up with a margin.
constexpr std::size_t MaxRenewedTasksPerCall = 2'000;

// Spreads the first renewals of workers whose gangs started together.
constexpr WorkerIndex RenewalSpreadSteps = 16;

// Retry interval of a renewal with an unknown outcome.
constexpr std::chrono::milliseconds RenewRetryInterval{2'000};

// Consecutive unknown outcomes before a gang is stopped, because the leases of its members would diverge.
constexpr int MaxUnknownRenewals = 3;
} // namespace

LeaseRenewer::LeaseRenewer(SchedulerState &state, GangStopper &stopper)
    : state_(&state)
    , stopper_(&stopper)
{
}

auto LeaseRenewer::scheduleGang(const JobRecord &job) -> void
{
    const auto interval = state_->options_.renewInterval_;
    for (const auto &member : job.members_) {
        const auto step = interval / 2 / RenewalSpreadSteps * (member.worker_ % RenewalSpreadSteps);
        if (member.worker_ >= dueByWorker_.size() || !dueByWorker_[member.worker_]) {
            schedule(member.worker_, state_->now_ + interval - step);
        }
    }
}

auto LeaseRenewer::renewDue() -> void
{
    std::size_t tasks = 0;
    while (!due_.empty() && due_.begin()->first <= state_->now_ && tasks < MaxRenewedTasksPerCall) {
        const auto worker = due_.begin()->second;
        due_.erase(due_.begin());
        dueByWorker_[worker].reset();
        const auto renewed = renew(worker);
        if (renewed > 0) {
            schedule(worker, state_->now_ + state_->options_.renewInterval_);
        }
        tasks += renewed;
    }
}

auto LeaseRenewer::renew(WorkerIndex worker) -> std::size_t
{
    RenewLeases command;
    command.worker_ = state_->cluster_.worker(worker).info_.id_;
    command.lease_ = state_->options_.runLease_;
    for (const auto &reservation : state_->cluster_.worker(worker).gangs_) {
        auto &job = state_->jobs_.at(reservation.gang_);
        if (job.phase_ != GangPhase::Running) {
            continue;
        }
        for (std::size_t i = 0; i < job.members_.size(); ++i) {
            auto &member = job.members_[i];
            if (member.worker_ == worker && member.holdsResources()) {
                command.tasks_.push_back({job.spec_.id_, job.attempt_, static_cast<std::uint32_t>(i)});
                member.leaseExpiryBound_ = leaseExpiryBound(state_->now_, command.lease_);
            }
        }
    }
    const auto count = command.tasks_.size();
    if (count > 0) {
        state_->send(std::move(command));
    }
    return count;
}

auto LeaseRenewer::onFailure(JobRecord &job, std::size_t member, const Error &error) -> void
{
    const auto worker = job.members_[member].worker_;
    if (state_->now_ - job.lastRenewFailure_ > state_->options_.renewInterval_) {
        job.renewFailures_ = 0;
    }
    job.lastRenewFailure_ = state_->now_;
    ++job.renewFailures_;
    const auto isUnknown = errorAnswer(error.kind_).ran_ == Ran::Maybe || error.kind_ == ErrorKind::ConnectFailed;
    if (isUnknown && job.renewFailures_ < MaxUnknownRenewals) {
        schedule(worker, state_->now_ + RenewRetryInterval);
        return;
    }
    const auto &id = state_->cluster_.worker(worker).info_.id_;
    stopper_->stop(job, {JobState::Waiting, "worker " + id.value() + " did not renew a lease: " + toString(error), std::nullopt, {}, false});
}

auto LeaseRenewer::schedule(WorkerIndex worker, SteadyTime time) -> void
{
    if (dueByWorker_.size() <= worker) {
        dueByWorker_.resize(worker + 1);
    }
    auto &due = dueByWorker_[worker];
    if (due && *due <= time) {
        return;
    }
    if (due) {
        due_.erase({*due, worker});
    }
    due = time;
    due_.insert({time, worker});
}
} // namespace Marjoramfold
