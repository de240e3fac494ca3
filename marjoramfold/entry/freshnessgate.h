#pragma once

#include "marjoramfold/core/clock.h"

#include <optional>
#include <string_view>

namespace Marjoramfold
{
/// Tasks may start only if the rules were confirmed as current within this time.
constexpr std::chrono::milliseconds MaxConfirmationAge{3'000};

/// Inputs of the start gate.
struct FreshnessInputs {
    /// Start of the last own read that reached the end of the log.
    std::optional<SteadyTime> ownConfirmation_;
    /// Newest confirmation relayed by a peer, in this instance's steady time.
    std::optional<SteadyTime> relayedConfirmation_;
    /// The relayed confirmation is for a rules version not above the one in force here.
    bool relayedVersionInForce_ = false;
    /// Own reads of the log are failing.
    bool logUnreachable_ = false;
    /// Every availability zone in the rules responds, and none can read the log.
    bool logDownEverywhere_ = false;
};

/// Why the start gate is open or closed.
enum class GateReason {
    OwnRead,
    RelayedRead,
    LogDownEverywhere,
    RulesNotConfirmed,
};

struct GateDecision {
    bool open_ = false;
    GateReason reason_ = GateReason::RulesNotConfirmed;
};

/// Decides whether tasks may start, based on the age of the last confirmation that the rules are current.
///
/// An instance partitioned from the log and from other availability zones may have missed a rule that sets its zone to out, so it
/// starts no tasks. When no availability zone can read the log, operators cannot publish rules either, so starts are safe.
[[nodiscard]] auto decideGate(const FreshnessInputs &inputs, SteadyTime now) -> GateDecision;

/// Name of a reason in logs and status answers.
[[nodiscard]] auto toString(GateReason reason) -> std::string_view;
} // namespace Marjoramfold
