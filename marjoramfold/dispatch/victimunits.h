#pragma once

#include "marjoramfold/core/clock.h"
#include "marjoramfold/core/ids.h"
#include "marjoramfold/dispatch/workersession.h"

#include <chrono>
#include <cstddef>
#include <functional>
#include <limits>
#include <optional>
#include <vector>

namespace Marjoramfold
{
/// What the choice of victims needs to know of runs and jobs, besides the sessions.
struct VictimHooks {
    /// Estimated time until a run ends; empty when there is no estimate.
    std::function<std::optional<std::chrono::milliseconds>(const WorkerSession &, const WorkerRun &)> remainingTime_;
    /// When runs of a job were last stopped for other work; zero for never.
    std::function<BootTime(const JobId &)> lastStopped_;
    /// Factor for the cost of stopping runs of a job, by what the delay costs its caller.
    std::function<double(const JobId &)> delayWeight_{};
};

/// A run that belongs to a unit.
struct VictimMember {
    WorkerSession *session_ = nullptr;
    const RunKey *key_ = nullptr;
    const WorkerRun *run_ = nullptr;
    /// Position of its worker among the usable ones.
    std::size_t worker_ = 0;
};

/// Runs that end as a whole when one of them is stopped: a single run, or all members of a gang on all workers.
struct VictimUnit {
    /// Core-seconds that a stop costs: what was not saved, and the restart. An accelerator counts as eight cores.
    double loss_ = 0;
    /// The part of it that is work which was done and not saved.
    double lostWork_ = 0;
    /// Time until the last member is expected to end, at least 0.1 s.
    double remainingSeconds_ = 0;
    /// The runs are about to end by themselves.
    bool endsSoon_ = false;
    /// A member is being stopped, wherever it is.
    bool isStopping_ = false;
    /// A member on a worker that responds is being stopped, so that all members end. A stop may not reach any other worker.
    bool isEnding_ = false;
    /// A member's start command has not been sent, so that it cannot be stopped yet.
    bool isUnsent_ = false;
    /// Range in the members of all units.
    std::size_t firstMember_ = 0;
    std::size_t endMember_ = 0;
};

/// All runs of the sessions, by the units in which they end. The runs must outlast it.
class VictimUnits
{
public:
    /// Position of a worker that gets no work now.
    static constexpr auto NoWorker = std::numeric_limits<std::size_t>::max();

    /// `usable` are the workers that may get work, in the order of the sessions.
    VictimUnits(const WorkerSessionMap &sessions, const std::vector<const WorkerSession *> &usable, const VictimHooks &hooks, BootTime now);

    [[nodiscard]] auto units() const -> const std::vector<VictimUnit> &;

    /// The members of all units.
    [[nodiscard]] auto members() const -> const std::vector<VictimMember> &;

    /// Units with members on a usable worker; a unit occurs once for each member there.
    [[nodiscard]] auto unitsAt(std::size_t worker) const -> const std::vector<std::size_t> &;

    /// Any member of the unit. The members have priority, team, demand and gang size in common.
    [[nodiscard]] auto anyMember(const VictimUnit &unit) const -> const VictimMember &;

    /// True when there are runs of lower priority, or runs that end in any case.
    [[nodiscard]] auto mayMakeRoomFor(int priority) const -> bool;

    /// Counts a unit as being stopped, for the searches that follow in the pass.
    auto markStopped(std::size_t unit) -> void;

private:
    /// Sets what the members tell: cost, remaining time and stages.
    auto assess(VictimUnit &unit, const VictimHooks &hooks, BootTime now) const -> void;

    std::vector<VictimUnit> units_;
    std::vector<VictimMember> members_;
    std::vector<std::vector<std::size_t>> unitsAt_;
    int lowestPriority_ = 0;
    bool hasEnding_ = false;
};
} // namespace Marjoramfold
