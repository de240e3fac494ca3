#include "fleet.h"

#include <catch2/catch.hpp>

#include <atomic>
#include <csignal>
#include <map>
#include <thread>

using namespace Marjoramfold;
using namespace std::chrono_literals;

namespace
{
/// Polls the rules version of every entry, and counts how often one reverts to an older version.
class VersionMonitor
{
public:
    explicit VersionMonitor(const Fleet &fleet)
        : fleet_(fleet)
        , thread_([this] {
            run();
        })
    {
    }

    ~VersionMonitor()
    {
        stop();
    }

    VersionMonitor(const VersionMonitor &) = delete;
    auto operator=(const VersionMonitor &) -> VersionMonitor & = delete;

    /// Stops polling; returns the number of times that an entry reported an older version after a newer one.
    auto stop() -> int
    {
        stopping_ = true;
        if (thread_.joinable()) {
            thread_.join();
        }
        return reverted_;
    }

private:
    auto run() -> void
    {
        std::map<std::string, Offset> newest;
        while (!stopping_) {
            for (const auto &entry : fleet_.entries()) {
                const auto answer = getJson(entry.address_, "/v1/rules");
                if (answer.status_ != 200) {
                    continue;
                }
                const auto version = answer.body_["version"].get<Offset>();
                reverted_ += version < newest[entry.name_] ? 1 : 0;
                newest[entry.name_] = std::max(newest[entry.name_], version);
            }
            std::this_thread::sleep_for(50ms);
        }
    }

    const Fleet &fleet_;
    std::atomic<bool> stopping_ = false;
    std::atomic<int> reverted_ = 0;
    std::thread thread_;
};

auto allAtLeast(const Fleet &fleet, Offset version) -> bool
{
    for (const auto &entry : fleet.entries()) {
        const auto answer = getJson(entry.address_, "/v1/rules");
        if (answer.status_ != 200 || answer.body_["version"].get<Offset>() < version) {
            return false;
        }
    }
    return true;
}
} // namespace

SCENARIO("operators publish concurrently while answers of the log are lost", "[publish-race]")
{
    const Fleet fleet;
    bringUp(fleet);
    VersionMonitor monitor(fleet);
    const auto &first = fleet.entries()[0].address_;
    const auto &second = fleet.entries()[5].address_;
    for (auto round = 0; round < 5; ++round) {
        const auto base = getJson(first, "/v1/rules").body_["version"].get<Offset>();
        REQUIRE(eventually(30s, [&] {
            return allAtLeast(fleet, base);
        }));
        fleet.setPlatformFaults({{"append_answer_loss", 0.5}});
        JsonAnswer answers[2];
        std::thread other([&] {
            answers[1] = publishZoneState(second, "b-" + std::to_string(round), base, "sibiu-c", round % 2 == 0 ? "out" : "in");
        });
        answers[0] = publishZoneState(first, "a-" + std::to_string(round), base, "brasov-b", round % 2 == 0 ? "out" : "in");
        other.join();
        fleet.setPlatformFaults({{"append_answer_loss", 0}});
        // Exactly one edit of a base version is accepted, and the other one is rejected as stale.
        const auto accepted = (answers[0].status_ == 200 ? 1 : 0) + (answers[1].status_ == 200 ? 1 : 0);
        CHECK(accepted == 1);
        for (const auto &answer : answers) {
            if (answer.status_ != 200) {
                REQUIRE(answer.body_.is_object());
                CHECK(answer.body_["error"]["kind"] == "stale_version");
            }
        }
        // Every instance reaches the same decision.
        REQUIRE(eventually(30s, [&] {
            return allAtLeast(fleet, base + 1);
        }));
        const auto history = getJson(first, "/v1/rules/history").body_;
        for (const auto &entry : fleet.entries()) {
            CHECK(getJson(entry.address_, "/v1/rules").body_["text"] == getJson(first, "/v1/rules").body_["text"]);
        }
    }
    CHECK(monitor.stop() == 0);
}

SCENARIO("an instance that starts during a log outage gets the rules from its peers", "[rules-from-peers]")
{
    const Fleet fleet;
    bringUp(fleet);
    REQUIRE(publishZoneState(fleet.entries()[0].address_, "second", 1, "sibiu-c", "out").status_ == 200);
    const auto version = getJson(fleet.entries()[0].address_, "/v1/rules").body_["version"].get<Offset>();
    REQUIRE(eventually(30s, [&] {
        return allAtLeast(fleet, version);
    }));
    VersionMonitor monitor(fleet);
    fleet.setPlatformFaults({{"outage", true}});
    for (const auto *name : {"entry-1", "entry-4"}) {
        const auto pid = fleet.pidOf(name);
        fleet.signal(name, SIGKILL);
        REQUIRE(eventually(30s, [&] {
            return fleet.pidOf(name) != pid && fleet.pidOf(name) > 0;
        }));
        REQUIRE(eventually(30s, [&] {
            const auto rules = getJson(fleet.entry(name).address_, "/v1/rules");
            return rules.status_ == 200 && rules.body_["version"].get<Offset>() == version;
        }));
    }
    fleet.setPlatformFaults({{"outage", false}});
    CHECK(monitor.stop() == 0);
}
