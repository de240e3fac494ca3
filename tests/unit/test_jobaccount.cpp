#include "marjoramfold/accounting/accountbuilder.h"

#include <catch2/catch.hpp>

#include <random>
#include <sstream>

using namespace Marjoramfold;
using namespace std::chrono_literals;

namespace
{
/// A line at a time in milliseconds after a full minute, as a log collector writes it with the time and the instance.
auto line(int atMs, const std::string &text, const std::string &instance = "i1") -> std::string
{
    std::ostringstream out;
    out << "  " << atMs / 1000.0 << ' ' << instance << " 2026-03-27T21:53:00.000+00:00 I " << text;
    return out.str();
}

auto placed(const std::string &job, const std::string &rest) -> std::string
{
    return "step_placed job_id=" + job + " occurrence=0 step=0 milli_cores=2000 accelerators=1 tasks=1 first_worker=w1 " + rest;
}

auto waits(const std::string &job, const std::string &rest) -> std::string
{
    return "step_waits job_id=" + job + " occurrence=0 step=0 queue=q " + rest;
}

auto run(const std::string &event, const std::string &job, int task, const std::string &rest = "") -> std::string
{
    return event + " job_id=" + job + " task=" + job + "/0/0/" + std::to_string(task) + " run=1 worker=w" + std::to_string(task + 1) + " " + rest;
}

auto accountOf(const std::vector<std::string> &lines) -> Account
{
    AccountBuilder builder;
    for (const auto &text : lines) {
        builder.addLine(text);
    }
    return builder.finish();
}

/// Totals of all entries with a cause.
auto totalsOf(const Account &account, AccountCause cause) -> AccountTotals
{
    AccountTotals totals;
    for (const auto &entry : account.entries_) {
        if (entry.cause_ == cause) {
            totals += entry.totals_;
        }
    }
    return totals;
}
} // namespace

TEST_CASE("a log line is parsed into time, instance, event and fields", "[accounting]")
{
    SECTION("with a time and an instance in front")
    {
        const auto event = LogEvent::parse(R"( -13.5 i-1 2026-03-27T21:53:29.250+01:30 W run_ended job_id=a reason="say \"no\"\n\x41" n=7)");
        REQUIRE(event);
        CHECK(event->name() == "run_ended");
        CHECK(event->instance() == "i-1");
        CHECK(event->prefixTime() == -13500ms);
        CHECK(event->text("reason") == "say \"no\"\nA");
        CHECK(event->count("n") == 7);
        CHECK(event->text("missing").empty());
        // The offset is subtracted, so that instances with other time zones are in one order.
        CHECK(event->wallTime() == LogEvent::parse("2026-03-27T20:23:29.250+00:00 I x")->wallTime());
    }
    SECTION("without a prefix, with an instance only, and with a time only")
    {
        CHECK(LogEvent::parse("2026-03-27T21:53:29.250+00:00 I x")->instance().empty());
        CHECK(LogEvent::parse("node 2026-03-27T21:53:29.250+00:00 I x")->instance() == "node");
        CHECK_FALSE(LogEvent::parse("node 2026-03-27T21:53:29.250+00:00 I x")->prefixTime());
        CHECK(LogEvent::parse("1.5 2026-03-27T21:53:29.250+00:00 I x")->instance().empty());
    }
    SECTION("numbers out of range are no counts")
    {
        for (const auto *value : {"-1", "99999999999999999999", "1e5", "nan", "", "5x"}) {
            CHECK_FALSE(LogEvent::parse("2026-03-27T21:53:29.250+00:00 I x n=" + std::string(value))->count("n"));
        }
        CHECK_FALSE(LogEvent::parse("1e300 i 2026-03-27T21:53:29.250+00:00 I x")->prefixTime());
        CHECK_FALSE(LogEvent::parse("nan i 2026-03-27T21:53:29.250+00:00 I x")->prefixTime());
    }
    SECTION("other text is refused")
    {
        const auto text = GENERATE(as<std::string>(),
                                   "",
                                   "snapshot 6d6946a1",
                                   "2026-03-27T21:53:29.250+00:00",
                                   "2026-03-27T21:53:29.250+00:00 I",
                                   "2026-03-27T21:53:29.250+00:00 X x",
                                   "2026-13-27T21:53:29.250+00:00 I x",
                                   "2026-03-27T21:53:29.250+00:00 I x reason=\"cut of",
                                   "2026-03-27T21:53:29.250+00:00 I x word",
                                   "2026-03-27T21:53:29.250+00:00 I \xff\xfe",
                                   std::string("\0\0\0", 3));
        CHECK_FALSE(LogEvent::parse(text));
        CHECK_FALSE(LogEvent::parse("2026-03-27T21:53:29.250+00:00 I x a=" + std::string(LogEvent::MaxLineBytes, 'a')));
    }
}

TEST_CASE("an account names what a step waited for", "[accounting]")
{
    SECTION("the cause of the last line holds until the placement, and no time counts twice")
    {
        const auto account = accountOf({line(0, "call_answered job_id=a call=submit outcome=ok"),
                                        line(2100, waits("a", "waited_ms=2000 held_by=no_room suitable=5 with_room=0")),
                                        line(7100, waits("a", "waited_ms=7000 held_by=reservation+locality")),
                                        line(8100, placed("a", "waited_ms=8000 queue=q lateness=1"))});
        CHECK(totalsOf(account, AccountCause::NoCapacity).waited_ == 2000ms);
        CHECK(totalsOf(account, AccountCause::Reservation).waited_ == 6000ms);
        CHECK(account.jobs_.at("a").totals_.waited_ == 8000ms);
    }
    SECTION("free workers that are too few or do not suit are capacity of the wrong shape")
    {
        const auto account = accountOf({line(0, "call_answered job_id=a call=submit outcome=ok"),
                                        line(2000, waits("a", "waited_ms=2000 held_by=no_room suitable=5 with_room=3")),
                                        line(2000, waits("b", "waited_ms=1500 held_by=no_room suitable=0 with_room=0")),
                                        line(2000, waits("c", "waited_ms=1000 held_by=locality with_room=3"))});
        CHECK(totalsOf(account, AccountCause::WrongShape).waited_ == 3500ms);
        CHECK(totalsOf(account, AccountCause::Rack).waited_ == 1000ms);
    }
    SECTION("a short wait without a line is reported as such, and so is the time until the run began")
    {
        const auto account =
            accountOf({line(0, "call_answered job_id=a call=submit outcome=ok"), line(500, placed("a", "waited_ms=400")), line(530, run("run_began", "a", 0))});
        CHECK(totalsOf(account, AccountCause::NotLogged).waited_ == 400ms);
        CHECK(totalsOf(account, AccountCause::Start).waited_ == 30ms);
    }
    SECTION("a step of an unfinished job waits until the end of the log")
    {
        const auto account = accountOf({line(0, "call_answered job_id=a call=submit outcome=ok"),
                                        line(2000, waits("a", "waited_ms=2000 held_by=idle_reserve")),
                                        line(9000, "job_phase job_id=b queue=q phase=2 age_ms=5")});
        CHECK(totalsOf(account, AccountCause::IdleReserve).waited_ == 9000ms);
    }
    SECTION("a waited time from before the log does not count beyond its start")
    {
        const auto account =
            accountOf({line(0, "job_phase job_id=b queue=q phase=1 age_ms=5"), line(2000, waits("a", "waited_ms=4398046511104 held_by=locality"))});
        CHECK(totalsOf(account, AccountCause::Rack).waited_ == 2000ms);
    }
}

TEST_CASE("time without a leader or the store is told apart from time without capacity", "[accounting]")
{
    SECTION("a leader that was killed writes no line; the claim of its successor says since when it was silent")
    {
        const auto account = accountOf({line(0, "leadership_begun epoch=1", "i1"),
                                        line(1000, "call_answered job_id=a call=submit outcome=ok", "i3"),
                                        line(2000, "leadership_claimed after_epoch=1 silent_ms=1100", "i3"),
                                        line(2010, "leadership_claimed after_epoch=1 silent_ms=1110", "i2"),
                                        line(2200, "leadership_begun epoch=2", "i2"),
                                        line(2700, placed("a", "waited_ms=400"), "i2")});
        CHECK(totalsOf(account, AccountCause::Leader).waited_ == 1200ms);
        CHECK(totalsOf(account, AccountCause::NotLogged).waited_ == 400ms);
    }
    SECTION("the first leader of a log is no outage, and neither is a claim that fails")
    {
        const auto account = accountOf({line(0, "call_answered job_id=a call=submit outcome=ok"),
                                        line(500, "leadership_claimed after_epoch=0 silent_ms=99999999", "i1"),
                                        line(600, "leadership_begun epoch=1", "i1"),
                                        line(700, "leadership_claimed after_epoch=0 silent_ms=99999999", "i2"),
                                        line(3000, placed("a", "waited_ms=0"), "i1")});
        CHECK(account.entries_.empty());
    }
    SECTION("the leader's own reads count; those of other instances do not")
    {
        const auto account = accountOf({line(0, "leadership_begun epoch=1", "i1"),
                                        line(100, "call_answered job_id=a call=submit outcome=ok"),
                                        line(200, "stream_lost topic=feed", "i1"),
                                        line(300, "stream_lost topic=op", "i1"),
                                        line(300, "stream_lost topic=feed", "i2"),
                                        line(400, "stream_regained topic=feed", "i1"),
                                        line(900, "stream_regained topic=op", "i1"),
                                        line(2000, placed("a", "waited_ms=0"), "i1")});
        CHECK(totalsOf(account, AccountCause::Store).waited_ == 700ms);
    }
}

TEST_CASE("an account names why work was lost, and how much", "[accounting]")
{
    // 2 cores and an accelerator that counts as 8.
    constexpr auto Cores = 10.0;
    SECTION("a preempted run, with the queue and team of the job for which it was stopped")
    {
        const auto account = accountOf({line(0, placed("a", "waited_ms=0 queue=bulk")),
                                        line(0, placed("u", "waited_ms=0 queue=urgent")),
                                        line(1000, run("run_preempted", "a", 0, "priority=2 team=t for_job=u for_team=s")),
                                        line(1100, run("run_ended", "a", 0, "how=stopped ran_ms=900"))});
        REQUIRE(account.entries_.size() == 1);
        CHECK(account.entries_[0].cause_ == AccountCause::Preempted);
        CHECK(account.entries_[0].forQueue_ == "urgent");
        CHECK(account.entries_[0].totals_.lost_ == Approx(0.9 * Cores));
        CHECK(account.jobs_.at("a").team_ == "t");
        CHECK(account.jobs_.at("a").priority_ == 2);
        CHECK(account.jobs_.at("u").team_ == "s");
    }
    SECTION("a run of priority 0 is stopped for a guarantee")
    {
        const auto account = accountOf({line(0, placed("a", "waited_ms=0 queue=urgent")),
                                        line(1000, run("run_preempted", "a", 0, "priority=0 team=t for_job=u for_team=s")),
                                        line(1100, run("run_ended", "a", 0, "how=stopped ran_ms=900"))});
        CHECK(totalsOf(account, AccountCause::Reclaimed).lost_ == Approx(0.9 * Cores));
    }
    SECTION("a stopped run that saves its work loses nothing, a broken one does")
    {
        const auto account = accountOf({line(0, placed("a", "waited_ms=0 saves=true")),
                                        line(1000, run("run_moved", "a", 0)),
                                        line(1100, run("run_ended", "a", 0, "how=stopped ran_ms=900")),
                                        line(1100, run("run_ended", "a", 1, "how=broken ran_ms=800"))});
        const auto totals = totalsOf(account, AccountCause::DepartingWorker);
        CHECK(totals.saved_ == Approx(0.9 * Cores));
        CHECK(totals.lost_ == Approx(0.8 * Cores));
    }
    SECTION("all members of a gang have the reason and the worker of the first one")
    {
        const auto account = accountOf({line(0, placed("a", "waited_ms=0 gang=true")),
                                        line(1000, run("run_ended", "a", 3, "how=lapsed ran_ms=700")),
                                        line(1050, run("gang_waits_for_member", "a", 1)),
                                        line(1100, run("run_ended", "a", 0, "how=broken ran_ms=900")),
                                        line(1100, run("run_ended", "a", 1, "how=stopped ran_ms=900"))});
        CHECK(totalsOf(account, AccountCause::UnreachableWorker).lost_ == Approx(2.5 * Cores));
        CHECK(sumBy(account,
                    account.entries_,
                    [](const AccountEntry &entry, const AccountedJob &) {
                        return entry.worker_;
                    })
                  .front()
                  .key_
              == "w4");
    }
    SECTION("a failed run, a cancelled job, and a stop without a reason")
    {
        const auto account = accountOf({line(0, placed("a", "waited_ms=0")),
                                        line(0, placed("b", "waited_ms=0")),
                                        line(1000, run("run_ended", "a", 0, "how=failed ran_ms=100")),
                                        line(1000, run("run_ended", "a", 1, "how=stopped ran_ms=200")),
                                        line(1000, "job_runs_stopped job_id=b runs=1 reason=\"the job was cancelled\""),
                                        line(1000, run("run_ended", "b", 0, "how=stopped ran_ms=300"))});
        CHECK(totalsOf(account, AccountCause::Failed).lost_ == Approx(0.1 * Cores));
        CHECK(totalsOf(account, AccountCause::Stopped).lost_ == Approx(0.2 * Cores));
        CHECK(totalsOf(account, AccountCause::Cancelled).lost_ == Approx(0.3 * Cores));
    }
    SECTION("an end that is reported again counts once, and not at all if the run was completed")
    {
        const auto lapsed = line(1000, run("run_ended", "a", 0, "how=lapsed ran_ms=500"));
        const auto again = line(1000, run("run_ended", "a", 1, "how=lapsed ran_ms=400"));
        const auto account =
            accountOf({line(0, placed("a", "waited_ms=0")), lapsed, again, again, line(2000, run("run_ended", "a", 0, "how=done ran_ms=900"))});
        CHECK(totalsOf(account, AccountCause::UnreachableWorker).lost_ == Approx(0.4 * Cores));
    }
    SECTION("what is missing is counted: ends, sizes and dropped lines")
    {
        const auto account = accountOf({line(0, run("run_began", "a", 0)),
                                        line(1000, run("run_ended", "b", 0, "how=stopped ran_ms=500")),
                                        line(1000, "lines_dropped event=run_ended lines=20"),
                                        line(2000, "lines_dropped event=run_ended lines=3")});
        CHECK(account.runsWithoutEnd_ == 1);
        CHECK(account.runsWithoutSize_ == 1);
        CHECK(account.droppedLines_.at("run_ended") == 23);
    }
}

TEST_CASE("jobs are late by their objective, and the largest sums come first", "[accounting]")
{
    const auto account = accountOf({line(0, placed("a", "waited_ms=0 queue=q")),
                                    line(0, placed("b", "waited_ms=0 queue=q")),
                                    line(0, placed("f", "waited_ms=0 queue=r")),
                                    line(0, placed("old", "waited_ms=0 queue=r lateness=1")),
                                    line(500, run("run_ended", "a", 0, "how=failed ran_ms=100")),
                                    line(500, run("run_ended", "f", 0, "how=failed ran_ms=300")),
                                    line(900, "call_answered job_id=x call=submit outcome=log_unavailable"),
                                    line(1000, "job_phase job_id=a queue=q phase=2 age_ms=3000 team=t priority=1 objective_ms=2999"),
                                    line(1000, "job_phase job_id=b queue=q phase=2 age_ms=3000 team=t priority=1 objective_ms=3000"),
                                    line(1000, "job_phase job_id=c queue=q phase=4 age_ms=3000"),
                                    line(1000, "job_phase job_id=f queue=r phase=3 age_ms=3000"),
                                    line(1000, "job_phase job_id=old queue=r phase=2 age_ms=10")});
    SECTION("a job counts as late from its objective on; without one, by its placement")
    {
        CHECK(account.jobs_.at("a").outcome_ == AccountedOutcome::Late);
        CHECK(account.jobs_.at("b").outcome_ == AccountedOutcome::OnTime);
        CHECK(account.jobs_.at("c").outcome_ == AccountedOutcome::Cancelled);
        CHECK(account.jobs_.at("old").outcome_ == AccountedOutcome::Late);
        CHECK(account.jobsWithoutObjective_ == 1);
    }
    SECTION("missed jobs are in the order of their losses, and a rejected submission is no job")
    {
        std::vector<std::string> ids;
        for (const auto *job : missedJobs(account)) {
            ids.push_back(job->id_);
        }
        CHECK(ids == std::vector<std::string>{"f", "a", "old"});
        CHECK(account.rejectedSubmissions_.at("log_unavailable") == 1);
    }
    SECTION("sums by queue")
    {
        const auto sums = sumBy(account, account.entries_, [](const AccountEntry &, const AccountedJob &job) {
            return job.queue_;
        });
        REQUIRE(sums.size() == 2);
        CHECK(sums[0].key_ == "r");
        CHECK(sums[0].totals_.lost_ == Approx(3.0));
        CHECK(sums[1].jobs_ == 1);
        CHECK(sums[1].largestCause_ == AccountCause::Failed);
    }
}

TEST_CASE("lines of any form are counted and never end the account", "[accounting]")
{
    SECTION("unreadable lines and events without their fields are counted, empty lines are not")
    {
        const auto account = accountOf({"", "  ", "snapshot", line(0, "run_ended"), line(0, "step_placed job_id=a"), line(0, "instance_ready")});
        CHECK(account.lines_ == 4);
        CHECK(account.unreadableLines_ == 3);
    }
    SECTION("tasks with other job IDs, missing numbers and huge numbers")
    {
        const auto account = accountOf({line(0, "run_began job_id=a task=b/0/0/0 run=1"),
                                        line(0, "run_began job_id=a task=a/0/0 run=1"),
                                        line(0, "run_began job_id=a task=a/0/0/99999999999999999999 run=1"),
                                        line(0, "run_began job_id=a task=a/0/0/-1 run=1")});
        CHECK(account.unreadableLines_ == 4);
    }
    SECTION("random changes of a log")
    {
        // Guards against a crash or an assertion on logs that are cut off, mixed up or damaged.
        const std::vector<std::string> lines{line(0, "leadership_begun epoch=1"),
                                             line(100, "call_answered job_id=a call=submit outcome=ok"),
                                             line(2100, waits("a", "waited_ms=2000 held_by=no_room suitable=5 with_room=0")),
                                             line(2200, placed("a", "waited_ms=2100 queue=q gang=true")),
                                             line(2300, run("run_began", "a", 0)),
                                             line(2400, run("run_preempted", "a", 0, "priority=1 team=t for_job=u for_team=s")),
                                             line(2500, run("run_ended", "a", 0, "how=stopped ran_ms=100 reason=\"x\"")),
                                             line(2600, "job_phase job_id=a queue=q phase=2 age_ms=2500")};
        std::mt19937_64 random(5);
        for (int round = 0; round < 500; ++round) {
            AccountBuilder builder;
            for (auto text : lines) {
                for (auto changes = random() % 4; changes > 0 && !text.empty(); --changes) {
                    text[random() % text.size()] = static_cast<char>(random());
                }
                builder.addLine(text);
            }
            const auto account = builder.finish();
            CHECK(account.unreadableLines_ <= account.lines_);
        }
    }
}
