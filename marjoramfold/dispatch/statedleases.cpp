#include "marjoramfold/dispatch/workersessions.h"

#include <algorithm>

namespace Marjoramfold
{
// What a leader states of its workers' leases for its successor.

auto WorkerSessions::stateLeases(std::uint64_t recordedBefore) -> LeaseStatement
{
    LeaseStatement statement;
    statement.recordedBefore_ = recordedBefore;
    const auto now = BootClock::now();
    for (const auto &[id, session] : sessions_) {
        const auto leaseLeft = silentLeaseLeft(*session, now);
        if (leaseLeft && statement.silent_.size() < LeaseStatement::MaxWorkers) {
            session->statedSilent_ = true;
            statement.silent_.push_back({id, *leaseLeft});
            continue;
        }
        const auto hasUnreported = std::any_of(session->runs_.begin(), session->runs_.end(), [](const auto &run) {
            return !run.second.reported_;
        });
        // A former leader may have granted more than this one requests.
        const auto clock = session->clock_ + std::chrono::duration_cast<std::chrono::milliseconds>(now - session->clockAt_);
        const auto hasLongLease = !session->runs_.empty() && session->leaseUntil_ - clock > inherited_.longestRequested() + options_.leaseMargin_;
        if (hasUnreported || hasLongLease) {
            statement.unreported_.push_back(id);
        }
    }
    if (statement.unreported_.size() > LeaseStatement::MaxWorkers) {
        statement.recordedBefore_ = 0;
        statement.unreported_.clear();
    }
    return statement;
}

auto WorkerSessions::silentLeaseLeft(const WorkerSession &session, BootTime now) const -> std::optional<std::chrono::milliseconds>
{
    if (session.unreachableSince_ == BootTime{} || session.runs_.empty()) {
        return std::nullopt;
    }
    auto latest = now;
    for (const auto &[key, run] : session.runs_) {
        const auto end = leaseEnd(session, run);
        // A start command that is not sent yet, or on its way, may still request a lease.
        if (!end || run.stage_ == RunStage::Recorded || run.stage_ == RunStage::StartSent) {
            return std::nullopt;
        }
        latest = std::max(latest, *end);
    }
    return std::chrono::ceil<std::chrono::milliseconds>(latest - now);
}

auto WorkerSessions::onStatementConfirmed(const LeaseStatement &statement) -> void
{
    for (const auto &[id, session] : sessions_) {
        if (session->statedSilent_ && statement.findSilent(id) == nullptr) {
            session->statedSilent_ = false;
            queueRenewal(*session);
            events_.capacityChanged_();
        }
    }
}
} // namespace Marjoramfold
