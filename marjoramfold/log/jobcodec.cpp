#include "marjoramfold/log/jobcodec.h"

#include "marjoramfold/core/clock.h"
#include "marjoramfold/core/jobjson.h"

#include <string>

namespace Marjoramfold
{
namespace
{
constexpr std::int64_t MaxAttempt = 1'000'000'000;

auto encodeTime(WallTime time) -> std::int64_t
{
    return toUnixMilliseconds(time).count();
}
} // namespace

auto readJobSpec(JsonFields &fields, const char *name) -> JobSpec
{
    auto spec = jobSpecFromJson(fields.object(name));
    if (!isOk(spec)) {
        fields.fail(name, "is invalid: " + errorOf(spec).message_);
        return {};
    }
    return std::get<JobSpec>(std::move(spec));
}

auto encodeJobStatus(const JobStatus &status) -> nlohmann::json
{
    return {
        {"spec", toJson(status.spec_)},
        {"state", toString(status.state_)},
        {"zone", status.zone_.value()},
        {"attempt", status.attempt_},
        {"progress_ms", status.progress_.count()},
        {"workers", encodeIds(status.workers_)},
        {"reason", status.reason_},
        {"rule_line", status.ruleLine_},
        {"rule_text", status.ruleText_},
        {"submitted_ms", encodeTime(status.submitted_)},
        {"ended_ms", encodeTime(status.ended_)},
        {"changed_at", status.changedAt_},
    };
}

auto readJobStatus(JsonFields &fields) -> JobStatus
{
    JobStatus status;
    status.spec_ = readJobSpec(fields, "spec");
    status.state_ = fields.named<JobState>("state", &jobStateFromString);
    status.zone_ = AvailabilityZoneId(fields.text("zone"));
    status.attempt_ = static_cast<std::uint32_t>(fields.integer("attempt", 0, MaxAttempt));
    status.progress_ = fields.milliseconds("progress_ms");
    status.workers_ = fields.idList<WorkerId>("workers");
    status.reason_ = fields.text("reason");
    status.ruleLine_ = static_cast<int>(fields.integer("rule_line", 0, std::numeric_limits<int>::max()));
    status.ruleText_ = fields.text("rule_text");
    status.submitted_ = fromUnixMilliseconds(fields.milliseconds("submitted_ms"));
    status.ended_ = fromUnixMilliseconds(fields.milliseconds("ended_ms"));
    status.changedAt_ = fields.offset("changed_at");
    return status;
}
} // namespace Marjoramfold
