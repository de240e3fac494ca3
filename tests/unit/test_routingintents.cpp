#include "routingharness.h"

using namespace Marjoramfold;

namespace
{
const InstanceIncarnation Other{InstanceId("entry-2"), 7};
}

SCENARIO("the instance with the first intent of a caller's key in log order runs the request", "[routing]")
{
    RoutingHarness harness;
    harness.start();
    const auto key = harness.callerKey("order");

    SECTION("this instance was first")
    {
        harness.arrive(1, key, false);
        REQUIRE(harness.appends_.size() == 1);
        harness.readIntent(key, harness.self());
        harness.readIntent(key, Other);
        CHECK(harness.sends_.size() == 1);
        CHECK(harness.forwards_.empty());
    }

    SECTION("another instance was first, and the request is forwarded to it")
    {
        harness.arrive(1, key, false);
        harness.readIntent(key, Other);
        harness.readIntent(key, harness.self());
        CHECK(harness.sends_.empty());
        REQUIRE(harness.forwards_.size() == 1);
        CHECK(harness.forwards_.front().instance_ == Other);
        harness.handle(ForwardAnswered{1, RoutedAnswer{200, "from the owner", "text/plain", TargetId("t9")}});
        CHECK(harness.ranOf(1) == Ran::Yes);
    }

    SECTION("a forwarded request is not forwarded again")
    {
        harness.readIntent(key, Other);
        RequestArrived event;
        event.number_ = 1;
        event.key_ = key;
        event.idempotent_ = false;
        event.forwarded_ = true;
        event.deadline_ = harness.now_.steady_ + std::chrono::seconds(1);
        harness.handle(std::move(event));
        CHECK(harness.kindOf(1) == ErrorKind::MaybeRan);
        CHECK(harness.forwards_.empty());
    }

    SECTION("an earlier incarnation of this instance was first, and its state is lost")
    {
        harness.readIntent(key, {InstanceId("entry-1"), 0});
        harness.arrive(1, key, false);
        CHECK(harness.kindOf(1) == ErrorKind::MaybeRan);
        CHECK(harness.sends_.empty());
    }

    SECTION("the log is down")
    {
        harness.arrive(1, key, false);
        harness.handle(IntentAppendFailed{1, {ErrorKind::LogUnavailable, "outage", std::nullopt}});
        CHECK(harness.ranOf(1) == Ran::No);
        CHECK(harness.sends_.empty());
    }

    SECTION("the append took effect but its record is read only after the deadline")
    {
        harness.arrive(1, key, false, std::chrono::milliseconds(200));
        harness.advance(std::chrono::milliseconds(300));
        CHECK(harness.ranOf(1) == Ran::No);
        harness.readIntent(key, harness.self());
        CHECK(harness.sends_.empty());
        THEN("a duplicate runs without another intent")
        {
            harness.arrive(2, key, false);
            CHECK(harness.appends_.size() == 1);
            CHECK(harness.sends_.size() == 1);
        }
    }

    SECTION("keys outside the window are refused")
    {
        harness.arrive(1, harness.callerKey("old", 3'601), false);
        harness.arrive(2, harness.callerKey("ahead", -61), false);
        CHECK(harness.kindOf(1) == ErrorKind::KeyExpired);
        CHECK(harness.kindOf(2) == ErrorKind::KeyExpired);
        CHECK(harness.appends_.empty());
    }
}

SCENARIO("requests whose first intent may have been missed are not run", "[routing]")
{
    RoutingHarness harness;
    harness.start();
    const auto key = harness.callerKey("order");

    SECTION("after a gap in the records, an intent does not prove that it is the first")
    {
        harness.arrive(1, key, false);
        harness.now_.wall_ += std::chrono::milliseconds(100);
        harness.handle(IntentsRead{std::make_shared<IntentPage>(IntentPage{true, 500, {}})});
        harness.readIntent(key, harness.self());
        CHECK(harness.sends_.empty());
        CHECK(harness.kindOf(1) == ErrorKind::LogUnavailable);
    }

    SECTION("an intent that was read before the gap stays valid")
    {
        harness.readIntent(key, harness.self());
        harness.handle(IntentsRead{std::make_shared<IntentPage>(IntentPage{true, 500, {}})});
        harness.arrive(1, key, false);
        CHECK(harness.sends_.size() == 1);
    }

    SECTION("an instance that has read no records refuses")
    {
        RoutingHarness fresh;
        fresh.handle(RoutingRulesChanged{std::make_shared<RuleSet>()});
        fresh.handle(TargetsChanged{fresh.list(1)});
        fresh.arrive(1, key, false);
        CHECK(fresh.kindOf(1) == ErrorKind::LogUnavailable);
        CHECK(fresh.appends_.empty());
    }
}

SCENARIO("intents are kept exactly for the window of their keys", "[routing]")
{
    IntentTable table({});
    const WallTime start{std::chrono::seconds(TestUnixSeconds)};
    const auto key = std::to_string(TestUnixSeconds) + ".a";
    const auto page = [&](WallTime time, const std::string &text, const InstanceIncarnation &writer) {
        return IntentPage{false, 0, {{0, time, IntentBatchRecord{RecordId("r"), writer.instance_, {makeIntent(text, writer)}}}}};
    };
    (void)table.apply(IntentPage{true, 0, {}}, start);
    (void)table.apply(page(start, key, Other), start);
    CHECK(table.owner(key) == Other);

    SECTION("they are kept to the end of the window")
    {
        const auto end = start + std::chrono::seconds(3'660);
        (void)table.apply(page(end, std::to_string(TestUnixSeconds + 3'660) + ".b", Other), end);
        CHECK(table.owner(key) == Other);
        CHECK(table.size() == 2);
    }

    SECTION("they are removed afterwards, and a late record does not get ownership of the key")
    {
        const auto later = start + std::chrono::seconds(3'800);
        (void)table.apply(page(later, std::to_string(TestUnixSeconds + 3'800) + ".b", Other), later);
        CHECK(table.size() == 1);
        (void)table.apply(page(later, key, {InstanceId("entry-3"), 1}), later);
        CHECK_FALSE(table.owner(key).has_value());
    }

    SECTION("records with malformed keys or writers are ignored")
    {
        const IntentPage bad{false, 0, {{1, start, IntentBatchRecord{RecordId("r"), InstanceId("x"), {{"no-time", "1"}, {key + "b", "one"}}}}}};
        CHECK(table.apply(bad, start).empty());
        CHECK(table.size() == 1);
    }
}

SCENARIO("the request of an issued key runs only at the incarnation that issued the key", "[routing]")
{
    RoutingHarness harness;
    harness.start();
    const IssuedKeys keys({"secret"});
    const auto expiry = harness.now_.wall_ + std::chrono::hours(1);

    SECTION("the issuer runs it once, without the log")
    {
        const auto key = keys.issue({harness.self(), expiry}, 1);
        harness.arrive(1, key, false);
        harness.arrive(2, key, false);
        CHECK(harness.appends_.empty());
        REQUIRE(harness.sends_.size() == 1);
        harness.answerOk(harness.sends_.front());
        CHECK(harness.ranOf(1) == Ran::Yes);
        CHECK(harness.ranOf(2) == Ran::Yes);
        THEN("the answer is stored for 5 minutes and the key until it expires")
        {
            harness.advance(std::chrono::seconds(299));
            CHECK(harness.dispatcher_.status(key, harness.now_.wall_).state_ == KeyStatus::State::Answered);
            harness.advance(std::chrono::seconds(2));
            CHECK(harness.dispatcher_.status(key, harness.now_.wall_).state_ == KeyStatus::State::Unknown);
            harness.arrive(3, key, false);
            CHECK(harness.kindOf(3) == ErrorKind::MaybeRan);
            CHECK(harness.sends_.size() == 1);
        }
    }

    SECTION("another instance forwards it")
    {
        harness.arrive(1, keys.issue({Other, expiry}, 1), false);
        CHECK(harness.sends_.empty());
        REQUIRE(harness.forwards_.size() == 1);
        harness.advance(std::chrono::milliseconds(1'100));
        CHECK(harness.ranOf(1) == Ran::Maybe);
    }

    SECTION("after a restart of the issuer it is answered as maybe run")
    {
        harness.arrive(1, keys.issue({{InstanceId("entry-1"), 0}, expiry}, 1), false);
        CHECK(harness.kindOf(1) == ErrorKind::MaybeRan);
    }

    SECTION("a forged or expired key is refused")
    {
        auto forged = keys.issue({harness.self(), expiry}, 1);
        forged.back() = forged.back() == '0' ? '1' : '0';
        harness.arrive(1, forged, false);
        CHECK(harness.kindOf(1) == ErrorKind::Unauthorized);
        harness.arrive(2, IssuedKeys({"other"}).issue({harness.self(), expiry}, 1), false);
        CHECK(harness.kindOf(2) == ErrorKind::Unauthorized);
        harness.arrive(3, keys.issue({harness.self(), harness.now_.wall_}, 1), false);
        CHECK(harness.kindOf(3) == ErrorKind::KeyExpired);
        for (const auto *text : {"ik1~", "ik1~~~~~", "ik1~a~b~c~d~e", "ik1~entry-1~1~9999999999999999999~1~00"}) {
            harness.arrive(harness.answers_.size() + 1, text, false);
        }
        for (const auto &[number, answer] : harness.answers_) {
            CHECK(harness.ranOf(number) == Ran::No);
        }
        CHECK(harness.sends_.empty());
    }

    SECTION("a secret that is being rotated out is still accepted")
    {
        const IssuedKeys rotated({"new", "secret"});
        CHECK(isOk(rotated.verify(keys.issue({harness.self(), expiry}, 1), harness.now_.wall_)));
    }
}
