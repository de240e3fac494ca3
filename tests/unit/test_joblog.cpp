#include "marjoramfold/entry/joblog.h"
#include "tests/support/memorylog.h"

#include <catch2/catch.hpp>

using namespace Marjoramfold;

namespace
{
using std::chrono::milliseconds;
using std::chrono::seconds;

/// A job log with an in-memory platform log.
struct Fixture {
    asio::io_context context_;
    MemoryLog log_{context_};
    int ids_ = 0;
    JobLog jobs_{context_,
                 log_,
                 systemClock(),
                 {[](Offset /*first*/) {},
                  [](const FollowedRecord & /*record*/) {},
                  [](const std::set<JobId> & /*jobs*/) {},
                  [this] {
                      return RecordId("r" + std::to_string(++ids_));
                  }}};

    auto submit(const std::string &id) -> std::shared_ptr<std::optional<Result<nlohmann::json>>>
    {
        auto answer = std::make_shared<std::optional<Result<nlohmann::json>>>();
        JobSpec spec;
        spec.id_ = JobId(id);
        spec.team_ = TeamId("planners");
        jobs_.submit(spec, AvailabilityZoneId("cluj-a"), [answer](Result<nlohmann::json> result) {
            *answer = std::move(result);
        });
        return answer;
    }
};
} // namespace

SCENARIO("a submission fails as not run only if none of its records is in the log", "[joblog]")
{
    Fixture fixture;
    GIVEN("a log that accepts the submission and fails before the assignment")
    {
        // 63 records are queued first, so that a batch of 64 ends between the two records of the submission.
        fixture.jobs_.append(JobCancelledRecord{RecordId("c"), JobId("other"), ""}, [](const AppendReport & /*report*/) {});
        for (auto i = 0; i < 31; ++i) {
            static_cast<void>(fixture.submit("j" + std::to_string(i)));
        }
        const auto answer = fixture.submit("split");
        while (fixture.log_.appends_ == 0) {
            fixture.context_.run_one();
        }
        fixture.log_.outage_ = true;
        fixture.context_.run_for(seconds(6));
        const auto page = valueOf(fixture.log_.log_.read("control", 0, 1'000, WallTime()));
        REQUIRE(page.records_.size() == 64);
        THEN("the error says that the job may run")
        {
            REQUIRE(*answer);
            REQUIRE_FALSE(isOk(**answer));
            CHECK(errorAnswer(errorOf(**answer).kind_).ran_ == Ran::Maybe);
        }
    }
    GIVEN("a log that is unavailable")
    {
        fixture.log_.outage_ = true;
        const auto answer = fixture.submit("j");
        fixture.context_.run_for(seconds(6));
        REQUIRE(*answer);
        REQUIRE_FALSE(isOk(**answer));
        CHECK(errorOf(**answer).kind_ == ErrorKind::LogUnavailable);
    }
}
