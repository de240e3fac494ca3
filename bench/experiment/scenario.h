#pragma once

#include "marjoramfold/core/clock.h"
#include "marjoramfold/core/job.h"
#include "marjoramfold/rules/ruleset.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string_view>
#include <vector>

namespace Marjoramfold
{
/// Why a planned job cannot be compared between policies, or Normal when it can.
enum class PlannedJobKind {
    Normal,
    /// Runs from before the measured window; fills the cluster.
    Background,
    /// Fits no worker, rack or availability zone.
    Impossible,
    /// Fails on every worker.
    Crashing,
    /// Cancelled by a wave.
    Cancelled,
};

/// A job of a scenario, with what is true of it and not declared.
struct PlannedJob {
    JobSpec spec_;
    SteadyTime submitted_;
    PlannedJobKind kind_ = PlannedJobKind::Normal;
    std::chrono::milliseconds trueRunTime_{0};
    std::int64_t trueMemoryMb_ = 0;

    /// Accelerators of the whole gang.
    [[nodiscard]] auto accelerators() const -> int
    {
        return spec_.gangSize_ * spec_.task_.accelerators_;
    }
};

/// A time during which a worker fails all that it starts, or is lost.
struct WorkerFault {
    std::size_t worker_ = 0;
    SteadyTime from_;
    SteadyTime to_;
    /// True when the worker is lost with its tasks; false when it only fails what it starts.
    bool lost_ = false;
    /// Time between the notice that the worker leaves and its loss; 0 for a loss without notice.
    std::chrono::milliseconds notice_{0};
};

/// Jobs cancelled together.
struct CancellationWave {
    SteadyTime at_;
    std::vector<JobId> jobs_;
};

/// A publish that takes effect at a time.
struct PlannedRules {
    SteadyTime at_;
    RuleSetPointer rules_;
};

/// Everything that a run is made of. It depends on name, seed and scale, never on the policy.
struct Scenario {
    std::string name_;
    std::uint64_t seed_ = 0;
    std::vector<WorkerInfo> workers_;
    /// In order of time; the first is in force from the start.
    std::vector<PlannedRules> rules_;
    /// In order of submission.
    std::vector<PlannedJob> jobs_;
    std::vector<WorkerFault> faults_;
    std::vector<CancellationWave> cancellations_;
    /// End of submissions: averages over time cover the time up to here.
    SteadyTime loadEnd_;
    /// The run ends here at the latest.
    SteadyTime end_;
    /// When the availability zone leaves and returns.
    SteadyTime zoneOut_;
    SteadyTime zoneBack_;
    /// Interval of usage reports of one task.
    std::chrono::milliseconds usageInterval_{60'000};
};

/// Builds a scenario by name; scale multiplies the numbers of workers, teams and jobs of design-size. Empty for an unknown name.
[[nodiscard]] auto makeScenario(std::string_view name, std::uint64_t seed, double scale) -> std::optional<Scenario>;
} // namespace Marjoramfold
