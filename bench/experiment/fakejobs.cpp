#include "fakejobs.h"

#include <algorithm>

namespace Marjoramfold
{
FakeJobs::FakeJobs(const Scenario &scenario)
    : scenario_(scenario)
    , jobs_(scenario.jobs_.size())
{
    for (std::size_t i = 0; i < scenario.jobs_.size(); ++i) {
        index_[scenario.jobs_[i].spec_.id_] = i;
    }
}

auto FakeJobs::indexOf(const JobId &job) const -> std::optional<std::size_t>
{
    const auto found = index_.find(job);
    return found == index_.end() ? std::nullopt : std::optional(found->second);
}

auto FakeJobs::onHeld(const FakeTask &task) -> void
{
    auto &attempt = jobs_[task.job_].attempts_[task.id_.attempt_];
    if (attempt.saved_.empty()) {
        attempt.number_ = task.id_.attempt_;
        attempt.saved_.resize(static_cast<std::size_t>(scenario_.jobs_[task.job_].spec_.gangSize_));
    }
    ++attempt.held_;
    for (auto *observer : observers_) {
        observer->taskChanged(task, attempt);
    }
}

auto FakeJobs::onStarted(const FakeTask &task, SteadyTime now) -> void
{
    auto &job = jobs_[task.job_];
    auto &attempt = attemptOf(task);
    --attempt.held_;
    ++attempt.computing_;
    if (task.id_.index_ < attempt.saved_.size()) {
        attempt.saved_[task.id_.index_] = task.progress_;
    }
    if (attempt.computing_ + attempt.finished_ == scenario_.jobs_[task.job_].spec_.gangSize_ && !job.firstStart_) {
        job.firstStart_ = now;
    }
    for (auto *observer : observers_) {
        observer->taskStarted(task);
        observer->taskChanged(task, attempt);
    }
}

auto FakeJobs::onStopping(const FakeTask &task) -> void
{
    auto &attempt = attemptOf(task);
    --attempt.computing_;
    ++attempt.stopping_;
    for (auto *observer : observers_) {
        observer->taskChanged(task, attempt);
    }
}

auto FakeJobs::onFinished(const FakeTask &task, SteadyTime now) -> void
{
    auto &job = jobs_[task.job_];
    auto &attempt = attemptOf(task);
    ++attempt.finished_;
    save(task, scenario_.jobs_[task.job_].actualRunTime_);
    if (attempt.finished_ == scenario_.jobs_[task.job_].spec_.gangSize_ && !job.finished_) {
        job.finished_ = now;
    }
}

auto FakeJobs::onFailed(const FakeTask &task, SteadyTime now) -> void
{
    auto &attempt = attemptOf(task);
    jobs_[task.job_].failures_ += attempt.failed_ ? 0 : 1;
    jobs_[task.job_].lastFailure_ = now;
    attempt.failed_ = true;
}

auto FakeJobs::onRemoved(const FakeTask &task) -> void
{
    auto &attempt = attemptOf(task);
    auto &count = task.state_ == FakeTaskState::Held ? attempt.held_ : task.state_ == FakeTaskState::Computing ? attempt.computing_ : attempt.stopping_;
    --count;
    for (auto *observer : observers_) {
        observer->taskRemoved(task, attempt);
    }
    if (attempt.presentMembers() > 0) {
        return;
    }
    for (auto *observer : observers_) {
        observer->attemptClosed(task.job_, attempt);
    }
    jobs_[task.job_].attempts_.erase(task.id_.attempt_);
}

auto FakeJobs::renewalPossiblyGranted(const JobId &job, SteadyTime until) -> void
{
    if (const auto index = indexOf(job)) {
        jobs_[*index].possiblyRenewedUntil_ = until;
    }
}

auto FakeJobs::save(const FakeTask &task, std::chrono::milliseconds progress) -> void
{
    auto &attempt = attemptOf(task);
    if (task.id_.index_ < attempt.saved_.size()) {
        attempt.saved_[task.id_.index_] = progress;
    }
    // A gang can resume only from progress that all its members have saved.
    auto &job = jobs_[task.job_];
    job.saved_ = std::max(job.saved_, *std::min_element(attempt.saved_.begin(), attempt.saved_.end()));
}

auto FakeJobs::endInterval(const FakeTask &task, SteadyTime now) -> void
{
    if (task.state_ == FakeTaskState::Computing) {
        attemptOf(task).intervals_.push_back(ComputeInterval{task.worker_, task.since_, now, task.progress_, task.throttled_});
    }
}

auto FakeJobs::closeAllAttempts() -> void
{
    for (std::size_t job = 0; job < jobs_.size(); ++job) {
        for (const auto &[number, attempt] : jobs_[job].attempts_) {
            for (auto *observer : observers_) {
                observer->attemptClosed(job, attempt);
            }
        }
    }
}

auto FakeJobs::workerChanged(std::size_t worker) -> void
{
    for (auto *observer : observers_) {
        observer->workerChanged(worker);
    }
}
} // namespace Marjoramfold
