#include "marjoramfold/scheduling/estimator.h"

#include <algorithm>
#include <cmath>

namespace Marjoramfold
{
namespace
{
// Log variance of declared run times whose error factor is log-uniform between 1/10 and 10.
constexpr double DeclaredLogVariance = 1.77;

// Log variance assumed for the run times of one job name before its second run.
constexpr double PriorLogVariance = 1.0;

// Finished runs required before less than the declared memory is reserved.
constexpr int MinRunsToReserveLess = 5;

// Ratio of the reserved share of the declared memory to the largest share used.
constexpr double MemoryMarginFactor = 1.3;

constexpr double MinLogMilliseconds = 1.0;

auto toLog(std::chrono::milliseconds time) -> double
{
    return std::log(std::max(static_cast<double>(time.count()), MinLogMilliseconds));
}

auto fromLog(double value) -> std::chrono::milliseconds
{
    return std::chrono::milliseconds(static_cast<std::int64_t>(std::exp(value)));
}
} // namespace

auto Estimator::LogSeries::add(double value) -> void
{
    ++count_;
    const auto distance = value - mean_;
    mean_ += distance / count_;
    squaredDeviations_ += distance * (value - mean_);
}

// Variance of the next value: the observed variance, with the prior counted as one observation, plus the variance of the mean.
auto Estimator::LogSeries::variance(double prior) const -> double
{
    const auto spread = (prior + squaredDeviations_) / std::max(count_, 1);
    return spread + spread / std::max(count_, 1);
}

Estimator::Estimator(bool isLearning)
    : isLearning_(isLearning)
{
}

auto Estimator::learnRunTime(const JobSpec &spec, std::chrono::milliseconds runTime) -> void
{
    auto &history = histories_[{spec.team_, spec.name_}];
    history.runTime_.add(toLog(runTime));
    history.runTimeOverDeclared_.add(toLog(runTime) - toLog(spec.declaredRunTime_));
}

auto Estimator::learnMemory(const JobSpec &spec, std::int64_t peakMb) -> void
{
    auto &history = histories_[{spec.team_, spec.name_}];
    ++history.memoryRuns_;
    const auto declared = static_cast<double>(std::max<std::int64_t>(spec.task_.memoryMb_, 1));
    history.memoryOverDeclared_ = std::max(history.memoryOverDeclared_, static_cast<double>(peakMb) / declared);
}

// Declared run times may or may not correlate with actual ones, so absolute and relative run times are weighted by inverse variance.
auto Estimator::runTime(const JobSpec &spec) const -> RunTimeEstimate
{
    const auto declared = toLog(spec.declaredRunTime_);
    const auto found = histories_.find({spec.team_, spec.name_});
    if (!isLearning_ || found == histories_.end() || found->second.runTime_.count_ == 0) {
        return {fromLog(declared), fromLog(declared + std::sqrt(DeclaredLogVariance))};
    }
    const auto &history = found->second;
    const auto fixedVariance = history.runTime_.variance(PriorLogVariance);
    const auto scaledVariance = history.runTimeOverDeclared_.variance(DeclaredLogVariance);
    const auto fixedWeight = scaledVariance / (fixedVariance + scaledVariance);
    const auto fixed = history.runTime_.mean_;
    const auto scaled = declared + history.runTimeOverDeclared_.mean_;
    const auto mean = fixedWeight * fixed + (1 - fixedWeight) * scaled;
    return {fromLog(mean), fromLog(mean + std::sqrt(std::min(fixedVariance, scaledVariance)))};
}

auto Estimator::memoryMb(const JobSpec &spec) const -> std::int64_t
{
    const auto declared = spec.task_.memoryMb_;
    const auto found = histories_.find({spec.team_, spec.name_});
    if (!isLearning_ || found == histories_.end() || found->second.memoryRuns_ < MinRunsToReserveLess) {
        return declared;
    }
    const auto share = std::min(found->second.memoryOverDeclared_ * MemoryMarginFactor, 1.0);
    return static_cast<std::int64_t>(static_cast<double>(declared) * share);
}
} // namespace Marjoramfold
