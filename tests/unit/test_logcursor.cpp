#include "marjoramfold/log/logcursor.h"
#include "marjoramfold/log/logfollower.h"
#include "tests/support/memorylog.h"

#include <catch2/catch.hpp>

using namespace Marjoramfold;

namespace
{
using std::chrono::milliseconds;
using std::chrono::seconds;

const Error Unavailable{ErrorKind::LogUnavailable, "outage", std::nullopt};

auto at(int ms) -> SteadyTime
{
    return SteadyTime(seconds(100)) + milliseconds(ms);
}

auto page(Offset first, Offset end, std::vector<Offset> offsets) -> LogPage
{
    LogPage result{first, end, {}};
    for (const auto offset : offsets) {
        result.records_.push_back({offset, WallTime(), nlohmann::json::object()});
    }
    return result;
}
} // namespace

SCENARIO("a cursor confirms the end of the log as of the start of the read", "[log][cursor]")
{
    LogCursor cursor({});
    auto offsetExpired = false;
    CHECK(cursor.nextRead().from_ == 0);
    CHECK(cursor.handlePage(page(3, 6, {3, 4}), at(0), at(10), offsetExpired).size() == 2);
    CHECK_FALSE(offsetExpired);
    THEN("a read that did not reach the end confirms nothing")
    {
        CHECK_FALSE(cursor.confirmedAt());
        CHECK(cursor.nextRead().from_ == 5);
    }
    WHEN("the rest is read")
    {
        CHECK(cursor.handlePage(page(3, 6, {5}), at(20), at(900), offsetExpired).size() == 1);
        THEN("the confirmation has the time of the request, not of the response")
        {
            CHECK(cursor.confirmedAt() == at(20));
            CHECK(cursor.nextReadAt() == at(900));
        }
        AND_WHEN("reads fail")
        {
            CHECK_FALSE(cursor.handleError(Unavailable, at(1'000), at(1'100)));
            const auto firstDelay = cursor.nextReadAt() - at(1'100);
            CHECK_FALSE(cursor.handleError(Unavailable, at(2'000), at(2'100)));
            CHECK(cursor.unreachableSince() == at(1'000));
            CHECK(cursor.confirmedAt() == at(20));
            CHECK((firstDelay >= milliseconds(50) && firstDelay <= milliseconds(100)));
            for (auto i = 0; i < 10; ++i) {
                CHECK_FALSE(cursor.handleError(Unavailable, at(3'000), at(3'000)));
                CHECK(cursor.nextReadAt() - at(3'000) <= seconds(5));
            }
            CHECK(cursor.nextReadAt() - at(3'000) >= milliseconds(2'500));
            AND_WHEN("one succeeds")
            {
                CHECK(cursor.handlePage(page(3, 6, {}), at(4'000), at(4'010), offsetExpired).empty());
                CHECK_FALSE(cursor.unreachableSince());
                CHECK(cursor.confirmedAt() == at(4'000));
            }
        }
        AND_WHEN("the offset is no longer kept")
        {
            CHECK(cursor.handleError({ErrorKind::OffsetExpired, "", std::nullopt}, at(1'000), at(1'000)));
            THEN("the log counts as reachable and is read from its first record")
            {
                CHECK_FALSE(cursor.unreachableSince());
                CHECK(cursor.nextRead().from_ == 0);
            }
        }
        AND_WHEN("a page begins above the position")
        {
            CHECK(cursor.handlePage(page(9, 11, {9, 10}), at(1'000), at(1'000), offsetExpired).size() == 2);
            CHECK(offsetExpired);
        }
        AND_WHEN("records are repeated")
        {
            CHECK(cursor.handlePage(page(3, 8, {5, 6, 6, 7}), at(1'000), at(1'000), offsetExpired).size() == 2);
            CHECK(cursor.position() == 8);
        }
    }
}

SCENARIO("backoffs of two instances have different delays", "[log][cursor]")
{
    Backoff left({milliseconds(100'000), milliseconds(100'000)}, 0);
    Backoff right({milliseconds(100'000), milliseconds(100'000)}, 0);
    std::vector<milliseconds> delays[2];
    for (auto i = 0; i < 8; ++i) {
        delays[0].push_back(left.next());
        delays[1].push_back(right.next());
    }
    CHECK(delays[0] != delays[1]);
}

SCENARIO("a follower delivers records despite outages, malformed records and expired offsets", "[log][follower]")
{
    asio::io_context context;
    MemoryLog log(context);
    LogFollowerOptions options;
    options.backoff_ = {milliseconds(1), milliseconds(2)};
    std::vector<Offset> begins;
    std::vector<std::string> ids;
    auto wanted = std::size_t(0);
    LogFollower follower(context,
                         log,
                         systemClock(),
                         options,
                         {[&](Offset first) {
                              begins.push_back(first);
                          },
                          [&](const std::vector<FollowedRecord> &records) {
                              for (const auto &record : records) {
                                  ids.push_back(idOf(record.record_).value());
                              }
                          },
                          [&] {
                              if (ids.size() >= wanted && follower.confirmedAt() && !follower.unreachableSince()) {
                                  context.stop();
                              }
                          }});
    const auto add = [&](const std::string &id) {
        log.append(LogStream::Control, {encodeRecord(JobCancelledRecord{RecordId(id), JobId("j"), ""})}, [](const Result<Offset> &) {});
    };
    const auto runUntil = [&](std::size_t count) {
        wanted = count;
        context.restart();
        context.run_for(seconds(20));
        REQUIRE(ids.size() == count);
    };
    add("a");
    log.append(LogStream::Control, {{{"id", "malformed"}, {"type", "claim"}}, nlohmann::json(3)}, [](const Result<Offset> &) {});
    add("b");
    follower.start();
    runUntil(2);
    CHECK(ids == std::vector<std::string>{"a", "b"});
    CHECK(begins == std::vector<Offset>{1});
    CHECK(follower.malformedRecords() == 2);
    GIVEN("an outage")
    {
        add("c");
        log.outage_ = true;
        context.restart();
        context.run_for(milliseconds(20));
        CHECK(follower.unreachableSince());
        log.outage_ = false;
        runUntil(3);
        CHECK(begins.size() == 1);
    }
    GIVEN("that retention deleted records that it had not read")
    {
        log.outage_ = true;
        context.restart();
        context.run_for(milliseconds(5));
        log.outage_ = false;
        add("c");
        log.log_.dropAll("control");
        add("d");
        runUntil(3);
        THEN("onBegin_ is called again with the first offset kept")
        {
            CHECK(ids.back() == "d");
            CHECK(begins == std::vector<Offset>{1, 6});
        }
    }
}
