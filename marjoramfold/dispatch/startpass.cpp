#include "marjoramfold/dispatch/delaycost.h"
#include "marjoramfold/dispatch/fleetscheduler.h"
#include "marjoramfold/dispatch/reservationpolicy.h"
#include "marjoramfold/observability/check.h"
#include "marjoramfold/observability/logline.h"

#include <algorithm>
#include <cmath>
#include <iterator>
#include <map>
#include <optional>
#include <set>
#include <utility>

namespace Marjoramfold
{
namespace
{
/// Largest fleet on which the switches of the scheduler change placements. At 1,100 workers urgent jobs became late with them, 194 instead of 73 on a day.
constexpr std::size_t MaxSwitchedWorkers = 600;
/// Log lines for waiting steps in a pass; each takes several searches of the workers.
constexpr unsigned MaxWaitLinesPerPass = 8;
/// Longest time for which the workers of preempted runs are awaited before others are considered.
constexpr std::chrono::milliseconds MaxAwaitTime{300};

/// Number of a step's waiting tasks that `left` guaranteed accelerators cover; a gang is covered as a whole or not at all.
auto coveredTasks(const StepPlan &step, std::int64_t count, std::int64_t left) -> std::int64_t
{
    if (left < 0) {
        return 0;
    }
    const auto each = step.task_.accelerators_;
    const auto covered = each == 0 ? count : std::min(count, left / each);
    return step.gang_ && covered < count ? 0 : covered;
}
} // namespace

auto FleetScheduler::runPass() -> void
{
    ++counts_.passes_;
    waitLinesLeft_ = MaxWaitLinesPerPass;
    const auto guaranteeOf = [this](const TeamId &team) {
        return hooks_.config_().guaranteedAccelerators(team);
    };
    const auto appliesSwitches = sessions_.all().size() <= MaxSwitchedWorkers;
    WorkerSelector selector(
        sessions_.all(), hooks_.evacuatedZones_(), guaranteeOf, options_.quarantineTime_, BootClock::now(), appliesSwitches ? speeds() : nullptr);
    selector.setVictimHooks({[now = selector.takenAt()](const WorkerSession &session, const WorkerRun &run) {
                                 return remainingRunTime(session, run, now);
                             },
                             [this](const JobId &id) {
                                 const auto *job = findJob(id);
                                 return job == nullptr ? BootTime{} : job->stoppedForOthersAt_;
                             },
                             [this](const JobId &id) {
                                 return delayWeightOf(id);
                             }});
    if (options_.packRacks_ && appliesSwitches) {
        selector.packRacks();
    }
    TeamUse urgentUse;
    auto ready = readySteps(urgentUse);
    orderSteps(ready, std::move(urgentUse));
    unsigned reservations = 0;
    for (auto &step : ready) {
        placeStep(selector, step, reservations);
    }
}

auto FleetScheduler::delayWeightOf(const JobId &id) -> double
{
    auto *job = options_.shareRoomByCost_ && sessions_.all().size() <= MaxSwitchedWorkers ? findJob(id) : nullptr;
    const auto *queue = job == nullptr ? nullptr : hooks_.config_().queueNamed(job->submission_.queue_);
    // The occurrences of a scheduled job have objectives of their own, and a unit may be of any of them.
    if (queue == nullptr || job->occurrences_.size() > 1) {
        return 1;
    }
    return delayWeight(delayTerms(*job, *queue, runTimeRatioOf(queue->name_), hooks_.wallNow_()));
}

auto FleetScheduler::orderSteps(std::vector<ReadyStep> &ready, TeamUse urgentUse) const -> void
{
    const auto sort = [&ready] {
        std::sort(ready.begin(), ready.end(), [](const ReadyStep &left, const ReadyStep &right) {
            return left.rank_ < right.rank_;
        });
    };
    sort();
    std::vector<ReadyStep> divided;
    // Later work of a team must not overtake earlier work that its guarantee does not cover, such as a gang that is larger.
    std::set<TeamId> exhausted;
    for (auto &step : ready) {
        if (step.rank_.urgencyClass_ != 0) {
            break;
        }
        const auto &team = step.job_->submission_.team_;
        const auto &plan = step.job_->submission_.plan_.steps_[step.rank_.step_];
        auto &use = urgentUse[team];
        const auto left = hooks_.config_().guaranteedAccelerators(team) - use;
        const auto count = static_cast<std::int64_t>(step.tasks_.size());
        const auto covered = exhausted.contains(team) ? 0 : coveredTasks(plan, count, left);
        use += covered * plan.task_.accelerators_;
        if (covered == count) {
            continue;
        }
        exhausted.insert(team);
        if (covered > 0) {
            auto rest = step;
            rest.rank_.beyondGuarantee_ = 1;
            rest.tasks_.erase(rest.tasks_.begin(), rest.tasks_.begin() + covered);
            divided.push_back(std::move(rest));
            step.tasks_.resize(static_cast<std::size_t>(covered));
        } else {
            step.rank_.beyondGuarantee_ = 1;
        }
    }
    if (!exhausted.empty()) {
        std::move(divided.begin(), divided.end(), std::back_inserter(ready));
        sort();
    }
}

auto FleetScheduler::readySteps(TeamUse &urgentUse) -> std::vector<ReadyStep>
{
    std::vector<ReadyStep> ready;
    for (const auto &[id, job] : open_) {
        const auto *queue = queueOf(*job);
        if (queue != nullptr && !queue->requiresAdmissionCheck_ && !job->isClosed()) {
            collectReady(*job, *queue, ready, urgentUse);
        }
    }
    return ready;
}

auto FleetScheduler::collectReady(TrackedJob &job, const QueueConfig &queue, std::vector<ReadyStep> &ready, TeamUse &urgentUse) -> void
{
    const auto &plan = job.submission_.plan_;
    const auto wallNow = hooks_.wallNow_();
    for (std::uint32_t occurrence = 0; occurrence < job.occurrences_.size(); ++occurrence) {
        auto &state = job.occurrences_[occurrence];
        if (dueTime(plan, occurrence) > wallNow) {
            break;
        }
        for (std::uint32_t step = 0; step < state.steps_.size() && !state.done_; ++step) {
            const auto &stepPlan = plan.steps_[step];
            auto &stepState = state.steps_[step];
            if (queue.priority_ == 0 && stepState.active_ > 0) {
                urgentUse[job.submission_.team_] += stepState.active_ * stepPlan.task_.accelerators_;
            }
            if (!isReady(plan, state, step)) {
                continue;
            }
            ReadyStep entry{rankStep(job, occurrence, step, queue, runTimeRatioOf(queue.name_), wallNow), &job, &queue, {}};
            auto gangBlocked = false;
            for (std::uint32_t index = 0; index < stepState.tasks_.size(); ++index) {
                const auto blocked = !unexpectedRuns_.empty() && hasUnexpectedRun({job.submission_.id_, occurrence, step, index});
                gangBlocked = gangBlocked || (blocked && stepPlan.gang_);
                if (!stepState.tasks_[index].done_ && !stepState.tasks_[index].isActive() && !blocked) {
                    entry.tasks_.push_back(index);
                }
            }
            if (!entry.tasks_.empty() && !gangBlocked) {
                ready.push_back(std::move(entry));
            }
        }
    }
}

auto FleetScheduler::placeStep(WorkerSelector &selector, ReadyStep &ready, unsigned &reservations) -> void
{
    const JobScope scope(ready.job_->submission_.id_);
    const auto &plan = ready.job_->submission_.plan_.steps_[ready.rank_.step_];
    const auto &state = ready.job_->occurrences_[ready.rank_.occurrence_].steps_[ready.rank_.step_];
    if (plan.gang_) {
        placeTasks(selector, ready, ready.tasks_, reservations);
        return;
    }
    // Tasks with failures are placed one by one, each away from the workers on which it failed recently. Many tasks may have been refused by the
    // same workers, so these are placed together.
    std::map<std::set<WorkerId>, std::vector<std::uint32_t>> others;
    for (const auto index : ready.tasks_) {
        if (state.tasks_[index].failedOn_.empty()) {
            others[refusingWorkers(state, index)].push_back(index);
        } else {
            placeTasks(selector, ready, {index}, reservations);
        }
    }
    for (auto group = others.rbegin(); group != others.rend(); ++group) {
        placeTasks(selector, ready, group->second, reservations);
    }
}

auto FleetScheduler::avoidanceAfter(unsigned failures) const -> std::chrono::milliseconds
{
    // The result has reached its limit long before.
    constexpr unsigned MaxDoublings = 8;
    const auto doublings = std::min(failures - 1, MaxDoublings);
    return std::min(options_.failedWorkerAvoidance_ * (1U << doublings), options_.quarantineTime_);
}

auto FleetScheduler::refusingWorkers(const StepState &step, std::uint32_t index) const -> std::set<WorkerId>
{
    std::set<WorkerId> refusing;
    const auto found = step.refusedBy_.find(index);
    if (found == step.refusedBy_.end()) {
        return refusing;
    }
    const auto now = BootClock::now();
    for (const auto &[worker, refusedAt] : found->second) {
        if (now < refusedAt + options_.refusalPause_) {
            refusing.insert(worker);
        }
    }
    return refusing;
}

auto FleetScheduler::makeRequest(WorkerSelector &selector, const ReadyStep &ready, const std::vector<std::uint32_t> &tasks) -> PlacementRequest
{
    const auto &plan = ready.job_->submission_.plan_.steps_[ready.rank_.step_];
    const auto &state = ready.job_->occurrences_[ready.rank_.occurrence_].steps_[ready.rank_.step_];
    PlacementRequest request{&plan, ready.queue_->pool_, static_cast<std::uint32_t>(tasks.size()), ready.queue_->priority_, false, {}, {}, {}};
    if (plan.estimate_.count() > 0) {
        const auto latency = std::chrono::duration<double>(ready.queue_->targetLatency_) / std::chrono::duration<double>(plan.estimate_);
        request.maxRelativeDuration_ = ready.queue_->stretch_ + latency;
    }
    request.withinGuarantee_ = ready.rank_.urgencyClass_ == 0 && ready.rank_.beyondGuarantee_ == 0;
    const auto now = BootClock::now();
    for (const auto index : tasks) {
        for (const auto &[worker, failures] : state.tasks_[index].failedOn_) {
            if (now < failures.last_ + avoidanceAfter(failures.count_)) {
                request.avoidedWorkers_.insert(worker);
            }
        }
    }
    // A step that no other worker can take cannot wait for another worker to become idle either.
    if (!selector.couldHoldUnquarantined(request)) {
        request.waived_ = {Preference::Quarantine, Preference::IdleReserve};
    }
    for (const auto index : tasks) {
        request.refusingWorkers_.merge(refusingWorkers(state, index));
    }
    if (plan.maxPerWorker_ > 0) {
        for (const auto &task : state.tasks_) {
            if (task.isActive()) {
                ++request.placed_[task.worker_];
            }
        }
    }
    return request;
}

auto FleetScheduler::choosePlacement(WorkerSelector &selector, const ReadyStep &ready, const PlacementRequest &request) -> std::optional<PlacementDecision>
{
    const auto prefersLocality = request.prefersLocality();
    const auto urgent = ready.queue_->priority_ == 0;
    auto &state = ready.job_->occurrences_[ready.rank_.occurrence_].steps_[ready.rank_.step_];
    const auto now = BootClock::now();
    if (auto choice = selector.findPlacement(request, true); choice) {
        return choice;
    }
    const auto held = isHeldBack(selector, ready, request);
    state.held_.update(selector.takenAt(), held);
    if (urgent && holdAwaitedWorkers(selector, ready)) {
        return std::nullopt;
    }
    const auto settled = now - schedulingSince_ >= options_.leaderSettleTime_;
    if (held && settled && state.held_.expectedTotal() >= options_.maxHeldTime_) {
        PreferenceSet givenUp;
        if (state.held_.expectedTotal() >= options_.maxHeldTimeByFailures_) {
            givenUp = {Preference::Avoidance, Preference::RecentFailure};
        }
        if (auto choice = findPlacementWithoutPreferences(selector, request, givenUp); choice) {
            return choice;
        }
    }
    const auto couldFitLocally = !prefersLocality || selector.couldFitLocally(request);
    if (urgent && couldFitLocally) {
        if (auto choice = selector.findPlacementByPreemption(request, true); choice) {
            return choice;
        }
    }
    if (state.waitingSince_ == BootTime{}) {
        state.waitingSince_ = now;
    }
    const auto waited = std::chrono::duration_cast<std::chrono::milliseconds>(now - state.waitingSince_);
    const auto mayBeRemote = !couldFitLocally || waited > localityWait(ready);
    if (prefersLocality && mayBeRemote) {
        if (auto choice = selector.findPlacement(request, false); choice) {
            return choice;
        }
        if (urgent) {
            if (auto choice = selector.findPlacementByPreemption(request, false); choice) {
                return choice;
            }
        }
    }
    if (request.withinGuarantee_ && (!prefersLocality || mayBeRemote)) {
        if (auto choice = selector.findPlacementByReclaim(request, couldFitLocally); choice) {
            return choice;
        }
        if (prefersLocality && couldFitLocally) {
            if (auto choice = selector.findPlacementByReclaim(request, false); choice) {
                return choice;
            }
        }
    }
    return std::nullopt;
}

auto FleetScheduler::reserveWorkers(WorkerSelector &selector, const ReadyStep &ready, const PlacementRequest &request, unsigned &reservations) -> void
{
    const auto &state = ready.job_->occurrences_[ready.rank_.occurrence_].steps_[ready.rank_.step_];
    const auto now = BootClock::now();
    if (!request.step_->gang_ || state.waitingSince_ == BootTime{} || state.awaitedUntil_ > now || ready.rank_.lateness_ >= 2) {
        return;
    }
    const ReservationPolicy policy(options_.shareRoomByCost_ && sessions_.all().size() <= MaxSwitchedWorkers);
    const auto waited = std::chrono::duration_cast<std::chrono::milliseconds>(now - state.waitingSince_);
    if (reservations < policy.maxGangs() && policy.mayReserve(waited, reservations, selector.acceleratorUtilization(request.pool_))) {
        ++reservations;
        const auto couldFitLocally = !request.prefersLocality() || selector.couldFitLocally(request);
        for (auto *session : selector.findReservation(request, couldFitLocally)) {
            selector.reserve(*session);
        }
    }
}

auto FleetScheduler::placeTasks(WorkerSelector &selector, const ReadyStep &ready, const std::vector<std::uint32_t> &tasks, unsigned &reservations) -> void
{
    const auto request = makeRequest(selector, ready, tasks);
    const auto choice = choosePlacement(selector, ready, request);
    if (!choice) {
        // The line must not name the step's own reservation.
        logWaitingStep(selector, ready, request);
        reserveWorkers(selector, ready, request, reservations);
        return;
    }
    if (choice->awaitsEnds_) {
        preempt(selector, ready, *choice);
        return;
    }
    startTasks(selector, ready, tasks, *choice);
}

auto FleetScheduler::preempt(WorkerSelector &selector, const ReadyStep &ready, const PlacementDecision &choice) -> void
{
    counts_.stoppedCoreSeconds_ += choice.lostWork_;
    counts_.awaitedEnds_ += choice.victims_.empty() ? 1 : 0;
    LogLine(LogSeverity::Info, "ends_awaited")
        .job(ready.job_->submission_.id_.value())
        .with("step", ready.rank_.step_)
        .with("tasks", choice.workers_.size())
        .with("stopped", choice.victims_.size())
        .with("lost_core_s", std::llround(choice.lostWork_))
        .with("within_guarantee", ready.rank_.urgencyClass_ == 0 && ready.rank_.beyondGuarantee_ == 0);
    for (const auto &[session, key] : choice.victims_) {
        const auto &victim = session->runs_.at(key);
        if (victim.stage_ == RunStage::Stopping) {
            continue;
        }
        ++(victim.priority_ == 0 ? counts_.reclaims_ : counts_.preemptions_);
        LogLine(LogSeverity::Info, "run_preempted")
            .job(key.first.job_.value())
            .with("task", toString(key.first))
            .with("run", key.second)
            .with("worker", session->entry_.id_.value())
            .with("priority", victim.priority_)
            .with("team", victim.team_.value())
            .with("for_job", ready.job_->submission_.id_.value())
            .with("for_team", ready.job_->submission_.team_.value());
        if (auto *job = findJob(key.first.job_); job != nullptr) {
            job->stoppedForOthersAt_ = BootClock::now();
        }
        sessions_.stop(session->entry_.id_, key.first, key.second);
    }
    auto &state = ready.job_->occurrences_[ready.rank_.occurrence_].steps_[ready.rank_.step_];
    state.awaitedUntil_ = BootClock::now() + std::min(options_.maxStopTime_, MaxAwaitTime);
    state.awaitedWorkers_.clear();
    for (const auto *session : choice.workers_) {
        state.awaitedWorkers_.push_back(session->entry_.id_);
    }
    holdAwaitedWorkers(selector, ready);
}

auto FleetScheduler::holdAwaitedWorkers(WorkerSelector &selector, const ReadyStep &ready) -> bool
{
    const auto &state = ready.job_->occurrences_[ready.rank_.occurrence_].steps_[ready.rank_.step_];
    if (state.awaitedUntil_ <= BootClock::now()) {
        return false;
    }
    // These tasks rank first in the next passes, so lower ranks must not use the freed capacity in this one.
    for (const auto &id : state.awaitedWorkers_) {
        if (auto *session = sessions_.find(id); session != nullptr) {
            selector.reserve(*session);
            selector.allocate(*session, ready.job_->submission_.plan_.steps_[ready.rank_.step_].task_);
        }
    }
    return true;
}

auto FleetScheduler::makeWorkerRun(const TrackedJob &job, std::uint32_t step, const WorkerId &worker, int priority, bool remote) const -> WorkerRun
{
    const auto &plan = job.submission_.plan_.steps_[step];
    WorkerRun run;
    run.team_ = job.submission_.team_;
    run.demand_ = plan.task_;
    run.priority_ = priority;
    run.gangSize_ = plan.gang_ ? plan.count_ : 1;
    run.checkpointsOnStop_ = plan.checkpoints_;
    const auto expected = std::chrono::duration_cast<std::chrono::milliseconds>(plan.estimate_ * (remote ? options_.remoteSlowdown_ : 1.0));
    const auto relativeDuration = options_.preferFastWorkers_ ? speeds_.relativeDuration(worker) : 1.0;
    run.expected_ = plan.service_ ? std::chrono::milliseconds(0) : std::chrono::duration_cast<std::chrono::milliseconds>(expected * relativeDuration);
    run.longestExpected_ = plan.service_ ? std::chrono::milliseconds(0) : std::max(expected, run.expected_);
    run.placedAt_ = BootClock::now();
    return run;
}

auto FleetScheduler::startTasks(WorkerSelector &selector, const ReadyStep &ready, const std::vector<std::uint32_t> &tasks, const PlacementDecision &choice)
    -> void
{
    auto &job = *ready.job_;
    auto &state = job.occurrences_[ready.rank_.occurrence_].steps_[ready.rank_.step_];
    const auto &plan = job.submission_.plan_.steps_[ready.rank_.step_];
    const auto waited = state.waitingSince_ == BootTime{} ? BootTime::duration{} : BootClock::now() - state.waitingSince_;
    state.waitingSince_ = {};
    state.awaitedUntil_ = {};
    // All members of a gang share one run number.
    std::uint32_t gangRun = 0;
    for (const auto index : tasks) {
        gangRun = std::max(gangRun, state.tasks_[index].lastRun_ + 1);
    }
    for (std::size_t i = 0; i < choice.workers_.size(); ++i) {
        auto &session = *choice.workers_[i];
        const TaskRef ref{job.submission_.id_, ready.rank_.occurrence_, ready.rank_.step_, tasks[i]};
        auto &task = state.tasks_[tasks[i]];
        task.lastRun_ = plan.gang_ ? gangRun : task.lastRun_ + 1;
        task.worker_ = session.entry_.id_;
        task.workerIncarnation_ = session.incarnation_;
        ++state.active_;
        ++job.active_;
        sessions_.place(
            session.entry_.id_, ref, task.lastRun_, makeWorkerRun(job, ready.rank_.step_, session.entry_.id_, ready.queue_->priority_, choice.remote_));
        selector.allocate(session, plan.task_);
        pendingStarts_.push_back({ref, task.lastRun_, session.entry_.id_});
        markDirty(job, ready.rank_.occurrence_, ready.rank_.step_, tasks[i]);
    }
    counts_.waivedPlacements_ += choice.givenUp_.isEmpty() ? 0 : 1;
    LogLine(LogSeverity::Info, "step_placed")
        .job(job.submission_.id_.value())
        .with("occurrence", ready.rank_.occurrence_)
        .with("step", ready.rank_.step_)
        .with("queue", job.submission_.queue_)
        .with("gang", plan.gang_)
        .with("saves", plan.checkpoints_)
        .with("milli_cores", plan.task_.milliCores_)
        .with("accelerators", plan.task_.accelerators_)
        .with("tasks", choice.workers_.size())
        .with("ready", tasks.size())
        .with("first_worker", choice.workers_.front()->entry_.id_.value())
        .with("far", choice.remote_)
        .with("waited_ms", std::chrono::duration_cast<std::chrono::milliseconds>(waited).count())
        .with("held_ms", state.held_.total().count())
        .with("gave_up", choice.givenUp_.isEmpty() ? "none" : toString(choice.givenUp_))
        .with("lateness", ready.rank_.lateness_)
        .with("config", hooks_.config_().version());
}
} // namespace Marjoramfold
