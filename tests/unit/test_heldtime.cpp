#include "marjoramfold/dispatch/heldtime.h"
#include "marjoramfold/dispatch/preferences.h"

#include <catch2/catch.hpp>

using namespace Marjoramfold;
using namespace std::chrono_literals;

TEST_CASE("the time for which a step is held back", "[dispatch][held]")
{
    const BootTime start{100s};
    HeldTime held;
    CHECK(held.total() == 0ms);
    held.update(start, true);
    CHECK(held.total() == 0ms);
    CHECK(held.isHeld());

    SECTION("counts from pass to pass")
    {
        held.update(start + 400ms, true);
        CHECK(held.total() == 400ms);
        CHECK(held.expectedTotal() == 800ms);

        SECTION("and stands while nothing holds the step back")
        {
            held.update(start + 500ms, false);
            CHECK(held.total() == 500ms);
            CHECK_FALSE(held.isHeld());
            held.update(start + 5s, true);
            CHECK(held.total() == 500ms);
            held.update(start + 5'100ms, true);
            CHECK(held.total() == 600ms);
        }
    }

    SECTION("counts once when a pass asks for several parts of the step")
    {
        held.update(start, false);
        CHECK(held.isHeld());
        held.update(start + 400ms, false);
        held.update(start + 400ms, true);
        CHECK(held.total() == 400ms);
        CHECK(held.isHeld());
    }

    SECTION("goes on from what a former leader may have used")
    {
        held.assume(1'500ms);
        held.update(start + 100ms, true);
        CHECK(held.total() == 1'600ms);
    }
}

TEST_CASE("a set of preferences has names", "[dispatch][held]")
{
    PreferenceSet preferences{Preference::Locality, Preference::Avoidance};
    CHECK(toString(preferences) == "avoidance+locality");
    preferences.add(PreferenceSet{Preference::IdleReserve});
    CHECK(toString(preferences) == "avoidance+idle_reserve+locality");
    preferences.remove(Preference::IdleReserve);
    preferences.remove(Preference::Avoidance);
    CHECK(toString(preferences) == "locality");
    CHECK_FALSE(preferences.contains(Preference::Avoidance));
    preferences.remove(Preference::Locality);
    CHECK(preferences.isEmpty());
    CHECK(toString(preferences).empty());
}
