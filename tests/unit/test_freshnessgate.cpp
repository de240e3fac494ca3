#include "marjoramfold/entry/freshnessgate.h"

#include <catch2/catch.hpp>

using namespace Marjoramfold;
using namespace std::chrono_literals;

namespace
{
/// One state of knowledge and the decision that it must lead to.
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
    {"own read is fresh", 0ms, Never, false, false, false, true, GateReason::OwnRead},
    {"own read is just fresh", 3'000ms, Never, false, false, false, true, GateReason::OwnRead},
    {"own read is just stale", 3'001ms, Never, false, false, false, false, GateReason::RulesNotConfirmed},
    {"nothing was ever confirmed", Never, Never, false, true, false, false, GateReason::RulesNotConfirmed},
    {"a peer relays a fresh confirmation", 60'000ms, 2'000ms, true, true, false, true, GateReason::RelayedRead},
    {"the relayed confirmation is about rules not in force here", 60'000ms, 2'000ms, false, true, false, false, GateReason::RulesNotConfirmed},
    {"the relayed confirmation is stale", 60'000ms, 3'001ms, true, true, false, false, GateReason::RulesNotConfirmed},
    {"the log is down for everybody", 60'000ms, 60'000ms, true, true, true, true, GateReason::LogDownEverywhere},
    {"peers cannot read the log, this instance's reads only lag", 3'500ms, Never, true, false, true, false, GateReason::RulesNotConfirmed},
};

auto timeFrom(std::chrono::milliseconds age, SteadyTime now) -> std::optional<SteadyTime>
{
    return age < 0ms ? std::nullopt : std::optional(now - age);
}
} // namespace

SCENARIO("starts are held unless the rules are known to be current", "[gate]")
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
