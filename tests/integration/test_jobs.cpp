#include "fleet.h"

#include <catch2/catch.hpp>

#include <csignal>
#include <map>
#include <thread>

using namespace Marjoramfold;
using namespace std::chrono_literals;

namespace
{
/// Address of an entry in another zone, which faults of the zone's own entries do not affect.
auto observerOf(const Fleet &fleet, const std::string &zone) -> std::string
{
    for (const auto &entry : fleet.entries()) {
        if (entry.zone_ != zone) {
            return entry.address_;
        }
    }
    return {};
}

/// Waits until all members of a job run in one attempt, and returns the attempt.
auto waitRunning(const Fleet &fleet, const std::string &job, int members) -> std::string
{
    std::string attempt;
    REQUIRE(eventually(60s, [&] {
        const auto running = runningMembers(fleet, job);
        if (running.size() != 1 || running.begin()->second != members) {
            return false;
        }
        attempt = running.begin()->first;
        return true;
    }));
    return attempt;
}

auto scheduledBy(const std::string &address, const std::string &zone) -> bool
{
    const auto status = getJson(address, "/v1/status");
    if (status.status_ != 200) {
        return false;
    }
    for (const auto &entry : status.body_.value("availability_zones", nlohmann::json::array())) {
        if (entry.value("availability_zone", std::string()) == zone && entry.value("scheduled_here", false)) {
            return true;
        }
    }
    return false;
}

/// Waits until an instance other than the former owner schedules a zone; returns the time it took.
auto waitTakeover(const Fleet &fleet, const std::string &zone, const std::string &former) -> std::chrono::milliseconds
{
    const auto began = std::chrono::steady_clock::now();
    REQUIRE(eventually(90s, [&] {
        for (const auto &entry : fleet.entries()) {
            if (entry.name_ != former && scheduledBy(entry.address_, zone)) {
                return true;
            }
        }
        return false;
    }));
    return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::steady_clock::now() - began);
}
} // namespace

SCENARIO("a gang keeps running when its zone's owner is killed", "[owner-killed]")
{
    const Fleet fleet;
    bringUp(fleet);
    const std::string zone = "cluj-a";
    const auto observer = observerOf(fleet, zone);
    const auto owner = ownerOf(observer, zone);
    REQUIRE(submitJob(observer, "long", zone, 2, 25s).status_ == 200);
    const auto attempt = waitRunning(fleet, "long", 2);
    WHEN("the owner is killed and not restarted")
    {
        fleet.keepDown(owner, true);
        fleet.signal(owner, SIGKILL);
        const auto takeoverTime = waitTakeover(fleet, zone, owner);
        WARN("time without an owner after a kill: " << takeoverTime.count() << " ms");
        THEN("the whole gang keeps running under the next owner, and finishes once")
        {
            const auto running = runningMembers(fleet, "long");
            REQUIRE(running.size() == 1);
            CHECK(running.begin()->first == attempt);
            CHECK(running.begin()->second == 2);
            REQUIRE(eventually(60s, [&] {
                return jobState(observer, "long") == "finished";
            }));
            CHECK(getJson(observer, "/v1/jobs/long").body_.value("attempt", 0) == 1);
        }
    }
}

SCENARIO("an owner that is paused past its lease steps down", "[owner-paused]")
{
    const Fleet fleet;
    bringUp(fleet);
    const std::string zone = "cluj-a";
    const auto observer = observerOf(fleet, zone);
    const auto owner = ownerOf(observer, zone);
    REQUIRE(submitJob(observer, "long", zone, 2, 60s).status_ == 200);
    const auto attempt = waitRunning(fleet, "long", 2);
    fleet.signal(owner, SIGSTOP);
    const auto takeoverTime = waitTakeover(fleet, zone, owner);
    WARN("time without an owner after a pause: " << takeoverTime.count() << " ms");
    std::this_thread::sleep_for(16s);
    fleet.signal(owner, SIGCONT);
    THEN("it does not schedule alongside the new owner, and no gang is started twice")
    {
        REQUIRE(eventually(60s, [&] {
            return getJson(fleet.entry(owner).address_, "/v1/status").status_ == 200 && !scheduledBy(fleet.entry(owner).address_, zone);
        }));
        for (auto i = 0; i < 20; ++i) {
            const auto running = runningMembers(fleet, "long");
            REQUIRE(running.size() == 1);
            REQUIRE(running.begin()->first == attempt);
            REQUIRE(running.begin()->second == 2);
            std::this_thread::sleep_for(100ms);
        }
    }
}

SCENARIO("a log outage rejects submissions and stops no running job", "[log-outage]")
{
    const Fleet fleet;
    bringUp(fleet);
    const std::string zone = "cluj-a";
    const auto observer = observerOf(fleet, zone);
    const auto owner = ownerOf(observer, zone);
    REQUIRE(submitJob(observer, "long", zone, 2, 30s).status_ == 200);
    const auto attempt = waitRunning(fleet, "long", 2);
    fleet.setPlatformFaults({{"outage", true}});

    const auto refused = submitJob(observer, "refused", zone, 1, 1s);
    REQUIRE(refused.status_ == 503);
    CHECK(refused.body_["error"]["ran"] == "no");

    WHEN("the owner is killed during the outage")
    {
        fleet.keepDown(owner, true);
        fleet.signal(owner, SIGKILL);
        const auto takeoverTime = waitTakeover(fleet, zone, owner);
        WARN("time without a scheduler after a kill during an outage: " << takeoverTime.count() << " ms");
        THEN("a deputy keeps the gang running, and the refused job never runs")
        {
            const auto running = runningMembers(fleet, "long");
            REQUIRE(running.size() == 1);
            CHECK(running.begin()->first == attempt);
            fleet.setPlatformFaults({{"outage", false}});
            REQUIRE(eventually(90s, [&] {
                return jobState(observer, "long") == "finished";
            }));
            CHECK(jobState(observer, "refused").empty());
            REQUIRE(eventually(60s, [&] {
                return ownerOf(observer, zone) != owner && !ownerOf(observer, zone).empty();
            }));
        }
    }
}

SCENARIO("no task starts in a zone that was taken out while it was isolated", "[zone-out-while-cut]")
{
    const Fleet fleet;
    bringUp(fleet);
    const std::string zone = "cluj-a";
    const auto observer = observerOf(fleet, zone);
    // The first job fills the zone; the second waits for it and may only run there.
    REQUIRE(submitJob(observer, "first", zone, 3, 12s).status_ == 200);
    waitRunning(fleet, "first", 3);
    REQUIRE(submitJob(observer, "second", zone, 3, 5s).status_ == 200);
    fleet.cutZone(zone, true);
    REQUIRE(publishZoneState(observer, "take-out", 1, zone, "out").status_ == 200);

    bool started = false;
    const auto end = std::chrono::steady_clock::now() + 25s;
    while (std::chrono::steady_clock::now() < end) {
        started = started || !runningMembers(fleet, "second").empty();
        std::this_thread::sleep_for(100ms);
    }
    CHECK_FALSE(started);
    CHECK(runningMembers(fleet, "first").empty());

    WHEN("the zone is reconnected and taken in again")
    {
        fleet.cutZone(zone, false);
        REQUIRE(publishZoneState(observer, "take-in", getJson(observer, "/v1/rules").body_["version"], zone, "in").status_ == 200);
        THEN("the waiting job runs")
        {
            REQUIRE(eventually(90s, [&] {
                return jobState(observer, "second") == "finished";
            }));
        }
    }
}

SCENARIO("a worker that fails every task does not prevent jobs from finishing", "[failing-worker]")
{
    const Fleet fleet;
    bringUp(fleet);
    fleet.setFaults(fleet.workers().front(), {{"fail_every_task", true}});
    const auto &address = fleet.entries().front().address_;
    for (auto i = 0; i < 6; ++i) {
        REQUIRE(submitJob(address, "job-" + std::to_string(i), "cluj-a", 1, 1s).status_ == 200);
    }
    for (auto i = 0; i < 6; ++i) {
        REQUIRE(eventually(90s, [&] {
            return jobState(address, "job-" + std::to_string(i)) == "finished";
        }));
    }
}
