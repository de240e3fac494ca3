#pragma once

#include "marjoramfold/core/clock.h"
#include "marjoramfold/dispatch/dispatchoptions.h"
#include "marjoramfold/dispatch/leasestatement.h"
#include "marjoramfold/dispatch/workersession.h"

#include <chrono>
#include <cstdint>
#include <memory>
#include <optional>
#include <string_view>

namespace Marjoramfold
{
/// Until when former leaders may have sent commands to workers, and what the last of them stated.
struct FormerCommands {
    /// Renewals of leases for runs that their workers had reported.
    BootTime reportedUntil_{};
    /// Start commands, and renewals for runs that their workers had not reported.
    BootTime unreportedUntil_{};
    /// Statement of the last former leader; null if none is known.
    std::shared_ptr<const LeaseStatement> statement_ = nullptr;
    /// When the statement arrived, if the store has confirmed no later one.
    std::optional<BootTime> statedAt_ = std::nullopt;
    /// False when it is certain that no leader came before.
    bool exist_ = true;
};

/// What limits the lease that former leaders granted for a run.
enum class LeaseBound : std::uint8_t {
    /// The last former leader stated for how long the lease of the silent worker may last.
    Stated,
    /// The worker had reported the run, so its lease was the requested one.
    Requested,
    /// An incarnation with another clock may have granted the longest lease.
    Longest,
};

/// Name of a bound for logs.
[[nodiscard]] auto toString(LeaseBound bound) -> std::string_view;

/// Decides until when leases that former leaders granted may last at workers that have not answered this leader.
///
/// Pure. Asked each tick for the runs of silent workers; a question takes time logarithmic in the statement's size.
class InheritedLeases
{
public:
    /// Knows of no former leader until setFormerCommands() is called.
    explicit InheritedLeases(const DispatchOptions &options);

    /// Sets what is known of the former leaders; it may become tighter.
    auto setFormerCommands(FormerCommands former) -> void;

    /// True once setFormerCommands() was called.
    [[nodiscard]] auto isKnown() const -> bool;

    /// False when it is certain that no leader came before.
    [[nodiscard]] auto mayExist() const -> bool;

    /// Time after which a former leader's run has ended, unless this leader renewed its lease; empty until known.
    [[nodiscard]] auto endOf(const WorkerId &worker, const WorkerRun &run) const -> std::optional<BootTime>;

    /// What limits the lease of a former leader's run.
    [[nodiscard]] auto boundOf(const WorkerId &worker, const WorkerRun &run) const -> LeaseBound;

    /// Longest lease of a run that a former leader may have granted, counted from a report of the run's worker.
    [[nodiscard]] auto longestGrant(const WorkerId &worker, const WorkerRun &run) const -> std::chrono::milliseconds;

    /// Longest lease that a request grants by the clock of a worker that has answered, on the leader's clock.
    [[nodiscard]] auto longestRequested() const -> std::chrono::milliseconds;

private:
    /// True when a report of the worker had listed the run to the last former leader.
    [[nodiscard]] auto wasReported(const WorkerId &worker, const WorkerRun &run) const -> bool;
    /// Duration that a lease of the given length may take on the leader's clock.
    [[nodiscard]] auto stretched(std::chrono::milliseconds time) const -> std::chrono::milliseconds;

    DispatchOptions options_;
    std::optional<FormerCommands> former_;
};
} // namespace Marjoramfold
