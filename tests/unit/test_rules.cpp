#include "marjoramfold/rules/rulechecker.h"
#include "marjoramfold/rules/rulediff.h"
#include "marjoramfold/rules/rulelinecache.h"

#include <catch2/catch.hpp>

#include <filesystem>
#include <fstream>
#include <random>
#include <sstream>

using namespace Marjoramfold;

namespace
{
const std::string Zones =
    "availability_zone.cluj-a = { state = \"in\", workers = 2, workers_per_rack = 6, accelerators_per_worker = 8 }  # asked by I. Pop: fleet\n"
    "availability_zone.brasov-b = { state = \"out\", workers = 2, workers_per_rack = 6, accelerators_per_worker = 8 }  # asked by I. Pop: repair\n";

auto readFile(const std::filesystem::path &path) -> std::string
{
    std::ifstream file(path);
    std::stringstream text;
    text << file.rdbuf();
    REQUIRE(file);
    return text.str();
}
} // namespace

SCENARIO("a rules file is parsed with the person who asked for each rule", "[rules]")
{
    const auto check = checkRules("# the fleet\n\n" + Zones
                                  + "guarantee.planners.cluj-a = { accelerators = 8, per_worker = 4 }  # asked by M. Dan: rush # 2\r\n"
                                    "priority.\"team one\" = { level = 1 }  # asked by A: b\n");
    REQUIRE(check.errors_ == std::vector<RuleProblem>{{6, 1, "names of teams and availability zones have 1 to 128 letters, digits, '.', '_', ':' or '-'"}});
    const auto &zone = check.rules_.zones_.at(AvailabilityZoneId("brasov-b"));
    CHECK(zone.state_ == AvailabilityZoneState::Out);
    CHECK(zone.line_.number_ == 4);
    CHECK(zone.line_.askedBy_ == "I. Pop");
    const auto &guarantee = check.rules_.guarantees_.at(TeamId("planners")).at(AvailabilityZoneId("cluj-a"));
    CHECK(guarantee.accelerators_ == 8);
    CHECK(guarantee.perWorker_ == 4);
    CHECK(guarantee.line_.askedBy_ == "M. Dan");
}

SCENARIO("every invalid line is reported with its position and reason", "[rules]")
{
    struct Case {
        std::string line_;
        int column_;
        std::string reason_;
    };
    const std::string asked = "  # asked by A: b";
    const auto invalid = GENERATE_COPY(values<Case>({
        {"priority.t = { level = 1 }", 27, "needs a comment"},
        {"priority.t = { level = 1 }  # wanted by A", 29, "needs a comment"},
        {"priority.t = { level = 1 }  # asked by A", 29, "needs a comment"},
        {"priority.t = { level = 1 }  # asked by : b", 29, "needs a comment"},
        {"priority.t = { level = 1 }  # asked by A: ", 29, "needs a comment"},
        {"prio.t = { level = 1 }" + asked, 1, "unknown key 'prio'"},
        {"  priority.t.u = { level = 1 }" + asked, 3, "form priority.TEAM"},
        {"guarantee.t = { accelerators = 8, per_worker = 8 }" + asked, 1, "form guarantee.TEAM.ZONE"},
        {"priority.t = { level = 1, weight = 2 }" + asked, 27, "unknown field 'weight'"},
        {"priority.t = { }" + asked, 1, "needs the field 'level'"},
        {"priority.t = { level = \"1\" }" + asked, 16, "whole number"},
        {"priority.t = { level = 1.5 }" + asked, 16, "whole number"},
        {"priority.t = { level = -1 }" + asked, 16, "from 0 to"},
        {"priority.t = { level = 1000001 }" + asked, 16, "from 0 to"},
        {"priority.t = { level = 99999999999999999999 }" + asked, 44, ""},
        {"priority.t = { level = 1, level = 2 }" + asked, 35, ""},
        {"priority.t = 5" + asked, 14, "one inline table"},
        {"[priority.t]" + asked, 1, "one inline table"},
        {"priority.t = { level = 1" + asked, 27, ""},
        {"x = \"\"\"" + asked, 25, ""},
        {"x = { a = [ }" + asked, 11, "no '['"},
        {"quota.cluj-a = { accelerators = 1 } # asked by A: \xC3\x28", 51, "invalid UTF-8"},
        {"# \xFF", 3, "invalid UTF-8"},
        {"# \xED\xA0\x80", 3, "invalid UTF-8"},
        {"guarantee.t.sibiu = { accelerators = 8, per_worker = 8 }" + asked, 13, "unknown availability zone 'sibiu'"},
        {"guarantee.t.cluj-a = { accelerators = 9, per_worker = 9 }" + asked, 42, "from 1 to 8"},
        {"guarantee.t.cluj-a = { accelerators = 9, per_worker = 2 }" + asked, 24, "multiple"},
        {"guarantee.t.cluj-a = { accelerators = 0, per_worker = 2 }" + asked, 24, "from 1 to"},
        {"guarantee.t.cluj-a = { accelerators = 24, per_worker = 8 }" + asked, 24, "sum to 24 accelerators; it has 16"},
        {"guarantee.t.cluj-a = { accelerators = 15, per_worker = 5 }" + asked, 43, "do not fit"},
        {"availability_zone.c = { state = \"off\", workers = 1, workers_per_rack = 1, accelerators_per_worker = 1 }" + asked, 25, "\"in\" or \"out\""},
        {"availability_zone.cluj-a = { state = \"in\", workers = 1, workers_per_rack = 1, accelerators_per_worker = 1 }" + asked, 1, "duplicate of line 1"},
    }));
    CAPTURE(invalid.line_);
    const auto check = checkRules(Zones + invalid.line_ + "\n");
    REQUIRE(check.errors_.size() == 1);
    CHECK(check.errors_[0].line_ == 3);
    CHECK(check.errors_[0].column_ == invalid.column_);
    CHECK_THAT(check.errors_[0].message_, Catch::Contains(invalid.reason_));
}

SCENARIO("all errors of a file are reported at once", "[rules]")
{
    const auto check =
        checkRules("priority.a = { level = 1 }\nbroken\navailability_zone.c = { }  # asked by A: b\nquota.a = { accelerators = -1 }  # asked by A: b\n"
                   "guarantee.a.c = { accelerators = 1, per_worker = 1 }  # asked by A: b\n");
    std::vector<int> lines;
    for (const auto &error : check.errors_) {
        lines.push_back(error.line_);
    }
    // Line 5 names the availability zone of the invalid line 3, which is reported only there.
    CHECK(lines == std::vector<int>{1, 2, 3, 3, 3, 3, 4});
    CHECK(toString("rules.toml", check.errors_[0]) == "rules.toml:1:27: a rule needs a comment '# asked by NAME: reason' at its end");
}

SCENARIO("a file that is too large is rejected before it is parsed", "[rules]")
{
    CHECK(checkRules(std::string(MaxRulesBytes + 1, '\n')).errors_.size() == 1);
    CHECK(checkRules(std::string(MaxRulesBytes, '\n')).isClean());
}

SCENARIO("guarantees that the loss of an availability zone would break and quotas below guarantees cause warnings", "[rules]")
{
    const auto check =
        checkRules(Zones + "guarantee.t.cluj-a = { accelerators = 16, per_worker = 8 }  # asked by A: b\nquota.t = { accelerators = 8 }  # asked by A: b\n");
    REQUIRE(check.isClean());
    REQUIRE(check.warnings_.size() == 2);
    CHECK(check.warnings_[0].line_ == 1);
    CHECK_THAT(check.warnings_[0].message_, Catch::Contains("with 'cluj-a' out"));
    CHECK(check.warnings_[1].line_ == 4);
    CHECK_THAT(check.warnings_[1].message_, Catch::Contains("quota"));
}

SCENARIO("the example rules have no errors and their guarantees hold after the loss of an availability zone", "[rules]")
{
    const auto *name = GENERATE("agenda-carpatica", "tritura-certo");
    const auto check = checkRules(readFile(std::filesystem::path(MARJORAMFOLD_SOURCE_DIR) / "examples" / name / "rules.toml"));
    CHECK(check.errors_.empty());
    CHECK(check.warnings_.empty());
    CHECK(check.rules_.zones_.size() == 4);
    CHECK(check.rules_.priorities_.size() == 4);
    auto workers = 0;
    for (const auto &[id, zone] : check.rules_.zones_) {
        workers += zone.workers_;
    }
    CHECK(workers == 50);
}

SCENARIO("random bytes never crash the parser", "[rules]")
{
    std::mt19937 random(7);
    RuleLineCache cache;
    const std::string characters = "abz.=-{}\"'#\\ \t\n\r1_[],\xC3\xA9\xFF";
    for (auto round = 0; round < 2'000; ++round) {
        auto text = Zones;
        const auto edits = std::uniform_int_distribution<int>(1, 12)(random);
        for (auto i = 0; i < edits; ++i) {
            const auto at = std::uniform_int_distribution<std::size_t>(0, text.size() - 1)(random);
            text[at] = characters[std::uniform_int_distribution<std::size_t>(0, characters.size() - 1)(random)];
        }
        const auto check = checkRules(text);
        // If the cache carried an error or a line number from one file to the next, readers would disagree.
        const auto cached = checkRules(text, &cache);
        REQUIRE(cached.errors_ == check.errors_);
        REQUIRE(cached.warnings_ == check.warnings_);
        REQUIRE(diffRules(cached.rules_, check.rules_).empty());
        for (const auto &error : check.errors_) {
            REQUIRE(error.line_ >= 1);
            REQUIRE(error.column_ >= 1);
        }
    }
}

SCENARIO("the difference of two rule sets has the changed lines and who asked for them", "[rules]")
{
    const auto parse = [](const std::string &text) {
        return parseRules(text).rules_;
    };
    const auto base =
        parse("priority.a = { level = 1 }  # asked by A: x\npriority.b = { level = 1 }  # asked by B: x\npriority.c = { level = 1 }  # asked by C: x\n");
    const auto inForce =
        parse("priority.a = { level = 2 }  # asked by D: y\npriority.c = { level = 1 }  # asked by C: x\npriority.d = { level = 1 }  # asked by D: x\n");
    GIVEN("the change from the base to the set in force")
    {
        const auto changes = diffRules(base, inForce);
        REQUIRE(changes.size() == 3);
        CHECK(changes[0].key_ == "priority.a");
        CHECK(changes[0].before_->askedBy_ == "A");
        CHECK(changes[0].after_->askedBy_ == "D");
        CHECK(changes[1].key_ == "priority.b");
        CHECK_FALSE(changes[1].after_);
        CHECK(changes[2].key_ == "priority.d");
        CHECK_FALSE(changes[2].before_);
    }
    GIVEN("a stale publish that changes a and c")
    {
        const auto stale =
            parse("priority.a = { level = 3 }  # asked by E: z\npriority.b = { level = 1 }  # asked by B: x\npriority.c = { level = 3 }  # asked by E: z\n");
        THEN("only a collides: c was not changed by others, and b is as in the base")
        {
            const auto collisions = findCollisions(&base, inForce, stale);
            REQUIRE(collisions.size() == 1);
            CHECK(collisions[0].key_ == "priority.a");
            CHECK(collisions[0].inForce_->askedBy_ == "D");
            CHECK(collisions[0].published_->askedBy_ == "E");
        }
        THEN("without the base, every line that differs collides")
        {
            CHECK(findCollisions(nullptr, inForce, stale).size() == 4);
        }
    }
}
