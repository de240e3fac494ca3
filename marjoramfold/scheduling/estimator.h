#pragma once

#include "marjoramfold/core/job.h"

#include <chrono>
#include <map>
#include <string>
#include <utility>

namespace Marjoramfold
{
/// Expected run time of a job and how sure it is.
struct RunTimeEstimate {
    /// Geometric mean.
    std::chrono::milliseconds expected_{0};
    /// One standard deviation above it.
    std::chrono::milliseconds pessimistic_{0};
};

/// Learns run times and memory use per team and job name from finished runs. Declared values serve until runs were seen.
class Estimator
{
public:
    /// With learning off, declared values are always used.
    explicit Estimator(bool isLearning);

    /// Takes the run time of a finished job, without time lost to evictions.
    auto learnRunTime(const JobSpec &spec, std::chrono::milliseconds runTime) -> void;

    /// Takes the largest memory use of a task of a finished job.
    auto learnMemory(const JobSpec &spec, std::int64_t peakMb) -> void;

    [[nodiscard]] auto runTime(const JobSpec &spec) const -> RunTimeEstimate;

    /// Memory to reserve per task: the declared size, or less once enough runs of the kind used much less of their declarations.
    [[nodiscard]] auto memoryMb(const JobSpec &spec) const -> std::int64_t;

private:
    /// Mean and spread of the logarithms of a quantity.
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
        /// Largest use over declaration.
        double memoryOverDeclared_ = 0;
    };

    using Key = std::pair<TeamId, std::string>;

    bool isLearning_;
    std::map<Key, History> histories_;
};
} // namespace Marjoramfold
