#include "marjoramfold/node/jobfeed.h"

#include <catch2/catch.hpp>

#include <algorithm>

using namespace Marjoramfold;

namespace
{
/// The feed's records in memory, as the store keeps them: all in order, and the newest of each key.
class FeedLog
{
public:
    auto append(KeyedRecord record) -> std::uint64_t
    {
        all_.push_back({all_.size(), std::move(record)});
        return all_.size() - 1;
    }

    [[nodiscard]] auto all() const -> std::vector<StoredRecord>
    {
        return all_;
    }

    [[nodiscard]] auto newest() const -> std::vector<StoredRecord>
    {
        std::map<std::string, StoredRecord> newest;
        for (const auto &record : all_) {
            newest[record.record_.key_] = record;
        }
        std::vector<StoredRecord> records;
        for (const auto &[key, record] : newest) {
            if (record.record_.value_) {
                records.push_back(record);
            }
        }
        return records;
    }

private:
    std::vector<StoredRecord> all_;
};

auto followed(const FeedLog &log) -> JobFeed
{
    JobFeed feed;
    feed.apply(log.all());
    return feed;
}

auto loaded(const FeedLog &log) -> JobFeed
{
    JobFeed feed;
    feed.beginReload();
    feed.apply(log.newest());
    feed.endReload();
    return feed;
}

auto submission(const std::string &id) -> Submission
{
    Submission result;
    result.id_ = JobId(id);
    result.queue_ = "proofs";
    result.plan_.payload_ = "print";
    result.plan_.steps_.resize(1);
    result.plan_.steps_[0].count_ = 2;
    return result;
}

auto act(LeadershipAction act, std::uint64_t epoch, const std::string &instance, std::uint64_t process = 1) -> KeyedRecord
{
    static std::uint64_t number = 0;
    return JobFeed::leadershipRecord({act, epoch, instance, process, ++number});
}
} // namespace

TEST_CASE("one of several claims wins, for those who followed and for those who loaded", "[feed]")
{
    FeedLog log;
    const auto first = log.append(act(LeadershipAction::Claim, 0, "a")) + 1;
    log.append(act(LeadershipAction::Claim, 0, "b"));
    CHECK(followed(log).leader().instance_ == "a");
    CHECK(followed(log).leader().epoch_ == first);
    CHECK(loaded(log).leader().epoch_ == first);

    SECTION("a renewal replaces the winning claim, and the void one is still void")
    {
        log.append(act(LeadershipAction::Renew, first, "a"));
        CHECK(loaded(log).leader().instance_ == "a");
        CHECK(loaded(log).leader().epoch_ == first);
    }

    SECTION("the winner's later claim is evidence of its earlier epoch")
    {
        // Guards against instances that take a void claim for valid after a load and depose each other for ever.
        const auto second = log.append(act(LeadershipAction::Claim, first, "a", 2)) + 1;
        CHECK(followed(log).leader().epoch_ == second);
        CHECK(loaded(log).leader().epoch_ == second);
        CHECK(loaded(log).leader().process_ == 2);
    }

    SECTION("a late claim that names an epoch that is past changes nothing")
    {
        const auto second = log.append(act(LeadershipAction::Claim, first, "c")) + 1;
        log.append(act(LeadershipAction::Claim, first, "d"));
        CHECK(followed(log).leader().epoch_ == second);
        CHECK(loaded(log).leader().epoch_ == second);
    }

    SECTION("a resignation makes the place vacant until the next claim")
    {
        log.append(act(LeadershipAction::Resign, first, "a"));
        CHECK(loaded(log).leader().resigned_);
        log.append(act(LeadershipAction::Claim, first, "b"));
        CHECK_FALSE(loaded(log).leader().resigned_);
        CHECK(loaded(log).leader().instance_ == "b");
    }
}

TEST_CASE("random claims leave all who follow or load with one leader", "[feed]")
{
    // Every instance acts on its own view, which may lag; the store orders the records.
    for (unsigned seed = 1; seed <= 300; ++seed) {
        std::srand(seed);
        FeedLog log;
        std::vector<std::size_t> read(4, 0);
        std::vector<JobFeed> views(4);
        for (int step = 0; step < 40; ++step) {
            const auto who = static_cast<std::size_t>(std::rand()) % views.size();
            const auto name = std::string(1, static_cast<char>('a' + who));
            const auto all = log.all();
            // Reads a part of what is new.
            const auto upTo = read[who] + static_cast<std::size_t>(std::rand()) % (all.size() - read[who] + 1);
            views[who].apply({all.begin() + static_cast<std::ptrdiff_t>(read[who]), all.begin() + static_cast<std::ptrdiff_t>(upTo)});
            read[who] = upTo;
            const auto &leader = views[who].leader();
            if (leader.instance_ == name && std::rand() % 2 == 0) {
                log.append(act(LeadershipAction::Renew, leader.epoch_, name));
                for (auto &record : views[who].claimTombstones(leader.epoch_)) {
                    log.append(std::move(record));
                }
            } else {
                log.append(act(LeadershipAction::Claim, leader.epoch_, name));
            }
        }
        const auto expected = followed(log).leader();
        INFO("seed " << seed);
        CHECK(loaded(log).leader().epoch_ == expected.epoch_);
        CHECK(loaded(log).leader().instance_ == expected.instance_);
    }
}

TEST_CASE("the feed shows jobs as their records say", "[feed]")
{
    FeedLog log;
    const JobId id("00112233445566aa");
    log.append(JobFeed::submissionRecord(submission(id.value())));
    CHECK(followed(log).find(id)->reportedPhase() == JobPhase::Queued);
    CHECK(followed(log).waitingJobs("proofs") == 1);

    SECTION("a repeat of the submission stays one job")
    {
        log.append(JobFeed::submissionRecord(submission(id.value())));
        CHECK(followed(log).waitingJobs("proofs") == 1);
    }

    SECTION("a job that was cancelled before it was shown as complete stays cancelled")
    {
        log.append(JobFeed::cancelRecord(id));
        CHECK(followed(log).find(id)->reportedPhase() == JobPhase::Cancelled);
        log.append(JobFeed::phaseRecord(id, JobPhase::Completed));
        CHECK(followed(log).find(id)->reportedPhase() == JobPhase::Cancelled);
        CHECK(loaded(log).find(id)->reportedPhase() == JobPhase::Cancelled);
        CHECK(followed(log).waitingJobs("proofs") == 0);
    }

    SECTION("a job that was complete before the cancellation stays complete")
    {
        log.append(JobFeed::phaseRecord(id, JobPhase::Running));
        log.append(JobFeed::phaseRecord(id, JobPhase::Completed));
        log.append(JobFeed::cancelRecord(id));
        CHECK(followed(log).find(id)->reportedPhase() == JobPhase::Completed);
        CHECK(loaded(log).find(id)->reportedPhase() == JobPhase::Completed);

        SECTION("and keeps its steps, which a new leader needs for runs that go on")
        {
            CHECK(loaded(log).find(id)->submission_.plan_.steps_.size() == 1);
        }
    }

    SECTION("dropped records forget the job")
    {
        for (auto &record : JobFeed::jobTombstones(id)) {
            log.append(std::move(record));
        }
        CHECK(followed(log).find(id) == nullptr);
        CHECK(followed(log).waitingJobs("proofs") == 0);
    }

    SECTION("a load that no longer brings the job forgets it")
    {
        auto feed = followed(log);
        feed.beginReload();
        feed.apply({});
        feed.endReload();
        CHECK(feed.find(id) == nullptr);
        CHECK(feed.waitingJobs("proofs") == 0);
    }
}
