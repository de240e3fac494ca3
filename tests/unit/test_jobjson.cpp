#include "marjoramfold/core/jobjson.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

using namespace Marjoramfold;

SCENARIO("jobs round-trip through JSON", "[core][jobjson]")
{
    JobSpec spec;
    spec.id_ = JobId("job-1");
    spec.team_ = TeamId("planners");
    spec.name_ = "agenda 2027";
    spec.gangSize_ = 16;
    spec.task_ = {8, 12, 64'000};
    spec.adjacency_ = Adjacency::Rack;
    spec.priority_ = PriorityClass::Urgent;
    spec.declaredRunTime_ = std::chrono::milliseconds(5'400'250);
    spec.allowedZones_ = {AvailabilityZoneId("cluj-a"), AvailabilityZoneId("targu-d")};
    spec.checkpointable_ = false;
    spec.grace_ = std::chrono::seconds(3);
    spec.payload_ = R"({"image":"inserts"})";

    // A field that is lost in a log record would change the job for the next owner of the availability zone.
    const auto decoded = jobSpecFromJson(nlohmann::json::parse(toJson(spec).dump()));
    REQUIRE(isOk(decoded));
    const auto &copy = valueOf(decoded);
    REQUIRE(toJson(copy) == toJson(spec));
    REQUIRE(copy.id_ == spec.id_);
    REQUIRE(copy.task_ == spec.task_);
    REQUIRE(copy.declaredRunTime_ == spec.declaredRunTime_);
    REQUIRE(copy.allowedZones_ == spec.allowedZones_);
}

SCENARIO("invalid jobs are rejected with the invalid key", "[core][jobjson]")
{
    struct Case {
        const char *text_;
        const char *key_;
    };
    const auto invalid = GENERATE(Case{R"([])", "object"},
                                  Case{R"({"team":"t"})", "'id'"},
                                  Case{R"({"id":"a/b","team":"t"})", "'id'"},
                                  Case{R"({"id":"a"})", "'team'"},
                                  Case{R"({"id":"a","team":"t","gang_size":0})", "'gang_size'"},
                                  Case{R"({"id":"a","team":"t","gang_size":129})", "'gang_size'"},
                                  Case{R"({"id":"a","team":"t","gang_size":1.5})", "'gang_size'"},
                                  Case{R"({"id":"a","team":"t","gang_size":18446744073709551615})", "'gang_size'"},
                                  Case{R"({"id":"a","team":"t","gang_size":5000000000})", "'gang_size'"},
                                  Case{R"({"id":"a","team":"t","task":3})", "'task'"},
                                  Case{R"({"id":"a","team":"t","task":{"cores":-1}})", "'task.cores'"},
                                  Case{R"({"id":"a","team":"t","task":{"memory_mb":"big"}})", "'task.memory_mb'"},
                                  Case{R"({"id":"a","team":"t","adjacency":"near"})", "'adjacency'"},
                                  Case{R"({"id":"a","team":"t","priority":7})", "'priority'"},
                                  Case{R"({"id":"a","team":"t","availability_zones":["x",4]})", "'availability_zones'"},
                                  Case{R"({"id":"a","team":"t","availability_zones":["x y"]})", "'availability_zones'"},
                                  Case{R"({"id":"a","team":"t","grace_ms":-5})", "'grace_ms'"},
                                  Case{R"({"id":"a","team":"t","checkpointable":"yes"})", "'checkpointable'"});
    CAPTURE(invalid.text_);
    const auto result = jobSpecFromJson(nlohmann::json::parse(invalid.text_));
    REQUIRE_FALSE(isOk(result));
    REQUIRE(errorOf(result).kind_ == ErrorKind::InvalidRequest);
    REQUIRE_THAT(errorOf(result).message_, Catch::Contains(invalid.key_));
}
