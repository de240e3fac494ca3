#include "marjoramfold/dispatch/fleetscheduler.h"
#include "marjoramfold/observability/logline.h"

#include <algorithm>
#include <cstdint>
#include <optional>

namespace Marjoramfold
{
// Steps that wait although workers could take them: preferences, their limits, and what the log says of them.

namespace
{
/// Part of the guaranteed start deadline that is kept for storing the record, the start commands and the responses to stops.
constexpr std::chrono::milliseconds GuaranteedStartMargin{900};
/// Delay of the first log line for a waiting step and interval of further ones; limits the log volume when the fleet is full.
constexpr std::chrono::milliseconds FirstWaitLogDelay{2000};
constexpr std::chrono::milliseconds WaitLogInterval{5000};
/// Share of the slowdown's cost that tasks wait for a local placement before they accept a remote one.
constexpr double LocalityWaitShare = 0.5;
} // namespace

auto FleetScheduler::localityWait(const ReadyStep &ready) const -> std::chrono::milliseconds
{
    const auto &plan = ready.job_->submission_.plan_.steps_[ready.rank_.step_];
    const auto cost = expectedTime(plan, runTimeRatioOf(ready.queue_->name_)) * (options_.remoteSlowdown_ - 1.0) * LocalityWaitShare;
    const auto wait = std::chrono::duration_cast<std::chrono::milliseconds>(cost);
    // Urgent work must start by its deadline even if remote; preemption needs the stop time before it.
    const auto latest = options_.guaranteedStartDeadline_ - options_.maxStopTime_ - GuaranteedStartMargin;
    return ready.queue_->priority_ == 0 ? std::min(latest, wait) : wait;
}

auto FleetScheduler::hasReachableRun(const TrackedJob &job) const -> bool
{
    for (std::uint32_t occurrence = 0; job.active_ > 0 && occurrence < job.occurrences_.size(); ++occurrence) {
        const auto &steps = job.occurrences_[occurrence].steps_;
        for (std::uint32_t step = 0; step < steps.size(); ++step) {
            for (std::uint32_t index = 0; steps[step].active_ > 0 && index < steps[step].tasks_.size(); ++index) {
                if (isRunning({job.submission_.id_, occurrence, step, index}, steps[step].tasks_[index])) {
                    return true;
                }
            }
        }
    }
    return false;
}

auto FleetScheduler::isRunning(const TaskRef &ref, const TaskState &task) const -> bool
{
    const auto *session = task.isActive() ? sessions_.find(task.worker_) : nullptr;
    if (session == nullptr || !session->isCurrent() || session->unreachableSince_ != BootTime{}) {
        return false;
    }
    const auto run = session->runs_.find({ref, task.lastRun_});
    return run != session->runs_.end() && run->second.stage_ == RunStage::Running;
}

auto FleetScheduler::isHeldBack(WorkerSelector &selector, const ReadyStep &ready, const PlacementRequest &request) const -> bool
{
    // Further tasks of a job that runs may wait for better workers; each lasting task has to run.
    return selector.isHeldBack(request) && (request.step_->service_ || !hasReachableRun(*ready.job_));
}

auto FleetScheduler::findPlacementWithoutPreferences(WorkerSelector &selector, PlacementRequest request, PreferenceSet givenUp)
    -> std::optional<PlacementDecision>
{
    const auto blocking = selector.blockingPreferences(request);
    // One task is enough for a job to have something running; the others may still find better workers.
    if (!request.step_->gang_ && !request.step_->service_) {
        request.count_ = 1;
    }
    const auto prefersLocality = request.prefersLocality();
    givenUp.add(Preference::IdleReserve);
    givenUp.add(Preference::Reservation);
    request.waived_.add(givenUp);
    auto choice = selector.findPlacement(request, true);
    if (!choice && prefersLocality) {
        choice = selector.findPlacement(request, false);
    }
    if (!choice) {
        request.waived_.add(Preference::Quarantine);
        choice = selector.findPlacement(request, !prefersLocality);
    }
    if (choice) {
        choice->givenUp_ = blocking.value_or(givenUp);
    }
    return choice;
}

auto FleetScheduler::resetHeldTime(TrackedJob &job, const TaskRef &begun) -> void
{
    const auto &plan = job.submission_.plan_.steps_[begun.step_];
    auto &step = job.occurrences_[begun.occurrence_].steps_[begun.step_];
    const auto runsEverywhere = [this, &step, &begun] {
        auto ref = begun;
        for (ref.index_ = 0; ref.index_ < step.tasks_.size(); ++ref.index_) {
            if (!step.tasks_[ref.index_].done_ && !isRunning(ref, step.tasks_[ref.index_])) {
                return false;
            }
        }
        return true;
    };
    const auto counts = step.held_.isHeld() || step.held_.total() > std::chrono::milliseconds(0);
    if (counts && ((!plan.gang_ && !plan.service_) || runsEverywhere())) {
        step.held_ = {};
    }
}

auto FleetScheduler::assumeFormerWaits() -> void
{
    for (const auto &[id, job] : open_) {
        for (auto &occurrence : job->occurrences_) {
            for (std::uint32_t step = 0; step < occurrence.steps_.size(); ++step) {
                if (isReady(job->submission_.plan_, occurrence, step)) {
                    occurrence.steps_[step].held_.assume(options_.maxHeldTime_);
                }
            }
        }
    }
}

auto FleetScheduler::logWaitingStep(WorkerSelector &selector, const ReadyStep &ready, const PlacementRequest &request) -> void
{
    auto &state = ready.job_->occurrences_[ready.rank_.occurrence_].steps_[ready.rank_.step_];
    const auto now = BootClock::now();
    if (state.waitingSince_ == BootTime{} || now - state.waitingSince_ < FirstWaitLogDelay || now - state.waitLoggedAt_ < WaitLogInterval) {
        return;
    }
    if (waitLinesLeft_ == 0) {
        return;
    }
    --waitLinesLeft_;
    state.waitLoggedAt_ = now;
    const auto inMilliseconds = [](BootTime::duration time) {
        return std::chrono::duration_cast<std::chrono::milliseconds>(time).count();
    };
    const auto waited = inMilliseconds(now - state.waitingSince_);
    const auto lastRun = std::max_element(state.tasks_.begin(), state.tasks_.end(), [](const TaskState &left, const TaskState &right) {
        return left.lastRun_ < right.lastRun_;
    });
    const auto capacity = selector.summarizeCapacity(request);
    const auto heldBy = selector.blockingPreferences(request);
    LogLine(LogSeverity::Info, "step_waits")
        .job(ready.job_->submission_.id_.value())
        .with("occurrence", ready.rank_.occurrence_)
        .with("step", ready.rank_.step_)
        .with("queue", ready.queue_->name_)
        .with("tasks", request.count_)
        .with("gang", request.step_->gang_)
        .with("lateness", ready.rank_.lateness_)
        .with("waited_ms", waited)
        .with("held_by", heldBy ? toString(*heldBy) : "no_room")
        .with("prefers", request.prefersLocality() ? (request.step_->dataRack_.empty() ? "one_rack" : request.step_->dataRack_) : "any_worker")
        .with("locality_ends_in_ms", request.prefersLocality() ? std::max<std::int64_t>(localityWait(ready).count() - waited, 0) : 0)
        .with("held_ms", state.held_.total().count())
        .with("held_ends_in_ms", std::max<std::int64_t>((options_.maxHeldTime_ - state.held_.total()).count(), 0))
        .with("limit_applies", state.held_.isHeld())
        .with("expected_ms", expectedTime(*request.step_, runTimeRatioOf(ready.queue_->name_)).count())
        .with("age_ms", (hooks_.wallNow_() - referenceTime(ready.job_->submission_, ready.rank_.occurrence_)).count())
        .with("last_run", lastRun->lastRun_)
        .with("leading_ms", inMilliseconds(now - schedulingSince_))
        .with("suitable", capacity.eligible_)
        .with("with_room", capacity.withFreeCapacity_)
        .with("reserved", capacity.reserved_)
        .with("idle", capacity.idle_)
        .with("quarantined", capacity.quarantined_)
        .with("avoided", request.avoidedWorkers_.size())
        .with("last_resort", request.waived_.contains(Preference::Quarantine))
        .with("within_guarantee", request.withinGuarantee_)
        .with("needs_accelerators", request.step_->task_.accelerators_ * request.count_)
        .with("reclaimable", request.withinGuarantee_ ? selector.reclaimBudget().totalExcess() : 0);
}
} // namespace Marjoramfold
