#include "metrics.h"

#include <algorithm>
#include <cmath>
#include <map>
#include <numeric>

namespace Marjoramfold
{
namespace
{
using std::chrono::milliseconds;
using std::chrono::minutes;

/// Time after the return of an availability zone that counts as part of the change, since jobs return at a limited rate.
constexpr minutes ZoneReturnWindow{30};

auto secondsBetween(SteadyTime from, SteadyTime to) -> double
{
    return std::chrono::duration<double>(to - from).count();
}

/// Length of the overlap of [from, to) and [low, high), in seconds.
auto overlap(SteadyTime from, SteadyTime to, SteadyTime low, SteadyTime high) -> double
{
    return std::max(0.0, secondsBetween(std::max(from, low), std::min(to, high)));
}
} // namespace

auto distributionOf(std::vector<double> values) -> Distribution
{
    Distribution result;
    result.count_ = values.size();
    if (values.empty()) {
        return result;
    }
    std::sort(values.begin(), values.end());
    const auto rank = [&](double share) {
        const auto position = static_cast<std::size_t>(std::ceil(share * static_cast<double>(values.size())));
        return values[std::max<std::size_t>(position, 1) - 1];
    };
    result.mean_ = std::accumulate(values.begin(), values.end(), 0.0) / static_cast<double>(values.size());
    result.p50_ = rank(0.50);
    result.p95_ = rank(0.95);
    result.p99_ = rank(0.99);
    result.max_ = values.back();
    return result;
}

auto completionTimes(const Scenario &scenario, const FakeCluster &cluster) -> CompletionTimes
{
    constexpr int SmallAccelerators = 4;
    CompletionTimes times;
    std::vector<double> all;
    std::vector<double> bySize[3];
    std::vector<double> urgent;
    for (std::size_t i = 0; i < scenario.jobs_.size(); ++i) {
        const auto &job = scenario.jobs_[i];
        if (job.kind_ != PlannedJobKind::Normal) {
            continue;
        }
        const auto &simulated = cluster.jobs()[i];
        ++times.submitted_;
        times.finished_ += simulated.finished_ ? 1 : 0;
        // An unfinished job counts as completed at the end of the run, so that a policy gains nothing by dropping jobs.
        const auto completion = secondsBetween(job.submitted_, simulated.finished_.value_or(scenario.end_));
        all.push_back(completion);
        bySize[job.accelerators() >= LargeAccelerators ? 2 : job.accelerators() > SmallAccelerators ? 1 : 0].push_back(completion);
        if (job.spec_.priority_ == PriorityClass::Urgent) {
            urgent.push_back(secondsBetween(job.submitted_, simulated.firstStart_.value_or(scenario.end_)));
        }
    }
    times.all_ = distributionOf(std::move(all));
    times.small_ = distributionOf(std::move(bySize[0]));
    times.medium_ = distributionOf(std::move(bySize[1]));
    times.large_ = distributionOf(std::move(bySize[2]));
    times.urgentStart_ = distributionOf(std::move(urgent));
    return times;
}

ClusterMetrics::ClusterMetrics(const Scenario &scenario, const FakeCluster &cluster, const EventQueue &queue)
    : scenario_(scenario)
    , cluster_(cluster)
    , queue_(queue)
    , windowEnd_(scenario.zoneBack_ + ZoneReturnWindow)
    , credited_(scenario.jobs_.size())
{
    for (const auto &planned : scenario.rules_) {
        for (const auto &[zone, rule] : planned.rules_->zones_) {
            changingZone_ = rule.state_ == AvailabilityZoneState::Out ? zone : changingZone_;
        }
    }
}

auto ClusterMetrics::rulesInForce(RuleSetPointer rules) -> void
{
    rules_ = std::move(rules);
}

auto ClusterMetrics::sample(milliseconds interval) -> void
{
    if (queue_.now() >= scenario_.loadEnd_ && queue_.now() >= windowEnd_) {
        return;
    }
    struct ZoneFree {
        int idleWorkers_ = 0;
        int accelerators_ = 0;
    };
    std::map<AvailabilityZoneId, ZoneFree> zones;
    auto capacity = 0;
    auto free = 0;
    auto largest = 1;
    std::size_t tasks = 0;
    for (const auto &worker : cluster_.workers()) {
        tasks += worker.tasks_.size();
        const auto accelerators = worker.info_.capacity_.accelerators_;
        if (worker.lost_ || accelerators == 0 || rules_->zones_.at(worker.info_.zone_).state_ == AvailabilityZoneState::Out) {
            continue;
        }
        auto &zone = zones[worker.info_.zone_];
        zone.idleWorkers_ += worker.free_.accelerators_ == accelerators ? 1 : 0;
        zone.accelerators_ += worker.free_.accelerators_;
        capacity += accelerators;
        free += worker.free_.accelerators_;
        largest = std::max(largest, accelerators);
    }
    const auto now = queue_.now();
    if (now >= scenario_.zoneOut_ && now < windowEnd_) {
        idealSeconds_ += capacity * std::chrono::duration<double>(interval).count();
    }
    if (now >= scenario_.loadEnd_) {
        return;
    }
    usedSum_ += capacity - free;
    capacitySum_ += capacity;
    tasksSum_ += static_cast<double>(tasks);
    ++samples_;
    auto idleWorkers = 0;
    auto packedIdleWorkers = 0;
    for (const auto &[id, zone] : zones) {
        idleWorkers = std::max(idleWorkers, zone.idleWorkers_);
        packedIdleWorkers = std::max(packedIdleWorkers, zone.accelerators_ / largest);
    }
    if (packedIdleWorkers > 0) {
        fragmentationSum_ += 1.0 - static_cast<double>(idleWorkers) / packedIdleWorkers;
        ++fragmentationSamples_;
    }
}

auto ClusterMetrics::fragmentation() const -> double
{
    return fragmentationSamples_ == 0 ? 0 : fragmentationSum_ / fragmentationSamples_;
}

auto ClusterMetrics::utilization() const -> double
{
    return capacitySum_ == 0 ? 0 : usedSum_ / capacitySum_;
}

auto ClusterMetrics::zoneChangeUsefulWork() const -> double
{
    return idealSeconds_ == 0 ? 0 : usefulSeconds_ / idealSeconds_;
}

auto ClusterMetrics::meanTasks() const -> double
{
    return samples_ == 0 ? 0 : tasksSum_ / samples_;
}

auto ClusterMetrics::attemptClosed(std::size_t index, const FakeAttempt &attempt) -> void
{
    const auto &job = scenario_.jobs_[index];
    // Work counts up to the progress that all members saved; work of a cancelled job counts in full, since the scheduler did not cause its loss.
    const auto saved = job.kind_ == PlannedJobKind::Cancelled ? job.actualRunTime_ : *std::min_element(attempt.saved_.begin(), attempt.saved_.end());
    for (const auto &interval : attempt.intervals_) {
        addUseful(interval, job.spec_.task_.accelerators_, std::max(interval.progress_, credited_[index]), saved);
    }
    credited_[index] = std::max(credited_[index], saved);
}

auto ClusterMetrics::addUseful(const ComputeInterval &interval, int accelerators, milliseconds from, milliseconds to) -> void
{
    const auto slowdown = interval.throttled_ ? 2 : 1;
    const auto start = interval.from_ + (from - interval.progress_) * slowdown;
    const auto end = std::min(interval.to_, interval.from_ + (to - interval.progress_) * slowdown);
    auto seconds = overlap(start, end, scenario_.zoneOut_, windowEnd_);
    if (cluster_.workers()[interval.worker_].info_.zone_ == changingZone_) {
        // The capacity excludes the zone while it is out, so the work done there is excluded too.
        seconds -= overlap(start, end, scenario_.zoneOut_, scenario_.zoneBack_);
    }
    usefulSeconds_ += seconds * accelerators / slowdown;
}

} // namespace Marjoramfold
