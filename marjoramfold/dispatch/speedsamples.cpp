#include "marjoramfold/dispatch/fleetscheduler.h"
#include "marjoramfold/observability/logline.h"

#include <algorithm>
#include <chrono>
#include <utility>
#include <vector>

namespace Marjoramfold
{
// Learning and recording of the workers' speeds.

namespace
{
/// Shortest time between two records: 350 workers take about 9 KB, and a new leader loses at most this much of what was learned.
constexpr std::chrono::seconds SpeedsRecordInterval{5};
/// Progress from which the duration of an unfinished run is projected, because it is reported in whole percent.
constexpr int MinProjectedPercent = 10;
/// Reported progress is rounded down.
constexpr double PercentRounding = 0.5;
/// Tasks of a step that a run is compared with; more would change the median by less than the spread of one sample.
constexpr std::size_t MaxComparedTasks = 64;

/// Duration that a run is expected to have in the end; empty without enough progress.
auto projectedDuration(const WorkerRun &run) -> std::optional<std::chrono::milliseconds>
{
    if (run.stage_ != RunStage::Running || !run.startTimeKnown_ || run.percent_ < MinProjectedPercent) {
        return std::nullopt;
    }
    const auto ranFor = std::chrono::duration<double, std::milli>(run.progressAt_ - run.acceptedAt_);
    return std::chrono::duration_cast<std::chrono::milliseconds>(ranFor * (100.0 / (run.percent_ + PercentRounding)));
}
} // namespace

auto FleetScheduler::speeds() const -> const WorkerSpeeds *
{
    return options_.preferFastWorkers_ ? &speeds_ : nullptr;
}

auto FleetScheduler::workerSpeeds() const -> const WorkerSpeeds &
{
    return speeds_;
}

auto FleetScheduler::ranNearData(const StepPlan &plan, const WorkerSession &session) -> bool
{
    return plan.dataRack_.empty() || session.entry_.rack_.value() == plan.dataRack_;
}

auto FleetScheduler::learnSpeed(TrackedJob &job, const RunEnded &end) -> void
{
    const auto &plan = job.submission_.plan_.steps_[end.task_.step_];
    const auto *session = sessions_.find(end.worker_);
    // Later runs may have resumed from a checkpoint, and a gang is as slow as its slowest member.
    const auto isComparable = end.run_ == 1 && end.startTimeKnown_ && !plan.gang_ && session != nullptr && ranNearData(plan, *session);
    if (!options_.preferFastWorkers_ || !isComparable) {
        return;
    }
    auto &task = job.occurrences_[end.task_.occurrence_].steps_[end.task_.step_].tasks_[end.task_.index_];
    task.ordinaryDuration_ = speeds_.ordinaryDuration(end.worker_, end.ranFor_);
    if (speeds_.addSample(end.worker_, end.ranFor_, otherDurations(job, end.task_))) {
        ++counts_.speedSamples_;
    }
}

auto FleetScheduler::otherDurations(const TrackedJob &job, const TaskRef &task) const -> std::vector<double>
{
    const auto &plan = job.submission_.plan_.steps_[task.step_];
    const auto &tasks = job.occurrences_[task.occurrence_].steps_[task.step_].tasks_;
    std::vector<double> durations;
    const auto compared = std::min(tasks.size(), MaxComparedTasks);
    for (std::size_t distance = 1; distance < compared; ++distance) {
        auto other = task;
        other.index_ = static_cast<std::uint32_t>((task.index_ + distance) % tasks.size());
        const auto &state = tasks[other.index_];
        if (state.ordinaryDuration_) {
            durations.push_back(*state.ordinaryDuration_);
            continue;
        }
        const auto *session = state.isActive() && state.lastRun_ == 1 ? sessions_.find(state.worker_) : nullptr;
        if (session == nullptr || !ranNearData(plan, *session)) {
            continue;
        }
        const auto run = session->runs_.find({other, state.lastRun_});
        const auto duration = run == session->runs_.end() ? std::nullopt : projectedDuration(run->second);
        if (duration) {
            durations.push_back(speeds_.ordinaryDuration(state.worker_, *duration));
        }
    }
    return durations;
}

auto FleetScheduler::addSpeedsRecord(std::vector<KeyedRecord> &records) -> void
{
    const auto now = BootClock::now();
    if (!options_.preferFastWorkers_ || !speeds_.isChanged() || now - speedsRecordedAt_ < SpeedsRecordInterval) {
        return;
    }
    speedsRecordedAt_ = now;
    KeyedRecord record{WorkerSpeeds::RecordKey, std::string()};
    record.value_ = speeds_.encode(MaxRecordBytes - storedBytes(record));
    const auto counts = speeds_.countByClass();
    LogLine(LogSeverity::Info, "worker_speeds_recorded")
        .with("samples", counts_.speedSamples_)
        .with("very_fast", counts.at(static_cast<std::size_t>(SpeedClass::VeryFast)))
        .with("fast", counts.at(static_cast<std::size_t>(SpeedClass::Fast)))
        .with("ordinary", counts.at(static_cast<std::size_t>(SpeedClass::Ordinary)))
        .with("slow", counts.at(static_cast<std::size_t>(SpeedClass::Slow)))
        .with("very_slow", counts.at(static_cast<std::size_t>(SpeedClass::VerySlow)))
        .with("bytes", record.value_->size());
    records.push_back(std::move(record));
}

auto FleetScheduler::restoreSpeeds(const std::string &record) -> void
{
    if (!options_.preferFastWorkers_) {
        return;
    }
    const auto restored = speeds_.restore(record);
    if (!isOk(restored)) {
        LogLine(LogSeverity::Warning, "worker_speeds_ignored").with("reason", errorOf(restored).message_);
        return;
    }
    LogLine(LogSeverity::Info, "worker_speeds_restored").with("workers", valueOf(restored));
}
} // namespace Marjoramfold
