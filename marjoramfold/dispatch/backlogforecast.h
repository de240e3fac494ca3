#pragma once

#include "marjoramfold/core/clock.h"
#include "marjoramfold/fleet/jobplan.h"
#include "marjoramfold/fleet/operatorconfig.h"

#include <chrono>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace Marjoramfold
{
/// Work in core-seconds and accelerator-seconds, or a rate of it.
struct ResourceSeconds {
    double cores_ = 0;
    double accelerators_ = 0;

    auto operator+=(const ResourceSeconds &other) -> ResourceSeconds &
    {
        cores_ += other.cores_;
        accelerators_ += other.accelerators_;
        return *this;
    }
};

/// Work that a number of tasks need by their expected run time.
[[nodiscard]] auto workOf(const ResourceVector &task, std::chrono::milliseconds expected, std::uint32_t count) -> ResourceSeconds;

/// A pool: what its usable workers can do per second, and the work of all tasks that ended successfully since the leader began.
struct PoolSample {
    ResourceSeconds room_;
    ResourceSeconds ended_;
};

/// The waiting work of a queue.
struct QueueSample {
    const QueueConfig *queue_ = nullptr;
    /// Measured run time relative to the estimates.
    double ratio_ = 1.0;
    /// Work of jobs that can meet their objective, and of those that can end late but usefully.
    ResourceSeconds timely_;
    ResourceSeconds late_;
    /// Mean length of the critical path of the queue's open jobs, by expected run times.
    std::chrono::milliseconds typicalPath_{0};
    /// Smallest demand of the waiting tasks for which the free capacity is insufficient; empty when all of them fit.
    std::optional<ResourceVector> blockedTask_;
};

/// What the leader knows of waiting work and capacity at one time.
struct BacklogSample {
    std::map<std::string, PoolSample> pools_;
    std::vector<QueueSample> queues_;
};

/// Times until the resources are free for new work.
struct ResourceWaits {
    std::chrono::milliseconds cores_{0};
    std::chrono::milliseconds accelerators_{0};

    auto operator==(const ResourceWaits &) const -> bool = default;
};

/// Forecast for new jobs of a queue whose typical job could not end in time.
struct QueueForecast {
    std::string queue_;
    double ratio_ = 1.0;
    /// Waits behind the work of equal or higher rank that can meet its objective, and behind all of it that is still useful.
    ResourceWaits timely_;
    ResourceWaits useful_;
    std::chrono::milliseconds typicalPath_{0};
    ResourceVector blockedTask_;

    auto operator==(const QueueForecast &) const -> bool = default;
};

/// When a job would start, and the latest start with which its end is still useful.
struct StartForecast {
    std::chrono::milliseconds startsIn_{0};
    std::chrono::milliseconds lastUsefulStart_{0};

    /// True when the job could not end within its last useful time.
    [[nodiscard]] auto isHopeless() const -> bool
    {
        return startsIn_ > lastUsefulStart_;
    }
};

/// Forecast for a job that is accepted now. A job with tasks that may fit into free capacity starts at once.
[[nodiscard]] auto forecastStart(const QueueForecast &forecast, const QueueConfig &queue, const JobPlan &plan) -> StartForecast;

/// Finds the queues whose new jobs could not end in time, from samples of one leader.
///
/// Errs in favour of callers: work is assumed to be done at twice the measured rate, and at least as fast as all usable workers could do it.
class BacklogForecast
{
public:
    /// Adds a sample and returns the queues whose submissions are to be rejected. A queue is returned when all forecasts since at least
    /// MinHopelessTime found it hopeless.
    [[nodiscard]] auto update(const BacklogSample &sample, BootTime now) -> std::vector<QueueForecast>;

    /// Time for which a queue must be hopeless, so that a short burst rejects nothing.
    static constexpr std::chrono::milliseconds MinHopelessTime{1000};

private:
    struct EndedWork {
        BootTime at_{};
        std::map<std::string, ResourceSeconds> byPool_;
    };

    auto addEndedWork(const BacklogSample &sample, BootTime now) -> void;
    /// Largest rate at which the work of a pool can be expected to be done.
    [[nodiscard]] auto highestRate(const std::string &pool, const PoolSample &sample) const -> ResourceSeconds;
    [[nodiscard]] auto forecastQueue(const BacklogSample &sample, const QueueSample &queue) const -> std::optional<QueueForecast>;

    std::deque<EndedWork> history_;
    /// When each queue that is hopeless was first found so.
    std::map<std::string, BootTime> hopelessSince_;
};
} // namespace Marjoramfold
