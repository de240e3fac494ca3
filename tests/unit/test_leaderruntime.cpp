#include "marjoramfold/node/admission.h"
#include "tests/support/leadersite.h"
#include "tests/support/simulatedfleet.h"

#include <catch2/catch.hpp>

#include <optional>
#include <string>
#include <utility>
#include <vector>

using namespace Marjoramfold;
using namespace Marjoramfold::Test;
using namespace std::chrono_literals;

namespace
{
auto longJob() -> Submission
{
    auto submission = makeSubmission(FirstJob.value(), "batch", 1, SmallTask);
    // Runs of a service are not stopped for missing progress.
    submission.plan_.steps_[0].service_ = true;
    return submission;
}
} // namespace

TEST_CASE("a run is not started anew while a former leader may still renew the lease of its worker", "[leader]")
{
    // Guards against a lease that counts as expired because the former leader was confirmed later than its successor knew.
    Site site;
    Leader first(site, "first", 1);
    first.follow();
    Leader second(site, "second", 2);
    second.follow();
    Leader third(site, "third", 3);
    third.follow();
    site.store_.put(feedStream().topic_, JobFeed::submissionRecord(longJob()));
    site.list("one");
    first.lead();
    site.advance(500ms);
    REQUIRE(site.isRunningOn("one"));
    site.list("two");
    second.unreachable_ = {"one"};
    third.unreachable_ = {"one"};

    SECTION("when renewals were stored after the claim")
    {
        first.appendsRefused_ = true;
        site.advance(1s);
        second.announcementsRefused_ = true;
        second.lead();
        first.appendsRefused_ = false;
        site.advance(2s);
        first.appendsRefused_ = true;
        second.announcementsRefused_ = false;
        site.advance(25s);
    }

    SECTION("when the leader between them resigned at once")
    {
        first.appendsRefused_ = true;
        site.advance(1s);
        second.lead();
        site.advance(400ms);
        second.resign();
        site.advance(100ms);
        third.lead();
        site.advance(25s);
    }
    CHECK(site.mostRuns_ == 1);
    CHECK(site.isRunningOn("two"));
}

TEST_CASE("a leader that the store confirms again just in time still renews leases", "[leader]")
{
    // Guards against calls that were neither sent nor answered: their workers were never heard of again, and their runs ended unnoticed.
    std::size_t stillLeading = 0;
    // The fault depends on the times of the renewal and of the checks before the outage.
    for (auto step = 0; step < 10 * 40; ++step) {
        const auto startedAfter = 500ms + step % 10 * 30ms;
        const auto outage = 4'800ms + step / 10 * 10ms;
        INFO("outage after ms: " << startedAfter.count() << " for ms: " << outage.count());
        Site site;
        Leader leader(site, "leader", 1);
        leader.follow();
        site.store_.put(feedStream().topic_, JobFeed::submissionRecord(longJob()));
        site.list("one");
        leader.lead();
        site.advance(startedAfter);
        REQUIRE(site.isRunningOn("one"));
        leader.appendsHeld_ = true;
        site.advance(outage);
        leader.releaseAppends();
        site.advance(8s);
        stillLeading += leader.leads() ? 1 : 0;
        CHECK((!leader.leads() || site.isRunningOn("one")));
    }
    CHECK(stillLeading > 0);
}

TEST_CASE("a run is not started anew within the lease that its new leader requested without an answer", "[leader]")
{
    // Guards against an expiry that is computed from the leader's first renewal although a later one extended the lease.
    Site site;
    Leader first(site, "first", 1);
    first.follow();
    Leader second(site, "second", 2);
    second.follow();
    site.store_.put(feedStream().topic_, JobFeed::submissionRecord(longJob()));
    site.list("one");
    first.lead();
    site.advance(6s);
    REQUIRE(site.isRunningOn("one"));
    first.resign();
    site.advance(100ms);
    site.list("one");
    site.list("two");
    second.answersLost_ = {"one"};
    second.lead();
    site.advance(300ms);

    SECTION("when the list shows a restart that did not happen")
    {
        site.listFalsely("one");
        site.advance(25s);
    }

    SECTION("when the list shows nothing new")
    {
        // After a resignation, only the lease that was requested last has to expire; the request may be executed until its timeout.
        site.advance(6900ms);
        CHECK(site.isRunningOn("two"));
        site.advance(15s);
    }
    CHECK(site.mostRuns_ == 1);
    CHECK(site.isRunningOn("two"));
}

TEST_CASE("a delayed start command of a former leader is refused by a worker that was restarted", "[leader]")
{
    // Guards against a worker that has forgotten its fencing token and that a new leader does not ask, because no record names it.
    SimulatedFleet fleet;
    fleet.addWorkers(1, "zone-1", "r1-1");
    fleet.startLeader();
    const auto restarted = fleet.workerIds().front();
    auto delayed = true;
    fleet.startFault_ = [&delayed](const TaskRef & /*task*/) {
        return std::exchange(delayed, false) ? 2 : 0;
    };
    fleet.work_ = [](const TaskRef & /*task*/) {
        return 10s;
    };
    fleet.submit(makeSubmission(FirstJob.value(), "batch", 1, WholeWorkerTask));
    fleet.advance(100ms);
    fleet.evacuatedZones_ = {"zone-1"};
    fleet.addWorkers(1, "zone-2", "r2-1");
    fleet.advance(900ms);
    REQUIRE(fleet.runningTasks() == 1);
    REQUIRE(fleet.worker(restarted).runs_.empty());
    fleet.restartWorker(restarted);

    SECTION("when the leader is replaced before the command is executed")
    {
        fleet.startLeader();
        fleet.advance(4s);
    }

    SECTION("when the leader remains")
    {
        fleet.advance(4s);
    }
    CHECK(fleet.runningTasks() == 1);
    CHECK(fleet.violations_ == std::vector<std::string>{});
}

TEST_CASE("a run is adopted whose job the feed shows only after leadership has begun", "[leader]")
{
    // Guards against a second run number 1 when a load of the feed, whose pages are not a snapshot, lacks the job.
    Site site;
    Leader first(site, "first", 1);
    first.follow();
    Leader second(site, "second", 2);
    site.store_.put(feedStream().topic_, JobFeed::submissionRecord(longJob()));
    site.list("one");
    first.lead();
    site.advance(500ms);
    REQUIRE(site.isRunningOn("one"));
    first.stop();
    site.list("two");
    second.unreachable_ = {"one"};
    second.lead();
    site.advance(200ms);

    SECTION("when its worker cannot be reached")
    {
        second.follow();
        site.advance(4s);
        CHECK(!site.isRunningOn("two"));
        site.advance(20s);
        CHECK(site.isRunningOn("two"));
    }

    SECTION("when its worker answers")
    {
        second.unreachable_ = {};
        second.follow();
        site.advance(20s);
        CHECK(site.isRunningOn("one"));
        CHECK(!site.isRunningOn("two"));
    }
    SECTION("when the job was cancelled in the meantime")
    {
        // The page with the cancellation comes before that with the submission.
        site.store_.pageSize_ = 1;
        site.store_.put(feedStream().topic_, JobFeed::cancelRecord(FirstJob));
        second.unreachable_ = {};
        second.follow();
        site.advance(20s);
        CHECK(!site.isRunningOn("one"));
        CHECK(!site.isRunningOn("two"));
    }
    CHECK(site.mostRuns_ == 1);
}

TEST_CASE("a job whose cancellation is older than its submission does not run", "[leader]")
{
    // Guards against a job that runs after its caller cancelled it, because the store executes its submission later.
    Site site;
    Leader leader(site, "leader", 1);
    site.list("one");
    site.store_.put(feedStream().topic_, JobFeed::cancelRecord(FirstJob));

    SECTION("when the leader followed the feed before")
    {
        leader.follow();
        leader.lead();
        site.advance(500ms);
        site.store_.put(feedStream().topic_, JobFeed::submissionRecord(longJob()));
        site.advance(5s);
        CHECK(site.mostRuns_ == 0);
    }

    SECTION("when the leader loads the feed after")
    {
        site.store_.put(feedStream().topic_, JobFeed::submissionRecord(longJob()));
        leader.follow();
        leader.lead();
        site.advance(5s);
        CHECK(site.mostRuns_ == 0);
    }

    SECTION("until the time is over for which the state of a job is kept")
    {
        leader.follow();
        leader.lead();
        const auto newestOf = [&site](const std::string &key) {
            std::optional<std::string> value;
            for (const auto &stored : site.store_.log(feedStream().topic_)) {
                value = stored.record_.key_ == key ? stored.record_.value_ : value;
            }
            return value;
        };
        const auto key = JobFeed::cancelRecord(FirstJob).key_;
        site.advance(200s);
        CHECK(newestOf(key).has_value());
        site.advance(70s);
        CHECK_FALSE(newestOf(key).has_value());
    }
}

TEST_CASE("a leader publishes its backlog only with the switch, while a queue must reject, and then once that it ends", "[leader]")
{
    // Guards against records that cost calls to the store, or that outlast the overload.
    Site site;
    QueueConfig batch;
    batch.name_ = "batch";
    batch.pool_ = "pool";
    batch.priority_ = 2;
    batch.maxAttempts_ = 100;
    batch.stretch_ = 3;
    site.config_ = OperatorConfig(1, {batch}, {{"pool", false, false}}, {});
    Leader leader(site, "leader", 1);
    leader.dispatch_.rejectHopeless_ = GENERATE(true, false);
    leader.follow();
    site.list("one");
    site.list("two");
    leader.lead();
    site.advance(500ms);
    const auto published = [&site] {
        std::vector<std::string> values;
        for (const auto &record : site.store_.log(feedStream().topic_)) {
            if (record.record_.key_ == JobFeed::backlogRecord({}).key_) {
                values.push_back(*record.record_.value_);
            }
        }
        return values;
    };
    // A start is of use for 80 s, in which twice the 16 accelerators do 2,560 of the 3,840 accelerator-seconds that wait.
    auto job = makeSubmission(FirstJob.value(), "batch", 400, SmallTask);
    job.plan_.steps_[0].estimate_ = 10s;
    job.acceptedAt_ = site.now_;
    site.store_.put(feedStream().topic_, JobFeed::submissionRecord(job));
    site.advance(5s);
    if (!leader.dispatch_.rejectHopeless_) {
        CHECK(published().empty());
        return;
    }
    const auto records = published();
    CHECK(records.size() >= 2);
    CHECK(records.size() <= 5);
    CHECK(valueOf(decodeBacklog(records.at(0))).queues_.size() == 1);
    site.store_.put(feedStream().topic_, JobFeed::cancelRecord(FirstJob));
    site.advance(1500ms);
    const auto ended = published();
    CHECK(valueOf(decodeBacklog(ended.back())).queues_.empty());
    site.advance(5s);
    CHECK(published() == ended);
}

TEST_CASE("runs on a worker that is lost together with the leader block their tasks for the lease and two seconds at most", "[leader][inherit]")
{
    // Guards against the longest lease of a worker being counted from the last renewal without the store, which no leader asks for (review/6).
    Site site;
    site.dispatch_.maxLease_ = 10s;
    Leader first(site, "first", 1);
    first.follow();
    Leader second(site, "second", 2);
    second.follow();
    site.store_.put(feedStream().topic_, JobFeed::submissionRecord(longJob()));
    site.list("one");
    first.lead();
    site.advance(3s);
    REQUIRE(site.isRunningOn("one"));
    site.list("two");
    second.unreachable_ = {"one"};

    SECTION("when the leader is lost")
    {
        first.stop();
        site.advance(1100ms);
        second.lead();
        site.advance(12s);
    }

    SECTION("when the leader still renews the lease, as the store answers it no more")
    {
        // The lease lasts until 6 s after the last renewal, which is sent within 5 s of the last answer.
        first.appendsRefused_ = true;
        site.advance(1100ms);
        second.lead();
        site.advance(5s);
        CHECK(site.isRunningOn("one"));
        site.advance(7s);
    }
    CHECK(site.isRunningOn("two"));
    CHECK(site.mostRuns_ == 1);
}

TEST_CASE("no start command is sent long after the store last confirmed the leader", "[leader][inherit]")
{
    // Guards the successor's assumption: a start command, which another incarnation may take for the longest lease, is not sent that late.
    Site site;
    site.dispatch_.maxLease_ = 10s;
    Leader first(site, "first", 1);
    first.follow();
    site.store_.put(feedStream().topic_, JobFeed::submissionRecord(longJob()));
    first.lead();
    site.advance(1s);
    // Only renewals of the leadership are refused, so that the record of the run is stored.
    first.renewalsRefused_ = true;
    site.advance(1600ms);
    site.list("one");
    site.advance(1s);
    CHECK(!site.isRunningOn("one"));
    first.renewalsRefused_ = false;
    site.advance(2s);
    CHECK(site.isRunningOn("one"));
}
