#pragma once

#include "marjoramfold/core/clock.h"
#include "marjoramfold/core/ids.h"
#include "marjoramfold/core/job.h"
#include "marjoramfold/core/result.h"

#include <chrono>
#include <cstdint>
#include <functional>
#include <string>

namespace Marjoramfold
{
/// Identifies a request within one traffic thread.
using RequestNumber = std::uint64_t;

/// Time of an event on both clocks: monotonic for deadlines, wall clock for keys.
struct EventTime {
    SteadyTime steady_;
    WallTime wall_;
};

/// A request as submitted by a caller.
struct RoutedRequest {
    TeamId team_;
    PriorityClass priority_ = PriorityClass::Normal;
    /// Idempotency key; required when the request is not idempotent.
    std::string key_;
    bool idempotent_ = true;
    /// Time from arrival to the deadline.
    std::chrono::milliseconds timeLeft_{10'000};
    std::string body_;
    std::string contentType_ = "application/json";
    /// W3C trace context, forwarded to the target.
    std::string traceParent_;
    /// True when another instance forwarded this request; it is not forwarded again.
    bool forwarded_ = false;
};

/// The complete answer of a target.
struct RoutedAnswer {
    int status_ = 200;
    std::string body_;
    std::string contentType_ = "application/json";
    TargetId target_;
};

/// Called once with the answer of a request, on the traffic thread that owns the request.
using AnswerCallback = std::function<void(Result<RoutedAnswer>)>;
} // namespace Marjoramfold
