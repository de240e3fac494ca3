#include "marjoramfold/log/records.h"

#include <catch2/catch.hpp>

using namespace Marjoramfold;

namespace
{
using std::chrono::milliseconds;

auto examples() -> std::vector<Record>
{
    const RecordId id("r1");
    const AvailabilityZoneId zone("cluj-a");
    const InstanceId instance("e1");
    JobSpec spec;
    spec.id_ = JobId("j");
    spec.team_ = TeamId("planners");
    spec.name_ = "train";
    spec.declaredRunTime_ = milliseconds(5);
    JobStatus status;
    status.spec_ = spec;
    status.state_ = JobState::Running;
    status.zone_ = zone;
    status.workers_ = {WorkerId("w1")};
    status.submitted_ = WallTime(milliseconds(1'796'367'440'098));
    ZoneSnapshotRecord snapshot;
    snapshot.id_ = id;
    snapshot.snapshot_ = "s";
    snapshot.zone_ = zone;
    snapshot.decidedUpTo_ = 9;
    snapshot.jobs_ = {status};
    return {
        PublishRecord{id, 3, "ana", "# text \"\xC8\x99\"\n"},
        RuleSetRestatedRecord{id, 3, 5, "ana", "# text\n"},
        ClaimRecord{id, zone, instance, 4, {InstanceId("e2")}},
        RenewalRecord{id, zone, instance, 4, {InstanceId("e2")}},
        ReleaseRecord{id, zone, instance, 4},
        JobSubmittedRecord{id, spec},
        JobAssignedRecord{id, JobId("j"), {}, 0, zone, 0, milliseconds(0), {}, {}},
        JobAssignedRecord{id, JobId("j"), zone, 4, AvailabilityZoneId("b"), 2, milliseconds(6), spec, WallTime(milliseconds(1'796'367'440'098))},
        JobStartedRecord{id, zone, 4, JobId("j"), 1, {WorkerId("w1"), WorkerId("w2")}},
        JobPreemptedRecord{id, zone, 4, JobId("j"), 2, milliseconds(8), "why"},
        JobFinishedRecord{id, zone, 4, JobId("j"), 2, JobState::Parked, "why", 7, "quota.x"},
        JobCancelledRecord{id, JobId("j"), "why"},
        snapshot,
        IntentBatchRecord{id, instance, {{"1.a", "i1"}, {"2.b", "i2"}}},
    };
}
} // namespace

SCENARIO("every record round-trips through JSON", "[log][records]")
{
    for (const auto &record : examples()) {
        const auto body = encodeRecord(record);
        CAPTURE(body.dump());
        const auto decoded = decodeRecord(body);
        REQUIRE(isOk(decoded));
        CHECK(valueOf(decoded).index() == record.index());
        CHECK(encodeRecord(valueOf(decoded)) == body);
        CHECK(idOf(valueOf(decoded)) == RecordId("r1"));
    }
}

SCENARIO("a record of a newer version with more fields is read", "[log][records]")
{
    for (const auto &record : examples()) {
        auto body = encodeRecord(record);
        body["added_later"] = {{"a", 1}};
        CHECK(isOk(decodeRecord(body)));
    }
}

SCENARIO("a record with a missing or invalid field is malformed and does not throw", "[log][records]")
{
    for (const auto &record : examples()) {
        const auto body = encodeRecord(record);
        for (const auto &[key, value] : body.items()) {
            CAPTURE(body.dump(), key);
            auto missing = body;
            missing.erase(key);
            const auto isOptional = key == "spec" && body["type"] == "job_assigned";
            CHECK(isOk(decodeRecord(missing)) == isOptional);
            for (const auto &invalid : {nlohmann::json(nullptr), nlohmann::json(-1), nlohmann::json(1.5), nlohmann::json(18446744073709551615U)}) {
                auto changed = body;
                changed[key] = invalid;
                const auto decoded = decodeRecord(changed);
                REQUIRE_FALSE(isOk(decoded));
                CHECK(errorOf(decoded).kind_ == ErrorKind::Malformed);
            }
        }
    }
    for (const auto *text : {"null", "[]", "3", "\"claim\"", "{}", R"({"type":"unknown","id":"a"})", R"({"type":3})"}) {
        CHECK_FALSE(isOk(decodeRecord(nlohmann::json::parse(text))));
    }
}
