#include "schedulerharness.h"

#include <catch2/catch.hpp>

using namespace Marjoramfold;
using namespace std::chrono_literals;

namespace
{
const AvailabilityZoneId Zone("a");

auto makeRules(AvailabilityZoneState state, const TeamId &guaranteed) -> RuleSetPointer
{
    auto rules = std::make_shared<RuleSet>();
    rules->zones_[Zone] = {Zone, state, 16, 6, 8, {}};
    rules->guarantees_[guaranteed][Zone] = {guaranteed, Zone, 16, 8, {}};
    return rules;
}
} // namespace

SCENARIO("the ramp-up limit of a returned zone does not delay guaranteed work", "[scheduler]")
{
    // With the limit applied, guaranteed work waited 79 s after the return of its zone in an experiment.
    const TeamId guaranteed("guaranteed");
    SchedulerHarness harness;
    harness.addWorkers("a", 16, {8, 128, 500'000});
    harness.handle(RulesChanged{makeRules(AvailabilityZoneState::Out, guaranteed)});
    GIVEN("as many gangs of another team as may start concurrently, whose starts do not complete")
    {
        harness.fault_ = [](const TaskCommand &command) {
            return command.task_.job_.value().starts_with("slow") ? MessageFault::Lost : MessageFault::None;
        };
        for (auto i = 0; i < SchedulerOptions().maxConcurrentMoves_; ++i) {
            harness.submit(makeJob("slow" + std::to_string(i), 1, 8));
        }
        harness.handle(RulesChanged{makeRules(AvailabilityZoneState::In, guaranteed)});
        harness.run(300ms);
        WHEN("a job within its team's guarantee arrives")
        {
            auto job = makeJob("j", 1, 8);
            job.team_ = guaranteed;
            harness.submit(job);
            harness.run(300ms);
            THEN("it starts despite the limit")
            {
                CHECK(harness.runningTasks("j") == 1);
            }
        }
        WHEN("a job without a guarantee arrives")
        {
            harness.submit(makeJob("j", 1, 8));
            harness.run(300ms);
            THEN("it stays in the queue")
            {
                CHECK(harness.runningTasks("j") == 0);
            }
        }
    }
}
