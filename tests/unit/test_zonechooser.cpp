#include "marjoramfold/entry/zonechooser.h"

#include <catch2/catch.hpp>

using namespace Marjoramfold;
using namespace std::chrono_literals;

namespace
{
const AvailabilityZoneId ZoneA("a");
const AvailabilityZoneId ZoneB("b");
const SteadyTime Now{1h};

auto makeRules(AvailabilityZoneState stateOfA) -> RuleSetPointer
{
    auto rules = std::make_shared<RuleSet>();
    rules->zones_[ZoneA] = {ZoneA, stateOfA, 4, 2, 8, {}};
    rules->zones_[ZoneB] = {ZoneB, AvailabilityZoneState::In, 2, 2, 8, {}};
    rules->guarantees_[TeamId("small")][ZoneB] = {TeamId("small"), ZoneB, 8, 8, {}};
    return rules;
}

auto gang(const std::string &id, int size, const char *team = "other") -> JobSpec
{
    JobSpec spec;
    spec.id_ = JobId(id);
    spec.team_ = TeamId(team);
    spec.gangSize_ = size;
    spec.task_ = {8, 8, 1'000};
    return spec;
}

auto chosen(ZoneChooser &chooser, const JobSpec &spec) -> AvailabilityZoneId
{
    const auto zone = chooser.choose(spec, Now);
    REQUIRE(isOk(zone));
    return valueOf(zone);
}
} // namespace

SCENARIO("the zone chooser prefers zones with free capacity", "[zones]")
{
    ZoneChooser chooser;
    REQUIRE_FALSE(isOk(chooser.choose(gang("early", 1), Now)));
    chooser.setRules(makeRules(AvailabilityZoneState::In));

    THEN("a burst of submissions is spread over the zones before the log shows any of them")
    {
        CHECK(chosen(chooser, gang("1", 2)) == ZoneA);
        CHECK(chosen(chooser, gang("2", 1)) == ZoneA);
        CHECK(chosen(chooser, gang("3", 1)) == ZoneB);
    }
    THEN("jobs of a team prefer the zone of its guarantee")
    {
        CHECK(chosen(chooser, gang("1", 1, "small")) == ZoneB);
    }
    THEN("a gang that fits no zone is rejected with JobCanNeverRun instead of waiting forever")
    {
        const auto refused = chooser.choose(gang("1", 5), Now);
        REQUIRE_FALSE(isOk(refused));
        CHECK(errorOf(refused).kind_ == ErrorKind::JobCanNeverRun);
    }
    THEN("a gang that needs one rack is rejected when no zone has racks of that size")
    {
        auto spec = gang("1", 3);
        spec.adjacency_ = Adjacency::Rack;
        CHECK_FALSE(isOk(chooser.choose(spec, Now)));
    }
    GIVEN("a zone with state out")
    {
        chooser.setRules(makeRules(AvailabilityZoneState::Out));
        THEN("jobs are assigned to other zones, except those that fit only there")
        {
            CHECK(chosen(chooser, gang("1", 2)) == ZoneB);
            CHECK(chosen(chooser, gang("2", 4)) == ZoneA);
        }
        THEN("it is not offered to jobs that move from another zone")
        {
            CHECK(chooser.findZoneWithCapacity(gang("1", 1), ZoneB, Now) == std::nullopt);
            CHECK(chooser.findEvacuationZone(gang("1", 1), ZoneA, Now) == ZoneB);
        }
    }
    GIVEN("open jobs in the log")
    {
        std::map<JobId, JobStatus> jobs;
        jobs[JobId("running")].spec_ = gang("running", 4);
        jobs[JobId("running")].zone_ = ZoneA;
        jobs[JobId("running")].state_ = JobState::Running;
        chooser.setJobs(jobs);
        THEN("their demand reduces the free capacity, and another zone is found only while it has enough")
        {
            CHECK(chosen(chooser, gang("1", 1)) == ZoneB);
            CHECK(chooser.findZoneWithCapacity(gang("2", 1), ZoneA, Now) == ZoneB);
            CHECK(chooser.findZoneWithCapacity(gang("3", 1), ZoneA, Now) == std::nullopt);
        }
    }
}
