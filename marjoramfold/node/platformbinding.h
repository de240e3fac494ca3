#pragma once

#include "marjoramfold/core/result.h"
#include "marjoramfold/dispatch/workersessions.h"
#include "marjoramfold/fleet/operatorconfig.h"
#include "marjoramfold/fleet/workerentry.h"
#include "marjoramfold/http/httpserver.h"
#include "marjoramfold/store/streamstore.h"

#include <chrono>
#include <functional>
#include <optional>
#include <string>
#include <variant>

namespace Marjoramfold
{
/// The operators published a configuration.
struct ConfigurationPublished {
    OperatorConfig config_;
};

/// The operators evacuated an availability zone or returned it to service.
struct ZoneChanged {
    std::string zone_;
    bool evacuated_ = false;
};

/// An operators' record that this version ignores.
struct OtherRecord {
};

using OperatorRecord = std::variant<ConfigurationPublished, ZoneChanged, OtherRecord>;

/// Operation that a caller requests.
enum class CallKind : std::uint8_t {
    Submit,
    Query,
    Cancel,
    Unsupported,
};

/// A caller's request.
struct CallerRequest {
    CallKind kind_ = CallKind::Unsupported;
    std::string host_;
    std::string path_;
    /// API key; empty without one.
    std::string key_;
    /// Longest time that the caller waits for the answer.
    std::chrono::milliseconds timeout_{0};
    std::string body_;
};

/// The submission is stored; the job will be scheduled.
struct JobAccepted {
};

/// Phase of the job that was queried.
struct JobStateAnswer {
    JobPhase phase_ = JobPhase::Queued;
};

/// The job's cancellation is stored, or the job had already ended.
struct JobCancelled {
};

/// Number of jobs in the queue for which no task has started.
struct QueueDepthAnswer {
    std::size_t count_ = 0;
};

/// The submission was rejected because its job could not end in time; nothing was stored.
struct SubmissionRejected {
    std::string reason_;
    /// Delay after which a repetition may be accepted.
    std::chrono::seconds retryAfter_{1};
};

using CallerAnswer = std::variant<JobAccepted, JobStateAnswer, JobCancelled, QueueDepthAnswer, SubmissionRejected, Error>;

/// Functions that translate between the platform's protocols and the types used here. They make no decisions and keep no state.
struct PlatformBinding {
    StreamStore store_;
    WorkerCalls workers_;
    StreamId operatorStream_;
    StreamId workerStream_;
    std::function<Result<OperatorRecord>(const KeyedRecord &)> decodeOperatorRecord_;
    std::function<Result<WorkerEntry>(const std::string &key, const std::string &value)> decodeWorkerEntry_;
    std::function<Result<JobPlan>(const std::string &body)> decodeJobPlan_;
    std::function<CallerRequest(const HttpServerRequest &)> decodeCall_;
    std::function<HttpServerResponse(const CallerAnswer &)> encodeAnswer_;
    /// True for a readiness check of the platform.
    std::function<bool(const HttpServerRequest &)> isReadinessCheck_;
};
} // namespace Marjoramfold
