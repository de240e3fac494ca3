#include "marjoramfold/dispatch/backlogforecast.h"

#include "marjoramfold/dispatch/joborder.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace Marjoramfold
{
namespace
{
/// Time over which the rate of ends is measured. Longer than most tasks take (2 to 9 s), whose ends come in waves.
constexpr std::chrono::seconds RateWindow{15};
/// A rate measured over less time is not used.
constexpr std::chrono::seconds MinRateTime{5};
/// Estimates may be wrong by 50 %, so that the waiting work may be done at twice the measured rate.
constexpr double RateTolerance = 2.0;
/// Larger waits make no difference and are limited, so that they can be stored.
constexpr std::chrono::milliseconds MaxWait = std::chrono::hours(1);
constexpr double MilliCoresPerCore = 1000.0;

auto waitFor(double work, double rate) -> std::chrono::milliseconds
{
    if (work <= 0) {
        return std::chrono::milliseconds(0);
    }
    const auto limit = std::chrono::duration<double>(MaxWait);
    const auto wait = rate > 0 ? std::min(limit, std::chrono::duration<double>(work / rate)) : limit;
    return std::chrono::duration_cast<std::chrono::milliseconds>(wait);
}

auto waitsFor(const ResourceSeconds &work, const ResourceSeconds &rate) -> ResourceWaits
{
    return {waitFor(work.cores_, rate.cores_), waitFor(work.accelerators_, rate.accelerators_)};
}

/// Wait of a job that needs the resources of a task.
auto waitOf(const ResourceWaits &waits, const ResourceVector &task) -> std::chrono::milliseconds
{
    const auto cores = task.milliCores_ > 0 ? waits.cores_ : std::chrono::milliseconds(0);
    const auto accelerators = task.accelerators_ > 0 ? waits.accelerators_ : std::chrono::milliseconds(0);
    return std::max(cores, accelerators);
}

auto startOf(const QueueForecast &forecast, const QueueConfig &queue, const ResourceVector &task, std::chrono::milliseconds path) -> StartForecast
{
    const auto objective = std::chrono::duration<double, std::milli>(path) * queue.stretch_ + queue.targetLatency_;
    const auto latestStart = [path](std::chrono::duration<double, std::milli> end) {
        const auto start = std::clamp(end - path, std::chrono::duration<double, std::milli>(0), std::chrono::duration<double, std::milli>(MaxWait));
        return std::chrono::duration_cast<std::chrono::milliseconds>(start);
    };
    // A job that can meet its objective goes before those that cannot, so it waits for those only when it has become late itself.
    const auto timely = waitOf(forecast.timely_, task);
    const auto startsIn = timely <= latestStart(objective) ? timely : waitOf(forecast.useful_, task);
    return {startsIn, latestStart(objective * UsefulLatenessFactor)};
}

auto criticalPathOf(const JobPlan &plan, double ratio) -> std::chrono::milliseconds
{
    OccurrenceState nothingDone;
    nothingDone.steps_.resize(plan.steps_.size());
    return remainingCriticalPath(plan, nothingDone, ratio);
}
} // namespace

auto workOf(const ResourceVector &task, std::chrono::milliseconds expected, std::uint32_t count) -> ResourceSeconds
{
    const auto seconds = std::chrono::duration<double>(expected).count() * count;
    return {static_cast<double>(task.milliCores_) / MilliCoresPerCore * seconds, static_cast<double>(task.accelerators_) * seconds};
}

auto forecastStart(const QueueForecast &forecast, const QueueConfig &queue, const JobPlan &plan) -> StartForecast
{
    ResourceVector largest;
    auto blocked = false;
    for (const auto &step : plan.steps_) {
        // Free capacity that is insufficient for a task is insufficient for all tasks that need no less.
        blocked = blocked || step.task_.covers(forecast.blockedTask_);
        largest.milliCores_ = std::max(largest.milliCores_, step.task_.milliCores_);
        largest.accelerators_ = std::max(largest.accelerators_, step.task_.accelerators_);
    }
    // The caller's estimate may be far too low, which would also make the objective too short.
    const auto path = std::max(criticalPathOf(plan, forecast.ratio_), forecast.typicalPath_);
    auto start = startOf(forecast, queue, largest, path);
    if (!blocked) {
        start.startsIn_ = std::chrono::milliseconds(0);
    }
    return start;
}

auto BacklogForecast::update(const BacklogSample &sample, BootTime now) -> std::vector<QueueForecast>
{
    addEndedWork(sample, now);
    std::vector<QueueForecast> rejecting;
    std::map<std::string, BootTime> hopeless;
    for (const auto &queue : sample.queues_) {
        auto forecast = forecastQueue(sample, queue);
        if (!forecast) {
            continue;
        }
        const auto found = hopelessSince_.find(forecast->queue_);
        const auto since = found == hopelessSince_.end() ? now : found->second;
        hopeless[forecast->queue_] = since;
        if (now - since >= MinHopelessTime) {
            rejecting.push_back(std::move(*forecast));
        }
    }
    hopelessSince_ = std::move(hopeless);
    return rejecting;
}

auto BacklogForecast::addEndedWork(const BacklogSample &sample, BootTime now) -> void
{
    EndedWork ended{now, {}};
    for (const auto &[name, pool] : sample.pools_) {
        ended.byPool_[name] = pool.ended_;
    }
    history_.push_back(std::move(ended));
    while (now - history_.front().at_ > RateWindow) {
        history_.pop_front();
    }
}

auto BacklogForecast::highestRate(const std::string &pool, const PoolSample &sample) const -> ResourceSeconds
{
    const auto &first = history_.front();
    const auto elapsed = std::chrono::duration<double>(history_.back().at_ - first.at_);
    if (elapsed < MinRateTime) {
        return {sample.room_.cores_ * RateTolerance, sample.room_.accelerators_ * RateTolerance};
    }
    const auto found = first.byPool_.find(pool);
    const auto before = found == first.byPool_.end() ? ResourceSeconds() : found->second;
    // Few ends may also follow from long tasks or a fault that passes, so the rate is never below what the workers could do.
    const auto rate = [elapsed](double ended, double endedBefore, double room) {
        return std::max(room, RateTolerance * (ended - endedBefore) / elapsed.count());
    };
    return {rate(sample.ended_.cores_, before.cores_, sample.room_.cores_),
            rate(sample.ended_.accelerators_, before.accelerators_, sample.room_.accelerators_)};
}

auto BacklogForecast::forecastQueue(const BacklogSample &sample, const QueueSample &queue) const -> std::optional<QueueForecast>
{
    const auto pool = sample.pools_.find(queue.queue_->pool_);
    // Urgent queues are never rejected, since guarantees go first. Without workers there is nothing to judge by.
    if (queue.queue_->priority_ <= 0 || !queue.blockedTask_ || pool == sample.pools_.end() || pool->second.room_.cores_ <= 0) {
        return std::nullopt;
    }
    ResourceSeconds timely;
    ResourceSeconds late;
    for (const auto &other : sample.queues_) {
        if (other.queue_->pool_ == queue.queue_->pool_ && other.queue_->priority_ <= queue.queue_->priority_) {
            timely += other.timely_;
            late += other.late_;
        }
    }
    const auto rate = highestRate(pool->first, pool->second);
    auto useful = timely;
    useful += late;
    QueueForecast forecast{queue.queue_->name_, queue.ratio_, waitsFor(timely, rate), waitsFor(useful, rate), queue.typicalPath_, *queue.blockedTask_};
    const auto start = startOf(forecast, *queue.queue_, forecast.blockedTask_, queue.typicalPath_);
    return start.isHopeless() ? std::optional(std::move(forecast)) : std::nullopt;
}
} // namespace Marjoramfold
