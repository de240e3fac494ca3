#include "marjoramfold/log/records.h"

#include "marjoramfold/core/jobjson.h"
#include "marjoramfold/log/jobcodec.h"
#include "marjoramfold/log/jsonfields.h"

#include <array>
#include <string_view>

namespace Marjoramfold
{
namespace
{
using Json = nlohmann::json;

constexpr std::int64_t MaxAttempt = 1'000'000'000;
constexpr std::int64_t MaxSnapshotParts = 10'000;

auto readAttempt(JsonFields &fields, const char *name) -> std::uint32_t
{
    return static_cast<std::uint32_t>(fields.integer(name, 0, MaxAttempt));
}

auto encode(const PublishRecord &record) -> Json
{
    return {{"type", "publish"}, {"base_version", record.baseVersion_}, {"author", record.author_}, {"text", record.text_}};
}

auto decodePublish(JsonFields &fields) -> Record
{
    return PublishRecord{fields.id<RecordId>("id"), fields.offset("base_version"), fields.text("author"), fields.text("text")};
}

auto encode(const RuleSetRestatedRecord &record) -> Json
{
    return {{"type", "rule_set_restated"},
            {"version", record.version_},
            {"decided_up_to", record.decidedUpTo_},
            {"author", record.author_},
            {"text", record.text_}};
}

auto decodeRestated(JsonFields &fields) -> Record
{
    return RuleSetRestatedRecord{
        fields.id<RecordId>("id"), fields.offset("version"), fields.offset("decided_up_to"), fields.text("author"), fields.text("text")};
}

auto encode(const ClaimRecord &record) -> Json
{
    return {{"type", "claim"},
            {"zone", record.zone_.value()},
            {"instance", record.instance_.value()},
            {"supersedes", record.supersedes_},
            {"deputies", encodeIds(record.deputies_)}};
}

auto decodeClaim(JsonFields &fields) -> Record
{
    return ClaimRecord{fields.id<RecordId>("id"),
                       fields.id<AvailabilityZoneId>("zone"),
                       fields.id<InstanceId>("instance"),
                       fields.offset("supersedes"),
                       fields.idList<InstanceId>("deputies")};
}

auto encode(const RenewalRecord &record) -> Json
{
    return {{"type", "renewal"},
            {"zone", record.zone_.value()},
            {"instance", record.instance_.value()},
            {"epoch", record.epoch_},
            {"deputies", encodeIds(record.deputies_)}};
}

auto decodeRenewal(JsonFields &fields) -> Record
{
    return RenewalRecord{fields.id<RecordId>("id"),
                         fields.id<AvailabilityZoneId>("zone"),
                         fields.id<InstanceId>("instance"),
                         fields.offset("epoch"),
                         fields.idList<InstanceId>("deputies")};
}

auto encode(const ReleaseRecord &record) -> Json
{
    return {{"type", "release"}, {"zone", record.zone_.value()}, {"instance", record.instance_.value()}, {"epoch", record.epoch_}};
}

auto decodeRelease(JsonFields &fields) -> Record
{
    return ReleaseRecord{fields.id<RecordId>("id"), fields.id<AvailabilityZoneId>("zone"), fields.id<InstanceId>("instance"), fields.offset("epoch")};
}

auto encode(const JobSubmittedRecord &record) -> Json
{
    return {{"type", "job_submitted"}, {"spec", toJson(record.spec_)}};
}

auto decodeJobSubmitted(JsonFields &fields) -> Record
{
    return JobSubmittedRecord{fields.id<RecordId>("id"), readJobSpec(fields, "spec")};
}

auto encode(const JobAssignedRecord &record) -> Json
{
    Json body{{"type", "job_assigned"},
              {"job", record.job_.value()},
              {"from", record.from_.value()},
              {"epoch", record.epoch_},
              {"zone", record.zone_.value()},
              {"attempt", record.attempt_},
              {"progress_ms", record.progress_.count()}};
    if (record.spec_) {
        body["spec"] = toJson(*record.spec_);
        body["submitted_ms"] = toUnixMilliseconds(record.submitted_).count();
    }
    return body;
}

auto decodeJobAssigned(JsonFields &fields) -> Record
{
    JobAssignedRecord record;
    record.id_ = fields.id<RecordId>("id");
    record.job_ = fields.id<JobId>("job");
    record.from_ = AvailabilityZoneId(fields.text("from"));
    record.epoch_ = fields.offset("epoch");
    record.zone_ = fields.id<AvailabilityZoneId>("zone");
    record.attempt_ = readAttempt(fields, "attempt");
    record.progress_ = fields.milliseconds("progress_ms");
    if (fields.has("spec")) {
        record.spec_ = readJobSpec(fields, "spec");
        record.submitted_ = fromUnixMilliseconds(fields.milliseconds("submitted_ms"));
    }
    return record;
}

auto encode(const JobStartedRecord &record) -> Json
{
    return {{"type", "job_started"},
            {"zone", record.zone_.value()},
            {"epoch", record.epoch_},
            {"job", record.job_.value()},
            {"attempt", record.attempt_},
            {"workers", encodeIds(record.workers_)}};
}

auto decodeJobStarted(JsonFields &fields) -> Record
{
    JobStartedRecord record{fields.id<RecordId>("id"),
                            fields.id<AvailabilityZoneId>("zone"),
                            fields.offset("epoch"),
                            fields.id<JobId>("job"),
                            readAttempt(fields, "attempt"),
                            fields.idList<WorkerId>("workers")};
    if (record.workers_.size() > MaxGangSize) {
        fields.fail("workers", "has more entries than the largest gang has tasks");
    }
    return record;
}

auto encode(const JobPreemptedRecord &record) -> Json
{
    return {{"type", "job_preempted"},
            {"zone", record.zone_.value()},
            {"epoch", record.epoch_},
            {"job", record.job_.value()},
            {"next_attempt", record.nextAttempt_},
            {"progress_ms", record.progress_.count()},
            {"reason", record.reason_}};
}

auto decodeJobPreempted(JsonFields &fields) -> Record
{
    return JobPreemptedRecord{fields.id<RecordId>("id"),
                              fields.id<AvailabilityZoneId>("zone"),
                              fields.offset("epoch"),
                              fields.id<JobId>("job"),
                              readAttempt(fields, "next_attempt"),
                              fields.milliseconds("progress_ms"),
                              fields.text("reason")};
}

auto encode(const JobFinishedRecord &record) -> Json
{
    return {{"type", "job_finished"},
            {"zone", record.zone_.value()},
            {"epoch", record.epoch_},
            {"job", record.job_.value()},
            {"attempt", record.attempt_},
            {"state", toString(record.state_)},
            {"reason", record.reason_},
            {"rule_line", record.ruleLine_},
            {"rule_text", record.ruleText_}};
}

auto decodeJobFinished(JsonFields &fields) -> Record
{
    JobFinishedRecord record{fields.id<RecordId>("id"),
                             fields.id<AvailabilityZoneId>("zone"),
                             fields.offset("epoch"),
                             fields.id<JobId>("job"),
                             readAttempt(fields, "attempt"),
                             fields.named<JobState>("state", &jobStateFromString),
                             fields.text("reason"),
                             static_cast<int>(fields.integer("rule_line", 0, std::numeric_limits<int>::max())),
                             fields.text("rule_text")};
    if (!isFinal(record.state_) && record.state_ != JobState::Parked) {
        fields.fail("state", "must be terminal or parked");
    }
    return record;
}

auto encode(const JobCancelledRecord &record) -> Json
{
    return {{"type", "job_cancelled"}, {"job", record.job_.value()}, {"reason", record.reason_}};
}

auto decodeJobCancelled(JsonFields &fields) -> Record
{
    return JobCancelledRecord{fields.id<RecordId>("id"), fields.id<JobId>("job"), fields.text("reason")};
}

auto encode(const ZoneSnapshotRecord &record) -> Json
{
    auto jobs = Json::array();
    for (const auto &job : record.jobs_) {
        jobs.push_back(encodeJobStatus(job));
    }
    return {{"type", "zone_snapshot"},
            {"snapshot", record.snapshot_},
            {"part", record.part_},
            {"parts", record.parts_},
            {"zone", record.zone_.value()},
            {"epoch", record.epoch_},
            {"decided_up_to", record.decidedUpTo_},
            {"jobs", std::move(jobs)},
            {"estimates", record.estimates_}};
}

auto decodeZoneSnapshot(JsonFields &fields) -> Record
{
    ZoneSnapshotRecord record;
    record.id_ = fields.id<RecordId>("id");
    record.snapshot_ = fields.text("snapshot");
    record.parts_ = static_cast<int>(fields.integer("parts", 1, MaxSnapshotParts));
    record.part_ = static_cast<int>(fields.integer("part", 0, record.parts_ - 1));
    record.zone_ = fields.id<AvailabilityZoneId>("zone");
    record.epoch_ = fields.offset("epoch");
    record.decidedUpTo_ = fields.offset("decided_up_to");
    for (const auto &item : fields.array("jobs")) {
        JsonFields job(item);
        record.jobs_.push_back(readJobStatus(job));
        fields.copyErrorFrom(job);
    }
    record.estimates_ = fields.object("estimates");
    return record;
}

auto encode(const IntentBatchRecord &record) -> Json
{
    auto intents = Json::array();
    for (const auto &intent : record.intents_) {
        intents.push_back({{"key", intent.key_}, {"intent", intent.intentId_}});
    }
    return {{"type", "intent_batch"}, {"instance", record.instance_.value()}, {"intents", std::move(intents)}};
}

auto decodeIntentBatch(JsonFields &fields) -> Record
{
    IntentBatchRecord record{fields.id<RecordId>("id"), fields.id<InstanceId>("instance"), {}};
    for (const auto &item : fields.array("intents")) {
        JsonFields intent(item);
        record.intents_.push_back({intent.text("key"), intent.text("intent")});
        fields.copyErrorFrom(intent);
    }
    return record;
}

/// A record type and its decoder.
struct RecordType {
    std::string_view name_;
    auto(*decode_)(JsonFields &) -> Record;
};

constexpr std::array RecordTypes{
    RecordType{"publish", &decodePublish},
    RecordType{"rule_set_restated", &decodeRestated},
    RecordType{"claim", &decodeClaim},
    RecordType{"renewal", &decodeRenewal},
    RecordType{"release", &decodeRelease},
    RecordType{"job_submitted", &decodeJobSubmitted},
    RecordType{"job_assigned", &decodeJobAssigned},
    RecordType{"job_started", &decodeJobStarted},
    RecordType{"job_preempted", &decodeJobPreempted},
    RecordType{"job_finished", &decodeJobFinished},
    RecordType{"job_cancelled", &decodeJobCancelled},
    RecordType{"zone_snapshot", &decodeZoneSnapshot},
    RecordType{"intent_batch", &decodeIntentBatch},
};
static_assert(RecordTypes.size() == std::variant_size_v<Record>);
} // namespace

auto encodeRecord(const Record &record) -> nlohmann::json
{
    return std::visit(
        [](const auto &typed) {
            auto body = encode(typed);
            body["id"] = typed.id_.value();
            return body;
        },
        record);
}

auto decodeRecord(const nlohmann::json &body) -> Result<Record>
{
    JsonFields fields(body);
    const auto name = fields.text("type");
    if (fields.error()) {
        return *fields.error();
    }
    for (const auto &type : RecordTypes) {
        if (type.name_ == name) {
            auto record = type.decode_(fields);
            if (fields.error()) {
                return Error{ErrorKind::Malformed, name + ": " + fields.error()->message_, std::nullopt};
            }
            return record;
        }
    }
    return Error{ErrorKind::Malformed, "unknown record type '" + name + "'", std::nullopt};
}

auto idOf(const Record &record) -> const RecordId &
{
    return std::visit(
        [](const auto &typed) -> const RecordId & {
            return typed.id_;
        },
        record);
}
} // namespace Marjoramfold
