#include "marjoramfold/api/erroranswer.h"
#include "marjoramfold/api/requesthandlers.h"
#include "marjoramfold/http/httpclient.h"
#include "marjoramfold/http/httpserver.h"

#include <asio/executor_work_guard.hpp>
#include <asio/io_context.hpp>
#include <asio/post.hpp>
#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include <map>
#include <mutex>
#include <thread>

using namespace Marjoramfold;

namespace
{
/// A target in the test process that counts executions per key and can delay its answers.
class FakeTarget
{
public:
    FakeTarget()
        : server_(context_, {}, [this](HttpServerRequest request, HttpResponder respond) {
            execute(std::move(request), std::move(respond));
        })
    {
        address_ = "127.0.0.1:" + std::to_string(server_.start());
        thread_ = std::thread([this] {
            context_.run();
        });
    }

    ~FakeTarget()
    {
        context_.stop();
        thread_.join();
    }

    FakeTarget(const FakeTarget &) = delete;
    auto operator=(const FakeTarget &) -> FakeTarget & = delete;

    [[nodiscard]] auto address() const -> std::string
    {
        return address_;
    }

    [[nodiscard]] auto executions(const std::string &key) -> int
    {
        const std::lock_guard lock(mutex_);
        return executions_[key];
    }

    auto holdAnswers(bool hold) -> void
    {
        const std::lock_guard lock(mutex_);
        hold_ = hold;
        if (!hold) {
            for (auto &answer : std::exchange(held_, {})) {
                answer();
            }
        }
    }

    /// Refuses all further requests as a target that is leaving.
    auto leave() -> void
    {
        const std::lock_guard lock(mutex_);
        leaving_ = true;
    }

    [[nodiscard]] auto refusals() -> int
    {
        const std::lock_guard lock(mutex_);
        return refusals_;
    }

private:
    auto execute(HttpServerRequest request, HttpResponder respond) -> void
    {
        const std::lock_guard lock(mutex_);
        const auto correlation = findHeader(request.headers_, "X-Correlation-Id").value_or("");
        if (leaving_) {
            ++refusals_;
            respond({503, {{"X-Correlation-Id", correlation}, {"X-Leaving", "true"}}, "", "text/plain", false});
            return;
        }
        ++executions_[findHeader(request.headers_, "Idempotency-Key").value_or("")];
        auto answer = [respond = std::move(respond), correlation, body = std::move(request.body_)] {
            respond({200, {{"X-Correlation-Id", correlation}}, "done:" + body, "text/plain", false});
        };
        if (hold_) {
            held_.push_back(std::move(answer));
        } else {
            answer();
        }
    }

    asio::io_context context_;
    std::mutex mutex_;
    std::map<std::string, int> executions_;
    std::vector<std::function<void()>> held_;
    bool hold_ = false;
    bool leaving_ = false;
    int refusals_ = 0;
    HttpServer server_;
    std::string address_;
    std::thread thread_;
};

/// The request interface on two traffic threads in the test process.
class FakeEntry
{
public:
    /// The map has the reachable instances by id; it must not change while requests run.
    explicit FakeEntry(const std::string &target, const std::string &id = "entry-1", const std::map<std::string, FakeEntry *> *peers = nullptr)
        : peers_(peers)
        , routers_({&contexts_[0], &contexts_[1]}, options(id), hooks())
    {
        auto list = std::make_shared<TargetList>();
        list->targets_.push_back({TargetId("t1"), AvailabilityZoneId("cluj-a"), target, false});
        routers_.publishRules(std::make_shared<RuleSet>());
        routers_.publishTargets(list);
        for (std::size_t i = 0; i < contexts_.size(); ++i) {
            commands_.push_back(std::make_unique<RequestCommandHandlers>(routers_, i));
            queries_.push_back(std::make_unique<RequestQueryHandlers>(routers_, i));
            servers_.push_back(std::make_unique<HttpServer>(contexts_[i], HttpServerOptions(), [this, i](HttpServerRequest request, HttpResponder respond) {
                if (!handleRequestPath(*commands_[i], *queries_[i], request, respond)) {
                    respond(errorResponse({ErrorKind::NotFound, "no such path", std::nullopt}));
                }
            }));
            addresses_.push_back("127.0.0.1:" + std::to_string(servers_.back()->start()));
        }
        for (auto &context : contexts_) {
            threads_.emplace_back([&context] {
                context.run();
            });
        }
    }

    ~FakeEntry()
    {
        for (auto &context : contexts_) {
            context.stop();
        }
        for (auto &thread : threads_) {
            thread.join();
        }
    }

    FakeEntry(const FakeEntry &) = delete;
    auto operator=(const FakeEntry &) -> FakeEntry & = delete;

    /// Address of the server of one traffic thread.
    [[nodiscard]] auto address(std::size_t thread = 0) const -> std::string
    {
        return addresses_[thread];
    }

    [[nodiscard]] auto routers() -> RouterGroup &
    {
        return routers_;
    }

    [[nodiscard]] auto post(const HttpHeaders &headers, const std::string &body, std::size_t thread = 0) const -> HttpClientResponse
    {
        const auto result = sendAndWait({"POST", address(thread), "/v1/requests", headers, body, std::chrono::seconds(10)});
        REQUIRE(isOk(result));
        return valueOf(result);
    }

    [[nodiscard]] auto get(const std::string &key, std::size_t thread = 0) const -> HttpClientResponse
    {
        const auto result = sendAndWait({"GET", address(thread), "/v1/requests/" + key, {}, "", std::chrono::seconds(10)});
        REQUIRE(isOk(result));
        return valueOf(result);
    }

    [[nodiscard]] auto issueKey() const -> std::string
    {
        const auto result = sendAndWait({"POST", address(), "/v1/request-keys", {}, "", std::chrono::seconds(10)});
        REQUIRE(isOk(result));
        REQUIRE(valueOf(result).status_ == 201);
        return nlohmann::json::parse(valueOf(result).body_).at("key").get<std::string>();
    }

private:
    static auto options(const std::string &id) -> RouterGroupOptions
    {
        RouterGroupOptions options;
        options.router_.dispatcher_.self_ = {InstanceId(id), 1};
        options.router_.dispatcher_.pool_.ownZone_ = AvailabilityZoneId("cluj-a");
        options.router_.dispatcher_.keySecrets_ = {"secret"};
        return options;
    }

    /// Hooks that forward within the process, to traffic thread 0 of the owner.
    auto hooks() -> RouterHooks
    {
        RouterHooks hooks;
        hooks.forwardRequest_ = [this](const InstanceIncarnation &owner, RoutedRequest request, AnswerCallback done) {
            auto *peer = findPeer(owner.instance_);
            if (peer == nullptr) {
                done(Error{ErrorKind::MaybeRan, "the owner is not reachable", std::nullopt});
                return;
            }
            asio::post(peer->contexts_[0], [peer, request = std::move(request), done = std::move(done)]() mutable {
                peer->routers_.submit(0, std::move(request), std::move(done));
            });
        };
        hooks.forwardQuery_ = [this](const InstanceIncarnation &owner, std::string key, KeyStatusCallback done) {
            auto *peer = findPeer(owner.instance_);
            if (peer == nullptr) {
                done({KeyStatus::State::Unknown, nullptr, std::nullopt});
                return;
            }
            asio::post(peer->contexts_[0], [peer, key = std::move(key), done = std::move(done)]() mutable {
                peer->routers_.queryKey(0, std::move(key), true, std::move(done));
            });
        };
        return hooks;
    }

    [[nodiscard]] auto findPeer(const InstanceId &instance) const -> FakeEntry *
    {
        return peers_ != nullptr && peers_->contains(instance.value()) ? peers_->at(instance.value()) : nullptr;
    }

    const std::map<std::string, FakeEntry *> *peers_;
    std::array<asio::io_context, 2> contexts_;
    RouterGroup routers_;
    std::vector<std::unique_ptr<RequestCommandHandlers>> commands_;
    std::vector<std::unique_ptr<RequestQueryHandlers>> queries_;
    std::vector<std::unique_ptr<HttpServer>> servers_;
    std::vector<std::string> addresses_;
    std::vector<std::thread> threads_;
};

auto errorKindOf(const HttpClientResponse &response) -> std::string
{
    return nlohmann::json::parse(response.body_).at("error").at("kind").get<std::string>();
}

auto ranOf(const HttpClientResponse &response) -> std::string
{
    return nlohmann::json::parse(response.body_).at("error").at("ran").get<std::string>();
}
} // namespace

SCENARIO("a request is routed from the HTTP interface to a target", "[requestapi]")
{
    FakeTarget target;
    const FakeEntry entry(target.address());

    SECTION("with its fields in headers")
    {
        const auto response = entry.post({{"X-Team", "planners"}, {"Content-Type", "text/plain"}}, "print 7");
        CHECK(response.status_ == 200);
        CHECK(response.body_ == "done:print 7");
        CHECK(findHeader(response.headers_, "X-Target") == "t1");
    }

    SECTION("with its fields in JSON")
    {
        const auto response = entry.post({}, R"({"team":"planners","priority":"urgent","deadline_ms":5000,"body":"print 8"})");
        CHECK(response.status_ == 200);
        CHECK(response.body_ == "done:print 8");
    }

    SECTION("with invalid fields, and is refused without running")
    {
        const std::vector<std::pair<HttpHeaders, std::string>> wrong = {
            {{}, "no json"},
            {{}, R"({"priority":"urgent"})"},
            {{{"X-Team", "a"}, {"X-Priority", "highest"}}, ""},
            {{{"X-Team", "a"}, {"X-Deadline-Ms", "soon"}}, ""},
            {{{"X-Team", "a"}, {"X-Deadline-Ms", "-1"}}, ""},
            {{{"X-Team", "a"}, {"X-Idempotent", "maybe"}}, ""},
            {{{"X-Team", "a"}, {"X-Idempotent", "false"}}, ""},
            {{{"X-Team", "a"}, {"Idempotency-Key", "no-time"}}, ""},
            {{{"X-Team", "a"}, {"Idempotency-Key", std::string(300, '1')}}, ""},
        };
        for (const auto &[headers, body] : wrong) {
            const auto response = entry.post(headers, body);
            CHECK(response.status_ == 400);
            CHECK(errorKindOf(response) == "invalid_request");
            CHECK(ranOf(response) == "no");
        }
    }
}

SCENARIO("a non-idempotent request with an issued key runs once", "[requestapi]")
{
    FakeTarget target;
    const FakeEntry entry(target.address());
    const auto key = entry.issueKey();
    const HttpHeaders headers = {{"X-Team", "planners"}, {"X-Idempotent", "false"}, {"Idempotency-Key", key}};

    SECTION("when duplicates arrive on both traffic threads")
    {
        for (auto i = 0; i < 10; ++i) {
            const auto response = entry.post(headers, "invoice", static_cast<std::size_t>(i % 2));
            CHECK(response.status_ == 200);
            CHECK(response.body_ == "done:invoice");
        }
        CHECK(target.executions(key) == 1);
        CHECK(entry.get(key, 0).body_ == "done:invoice");
        CHECK(entry.get(key, 1).body_ == "done:invoice");
    }

    SECTION("when its answer arrives after the deadline, and the late answer can be queried by key")
    {
        target.holdAnswers(true);
        auto late = headers;
        late.push_back({"X-Deadline-Ms", "100"});
        const auto response = entry.post(late, "invoice");
        CHECK(response.status_ == 504);
        CHECK(ranOf(response) == "maybe");
        CHECK(entry.get(key, 1).status_ == 202);
        target.holdAnswers(false);
        auto fetched = entry.get(key);
        for (auto i = 0; i < 100 && fetched.status_ == 202; ++i) {
            std::this_thread::sleep_for(std::chrono::milliseconds(10));
            fetched = entry.get(key);
        }
        CHECK(fetched.body_ == "done:invoice");
        CHECK(target.executions(key) == 1);
    }

    SECTION("when the key is reused with another body, which is refused")
    {
        CHECK(entry.post(headers, "invoice").status_ == 200);
        CHECK(entry.post(headers, "another invoice").status_ == 400);
        CHECK(target.executions(key) == 1);
    }
}

SCENARIO("another instance forwards a request with an issued key to the issuer", "[requestapi]")
{
    FakeTarget target;
    std::map<std::string, FakeEntry *> peers;
    FakeEntry issuer(target.address(), "entry-1", &peers);
    const FakeEntry other(target.address(), "entry-2", &peers);
    const auto key = issuer.issueKey();
    const HttpHeaders headers = {{"X-Team", "planners"}, {"X-Idempotent", "false"}, {"Idempotency-Key", key}};

    SECTION("which runs it once, and the answer can be queried at both")
    {
        peers["entry-1"] = &issuer;
        CHECK(other.post(headers, "invoice").body_ == "done:invoice");
        CHECK(issuer.post(headers, "invoice").body_ == "done:invoice");
        CHECK(other.post(headers, "invoice", 1).body_ == "done:invoice");
        CHECK(other.get(key).body_ == "done:invoice");
        CHECK(other.get(key, 1).body_ == "done:invoice");
        CHECK(target.executions(key) == 1);
    }

    SECTION("and returns the issuer's refusal unchanged")
    {
        peers["entry-1"] = &issuer;
        CHECK(issuer.post(headers, "invoice").status_ == 200);
        const auto refused = other.post(headers, "another invoice");
        CHECK(errorKindOf(refused) == "invalid_request");
        CHECK(ranOf(refused) == "no");
    }

    SECTION("and answers that it may have run when the issuer is not reachable")
    {
        CHECK(ranOf(other.post(headers, "invoice")) == "maybe");
        CHECK(errorKindOf(other.get(key)) == "maybe_ran");
        CHECK(target.executions(key) == 0);
    }
}

SCENARIO("a request with a caller's key is refused without the log", "[requestapi]")
{
    FakeTarget target;
    FakeEntry entry(target.address());
    const auto now = std::chrono::duration_cast<std::chrono::seconds>(std::chrono::system_clock::now().time_since_epoch()).count();
    const auto key = std::to_string(now) + ".order-7";
    const auto response = entry.post({{"X-Team", "planners"}, {"Idempotency-Key", key}}, "order");
    CHECK(response.status_ == 503);
    CHECK(errorKindOf(response) == "log_unavailable");
    CHECK(ranOf(response) == "no");
    CHECK(target.executions(key) == 0);
}

SCENARIO("a target that refuses a request as leaving gets no further request from either traffic thread", "[requestapi]")
{
    FakeTarget target;
    const FakeEntry entry(target.address());
    const HttpHeaders headers = {{"X-Team", "planners"}, {"X-Deadline-Ms", "200"}};
    CHECK(entry.post(headers, "print 7", 0).status_ == 200);
    CHECK(entry.post(headers, "print 8", 1).status_ == 200);
    target.leave();
    CHECK(ranOf(entry.post(headers, "print 9", 0)) == "maybe");
    CHECK(target.refusals() == 1);
    CHECK(ranOf(entry.post(headers, "print 10", 1)) == "no");
    CHECK(target.refusals() == 1);
}

SCENARIO("a draining instance completes requests in progress and refuses new ones", "[requestapi]")
{
    FakeTarget target;
    FakeEntry entry(target.address());
    target.holdAnswers(true);
    HttpClientResponse first;
    std::thread caller([&] {
        first = entry.post({{"X-Team", "planners"}}, "slow");
    });
    while (target.executions("") == 0) {
        std::this_thread::sleep_for(std::chrono::milliseconds(1));
    }
    std::atomic<bool> drained = false;
    entry.routers().drain([&drained] {
        drained = true;
    });
    auto refused = entry.post({{"X-Team", "planners"}}, "new");
    for (auto i = 0; i < 100 && refused.status_ == 200; ++i) {
        refused = entry.post({{"X-Team", "planners"}}, "new");
    }
    CHECK(errorKindOf(refused) == "draining");
    CHECK(ranOf(refused) == "no");
    CHECK_FALSE(drained);
    target.holdAnswers(false);
    caller.join();
    CHECK(first.status_ == 200);
    CHECK(first.body_ == "done:slow");
    for (auto i = 0; i < 500 && !drained; ++i) {
        std::this_thread::sleep_for(std::chrono::milliseconds(1));
    }
    CHECK(drained);
}
