#include "marjoramfold/membership/membershiploop.h"

#include <asio/io_context.hpp>
#include <catch2/catch.hpp>
#include <malloc.h>

#include <algorithm>
#include <cstdio>
#include <ctime>

using namespace Marjoramfold;
using namespace std::chrono_literals;

namespace
{
/// Bytes of the IPv4 and UDP headers of each datagram.
constexpr double HeaderBytes = 28;

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

/// Instances in one process that communicate over loopback sockets.
class LoopbackFleet
{
public:
    LoopbackFleet(int instances, int zones, bool fullMesh)
    {
        keys_.accept(1, "0123456789abcdef0123456789abcdef");
        keys_.signWith(1);
        std::string seed;
        for (auto i = 0; i < instances; ++i) {
            MembershipOptions options;
            options.self_ = InstanceId("entry-" + std::to_string(100 + i) + "-a81f3c");
            options.incarnation_ = 1;
            options.zone_ = AvailabilityZoneId("petrolina-" + std::to_string(i % zones));
            options.fullMesh_ = fullMesh;
            options.randomSeed_ = static_cast<std::uint32_t>(i + 1);
            if (!seed.empty()) {
                options.seeds_ = {seed};
            }
            loops_.push_back(std::make_unique<MembershipLoop>(context_, keys_, MembershipLoop::Hooks{}));
            const auto port = loops_.back()->start(options, "127.0.0.1", 0);
            if (seed.empty()) {
                seed = "127.0.0.1:" + std::to_string(port);
            }
        }
    }

    /// Runs the io_context; every instance confirms the rules once a second.
    auto run(std::chrono::seconds duration) -> void
    {
        for (auto second = 0; second < duration.count(); ++second) {
            for (const auto &loop : loops_) {
                loop->post(LocalStateChanged{{1'000'000, 30ms, true, {}}});
            }
            context_.restart();
            context_.run_for(1s);
        }
    }

    [[nodiscard]] auto isComplete() const -> bool
    {
        return std::all_of(loops_.begin(), loops_.end(), [this](const auto &loop) {
            return loop->view().livePeers().size() == loops_.size() - 1;
        });
    }

    asio::io_context context_;
    KeyRing keys_;
    std::vector<std::unique_ptr<MembershipLoop>> loops_;
};

auto printRow(const char *layout, int instances, int zones, bool fullMesh) -> void
{
    constexpr std::chrono::seconds Duration = 20s;
    const auto memoryBefore = heapMb();
    LoopbackFleet fleet(instances, zones, fullMesh);
    fleet.run(15s);
    REQUIRE(fleet.isComplete());
    std::vector<DatagramCounters> before;
    for (const auto &loop : fleet.loops_) {
        before.push_back(loop->transport().counters());
    }
    const auto started = processorSeconds();
    fleet.run(Duration);
    const auto seconds = static_cast<double>(Duration.count());
    const auto share = (processorSeconds() - started) / seconds / instances;

    auto mean = 0.0;
    auto highest = 0.0;
    auto datagrams = 0.0;
    for (std::size_t i = 0; i < fleet.loops_.size(); ++i) {
        const auto &after = fleet.loops_[i]->transport().counters();
        const auto sent = static_cast<double>(after.sent_ - before[i].sent_);
        const auto bytes = (static_cast<double>(after.sentBytes_ - before[i].sentBytes_) + HeaderBytes * sent) / seconds;
        datagrams += sent / seconds / instances;
        mean += bytes / instances;
        highest = std::max(highest, bytes);
    }
    std::printf("| %-9s | %3d | %2d | %6.1f | %7.2f | %7.2f | %6.3f | %6.2f |\n",
                layout,
                instances,
                zones,
                datagrams,
                mean / 1e3,
                highest / 1e3,
                share * 100,
                (heapMb() - memoryBefore) / instances);
    std::fflush(stdout);
}
} // namespace

TEST_CASE("print the cost of membership on loopback", "[.measure-membership]")
{
    std::printf("| layout    | n   | zones | datagrams/s mean | sent KB/s mean | max | core %% | MB |\n");
    std::printf("|---|---|---|---|---|---|---|---|\n");
    for (const auto instances : {8, 16, 32, 64}) {
        printRow("zones", instances, 4, false);
    }
    printRow("zones", 64, 10, false);
    for (const auto instances : {8, 16, 32, 64}) {
        printRow("full mesh", instances, 4, true);
    }
}
