#include "marjoramfold/entry/freshnessgate.h"

#include <catch2/catch.hpp>

using namespace Marjoramfold;
using namespace std::chrono_literals;

namespace
{
/// Inputs of the gate and the expected decision.
struct GateCase {
    const char *name_;
    std::chrono::milliseconds ownAge_;
    std::chrono::milliseconds relayedAge_;
    bool relayedVersionInForce_;
    bool logUnreachable_;
    bool logDownEverywhere_;
    bool open_;
    GateReason reason_;
};

constexpr auto Never = std::chrono::milliseconds(-1);

constexpr GateCase Cases[] = {
    {"own read just now", 0ms, Never, false, false, false, true, GateReason::OwnRead},
    {"own read exactly at the age limit", 3'000ms, Never, false, false, false, true, GateReason::OwnRead},
    {"own read 1 ms above the age limit", 3'001ms, Never, false, false, false, false, GateReason::RulesNotConfirmed},
    {"no confirmation so far", Never, Never, false, true, false, false, GateReason::RulesNotConfirmed},
    {"a peer relays a fresh confirmation", 60'000ms, 2'000ms, true, true, false, true, GateReason::RelayedRead},
    {"the relayed confirmation is for a newer rules version than the one in force here",
     60'000ms,
     2'000ms,
     false,
     true,
     false,
     false,
     GateReason::RulesNotConfirmed},
    {"the relayed confirmation is stale", 60'000ms, 3'001ms, true, true, false, false, GateReason::RulesNotConfirmed},
    {"no availability zone can read the log", 60'000ms, 60'000ms, true, true, true, true, GateReason::LogDownEverywhere},
    {"peers cannot read the log, but this instance's reads are only late", 3'500ms, Never, true, false, true, false, GateReason::RulesNotConfirmed},
};

auto timeFrom(std::chrono::milliseconds age, SteadyTime now) -> std::optional<SteadyTime>
{
    return age < 0ms ? std::nullopt : std::optional(now - age);
}
} // namespace

SCENARIO("the start gate opens only while the rules are confirmed as current or the log is down everywhere", "[gate]")
{
    const SteadyTime now{1h};
    for (const auto &row : Cases) {
        DYNAMIC_SECTION(row.name_)
        {
            const FreshnessInputs inputs{
                timeFrom(row.ownAge_, now), timeFrom(row.relayedAge_, now), row.relayedVersionInForce_, row.logUnreachable_, row.logDownEverywhere_};
            const auto decision = decideGate(inputs, now);
            CHECK(decision.open_ == row.open_);
            CHECK(decision.reason_ == row.reason_);
        }
    }
}
