#pragma once

#include "marjoramfold/routing/intenttable.h"
#include "marjoramfold/routing/issuedkeys.h"
#include "marjoramfold/routing/request.h"
#include "marjoramfold/routing/targetpool.h"

#include <memory>
#include <variant>

namespace Marjoramfold
{
/// A caller submitted a request.
struct RequestArrived {
    RequestNumber number_ = 0;
    TeamId team_;
    PriorityClass priority_ = PriorityClass::Normal;
    std::string key_;
    /// Hash of team and body.
    std::uint64_t fingerprint_ = 0;
    bool idempotent_ = true;
    bool forwarded_ = false;
    SteadyTime deadline_;
};

/// An exchange with a target ended with an answer.
struct TargetAnswered {
    RequestNumber number_ = 0;
    RoutedAnswer answer_;
    std::chrono::microseconds latency_{0};
};

/// An exchange with a target ended without an answer that may be returned to the caller.
struct TargetFailed {
    RequestNumber number_ = 0;
    ExchangeOutcome outcome_ = ExchangeOutcome::Failed;
    Error error_;
};

/// The append of an intent failed and had no effect. After an uncertain result there is no event: the record is read back, or the
/// deadline passes.
struct IntentAppendFailed {
    RequestNumber number_ = 0;
    Error error_;
};

/// Records of the stream `intents` were read.
struct IntentsRead {
    std::shared_ptr<const IntentPage> page_;
};

/// The instance that a request was forwarded to answered.
struct ForwardAnswered {
    RequestNumber number_ = 0;
    Result<RoutedAnswer> result_;
};

/// The control thread published a list of targets.
struct TargetsChanged {
    TargetListPointer targets_;
};

/// The control thread published rules.
struct RoutingRulesChanged {
    RuleSetPointer rules_;
};

/// A target is leaving according to another source than the list, for example a peer.
struct TargetLeaving {
    TargetId target_;
};

/// The instance is shutting down: new requests are refused.
struct RoutingDrainStarted {
};

/// The timer of the router expired; deadlines and expiries are checked.
struct RoutingTick {
};

using RoutingEvent = std::variant<RequestArrived,
                                  TargetAnswered,
                                  TargetFailed,
                                  IntentAppendFailed,
                                  IntentsRead,
                                  ForwardAnswered,
                                  TargetsChanged,
                                  RoutingRulesChanged,
                                  TargetLeaving,
                                  RoutingDrainStarted,
                                  RoutingTick>;

/// Send the request to a target.
struct SendToTarget {
    RequestNumber number_ = 0;
    TargetId target_;
    std::string address_;
    /// Time to the caller's deadline, sent to the target.
    std::chrono::milliseconds timeLeft_{0};
    /// Time to wait for the answer; longer than timeLeft_, so that a late answer can be stored for its key.
    std::chrono::milliseconds timeout_{0};
};

/// Append an intent for the key of the request.
struct AppendIntent {
    RequestNumber number_ = 0;
    std::string key_;
};

/// Forward the request to the only incarnation that may execute it.
struct ForwardToInstance {
    RequestNumber number_ = 0;
    InstanceIncarnation instance_;
    std::chrono::milliseconds timeLeft_{0};
};

/// Answer the caller of the request.
struct AnswerCaller {
    RequestNumber number_ = 0;
    Result<RoutedAnswer> result_;
};

/// No more events follow for the request: its body and its connection may be released.
struct ReleaseRequest {
    RequestNumber number_ = 0;
};

using RoutingCommand = std::variant<SendToTarget, AppendIntent, ForwardToInstance, AnswerCaller, ReleaseRequest>;
using RoutingCommands = std::vector<RoutingCommand>;
} // namespace Marjoramfold
