#include "marjoramfold/dispatch/jobstate.h"

#include "marjoramfold/store/recordcodec.h"

#include <cereal/types/chrono.hpp>
#include <cereal/types/set.hpp>
#include <cereal/types/string.hpp>
#include <cereal/types/vector.hpp>

#include <algorithm>
#include <charconv>
#include <utility>

namespace Marjoramfold
{
namespace
{
/// A task with progress, as stored in a progress record.
struct TaskProgress {
    std::uint32_t step_ = 0;
    std::uint32_t index_ = 0;
    bool done_ = false;
    std::set<std::uint32_t> failedRuns_;
    std::uint32_t lastRun_ = 0;
    WorkerId worker_;
    std::uint64_t workerIncarnation_ = 0;
    std::string checkpoint_;

    template<typename Archive>
    auto serialize(Archive &archive) -> void
    {
        archive(step_, index_, done_, failedRuns_, lastRun_, worker_, workerIncarnation_, checkpoint_);
    }
};
} // namespace

auto makeTrackedJob(Submission submission) -> TrackedJob
{
    TrackedJob job;
    OccurrenceState occurrence;
    for (const auto &step : submission.plan_.steps_) {
        occurrence.steps_.push_back({std::vector<TaskState>(step.count_), 0, 0, {}});
    }
    job.occurrences_.assign(std::max(1U, submission.plan_.occurrences_), occurrence);
    job.submission_ = std::move(submission);
    return job;
}

auto dueTime(const JobPlan &plan, std::uint32_t occurrence) -> std::chrono::milliseconds
{
    return plan.occurrences_ == 0 ? std::chrono::milliseconds(0) : plan.firstDue_ + plan.interval_ * occurrence;
}

auto progressKey(const JobId &job, std::uint32_t occurrence) -> std::string
{
    return job.value() + "." + std::to_string(occurrence);
}

auto parseProgressKey(const std::string &key) -> std::optional<std::pair<JobId, std::uint32_t>>
{
    const auto dot = key.rfind('.');
    if (dot == std::string::npos) {
        return std::nullopt;
    }
    std::uint32_t occurrence = 0;
    const auto *end = key.data() + key.size();
    if (const auto [rest, error] = std::from_chars(key.data() + dot + 1, end, occurrence); error != std::errc() || rest != end) {
        return std::nullopt;
    }
    return std::pair(JobId(key.substr(0, dot)), occurrence);
}

auto encodeProgress(const OccurrenceState &occurrence) -> std::string
{
    std::vector<TaskProgress> progressed;
    for (std::uint32_t step = 0; step < occurrence.steps_.size(); ++step) {
        const auto &tasks = occurrence.steps_[step].tasks_;
        for (std::uint32_t index = 0; index < tasks.size(); ++index) {
            const auto &task = tasks[index];
            if (task.hasProgress()) {
                progressed.push_back(
                    {step, index, task.done_, task.failedRuns_, task.lastRun_, task.worker_, task.workerIncarnation_, task.done_ ? "" : task.checkpoint_});
            }
        }
    }
    return encodeRecordValue(progressed);
}

auto decodeProgress(const std::string &value, OccurrenceState &occurrence) -> Result<Success>
{
    const auto decoded = decodeRecordValue<std::vector<TaskProgress>>(value);
    if (!isOk(decoded)) {
        return errorOf(decoded);
    }
    for (const auto &progress : valueOf(decoded)) {
        if (progress.step_ >= occurrence.steps_.size() || progress.index_ >= occurrence.steps_[progress.step_].tasks_.size()) {
            return Error{ErrorKind::Malformed, "the progress record names a task that the job does not have", std::nullopt};
        }
        auto &step = occurrence.steps_[progress.step_];
        auto &task = step.tasks_[progress.index_];
        task.done_ = progress.done_;
        task.failedRuns_ = progress.failedRuns_;
        task.lastRun_ = progress.lastRun_;
        task.worker_ = progress.worker_;
        task.workerIncarnation_ = progress.workerIncarnation_;
        task.checkpoint_ = progress.checkpoint_;
        step.done_ += task.done_ ? 1 : 0;
    }
    return Success{};
}

auto encodeSubmission(const Submission &submission) -> std::string
{
    return encodeRecordValue(submission);
}

auto decodeSubmission(const std::string &value) -> Result<Submission>
{
    return decodeRecordValue<Submission>(value);
}
} // namespace Marjoramfold
