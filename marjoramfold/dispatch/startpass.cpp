#include "marjoramfold/dispatch/fleetscheduler.h"
#include "marjoramfold/observability/logline.h"

#include <algorithm>
#include <optional>

namespace Marjoramfold
{
namespace
{
/// Blocked gangs for which workers are kept free at a time; more would leave too much idle.
constexpr unsigned MostReservations = 2;
/// Workers are kept free only above this use of the accelerators: below it other work must never wait for a blocked gang.
constexpr double ReserveAboveUse = 0.65;
/// A gang that has waited this long gets workers kept free.
constexpr std::chrono::milliseconds ReserveAfter{1500};
/// Kept from the bound for urgent starts, for the record, the orders and the answers to the stops.
constexpr std::chrono::milliseconds StartReserve{900};
/// A step that waits is logged after this time, and then at this pause, so that a full service writes a bounded number of lines.
constexpr std::chrono::milliseconds FirstWaitLine{2000};
constexpr std::chrono::milliseconds WaitLinePause{5000};
/// Share of the slowdown's cost that a unit waits for a near place before it goes to a far one.
constexpr double FarPatience = 0.5;
} // namespace

auto FleetScheduler::pass() -> void
{
    ++counts_.passes_;
    Placement placement(sessions_.all(), hooks_.evacuatedZones_(), BootClock::now());
    auto ready = readySteps();
    std::sort(ready.begin(), ready.end(), [](const ReadyStep &left, const ReadyStep &right) {
        return left.rank_ < right.rank_;
    });
    unsigned reservations = 0;
    for (auto &step : ready) {
        placeStep(placement, step, reservations);
    }
}

auto FleetScheduler::readySteps() -> std::vector<ReadyStep>
{
    std::vector<ReadyStep> ready;
    const auto &directory = hooks_.config_();
    for (const auto &[id, job] : open_) {
        const auto *queue = directory.queueNamed(job->submission_.queue_);
        // A queue that was removed keeps its jobs, but nothing of them may start.
        if (queue != nullptr && !queue->requiresAdmissionCheck_ && !job->isClosed()) {
            collectReady(*job, *queue, ready);
        }
    }
    return ready;
}

auto FleetScheduler::collectReady(TrackedJob &job, const QueueConfig &queue, std::vector<ReadyStep> &ready) -> void
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
            const auto open = stepState.done_ < stepPlan.count_ && stepState.active_ < stepPlan.count_;
            const auto depends = std::all_of(stepPlan.dependsOn_.begin(), stepPlan.dependsOn_.end(), [&](std::uint32_t earlier) {
                return state.steps_[earlier].done_ == plan.steps_[earlier].count_;
            });
            if (!open || !depends || (stepPlan.gang_ && stepState.active_ > 0)) {
                continue;
            }
            ReadyStep entry{rankStep(job, occurrence, step, queue, ratioOf(queue.name_), wallNow), &job, &queue, {}};
            for (std::uint32_t index = 0; index < stepState.tasks_.size(); ++index) {
                if (!stepState.tasks_[index].done_ && !stepState.tasks_[index].isActive()) {
                    entry.tasks_.push_back(index);
                }
            }
            if (!entry.tasks_.empty()) {
                ready.push_back(std::move(entry));
            }
        }
    }
}

auto FleetScheduler::placeStep(Placement &placement, ReadyStep &ready, unsigned &reservations) -> void
{
    const auto &plan = ready.job_->submission_.plan_.steps_[ready.rank_.step_];
    auto &tasks = ready.job_->occurrences_[ready.rank_.occurrence_].steps_[ready.rank_.step_].tasks_;
    if (plan.gang_) {
        placeUnit(placement, ready, ready.tasks_, reservations);
        return;
    }
    // Tasks that failed somewhere go one by one, each away from where it failed.
    std::vector<std::uint32_t> fresh;
    for (const auto index : ready.tasks_) {
        if (tasks[index].failedOn_.empty()) {
            fresh.push_back(index);
        } else {
            placeUnit(placement, ready, {index}, reservations);
        }
    }
    if (!fresh.empty()) {
        placeUnit(placement, ready, fresh, reservations);
    }
}

auto FleetScheduler::needOf(const ReadyStep &ready, const std::vector<std::uint32_t> &tasks) -> UnitNeed
{
    const auto &plan = ready.job_->submission_.plan_.steps_[ready.rank_.step_];
    const auto &state = ready.job_->occurrences_[ready.rank_.occurrence_].steps_[ready.rank_.step_];
    UnitNeed need{&plan, ready.queue_->pool_, static_cast<std::uint32_t>(tasks.size()), ready.queue_->priority_, {}, {}};
    for (const auto index : tasks) {
        need.avoid_.insert(state.tasks_[index].failedOn_.begin(), state.tasks_[index].failedOn_.end());
    }
    // A task that failed nearly everywhere has to be tried again somewhere.
    if (need.avoid_.size() * 2 > sessions_.all().size()) {
        need.avoid_.clear();
    }
    if (plan.maxPerWorker_ > 0) {
        for (const auto &task : state.tasks_) {
            if (task.isActive()) {
                ++need.placed_[task.worker_];
            }
        }
    }
    return need;
}

auto FleetScheduler::chooseRoom(Placement &placement, const ReadyStep &ready, const UnitNeed &need, unsigned &reservations) -> std::optional<UnitPlacement>
{
    const auto &plan = *need.step_;
    const auto cares = !plan.dataRack_.empty() || (plan.gang_ && plan.prefersOneRack_ && need.count_ > 1);
    const auto urgent = ready.queue_->priority_ == 0;
    auto &state = ready.job_->occurrences_[ready.rank_.occurrence_].steps_[ready.rank_.step_];
    const auto now = BootClock::now();
    if (auto choice = placement.findRoom(need, true); choice) {
        return choice;
    }
    const auto couldBeNear = !cares || placement.couldBeNear(need);
    if (urgent && couldBeNear) {
        if (auto choice = placement.findRoomByPreemption(need, true); choice) {
            return choice;
        }
    }
    if (state.waitingSince_ == BootTime{}) {
        state.waitingSince_ = now;
    }
    const auto waited = std::chrono::duration_cast<std::chrono::milliseconds>(now - state.waitingSince_);
    const auto slowdown = std::chrono::duration<double>(expectedTime(plan, ratioOf(ready.queue_->name_))) * (options_.remoteSlowdown_ - 1.0) * FarPatience;
    // Urgent work must have started by its bound, slow or not; the stops before it take their time.
    const auto latest = std::chrono::duration<double>(options_.guaranteedStartDeadline_ - options_.maxStopTime_ - StartReserve);
    if (cares && (!couldBeNear || waited > (urgent ? std::min(latest, slowdown) : slowdown))) {
        if (auto choice = placement.findRoom(need, false); choice) {
            return choice;
        }
        if (urgent) {
            if (auto choice = placement.findRoomByPreemption(need, false); choice) {
                return choice;
            }
        }
    }
    const auto deserves = plan.gang_ && waited > ReserveAfter && ready.rank_.lateness_ < 2;
    if (deserves && reservations < MostReservations && placement.usedShare() > ReserveAboveUse) {
        ++reservations;
        for (auto *session : placement.findReservation(need, couldBeNear)) {
            placement.reserve(*session);
        }
    }
    return std::nullopt;
}

auto FleetScheduler::placeUnit(Placement &placement, const ReadyStep &ready, const std::vector<std::uint32_t> &tasks, unsigned &reservations) -> void
{
    const auto need = needOf(ready, tasks);
    const auto choice = chooseRoom(placement, ready, need, reservations);
    if (!choice) {
        logWait(placement, ready, need);
        return;
    }
    if (!choice->victims_.empty()) {
        preempt(placement, ready, *choice);
        return;
    }
    startUnit(placement, ready, tasks, *choice);
}

auto FleetScheduler::logWait(const Placement &placement, const ReadyStep &ready, const UnitNeed &need) -> void
{
    auto &state = ready.job_->occurrences_[ready.rank_.occurrence_].steps_[ready.rank_.step_];
    const auto now = BootClock::now();
    if (now - state.waitingSince_ < FirstWaitLine || now - state.waitLoggedAt_ < WaitLinePause) {
        return;
    }
    state.waitLoggedAt_ = now;
    const auto room = placement.roomFor(need);
    LogLine(LogSeverity::Info, "step_waits")
        .job(ready.job_->submission_.id_.value())
        .with("occurrence", ready.rank_.occurrence_)
        .with("step", ready.rank_.step_)
        .with("queue", ready.queue_->name_)
        .with("tasks", need.count_)
        .with("gang", need.step_->gang_)
        .with("lateness", ready.rank_.lateness_)
        .with("waited_ms", std::chrono::duration_cast<std::chrono::milliseconds>(now - state.waitingSince_).count())
        .with("suitable", room.suitable_)
        .with("with_room", room.withRoom_)
        .with("reserved", room.reserved_)
        .with("idle", room.idle_)
        .with("avoided", need.avoid_.size());
}

auto FleetScheduler::preempt(Placement &placement, const ReadyStep &ready, const UnitPlacement &choice) -> void
{
    for (const auto &[session, key] : choice.victims_) {
        if (session->runs_.at(key).stage_ == RunStage::Stopping) {
            continue;
        }
        ++counts_.preemptions_;
        LogLine(LogSeverity::Info, "run_preempted")
            .job(key.first.job_.value())
            .with("task", toString(key.first))
            .with("run", key.second)
            .with("worker", session->entry_.id_.value())
            .with("for_job", ready.job_->submission_.id_.value());
        sessions_.stop(session->entry_.id_, key.first, key.second);
    }
    // The room stays for the unit: it comes first in the next passes, and nobody of lower rank may take it in this one.
    for (auto *session : choice.workers_) {
        placement.reserve(*session);
        placement.take(*session, ready.job_->submission_.plan_.steps_[ready.rank_.step_].task_);
    }
}

auto FleetScheduler::makeWorkerRun(const StepPlan &plan, int priority, bool far) const -> WorkerRun
{
    WorkerRun run;
    run.demand_ = plan.task_;
    run.priority_ = priority;
    run.members_ = plan.gang_ ? plan.count_ : 1;
    run.saves_ = plan.checkpoints_;
    const auto expected = std::chrono::duration_cast<std::chrono::milliseconds>(plan.estimate_ * (far ? options_.remoteSlowdown_ : 1.0));
    run.expected_ = plan.service_ ? std::chrono::milliseconds(0) : expected;
    run.placedAt_ = BootClock::now();
    return run;
}

auto FleetScheduler::startUnit(Placement &placement, const ReadyStep &ready, const std::vector<std::uint32_t> &tasks, const UnitPlacement &choice) -> void
{
    auto &job = *ready.job_;
    auto &state = job.occurrences_[ready.rank_.occurrence_].steps_[ready.rank_.step_];
    const auto &plan = job.submission_.plan_.steps_[ready.rank_.step_];
    state.waitingSince_ = {};
    // The members of a gang share one run number.
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
        task.workerBorn_ = session.entry_.incarnation_;
        ++state.active_;
        ++job.active_;
        sessions_.place(session.entry_.id_, ref, task.lastRun_, makeWorkerRun(plan, ready.queue_->priority_, choice.far_));
        placement.take(session, plan.task_);
        pendingStarts_.push_back({ref, task.lastRun_, session.entry_.id_});
    }
    touch(job, ready.rank_.occurrence_);
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
        .with("far", choice.far_)
        .with("lateness", ready.rank_.lateness_)
        .with("config", hooks_.config_().version());
}
} // namespace Marjoramfold
