#include "marjoramfold/rules/rulestore.h"

#include <catch2/catch.hpp>

#include <map>
#include <random>
#include <variant>

using namespace Marjoramfold;

namespace
{
using std::chrono::hours;
using std::chrono::milliseconds;
using ConfigRecord = std::variant<PublishRecord, RuleSetRestatedRecord>;

auto rulesText(int level, const std::string &team = "a") -> std::string
{
    return "priority." + team + " = { level = " + std::to_string(level) + " }  # asked by A: b\n";
}

auto timeAt(Offset offset) -> WallTime
{
    return WallTime(hours(offset));
}

/// Applies a log from an offset on.
auto readFrom(const std::vector<ConfigRecord> &log, Offset first) -> RuleStore
{
    RuleStore store;
    store.startReading(first);
    for (auto offset = first; offset <= log.size(); ++offset) {
        std::visit(
            [&](const auto &record) {
                store.apply(offset, timeAt(offset), record);
            },
            log[offset - 1]);
    }
    return store;
}
} // namespace

SCENARIO("a publish is decided by its base version and its text", "[rulestore]")
{
    RuleStore store;
    store.startReading(1);
    CHECK(store.inForce() == nullptr);
    store.apply(1, timeAt(1), PublishRecord{RecordId("p1"), 0, "ana", rulesText(1)});
    REQUIRE(store.version() == 1);
    GIVEN("a publish from the version in force")
    {
        store.apply(5, timeAt(5), PublishRecord{RecordId("p2"), 1, "dan", rulesText(2)});
        CHECK(store.version() == 5);
        const auto outcome = store.findOutcome(RecordId("p2"));
        REQUIRE(outcome);
        CHECK(outcome->previousVersion_ == 1);
        REQUIRE(outcome->changes_.size() == 1);
        CHECK(outcome->changes_[0].key_ == "priority.a");
        AND_GIVEN("a second one from the same base")
        {
            store.apply(6, timeAt(6), PublishRecord{RecordId("p3"), 1, "eva", rulesText(3)});
            THEN("it is stale, and its outcome has the line in force and who asked for it")
            {
                CHECK(store.version() == 5);
                const auto stale = store.findOutcome(RecordId("p3"));
                REQUIRE(stale);
                CHECK(stale->decision_ == PublishDecision::StaleVersion);
                REQUIRE(stale->collisions_.size() == 1);
                CHECK(stale->collisions_[0].inForce_->askedBy_ == "A");
            }
        }
        AND_GIVEN("a repeat of the accepted publish")
        {
            store.apply(6, timeAt(6), PublishRecord{RecordId("p2"), 1, "dan", rulesText(2)});
            THEN("it is ignored, and its outcome stays accepted")
            {
                CHECK(store.version() == 5);
                CHECK(store.findOutcome(RecordId("p2"))->decision_ == PublishDecision::Accepted);
                CHECK(store.history().size() == 2);
            }
        }
    }
    GIVEN("a publish with an invalid text")
    {
        store.apply(2, timeAt(2), PublishRecord{RecordId("p2"), 1, "dan", "broken"});
        CHECK(store.version() == 1);
        CHECK(store.findOutcome(RecordId("p2"))->decision_ == PublishDecision::InvalidRules);
        CHECK(store.findOutcome(RecordId("p2"))->errors_.size() == 1);
    }
}

SCENARIO("a rule store keeps a bounded history", "[rulestore]")
{
    RuleStore store({3, 50, 8, 32});
    store.startReading(1);
    for (Offset offset = 1; offset <= 10; ++offset) {
        store.apply(offset, timeAt(offset), PublishRecord{RecordId(std::to_string(offset)), offset - 1, "ana", rulesText(static_cast<int>(offset))});
    }
    CHECK(store.version() == 10);
    CHECK(store.history().size() == 3);
}

SCENARIO("the set in force is appended again before retention deletes it", "[rulestore]")
{
    RuleStore store;
    store.startReading(1);
    CHECK_FALSE(store.mustRestate(timeAt(100), hours(24)));
    store.apply(1, timeAt(1), PublishRecord{RecordId("p1"), 0, "ana", rulesText(1)});
    CHECK_FALSE(store.mustRestate(timeAt(7), hours(24)));
    CHECK(store.mustRestate(timeAt(8), hours(24)));
    const auto restated = store.restatement(RecordId("r1"));
    REQUIRE(restated);
    CHECK(restated->version_ == 1);
    store.apply(2, timeAt(8), *restated);
    CHECK(store.version() == 1);
    CHECK_FALSE(store.mustRestate(timeAt(14), hours(24)));
}

SCENARIO("a newer set from a peer is put in force, an older one is not", "[rulestore]")
{
    RuleStore store;
    store.startReading(1);
    store.apply(1, timeAt(1), PublishRecord{RecordId("p1"), 0, "ana", rulesText(1)});
    REQUIRE(isOk(store.adopt(7, 8, rulesText(7))));
    CHECK(store.version() == 7);
    REQUIRE(isOk(store.adopt(3, 8, rulesText(3))));
    CHECK(store.version() == 7);
    CHECK_FALSE(isOk(store.adopt(9, 10, "broken")));
    CHECK(store.version() == 7);
    WHEN("publishes that the peer has already decided are read from the log")
    {
        store.apply(4, timeAt(4), PublishRecord{RecordId("p4"), 1, "dan", rulesText(4)});
        CHECK(store.version() == 7);
        store.apply(6, timeAt(6), PublishRecord{RecordId("p6"), 1, "eva", rulesText(6)});
        store.apply(7, timeAt(7), PublishRecord{RecordId("p7"), 4, "eva", rulesText(7)});
        THEN("they are decided as the peer decided them")
        {
            CHECK(store.findOutcome(RecordId("p4"))->decision_ == PublishDecision::Accepted);
            CHECK(store.findOutcome(RecordId("p6"))->decision_ == PublishDecision::StaleVersion);
            CHECK(store.findOutcome(RecordId("p7"))->decision_ == PublishDecision::Accepted);
            CHECK(store.version() == 7);
        }
    }
}

SCENARIO("a reader that fell behind retention keeps its set until it receives a newer one", "[rulestore]")
{
    RuleStore store;
    store.startReading(1);
    store.apply(1, timeAt(1), PublishRecord{RecordId("p1"), 0, "ana", rulesText(1)});
    store.startReading(50);
    CHECK(store.version() == 1);
    CHECK(store.decidedUpTo() == 0);
    store.apply(50, timeAt(50), PublishRecord{RecordId("p50"), 40, "dan", rulesText(50)});
    CHECK(store.version() == 1);
    GIVEN("a restatement that covers every publish before the first record read")
    {
        store.apply(51, timeAt(51), RuleSetRestatedRecord{RecordId("r"), 40, 50, "", rulesText(40)});
        CHECK(store.version() == 50);
        CHECK(store.decidedUpTo() == 52);
    }
    GIVEN("a restatement whose writer had not read the publish's base version")
    {
        store.apply(51, timeAt(51), RuleSetRestatedRecord{RecordId("r"), 30, 35, "", rulesText(30)});
        THEN("its version is put in force, but the pending publish is not decided by it")
        {
            CHECK(store.version() == 30);
            CHECK(store.decidedUpTo() == 0);
            CHECK_FALSE(store.findOutcome(RecordId("p50")));
        }
    }
    GIVEN("a peer's copy of that publish's base")
    {
        REQUIRE(isOk(store.adopt(40, 50, rulesText(40))));
        CHECK(store.version() == 50);
    }
}

SCENARIO("a restatement that no set is in force allows publishing again after the log was lost", "[rulestore]")
{
    RuleStore store;
    store.startReading(50);
    store.apply(50, timeAt(50), RuleSetRestatedRecord{RecordId("none"), 0, 50, "", ""});
    store.apply(51, timeAt(51), PublishRecord{RecordId("p"), 0, "ana", rulesText(1)});
    CHECK(store.version() == 51);
}

SCENARIO("all readers end with the same rules after concurrent publishes", "[rulestore]")
{
    const auto seed = GENERATE(range(1U, 61U));
    CAPTURE(seed);
    std::mt19937 random(seed);
    const auto below = [&](int limit) {
        return std::uniform_int_distribution<int>(0, limit - 1)(random);
    };
    // Several instances read at different speeds, publish on top of the version that they have in force, and sometimes restate it.
    std::vector<ConfigRecord> log;
    std::vector<RuleStore> readers(4);
    std::vector<Offset> positions(readers.size(), 1);
    for (auto &reader : readers) {
        reader.startReading(1);
    }
    std::vector<Offset> versions(readers.size(), 0);
    for (auto step = 0; step < 300; ++step) {
        const auto index = static_cast<std::size_t>(below(4));
        auto &reader = readers[index];
        const auto action = below(10);
        if (action < 4) {
            const auto text = below(6) == 0 ? std::string("broken\n") : rulesText(step, std::string(1, static_cast<char>('a' + below(3))));
            log.emplace_back(PublishRecord{RecordId("p" + std::to_string(step)), reader.version(), "ana", text});
        } else if (action == 4 && !log.empty()) {
            const auto repeated = log[log.size() - 1 - static_cast<std::size_t>(below(static_cast<int>(std::min<std::size_t>(8, log.size()))))];
            log.push_back(repeated);
        } else if (action == 5) {
            if (auto restated = reader.restatement(RecordId("r" + std::to_string(step)))) {
                log.emplace_back(std::move(*restated));
            }
        } else if (action == 6) {
            const auto &peer = readers[static_cast<std::size_t>(below(4))];
            if (peer.inForce()) {
                REQUIRE(isOk(reader.adopt(peer.version(), peer.decidedUpTo(), peer.inForce()->text_)));
            }
        } else {
            for (auto count = below(8); count > 0 && positions[index] <= log.size(); --count) {
                const auto offset = positions[index]++;
                std::visit(
                    [&](const auto &record) {
                        reader.apply(offset, timeAt(offset), record);
                    },
                    log[offset - 1]);
            }
        }
        REQUIRE(reader.version() >= versions[index]);
        versions[index] = reader.version();
    }
    const auto complete = readFrom(log, 1);
    REQUIRE(complete.version() > 0);
    for (std::size_t i = 0; i < readers.size(); ++i) {
        for (; positions[i] <= log.size(); ++positions[i]) {
            std::visit(
                [&](const auto &record) {
                    readers[i].apply(positions[i], timeAt(positions[i]), record);
                },
                log[positions[i] - 1]);
        }
        REQUIRE(readers[i].version() == complete.version());
        REQUIRE(readers[i].inForce()->text_ == complete.inForce()->text_);
    }
    // A reader that starts at any offset either agrees or has no baseline, so that decidedUpTo() is 0.
    auto withBaseline = 0;
    for (Offset first = 2; first <= log.size(); ++first) {
        const auto partial = readFrom(log, first);
        CAPTURE(first);
        if (partial.decidedUpTo() != 0) {
            ++withBaseline;
            REQUIRE(partial.version() == complete.version());
        } else {
            REQUIRE(partial.version() <= complete.version());
        }
    }
    REQUIRE(withBaseline > 0);
}
