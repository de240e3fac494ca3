#pragma once

#include "fakecluster.h"

#include <vector>

namespace Marjoramfold
{
/// Jobs with at least this many accelerators count as large.
constexpr int LargeAccelerators = 32;

/// Mean and percentiles of a set of values; 0 when it is empty.
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

/// Reads completion times from the simulated cluster at the end of a run.
[[nodiscard]] auto completionTimes(const Scenario &scenario, const FakeCluster &cluster) -> CompletionTimes;

/// Measures fragmentation, utilization and useful work during a run.
class ClusterMetrics : public FakeClusterObserver
{
public:
    ClusterMetrics(const Scenario &scenario, const FakeCluster &cluster, const EventQueue &queue);

    /// Takes one sample, weighted by the sampling interval.
    auto sample(std::chrono::milliseconds interval) -> void;
    /// Called when a rule set takes effect in the log.
    auto rulesInForce(RuleSetPointer rules) -> void;

    /// Time average of 1 - a / b: a is the largest number of idle workers in a zone, b that number if free accelerators were packed.
    [[nodiscard]] auto fragmentation() const -> double;
    /// Accelerator time in use relative to capacity, while the load lasts.
    [[nodiscard]] auto utilization() const -> double;
    /// Useful accelerator time around the zone change, relative to the capacity of the zones that are in.
    [[nodiscard]] auto zoneChangeUsefulWork() const -> double;
    /// Time average of the number of tasks on workers, while the load lasts.
    [[nodiscard]] auto meanTasks() const -> double;

    auto attemptClosed(std::size_t job, const FakeAttempt &attempt) -> void override;

private:
    auto addUseful(const ComputeInterval &interval, int accelerators, std::chrono::milliseconds from, std::chrono::milliseconds to) -> void;

    const Scenario &scenario_;
    const FakeCluster &cluster_;
    const EventQueue &queue_;
    RuleSetPointer rules_;
    AvailabilityZoneId changingZone_;
    SteadyTime windowEnd_;
    /// Progress of each job that has been counted as useful.
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
