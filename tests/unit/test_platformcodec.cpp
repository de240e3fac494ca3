#include "marjoramfold/node/nodesettings.h"
#include "platform/callerprotocol.h"
#include "platform/jobdocument.h"
#include "platform/operatorrecords.h"
#include "platform/storeprotocol.h"
#include "platform/workerprotocol.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include <fstream>
#include <random>
#include <sstream>

using namespace Marjoramfold;
using namespace std::chrono_literals;

namespace
{
constexpr const char *JobBody = R"({"spec":"text","times":2,"start_ms":1700000000000,"interval_ms":4500,"steps":[
    {"count":4,"cpu":500,"mem_mb":256,"gpu":1,"estimate_ms":900,"affinity":"r1-3","gang":true,"same_rack":true},
    {"count":20,"cpu":2000,"mem_mb":1024,"estimate_ms":7000.5,"depends_on":[0],"checkpointing":true,"requires":"a","anti_affinity":2,"fills":true}]})";

constexpr const char *ConfigBody = R"({"version":7,"routes":[
    {"name":"r1","host":"h.example","path_prefix":"/a/","timeout_ms":3000,"target_latency_ms":1000,"priority":1,"service":"s","max_attempts":4,"stretch":3.0,"public":false},
    {"name":"r2","host":"h.example","path_prefix":"/a/b/","timeout_ms":3000,"target_latency_ms":250,"priority":0,"service":"s","max_attempts":3,"stretch":1.5,"public":true}],
    "services":[{"name":"s","health_path":"/health","admission_check":true,"spare":false}],
    "tenants":[{"name":"t","api_keys":["k1","k2"],"guaranteed":{"gpu":72}}]})";

constexpr const char *EntryBody = R"({"service":"s","address":"10.128.0.9:8080","zone":"z","version":"v1","slots":8,"state":"draining","remaining_ms":1500,
    "capacity":{"cpu":16000,"mem_mb":32768,"gpu":8},"labels":["a","r1-3"],"clock_ms":482113,"born":1700000000000,"sequence":4})";

constexpr const char *ListsBody = R"({"clock_ms":482113,"born":5,"running":[["5c0e7a21d94b36f8.0.1.17",2,"00bb",41,3]],
    "finished":[[58,"5c0e7a21d94b36f8.0.1.9",1,"done",""]]})";

/// Returns the text with a few random changes, deletions, duplications or truncations.
auto mutate(std::string text, std::mt19937_64 &random) -> std::string
{
    const auto changes = 1 + random() % 4;
    for (std::uint64_t i = 0; i < changes && !text.empty(); ++i) {
        const auto at = random() % text.size();
        switch (random() % 4) {
        case 0:
            text[at] = static_cast<char>(random());
            break;
        case 1:
            text.erase(at, 1 + random() % 5);
            break;
        case 2:
            text.insert(at, text.substr(at, random() % 20));
            break;
        default:
            text.resize(at);
            break;
        }
    }
    return text;
}
} // namespace

TEST_CASE("a submission is decoded into a job plan", "[platform]")
{
    const auto plan = Wire::decodeJobPlan(JobBody);
    REQUIRE(isOk(plan));
    const auto &job = valueOf(plan);
    CHECK(job.payload_ == "text");
    CHECK(job.occurrences_ == 2);
    CHECK(job.interval_ == 4500ms);
    REQUIRE(job.steps_.size() == 2);
    CHECK(job.steps_[0].gang_);
    CHECK(job.steps_[0].prefersOneRack_);
    CHECK(job.steps_[0].dataRack_ == "r1-3");
    CHECK(job.steps_[0].task_ == ResourceVector{500, 256, 1});
    CHECK(job.steps_[1].dependsOn_ == std::vector<std::uint32_t>{0});
    CHECK(job.steps_[1].maxPerWorker_ == 2);
    // Tasks with `fills` run on cores left idle by others and reserve none.
    CHECK(job.steps_[1].task_.milliCores_ == 0);
}

TEST_CASE("an invalid submission is rejected with the field and the reason", "[platform]")
{
    const auto [body, part] = GENERATE(table<std::string, std::string>({
        {"", "not a JSON object"},
        {"[1]", "not a JSON object"},
        {R"({"spec":"x"})", "'steps'"},
        {R"({"spec":"x","steps":[]})", "'steps'"},
        {R"({"spec":7,"steps":[{"count":1}]})", "'spec'"},
        {R"({"spec":"x","steps":[{"count":0}]})", "'count'"},
        {R"({"spec":"x","steps":[{"count":-1}]})", "'count'"},
        {R"({"spec":"x","steps":[{"count":1.5}]})", "'count'"},
        {R"({"spec":"x","steps":[{"count":"4"}]})", "'count'"},
        {R"({"spec":"x","steps":[{"count":1e300}]})", "'count'"},
        {R"({"spec":"x","steps":[{"count":1,"depends_on":[0]}]})", "'depends_on'"},
        {R"({"spec":"x","steps":[{"count":1,"gang":"yes"}]})", "'gang'"},
        {R"({"spec":"x","steps":[{"count":1,"estimate_ms":-5}]})", "'estimate_ms'"},
        {R"({"spec":"x","times":100,"steps":[{"count":20000}]})", "more than"},
    }));
    INFO(body);
    const auto plan = Wire::decodeJobPlan(body);
    REQUIRE_FALSE(isOk(plan));
    CHECK(errorOf(plan).kind_ == ErrorKind::InvalidRequest);
    CHECK(errorOf(plan).message_.find(part) != std::string::npos);
}

TEST_CASE("operators' records and workers' entries are decoded, and malformed ones are rejected", "[platform]")
{
    SECTION("a configuration")
    {
        const auto record = Wire::decodeOperatorRecord({"config", ConfigBody});
        REQUIRE(isOk(record));
        const auto &config = std::get<ConfigurationPublished>(valueOf(record)).config_;
        CHECK(config.version() == 7);
        CHECK(config.findQueue("h.example", "/a/x")->name_ == "r1");
        // The longest prefix wins.
        CHECK(config.findQueue("h.example", "/a/b/x")->name_ == "r2");
        CHECK(config.findQueue("other", "/a/x") == nullptr);
        CHECK(config.teamOfKey("k2")->guaranteedAccelerators_ == 72);
        CHECK(config.teamOfKey("k3") == nullptr);
    }
    SECTION("an availability zone that is evacuated and returned to service")
    {
        CHECK(std::get<ZoneChanged>(valueOf(Wire::decodeOperatorRecord({"evacuate/z", "{}"}))).evacuated_);
        CHECK_FALSE(std::get<ZoneChanged>(valueOf(Wire::decodeOperatorRecord({"evacuate/z", std::nullopt}))).evacuated_);
    }
    SECTION("a worker's entry")
    {
        const auto entry = valueOf(Wire::decodeWorkerEntry("w1", EntryBody));
        CHECK(entry.draining_);
        CHECK(entry.remaining_ == 1500ms);
        CHECK(entry.rack_.value() == "r1-3");
        CHECK(entry.capacity_ == ResourceVector{16000, 32768, 8});
        CHECK(entry.incarnation_ == 1700000000000ULL);
    }
    SECTION("entries that describe no usable worker")
    {
        const auto *body = GENERATE("",
                                    "{}",
                                    "\xff\xfe",
                                    R"({"state":"happy","service":"s","address":"a:1","capacity":{}})",
                                    R"({"state":"ready","service":"s","address":"a:1","capacity":7})",
                                    R"({"state":"ready","service":"s","capacity":{}})",
                                    R"({"state":"ready","service":"s","address":"a:1","capacity":{},"born":"soon"})");
        CHECK_FALSE(isOk(Wire::decodeWorkerEntry("w1", body)));
    }
}

TEST_CASE("a worker's lists are decoded, and task names survive a round trip", "[platform]")
{
    const auto report = valueOf(Wire::decodeReport(ListsBody));
    REQUIRE(report.running_.size() == 1);
    CHECK(report.running_[0].percent_ == 41);
    CHECK(report.ended_[0].kind_ == RunOutcome::Done);
    CHECK(report.ended_[0].number_ == 58);
    CHECK(Wire::encodeTaskName(report.running_[0].task_) == "5c0e7a21d94b36f8.0.1.17");
    for (const auto *name : {"", "x", "a.b.c.d", "5c.0.1", "5c.0.1.-1", "5c.0.1.99999999999"}) {
        INFO(name);
        CHECK_FALSE(Wire::decodeTaskName(name).has_value());
    }
}

TEST_CASE("records survive a round trip through the store's framing", "[platform]")
{
    const std::vector<KeyedRecord> records{{"a", "value"}, {"b", std::nullopt}, {std::string(200, 'k'), std::string(1000, '\0')}};
    const auto body = std::string(7, '\0') + '\5' + std::string(8, '\0') + Wire::encodeRecords(records);
    const auto page = valueOf(Wire::decodeReadPage(body, 2));
    CHECK(page.end_ == 5);
    REQUIRE(page.records_.size() == 3);
    CHECK(page.records_[0].offset_ == 2);
    CHECK(page.records_[0].record_.value_ == "value");
    CHECK_FALSE(page.records_[1].record_.value_.has_value());
    CHECK(page.records_[2].record_.key_ == records[2].key_);
    CHECK(page.records_[2].record_.value_ == records[2].value_);
}

TEST_CASE("answers to callers have the HTTP status of their error kind", "[platform]")
{
    const auto status = [](ErrorKind kind) {
        return Wire::encodeAnswer(Error{kind, "why", 1500ms}).status_;
    };
    CHECK(status(ErrorKind::NotFound) == 404);
    CHECK(status(ErrorKind::Unauthorized) == 401);
    CHECK(status(ErrorKind::JobUnknown) == 410);
    CHECK(status(ErrorKind::InvalidRequest) == 400);
    CHECK(status(ErrorKind::RulesNotLoaded) == 503);
    CHECK(status(ErrorKind::LogUnavailable) == 503);
    // An unknown outcome must be distinguishable from a rejection.
    CHECK(status(ErrorKind::Timeout) == 504);
    const auto refused = Wire::encodeAnswer(Error{ErrorKind::LogUnavailable, "why", 1500ms});
    CHECK(findHeader(refused.headers_, "Retry-After") == "2");
    CHECK(Wire::encodeAnswer(JobStateAnswer{JobPhase::Cancelled}).body_ == R"({"state":"canceled"})");
}

TEST_CASE("no decoder throws on corrupted input", "[platform][fuzz]")
{
    std::mt19937_64 random(20261204);
    const auto page = std::string(16, '\0') + Wire::encodeRecords({{"key", "value"}, {"other", std::nullopt}});
    for (int i = 0; i < 4000; ++i) {
        (void)Wire::decodeJobPlan(mutate(JobBody, random));
        (void)Wire::decodeOperatorRecord({"config", mutate(ConfigBody, random)});
        (void)Wire::decodeWorkerEntry("w", mutate(EntryBody, random));
        (void)Wire::decodeReport(mutate(ListsBody, random));
        (void)Wire::decodeReadPage(mutate(page, random), 0);
        (void)Wire::decodeNewestPage(mutate(R"({"items":[{"key":"a","value":"dg==","offset":4}],"truncated":false,"end":6})", random));
        (void)Wire::decodeTaskName(mutate("5c0e7a21d94b36f8.0.1.17", random));
    }
    SUCCEED("no decoder threw");
}

TEST_CASE("settings are validated, and the deployed template can be parsed", "[platform]")
{
    std::ifstream file(std::string(MARJORAMFOLD_SOURCE_DIR) + "/deploy/settings.toml.in");
    std::string text((std::istreambuf_iterator<char>(file)), std::istreambuf_iterator<char>());
    const std::vector<std::pair<std::string, std::string>> values{
        {"{{node_name|json}}", "\"n1\""},
        {"{{zone|json}}", "\"z\""},
        {"{{limits.cpu_share}}", "0.25"},
        {"{{limits.max_fds}}", "4100"},
        {"{{endpoints.frontend|json}}", "\"10.0.0.1:80\""},
        {"{{endpoints.readiness|json}}", "\"10.0.0.1:81\""},
        {"{{ip}}", "10.0.0.1"},
        {"{{port_range.0}}", "7000"},
        {"{{platform.address|json}}", "\"10.0.0.2:90\""},
        {"{{bounds.revoke_ms}}", "5000"},
        {"{{bounds.grace_s}}", "6.5"},
        {"{{bounds.hold_max_ms}}", "6000"},
        {"{{bounds.stop_ms}}", "900.0"},
        {"{{bounds.far_x}}", "3"},
        {"{{bounds.reclaim_ms}}", "3400"},
    };
    for (const auto &[placeholder, value] : values) {
        const auto at = text.find(placeholder);
        REQUIRE(at != std::string::npos);
        text.replace(at, placeholder.size(), value);
    }
    REQUIRE(text.find("{{") == std::string::npos);
    const auto settings = parseNodeSettings(text);
    REQUIRE(isOk(settings));
    CHECK(valueOf(settings).shutdownGrace_ == 6500ms);
    CHECK(valueOf(settings).metricsAddress_ == "10.0.0.1:7000");
    CHECK(valueOf(settings).maxDescriptors_ == 4100);

    SECTION("switches of the scheduler that are not set are off")
    {
        auto without = text;
        without.erase(without.find("[scheduling]"));
        const auto parsed = parseNodeSettings(without);
        REQUIRE(isOk(parsed));
        CHECK_FALSE(valueOf(parsed).dispatch_.packRacks_);
        without += "[scheduling]\npack_racks = true\n";
        const auto packed = parseNodeSettings(without);
        REQUIRE(isOk(packed));
        CHECK(valueOf(packed).dispatch_.packRacks_);
        CHECK_FALSE(valueOf(packed).dispatch_.shareRoomByCost_);
    }
    SECTION("the error names a missing or invalid key")
    {
        const auto [from, to, part] = GENERATE(table<std::string, std::string, std::string>({
            {"stop_ms = 900.0", "", "bounds.stop_ms"},
            {"revoke_ms = 5000", "revoke_ms = \"soon\"", "bounds.revoke_ms"},
            {"\"10.0.0.2:90\"", "\"nowhere\"", "store.address"},
            {"[store]", "[shop]", "[store]"},
            {"core_share = 0.25", "core_share = ", "line"},
            {"core_share = 0.25", "core_share = nan", "instance.core_share"},
            {"max_descriptors = 4100", "max_descriptors = 10", "instance.max_descriptors"},
            {"stop_ms = 900.0", "stop_ms = inf", "bounds.stop_ms"},
            {"\"10.0.0.2:90\"", "\"10.0.0.2:99999\"", "store.address"},
            {"\"10.0.0.2:90\"", "\"10.0.0.2:-1\"", "store.address"},
            {"\"10.0.0.1:80\"", "\"10.0.0.1:0\"", "listen.callers"},
            {"pack_racks = true", "pack_racks = 1", "scheduling.pack_racks"},
            {"reject_hopeless = false", "reject_hopeless = \"yes\"", "scheduling.reject_hopeless"},
            {"[scheduling]", "[[scheduling]]", "[scheduling]"},
        }));
        auto faulty = text;
        faulty.replace(faulty.find(from), from.size(), to);
        const auto refused = parseNodeSettings(faulty);
        REQUIRE_FALSE(isOk(refused));
        CHECK(errorOf(refused).message_.find(part) != std::string::npos);
    }
}
