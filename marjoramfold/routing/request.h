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
/// Number of a request within one traffic thread.
using RequestNumber = std::uint64_t;

/// The time of an event by both clocks: monotonic for deadlines, time of day for keys.
struct Moment {
    SteadyTime steady_;
    WallTime wall_;
};

/// A request as a caller hands it in.
struct RoutedRequest {
    TeamId team_;
    PriorityClass priority_ = PriorityClass::Normal;
    /// Idempotency key; needed when the request is not idempotent.
    std::string key_;
    bool idempotent_ = true;
    /// Time from arrival to the deadline.
    std::chrono::milliseconds timeLeft_{10'000};
    std::string body_;
    std::string contentType_ = "application/json";
    /// W3C trace context, passed on to the target.
    std::string traceParent_;
    /// True when another instance sent this request on; it is not sent on again.
    bool forwarded_ = false;
};

/// The whole answer of a target.
struct RoutedAnswer {
    int status_ = 200;
    std::string body_;
    std::string contentType_ = "application/json";
    TargetId target_;
};

/// Receives the answer of a request, once, on the traffic thread that owns the request.
using AnswerCallback = std::function<void(Result<RoutedAnswer>)>;
} // namespace Marjoramfold
