#include "marjoramfold/node/admission.h"
#include "marjoramfold/node/backlogpublisher.h"

#include <catch2/catch.hpp>

#include <functional>
#include <map>
#include <string>
#include <tuple>
#include <vector>

using namespace Marjoramfold;
using namespace std::chrono_literals;

namespace
{
constexpr std::uint64_t LeaderEpoch = 7;
constexpr ResourceVector BulkTask{3'000, 4'000, 1};

/// A start of a typical job is of use within 73 s (three times 3 x 8 s + 3 s, less its run time).
auto bulkQueue() -> QueueConfig
{
    QueueConfig queue;
    queue.name_ = "bulk";
    queue.pool_ = "pool";
    queue.priority_ = 2;
    queue.stretch_ = 3;
    queue.targetLatency_ = 3s;
    return queue;
}

auto bulkPlan() -> JobPlan
{
    JobPlan plan;
    plan.steps_.resize(1);
    plan.steps_[0].count_ = 39;
    plan.steps_[0].task_ = BulkTask;
    plan.steps_[0].estimate_ = 8s;
    return plan;
}

auto recordOf(std::uint64_t number, std::chrono::milliseconds wait, std::uint64_t epoch = LeaderEpoch) -> BacklogRecord
{
    return {epoch, number, {{"bulk", 1.0, {1s, wait}, {2s, wait}, 8s, BulkTask}}};
}

auto jobNumber(int number) -> JobId
{
    auto digits = std::to_string(number);
    return JobId(std::string(16 - digits.size(), '0') + digits);
}

/// An instance's decisions on bulk jobs.
class AdmissionFixture
{
public:
    auto receive(BacklogRecord record) -> void
    {
        control_.onRecord(std::move(record), leader_, now_);
    }

    [[nodiscard]] auto decide(const JobPlan &plan = bulkPlan(), const QueueConfig &queue = bulkQueue()) const -> std::optional<AdmissionRejection>
    {
        return control_.decide(jobNumber(1), plan, queue, leader_, now_);
    }

    [[nodiscard]] auto rejects() const -> bool
    {
        return decide().has_value();
    }

    AdmissionControl control_;
    std::uint64_t leader_ = LeaderEpoch;
    BootTime now_{1000s};
};
} // namespace

TEST_CASE("too much bulk work: a submission is rejected only by a valid record that names its queue", "[admission]")
{
    AdmissionFixture fixture;
    CHECK_FALSE(fixture.rejects());
    fixture.receive(recordOf(1, 80s));
    REQUIRE(fixture.rejects());
    CHECK(fixture.decide()->forecast_.startsIn_ == 80s);
    CHECK(fixture.decide()->forecast_.lastUsefulStart_ == 73s);

    SECTION("the record that ends it, and one that forecasts less, are followed at once")
    {
        fixture.receive({LeaderEpoch, 2, {}});
        CHECK_FALSE(fixture.rejects());
        fixture.receive(recordOf(3, 80s));
        CHECK(fixture.rejects());
        fixture.receive(recordOf(4, 72s));
        CHECK_FALSE(fixture.rejects());
    }

    SECTION("other queues, urgent queues, scheduled and lasting jobs are accepted")
    {
        auto other = bulkQueue();
        other.name_ = "other";
        CHECK_FALSE(fixture.decide(bulkPlan(), other));
        auto urgent = bulkQueue();
        urgent.priority_ = 0;
        CHECK_FALSE(fixture.decide(bulkPlan(), urgent));
        auto scheduled = bulkPlan();
        scheduled.occurrences_ = 3;
        CHECK_FALSE(fixture.decide(scheduled));
        auto lasting = bulkPlan();
        lasting.steps_[0].service_ = true;
        CHECK_FALSE(fixture.decide(lasting));
    }

    SECTION("a job with a longer run time has a later objective and is accepted")
    {
        auto longer = bulkPlan();
        longer.steps_[0].estimate_ = 10s;
        CHECK_FALSE(fixture.decide(longer));
    }
}

TEST_CASE("a leader that disappears: its records end with it", "[admission]")
{
    AdmissionFixture fixture;
    fixture.receive(recordOf(5, 80s));
    REQUIRE(fixture.rejects());

    SECTION("a record counts for 3 s from its arrival, also when it is delivered again")
    {
        // Guards against submissions being rejected for as long as there is no leader or store.
        fixture.now_ += 2s;
        fixture.receive(recordOf(5, 80s));
        fixture.receive(recordOf(4, 80s));
        fixture.now_ += 1s;
        CHECK(fixture.rejects());
        fixture.now_ += 1ms;
        CHECK_FALSE(fixture.rejects());
        fixture.receive(recordOf(6, 80s));
        CHECK(fixture.rejects());
    }

    SECTION("a record of a former leader is ignored from the next leader on, whose records start anew")
    {
        fixture.leader_ = LeaderEpoch + 1;
        CHECK_FALSE(fixture.rejects());
        fixture.receive(recordOf(1, 80s, LeaderEpoch + 1));
        CHECK(fixture.rejects());
        fixture.receive({LeaderEpoch, 6, {}});
        CHECK(fixture.rejects());
        fixture.receive({LeaderEpoch + 1, 2, {}});
        fixture.receive(recordOf(7, 80s));
        CHECK_FALSE(fixture.rejects());
    }

    SECTION("a record of an epoch that nobody has claimed does not block those of the leader")
    {
        fixture.receive({LeaderEpoch + 100, 1, {}});
        fixture.receive({LeaderEpoch, 6, {}});
        CHECK_FALSE(fixture.rejects());
    }
}

TEST_CASE("a return of all that was rejected: the times to retry are spread", "[admission]")
{
    // Guards against callers that are rejected together and return together.
    AdmissionFixture fixture;
    const auto [beyond, shortest, longest] = GENERATE(std::make_tuple(1ms, 1s, 1s),
                                                      std::make_tuple(1500ms, 1s, 2s),
                                                      std::make_tuple(5000ms, 3s, 5s),
                                                      std::make_tuple(10'000ms, 5s, 10s),
                                                      std::make_tuple(600'000ms, 5s, 10s));
    fixture.receive(recordOf(1, 73s + beyond));
    constexpr auto Callers = 600;
    std::map<std::chrono::seconds, int> callers;
    for (auto number = 0; number < Callers; ++number) {
        const auto rejection = fixture.control_.decide(jobNumber(number), bulkPlan(), bulkQueue(), LeaderEpoch, fixture.now_);
        REQUIRE(rejection);
        ++callers[rejection->retryAfter_];
    }
    CHECK(callers.begin()->first == shortest);
    CHECK(callers.rbegin()->first == longest);
    const auto seconds = (longest - shortest).count() + 1;
    for (const auto &[time, count] : callers) {
        CAPTURE(time.count(), count);
        CHECK(count < 3 * Callers / (2 * seconds) + 1);
    }
    // The same job that is rejected again gets times that differ.
    std::map<std::chrono::seconds, int> attempts;
    for (auto attempt = 0; attempt < 20; ++attempt) {
        ++attempts[fixture.control_.decide(jobNumber(1), bulkPlan(), bulkQueue(), LeaderEpoch, fixture.now_ + attempt * 17ms)->retryAfter_];
    }
    CHECK((attempts.size() > 1) == (seconds > 1));
}

TEST_CASE("a malformed record is an error and never read in part", "[admission]")
{
    const auto record = recordOf(3, 80s);
    const auto encoded = encodeBacklog(record);
    REQUIRE(isOk(decodeBacklog(encoded)));
    CHECK(valueOf(decodeBacklog(encoded)) == record);
    CHECK(valueOf(decodeBacklog(encodeBacklog({LeaderEpoch, 4, {}}))).queues_.empty());

    SECTION("cut off or altered anywhere")
    {
        for (std::size_t length = 0; length < encoded.size(); ++length) {
            CHECK_FALSE(isOk(decodeBacklog(encoded.substr(0, length))));
            for (const auto byte : {'\0', '"', '-', '9', '\xff'}) {
                auto altered = encoded;
                altered[length] = byte;
                // Some are readable, such as another digit; none may crash or leave the bounds.
                const auto decoded = decodeBacklog(altered);
                CHECK((!isOk(decoded) || valueOf(decoded).queues_.empty() || valueOf(decoded).queues_[0].useful_.accelerators_ <= 1h));
            }
        }
    }

    SECTION("other values")
    {
        const auto replaced = [&encoded](const std::string &from, const std::string &to) {
            auto text = encoded;
            const auto at = text.find(from);
            REQUIRE(at != std::string::npos);
            return text.replace(at, from.size(), to);
        };
        for (const auto *time : {"-1", "1e3", "3600001", "18446744073709551615", "99999999999999999999", "\"80\"", "null", "[]"}) {
            CAPTURE(time);
            CHECK_FALSE(isOk(decodeBacklog(replaced("80000", time))));
        }
        for (const auto *ratio : {"-0.5", "1e400", "1001", "true", "{}"}) {
            CAPTURE(ratio);
            CHECK_FALSE(isOk(decodeBacklog(replaced("\"ratio\":1.0", std::string("\"ratio\":") + ratio))));
        }
        CHECK_FALSE(isOk(decodeBacklog(replaced("\"bulk\"", "5"))));
        CHECK_FALSE(isOk(decodeBacklog(replaced("[{", "[7,{"))));
        for (const auto *text : {"", "null", "[]", "7", "\"b\"", R"({"epoch":1,"number":2})", R"({"epoch":1,"number":2,"queues":{}})"}) {
            CAPTURE(text);
            CHECK_FALSE(isOk(decodeBacklog(text)));
        }
        CHECK_FALSE(isOk(decodeBacklog(std::string(100'000, '['))));
    }

    SECTION("fields that a later version adds are ignored")
    {
        auto later = encoded;
        later.replace(later.find("{\"epoch\""), 1, R"({"added":[1,{"x":null}],)");
        CHECK(valueOf(decodeBacklog(later)) == record);
    }
}

TEST_CASE("the leader's records under a burst, an overload and a store that does not answer", "[admission]")
{
    const auto queue = bulkQueue();
    BacklogSample sample;
    sample.pools_["pool"].room_ = {400, 100};
    sample.queues_.push_back({&queue, 1.0, {}, {}, 8s, BulkTask});
    std::vector<BacklogRecord> records;
    std::function<void()> answer;
    auto answers = true;
    BacklogPublisher publisher(
        LeaderEpoch,
        [&sample] {
            return sample;
        },
        [&](const KeyedRecord &record, const std::function<void()> &callback) {
            records.push_back(valueOf(decodeBacklog(record.value_.value())));
            answer = callback;
            if (answers) {
                callback();
            }
        });
    BootTime now{1000s};
    const auto run = [&](std::chrono::milliseconds time, double work) {
        sample.queues_[0].timely_ = {0, work};
        for (auto step = 0ms; step < time; step += 100ms) {
            now += 100ms;
            publisher.check(now);
        }
    };

    SECTION("a short burst publishes nothing")
    {
        run(1s, 1e6);
        run(5s, 0);
        CHECK(records.empty());
    }

    SECTION("an overload publishes once per second, and its end once")
    {
        run(5s, 1e6);
        REQUIRE(records.size() == 4);
        CHECK(records[0].queues_.at(0).queue_ == "bulk");
        CHECK(records[3].number_ > records[2].number_);
        run(5s, 0);
        REQUIRE(records.size() == 5);
        CHECK(records[4].queues_.empty());
    }

    SECTION("without an answer nothing more is published until it comes, and then the end")
    {
        // Guards against a store that answers again getting a series of outdated records.
        answers = false;
        run(10s, 1e6);
        CHECK(records.size() == 1);
        run(5s, 0);
        CHECK(records.size() == 1);
        answers = true;
        answer();
        run(1s, 0);
        REQUIRE(records.size() == 2);
        CHECK(records[1].queues_.empty());
    }
}
