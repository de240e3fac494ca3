#include "marjoramfold/routing/router.h"
#include "marjoramfold/routing/targetclient.h"
#include "standins/executor/executor.h"

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/read.hpp>
#include <asio/write.hpp>
#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

using namespace Marjoramfold;

namespace
{
/// An executor stand-in and a target client on one io_context.
struct TargetFixture {
    TargetFixture()
        : executor_(context_, {})
        , address_("127.0.0.1:" + std::to_string(executor_.port()))
        , client_(context_)
        , control_(context_)
    {
    }

    auto setFaults(const std::string &json) -> void
    {
        const auto response = exchange({"POST", address_, "/v1/faults", {}, json, std::chrono::seconds(5)});
        REQUIRE(response.status_ == 200);
    }

    auto executions(const std::string &key) -> int
    {
        const auto response = exchange({"GET", address_, "/v1/account", {}, "", std::chrono::seconds(5)});
        return nlohmann::json::parse(response.body_).at("executions").value(key, 0);
    }

    auto exchange(HttpClientRequest request) -> HttpClientResponse
    {
        std::optional<Result<HttpClientResponse>> result;
        control_.send(std::move(request), [&result](Result<HttpClientResponse> answer) {
            result = std::move(answer);
        });
        runUntil([&result] {
            return result.has_value();
        });
        REQUIRE(isOk(*result));
        return valueOf(*result);
    }

    auto execute(const std::string &key, std::chrono::milliseconds timeout = std::chrono::seconds(5)) -> std::variant<RoutedAnswer, TargetFailure>
    {
        TargetCall call;
        call.address_ = address_;
        call.correlationId_ = "c-" + std::to_string(++calls_);
        call.key_ = key;
        call.body_ = "body of " + key;
        call.contentType_ = "text/plain";
        call.timeLeft_ = timeout;
        call.timeout_ = timeout;
        std::optional<std::variant<RoutedAnswer, TargetFailure>> result;
        client_.execute(std::move(call), [&result](std::variant<RoutedAnswer, TargetFailure> answer) {
            result = std::move(answer);
        });
        runUntil([&result] {
            return result.has_value();
        });
        return *result;
    }

    template<typename Condition>
    auto runUntil(Condition condition) -> void
    {
        const auto end = std::chrono::steady_clock::now() + std::chrono::seconds(20);
        while (!condition() && std::chrono::steady_clock::now() < end) {
            context_.run_one_for(std::chrono::milliseconds(100));
        }
        REQUIRE(condition());
    }

    asio::io_context context_;
    Executor executor_;
    std::string address_;
    TargetClient client_;
    HttpClient control_;
    int calls_ = 0;
};

auto failureOf(const std::variant<RoutedAnswer, TargetFailure> &result) -> const TargetFailure &
{
    REQUIRE(std::holds_alternative<TargetFailure>(result));
    return std::get<TargetFailure>(result);
}
} // namespace

SCENARIO("the target client returns only complete answers to its own requests", "[target]")
{
    TargetFixture fixture;
    // Opens the connection, so that each fault occurs on a reused one.
    const auto first = fixture.execute("first");
    REQUIRE(std::holds_alternative<RoutedAnswer>(first));
    CHECK(nlohmann::json::parse(std::get<RoutedAnswer>(first).body_).at("key") == "first");

    SECTION("an answer to another request is a mismatch")
    {
        fixture.setFaults(R"({"crossed":1.0})");
        const auto failure = failureOf(fixture.execute("k"));
        CHECK(failure.outcome_ == ExchangeOutcome::Failed);
        CHECK(failure.error_.kind_ == ErrorKind::AnswerMismatch);
        CHECK(fixture.executions("k") == 1);
        THEN("the next exchange is not affected")
        {
            fixture.setFaults(R"({"crossed":0.0})");
            const auto next = fixture.execute("next");
            REQUIRE(std::holds_alternative<RoutedAnswer>(next));
            CHECK(nlohmann::json::parse(std::get<RoutedAnswer>(next).body_).at("key") == "next");
        }
    }

    SECTION("a truncated answer is a failure")
    {
        fixture.setFaults(R"({"torn":1.0})");
        const auto failure = failureOf(fixture.execute("k"));
        CHECK(failure.outcome_ == ExchangeOutcome::Failed);
        CHECK(failure.error_.kind_ == ErrorKind::TargetFailed);
        CHECK(fixture.executions("k") == 1);
    }

    SECTION("a connection that closes without an answer is a failure, and the HTTP client does not resend the request")
    {
        fixture.setFaults(R"({"closed":1.0})");
        const auto failure = failureOf(fixture.execute("k"));
        CHECK(failure.outcome_ == ExchangeOutcome::Failed);
        CHECK(failure.error_.kind_ == ErrorKind::TargetFailed);
        CHECK(fixture.executions("k") == 1);
    }

    SECTION("a status of 500 is a failure")
    {
        fixture.setFaults(R"({"failing":1.0})");
        CHECK(failureOf(fixture.execute("k")).outcome_ == ExchangeOutcome::Failed);
    }

    SECTION("no answer is a timeout")
    {
        fixture.setFaults(R"({"no_answer":1.0})");
        const auto failure = failureOf(fixture.execute("k", std::chrono::milliseconds(200)));
        CHECK(failure.outcome_ == ExchangeOutcome::Failed);
        CHECK(failure.error_.kind_ == ErrorKind::TargetTimeout);
    }

    SECTION("a leaving target refuses without running")
    {
        fixture.setFaults(R"({"leaving":true})");
        CHECK(failureOf(fixture.execute("k")).outcome_ == ExchangeOutcome::RefusedLeaving);
        CHECK(fixture.executions("k") == 0);
    }

    SECTION("a late answer is complete")
    {
        fixture.setFaults(R"({"late":1.0,"late_ms":300})");
        CHECK(std::holds_alternative<RoutedAnswer>(fixture.execute("k")));
    }

    SECTION("a refused connection is reported as not sent")
    {
        asio::ip::tcp::acceptor unused(fixture.context_, {asio::ip::make_address("127.0.0.1"), 0}, false);
        fixture.address_ = "127.0.0.1:" + std::to_string(unused.local_endpoint().port());
        unused.close();
        CHECK(failureOf(fixture.execute("k")).outcome_ == ExchangeOutcome::NotSent);
    }
}

SCENARIO("the executor stand-in limits concurrent executions to its slots", "[target]")
{
    asio::io_context context;
    ExecutorOptions options;
    options.work_ = std::chrono::milliseconds(50);
    Executor executor(context, options);
    const auto address = "127.0.0.1:" + std::to_string(executor.port());
    HttpClient client(context);
    auto answered = 0;
    const auto start = std::chrono::steady_clock::now();
    for (auto i = 0; i < 17; ++i) {
        client.send({"POST", address, "/v1/execute", {{"X-Correlation-Id", "c"}}, "x", std::chrono::seconds(5)},
                    [&answered](Result<HttpClientResponse> result) {
                        answered += isOk(result) && valueOf(result).status_ == 200 ? 1 : 0;
                    });
    }
    while (client.inFlight() > 0 || answered < 17) {
        REQUIRE(std::chrono::steady_clock::now() - start < std::chrono::seconds(10));
        context.run_one_for(std::chrono::milliseconds(10));
    }
    CHECK(answered == 17);
    // 17 executions in 8 slots take three rounds of 50 ms.
    CHECK(std::chrono::steady_clock::now() - start >= std::chrono::milliseconds(150));
}

SCENARIO("a connect timeout does not close sockets of other connections", "[http]")
{
    // A listener with a full backlog does not answer, so connects time out. libcurl closes such sockets itself; the client must not
    // close their descriptors a second time, when they may belong to another connection.
    asio::io_context context;
    asio::ip::tcp::acceptor full(context);
    full.open(asio::ip::tcp::v4());
    full.bind({asio::ip::make_address("127.0.0.1"), 0});
    full.listen(0);
    std::vector<asio::ip::tcp::socket> fillers;
    for (auto i = 0; i < 4; ++i) {
        fillers.emplace_back(context);
        fillers.back().async_connect(full.local_endpoint(), [](const std::error_code & /*error*/) {});
    }
    context.run_for(std::chrono::milliseconds(50));
    const auto address = "127.0.0.1:" + std::to_string(full.local_endpoint().port());

    asio::ip::tcp::acceptor echo(context, {asio::ip::make_address("127.0.0.1"), 0});
    std::vector<std::pair<asio::ip::tcp::socket, asio::ip::tcp::socket>> pairs;
    const auto addPair = [&] {
        asio::ip::tcp::socket near(context);
        near.connect(echo.local_endpoint());
        auto far = echo.accept();
        pairs.emplace_back(std::move(near), std::move(far));
    };
    {
        HttpClientOptions options;
        options.connectTimeout_ = std::chrono::milliseconds(50);
        HttpClient client(context, options);
        for (auto round = 0; round < 5; ++round) {
            auto failed = 0;
            for (auto i = 0; i < 3; ++i) {
                client.send({"GET", address, "/", {}, "", std::chrono::seconds(1)}, [&failed](Result<HttpClientResponse> result) {
                    failed += isOk(result) ? 0 : 1;
                });
            }
            const auto end = std::chrono::steady_clock::now() + std::chrono::seconds(10);
            while (failed < 3 && std::chrono::steady_clock::now() < end) {
                context.run_one_for(std::chrono::milliseconds(10));
            }
            REQUIRE(failed == 3);
            addPair();
            addPair();
        }
    }
    for (auto &[near, far] : pairs) {
        std::error_code error;
        const std::string text = "still here";
        asio::write(near, asio::buffer(text), error);
        CHECK_FALSE(error);
        std::string read(text.size(), ' ');
        asio::read(far, asio::buffer(read), error);
        CHECK_FALSE(error);
        CHECK(read == text);
    }
}
