#include "marjoramfold/entry/zonetakeover.h"

#include <algorithm>
#include <utility>

namespace Marjoramfold
{
namespace
{
/// Tasks of one attempt of a job, collected from the inventories.
struct ReportedAttempt {
    std::vector<TaskPlacement> running_;
    std::vector<OrphanedTask> live_;
    std::chrono::milliseconds progress_{0};
};

using ReportedAttempts = std::map<JobId, std::map<std::uint32_t, ReportedAttempt>>;

auto isLive(WorkerTaskState state) -> bool
{
    return state == WorkerTaskState::Held || state == WorkerTaskState::Running || state == WorkerTaskState::Stopping;
}

auto collectReportedAttempts(const std::map<WorkerId, WorkerInventory> &inventories) -> ReportedAttempts
{
    ReportedAttempts reported;
    for (const auto &[worker, inventory] : inventories) {
        for (const auto &task : inventory.tasks_) {
            auto &attempt = reported[task.task_.job_][task.task_.attempt_];
            attempt.progress_ = std::max(attempt.progress_, task.progress_);
            if (isLive(task.state_)) {
                attempt.live_.push_back({task.task_, worker});
            }
            if (task.state_ == WorkerTaskState::Running) {
                attempt.running_.push_back({task.task_, worker});
            }
        }
    }
    return reported;
}

/// Newest attempt of which all members run; null if there is none.
auto completeAttempt(const std::map<std::uint32_t, ReportedAttempt> &attempts, int gangSize) -> const ReportedAttempt *
{
    for (auto entry = attempts.rbegin(); entry != attempts.rend(); ++entry) {
        if (entry->second.running_.size() == static_cast<std::size_t>(gangSize)) {
            return &entry->second;
        }
    }
    return nullptr;
}

auto appendOrphans(const std::map<std::uint32_t, ReportedAttempt> &attempts, const ReportedAttempt *keep, std::vector<OrphanedTask> &orphans) -> void
{
    for (const auto &[number, attempt] : attempts) {
        if (&attempt != keep) {
            orphans.insert(orphans.end(), attempt.live_.begin(), attempt.live_.end());
        }
    }
}

/// Raises the attempt above every reported one, since workers refuse task identifiers that they already know.
auto withNextAttempt(KnownJob job, const std::map<std::uint32_t, ReportedAttempt> &attempts) -> KnownJob
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
    auto reported = collectReportedAttempts(inventories);
    for (const auto &job : jobs) {
        const auto attempts = std::move(reported[job.spec_.id_]);
        reported.erase(job.spec_.id_);
        // A gang whose members all run is kept; all other tasks of the job are stopped.
        const auto *complete = completeAttempt(attempts, job.spec_.gangSize_);
        appendOrphans(attempts, complete, plan.orphans_);
        if (complete != nullptr) {
            auto survivor = job;
            survivor.attempt_ = complete->running_.front().task_.attempt_;
            survivor.progress_ = std::max(job.progress_, complete->progress_);
            plan.survivors_.push_back({std::move(survivor), complete->running_});
            continue;
        }
        // Members may still run on an unreachable worker, whether or not the log has a record of their start.
        auto &list = unreachable.empty() ? plan.waiting_ : plan.uncertain_;
        list.push_back(withNextAttempt(job, attempts));
    }
    // Tasks of jobs that ended or now belong to another availability zone.
    for (const auto &[job, attempts] : reported) {
        appendOrphans(attempts, nullptr, plan.orphans_);
    }
    return plan;
}
} // namespace Marjoramfold
