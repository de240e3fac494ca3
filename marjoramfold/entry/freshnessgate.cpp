#include "marjoramfold/entry/freshnessgate.h"

namespace Marjoramfold
{
namespace
{
auto isFresh(const std::optional<SteadyTime> &confirmation, SteadyTime now) -> bool
{
    return confirmation && now - *confirmation <= MaxConfirmationAge;
}
} // namespace

auto decideGate(const FreshnessInputs &inputs, SteadyTime now) -> GateDecision
{
    if (isFresh(inputs.ownConfirmation_, now)) {
        return {true, GateReason::OwnRead};
    }
    if (isFresh(inputs.relayedConfirmation_, now) && inputs.relayedVersionInForce_) {
        return {true, GateReason::RelayedRead};
    }
    if (inputs.logUnreachable_ && inputs.logDownEverywhere_) {
        return {true, GateReason::LogDownEverywhere};
    }
    return {false, GateReason::RulesNotConfirmed};
}

auto toString(GateReason reason) -> std::string_view
{
    switch (reason) {
    case GateReason::OwnRead:
        return "own_read";
    case GateReason::RelayedRead:
        return "relayed_read";
    case GateReason::LogDownEverywhere:
        return "log_down_everywhere";
    case GateReason::RulesNotConfirmed:
        return "rules_not_confirmed";
    }
    return "unknown";
}
} // namespace Marjoramfold
