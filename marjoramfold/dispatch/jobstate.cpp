#include "marjoramfold/dispatch/jobstate.h"

#include "marjoramfold/store/recordcodec.h"

#include <cereal/types/chrono.hpp>
#include <cereal/types/string.hpp>
#include <cereal/types/vector.hpp>

#include <algorithm>
#include <utility>

namespace Marjoramfold
{
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

auto isReady(const JobPlan &plan, const OccurrenceState &occurrence, std::uint32_t step) -> bool
{
    const auto &stepPlan = plan.steps_[step];
    const auto &state = occurrence.steps_[step];
    const auto open = state.done_ < stepPlan.count_ && state.active_ < stepPlan.count_;
    if (!open || (stepPlan.gang_ && state.active_ > 0)) {
        return false;
    }
    return std::all_of(stepPlan.dependsOn_.begin(), stepPlan.dependsOn_.end(), [&plan, &occurrence](std::uint32_t earlier) {
        return occurrence.steps_[earlier].done_ == plan.steps_[earlier].count_;
    });
}

auto referenceTime(const Submission &submission, std::uint32_t occurrence) -> std::chrono::milliseconds
{
    return submission.plan_.occurrences_ == 0 ? submission.acceptedAt_ : dueTime(submission.plan_, occurrence);
}

auto dueTime(const JobPlan &plan, std::uint32_t occurrence) -> std::chrono::milliseconds
{
    return plan.occurrences_ == 0 ? std::chrono::milliseconds(0) : plan.firstDue_ + plan.interval_ * occurrence;
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
