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
/// Only Normal jobs are compared between policies; each other kind is a reason to exclude a job.
enum class PlannedJobKind {
    Normal,
    /// Started before the measured time; fills the cluster.
    Background,
    /// Does not fit in any worker, rack or availability zone.
    Impossible,
    /// Fails on every worker.
    Crashing,
    /// Cancelled by a BulkCancellation.
    Cancelled,
};

/// A job of a scenario, with its actual run time and memory, which differ from the declared ones.
struct PlannedJob {
    JobSpec spec_;
    SteadyTime submitted_;
    PlannedJobKind kind_ = PlannedJobKind::Normal;
    std::chrono::milliseconds actualRunTime_{0};
    std::int64_t actualMemoryMb_ = 0;

    /// Total number of accelerators of the gang.
    [[nodiscard]] auto accelerators() const -> int
    {
        return spec_.gangSize_ * spec_.task_.accelerators_;
    }
};

/// A period during which a worker fails every task that it starts, or is lost.
struct WorkerFault {
    std::size_t worker_ = 0;
    SteadyTime from_;
    SteadyTime to_;
    /// Whether the worker is lost with its tasks, rather than failing the tasks that it starts.
    bool lost_ = false;
    /// Time from the notice that the worker will leave to its loss; 0 for a loss without notice.
    std::chrono::milliseconds notice_{0};
};

/// Jobs that are cancelled at the same time.
struct BulkCancellation {
    SteadyTime at_;
    std::vector<JobId> jobs_;
};

/// A rule set and the time when it takes effect.
struct PlannedRules {
    SteadyTime at_;
    RuleSetPointer rules_;
};

/// All inputs of a run. They depend on name, seed and scale, but not on the policy.
struct Scenario {
    std::string name_;
    std::uint64_t seed_ = 0;
    std::vector<WorkerInfo> workers_;
    /// Ordered by time; the first is in force from the start.
    std::vector<PlannedRules> rules_;
    /// Ordered by submission time.
    std::vector<PlannedJob> jobs_;
    std::vector<WorkerFault> faults_;
    std::vector<BulkCancellation> cancellations_;
    /// End of submissions, and of the period that time averages cover.
    SteadyTime loadEnd_;
    /// Latest end of the run.
    SteadyTime end_;
    /// Times when an availability zone is taken out and brought back.
    SteadyTime zoneOut_;
    SteadyTime zoneBack_;
    /// Interval between usage reports of one task.
    std::chrono::milliseconds usageInterval_{60'000};
};

/// Creates a scenario by name; empty for an unknown name. The scale multiplies the workers, teams and jobs of design-size.
[[nodiscard]] auto makeScenario(std::string_view name, std::uint64_t seed, double scale) -> std::optional<Scenario>;
} // namespace Marjoramfold
