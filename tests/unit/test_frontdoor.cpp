#include "marjoramfold/node/frontdoor.h"
#include "marjoramfold/node/meteredcalls.h"
#include "platform/jobdocument.h"
#include "platform/operatorrecords.h"
#include "tests/support/feedfollower.h"

#include <catch2/catch.hpp>

#include <optional>

using namespace Marjoramfold;
using namespace Marjoramfold::Test;
using namespace std::chrono_literals;

namespace
{
constexpr const char *Config = R"({"version":1,"routes":[{"name":"q","host":"h","path_prefix":"/q/","service":"s"}],
    "services":[{"name":"s"}],"tenants":[{"name":"t","api_keys":["key"]}]})";
constexpr const char *Body = R"({"spec":"x","steps":[{"count":2,"cpu":1,"mem_mb":1}]})";
constexpr const char *Id = "00112233445566aa";

/// A front door on a store in memory.
class Door
{
public:
    Door()
    {
        binding_.store_ = store_.store();
        binding_.operatorStream_ = Wire::operatorStream();
        binding_.decodeOperatorRecord_ = &Wire::decodeOperatorRecord;
        binding_.decodeJobPlan_ = &Wire::decodeJobPlan;
        view_ = std::make_unique<OperatorView>(binding_, schedule_.hook(), [] {});
        follower_ = makeFeedFollower(store_, schedule_, feed_);
        appender_ = makeFeedAppender(store_, schedule_, "instance");
        feed_.setListeners({{}, {}, {}, {}, [this](const JobId &id) {
                                door_->onJobEnded(id);
                            }});
        door_ = std::make_unique<FrontDoor>(FrontDoorOptions{}, binding_, *view_, feed_, follower_, appender_, schedule_.hook(), metrics_);
    }

    auto start() -> void
    {
        store_.put("keyed.op", {"config", Config});
        view_->start();
        follower_->start();
    }

    /// Status of the answer; 0 while there is none.
    auto call(CallKind kind, const std::string &path, const std::string &key = "key", const std::string &body = Body) -> std::shared_ptr<int>
    {
        auto status = std::make_shared<int>(0);
        door_->handle({kind, "h", path, key, 3000ms, body}, [this, status](const CallerAnswer &answer) {
            last_ = answer;
            const auto *error = std::get_if<Error>(&answer);
            *status = error == nullptr ? 200 : errorAnswer(error->kind_).httpStatus_;
        });
        return status;
    }

    [[nodiscard]] auto isReady() const -> bool
    {
        return door_->isReady();
    }

    ScriptedStore store_;
    ManualSchedule schedule_;
    std::optional<CallerAnswer> last_;

private:
    PlatformBinding binding_;
    JobFeed feed_;
    MetricsRegistry metrics_;
    std::unique_ptr<OperatorView> view_;
    std::shared_ptr<StreamFollower> follower_;
    std::shared_ptr<OrderedAppender> appender_;
    std::unique_ptr<FrontDoor> door_;
};

const std::string JobPath = std::string("/q/") + Id;
} // namespace

TEST_CASE("calls to the store and to workers are counted by outcome and timed", "[metrics]")
{
    // Guards against a dependency that fails or slows down without a figure that shows it.
    MetricsRegistry registry;
    ScriptedStore scripted;
    scripted.failAppends({AppendFault::Refused});
    const auto store = meterStore(scripted.store(), registry);
    for (int i = 0; i < 2; ++i) {
        store.append_({feedStream(), {{"key", "value"}}, {"producer", 1, 0}, 900ms, false}, [](const AppendResult &) {});
    }
    store.read_({feedStream(), 0, 0ms, 700ms, false}, [](const Result<ReadPage> &) {});
    const auto workers = meterWorkers({[](const StartCommand &, const std::function<void(CommandResponse)> &callback) {
                                           callback({CommandOutcome::Refused, "room", 0, 0ms, {}});
                                       },
                                       {},
                                       {}},
                                      registry);
    workers.start_({}, [](const CommandResponse &) {});
    const auto text = registry.text();
    for (const auto *line : {R"(marjoramfold_store_calls_total{call="append",outcome="refused"} 1)",
                             R"(marjoramfold_store_calls_total{call="append",outcome="stored"} 1)",
                             R"(marjoramfold_store_calls_total{call="read",outcome="ok"} 1)",
                             R"(marjoramfold_store_call_seconds_count{call="append"} 2)",
                             R"(marjoramfold_worker_calls_total{call="start",outcome="refused"} 1)",
                             R"(marjoramfold_worker_call_seconds_count{call="start"} 1)"}) {
        CAPTURE(line, text);
        CHECK(text.find(line) != std::string::npos);
    }
}

TEST_CASE("an instance without a configuration refuses for now", "[frontdoor]")
{
    Door door;
    CHECK(*door.call(CallKind::Submit, JobPath) == 503);
    CHECK(std::get<Error>(*door.last_).retryAfter_.has_value());
}

TEST_CASE("calls are checked before anything is stored", "[frontdoor]")
{
    Door door;
    door.start();
    CHECK(*door.call(CallKind::Submit, "/other/" + std::string(Id)) == 404);
    CHECK(*door.call(CallKind::Submit, JobPath, "wrong") == 401);
    CHECK(*door.call(CallKind::Submit, JobPath, "key", "{") == 400);
    CHECK(*door.call(CallKind::Submit, "/q/short") == 400);
    CHECK(*door.call(CallKind::Ask, JobPath) == 410);
    CHECK(*door.call(CallKind::Cancel, JobPath) == 410);
    CHECK(door.store_.log(feedStream().topic_).empty());
}

TEST_CASE("a submission is answered by what the store says", "[frontdoor]")
{
    Door door;
    door.start();

    SECTION("it is stored, shown, repeated and cancelled")
    {
        CHECK(*door.call(CallKind::Submit, JobPath) == 200);
        CHECK(*door.call(CallKind::Submit, JobPath) == 200);
        CHECK(door.store_.log(feedStream().topic_).size() == 1);
        CHECK(*door.call(CallKind::Ask, JobPath) == 200);
        CHECK(std::get<JobStateAnswer>(*door.last_).phase_ == JobPhase::Queued);
        door.call(CallKind::Ask, "/q/");
        CHECK(std::get<WaitingAnswer>(*door.last_).count_ == 1);
        CHECK(*door.call(CallKind::Cancel, JobPath) == 200);
        door.call(CallKind::Ask, JobPath);
        CHECK(std::get<JobStateAnswer>(*door.last_).phase_ == JobPhase::Cancelled);
    }

    SECTION("the store refuses: the caller learns at once that nothing was stored")
    {
        door.store_.failAppends({AppendFault::Refused});
        CHECK(*door.call(CallKind::Submit, JobPath) == 503);
        CHECK(std::get<Error>(*door.last_).retryAfter_ == 1000ms);
        CHECK(door.store_.log(feedStream().topic_).empty());
    }

    SECTION("the answer is lost: the caller is told when the repeat says that it is stored")
    {
        door.store_.failAppends({AppendFault::AnswerLost});
        const auto status = door.call(CallKind::Submit, JobPath);
        CHECK(*status == 0);
        door.schedule_.advance(200ms);
        CHECK(*status == 200);
        CHECK(door.store_.log(feedStream().topic_).size() == 1);
    }

    SECTION("no answer comes in time: the outcome is unknown, and the caller is not told that nothing was stored")
    {
        door.store_.failAppends(std::vector<AppendFault>(100, AppendFault::Lost));
        const auto status = door.call(CallKind::Submit, JobPath);
        door.schedule_.advance(2699ms);
        CHECK(*status == 0);
        door.schedule_.advance(2ms);
        CHECK(*status == 504);
    }

    SECTION("the store answers nothing at all: the caller may go elsewhere soon")
    {
        // Guards against callers that are held by an instance without a way to the store until their time is nearly over.
        door.store_.failAppends(std::vector<AppendFault>(100, AppendFault::Lost));
        door.store_.silent_ = true;
        const auto status = door.call(CallKind::Submit, JobPath);
        door.schedule_.advance(1'199ms);
        CHECK(*status == 0);
        door.schedule_.advance(2ms);
        CHECK(*status == 504);
    }

    SECTION("a job that another instance accepted a moment ago is known")
    {
        Submission other;
        other.id_ = JobId(Id);
        other.queue_ = "q";
        other.plan_.steps_.resize(1);
        door.store_.put(feedStream().topic_, JobFeed::submissionRecord(other));
        CHECK(*door.call(CallKind::Ask, JobPath) == 200);
    }
}

TEST_CASE("an instance that has not heard from the store sends new callers elsewhere", "[frontdoor]")
{
    // Guards against callers that come to an instance without a way to the store for as long as its view of the keys may decide.
    Door door;
    door.start();
    auto later = BootClock::now() + 900ms;
    BootClock::useSource([&later] {
        return later;
    });
    CHECK(door.isReady());
    later += 200ms;
    CHECK_FALSE(door.isReady());
    // Callers that come all the same are still served.
    CHECK(*door.call(CallKind::Submit, JobPath) == 200);
    BootClock::useSource({});
}

TEST_CASE("a question about a running job waits a moment for its end", "[frontdoor]")
{
    // Guards against callers that learn of an end one question later than they could: they ask when the work should be over,
    // while the end is on its way through the store.
    Door door;
    door.start();
    REQUIRE(*door.call(CallKind::Submit, JobPath) == 200);
    const auto put = [&door](JobPhase phase) {
        door.store_.put(feedStream().topic_, JobFeed::phaseRecord(JobId(Id), phase));
        door.schedule_.advance(5ms);
    };
    put(JobPhase::Running);

    SECTION("the end arrives meanwhile: all who asked are answered with it at once")
    {
        const auto first = door.call(CallKind::Ask, JobPath);
        const auto second = door.call(CallKind::Ask, JobPath);
        CHECK(*first == 0);
        door.schedule_.advance(30ms);
        CHECK(*first == 0);
        put(JobPhase::Completed);
        CHECK(*first == 200);
        CHECK(*second == 200);
        CHECK(std::get<JobStateAnswer>(*door.last_).phase_ == JobPhase::Completed);
        door.schedule_.advance(500ms);
    }

    SECTION("the job runs on: the caller learns so after the wait")
    {
        const auto status = door.call(CallKind::Ask, JobPath);
        door.schedule_.advance(119ms);
        CHECK(*status == 0);
        door.schedule_.advance(2ms);
        CHECK(*status == 200);
        CHECK(std::get<JobStateAnswer>(*door.last_).phase_ == JobPhase::Running);
    }

    SECTION("the job is cancelled meanwhile")
    {
        const auto status = door.call(CallKind::Ask, JobPath);
        CHECK(*door.call(CallKind::Cancel, JobPath) == 200);
        door.schedule_.advance(5ms);
        CHECK(*status == 200);
    }
}

TEST_CASE("a view of the keys that cannot be confirmed decides nothing", "[frontdoor]")
{
    Door door;
    door.start();
    // A key may have been taken away since.
    const auto later = BootClock::now() + 3100ms;
    BootClock::useSource([later] {
        return later;
    });
    CHECK(*door.call(CallKind::Submit, JobPath) == 503);
    BootClock::useSource({});
    CHECK(door.store_.log(feedStream().topic_).empty());
}
