#include "marjoramfold/fleet/configcheck.h"
#include "marjoramfold/fleet/configdifferences.h"

#include <catch2/catch.hpp>

#include <algorithm>

using namespace Marjoramfold;
using namespace std::chrono_literals;

namespace
{
auto queueOf(const std::string &name, const std::string &prefix, int priority = 1) -> QueueConfig
{
    QueueConfig queue;
    queue.name_ = name;
    queue.host_ = "h.example";
    queue.pathPrefix_ = prefix;
    queue.pool_ = "p";
    queue.priority_ = priority;
    return queue;
}

/// Kinds and texts of all findings.
auto findingsOf(const std::vector<QueueConfig> &queues,
                const std::vector<TeamConfig> &teams = {},
                const std::vector<PoolConfig> &pools = {{"p", false, false}},
                std::optional<std::int64_t> accelerators = std::nullopt) -> std::vector<std::string>
{
    std::vector<std::string> texts;
    for (const auto &finding : checkConfig(OperatorConfig(1, queues, pools, teams), accelerators)) {
        texts.push_back(std::string(nameOf(finding.kind_)) + ": " + finding.entry_ + ": " + finding.message_);
    }
    return texts;
}

/// True when there is exactly one finding and it contains all parts.
auto isOnly(const std::vector<std::string> &findings, const std::vector<std::string> &parts) -> bool
{
    UNSCOPED_INFO((findings.empty() ? "no finding" : findings.front()));
    return findings.size() == 1 && std::all_of(parts.begin(), parts.end(), [&findings](const std::string &part) {
               return findings.front().find(part) != std::string::npos;
           });
}
} // namespace

TEST_CASE("a configuration without faults has no findings", "[config]")
{
    // A longer prefix below a shorter one is usual and hides nothing.
    CHECK(findingsOf({queueOf("a", "/a/", 0), queueOf("b", "/a/b/"), queueOf("all", "")}, {{TeamId("t"), {"k1", "k2"}, 8}}).empty());
    CHECK(findingsOf({}, {}, {}).empty());
}

TEST_CASE("queues that no request can reach are found", "[config]")
{
    SECTION("the host and path prefix of another queue")
    {
        CHECK(isOnly(findingsOf({queueOf("a", "/a/"), queueOf("b", "/a/")}), {"never_matches: queue 'b'", "queue 'a' has the same host and path prefix"}));
    }
    SECTION("no host, and path prefixes that no path has")
    {
        auto hostless = queueOf("a", "/a/");
        hostless.host_.clear();
        CHECK(isOnly(findingsOf({hostless}), {"never_matches", "the host is empty"}));
        CHECK(isOnly(findingsOf({queueOf("a", "a/")}), {"never_matches", "does not begin with '/'"}));
        for (const auto *prefix : {"/a b/", "/a?x=", "/a#", "/\n", "/\xc3\xa4/"}) {
            CHECK(isOnly(findingsOf({queueOf("a", prefix)}), {"never_matches", "a character that no path has"}));
        }
    }
    SECTION("a prefix that another one continues with hexadecimal digits, as job IDs have them")
    {
        CHECK(
            isOnly(findingsOf({queueOf("a", "/jobs-"), queueOf("b", "/jobs-be")}), {"never_matches: queue 'a'", "job IDs that begin with 'be'", "queue 'b'"}));
        CHECK(findingsOf({queueOf("a", "/jobs-"), queueOf("b", "/jobs-x")}).empty());
    }
}

TEST_CASE("queues whose jobs cannot start or cannot be on time are found", "[config]")
{
    SECTION("a pool that does not exist or is powered off")
    {
        CHECK(isOnly(findingsOf({queueOf("a", "/a/")}, {}, {}), {"error: queue 'a'", "pool 'p' is not in the configuration"}));
        CHECK(isOnly(findingsOf({queueOf("a", "/a/")}, {}, {{"p", false, true}}), {"contradiction: queue 'a'", "powered off"}));
    }
    SECTION("an external check of workers")
    {
        auto queue = queueOf("a", "/a/");
        queue.requiresAdmissionCheck_ = true;
        CHECK(isOnly(findingsOf({queue}), {"error", "not supported"}));
    }
    SECTION("an objective below the run time")
    {
        auto queue = queueOf("a", "/a/");
        queue.stretch_ = 0.5;
        CHECK(isOnly(findingsOf({queue}), {"contradiction", "every job is late"}));
        queue.targetLatency_ = 100ms;
        CHECK(findingsOf({queue}).empty());
    }
    SECTION("the same name twice, and none")
    {
        CHECK(isOnly(findingsOf({queueOf("a", "/a/"), queueOf("a", "/b/")}), {"error: queue 'a'", "the same name"}));
        CHECK(isOnly(findingsOf({queueOf("", "/a/")}), {"error", "the name is empty"}));
        CHECK(isOnly(findingsOf({}, {}, {{"p", false, false}, {"p", true, false}}), {"error: pool 'p'", "the same name"}));
    }
}

TEST_CASE("teams with contradictory keys or guarantees are found, without printing keys", "[config]")
{
    const std::vector<QueueConfig> urgent{queueOf("u", "/u/", 0)};
    SECTION("a key of two teams, and one that is listed twice")
    {
        const auto findings = findingsOf(urgent, {{TeamId("t"), {"secret"}, 0}, {TeamId("s"), {"other", "secret"}, 0}});
        CHECK(isOnly(findings, {"error: team 's'", "API key 2 is also a key of team 't'"}));
        CHECK(findings.front().find("secret") == std::string::npos);
        CHECK(isOnly(findingsOf(urgent, {{TeamId("t"), {"secret", "secret"}, 0}}), {"error", "API key 2 is listed twice"}));
    }
    SECTION("keys that no caller can send, and a team without keys")
    {
        for (const auto *key : {"", "a b", "\x7f", "\xff"}) {
            CHECK(isOnly(findingsOf(urgent, {{TeamId("t"), {key}, 0}}), {"never_matches: team 't'", "API key 1 is empty or has a character"}));
        }
        CHECK(isOnly(findingsOf(urgent, {{TeamId("t"), {}, 0}}), {"never_matches: team 't'", "no API key"}));
    }
    SECTION("guarantees beyond the capacity, where it is given")
    {
        const std::vector<TeamConfig> teams{{TeamId("t"), {"k"}, 5}, {TeamId("s"), {"l"}, 4}};
        CHECK(findingsOf(urgent, teams).empty());
        CHECK(findingsOf(urgent, teams, {{"p", false, false}}, 9).empty());
        CHECK(isOnly(findingsOf(urgent, teams, {{"p", false, false}}, 8), {"contradiction: configuration", "guaranteed 9 accelerators, and there are 8"}));
    }
    SECTION("a guarantee without a queue to which it applies")
    {
        CHECK(isOnly(findingsOf({queueOf("a", "/a/", 1)}, {{TeamId("t"), {"k"}, 5}}), {"contradiction: team 't'", "no queue has priority 0"}));
    }
}

TEST_CASE("many entries with long names give findings of bounded size", "[config]")
{
    // Each finding names two queues; with whole names the findings of a file of 1 MiB would take gigabytes.
    std::vector<QueueConfig> queues{queueOf(std::string(100'000, 'n'), "/a/")};
    for (int i = 0; i < 100; ++i) {
        queues.push_back(queueOf(std::to_string(i), "/a/"));
    }
    const auto findings = findingsOf(queues);
    CHECK(findings.size() == 100);
    CHECK(std::all_of(findings.begin(), findings.end(), [](const std::string &text) {
        return text.size() < 1'000;
    }));
}

TEST_CASE("differences between two configurations are described by name", "[config]")
{
    auto changed = queueOf("a", "/a/");
    changed.priority_ = 2;
    changed.targetLatency_ = 250ms;
    const OperatorConfig before(3, {queueOf("a", "/a/"), queueOf("gone", "/g/")}, {{"p", false, false}}, {{TeamId("t"), {"k1", "k2"}, 8}});
    const OperatorConfig after(4, {queueOf("new", "/n/"), changed}, {{"p", true, false}}, {{TeamId("t"), {"k2", "k3", "k4"}, 16}});
    SECTION("each changed value, entry and number of keys has a line")
    {
        const std::vector<std::string> expected{"the version changes from 3 to 4",
                                                "queue 'a': priority changes from 1 to 2",
                                                "queue 'a': target latency changes from 0 ms to 250 ms",
                                                "queue 'gone' is removed",
                                                "queue 'new' is added",
                                                "pool 'p': capacity enforced by workers changes from no to yes",
                                                "team 't': guaranteed accelerators changes from 8 to 16",
                                                "team 't': 2 API keys are added, 1 are removed"};
        CHECK(describeDifferences(before, after) == expected);
    }
    SECTION("a configuration does not differ from itself")
    {
        CHECK(describeDifferences(after, after).empty());
    }
}
