#include "membershipfleet.h"

#include <catch2/catch.hpp>
#include <malloc.h>

#include <cstdio>
#include <ctime>

using namespace Marjoramfold;
using namespace std::chrono_literals;

namespace
{
/// Bytes of the IPv4 and UDP headers of each datagram.
constexpr double HeaderBytes = 28;

/// Design budget for the control traffic of a node, in each direction.
constexpr double BudgetBytesPerSecond = 3'000;

/// Network traffic of a node, averaged over the run.
struct NodeCost {
    double datagramsPerSecond_ = 0;
    /// Bytes include the headers.
    double sentBytesPerSecond_ = 0;
    double receivedBytesPerSecond_ = 0;
};

struct FleetCost {
    NodeCost mean_;
    /// Maximum over all nodes, for each value separately.
    NodeCost highest_;
    double coreShare_ = 0;
    double memoryMb_ = 0;
};

auto processorSeconds() -> double
{
    timespec time{};
    clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &time);
    return static_cast<double>(time.tv_sec) + static_cast<double>(time.tv_nsec) / 1e9;
}

/// Heap memory in use, in MB. The resident size would include freed memory of earlier runs, which is reused.
auto heapMb() -> double
{
    const auto info = mallinfo2();
    return static_cast<double>(info.uordblks + info.hblkhd) / 1e6;
}

auto costOf(const FleetTraffic &traffic, double seconds) -> NodeCost
{
    const auto rate = [seconds](std::uint64_t datagrams, std::uint64_t bytes) {
        return (static_cast<double>(bytes) + HeaderBytes * static_cast<double>(datagrams)) / seconds;
    };
    return {static_cast<double>(traffic.sent_) / seconds, rate(traffic.sent_, traffic.sentBytes_), rate(traffic.received_, traffic.receivedBytes_)};
}

/// Posts the states of nodes that all read the log once a second; the first node of each zone owns the zone.
auto postStates(MembershipFleet &fleet, int zones, std::uint32_t counter) -> void
{
    auto index = 0;
    for (const auto &[id, node] : fleet.nodes_) {
        NodeState state{1'000'000, 30ms, true, {}};
        if (index++ < zones) {
            state.capacities_ = {{node->options_.zone_, {500'000, 0}, counter, 40, 16, 12}};
        }
        fleet.post(id, LocalStateChanged{state});
    }
}

/// Measures a fleet without faults after it has converged.
auto measure(int instances, int zones, bool fullMesh, std::chrono::seconds duration) -> FleetCost
{
    const auto memoryBefore = heapMb();
    MembershipFleet fleet;
    fleet.template_.fullMesh_ = fullMesh;
    for (auto i = 0; i < instances; ++i) {
        // Ids and zone names are as long as those in the fleets of the system's two users.
        std::array<char, 32> id{};
        std::snprintf(id.data(), id.size(), "entry-%03d-%06x", i, 0xa81f3c + 7919 * i);
        fleet.add(id.data(), "petrolina-" + std::to_string(i % zones));
    }
    const auto run = [&fleet, zones](std::chrono::seconds seconds) {
        for (auto second = 0; second < seconds.count(); ++second) {
            postStates(fleet, zones, static_cast<std::uint32_t>(second));
            fleet.run(1s);
        }
    };
    run(30s);
    for (const auto &[id, node] : fleet.nodes_) {
        REQUIRE(node->membership_->view().livePeers().size() == static_cast<std::size_t>(instances - 1));
        node->traffic_ = {};
    }
    const auto started = processorSeconds();
    run(duration);
    const auto seconds = static_cast<double>(duration.count());

    FleetCost cost;
    cost.coreShare_ = (processorSeconds() - started) / seconds / instances;
    cost.memoryMb_ = (heapMb() - memoryBefore) / instances;
    for (const auto &[id, node] : fleet.nodes_) {
        const auto own = costOf(node->traffic_, seconds);
        cost.mean_.datagramsPerSecond_ += own.datagramsPerSecond_ / instances;
        cost.mean_.sentBytesPerSecond_ += own.sentBytesPerSecond_ / instances;
        cost.mean_.receivedBytesPerSecond_ += own.receivedBytesPerSecond_ / instances;
        cost.highest_.datagramsPerSecond_ = std::max(cost.highest_.datagramsPerSecond_, own.datagramsPerSecond_);
        cost.highest_.sentBytesPerSecond_ = std::max(cost.highest_.sentBytesPerSecond_, own.sentBytesPerSecond_);
        cost.highest_.receivedBytesPerSecond_ = std::max(cost.highest_.receivedBytesPerSecond_, own.receivedBytesPerSecond_);
    }
    return cost;
}

auto printRow(const char *layout, int instances, int zones, const FleetCost &cost) -> void
{
    std::printf("| %-9s | %3d | %2d | %6.1f | %6.1f | %7.2f | %7.2f | %7.2f | %7.2f | %6.3f | %6.2f |\n",
                layout,
                instances,
                zones,
                cost.mean_.datagramsPerSecond_,
                cost.highest_.datagramsPerSecond_,
                cost.mean_.sentBytesPerSecond_ / 1e3,
                cost.highest_.sentBytesPerSecond_ / 1e3,
                cost.mean_.receivedBytesPerSecond_ / 1e3,
                cost.highest_.receivedBytesPerSecond_ / 1e3,
                cost.coreShare_ * 100,
                cost.memoryMb_);
}
} // namespace

SCENARIO("control traffic of every node stays within the budget", "[membership][cost]")
{
    // Fails when messages become so large or so frequent that a node exceeds 3 KB/s in one direction.
    struct Layout {
        int instances_;
        int zones_;
    };
    const auto layout = GENERATE(Layout{8, 4}, Layout{16, 4}, Layout{32, 4}, Layout{64, 4}, Layout{64, 10});
    CAPTURE(layout.instances_, layout.zones_);
    const auto cost = measure(layout.instances_, layout.zones_, false, 60s);
    CHECK(cost.highest_.sentBytesPerSecond_ <= BudgetBytesPerSecond);
    CHECK(cost.highest_.receivedBytesPerSecond_ <= BudgetBytesPerSecond);
}

TEST_CASE("print the cost of membership", "[.measure-membership]")
{
    std::printf("| layout    | n   | zones | datagrams/s mean | max | sent KB/s mean | max | received KB/s mean | max | core %% | MB |\n");
    std::printf("|---|---|---|---|---|---|---|---|---|---|---|\n");
    for (const auto instances : {8, 16, 32, 64}) {
        printRow("zones", instances, 4, measure(instances, 4, false, 120s));
    }
    printRow("zones", 64, 10, measure(64, 10, false, 120s));
    for (const auto instances : {8, 16, 32, 64}) {
        printRow("full mesh", instances, 4, measure(instances, 4, true, 120s));
    }
}
