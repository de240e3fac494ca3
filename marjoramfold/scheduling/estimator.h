#pragma once

#include "marjoramfold/core/job.h"

#include <chrono>
#include <map>
#include <string>
#include <utility>

namespace Marjoramfold
{
/// Expected run time of a job with an upper estimate.
struct RunTimeEstimate {
    /// Geometric mean.
    std::chrono::milliseconds expected_{0};
    /// One standard deviation of the logarithm above the mean.
    std::chrono::milliseconds pessimistic_{0};
};

/// Estimates run time and memory per team and job name from finished runs. Uses declared values until runs have finished.
class Estimator
{
public:
    /// Without learning, estimates are always the declared values.
    explicit Estimator(bool isLearning);

    /// Adds the run time of a finished job, excluding time lost to evictions.
    auto learnRunTime(const JobSpec &spec, std::chrono::milliseconds runTime) -> void;

    /// Adds the peak memory of any task of a finished job.
    auto learnMemory(const JobSpec &spec, std::int64_t peakMb) -> void;

    [[nodiscard]] auto runTime(const JobSpec &spec) const -> RunTimeEstimate;

    /// Memory to reserve per task: the declared size, or less once enough runs of the same name used much less than declared.
    [[nodiscard]] auto memoryMb(const JobSpec &spec) const -> std::int64_t;

private:
    /// Running mean and variance of the logarithm of a quantity.
    struct LogSeries {
        int count_ = 0;
        double mean_ = 0;
        double squaredDeviations_ = 0;

        auto add(double value) -> void;
        [[nodiscard]] auto variance(double prior) const -> double;
    };
    struct History {
        LogSeries runTime_;
        LogSeries runTimeOverDeclared_;
        int memoryRuns_ = 0;
        /// Largest ratio of used to declared memory.
        double memoryOverDeclared_ = 0;
    };

    using Key = std::pair<TeamId, std::string>;

    bool isLearning_;
    std::map<Key, History> histories_;
};
} // namespace Marjoramfold
