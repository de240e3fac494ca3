#include "marjoramfold/dispatch/inheritedleases.h"

#include "marjoramfold/core/namedvalues.h"

#include <algorithm>
#include <array>
#include <utility>

namespace Marjoramfold
{
namespace
{
constexpr std::array BoundNames{
    NamedValue<LeaseBound>{LeaseBound::Stated, "stated"},
    NamedValue<LeaseBound>{LeaseBound::Requested, "requested"},
    NamedValue<LeaseBound>{LeaseBound::Longest, "longest"},
};
} // namespace

auto toString(LeaseBound bound) -> std::string_view
{
    return nameOf(BoundNames, bound);
}

InheritedLeases::InheritedLeases(const DispatchOptions &options)
    : options_(options)
{
}

auto InheritedLeases::setFormerCommands(FormerCommands former) -> void
{
    former_ = std::move(former);
}

auto InheritedLeases::isKnown() const -> bool
{
    return former_.has_value();
}

auto InheritedLeases::mayExist() const -> bool
{
    return !former_ || former_->exist_;
}

auto InheritedLeases::stretched(std::chrono::milliseconds time) const -> std::chrono::milliseconds
{
    return std::chrono::ceil<std::chrono::milliseconds>(time * (1.0 / (1.0 - options_.maxClockDrift_)));
}

auto InheritedLeases::longestRequested() const -> std::chrono::milliseconds
{
    // The worker's clock may have fallen behind the former leader's estimate since the worker's last answer.
    const auto silence = options_.maxTermWithoutStore_;
    const auto requested = std::min(options_.requestedLease_, options_.maxLease_);
    return std::min(stretched(requested + silence) - silence, stretched(options_.maxLease_));
}

auto InheritedLeases::wasReported(const WorkerId &worker, const WorkerRun &run) const -> bool
{
    return former_ && former_->statement_ && former_->statement_->covers(worker, run.recordedAt_);
}

auto InheritedLeases::boundOf(const WorkerId &worker, const WorkerRun &run) const -> LeaseBound
{
    if (former_ && former_->statement_ && former_->statedAt_ && former_->statement_->findSilent(worker) != nullptr) {
        return LeaseBound::Stated;
    }
    return wasReported(worker, run) ? LeaseBound::Requested : LeaseBound::Longest;
}

auto InheritedLeases::endOf(const WorkerId &worker, const WorkerRun &run) const -> std::optional<BootTime>
{
    if (!former_) {
        return std::nullopt;
    }
    const auto bound = boundOf(worker, run);
    if (bound == LeaseBound::Stated) {
        return *former_->statedAt_ + former_->statement_->findSilent(worker)->leaseLeft_;
    }
    // A requested lease ends at a time on the worker's clock, also when its command arrives late.
    const auto requested = former_->reportedUntil_ + longestRequested() + options_.leaseMargin_;
    if (bound == LeaseBound::Requested) {
        return requested;
    }
    return std::max(requested, former_->unreportedUntil_ + options_.commandTimeout_ + stretched(options_.maxLease_) + options_.leaseMargin_);
}

auto InheritedLeases::longestGrant(const WorkerId &worker, const WorkerRun &run) const -> std::chrono::milliseconds
{
    return wasReported(worker, run) ? std::min(longestRequested(), options_.maxLease_) : options_.maxLease_;
}
} // namespace Marjoramfold
