#include "marjoramfold/node/election.h"
#include "tests/support/feedfollower.h"

#include <catch2/catch.hpp>

using namespace Marjoramfold;
using namespace Marjoramfold::Test;
using namespace std::chrono_literals;

namespace
{
/// One instance's part in the election, on a shared store.
struct Candidate {
    Candidate(const std::string &name, std::uint64_t process, ScriptedStore &store, ManualSchedule &schedule)
        : follower_(makeFeedFollower(store, schedule, feed_))
        , appender_(makeFeedAppender(store, schedule, name))
    {
        ElectionOptions election;
        election.instance_ = name;
        election.process_ = process;
        election_ = std::make_unique<Election>(election, feed_, follower_, appender_, Election::Hooks{[](std::uint64_t) {}, [] {}});
        follower_->start();
    }

    JobFeed feed_;
    std::shared_ptr<StreamFollower> follower_;
    std::shared_ptr<OrderedAppender> appender_;
    std::unique_ptr<Election> election_;
};
} // namespace

TEST_CASE("the place of a leader is taken when it is vacant, and not before", "[election]")
{
    auto now = BootTime(100s);
    BootClock::useSource([&now] {
        return now;
    });
    ScriptedStore store;
    ManualSchedule schedule;
    Candidate first("first", 1, store, schedule);
    Candidate second("second", 2, store, schedule);
    const auto pass = [&](std::chrono::milliseconds time, bool renews) {
        for (auto passed = 0ms; passed < time; passed += 50ms) {
            now += 50ms;
            schedule.advance(50ms);
            if (renews && first.election_->ledEpoch() != 0) {
                store.put(feedStream().topic_, JobFeed::leadershipRecord({LeadershipAction::Renew, first.election_->ledEpoch(), "first", 1, 0}));
            }
            first.election_->check();
            second.election_->check();
        }
    };
    first.election_->check();
    pass(50ms, true);
    const auto epoch = first.election_->ledEpoch();
    REQUIRE(epoch != 0);

    SECTION("a leader that renews stays")
    {
        pass(5s, true);
        CHECK(first.election_->ledEpoch() == epoch);
        CHECK(second.election_->ledEpoch() == 0);
    }

    SECTION("a silent leader is succeeded within 1.2 s, and learns of it")
    {
        pass(800ms, false);
        CHECK(second.election_->ledEpoch() == 0);
        pass(400ms, false);
        CHECK(second.election_->ledEpoch() > epoch);
        CHECK(first.election_->ledEpoch() == 0);
    }

    SECTION("while the store answers slowly, a leader is given more time, and claims are further apart")
    {
        // Guards against a slow store whose few appends are used up by claims of all instances.
        pass(300ms, true);
        store.schedule_ = &schedule;
        store.readTime_ = 300ms;
        pass(1'700ms, false);
        CHECK(second.election_->ledEpoch() == 0);
        pass(2s, false);
        CHECK(second.election_->ledEpoch() > epoch);
    }

    SECTION("a leader that the store did not confirm gives up: others need not wait for its silence")
    {
        // Guards against time without a leader after a store that was slow or away: late renewals look like signs of life.
        pass(100ms, true);
        first.election_->resign();
        first.election_->stopClaiming();
        CHECK(first.election_->ledEpoch() == 0);
        pass(150ms, false);
        CHECK(second.election_->ledEpoch() > epoch);
    }

    SECTION("the vacancy is recorded once the store takes appends again")
    {
        store.failAppends({AppendFault::Refused, AppendFault::Refused});
        first.election_->resign();
        first.election_->stopClaiming();
        pass(400ms, false);
        CHECK(second.election_->ledEpoch() > epoch);
    }

    SECTION("a vacancy that is recorded late takes nothing from the successor")
    {
        store.put(feedStream().topic_, JobFeed::leadershipRecord({LeadershipAction::Claim, epoch, "second", 2, 9}));
        pass(50ms, false);
        const auto later = second.election_->ledEpoch();
        REQUIRE(later > epoch);
        store.put(feedStream().topic_, JobFeed::leadershipRecord({LeadershipAction::Resign, epoch, "first", 1, 0}));
        pass(100ms, false);
        CHECK(second.election_->ledEpoch() == later);
    }
    BootClock::useSource({});
}
