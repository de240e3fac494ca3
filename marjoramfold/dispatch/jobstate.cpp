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
