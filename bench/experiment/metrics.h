#pragma once

#include "fakecluster.h"

#include <vector>

namespace Marjoramfold
{
/// Gangs of at least this many accelerators are large.
constexpr int LargeAccelerators = 32;

/// Mean and percentiles of a set of figures; 0 when there are none.
struct Distribution {
    std::size_t count_ = 0;
    double mean_ = 0;
    double p50_ = 0;
    double p95_ = 0;
    double p99_ = 0;
    double max_ = 0;
};

/// Computes mean and nearest-rank percentiles.
[[nodiscard]] auto distributionOf(std::vector<double> values) -> Distribution;

/// Completion times of the jobs that are compared between policies, in seconds.
struct CompletionTimes {
    int submitted_ = 0;
    int finished_ = 0;
    Distribution all_;
    Distribution small_;
    Distribution medium_;
    Distribution large_;
    Distribution urgentStart_;
};

/// Reads completion times from the fakes at the end of a run.
[[nodiscard]] auto completionTimes(const Scenario &scenario, const FakeCluster &cluster) -> CompletionTimes;

/// Measures fragmentation, use and useful work while the run goes on.
class ClusterMetrics : public FakeClusterObserver
{
public:
    ClusterMetrics(const Scenario &scenario, const FakeCluster &cluster, const EventQueue &queue);

    /// Adds one sample that stands for an interval.
    auto sample(std::chrono::milliseconds interval) -> void;
    /// A rule set took effect at the log.
    auto rulesInForce(RuleSetPointer rules) -> void;

    /// 1 - whole free workers of the best availability zone / whole workers that its free accelerators would fill, time average.
    [[nodiscard]] auto fragmentation() const -> double;
    /// Accelerator time in use over capacity while the load lasts.
    [[nodiscard]] auto utilization() const -> double;
    /// Useful accelerator time around the zone change over the capacity in force.
    [[nodiscard]] auto zoneChangeUsefulWork() const -> double;
    /// Tasks on workers, time average while the load lasts.
    [[nodiscard]] auto meanTasks() const -> double;

    auto attemptClosed(std::size_t job, const FakeAttempt &attempt) -> void override;

private:
    auto addUseful(const ComputeStretch &stretch, int accelerators, std::chrono::milliseconds from, std::chrono::milliseconds to) -> void;

    const Scenario &scenario_;
    const FakeCluster &cluster_;
    const EventQueue &queue_;
    RuleSetPointer rules_;
    AvailabilityZoneId changingZone_;
    SteadyTime windowEnd_;
    /// Progress of each job that is already counted as useful.
    std::vector<std::chrono::milliseconds> credited_;
    double fragmentationSum_ = 0;
    int fragmentationSamples_ = 0;
    double usedSum_ = 0;
    double capacitySum_ = 0;
    double tasksSum_ = 0;
    int samples_ = 0;
    double usefulSeconds_ = 0;
    double idealSeconds_ = 0;
};
} // namespace Marjoramfold
