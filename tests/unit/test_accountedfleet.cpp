#include "marjoramfold/accounting/accountbuilder.h"
#include "marjoramfold/observability/logline.h"
#include "tests/support/simulatedfleet.h"

#include <catch2/catch.hpp>

using namespace Marjoramfold;
using namespace Marjoramfold::Test;
using namespace std::chrono_literals;

TEST_CASE("the account reads the lines that the scheduler writes", "[accounting][dispatch]")
{
    // Guards against a log field that is renamed or left out in the scheduler, so that the account silently finds nothing.
    const JobId failing("00000000000000a1");
    AccountBuilder builder;
    SimulatedFleet fleet;
    setLogOutput([&](LogSeverity, const std::string &, const std::string &line) {
        builder.addLine(std::to_string(static_cast<double>(fleet.now().count()) / 1000.0) + " i1 2026-03-27T21:53:00.000+00:00 I " + line);
    });
    fleet.addWorkers(4, "zone-1", "r1-1");
    fleet.startLeader();
    int failures = 1;
    fleet.fails_ = [&failures](const TaskRef &) {
        return failures-- > 0;
    };
    fleet.submit(makeSubmission(failing.value(), "batch", 1, WholeWorkerTask));
    fleet.advance(20s);
    setLogOutput({});
    const auto account = builder.finish();

    CHECK(account.unreadableLines_ == 0);
    const auto &job = account.jobs_.at(failing.value());
    CHECK(job.queue_ == "batch");
    CHECK(job.team_ == "team");
    CHECK(job.priority_ == fleet.config_.queueNamed("batch")->priority_);
    REQUIRE(job.objective_);
    CHECK(*job.objective_ > 0ms);
    CHECK(job.outcome_ != AccountedOutcome::Unfinished);
    REQUIRE(job.totals_.lost_ > 0);
    const auto lost = std::find_if(account.entries_.begin(), account.entries_.end(), [](const AccountEntry &entry) {
        return entry.totals_.lost_ > 0;
    });
    CHECK(lost->cause_ == AccountCause::Failed);
    CHECK_FALSE(lost->worker_.empty());
}
