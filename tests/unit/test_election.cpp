#include "marjoramfold/node/election.h"
#include "tests/support/feedfollower.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <memory>
#include <string>
#include <vector>

using namespace Marjoramfold;
using namespace Marjoramfold::Test;
using namespace std::chrono_literals;

namespace
{
/// The election-related objects of one instance on a shared store.
struct Candidate {
    Candidate(const std::string &name,
              std::uint64_t process,
              ScriptedStore &store,
              ManualSchedule &schedule,
              std::chrono::milliseconds claimDelay = {},
              std::chrono::milliseconds deference = {})
        : follower_(makeFeedFollower(store, schedule, feed_))
        , appender_(makeFeedAppender(store, schedule, name))
    {
        ElectionOptions election;
        election.instance_ = name;
        election.process_ = process;
        election.claimDelay_ = claimDelay;
        election.deference_ = deference;
        election_ = std::make_unique<Election>(election, feed_, follower_, appender_, Election::Hooks{[](std::uint64_t) {}, [] {}});
        follower_->start();
    }

    JobFeed feed_;
    std::shared_ptr<StreamFollower> follower_;
    std::shared_ptr<OrderedAppender> appender_;
    std::unique_ptr<Election> election_;
};
} // namespace

TEST_CASE("few of many instances claim when the leader falls silent", "[election]")
{
    // Guards against claims of all instances, which use up the appends of a slow store.
    auto now = BootTime(100s);
    BootClock::useSource([&now] {
        return now;
    });
    ScriptedStore store;
    ManualSchedule schedule;
    constexpr int Instances = 100;
    constexpr auto ReadPause = 600ms;
    std::vector<std::unique_ptr<Candidate>> candidates;
    for (int i = 0; i < Instances; ++i) {
        candidates.push_back(std::make_unique<Candidate>("instance-" + std::to_string(i), i + 1, store, schedule, std::chrono::milliseconds(i * 5)));
        candidates.back()->follower_->setReadTiming(ReadPause, 1200ms);
    }
    const auto advance = [&](std::chrono::milliseconds duration) {
        constexpr auto Step = 10ms;
        for (auto elapsed = 0ms; elapsed < duration; elapsed += Step) {
            now += Step;
            schedule.advance(Step);
            if (elapsed % 50ms == 0ms) {
                // Callers keep handing in jobs, so the followers pause after their reads.
                store.put(feedStream().topic_, JobFeed::cancelRecord(JobId("a")));
            }
            for (auto &candidate : candidates) {
                candidate->election_->check();
            }
        }
    };
    const auto claims = [&store] {
        const auto records = store.log(feedStream().topic_);
        return std::count_if(records.begin(), records.end(), [](const StoredRecord &stored) {
            return stored.record_.key_.starts_with("l/claim/");
        });
    };
    // A former leader, which does not renew.
    store.put(feedStream().topic_, JobFeed::leadershipRecord({LeadershipAction::Claim, 0, "former", 1000, 1}));
    const auto before = claims();
    advance(5s);
    const auto leaders = std::count_if(candidates.begin(), candidates.end(), [](const auto &candidate) {
        return candidate->election_->ledEpoch() != 0;
    });
    CHECK(leaders == 1);
    // The new leader's renewals are not part of this test, so further claims follow each leader timeout.
    CHECK(claims() - before <= 8);
    BootClock::useSource({});
}

TEST_CASE("a small instance leaves the claim to a larger one that learns later of the silence", "[election]")
{
    // Guards against a leader of a large fleet with too little processor time.
    auto now = BootTime(100s);
    BootClock::useSource([&now] {
        return now;
    });
    ScriptedStore store;
    ManualSchedule schedule;
    constexpr auto ReadPause = 600ms;
    Candidate small("small", 1, store, schedule, 150ms, ReadPause);
    const auto former = store.put(feedStream().topic_, JobFeed::leadershipRecord({LeadershipAction::Claim, 0, "former", 9, 1})) + 1;
    const auto advance = [&](std::chrono::milliseconds duration, Candidate *large) {
        for (auto elapsed = 0ms; elapsed < duration; elapsed += 10ms) {
            now += 10ms;
            schedule.advance(10ms);
            small.election_->check();
            if (large != nullptr) {
                large->election_->check();
            }
        }
    };

    SECTION("if there is one")
    {
        advance(ReadPause - 100ms, nullptr);
        // Reads the former leader's claim only now.
        Candidate large("large", 2, store, schedule, 24ms);
        advance(1200ms, &large);
        CHECK(large.election_->ledEpoch() > former);
        CHECK(small.election_->ledEpoch() == 0);
    }

    SECTION("and claims by itself if there is none")
    {
        advance(3s, nullptr);
        CHECK(small.election_->ledEpoch() > former);
    }
    BootClock::useSource({});
}

TEST_CASE("another instance claims leadership only after the leader has timed out or resigned", "[election]")
{
    auto now = BootTime(100s);
    BootClock::useSource([&now] {
        return now;
    });
    ScriptedStore store;
    ManualSchedule schedule;
    Candidate first("first", 1, store, schedule);
    Candidate second("second", 2, store, schedule);
    const auto advance = [&](std::chrono::milliseconds duration, bool renews) {
        for (auto elapsed = 0ms; elapsed < duration; elapsed += 50ms) {
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
    advance(50ms, true);
    const auto epoch = first.election_->ledEpoch();
    REQUIRE(epoch != 0);

    SECTION("a leader that renews remains the leader")
    {
        advance(5s, true);
        CHECK(first.election_->ledEpoch() == epoch);
        CHECK(second.election_->ledEpoch() == 0);
    }

    SECTION("a leader without renewals is succeeded within 1.2 s and loses its leadership")
    {
        advance(800ms, false);
        CHECK(second.election_->ledEpoch() == 0);
        advance(400ms, false);
        CHECK(second.election_->ledEpoch() > epoch);
        CHECK(first.election_->ledEpoch() == 0);
    }

    SECTION("a slow store extends the leader timeout and the claim delay")
    {
        // Guards against claims of all instances using up the few appends that a slow store can execute.
        advance(300ms, true);
        store.schedule_ = &schedule;
        store.readTime_ = 300ms;
        advance(1'700ms, false);
        CHECK(second.election_->ledEpoch() == 0);
        advance(2s, false);
        CHECK(second.election_->ledEpoch() > epoch);
    }

    SECTION("an unconfirmed leader resigns, so that others claim without waiting for its timeout")
    {
        // Guards against a long time without a leader after the store was slow or unreachable, when late renewals of the former leader
        // restart its timeout.
        advance(100ms, true);
        first.election_->resign();
        first.election_->stopClaiming();
        CHECK(first.election_->ledEpoch() == 0);
        advance(150ms, false);
        CHECK(second.election_->ledEpoch() > epoch);
    }

    SECTION("the resignation is recorded once the store accepts appends again")
    {
        store.failAppends({AppendFault::Refused, AppendFault::Refused});
        first.election_->resign();
        first.election_->stopClaiming();
        advance(400ms, false);
        CHECK(second.election_->ledEpoch() > epoch);
    }

    SECTION("a resignation that is recorded late does not end the successor's leadership")
    {
        store.put(feedStream().topic_, JobFeed::leadershipRecord({LeadershipAction::Claim, epoch, "second", 2, 9}));
        advance(50ms, false);
        const auto later = second.election_->ledEpoch();
        REQUIRE(later > epoch);
        store.put(feedStream().topic_, JobFeed::leadershipRecord({LeadershipAction::Resign, epoch, "first", 1, 0}));
        advance(100ms, false);
        CHECK(second.election_->ledEpoch() == later);
    }
    BootClock::useSource({});
}
