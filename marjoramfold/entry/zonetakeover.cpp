#include "marjoramfold/entry/zonetakeover.h"

#include <algorithm>
#include <utility>

namespace Marjoramfold
{
namespace
{
/// What the inventories say about one attempt of a job.
struct AttemptSighting {
    std::vector<TaskPlacement> running_;
    std::vector<StrayTask> live_;
    std::chrono::milliseconds progress_{0};
};

using Sightings = std::map<JobId, std::map<std::uint32_t, AttemptSighting>>;

auto isLive(WorkerTaskState state) -> bool
{
    return state == WorkerTaskState::Held || state == WorkerTaskState::Running || state == WorkerTaskState::Stopping;
}

auto collectSightings(const std::map<WorkerId, WorkerInventory> &inventories) -> Sightings
{
    Sightings sightings;
    for (const auto &[worker, inventory] : inventories) {
        for (const auto &task : inventory.tasks_) {
            auto &sighting = sightings[task.task_.job_][task.task_.attempt_];
            sighting.progress_ = std::max(sighting.progress_, task.progress_);
            if (isLive(task.state_)) {
                sighting.live_.push_back({task.task_, worker});
            }
            if (task.state_ == WorkerTaskState::Running) {
                sighting.running_.push_back({task.task_, worker});
            }
        }
    }
    return sightings;
}

/// The newest attempt of which every member runs, if there is one.
auto wholeAttempt(const std::map<std::uint32_t, AttemptSighting> &attempts, int gangSize) -> const AttemptSighting *
{
    for (auto entry = attempts.rbegin(); entry != attempts.rend(); ++entry) {
        if (entry->second.running_.size() == static_cast<std::size_t>(gangSize)) {
            return &entry->second;
        }
    }
    return nullptr;
}

auto appendStrays(const std::map<std::uint32_t, AttemptSighting> &attempts, const AttemptSighting *keep, std::vector<StrayTask> &strays) -> void
{
    for (const auto &[attempt, sighting] : attempts) {
        if (&sighting != keep) {
            strays.insert(strays.end(), sighting.live_.begin(), sighting.live_.end());
        }
    }
}

/// Raises the attempt above every attempt seen, since workers refuse a task identifier that they know.
auto withNextAttempt(KnownJob job, const std::map<std::uint32_t, AttemptSighting> &attempts) -> KnownJob
{
    ++job.attempt_;
    if (!attempts.empty()) {
        job.attempt_ = std::max(job.attempt_, attempts.rbegin()->first + 1);
    }
    return job;
}
} // namespace

auto planTakeover(const std::vector<KnownJob> &jobs, const std::map<WorkerId, WorkerInventory> &inventories, const std::set<WorkerId> &unreachable)
    -> TakeoverPlan
{
    TakeoverPlan plan;
    auto sightings = collectSightings(inventories);
    for (const auto &job : jobs) {
        const auto attempts = std::move(sightings[job.spec_.id_]);
        sightings.erase(job.spec_.id_);
        // A gang that runs as a whole goes on; whatever else is left of the job is stopped.
        const auto *whole = wholeAttempt(attempts, job.spec_.gangSize_);
        appendStrays(attempts, whole, plan.strays_);
        if (whole != nullptr) {
            auto survivor = job;
            survivor.attempt_ = whole->running_.front().task_.attempt_;
            survivor.progress_ = std::max(job.progress_, whole->progress_);
            plan.survivors_.push_back({std::move(survivor), whole->running_});
            continue;
        }
        // Members on a worker that does not answer may still run, whether or not the log knows that they were started.
        auto &list = unreachable.empty() ? plan.waiting_ : plan.uncertain_;
        list.push_back(withNextAttempt(job, attempts));
    }
    // Tasks of jobs that ended or that belong to another availability zone by now.
    for (const auto &[job, attempts] : sightings) {
        appendStrays(attempts, nullptr, plan.strays_);
    }
    return plan;
}
} // namespace Marjoramfold
