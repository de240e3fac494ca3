#include "marjoramfold/routing/requestqueues.h"
#include "marjoramfold/routing/targetpool.h"

#include <catch2/catch.hpp>

#include <map>
#include <set>

using namespace Marjoramfold;

namespace
{
constexpr auto Second = std::chrono::seconds(1);

auto listOf(const std::vector<TargetInfo> &targets, WallTime asOf) -> TargetList
{
    return {asOf, targets};
}

auto info(const std::string &id, const std::string &zone, bool leaving = false) -> TargetInfo
{
    return {TargetId(id), AvailabilityZoneId(zone), id + ":80", leaving};
}

auto rulesWith(const std::string &zone, AvailabilityZoneState state) -> RuleSet
{
    RuleSet rules;
    auto &rule = rules.zones_[AvailabilityZoneId(zone)];
    rule.zone_ = AvailabilityZoneId(zone);
    rule.state_ = state;
    return rules;
}

/// A pool with the targets a1 and a2 in its own availability zone and b1 in another.
struct PoolFixture {
    PoolFixture()
        : pool_(options())
    {
        (void)pool_.applyList(listOf({info("a1", "cluj-a"), info("a2", "cluj-a"), info("b1", "brasov-b")}, now_.wall_));
    }

    static auto options() -> TargetPoolOptions
    {
        TargetPoolOptions options;
        options.ownZone_ = AvailabilityZoneId("cluj-a");
        options.slotsPerTarget_ = 2;
        return options;
    }

    auto acquire(bool idempotent = true) -> std::string
    {
        const auto *target = pool_.acquire(idempotent, {}, now_.steady_, random_);
        return target == nullptr ? "" : target->info_.id_.value();
    }

    auto release(const std::string &id, ExchangeOutcome outcome, std::chrono::microseconds latency = std::chrono::milliseconds(1)) -> void
    {
        pool_.release(TargetId(id), outcome, latency, now_);
    }

    /// Counts enough consecutive failures to eject the target.
    auto ejectByFailures(const std::string &id) -> void
    {
        for (auto i = 0; i < 3; ++i) {
            pool_.countFailure(TargetId(id), now_.steady_);
        }
    }

    auto advance(std::chrono::milliseconds time) -> void
    {
        now_.steady_ += time;
        now_.wall_ += time;
    }

    EventTime now_{SteadyTime(std::chrono::hours(1)), WallTime(std::chrono::hours(24))};
    RandomGenerator random_{7};
    TargetPool pool_;
};
} // namespace

SCENARIO("targets in the pool's own availability zone are preferred and slots are limited", "[routing]")
{
    PoolFixture fixture;
    std::map<std::string, int> taken;
    for (auto i = 0; i < 4; ++i) {
        ++taken[fixture.acquire()];
    }
    CHECK(taken == std::map<std::string, int>{{"a1", 2}, {"a2", 2}});
    CHECK(fixture.acquire() == "b1");
    CHECK(fixture.acquire() == "b1");
    CHECK(fixture.acquire().empty());
    CHECK_FALSE(fixture.pool_.hasFreeSlot(fixture.now_.steady_));
    fixture.release("a2", ExchangeOutcome::Answered);
    CHECK(fixture.acquire() == "a2");
}

SCENARIO("a failing target is ejected with exponential backoff and reinstated by one probe", "[routing]")
{
    PoolFixture fixture;
    // The other target in the pool's own availability zone is leaving, so only a1 and b1 can be selected.
    fixture.pool_.markLeaving(TargetId("a2"), fixture.now_.wall_);
    fixture.ejectByFailures("a1");
    CHECK(fixture.acquire() == "b1");

    SECTION("no probe is sent before the ejection time is over")
    {
        fixture.advance(std::chrono::milliseconds(999));
        CHECK(fixture.acquire() == "b1");
    }

    SECTION("a single probe is sent, and each failed probe doubles the ejection time up to 30 s")
    {
        for (auto expected : {1, 2, 4, 8, 16, 30, 30}) {
            fixture.advance(expected * Second - std::chrono::milliseconds(1));
            CHECK(fixture.acquire() == "b1");
            fixture.release("b1", ExchangeOutcome::Answered);
            fixture.advance(std::chrono::milliseconds(1));
            CHECK(fixture.acquire() == "a1");
            CHECK(fixture.acquire() == "b1");
            fixture.release("b1", ExchangeOutcome::Answered);
            fixture.release("a1", ExchangeOutcome::Failed);
        }
    }

    SECTION("an answered probe reinstates the target")
    {
        fixture.advance(Second);
        CHECK(fixture.acquire() == "a1");
        fixture.release("a1", ExchangeOutcome::Answered);
        CHECK(fixture.acquire() == "a1");
        CHECK(fixture.acquire() == "a1");
    }

    SECTION("a non-idempotent request is not used as a probe while another target is healthy")
    {
        fixture.advance(Second);
        CHECK(fixture.acquire(false) == "b1");
    }

    SECTION("a single refused connection ejects the target")
    {
        CHECK(fixture.acquire() == "b1");
        fixture.release("b1", ExchangeOutcome::NotSent);
        CHECK(fixture.acquire().empty());
    }
}

SCENARIO("a target that is much slower than the others is ejected", "[routing]")
{
    PoolFixture fixture;
    for (auto i = 0; i < 40; ++i) {
        const auto id = fixture.acquire();
        fixture.release(id, ExchangeOutcome::Answered, std::chrono::milliseconds(id == "a1" ? 400 : 2));
        // Also fills the slots of b1, because a majority takes three measured targets.
        if (i < 20) {
            const auto a = fixture.acquire();
            const auto b = fixture.acquire();
            const auto c = fixture.acquire();
            const auto d = fixture.acquire();
            const auto e = fixture.acquire();
            for (const auto &each : {a, b, c, d, e}) {
                fixture.release(each, ExchangeOutcome::Answered, std::chrono::milliseconds(each == "a1" ? 400 : 2));
            }
        }
    }
    fixture.pool_.ejectSlow(fixture.now_.steady_);
    std::set<std::string> taken;
    for (auto i = 0; i < 4; ++i) {
        taken.insert(fixture.acquire());
    }
    CHECK(taken == std::set<std::string>{"a2", "b1"});
}

SCENARIO("a leaving target gets no new requests, whatever the source of the information", "[routing]")
{
    PoolFixture fixture;
    const auto a1GetsWork = [&fixture] {
        std::set<std::string> taken;
        for (auto i = 0; i < 6; ++i) {
            const auto id = fixture.acquire();
            if (!id.empty()) {
                taken.insert(id);
                fixture.release(id, ExchangeOutcome::Answered);
            }
        }
        return taken.contains("a1");
    };
    REQUIRE(a1GetsWork());

    SECTION("the instance list")
    {
        fixture.advance(Second);
        CHECK(fixture.pool_.applyList(listOf({info("a1", "cluj-a", true), info("a2", "cluj-a")}, fixture.now_.wall_)));
        CHECK_FALSE(a1GetsWork());
        AND_THEN("an older list does not reinstate it")
        {
            CHECK_FALSE(fixture.pool_.applyList(listOf({info("a1", "cluj-a")}, fixture.now_.wall_ - Second)));
            CHECK_FALSE(a1GetsWork());
        }
    }

    SECTION("a rule that takes its availability zone out of service")
    {
        fixture.pool_.applyRules(rulesWith("cluj-a", AvailabilityZoneState::Out));
        CHECK(fixture.acquire() == "b1");
        fixture.pool_.applyRules(rulesWith("cluj-a", AvailabilityZoneState::In));
        CHECK(a1GetsWork());
    }

    SECTION("a rule that was applied before the target was listed")
    {
        fixture.pool_.applyRules(rulesWith("sibiu-c", AvailabilityZoneState::Out));
        fixture.advance(Second);
        CHECK(fixture.pool_.applyList(listOf({info("c1", "sibiu-c")}, fixture.now_.wall_)));
        CHECK(fixture.acquire().empty());
    }

    SECTION("its own refusal, until a list is newer by more than the maximum lag")
    {
        while (fixture.acquire() != "a1") {}
        fixture.release("a1", ExchangeOutcome::RefusedLeaving);
        for (const auto &id : {"a2", "b1"}) {
            while (fixture.pool_.find(TargetId(id))->inFlight_ > 0) {
                fixture.release(id, ExchangeOutcome::Answered);
            }
        }
        CHECK_FALSE(a1GetsWork());
        fixture.advance(5 * Second);
        CHECK(fixture.pool_.applyList(listOf({info("a1", "cluj-a"), info("a2", "cluj-a")}, fixture.now_.wall_)));
        CHECK_FALSE(a1GetsWork());
        fixture.advance(6 * Second);
        CHECK(fixture.pool_.applyList(listOf({info("a1", "cluj-a"), info("a2", "cluj-a")}, fixture.now_.wall_)));
        CHECK(a1GetsWork());
    }
}

SCENARIO("queues are bounded and served by weighted fair queuing between teams", "[routing]")
{
    RequestQueues queues({5, 12});
    const TeamId planners("planners");
    const TeamId printers("printers");

    SECTION("limits apply per team and priority, and to all queues together")
    {
        for (RequestNumber i = 0; i < 5; ++i) {
            CHECK(queues.push(planners, PriorityClass::Normal, i));
        }
        CHECK_FALSE(queues.push(planners, PriorityClass::Normal, 5));
        CHECK_FALSE(queues.hasRoom(planners, PriorityClass::Normal));
        for (RequestNumber i = 0; i < 5; ++i) {
            CHECK(queues.push(planners, PriorityClass::Urgent, i));
        }
        CHECK(queues.push(printers, PriorityClass::Normal, 10));
        CHECK(queues.push(printers, PriorityClass::Normal, 11));
        CHECK_FALSE(queues.push(printers, PriorityClass::Normal, 12));
    }

    SECTION("within a team, requests are ordered by priority, then by arrival")
    {
        CHECK(queues.push(planners, PriorityClass::Batch, 1));
        CHECK(queues.push(planners, PriorityClass::Urgent, 2));
        CHECK(queues.push(planners, PriorityClass::Urgent, 3));
        CHECK(queues.push(planners, PriorityClass::Normal, 4));
        for (const RequestNumber expected : {2, 3, 4, 1}) {
            CHECK(queues.pop() == expected);
        }
        CHECK_FALSE(queues.pop().has_value());
    }

    SECTION("a team cannot starve another by marking its requests urgent")
    {
        RequestQueues wide({1'000, 2'000});
        for (RequestNumber i = 0; i < 100; ++i) {
            CHECK(wide.push(planners, PriorityClass::Urgent, i));
            CHECK(wide.push(printers, PriorityClass::Batch, 1'000 + i));
        }
        auto printed = 0;
        for (auto i = 0; i < 100; ++i) {
            printed += *wide.pop() >= 1'000 ? 1 : 0;
        }
        CHECK(printed == 50);
    }

    SECTION("a priority rule sets the weight of a team to 10 plus its level")
    {
        RuleSet rules;
        rules.priorities_[planners] = {planners, 20, {}};
        RequestQueues wide({1'000, 2'000});
        wide.applyRules(rules);
        for (RequestNumber i = 0; i < 200; ++i) {
            CHECK(wide.push(planners, PriorityClass::Normal, i));
            CHECK(wide.push(printers, PriorityClass::Normal, 1'000 + i));
        }
        auto planned = 0;
        for (auto i = 0; i < 200; ++i) {
            planned += *wide.pop() < 1'000 ? 1 : 0;
        }
        CHECK(planned >= 149);
        CHECK(planned <= 151);
    }

    SECTION("a removed request is not popped")
    {
        CHECK(queues.push(planners, PriorityClass::Normal, 1));
        CHECK(queues.push(planners, PriorityClass::Normal, 2));
        queues.remove(planners, PriorityClass::Normal, 1);
        CHECK(queues.pop() == RequestNumber(2));
        CHECK(queues.size() == 0);
    }
}
