#include "marjoramfold/http/httpserver.h"
#include "marjoramfold/log/appendqueue.h"
#include "marjoramfold/log/httplogclient.h"
#include "marjoramfold/log/instancelist.h"
#include "standins/platform/platformservice.h"
#include "tests/support/memorylog.h"

#include <asio/steady_timer.hpp>
#include <catch2/catch.hpp>

#include <algorithm>
#include <map>
#include <set>
#include <thread>

using namespace Marjoramfold;

namespace
{
using std::chrono::milliseconds;
using std::chrono::seconds;
using Json = nlohmann::json;

/// A log with a switch for outages and a way to drop its records.
class LogFixture
{
public:
    virtual ~LogFixture() = default;
    virtual auto client() -> LogClient & = 0;
    virtual auto setOutage(bool outage) -> void = 0;
    virtual auto dropAll() -> void = 0;

    asio::io_context context_;
};

class MemoryFixture : public LogFixture
{
public:
    auto client() -> LogClient & override
    {
        return log_;
    }

    auto setOutage(bool outage) -> void override
    {
        log_.outage_ = outage;
    }

    auto dropAll() -> void override
    {
        log_.log_.dropAll("control");
    }

private:
    MemoryLog log_{context_};
};

/// The stand-in platform behind an HTTP server, and a client of it.
class HttpFixture : public LogFixture
{
public:
    explicit HttpFixture(Standin::PlatformOptions options = {})
        : service_(context_, options)
        , server_(context_,
                  {},
                  [this](HttpServerRequest request, HttpResponder respond) {
                      service_.handle(std::move(request), std::move(respond));
                  })
        , http_(context_)
    {
        address_ = "127.0.0.1:" + std::to_string(server_.start());
        client_ = std::make_unique<HttpLogClient>(http_, HttpLogClientOptions{address_, milliseconds(300), milliseconds(300)});
    }

    auto client() -> LogClient & override
    {
        return *client_;
    }

    auto setOutage(bool outage) -> void override
    {
        service_.faults().outage_ = outage;
    }

    auto dropAll() -> void override
    {
        service_.dropAll("control");
    }

    Standin::PlatformService service_;
    HttpServer server_;
    HttpClient http_;
    std::string address_;
    std::unique_ptr<HttpLogClient> client_;
};

/// Runs the io_context until a callback has run.
template<typename Value>
auto await(asio::io_context &context, const std::function<void(std::function<void(Result<Value>)>)> &start) -> Result<Value>
{
    std::optional<Result<Value>> answer;
    start([&](Result<Value> result) {
        answer = std::move(result);
    });
    const auto deadline = std::chrono::steady_clock::now() + seconds(20);
    while (!answer && std::chrono::steady_clock::now() < deadline) {
        context.restart();
        context.run_one_for(milliseconds(100));
    }
    REQUIRE(answer);
    return *answer;
}

auto append(LogFixture &log, std::vector<Json> bodies) -> Result<Offset>
{
    return await<Offset>(log.context_, [&](auto done) {
        log.client().append(LogStream::Control, bodies, std::move(done));
    });
}

auto read(LogFixture &log, Offset from, int max = 1'000, milliseconds wait = milliseconds(0)) -> Result<LogPage>
{
    const auto page = await<LogPage>(log.context_, [&](auto done) {
        log.client().read({LogStream::Control, from, max, wait}, std::move(done));
    });
    if (!isOk(page)) {
        UNSCOPED_INFO(toString(errorOf(page)));
    }
    return page;
}

auto kindOf(const Result<Offset> &result) -> ErrorKind
{
    REQUIRE_FALSE(isOk(result));
    return errorOf(result).kind_;
}

auto kindOf(const Result<LogPage> &result) -> ErrorKind
{
    REQUIRE_FALSE(isOk(result));
    return errorOf(result).kind_;
}

struct ContractCase {
    std::string name_;
    std::function<void(LogFixture &)> check_;
};

const std::vector<ContractCase> ContractCases{
    {"an empty stream begins and ends at offset 1",
     [](LogFixture &log) {
         const auto page = read(log, 0);
         REQUIRE(isOk(page));
         CHECK(valueOf(page).first_ == 1);
         CHECK(valueOf(page).end_ == 1);
         CHECK(valueOf(page).records_.empty());
     }},
    {"records get consecutive offsets and are read back unchanged",
     [](LogFixture &log) {
         CHECK(valueOf(append(log, {{{"id", "a"}, {"text", "\xC8\x99\n\""}}, {{"id", "b"}}})) == 1);
         CHECK(valueOf(append(log, {{{"id", "c"}}})) == 3);
         const auto page = valueOf(read(log, 0));
         REQUIRE(page.records_.size() == 3);
         CHECK(page.records_[0].body_ == Json{{"id", "a"}, {"text", "\xC8\x99\n\""}});
         CHECK(page.records_[2].offset_ == 3);
         CHECK(page.end_ == 4);
     }},
    {"a read returns at most the requested number of records, from the requested offset",
     [](LogFixture &log) {
         static_cast<void>(append(log, {{{"id", "a"}}, {{"id", "b"}}, {{"id", "c"}}}));
         const auto page = valueOf(read(log, 2, 1));
         REQUIRE(page.records_.size() == 1);
         CHECK(page.records_[0].offset_ == 2);
         CHECK(page.end_ == 4);
     }},
    {"a read at the end returns no records",
     [](LogFixture &log) {
         static_cast<void>(append(log, {{{"id", "a"}}}));
         CHECK(valueOf(read(log, 2)).records_.empty());
     }},
    {"an outage refuses appends and reads, and nothing is appended",
     [](LogFixture &log) {
         log.setOutage(true);
         CHECK(kindOf(append(log, {{{"id", "a"}}})) == ErrorKind::LogUnavailable);
         CHECK(kindOf(read(log, 0)) == ErrorKind::LogUnavailable);
         log.setOutage(false);
         CHECK(valueOf(read(log, 0)).records_.empty());
     }},
    {"an offset below retention is distinguished from an outage",
     [](LogFixture &log) {
         static_cast<void>(append(log, {{{"id", "a"}}, {{"id", "b"}}}));
         log.dropAll();
         CHECK(kindOf(read(log, 1)) == ErrorKind::OffsetExpired);
         CHECK(valueOf(read(log, 3)).records_.empty());
         const auto page = valueOf(read(log, 0));
         CHECK(page.first_ == 3);
         CHECK(page.end_ == 3);
     }},
};
} // namespace

SCENARIO("every log client fulfils the contract of LogClient", "[log][contract]")
{
    for (const auto &test : ContractCases) {
        DYNAMIC_SECTION("in memory: " << test.name_)
        {
            MemoryFixture log;
            test.check_(log);
        }
        DYNAMIC_SECTION("by HTTP: " << test.name_)
        {
            HttpFixture log;
            test.check_(log);
        }
    }
}

SCENARIO("a long poll returns with the first append, or empty after its wait", "[log][contract]")
{
    HttpFixture log;
    const auto started = std::chrono::steady_clock::now();
    GIVEN("no append")
    {
        CHECK(valueOf(read(log, 0, 10, milliseconds(200))).records_.empty());
        CHECK(std::chrono::steady_clock::now() - started >= milliseconds(200));
    }
    GIVEN("an append while the read waits")
    {
        std::optional<Result<LogPage>> page;
        log.client().read({LogStream::Control, 0, 10, seconds(20)}, [&](Result<LogPage> result) {
            page = std::move(result);
        });
        log.context_.run_for(milliseconds(100));
        REQUIRE_FALSE(page);
        static_cast<void>(append(log, {{{"id", "a"}}}));
        log.context_.restart();
        log.context_.run_for(milliseconds(200));
        REQUIRE(page);
        CHECK(valueOf(*page).records_.size() == 1);
    }
}

SCENARIO("a waiting read is answered once when an append arrives as its wait expires", "[log]")
{
    asio::io_context context;
    Standin::PlatformService service(context, {});
    int answers = 0;
    service.handle({"GET", "/v1/streams/control/records?from=1&wait_ms=5", {}, ""}, [&answers](const HttpServerResponse & /*response*/) {
        ++answers;
    });
    // Both timers have expired when the io_context runs, so the append comes between the expiry of the read's wait and its handler.
    asio::steady_timer appends(context, milliseconds(1));
    appends.async_wait([&service](const std::error_code & /*error*/) {
        service.handle({"POST", "/v1/streams/control/records", {}, R"({"records":[{"id":"a"}]})"}, [](const HttpServerResponse &response) {
            CHECK(response.status_ == 200);
        });
    });
    std::this_thread::sleep_for(milliseconds(20));
    context.run();
    CHECK(answers == 1);
}

SCENARIO("lost, slow and malformed responses are distinguished from refusals", "[log][contract]")
{
    HttpFixture log;
    auto &faults = log.service_.faults();
    const auto isInLog = [&] {
        return valueOf(read(log, 0)).records_.size() == 1;
    };
    GIVEN("an append that takes effect and gets no response")
    {
        faults.appendAnswerLossNext_ = 1;
        const auto kind = kindOf(append(log, {{{"id", "a"}}}));
        CHECK(errorAnswer(kind).ran_ == Ran::Maybe);
        CHECK(isInLog());
    }
    GIVEN("an append whose response is truncated")
    {
        faults.malformedNext_ = 1;
        CHECK(kindOf(append(log, {{{"id", "a"}}})) == ErrorKind::Malformed);
        CHECK(isInLog());
    }
    GIVEN("an append that is slower than the client's timeout")
    {
        faults.delay_ = milliseconds(600);
        CHECK(kindOf(append(log, {{{"id", "a"}}})) == ErrorKind::Timeout);
        faults.delay_ = milliseconds(0);
        log.context_.restart();
        log.context_.run_for(milliseconds(800));
        CHECK(isInLog());
    }
    GIVEN("a read whose response is truncated")
    {
        faults.malformedNext_ = 1;
        CHECK(kindOf(read(log, 0)) == ErrorKind::Malformed);
    }
    GIVEN("an append without records")
    {
        CHECK(kindOf(append(log, {})) == ErrorKind::InvalidRequest);
    }
    GIVEN("no server")
    {
        log.server_.close();
        HttpLogClient client(log.http_, {"127.0.0.1:1", milliseconds(300), milliseconds(300)});
        const auto answer = await<Offset>(log.context_, [&](auto done) {
            client.append(LogStream::Control, {{{"id", "a"}}}, std::move(done));
        });
        THEN("nothing was sent, so nothing was appended")
        {
            CHECK(kindOf(answer) == ErrorKind::LogUnavailable);
        }
    }
}

SCENARIO("invalid responses of the log are reported as malformed", "[log][contract]")
{
    const auto *body = GENERATE("",
                                "null",
                                "[]",
                                "{}",
                                R"({"first":1,"end":2})",
                                R"({"first":1,"end":2,"records":{}})",
                                R"({"first":1,"end":2,"records":[3]})",
                                R"({"first":1,"end":2,"records":[{"offset":1,"time_ms":0}]})",
                                R"({"first":1,"end":3,"records":[{"offset":2,"time_ms":0,"body":{}}]})",
                                R"({"first":1,"end":1,"records":[{"offset":1,"time_ms":0,"body":{}}]})",
                                R"({"first":1,"end":4,"records":[{"offset":1,"time_ms":0,"body":{}},{"offset":1,"time_ms":0,"body":{}}]})",
                                R"({"first":-1,"end":2,"records":[]})",
                                R"({"first":5,"end":2,"records":[]})",
                                R"({"first_offset":"1"})");
    CAPTURE(body);
    HttpFixture log;
    HttpServer server(log.context_, {}, [&](const HttpServerRequest & /*request*/, const HttpResponder &respond) {
        respond({200, {}, body, "application/json", false});
    });
    const auto address = "127.0.0.1:" + std::to_string(server.start());
    log.client_ = std::make_unique<HttpLogClient>(log.http_, HttpLogClientOptions{address, milliseconds(300), milliseconds(300)});
    CHECK(kindOf(read(log, 1)) == ErrorKind::Malformed);
    CHECK(kindOf(append(log, {{{"id", "a"}}})) == ErrorKind::Malformed);
}

SCENARIO("appends above the rate limit of the log are refused", "[log][contract]")
{
    Standin::PlatformOptions options;
    options.maxAppendsPerSecond_ = 100;
    HttpFixture log(options);
    std::vector<Json> many(100, Json{{"id", "x"}});
    CHECK(isOk(append(log, many)));
    CHECK(kindOf(append(log, many)) == ErrorKind::LogUnavailable);
}

SCENARIO("an append queue over HTTP reports the offset of the first copy of each record despite faults", "[log][contract]")
{
    Standin::PlatformOptions platform;
    platform.maxAppendsPerSecond_ = 0;
    HttpFixture log(platform);
    log.service_.faults().appendAnswerLoss_ = 0.3;
    AppendQueueOptions options;
    options.maxBatchRecords_ = 8;
    options.maxBatchDelay_ = milliseconds(1);
    options.backoff_ = {milliseconds(1), milliseconds(5)};
    AppendQueue queue(log.context_, log.client(), systemClock(), options);
    std::map<std::string, Offset> reported;
    for (auto i = 0; i < 200; ++i) {
        const auto id = std::to_string(i);
        queue.append(JobCancelledRecord{RecordId(id), JobId("j"), ""}, seconds(30), [&, id](const AppendReport &report) {
            REQUIRE(report.outcome_ == AppendOutcome::Appended);
            reported[id] = report.offset_;
        });
    }
    for (auto i = 0; i < 400 && reported.size() < 200; ++i) {
        log.context_.restart();
        log.context_.run_for(milliseconds(25));
        log.service_.faults().malformedNext_ = i % 7 == 0 ? 1 : 0;
        log.setOutage(i % 11 == 5);
    }
    log.setOutage(false);
    log.service_.faults() = {};
    REQUIRE(reported.size() == 200);
    std::map<std::string, Offset> first;
    const auto page = valueOf(read(log, 0));
    for (const auto &record : page.records_) {
        first.emplace(record.body_["id"].get<std::string>(), record.offset_);
    }
    CHECK(first == reported);
}

SCENARIO("the instance list shows new, leaving and removed instances after its lag", "[log][contract]")
{
    HttpFixture log;
    InstanceListClient list(log.http_, log.address_);
    log.service_.instances().setLag(milliseconds(150));
    InstanceEntry worker{"w1", InstanceRole::Worker, AvailabilityZoneId("cluj-a"), "127.0.0.1:9", InstanceState::Live, RackId("r1"), {8, 130, 500'000}, ""};
    const auto fetch = [&] {
        const auto fetched = await<InstanceList>(log.context_, [&](auto done) {
            list.fetch(std::move(done));
        });
        REQUIRE(isOk(fetched));
        return valueOf(fetched);
    };
    const auto announce = [&] {
        REQUIRE(isOk(await<Success>(log.context_, [&](auto done) {
            list.announce(worker, std::move(done));
        })));
    };
    const auto wait = [&] {
        log.context_.restart();
        log.context_.run_for(milliseconds(200));
    };
    announce();
    CHECK(fetch().instances_.empty());
    wait();
    REQUIRE(fetch().instances_.size() == 1);
    const auto listed = fetch().instances_[0];
    CHECK(listed.capacity_ == worker.capacity_);
    CHECK(listed.rack_ == RackId("r1"));
    CHECK(listed.role_ == InstanceRole::Worker);
    worker.state_ = InstanceState::Leaving;
    announce();
    CHECK(fetch().instances_[0].state_ == InstanceState::Live);
    wait();
    CHECK(fetch().instances_[0].state_ == InstanceState::Leaving);
    log.service_.instances().remove("w1", std::chrono::steady_clock::now());
    wait();
    CHECK(fetch().instances_.empty());
}

SCENARIO("malformed instances are skipped and counted", "[log][contract]")
{
    const auto decoded = decodeInstanceList(R"({"as_of_ms":5,"instances":[
        {"id":"t1","role":"target","availability_zone":"a","address":"h:1","state":"live","unknown":1},
        {"id":"t2","role":"target","availability_zone":"a","address":"h:1","state":"odd"},
        {"role":"target"}, 3,
        {"id":"w","role":"worker","availability_zone":"a","address":"h:1","state":"live"}]})");
    REQUIRE(isOk(decoded));
    CHECK(valueOf(decoded).instances_.size() == 1);
    CHECK(valueOf(decoded).malformed_ == 4);
    for (const auto *text : {"", "[]", "{}", R"({"as_of_ms":"x","instances":[]})", R"({"as_of_ms":1,"instances":{}})"}) {
        CHECK_FALSE(isOk(decodeInstanceList(text)));
    }
}

SCENARIO("an unchanged instance list is confirmed without being sent again", "[log][contract]")
{
    // With 2,900 workers, fetching the whole list once a second would transfer hundreds of kilobytes a second.
    HttpFixture log;
    InstanceListClient list(log.http_, log.address_);
    log.service_.instances().setLag(milliseconds(0));
    InstanceEntry worker{"w1", InstanceRole::Worker, AvailabilityZoneId("cluj-a"), "127.0.0.1:9", InstanceState::Live, RackId("r1"), {8, 130, 500'000}, ""};
    const auto announce = [&] {
        REQUIRE(isOk(await<Success>(log.context_, [&](auto done) {
            list.announce(worker, std::move(done));
        })));
    };
    const auto fetch = [&] {
        const auto before = log.http_.bytes().received_;
        const auto fetched = await<InstanceList>(log.context_, [&](auto done) {
            list.fetch(std::move(done));
        });
        REQUIRE(isOk(fetched));
        return std::pair(valueOf(fetched), log.http_.bytes().received_ - before);
    };
    for (auto i = 0; i < 20; ++i) {
        worker.id_ = "w" + std::to_string(i);
        announce();
    }
    const auto [first, firstBytes] = fetch();
    const auto [second, secondBytes] = fetch();
    REQUIRE(first.instances_.size() == 20);
    CHECK(second.instances_.size() == 20);
    CHECK(second.asOf_ >= first.asOf_);
    CHECK(secondBytes < firstBytes / 5);
    WHEN("an instance leaves")
    {
        worker.state_ = InstanceState::Leaving;
        announce();
        THEN("the next fetch shows it")
        {
            const auto changed = fetch().first;
            REQUIRE(changed.instances_.size() == 20);
            CHECK(std::any_of(changed.instances_.begin(), changed.instances_.end(), [](const InstanceEntry &instance) {
                return instance.state_ == InstanceState::Leaving;
            }));
        }
    }
}
