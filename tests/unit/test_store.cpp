#include "marjoramfold/store/orderedappender.h"
#include "marjoramfold/store/streamfollower.h"
#include "tests/support/scriptedstore.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <string>
#include <vector>

using namespace Marjoramfold;
using namespace Marjoramfold::Test;
using namespace std::chrono_literals;

namespace
{
constexpr const char *Topic = "keyed.test";

auto record(const std::string &key, const std::string &value = "v") -> KeyedRecord
{
    return {key, value};
}

auto makeAppender(ScriptedStore &store, ManualSchedule &schedule, RefusalPolicy policy, std::uint64_t epoch = 1) -> std::shared_ptr<OrderedAppender>
{
    AppenderOptions options;
    options.stream_ = {Topic, 0};
    options.producer_ = "writer";
    options.epoch_ = epoch;
    options.refusals_ = policy;
    return std::make_shared<OrderedAppender>(store.store(), schedule.hook(), options);
}

auto keysOf(const std::vector<StoredRecord> &records) -> std::vector<std::string>
{
    std::vector<std::string> keys;
    for (const auto &stored : records) {
        keys.push_back(stored.record_.key_);
    }
    return keys;
}
} // namespace

TEST_CASE("an appender stores each record once, even if answers are lost", "[store]")
{
    ScriptedStore store;
    ManualSchedule schedule;
    const auto appender = makeAppender(store, schedule, RefusalPolicy::Report);
    std::vector<std::string> results;
    const auto note = [&results](const WriteResult &result) {
        results.push_back(std::holds_alternative<WriteStored>(result) ? "stored" : std::holds_alternative<WriteRefused>(result) ? "refused" : "fenced");
    };

    SECTION("an answer is lost after the records were stored")
    {
        store.failAppends({AppendFault::AnswerLost});
        appender->write({record("a")}, note);
        CHECK(results.empty());
        schedule.advance(1s);
        // Guards against storing a record twice, or reporting a stored record as refused.
        CHECK(results == std::vector<std::string>{"stored"});
        CHECK(keysOf(store.log(Topic)) == std::vector<std::string>{"a"});
        CHECK(store.appends_.back().freshConnection_);
    }

    SECTION("the append request is lost")
    {
        store.failAppends({AppendFault::Lost, AppendFault::Lost});
        appender->write({record("a")}, note);
        appender->write({record("b")}, note);
        schedule.advance(1s);
        CHECK(results == std::vector<std::string>{"stored", "stored"});
        CHECK(keysOf(store.log(Topic)) == std::vector<std::string>{"a", "b"});
    }

    SECTION("a definite refusal is reported at once")
    {
        store.failAppends({AppendFault::Refused});
        appender->write({record("a")}, note);
        CHECK(results == std::vector<std::string>{"refused"});

        SECTION("and the next record is stored with the same sequence number")
        {
            appender->write({record("b")}, note);
            CHECK(results.back() == "stored");
            CHECK(keysOf(store.log(Topic)) == std::vector<std::string>{"b"});
        }
    }

    SECTION("a refusal after an unknown outcome is not reported")
    {
        // The first attempt was stored, so reporting the write as refused would be wrong.
        store.failAppends({AppendFault::AnswerLost, AppendFault::Refused});
        appender->write({record("a")}, note);
        schedule.advance(1s);
        CHECK(results == std::vector<std::string>{"stored"});
        CHECK(store.log(Topic).size() == 1);
    }

    SECTION("records queued behind an unanswered append are refused if they cannot be sent in time")
    {
        store.failAppends({AppendFault::Lost});
        appender->write({record("a")}, note);
        appender->writeUntil({record("b")}, BootClock::now() - 1ms, note);
        CHECK(results == std::vector<std::string>{"refused"});
        schedule.advance(1s);
        CHECK(keysOf(store.log(Topic)) == std::vector<std::string>{"a"});
    }
}

TEST_CASE("records written ahead do not wait for a backlog", "[store]")
{
    // Guards against a leader that counts as silent because its renewals wait behind other records.
    ScriptedStore store;
    ManualSchedule schedule;
    const auto appender = makeAppender(store, schedule, RefusalPolicy::Retry);
    store.failAppends({AppendFault::Lost});
    appender->write({record("in flight")}, {});
    appender->write({record("first")}, {});
    appender->write({record("second")}, {});
    appender->writeAhead({record("renewal")}, {});
    schedule.advance(1s);
    CHECK(keysOf(store.log(Topic)) == std::vector<std::string>{"in flight", "renewal", "first", "second"});

    SECTION("but the announcement of the epoch stays first")
    {
        const auto successor = makeAppender(store, schedule, RefusalPolicy::Retry, 2);
        store.failAppends({AppendFault::Refused});
        successor->announceEpoch({});
        successor->writeAhead({record("renewal of the successor")}, {});
        schedule.advance(1s);
        REQUIRE(store.appends_.size() >= 2);
        CHECK(store.appends_[store.appends_.size() - 2].records_.empty());
        CHECK(keysOf(store.log(Topic)).back() == "renewal of the successor");
    }
}

TEST_CASE("records that exceed one append are stored in several", "[store]")
{
    // Guards against a leader that repeats an append which the store rejects for its size, behind which all others wait.
    ScriptedStore store;
    ManualSchedule schedule;
    const auto appender = makeAppender(store, schedule, RefusalPolicy::Retry);
    std::vector<KeyedRecord> records;
    for (int i = 0; i < 12; ++i) {
        records.push_back({"key" + std::to_string(10 + i), std::string(200'000, 'x')});
    }
    std::size_t results = 0;
    appender->writeInOrder(records, [&results](const WriteResult &result) {
        results += std::holds_alternative<WriteStored>(result) ? 1 : 0;
    });
    schedule.advance(1s);
    CHECK(results == 1);
    CHECK(store.appends_.size() == 3);
    const auto keys = keysOf(store.log(Topic));
    CHECK(keys.size() == 12);
    CHECK(std::is_sorted(keys.begin(), keys.end()));
}

TEST_CASE("an appender fenced by a higher epoch stores nothing more", "[store]")
{
    ScriptedStore store;
    ManualSchedule schedule;
    const auto first = makeAppender(store, schedule, RefusalPolicy::Retry, 5);
    const auto second = makeAppender(store, schedule, RefusalPolicy::Retry, 6);
    first->write({record("a")}, {});
    second->announceEpoch({});
    auto fenced = 0;
    const auto count = [&fenced](const WriteResult &result) {
        fenced += std::holds_alternative<WriteFenced>(result) ? 1 : 0;
    };
    first->write({record("b")}, count);
    first->write({record("c")}, count);
    second->write({record("d")}, {});
    CHECK(fenced >= 1);
    CHECK(keysOf(store.log(Topic)) == std::vector<std::string>{"a", "d"});
}

TEST_CASE("a follower delivers every record and reports the time as of which it is current", "[store]")
{
    ScriptedStore store;
    ManualSchedule schedule;
    std::vector<std::string> seen;
    auto reloads = 0;
    for (const auto *key : {"a", "b", "c"}) {
        store.put(Topic, record(key));
    }
    store.pageSize_ = 2;
    FollowerOptions options;
    options.stream_ = {Topic, 0};
    options.readPause_ = 50ms;
    const auto follower = std::make_shared<StreamFollower>(
        store.store(),
        schedule.hook(),
        options,
        [&seen](const std::vector<StoredRecord> &records, bool /*loaded*/) {
            for (const auto &key : keysOf(records)) {
                seen.push_back(key);
            }
        },
        [&reloads] {
            ++reloads;
        });

    SECTION("it loads the newest records in pages and then follows the stream")
    {
        follower->start();
        CHECK(seen == std::vector<std::string>{"a", "b", "c"});
        CHECK(follower->isLoaded());
        store.put(Topic, record("d"));
        CHECK(seen.back() == "d");
    }

    SECTION("it reloads when unread history was deleted while the store was unavailable")
    {
        follower->start();
        store.down_ = true;
        store.put(Topic, record("d"));
        store.put(Topic, record("a", "newer"));
        store.dropHistory(Topic);
        schedule.advance(300ms);
        store.down_ = false;
        schedule.advance(300ms);
        CHECK(reloads == 2);
        CHECK(std::count(seen.begin(), seen.end(), "d") == 1);
    }

    SECTION("whenCurrent() waits for a read that started after the call")
    {
        follower->start();
        std::vector<bool> answers;
        const auto calledAt = BootClock::now();
        follower->whenCurrent(500ms, [&answers](bool current) {
            answers.push_back(current);
        });
        CHECK(answers == std::vector<bool>{true});
        CHECK(follower->currentAsOf() >= calledAt);
    }

    SECTION("whenCurrent() calls back with false at its timeout while the store is unavailable")
    {
        follower->start();
        store.down_ = true;
        std::vector<bool> answers;
        follower->whenCurrent(500ms, [&answers](bool current) {
            answers.push_back(current);
        });
        schedule.advance(499ms);
        CHECK(answers.empty());
        schedule.advance(1ms);
        CHECK(answers == std::vector<bool>{false});
    }
}
