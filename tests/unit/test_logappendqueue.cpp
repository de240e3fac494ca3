#include "marjoramfold/log/appendqueue.h"
#include "tests/support/memorylog.h"

#include <catch2/catch.hpp>

#include <map>
#include <set>

using namespace Marjoramfold;

namespace
{
using std::chrono::milliseconds;
using std::chrono::seconds;

auto recordOf(const std::string &id) -> Record
{
    return JobCancelledRecord{RecordId(id), JobId("j"), ""};
}

auto fastOptions() -> AppendQueueOptions
{
    AppendQueueOptions options;
    options.maxBatchDelay_ = milliseconds(1);
    options.backoff_ = {milliseconds(1), milliseconds(3)};
    return options;
}

/// Offsets of each id in the log, in order.
auto offsetsById(MemoryLog &log) -> std::map<std::string, std::vector<Offset>>
{
    std::map<std::string, std::vector<Offset>> offsets;
    const auto page = log.log_.read("control", 0, 1'000'000, WallTime());
    for (const auto *record : valueOf(page).records_) {
        offsets[nlohmann::json::parse(record->body_)["id"].get<std::string>()].push_back(record->offset_);
    }
    return offsets;
}
} // namespace

SCENARIO("records are appended in batches and in order", "[log][appendqueue]")
{
    asio::io_context context;
    MemoryLog log(context);
    AppendQueue queue(context, log, systemClock(), fastOptions());
    std::vector<Offset> offsets;
    for (auto i = 0; i < 130; ++i) {
        queue.append(recordOf(std::to_string(i)), seconds(10), [&](const AppendReport &report) {
            CHECK(report.outcome_ == AppendOutcome::Appended);
            offsets.push_back(report.offset_);
        });
    }
    CHECK(offsets.empty());
    context.run_for(seconds(10));
    REQUIRE(offsets.size() == 130);
    for (Offset i = 0; i < 130; ++i) {
        CHECK(offsets[i] == i + 1);
        CHECK(offsetsById(log)[std::to_string(i)] == std::vector{i + 1});
    }
    // 64 + 64 + 2 records.
    CHECK(log.appends_ == 3);
    CHECK(queue.pending() == 0);
}

SCENARIO("a record that was never appended is reported as not appended when its timeout expires", "[log][appendqueue]")
{
    asio::io_context context;
    MemoryLog log(context);
    log.outage_ = true;
    AppendQueue queue(context, log, systemClock(), fastOptions());
    std::vector<AppendReport> reports;
    const auto keep = [&](const AppendReport &report) {
        reports.push_back(report);
    };
    queue.append(recordOf("a"), milliseconds(20), keep);
    queue.append(recordOf("b"), seconds(10), keep);
    context.run_for(milliseconds(200));
    REQUIRE(reports.size() == 1);
    CHECK(reports[0].outcome_ == AppendOutcome::NotAppended);
    CHECK(reports[0].error_.kind_ == ErrorKind::LogUnavailable);
    CHECK(reports[0].error_.retryAfter_);
    WHEN("the log returns")
    {
        log.outage_ = false;
        context.restart();
        context.run_for(milliseconds(200));
        THEN("only the record whose timeout has not expired is appended")
        {
            REQUIRE(reports.size() == 2);
            CHECK(reports[1].outcome_ == AppendOutcome::Appended);
            CHECK(offsetsById(log).count("a") == 0);
        }
    }
}

SCENARIO("a record whose append got no response is reported as undetermined, never as not appended", "[log][appendqueue]")
{
    asio::io_context context;
    MemoryLog log(context);
    AppendQueue queue(context, log, systemClock(), fastOptions());
    std::vector<AppendOutcome> outcomes;
    queue.append(recordOf("first"), seconds(10), [](const AppendReport &) {});
    context.run_for(milliseconds(50));
    log.lossPercent_ = 100;
    queue.append(recordOf("a"), milliseconds(20), [&](const AppendReport &report) {
        outcomes.push_back(report.outcome_);
    });
    context.restart();
    context.run_for(milliseconds(100));
    CHECK(outcomes == std::vector{AppendOutcome::Undetermined});
    log.lossPercent_ = 0;
    context.restart();
    context.run_for(milliseconds(200));
    CHECK(outcomes == std::vector{AppendOutcome::Undetermined, AppendOutcome::Appended});
}

SCENARIO("a full queue refuses records at once instead of growing", "[log][appendqueue]")
{
    asio::io_context context;
    MemoryLog log(context);
    log.outage_ = true;
    auto options = fastOptions();
    options.maxRecords_ = 10;
    AppendQueue queue(context, log, systemClock(), options);
    auto refused = 0;
    for (auto i = 0; i < 25; ++i) {
        queue.append(recordOf(std::to_string(i)), seconds(60), [&](const AppendReport &report) {
            refused += report.outcome_ == AppendOutcome::NotAppended ? 1 : 0;
        });
    }
    context.run_for(milliseconds(20));
    CHECK(refused == 15);
    CHECK(queue.pending() == 10);
}

SCENARIO("one record that the log rejects does not prevent the append of its batch", "[log][appendqueue]")
{
    asio::io_context context;
    MemoryLog log(context);
    log.rejectedId_ = "5";
    AppendQueue queue(context, log, systemClock(), fastOptions());
    std::set<std::string> refused;
    for (auto i = 0; i < 20; ++i) {
        const auto id = std::to_string(i);
        queue.append(recordOf(id), seconds(10), [&, id](const AppendReport &report) {
            if (report.outcome_ != AppendOutcome::Appended) {
                refused.insert(id);
            }
        });
    }
    context.run_for(milliseconds(300));
    CHECK(refused == std::set<std::string>{"5"});
    CHECK(offsetsById(log).size() == 19);
    CHECK(queue.pending() == 0);
}

SCENARIO("a record that is not valid UTF-8 is rejected without an exception", "[log][appendqueue]")
{
    asio::io_context context;
    MemoryLog log(context);
    AppendQueue queue(context, log, systemClock(), fastOptions());
    auto kind = ErrorKind::Internal;
    queue.append(PublishRecord{RecordId("a"), 0, "ana", "\xFF"}, seconds(1), [&](const AppendReport &report) {
        kind = report.error_.kind_;
    });
    context.run_for(milliseconds(50));
    CHECK(kind == ErrorKind::InvalidRequest);
}

SCENARIO("with lost responses, every record is appended or reported as not appended, and first copies keep their order", "[log][appendqueue]")
{
    const auto seed = GENERATE(range(1U, 31U));
    CAPTURE(seed);
    asio::io_context context;
    MemoryLog log(context, seed);
    log.lossPercent_ = 40;
    auto options = fastOptions();
    options.seed_ = seed;
    options.maxBatchRecords_ = 8;
    AppendQueue queue(context, log, systemClock(), options);
    std::map<std::string, Offset> reported;
    std::set<std::string> undetermined;
    constexpr int Records = 200;
    for (auto i = 0; i < Records; ++i) {
        const auto id = std::to_string(i);
        // Half of the records have such a short timeout that some of them expire; the others must all be appended.
        queue.append(recordOf(id), i % 2 == 0 ? milliseconds(5) : milliseconds(60'000), [&, id](const AppendReport &report) {
            if (report.outcome_ == AppendOutcome::Undetermined) {
                REQUIRE(undetermined.insert(id).second);
                return;
            }
            // A final outcome is reported once.
            REQUIRE(reported.emplace(id, report.outcome_ == AppendOutcome::Appended ? report.offset_ : 0).second);
        });
    }
    for (auto i = 0; i < 2'000 && reported.size() < Records; ++i) {
        context.restart();
        context.run_for(milliseconds(10));
    }
    REQUIRE(reported.size() == Records);
    log.applyDelayedAppends();
    auto offsets = offsetsById(log);
    Offset last = 0;
    auto appended = 0;
    for (auto i = 0; i < Records; ++i) {
        const auto id = std::to_string(i);
        CAPTURE(id);
        if (reported[id] == 0) {
            // Reported as not appended: no copy may appear, not even from a delayed append.
            REQUIRE(offsets.count(id) == 0);
            REQUIRE(undetermined.count(id) == 0);
            continue;
        }
        ++appended;
        REQUIRE_FALSE(offsets[id].empty());
        REQUIRE(std::find(offsets[id].begin(), offsets[id].end(), reported[id]) != offsets[id].end());
        // Readers apply the first copy of an id; first copies are in the order of the queue.
        REQUIRE(offsets[id].front() > last);
        last = offsets[id].front();
    }
    REQUIRE(appended >= Records / 2);
}
