#include "marjoramfold/dispatch/fleetscheduler.h"

#include <limits>
#include <utility>
#include <vector>

namespace Marjoramfold
{
// What a leader takes over of jobs that it did not place itself, or whose queue is missing from the configuration.

namespace
{
/// Priority of adopted runs whose queue is not known: any other work may preempt them, and they use nothing of a guarantee.
constexpr int UnknownPriority = std::numeric_limits<int>::max();
} // namespace

auto FleetScheduler::queueOf(const TrackedJob &job) const -> const QueueConfig *
{
    const auto &name = job.submission_.queue_;
    if (const auto *queue = hooks_.config_().queueNamed(name); queue != nullptr) {
        return queue;
    }
    return hooks_.lastQueueSettings_ ? hooks_.lastQueueSettings_(name) : nullptr;
}

auto FleetScheduler::adoptRestoredRuns() -> void
{
    for (const auto &[id, occurrence] : std::exchange(restored_, {})) {
        auto *job = findJob(id);
        if (job == nullptr) {
            continue;
        }
        const auto &plan = job->submission_.plan_;
        const auto *queue = queueOf(*job);
        auto &steps = job->occurrences_[occurrence].steps_;
        for (std::uint32_t step = 0; step < steps.size(); ++step) {
            if (plan.steps_[step].gang_) {
                unifyGang(steps[step]);
            }
            for (std::uint32_t index = 0; index < steps[step].tasks_.size(); ++index) {
                const auto &task = steps[step].tasks_[index];
                if (!task.isActive()) {
                    continue;
                }
                ++steps[step].active_;
                ++job->active_;
                auto run = makeWorkerRun(*job, step, task.worker_, queue == nullptr ? UnknownPriority : queue->priority_, false);
                const auto recorded = restoredAt_.find({id, occurrence, progressPartOf(plan, step, index)});
                run.recordedAt_ = recorded == restoredAt_.end() ? UnknownOffset : recorded->second;
                sessions_.adoptRun(task.worker_, task.workerIncarnation_, {id, occurrence, step, index}, task.lastRun_, run);
            }
        }
    }
    restoredAt_.clear();
}

auto FleetScheduler::closeEndedJobs() -> void
{
    std::vector<TrackedJob *> jobs;
    for (const auto &[id, job] : open_) {
        jobs.push_back(job);
    }
    for (auto *job : jobs) {
        closeIfEnded(*job);
    }
}

auto FleetScheduler::closeIfEnded(TrackedJob &job) -> void
{
    const auto *queue = queueOf(job);
    for (const auto &occurrence : job.occurrences_) {
        for (const auto &step : occurrence.steps_) {
            job.failed_ = job.failed_ || std::any_of(step.tasks_.begin(), step.tasks_.end(), [queue](const TaskState &task) {
                              return queue != nullptr && !task.done_ && task.failedRuns_.size() >= queue->maxAttempts_;
                          });
        }
    }
    if (job.failed_) {
        failJob(job, "a task has reached its maximum number of attempts");
    } else {
        completeIfDone(job);
    }
}

auto FleetScheduler::onConfigChanged() -> void
{
    if (!scheduling_ || appliedConfig_ == hooks_.config_().version()) {
        requestPass();
        return;
    }
    appliedConfig_ = hooks_.config_().version();
    for (const auto &[worker, session] : sessions_.all()) {
        for (auto &[key, run] : session->runs_) {
            const auto *job = run.priority_ == UnknownPriority ? findJob(key.first.job_) : nullptr;
            const auto *queue = job == nullptr ? nullptr : queueOf(*job);
            run.priority_ = queue == nullptr ? run.priority_ : queue->priority_;
        }
    }
    closeEndedJobs();
    flush();
    requestPass();
}
} // namespace Marjoramfold
