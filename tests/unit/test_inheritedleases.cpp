#include "marjoramfold/dispatch/inheritedleases.h"
#include "marjoramfold/store/recordcodec.h"
#include "tests/support/leadersite.h"
#include "tests/support/simulatedfleet.h"

#include <catch2/catch.hpp>
#include <cereal/types/string.hpp>

#include <memory>
#include <vector>

using namespace Marjoramfold;
using namespace Marjoramfold::Test;
using namespace std::chrono_literals;

namespace
{
/// Time in which a new leader begins after the former one was lost.
constexpr auto Succession = 1100ms;

auto service() -> Submission
{
    auto submission = makeSubmission(FirstJob.value(), "batch", 1, SmallTask);
    // Runs of a service are not stopped for missing progress.
    submission.plan_.steps_[0].service_ = true;
    return submission;
}

/// Leaders in turn, and a run on worker "one" that only worker "two" can take over.
struct Succeeded {
    explicit Succeeded(std::chrono::milliseconds maxLease)
    {
        site_.dispatch_.maxLease_ = maxLease;
        first_ = add("first", 1);
        second_ = add("second", 2);
        third_ = add("third", 3);
        site_.store_.put(feedStream().topic_, JobFeed::submissionRecord(service()));
        site_.list("one");
        first_->lead();
        site_.advance(3s);
        REQUIRE(site_.isRunningOn("one"));
        site_.list("two");
        site_.advance(100ms);
    }

    auto add(const std::string &name, std::uint64_t process) -> std::unique_ptr<Leader>
    {
        auto leader = std::make_unique<Leader>(site_, name, process);
        leader->follow();
        return leader;
    }

    /// Cuts worker "one" off from all leaders but one, or from all.
    auto loseWorker(const Leader *reaching = nullptr) -> void
    {
        for (auto *leader : {first_.get(), second_.get(), third_.get()}) {
            if (leader != reaching) {
                leader->unreachable_ = {"one"};
            }
        }
    }

    /// The store answers a renewal of the first leader late, and the next one at once.
    auto answerSlowly() -> void
    {
        first_->appendsHeld_ = true;
        site_.advance(500ms);
        first_->releaseAppends();
        site_.advance(500ms);
    }

    auto reachWorker() -> void
    {
        for (auto *leader : {first_.get(), second_.get(), third_.get()}) {
            leader->unreachable_.clear();
        }
    }

    Site site_;
    std::unique_ptr<Leader> first_;
    std::unique_ptr<Leader> second_;
    std::unique_ptr<Leader> third_;
};
} // namespace

TEST_CASE("a run on a worker that is lost with the leader starts elsewhere within the lease and two seconds", "[leader][inherit]")
{
    // Guards against successors that assume the longest lease, or renewals long after the leader was lost (review/6).
    const auto maxLease = GENERATE(6s, 10s);
    Succeeded fleet(maxLease);
    auto &site = fleet.site_;
    const auto bound = site.dispatch_.requestedLease_ + 2s;

    SECTION("when both are lost at once")
    {
        fleet.loseWorker();
        fleet.first_->stop();
        site.advance(Succession);
        fleet.second_->lead();
        site.advance(bound);
    }

    SECTION("when the worker is lost while the leader can only reach it, and not the store")
    {
        fleet.loseWorker(fleet.first_.get());
        fleet.first_->appendsRefused_ = true;
        site.advance(Succession);
        fleet.second_->lead();
        site.advance(bound);
    }

    SECTION("when the worker is lost first")
    {
        fleet.loseWorker();
        site.advance(3s);
        fleet.first_->stop();
        site.advance(Succession);
        fleet.second_->lead();
        // The wait goes on where the former leader's ended.
        site.advance(bound - 3s);
    }

    SECTION("when the successor is lost as well")
    {
        fleet.loseWorker();
        fleet.first_->stop();
        site.advance(Succession);
        fleet.second_->lead();
        site.advance(2s);
        fleet.second_->stop();
        site.advance(Succession);
        fleet.third_->lead();
        site.advance(bound - 2s - Succession);
    }
    CHECK(site.isRunningOn("two"));
    CHECK(site.mostRuns_ == 1);
}

TEST_CASE("a run on a worker that only a former leader reaches keeps its task until its lease has ended", "[leader][inherit]")
{
    // Guards the shorter wait: a successor must not start the task while the worker may still run it.
    const auto maxLease = GENERATE(6s, 10s);
    Succeeded fleet(maxLease);
    auto &site = fleet.site_;

    SECTION("when the former leader renews the lease without the store for as long as it may")
    {
        fleet.loseWorker(fleet.first_.get());
        fleet.first_->appendsRefused_ = true;
        site.advance(Succession);
        fleet.second_->lead();
        site.advance(6s);
        CHECK(site.isRunningOn("one"));
    }

    SECTION("when the former leader renews the lease for longer, as the store was slow before")
    {
        fleet.answerSlowly();
        fleet.loseWorker(fleet.first_.get());
        fleet.first_->appendsRefused_ = true;
        site.advance(Succession);
        fleet.second_->lead();
        site.advance(9s);
        CHECK(site.isRunningOn("one"));
    }

    SECTION("when a silent worker answers the former leader again, which the store does not confirm any more")
    {
        fleet.loseWorker();
        site.advance(2s);
        fleet.reachWorker();
        fleet.loseWorker(fleet.first_.get());
        fleet.first_->appendsRefused_ = true;
        site.advance(Succession);
        fleet.second_->lead();
    }

    SECTION("when a silent worker answers again and the store confirms it")
    {
        fleet.loseWorker();
        site.advance(2s);
        fleet.reachWorker();
        site.advance(10s);
        CHECK(site.isRunningOn("one"));
        fleet.loseWorker(fleet.first_.get());
        fleet.first_->appendsRefused_ = true;
        site.advance(Succession);
        fleet.second_->lead();
    }

    SECTION("when the successor reaches the worker for a moment and is lost")
    {
        fleet.first_->stop();
        site.advance(Succession);
        fleet.second_->lead();
        site.advance(1s);
        fleet.loseWorker(fleet.second_.get());
        fleet.second_->appendsRefused_ = true;
        site.advance(Succession);
        fleet.third_->lead();
    }

    SECTION("when commands of its successors arrive and the answers are lost")
    {
        fleet.second_->answersLost_ = {"one"};
        fleet.third_->answersLost_ = {"one"};
        fleet.first_->stop();
        site.advance(Succession);
        fleet.second_->lead();
        site.advance(2s);
        fleet.second_->stop();
        site.advance(Succession);
        site.list("one");
        fleet.third_->lead();
    }
    site.advance(20s);
    CHECK(site.isRunningOn("two"));
    CHECK(site.mostRuns_ == 1);
}

TEST_CASE("leases outlast a store that is slow and then answers nothing", "[leader][inherit]")
{
    // Guards against the work of a whole fleet that ends because its leader hears late from an overloaded store.
    Succeeded fleet(10s);
    fleet.answerSlowly();
    fleet.first_->appendsRefused_ = true;
    fleet.site_.advance(10s);
    CHECK(fleet.site_.isRunningOn("one"));
}

TEST_CASE("leases outlast a long outage of the store", "[leader][inherit]")
{
    // Guards against a wait that is short because a whole fleet loses its work with the store.
    Succeeded fleet(10s);
    fleet.first_->appendsRefused_ = true;
    fleet.second_->appendsRefused_ = true;
    fleet.site_.advance(6700ms);
    fleet.first_->appendsRefused_ = false;
    fleet.second_->appendsRefused_ = false;
    if (!fleet.first_->leads()) {
        fleet.second_->lead();
    }
    fleet.site_.advance(3s);
    CHECK(fleet.site_.isRunningOn("one"));
}

TEST_CASE("inherited leases are limited by what the former leader stated", "[dispatch][inherit]")
{
    // Guards against a statement that is used for a run or a worker which it does not cover.
    const DispatchOptions options = [] {
        DispatchOptions limits;
        limits.maxLease_ = 10s;
        return limits;
    }();
    const WorkerId worker("w2");
    WorkerRun run;
    run.recordedAt_ = 4;
    FormerCommands former{BootTime(102s), BootTime(101500ms), nullptr, BootTime(100s)};
    const auto stated = [&](std::uint64_t recordedBefore, std::vector<WorkerId> unreported, std::vector<SilentLease> silent) {
        former.statement_ = std::make_shared<const LeaseStatement>(LeaseStatement{2s, recordedBefore, std::move(unreported), std::move(silent)});
    };
    InheritedLeases leases(options);
    CHECK(!leases.endOf(worker, run));

    SECTION("by the longest lease")
    {
        SECTION("without a statement") {}

        SECTION("for a run that was recorded later")
        {
            stated(4, {}, {});
        }

        SECTION("for a worker with a run that it has not reported")
        {
            stated(5, {WorkerId("w1"), worker}, {});
        }

        leases.setFormerCommands(former);
        CHECK(leases.boundOf(worker, run) == LeaseBound::Longest);
        CHECK(*leases.endOf(worker, run) >= BootTime(101500ms) + options.maxLease_ * 1.02);
        CHECK(leases.longestGrant(worker, run) == options.maxLease_);
    }

    SECTION("by the requested lease for a run that its worker had reported")
    {
        stated(5, {WorkerId("w1")}, {{WorkerId("w3"), 1s}});
        leases.setFormerCommands(former);
        CHECK(leases.boundOf(worker, run) == LeaseBound::Requested);
        CHECK(*leases.endOf(worker, run) >= BootTime(102s) + options.requestedLease_ * 1.02);
        CHECK(*leases.endOf(worker, run) < BootTime(102s) + options.requestedLease_ + 1500ms);
    }

    SECTION("by the rest of the lease of a silent worker")
    {
        stated(5, {}, {{WorkerId("w1"), 1s}, {worker, 2500ms}});

        SECTION("when the statement is the last one")
        {
            leases.setFormerCommands(former);
            CHECK(leases.endOf(worker, run) == BootTime(102500ms));
        }

        SECTION("but not when a later one may exist")
        {
            former.statedAt_.reset();
            leases.setFormerCommands(former);
            CHECK(leases.boundOf(worker, run) == LeaseBound::Requested);
        }
    }
}

TEST_CASE("a statement of leases is stored with the leader's renewal", "[feed][inherit]")
{
    // Guards against a statement that is taken from another leader, or that stops a version without statements.
    JobFeed feed;
    std::uint64_t offset = 0;
    const auto apply = [&](const KeyedRecord &record) {
        feed.apply({{offset++, record}});
    };
    apply(JobFeed::leadershipRecord({LeadershipAction::Claim, 0, "first", 1, 1}));
    const auto statement = std::make_shared<const LeaseStatement>(LeaseStatement{2s, 7, {WorkerId("w1")}, {{WorkerId("w2"), 1s}}});
    const auto renewal = JobFeed::leadershipRecord({LeadershipAction::Renew, 1, "first", 1, 0, statement});
    apply(renewal);

    SECTION("it belongs to the view of its leader")
    {
        REQUIRE(feed.leader().statement_);
        CHECK(feed.leader().statement_->recordedBefore_ == 7);
        CHECK(feed.leader().statement_->findSilent(WorkerId("w2"))->leaseLeft_ == 1s);
        apply(JobFeed::leadershipRecord({LeadershipAction::Resign, 1, "first", 1, 0}));
        CHECK(feed.leader().statement_);
        apply(JobFeed::leadershipRecord({LeadershipAction::Claim, 1, "second", 2, 1}));
        CHECK(!feed.leader().statement_);
        CHECK(feed.predecessor().statement_);
        apply(JobFeed::leadershipRecord({LeadershipAction::Renew, 5, "second", 2, 0}));
        CHECK(!feed.leader().statement_);
    }

    SECTION("a version without statements reads the renewal")
    {
        CHECK(isOk(decodeRecordValue<LeadershipRecord>(*renewal.value_)));
    }

    SECTION("a renewal with an unreadable statement still counts")
    {
        auto cut = renewal;
        cut.value_->resize(cut.value_->size() - 3);
        JobFeed other;
        other.apply({{0, JobFeed::leadershipRecord({LeadershipAction::Claim, 0, "first", 1, 1})}, {1, cut}});
        CHECK(other.leader().firstRenewalAt_);
        CHECK(!other.leader().statement_);
    }
}
