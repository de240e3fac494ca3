#pragma once

#include "marjoramfold/core/ids.h"
#include "marjoramfold/core/result.h"

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>
#include <unordered_map>
#include <vector>

namespace Marjoramfold
{
/// Classes of workers by speed, the fastest first. Differences within a class are not used, because estimates are that noisy.
enum class SpeedClass : std::uint8_t {
    VeryFast,
    Fast,
    Ordinary,
    Slow,
    VerySlow,
};

constexpr std::size_t SpeedClassCount = 5;

/// Name of a class for logs and metrics.
[[nodiscard]] auto toString(SpeedClass speed) -> std::string_view;

/// Class of a relative duration.
[[nodiscard]] auto speedClassOf(double relativeDuration) -> SpeedClass;

/// Learns how long each worker takes for the same work, relative to an ordinary worker.
///
/// Answers the load pattern in which the same task takes up to twice as long on one worker as on another. A sample compares a run with the
/// other tasks of its step, which share one estimate, so that the error of the estimate cancels. Speeds belong to worker ids and outlast
/// restarts, since a worker keeps its machine.
class WorkerSpeeds
{
public:
    /// Key of the record in the progress stream. Keys of jobs contain a dot.
    static constexpr const char *RecordKey = "worker-speeds";

    /// Duration of the same work on a worker, divided by that on an ordinary worker; 1 for a worker without samples.
    [[nodiscard]] auto relativeDuration(const WorkerId &worker) const -> double;

    /// Natural logarithm of the milliseconds that an ordinary worker would take for what took `duration` on a worker.
    [[nodiscard]] auto ordinaryDuration(const WorkerId &worker, std::chrono::milliseconds duration) const -> double;

    /// Learns from a run, given the ordinaryDuration() of other tasks of its step. Returns false if the run tells nothing of its worker.
    auto addSample(const WorkerId &worker, std::chrono::milliseconds duration, std::vector<double> others) -> bool;

    /// True when a sample was added since the record was last encoded or restored.
    [[nodiscard]] auto isChanged() const -> bool;

    /// Workers with samples, by class.
    [[nodiscard]] auto countByClass() const -> std::array<std::size_t, SpeedClassCount>;

    /// Encodes what was learned in at most `maxBytes`; without room for all workers, those with the latest samples.
    [[nodiscard]] auto encode(std::size_t maxBytes) -> std::string;

    /// Replaces what was learned by a record; returns its number of workers. Error: Malformed, without any effect.
    [[nodiscard]] auto restore(const std::string &record) -> Result<std::size_t>;

private:
    /// Weighted samples of one worker.
    struct Estimate {
        /// Weighted mean of the samples, which are natural logarithms of ratios.
        double mean_ = 0;
        /// Sum of the samples' weights, up to a limit.
        double evidence_ = 0;
        /// exp() of the mean after shrinking it towards an ordinary worker.
        double relativeDuration_ = 1;
        /// Number of the latest sample, to forget the workers first that have been gone for longest.
        std::uint64_t lastSample_ = 0;

        auto add(double sample, double weight) -> void;
        auto update() -> void;
    };

    auto forgetOldest() -> void;

    std::unordered_map<WorkerId, Estimate> estimates_;
    std::uint64_t samples_ = 0;
    bool changed_ = false;
};
} // namespace Marjoramfold
