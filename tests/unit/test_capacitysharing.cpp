#include "marjoramfold/dispatch/delaycost.h"
#include "marjoramfold/dispatch/idlereserve.h"
#include "marjoramfold/dispatch/reservationpolicy.h"
#include "marjoramfold/dispatch/workerselector.h"

#include <catch2/catch.hpp>

#include <set>
#include <string>

using namespace Marjoramfold;
using namespace std::chrono_literals;

namespace
{
constexpr BootTime Now(100s);

/// Racks of equal idle workers with eight accelerators.
class Racks
{
public:
    Racks(unsigned racks, unsigned workersPerRack)
    {
        for (unsigned rack = 0; rack < racks; ++rack) {
            for (unsigned i = 0; i < workersPerRack; ++i) {
                // The worker ids mix the racks, so that an order by id spreads work over all of them.
                auto session = std::make_unique<WorkerSession>();
                session->entry_.id_ = WorkerId("w" + std::to_string(i) + "-" + std::to_string(rack));
                session->entry_.pool_ = "pool";
                session->entry_.rack_ = RackId("rack-" + std::to_string(rack));
                session->entry_.capacity_ = {32'000, 65'536, 8};
                session->responded_ = true;
                const auto id = session->entry_.id_;
                sessions_.emplace(id, std::move(session));
            }
        }
    }

    [[nodiscard]] auto selector(bool packed) const -> WorkerSelector
    {
        WorkerSelector selector(sessions_, {}, {}, 5s, Now);
        if (packed) {
            selector.packRacks();
        }
        return selector;
    }

    /// Places bulk tasks one by one, as they arrive.
    static auto placeBulk(WorkerSelector &selector, unsigned count) -> void
    {
        StepPlan step;
        step.count_ = 1;
        step.task_ = {2'800, 4'100, 1};
        const PlacementRequest request{&step, "pool", 1, 2, false, {}, {}, {}};
        for (unsigned i = 0; i < count; ++i) {
            const auto choice = selector.findPlacement(request, true);
            REQUIRE(choice);
            selector.allocate(*choice->workers_.front(), step.task_);
        }
    }

    /// True when a gang of whole workers finds room in one rack.
    static auto holdsGang(WorkerSelector &selector, std::uint32_t width) -> bool
    {
        StepPlan step;
        step.count_ = width;
        step.task_ = {3'700, 9'800, 8};
        step.gang_ = true;
        step.prefersOneRack_ = true;
        return selector.findPlacement({&step, "pool", width, 0, true, {}, {}, {}}, true).has_value();
    }

private:
    WorkerSessionMap sessions_;
};
} // namespace

TEST_CASE("idle workers stay together while bulk arrives", "[dispatch][sharing]")
{
    // Guards against the load pattern in which a steady flow of bulk leaves one idle worker in each rack, so that an urgent gang that needs one
    // rack has to stop other work although many workers are idle.
    const Racks racks(4, 6);

    SECTION("bulk fills one rack after the other")
    {
        auto selector = racks.selector(true);
        Racks::placeBulk(selector, 12 * 8);
        CHECK(Racks::holdsGang(selector, 6));

        SECTION("without packing the same bulk leaves no whole rack")
        {
            auto spread = racks.selector(false);
            Racks::placeBulk(spread, 12 * 8);
            CHECK_FALSE(Racks::holdsGang(spread, 6));
        }
    }

    SECTION("the reserve remains for urgent work when bulk has taken all that it may")
    {
        auto selector = racks.selector(true);
        Racks::placeBulk(selector, 23 * 8);
        CHECK(Racks::holdsGang(selector, 1));
    }
}

TEST_CASE("the idle reserve counts workers by pool and rack", "[dispatch][sharing]")
{
    IdleReserve reserve;
    for (int i = 0; i < 50; ++i) {
        reserve.addWorker("a", i < 25 ? "left" : "right", i % 5 == 0);
    }
    reserve.addWorker("b", "left", true);

    SECTION("a share of the pool's workers is kept, whether they are idle or not")
    {
        CHECK(reserve.spareWorkers("a") == 7);
        CHECK(reserve.spareWorkers("b") == 1);
        CHECK(reserve.spareWorkers("unknown") == 0);
    }

    SECTION("a worker that got work is not idle any more")
    {
        reserve.takeIdle("a", "left");
        CHECK(reserve.spareWorkers("a") == 6);
        CHECK(reserve.idleInRack("left") == 5);
        CHECK(reserve.idleInRack("right") == 5);
    }
}

TEST_CASE("more gangs reserve workers, and sooner, when room is shared by cost", "[dispatch][sharing]")
{
    // Guards against large gangs that wait without end behind bulk, and against reservations that empty a fleet.
    const ReservationPolicy before(false);
    const ReservationPolicy byCost(true);

    SECTION("on a full fleet")
    {
        CHECK_FALSE(before.mayReserve(500ms, 0, 0.9));
        CHECK(byCost.mayReserve(500ms, 0, 0.9));
        CHECK_FALSE(before.mayReserve(2s, 2, 0.9));
        CHECK(byCost.mayReserve(2s, 2, 0.9));
    }

    SECTION("never for a gang whose room is just being freed, nor without end")
    {
        CHECK_FALSE(byCost.mayReserve(200ms, 0, 0.9));
        CHECK_FALSE(byCost.mayReserve(2s, byCost.maxGangs(), 0.9));
    }

    SECTION("never while the fleet has room, where other work must not wait for a gang")
    {
        CHECK_FALSE(before.mayReserve(10s, 0, 0.6));
        CHECK_FALSE(byCost.mayReserve(10s, 0, 0.6));
    }
}

TEST_CASE("a stop costs more where it makes a caller's job late", "[dispatch][sharing]")
{
    // Guards against stops that are cheap in core-seconds and cost a caller the timely end.
    SECTION("a job with time to spare")
    {
        CHECK(delayWeight({20s, 30s, 40s, 120s}) == 1.0);
    }

    SECTION("a job that would miss its objective by the stop")
    {
        CHECK(delayWeight({35s, 45s, 40s, 120s}) > delayWeight({20s, 30s, 40s, 120s}));
    }

    SECTION("a job that is late already loses nothing more before its last useful time")
    {
        CHECK(delayWeight({60s, 70s, 40s, 120s}) == 1.0);
        CHECK(delayWeight({115s, 125s, 40s, 120s}) > 1.0);
    }

    SECTION("a job that can be of no use any more goes first")
    {
        CHECK(delayWeight({130s, 140s, 40s, 120s}) < 1.0);
    }
}
