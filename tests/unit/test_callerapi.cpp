#include "marjoramfold/node/callerapi.h"
#include "marjoramfold/node/meteredcalls.h"
#include "platform/callerprotocol.h"
#include "platform/jobdocument.h"
#include "platform/operatorrecords.h"
#include "tests/support/feedfollower.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <optional>

using namespace Marjoramfold;
using namespace Marjoramfold::Test;
using namespace std::chrono_literals;

namespace
{
constexpr const char *Config = R"({"version":1,"routes":[{"name":"q","host":"h","path_prefix":"/q/","service":"s"}],
    "services":[{"name":"s"}],"tenants":[{"name":"t","api_keys":["key"]}]})";
constexpr const char *BulkConfig = R"({"version":1,"routes":[{"name":"q","host":"h","path_prefix":"/q/","service":"s","priority":2,"stretch":3}],
    "services":[{"name":"s"}],"tenants":[{"name":"t","api_keys":["key"]}]})";
constexpr const char *Body = R"({"spec":"x","steps":[{"count":2,"cpu":1,"mem_mb":1}]})";
constexpr const char *Id = "00112233445566aa";

/// A CallerApi on an in-memory store.
class CallerApiFixture
{
public:
    explicit CallerApiFixture(CallerApiOptions options = {})
    {
        binding_.store_ = store_.store();
        binding_.operatorStream_ = Wire::operatorStream();
        binding_.decodeOperatorRecord_ = &Wire::decodeOperatorRecord;
        binding_.decodeJobPlan_ = &Wire::decodeJobPlan;
        view_ = std::make_unique<OperatorView>(binding_, schedule_.hook(), [] {});
        follower_ = makeFeedFollower(store_, schedule_, feed_);
        appender_ = makeFeedAppender(store_, schedule_, "instance");
        feed_.setListeners({{},
                            {},
                            {},
                            {},
                            [this](const JobId &id) {
                                api_->onJobEnded(id);
                            },
                            [this](const std::string &value) {
                                api_->onBacklogPublished(value);
                            }});
        api_ = std::make_unique<CallerApi>(options, binding_, *view_, feed_, follower_, appender_, schedule_.hook(), metrics_);
    }

    auto start(const char *config = Config) -> void
    {
        store_.put("keyed.op", {"config", config});
        view_->start();
        follower_->start();
    }

    /// Sends a request. The result holds the answer's HTTP status, or 0 before the answer.
    auto call(CallKind kind, const std::string &path, const std::string &key = "key", const std::string &body = Body) -> std::shared_ptr<int>
    {
        auto status = std::make_shared<int>(0);
        api_->handle({kind, "h", path, key, 3000ms, body}, [this, status](const CallerAnswer &answer) {
            last_ = answer;
            const auto *error = std::get_if<Error>(&answer);
            const auto success = std::holds_alternative<SubmissionRejected>(answer) ? 429 : 200;
            *status = error == nullptr ? success : errorAnswer(error->kind_).httpStatus_;
        });
        return status;
    }

    /// Metrics in the text format.
    [[nodiscard]] auto metrics() const -> std::string
    {
        return metrics_.text();
    }

    /// Number of stored submissions; the first one to a queue is stored together with the queue's settings.
    [[nodiscard]] auto submissions() const -> std::size_t
    {
        const auto log = store_.log(feedStream().topic_);
        return static_cast<std::size_t>(std::count_if(log.begin(), log.end(), [](const StoredRecord &stored) {
            return stored.record_.key_ == std::string("j/") + Id;
        }));
    }

    [[nodiscard]] auto isReady() const -> bool
    {
        return api_->isReady();
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
    std::unique_ptr<CallerApi> api_;
};

const std::string JobPath = std::string("/q/") + Id;
} // namespace

TEST_CASE("calls to the store and to workers are counted by outcome and timed", "[metrics]")
{
    // Guards against a dependency that fails or slows down without any metric showing it.
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

TEST_CASE("an instance without a configuration rejects calls with a retry delay", "[frontdoor]")
{
    CallerApiFixture fixture;
    CHECK(*fixture.call(CallKind::Submit, JobPath) == 503);
    CHECK(std::get<Error>(*fixture.last_).retryAfter_.has_value());
}

TEST_CASE("calls are checked before anything is stored", "[frontdoor]")
{
    CallerApiFixture fixture;
    fixture.start();
    CHECK(*fixture.call(CallKind::Submit, "/other/" + std::string(Id)) == 404);
    CHECK(*fixture.call(CallKind::Submit, JobPath, "wrong") == 401);
    CHECK(*fixture.call(CallKind::Submit, JobPath, "key", "{") == 400);
    CHECK(*fixture.call(CallKind::Submit, "/q/short") == 400);
    CHECK(*fixture.call(CallKind::Query, JobPath) == 410);
    CHECK(*fixture.call(CallKind::Cancel, JobPath, "wrong") == 401);
    CHECK(*fixture.call(CallKind::Cancel, "/q/short") == 400);
    CHECK(fixture.store_.log(feedStream().topic_).empty());
}

TEST_CASE("a cancellation of a job that is not known yet stays in force", "[frontdoor]")
{
    // Guards against a job that runs although its caller cancelled it: its submission had no answer, and the store executes it later.
    CallerApiFixture fixture;
    fixture.start();
    Submission late;
    late.id_ = JobId(Id);
    late.queue_ = "q";
    late.plan_.steps_.resize(1);

    SECTION("the caller learns that there is no such job, and a submission that appears later is cancelled")
    {
        CHECK(*fixture.call(CallKind::Cancel, JobPath) == 410);
        REQUIRE(fixture.store_.log(feedStream().topic_).size() == 1);
        CHECK(fixture.store_.log(feedStream().topic_).front().record_.key_ == JobFeed::cancelRecord(JobId(Id)).key_);
        CHECK(*fixture.call(CallKind::Query, JobPath) == 410);
        fixture.store_.put(feedStream().topic_, JobFeed::submissionRecord(late));
        CHECK(*fixture.call(CallKind::Query, JobPath) == 200);
        CHECK(std::get<JobStateAnswer>(*fixture.last_).phase_ == JobPhase::Cancelled);
        CHECK(*fixture.call(CallKind::Cancel, JobPath) == 200);
    }

    SECTION("the caller is not told that the job is gone before the cancellation is stored")
    {
        fixture.store_.failAppends({AppendFault::Refused});
        CHECK(*fixture.call(CallKind::Cancel, JobPath) == 503);
        fixture.store_.failAppends({AppendFault::AnswerLost});
        const auto status = fixture.call(CallKind::Cancel, JobPath);
        CHECK(*status == 0);
        fixture.schedule_.advance(200ms);
        CHECK(*status == 410);
    }
}

TEST_CASE("a job that does not fit into a record of the store is rejected for good", "[frontdoor]")
{
    // Guards against a caller who is told to retry a submission that the store rejects each time, together with those in the same append.
    CallerApiFixture fixture;
    fixture.start();
    std::string steps;
    for (int i = 0; i < 900; ++i) {
        steps += R"({"count":1,"requires":")" + std::string(250, 'a') + R"("},)";
    }
    steps.pop_back();
    CHECK(*fixture.call(CallKind::Submit, JobPath, "key", R"({"spec":"x","steps":[)" + steps + "]}") == 400);
    CHECK(fixture.store_.appends_.empty());
    CHECK(*fixture.call(CallKind::Submit, JobPath) == 200);
}

TEST_CASE("the first submission to a queue stores the queue's settings with it", "[frontdoor]")
{
    // Guards against a job without a service and a priority, when its queue is removed and the leader and all instances change.
    CallerApiFixture fixture;
    fixture.start();
    CHECK(*fixture.call(CallKind::Submit, JobPath) == 200);
    CHECK(*fixture.call(CallKind::Submit, "/q/00112233445566ab") == 200);
    REQUIRE(fixture.store_.appends_.size() == 2);
    REQUIRE(fixture.store_.appends_[0].records_.size() == 2);
    CHECK(fixture.store_.appends_[0].records_[0].key_ == "q/q");
    CHECK(fixture.store_.appends_[1].records_.size() == 1);
    LastQueueSettings settings;
    settings.applyRecord("q/q", fixture.store_.appends_[0].records_[0].value_);
    REQUIRE(settings.find("q") != nullptr);
    CHECK(settings.find("q")->pool_ == "s");
}

TEST_CASE("a submission is answered according to the store's result", "[frontdoor]")
{
    CallerApiFixture fixture;
    fixture.start();

    SECTION("a job can be submitted, submitted again, queried and cancelled")
    {
        CHECK(*fixture.call(CallKind::Submit, JobPath) == 200);
        CHECK(*fixture.call(CallKind::Submit, JobPath) == 200);
        CHECK(fixture.submissions() == 1);
        CHECK(fixture.store_.log(feedStream().topic_).size() == 2);
        CHECK(*fixture.call(CallKind::Query, JobPath) == 200);
        CHECK(std::get<JobStateAnswer>(*fixture.last_).phase_ == JobPhase::Queued);
        fixture.call(CallKind::Query, "/q/");
        CHECK(std::get<QueueDepthAnswer>(*fixture.last_).count_ == 1);
        CHECK(*fixture.call(CallKind::Cancel, JobPath) == 200);
        fixture.call(CallKind::Query, JobPath);
        CHECK(std::get<JobStateAnswer>(*fixture.last_).phase_ == JobPhase::Cancelled);
    }

    SECTION("the store rejects the append: the caller gets an error at once, since nothing was stored")
    {
        fixture.store_.failAppends({AppendFault::Refused});
        CHECK(*fixture.call(CallKind::Submit, JobPath) == 503);
        CHECK(std::get<Error>(*fixture.last_).retryAfter_ == 1000ms);
        CHECK(fixture.store_.log(feedStream().topic_).empty());
    }

    SECTION("the store's answer is lost: the caller is answered when the retry confirms that the submission is stored")
    {
        fixture.store_.failAppends({AppendFault::AnswerLost});
        const auto status = fixture.call(CallKind::Submit, JobPath);
        CHECK(*status == 0);
        fixture.schedule_.advance(200ms);
        CHECK(*status == 200);
        CHECK(fixture.submissions() == 1);
        CHECK(fixture.store_.log(feedStream().topic_).size() == 2);
    }

    SECTION("appends time out: the caller gets status 504, not 503, since the submission may have been stored")
    {
        fixture.store_.failAppends(std::vector<AppendFault>(100, AppendFault::Lost));
        const auto status = fixture.call(CallKind::Submit, JobPath);
        fixture.schedule_.advance(2699ms);
        CHECK(*status == 0);
        fixture.schedule_.advance(2ms);
        CHECK(*status == 504);
    }

    SECTION("the store answers neither appends nor reads: the caller gets status 504 early")
    {
        // Guards against an instance without a connection to the store keeping callers waiting until shortly before their own timeout.
        fixture.store_.failAppends(std::vector<AppendFault>(100, AppendFault::Lost));
        fixture.store_.readsUnanswered_ = true;
        const auto status = fixture.call(CallKind::Submit, JobPath);
        fixture.schedule_.advance(1'199ms);
        CHECK(*status == 0);
        fixture.schedule_.advance(2ms);
        CHECK(*status == 504);
    }

    SECTION("a job that another instance has just accepted is found")
    {
        Submission other;
        other.id_ = JobId(Id);
        other.queue_ = "q";
        other.plan_.steps_.resize(1);
        fixture.store_.put(feedStream().topic_, JobFeed::submissionRecord(other));
        CHECK(*fixture.call(CallKind::Query, JobPath) == 200);
    }
}

TEST_CASE("an instance is not ready when its newest read of the store is too old", "[frontdoor]")
{
    // Guards against new callers being routed to an instance without a connection to the store until its configuration is too old.
    CallerApiFixture fixture;
    fixture.start();
    auto later = BootClock::now() + 900ms;
    BootClock::useSource([&later] {
        return later;
    });
    CHECK(fixture.isReady());
    later += 200ms;
    CHECK_FALSE(fixture.isReady());
    // Calls that still arrive are handled, since the configuration is not too old yet.
    CHECK(*fixture.call(CallKind::Submit, JobPath) == 200);
    BootClock::useSource({});
}

TEST_CASE("a query for a running job waits briefly for its end", "[frontdoor]")
{
    // Guards against callers learning of an end one query later than necessary: they query when the work should be done, while the
    // end is still being recorded in the store.
    CallerApiFixture fixture;
    fixture.start();
    REQUIRE(*fixture.call(CallKind::Submit, JobPath) == 200);
    const auto put = [&fixture](JobPhase phase) {
        fixture.store_.put(feedStream().topic_, JobFeed::phaseRecord(JobId(Id), phase));
        fixture.schedule_.advance(5ms);
    };
    put(JobPhase::Running);

    SECTION("the job ends during the wait: all queries are answered with the final phase at once")
    {
        const auto first = fixture.call(CallKind::Query, JobPath);
        const auto second = fixture.call(CallKind::Query, JobPath);
        CHECK(*first == 0);
        fixture.schedule_.advance(30ms);
        CHECK(*first == 0);
        put(JobPhase::Completed);
        CHECK(*first == 200);
        CHECK(*second == 200);
        CHECK(std::get<JobStateAnswer>(*fixture.last_).phase_ == JobPhase::Completed);
        fixture.schedule_.advance(500ms);
    }

    SECTION("the job keeps running: the query is answered after the wait")
    {
        const auto status = fixture.call(CallKind::Query, JobPath);
        fixture.schedule_.advance(119ms);
        CHECK(*status == 0);
        fixture.schedule_.advance(2ms);
        CHECK(*status == 200);
        CHECK(std::get<JobStateAnswer>(*fixture.last_).phase_ == JobPhase::Running);
    }

    SECTION("the job is cancelled during the wait")
    {
        const auto status = fixture.call(CallKind::Query, JobPath);
        CHECK(*fixture.call(CallKind::Cancel, JobPath) == 200);
        fixture.schedule_.advance(5ms);
        CHECK(*status == 200);
    }
}

TEST_CASE("calls are rejected while the configuration is too old", "[frontdoor]")
{
    CallerApiFixture fixture;
    fixture.start();
    // The API key may have been revoked since.
    const auto later = BootClock::now() + 3100ms;
    BootClock::useSource([later] {
        return later;
    });
    CHECK(*fixture.call(CallKind::Submit, JobPath) == 503);
    BootClock::useSource({});
    CHECK(fixture.store_.log(feedStream().topic_).empty());
}

namespace
{
/// A CallerApi whose leader has published that jobs of the queue would start 80 s from now, where 64 s would be of use.
class OverloadedFixture : public CallerApiFixture
{
public:
    explicit OverloadedFixture(bool rejectHopeless = true)
        : CallerApiFixture(optionsWith(rejectHopeless))
    {
        BootClock::useSource([this] {
            return now_;
        });
        start(BulkConfig);
        epoch_ = put(JobFeed::leadershipRecord({LeadershipAction::Claim, 0, "leader", 1, 1})) + 1;
        publish({{"q", 1.0, {80s, 80s}, {80s, 80s}, 8s, {1, 1, 0}}});
    }

    ~OverloadedFixture()
    {
        BootClock::useSource({});
    }

    OverloadedFixture(const OverloadedFixture &) = delete;
    auto operator=(const OverloadedFixture &) -> OverloadedFixture & = delete;

    auto put(const KeyedRecord &record) -> std::uint64_t
    {
        const auto offset = store_.put(feedStream().topic_, record);
        schedule_.advance(5ms);
        return offset;
    }

    auto publish(std::vector<QueueForecast> queues) -> void
    {
        put(JobFeed::backlogRecord({epoch_, ++number_, std::move(queues)}));
    }

    /// Sends a submission; returns the status of its answer.
    auto submit(const std::string &body = Body) -> int
    {
        const auto status = call(CallKind::Submit, JobPath, "key", body);
        schedule_.advance(5ms);
        return *status;
    }

    [[nodiscard]] auto isStored() const -> bool
    {
        const auto log = store_.log(feedStream().topic_);
        return std::any_of(log.begin(), log.end(), [](const StoredRecord &record) {
            return record.record_.key_.ends_with(Id);
        });
    }

    BootTime now_ = BootClock::now();
    std::uint64_t epoch_ = 0;

private:
    static auto optionsWith(bool rejectHopeless) -> CallerApiOptions
    {
        CallerApiOptions options;
        options.rejectHopeless_ = rejectHopeless;
        // The time of these tests passes without reads of the configuration.
        options.maxConfigurationAge_ = 60s;
        return options;
    }

    std::uint64_t number_ = 0;
};
} // namespace

TEST_CASE("too much bulk work: a submission that could not end in time is rejected before anything is stored", "[frontdoor]")
{
    OverloadedFixture fixture;

    SECTION("status 429 with a time to retry, counted by queue, until the leader ends it")
    {
        CHECK(fixture.submit() == 429);
        CHECK_FALSE(fixture.isStored());
        const auto response = Wire::encodeAnswer(*fixture.last_);
        CHECK(response.status_ == 429);
        const auto retryAfter = std::stoi(findHeader(response.headers_, "Retry-After").value_or("0"));
        CHECK((retryAfter >= 1 && retryAfter <= 10));
        CHECK(fixture.metrics().find("marjoramfold_rejected_submissions_total{queue=\"q\"} 1") != std::string::npos);
        fixture.publish({});
        CHECK(fixture.submit() == 200);
        CHECK(fixture.isStored());
    }

    SECTION("a body that cannot be read stays an error, and a cancellation is stored as ever")
    {
        CHECK(fixture.submit("{") == 400);
        CHECK(*fixture.call(CallKind::Query, JobPath) == 410);
        CHECK(*fixture.call(CallKind::Cancel, JobPath) == 410);
        CHECK(fixture.isStored());
    }

    SECTION("a job that was accepted before, here or by another instance, is answered as accepted")
    {
        // Guards against an accepted job that runs although its repeated submission was answered 429.
        Submission accepted;
        accepted.id_ = JobId(Id);
        accepted.queue_ = "q";
        accepted.plan_.steps_.resize(1);
        fixture.store_.readsUnanswered_ = true;
        fixture.store_.put(feedStream().topic_, JobFeed::submissionRecord(accepted));
        const auto status = fixture.call(CallKind::Submit, JobPath);
        CHECK(*status == 0);
        fixture.store_.readsUnanswered_ = false;
        fixture.store_.put(feedStream().topic_, JobFeed::backlogRecord({fixture.epoch_, 9, {}}));
        fixture.schedule_.advance(50ms);
        CHECK(*status == 200);
        CHECK(fixture.submit() == 200);
    }

    SECTION("a submission is stored when the feed cannot be read")
    {
        fixture.store_.readsUnanswered_ = true;
        const auto status = fixture.call(CallKind::Submit, JobPath);
        fixture.schedule_.advance(601ms);
        CHECK(*status == 200);
        CHECK(fixture.isStored());
    }

    SECTION("a malformed record leaves the former one in force")
    {
        fixture.put({JobFeed::backlogRecord({}).key_, "{"});
        CHECK(fixture.submit() == 429);
    }

    SECTION("a leader that disappears: nothing is rejected once its record is 3 s old")
    {
        fixture.now_ += 2999ms;
        CHECK(fixture.submit() == 429);
        fixture.now_ += 2ms;
        CHECK(fixture.submit() == 200);
    }

    SECTION("a leader that resigns or is succeeded: nothing is rejected any more")
    {
        const auto resigns = GENERATE(true, false);
        fixture.put(JobFeed::leadershipRecord({resigns ? LeadershipAction::Resign : LeadershipAction::Claim, fixture.epoch_, "leader", 1, 2}));
        CHECK(fixture.submit() == 200);
    }
}

TEST_CASE("without the switch a backlog record rejects nothing", "[frontdoor]")
{
    // Guards against an instance that rejects by the record of a leader whose settings differ.
    OverloadedFixture fixture(false);
    CHECK(fixture.submit() == 200);
}
