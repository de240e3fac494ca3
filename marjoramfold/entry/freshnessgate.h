#pragma once

#include "marjoramfold/core/clock.h"

#include <optional>
#include <string_view>

namespace Marjoramfold
{
/// A start needs the rules confirmed current within this time.
constexpr std::chrono::milliseconds MaxConfirmationAge{3'000};

/// What an instance knows about the freshness of its rules.
struct FreshnessInputs {
    /// Start of the newest own read of the end of the log that succeeded.
    std::optional<SteadyTime> ownConfirmation_;
    /// Newest confirmation that a peer of another instance relayed, in this instance's steady time.
    std::optional<SteadyTime> relayedConfirmation_;
    /// Version of the rules that the relayed confirmation is about is at most the version in force here.
    bool relayedVersionInForce_ = false;
    /// Own reads of the log fail now.
    bool logUnreachable_ = false;
    /// Every availability zone that the rules name answers, and none can read the log.
    bool logDownEverywhere_ = false;
};

/// Why starts are allowed or not.
enum class GateReason {
    OwnRead,
    RelayedRead,
    LogDownEverywhere,
    RulesNotConfirmed,
};

/// Decision of the gate.
struct GateDecision {
    bool open_ = false;
    GateReason reason_ = GateReason::RulesNotConfirmed;
};

/// Decides whether tasks may start, by the freshness of the rules.
///
/// An instance that is cut off from the log and from other availability zones may have missed that operators took its
/// zone out, so it holds new starts. When the log is down for everybody, operators cannot publish either.
[[nodiscard]] auto decideGate(const FreshnessInputs &inputs, SteadyTime now) -> GateDecision;

/// Name of a reason for logs and status answers.
[[nodiscard]] auto toString(GateReason reason) -> std::string_view;
} // namespace Marjoramfold
