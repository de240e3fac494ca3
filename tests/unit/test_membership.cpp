#include "membershipfleet.h"

#include <catch2/catch.hpp>

using namespace Marjoramfold;
using namespace std::chrono_literals;

namespace
{
const AvailabilityZoneId ZoneA("zone-a");
const AvailabilityZoneId ZoneB("zone-b");
const AvailabilityZoneId ZoneC("zone-c");

auto stateWith(Offset version, std::optional<std::chrono::milliseconds> age, bool readable) -> NodeState
{
    return {version, age, readable, {}};
}

/// Adds three instances in each of three zones: a1 to a3, b1 to b3, c1 to c3.
auto startThreeZones(MembershipFleet &fleet) -> void
{
    for (const auto *zone : {"a", "b", "c"}) {
        for (const auto *number : {"1", "2", "3"}) {
            fleet.add(std::string(zone) + number, std::string("zone-") + zone);
        }
    }
    fleet.run(8s);
}

auto crossesZone(const MembershipFleet::Node &from, const MembershipFleet::Node &to, const std::string &zone) -> bool
{
    return (from.options_.zone_.value() == zone) != (to.options_.zone_.value() == zone);
}

auto allKnow(MembershipFleet &fleet, std::size_t peers) -> bool
{
    return std::all_of(fleet.nodes_.begin(), fleet.nodes_.end(), [peers](const auto &item) {
        return !item.second->running_ || item.second->membership_->view().livePeers().size() == peers;
    });
}
} // namespace

SCENARIO("instances discover one another and elect delegates", "[membership]")
{
    MembershipFleet fleet;
    startThreeZones(fleet);

    REQUIRE(allKnow(fleet, 8));
    REQUIRE(fleet.view("a1").isDelegate());
    REQUIRE_FALSE(fleet.view("a2").isDelegate());
    REQUIRE(fleet.view("b3").zones() == std::vector{ZoneA, ZoneB, ZoneC});
    REQUIRE(fleet.view("c2").livePeers(ZoneA).size() == 3);

    WHEN("an instance dies")
    {
        const auto killedAt = fleet.now_;
        fleet.kill("b1");
        // Its last heartbeat was sent up to 500 ms before its end, so the last contact is now between 1.9 s and 2.4 s ago.
        fleet.run(1'900ms);
        THEN("it is suspected, and not confirmed dead before 2.5 s without a heartbeat")
        {
            REQUIRE(fleet.view("b2").ended().empty());
            REQUIRE(fleet.view("b2").livePeer(InstanceId("b1"))->suspected_);
        }
        fleet.run(1'300ms);
        THEN("all instances record it as dead and zone b has a new delegate")
        {
            for (const auto &[id, node] : fleet.nodes_) {
                CAPTURE(id);
                if (node->running_) {
                    const auto ended = node->membership_->view().ended();
                    REQUIRE(ended.size() == 1);
                    REQUIRE(ended.front().id_ == InstanceId("b1"));
                    REQUIRE(ended.front().since_ - killedAt <= 3s);
                    REQUIRE(node->membership_->view().hasEnded(InstanceId("b1"), 1));
                }
            }
            REQUIRE(fleet.view("b2").isDelegate());
        }
        AND_WHEN("it restarts as a new process")
        {
            fleet.add("b1", "zone-b", 2);
            fleet.run(5s);
            THEN("the new incarnation is live and the old one remains ended")
            {
                REQUIRE(allKnow(fleet, 8));
                REQUIRE(fleet.view("c3").hasEnded(InstanceId("b1"), 1));
                REQUIRE_FALSE(fleet.view("c3").hasEnded(InstanceId("b1"), 2));
                REQUIRE(fleet.view("c3").livePeer(InstanceId("b1"))->incarnation_ == 2);
            }
        }
    }
    WHEN("an instance leaves")
    {
        fleet.post("c1", DrainStarted());
        fleet.run(500ms);
        THEN("all instances list it as leaving, then at once as ended")
        {
            REQUIRE(fleet.view("a3").livePeer(InstanceId("c1"))->leaving_);
            fleet.post("c1", LeaveNow());
            fleet.kill("c1");
            fleet.run(100ms);
            REQUIRE(fleet.view("a3").ended().size() == 1);
            REQUIRE(fleet.view("a3").ended().front().left_);
        }
    }
}

SCENARIO("pauses and packet loss do not mark live instances as dead", "[membership]")
{
    MembershipFleet fleet;
    startThreeZones(fleet);
    WHEN("a process is paused for 1.4 s and resumes")
    {
        fleet.pause("a2", true);
        fleet.run(1'400ms);
        fleet.pause("a2", false);
        fleet.run(5s);
        THEN("it detects its own pause, and no instance is marked dead")
        {
            REQUIRE(fleet.node("a2").pauses_.size() == 1);
            REQUIRE(allKnow(fleet, 8));
        }
    }
    WHEN("a process is paused for 20 s")
    {
        fleet.pause("a2", true);
        fleet.run(20s);
        REQUIRE(fleet.view("a1").hasEnded(InstanceId("a2"), 1));
        fleet.pause("a2", false);
        fleet.run(10s);
        THEN("it refutes its death with the same incarnation, and has not marked any other instance dead")
        {
            REQUIRE(allKnow(fleet, 8));
            REQUIRE_FALSE(fleet.view("a1").hasEnded(InstanceId("a2"), 1));
            const auto &changes = fleet.node("a2").changes_;
            REQUIRE(std::none_of(changes.begin(), changes.end(), [](const MemberChanged &change) {
                return change.member_.status_ == MemberStatus::Dead;
            }));
        }
    }
    WHEN("one link between two members is cut")
    {
        fleet.isLost_ = [](const auto &from, const auto &to) {
            const auto pair = from.options_.self_.value() + to.options_.self_.value();
            return pair == "a1a2" || pair == "a2a1";
        };
        fleet.run(20s);
        THEN("indirect probes keep both alive")
        {
            REQUIRE(allKnow(fleet, 8));
        }
    }
    WHEN("every fifth datagram is lost")
    {
        unsigned count = 0;
        fleet.isLost_ = [&count](const auto & /*from*/, const auto & /*to*/) {
            return ++count % 5 == 0;
        };
        fleet.run(60s);
        THEN("no instance is marked dead")
        {
            REQUIRE(allKnow(fleet, 8));
            for (const auto &[id, node] : fleet.nodes_) {
                REQUIRE(node->membership_->view().ended().empty());
            }
        }
    }
}

SCENARIO("membership converges after a partition heals", "[membership]")
{
    MembershipFleet fleet;
    startThreeZones(fleet);
    WHEN("a zone is partitioned for 50 s")
    {
        fleet.isLost_ = [](const auto &from, const auto &to) {
            return crossesZone(from, to, "zone-a");
        };
        fleet.run(50s);
        THEN("the zones do not respond to each other, and no instance is marked dead")
        {
            REQUIRE_FALSE(fleet.view("b2").answers(ZoneA, fleet.now_));
            REQUIRE(fleet.view("b2").answers(ZoneC, fleet.now_));
            REQUIRE_FALSE(fleet.view("a3").answers(ZoneB, fleet.now_));
            REQUIRE(fleet.view("b1").ended().empty());
            REQUIRE(fleet.view("b1").livePeers(ZoneA).size() == 3);
        }
        AND_WHEN("the partition lasts 65 s")
        {
            fleet.run(15s);
            THEN("the members of the partitioned zone no longer count as live until the partition heals")
            {
                REQUIRE(fleet.view("b3").livePeers(ZoneA).empty());
                REQUIRE(fleet.view("b3").ended().empty());
                REQUIRE(fleet.view("a2").livePeers().size() == 2);
                fleet.run(600s);
                fleet.isLost_ = nullptr;
                fleet.run(5s);
                REQUIRE(allKnow(fleet, 8));
            }
        }
        AND_WHEN("all instances of the zone are replaced before the partition heals")
        {
            for (const auto *id : {"a1", "a2", "a3"}) {
                fleet.kill(id);
            }
            fleet.add("a7", "zone-a");
            fleet.add("a8", "zone-a");
            std::vector<ListedInstance> listed;
            for (const auto *id : {"a7", "a8", "b1", "b2", "b3", "c1", "c2", "c3"}) {
                listed.push_back({InstanceId(id), fleet.node(id).options_.zone_, fleet.node(id).options_.address_});
            }
            for (const auto &instance : listed) {
                fleet.post(instance.id_.value(), InstanceListRead{listed});
            }
            fleet.isLost_ = nullptr;
            fleet.run(20s);
            THEN("the new ones are discovered through the platform's list, and confirm the old ones dead")
            {
                REQUIRE(allKnow(fleet, 7));
                REQUIRE(fleet.view("c1").hasEnded(InstanceId("a1"), 1));
                REQUIRE(fleet.view("c1").answers(ZoneA, fleet.now_));
            }
        }
        AND_WHEN("the partition heals")
        {
            fleet.isLost_ = nullptr;
            fleet.run(3s);
            THEN("the zones respond again")
            {
                REQUIRE(fleet.view("b2").answers(ZoneA, fleet.now_));
                REQUIRE(fleet.view("a3").answers(ZoneB, fleet.now_));
                REQUIRE(allKnow(fleet, 8));
            }
        }
    }
    WHEN("one instance is partitioned from all others for a minute")
    {
        fleet.isLost_ = [](const auto &from, const auto &to) {
            return from.options_.self_ == InstanceId("b3") || to.options_.self_ == InstanceId("b3");
        };
        fleet.run(60s);
        REQUIRE(fleet.view("b1").hasEnded(InstanceId("b3"), 1));
        fleet.isLost_ = nullptr;
        fleet.run(15s);
        THEN("both sides list each other as live again")
        {
            REQUIRE(allKnow(fleet, 8));
        }
    }
}

SCENARIO("instances of a zone that all died at once are confirmed dead by new ones", "[membership]")
{
    MembershipFleet fleet;
    startThreeZones(fleet);
    for (const auto *id : {"c1", "c2", "c3"}) {
        fleet.kill(id);
    }
    fleet.run(70s);
    REQUIRE(fleet.view("a2").livePeers(ZoneC).empty());
    REQUIRE_FALSE(fleet.view("a2").hasEnded(InstanceId("c1"), 1));

    fleet.add("c4", "zone-c");
    fleet.add("c5", "zone-c");
    fleet.run(20s);
    REQUIRE(allKnow(fleet, 7));
    REQUIRE(fleet.view("a2").hasEnded(InstanceId("c1"), 1));
    REQUIRE(fleet.view("b3").livePeers(ZoneC).size() == 2);
}

SCENARIO("rule confirmations are relayed with their ages", "[membership]")
{
    MembershipFleet fleet;
    startThreeZones(fleet);
    for (const auto &[id, node] : fleet.nodes_) {
        fleet.post(id, LocalStateChanged{stateWith(7, std::nullopt, false)});
    }
    fleet.post("b3", LocalStateChanged{stateWith(9, 400ms, true)});
    const auto confirmedAt = fleet.now_ - 400ms;
    fleet.run(2'500ms);

    GIVEN("one instance of zone b that read the log")
    {
        THEN("members of other zones receive the version and an age that is not underestimated, and the delegate has the id of an instance with it")
        {
            const auto confirmation = fleet.view("c2").freshestConfirmation(ConfirmationScope::OtherZones, fleet.now_);
            REQUIRE(confirmation);
            REQUIRE(confirmation->zone_ == ZoneB);
            REQUIRE(confirmation->version_ == 9);
            REQUIRE(confirmation->age_ >= fleet.now_ - confirmedAt);
            REQUIRE(confirmation->age_ <= fleet.now_ - confirmedAt + 20ms);
            REQUIRE(fleet.view("b2").freshestConfirmation(ConfirmationScope::AllZones, fleet.now_)->version_ == 9);
            // A digest offers its delegate as source of the rules only once the delegate itself has the version.
            REQUIRE(fleet.view("c2").newestRules().version_ == 7);
            REQUIRE(fleet.view("b1").newestRules().holder_ == InstanceId("b3"));
        }
        THEN("the log counts as readable for a list of zones that includes zone b")
        {
            const auto answer = fleet.view("a2").logAnswer({ZoneA, ZoneB, ZoneC}, fleet.now_);
            REQUIRE(answer.allAnswer_);
            REQUIRE_FALSE(answer.noneCanRead_);
            REQUIRE(fleet.view("a2").logAnswer({ZoneA, ZoneC}, fleet.now_).noneCanRead_);
            REQUIRE_FALSE(fleet.view("a2").logAnswer({ZoneA, AvailabilityZoneId("zone-x")}, fleet.now_).allAnswer_);
        }
        THEN("the version in force in a zone counts the instances that have not confirmed it")
        {
            const auto inForce = fleet.view("a3").inForce(ZoneB, 9, fleet.now_);
            REQUIRE(inForce.answers_);
            REQUIRE_FALSE(inForce.inForce_);
            REQUIRE(inForce.unconfirmed_ == 2);
            REQUIRE(fleet.view("a3").inForce(ZoneB, 7, fleet.now_).inForce_);
            REQUIRE(fleet.view("a3").inForce(ZoneB, 7, fleet.now_).since_);
        }
    }
    GIVEN("a delegate that also has the version")
    {
        fleet.post("b1", LocalStateChanged{stateWith(9, std::nullopt, false)});
        fleet.post("b2", LocalStateChanged{stateWith(9, std::nullopt, false)});
        fleet.run(2'500ms);
        THEN("other zones can fetch it from the delegate, and it is in force in zone b")
        {
            REQUIRE(fleet.view("c3").newestRules().version_ == 9);
            REQUIRE(fleet.view("c3").newestRules().holder_ == InstanceId("b1"));
            REQUIRE(fleet.view("c3").inForce(ZoneB, 9, fleet.now_).inForce_);
        }
    }
    GIVEN("a network that delays every datagram between zones by 5 s")
    {
        fleet.delay_ = [](const auto &from, const auto &to) -> std::chrono::microseconds {
            return from.options_.zone_ == to.options_.zone_ ? 500us : 5s;
        };
        for (auto i = 0; i < 30; ++i) {
            fleet.post("b3", LocalStateChanged{stateWith(9, 0ms, true)});
            fleet.run(500ms);
        }
        THEN("the age includes the delay, so that an old confirmation does not appear fresh")
        {
            const auto confirmation = fleet.view("c2").freshestConfirmation(ConfirmationScope::OtherZones, fleet.now_);
            REQUIRE(confirmation);
            REQUIRE(confirmation->age_ >= 5s);
        }
    }
    GIVEN("a receiver that is paused while digests arrive")
    {
        fleet.run(500ms);
        fleet.pause("c1", true);
        const auto seenBefore = fleet.now_;
        fleet.run(4s);
        fleet.pause("c1", false);
        THEN("the age includes the time in its socket buffer")
        {
            const auto confirmation = fleet.view("c1").freshestConfirmation(ConfirmationScope::OtherZones, fleet.now_);
            REQUIRE(confirmation);
            REQUIRE(confirmation->age_ >= fleet.now_ - confirmedAt);
            REQUIRE(seenBefore < fleet.now_);
        }
    }
}

SCENARIO("the capacity of the owner with the highest epoch is used", "[membership]")
{
    MembershipFleet fleet;
    startThreeZones(fleet);
    auto owner = stateWith(1, 0ms, true);
    owner.capacities_ = {{ZoneA, {10, 0}, 1, 40, 16, 3}};
    fleet.post("a2", LocalStateChanged{owner});
    fleet.run(8s);
    REQUIRE(fleet.view("c3").capacity(ZoneA)->freeAccelerators_ == 40);

    // An instance of another zone became the owner; capacities of the former owner must be ignored.
    auto deputy = stateWith(1, 0ms, true);
    deputy.capacities_ = {{ZoneA, {12, 0}, 1, 8, 4, 9}};
    fleet.post("b2", LocalStateChanged{deputy});
    fleet.run(8s);
    owner.capacities_.front().counter_ = 99;
    fleet.post("a2", LocalStateChanged{owner});
    fleet.run(8s);
    for (const auto &[id, node] : fleet.nodes_) {
        CAPTURE(id);
        REQUIRE(node->membership_->view().capacity(ZoneA)->freeAccelerators_ == 8);
    }
}
