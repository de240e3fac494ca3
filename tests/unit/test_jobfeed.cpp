#include "marjoramfold/node/admission.h"
#include "marjoramfold/node/jobfeed.h"

#include <catch2/catch.hpp>

#include <algorithm>

using namespace Marjoramfold;

namespace
{
/// In-memory copy of the feed's stream: all records in order, and the newest of each key.
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

auto leadership(LeadershipAction action, std::uint64_t epoch, const std::string &instance, std::uint64_t process = 1) -> KeyedRecord
{
    static std::uint64_t number = 0;
    return JobFeed::leadershipRecord({action, epoch, instance, process, ++number});
}
} // namespace

TEST_CASE("one of several claims succeeds, whether the feed was followed or loaded", "[feed]")
{
    FeedLog log;
    const auto first = log.append(leadership(LeadershipAction::Claim, 0, "a")) + 1;
    log.append(leadership(LeadershipAction::Claim, 0, "b"));
    CHECK(followed(log).leader().instance_ == "a");
    CHECK(followed(log).leader().epoch_ == first);
    CHECK(loaded(log).leader().epoch_ == first);

    SECTION("after a renewal of the successful claim, the void claim is still void")
    {
        log.append(leadership(LeadershipAction::Renew, first, "a"));
        CHECK(loaded(log).leader().instance_ == "a");
        CHECK(loaded(log).leader().epoch_ == first);
    }

    SECTION("a later claim by the leader's instance implies its earlier epoch")
    {
        // Guards against instances that accept a void claim after a load and then fence each other indefinitely.
        const auto second = log.append(leadership(LeadershipAction::Claim, first, "a", 2)) + 1;
        CHECK(followed(log).leader().epoch_ == second);
        CHECK(loaded(log).leader().epoch_ == second);
        CHECK(loaded(log).leader().process_ == 2);
    }

    SECTION("a late claim that names a past epoch has no effect")
    {
        const auto second = log.append(leadership(LeadershipAction::Claim, first, "c")) + 1;
        log.append(leadership(LeadershipAction::Claim, first, "d"));
        CHECK(followed(log).leader().epoch_ == second);
        CHECK(loaded(log).leader().epoch_ == second);
    }

    SECTION("a record with an unknown action does not change the leader")
    {
        log.append(leadership(static_cast<LeadershipAction>(9), first + 1000, "b"));
        CHECK(followed(log).leader().instance_ == "a");
        CHECK(loaded(log).leader().epoch_ == first);
    }

    SECTION("after a resignation there is no leader until the next claim")
    {
        log.append(leadership(LeadershipAction::Resign, first, "a"));
        CHECK(loaded(log).leader().resigned_);
        log.append(leadership(LeadershipAction::Claim, first, "b"));
        CHECK_FALSE(loaded(log).leader().resigned_);
        CHECK(loaded(log).leader().instance_ == "b");
    }
}

TEST_CASE("followed and loaded feeds agree on the leader after random claims", "[feed]")
{
    // Every instance acts on its own state, which may lag behind; the store orders the records.
    for (unsigned seed = 1; seed <= 300; ++seed) {
        std::srand(seed);
        FeedLog log;
        std::vector<std::size_t> readUpTo(4, 0);
        std::vector<JobFeed> feeds(4);
        for (int step = 0; step < 40; ++step) {
            const auto index = static_cast<std::size_t>(std::rand()) % feeds.size();
            const auto name = std::string(1, static_cast<char>('a' + index));
            const auto all = log.all();
            // Reads a random number of the new records.
            const auto end = readUpTo[index] + static_cast<std::size_t>(std::rand()) % (all.size() - readUpTo[index] + 1);
            feeds[index].apply({all.begin() + static_cast<std::ptrdiff_t>(readUpTo[index]), all.begin() + static_cast<std::ptrdiff_t>(end)});
            readUpTo[index] = end;
            const auto &leader = feeds[index].leader();
            if (leader.instance_ == name && std::rand() % 2 == 0) {
                log.append(leadership(LeadershipAction::Renew, leader.epoch_, name));
                for (auto &record : feeds[index].claimTombstones(leader.epoch_)) {
                    log.append(std::move(record));
                }
            } else {
                log.append(leadership(LeadershipAction::Claim, leader.epoch_, name));
            }
        }
        const auto expected = followed(log).leader();
        INFO("seed " << seed);
        CHECK(loaded(log).leader().epoch_ == expected.epoch_);
        CHECK(loaded(log).leader().instance_ == expected.instance_);
    }
}

TEST_CASE("the feed derives the state of jobs from their records", "[feed]")
{
    FeedLog log;
    const JobId id("00112233445566aa");
    log.append(JobFeed::submissionRecord(submission(id.value())));
    CHECK(followed(log).find(id)->reportedPhase() == JobPhase::Queued);
    CHECK(followed(log).waitingJobs("proofs") == 1);

    SECTION("a repeated submission does not add a job")
    {
        log.append(JobFeed::submissionRecord(submission(id.value())));
        CHECK(followed(log).waitingJobs("proofs") == 1);
    }

    SECTION("a job cancelled before its completion is recorded stays cancelled")
    {
        log.append(JobFeed::cancelRecord(id));
        CHECK(followed(log).find(id)->reportedPhase() == JobPhase::Cancelled);
        log.append(JobFeed::phaseRecord(id, JobPhase::Completed));
        CHECK(followed(log).find(id)->reportedPhase() == JobPhase::Cancelled);
        CHECK(loaded(log).find(id)->reportedPhase() == JobPhase::Cancelled);
        CHECK(followed(log).waitingJobs("proofs") == 0);
    }

    SECTION("a job completed before its cancellation is recorded stays completed")
    {
        log.append(JobFeed::phaseRecord(id, JobPhase::Running));
        log.append(JobFeed::phaseRecord(id, JobPhase::Completed));
        log.append(JobFeed::cancelRecord(id));
        CHECK(followed(log).find(id)->reportedPhase() == JobPhase::Completed);
        CHECK(loaded(log).find(id)->reportedPhase() == JobPhase::Completed);

        SECTION("and keeps its steps, which a new leader needs for runs still in progress")
        {
            CHECK(loaded(log).find(id)->submission_.plan_.steps_.size() == 1);
        }
    }

    SECTION("a job cancelled before its submission is recorded is cancelled, whether the feed was followed or loaded before or after it")
    {
        // Guards against a cancellation that instances forget which load the feed before the submission is stored.
        const JobId late("00112233445566bb");
        log.append(JobFeed::cancelRecord(late));
        auto loadedBefore = loaded(log);
        CHECK(loadedBefore.find(late) == nullptr);
        const auto offset = log.append(JobFeed::submissionRecord(submission(late.value())));
        loadedBefore.apply({log.all()[offset]});
        for (const auto &feed : {followed(log), loaded(log), loadedBefore}) {
            REQUIRE(feed.find(late) != nullptr);
            CHECK(feed.find(late)->reportedPhase() == JobPhase::Cancelled);
            CHECK(feed.waitingJobs("proofs") == 1);
            CHECK(feed.unmatchedCancellations(BootTime::max()).empty());
        }
    }

    SECTION("a cancellation without a submission is listed until it is deleted")
    {
        const JobId late("00112233445566bb");
        log.append(JobFeed::cancelRecord(late));
        for (const auto &feed : {followed(log), loaded(log)}) {
            CHECK(feed.unmatchedCancellations(BootTime::max()) == std::vector<JobId>{late});
            CHECK(feed.unmatchedCancellations(BootTime{}).empty());
        }
        auto feed = loaded(log);
        log.append(JobFeed::cancelTombstone(late));
        feed.apply({log.all().back()});
        CHECK(feed.unmatchedCancellations(BootTime::max()).empty());
        log.append(JobFeed::submissionRecord(submission(late.value())));
        CHECK(followed(log).find(late)->reportedPhase() == JobPhase::Queued);
    }

    SECTION("an unknown phase leaves the job as it is")
    {
        for (const auto *value : {"\x05", "\xff", "22", ""}) {
            log.append({"p/" + id.value(), value});
            CHECK(followed(log).find(id)->reportedPhase() == JobPhase::Queued);
            CHECK(loaded(log).waitingJobs("proofs") == 1);
        }
    }

    SECTION("tombstones remove the job")
    {
        for (auto &record : JobFeed::jobTombstones(id)) {
            log.append(std::move(record));
        }
        CHECK(followed(log).find(id) == nullptr);
        CHECK(followed(log).waitingJobs("proofs") == 0);
    }

    SECTION("a load that does not contain the job removes it")
    {
        auto feed = followed(log);
        feed.beginReload();
        feed.apply({});
        feed.endReload();
        CHECK(feed.find(id) == nullptr);
        CHECK(feed.waitingJobs("proofs") == 0);
    }
}

TEST_CASE("a record of the leader's backlog is passed on and changes nothing else in the feed", "[feed]")
{
    // Guards against a record that an older version does not know, or cannot read, spoiling its load of the feed.
    FeedLog log;
    log.append(leadership(LeadershipAction::Claim, 0, "one"));
    log.append(JobFeed::submissionRecord(submission("a1")));
    log.append(JobFeed::backlogRecord({1, 1, {}}));
    log.append({JobFeed::backlogRecord({}).key_, "\xff not a record"});
    log.append({"b/", "another key of the prefix"});
    log.append({JobFeed::backlogRecord({}).key_, std::nullopt});
    log.append(JobFeed::submissionRecord(submission("a2")));
    for (const auto &feed : {followed(log), loaded(log)}) {
        CHECK(feed.jobs().size() == 2);
        CHECK(feed.waitingJobs("proofs") == 2);
        CHECK(feed.leader().epoch_ == 1);
    }
    JobFeed feed;
    std::vector<std::string> published;
    FeedListeners listeners;
    listeners.backlogPublished_ = [&published](const std::string &value) {
        published.push_back(value);
    };
    feed.setListeners(listeners);

    SECTION("followed: each value, readable or not")
    {
        feed.apply(log.all());
        CHECK(published == std::vector<std::string>{encodeBacklog({1, 1, {}}), "\xff not a record"});
    }

    SECTION("loaded: none, since a record that was found in a load may be of any age")
    {
        feed.beginReload();
        feed.apply(log.all());
        feed.endReload();
        CHECK(published.empty());
    }
}
