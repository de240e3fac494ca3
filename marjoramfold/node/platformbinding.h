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
/// A new configuration.
struct ConfigurationPublished {
    OperatorConfig directory_;
};

/// An availability zone is taken out, or taken back.
struct ZoneChanged {
    std::string zone_;
    bool takenOut_ = false;
};

/// A record of operators that this version does not use.
struct OtherRecord {
};

using OperatorRecord = std::variant<ConfigurationPublished, ZoneChanged, OtherRecord>;

/// What a caller asks for.
enum class CallKind : std::uint8_t {
    Submit,
    Ask,
    Cancel,
    Unsupported,
};

/// A caller's request.
struct CallerCall {
    CallKind kind_ = CallKind::Unsupported;
    std::string host_;
    std::string path_;
    /// Empty without one.
    std::string key_;
    /// How long the caller waits for the answer.
    std::chrono::milliseconds patience_{0};
    std::string body_;
};

/// The job is stored and will run.
struct JobAccepted {
};

/// The state of a job.
struct JobStateAnswer {
    JobPhase phase_ = JobPhase::Queued;
};

/// The job's cancellation is stored.
struct JobCancelled {
};

/// Jobs of the queue that wait.
struct WaitingAnswer {
    std::size_t count_ = 0;
};

using CallerAnswer = std::variant<JobAccepted, JobStateAnswer, JobCancelled, WaitingAnswer, Error>;

/// Everything that translates between the platform and the product, as hooks. None of them decides or keeps anything.
struct PlatformBinding {
    StreamStore store_;
    WorkerCalls workers_;
    StreamId operatorStream_;
    StreamId workerStream_;
    std::function<Result<OperatorRecord>(const KeyedRecord &)> decodeOperatorRecord_;
    std::function<Result<WorkerEntry>(const std::string &key, const std::string &value)> decodeWorkerEntry_;
    std::function<Result<JobPlan>(const std::string &body)> decodeJobPlan_;
    std::function<CallerCall(const HttpServerRequest &)> decodeCall_;
    std::function<HttpServerResponse(const CallerAnswer &)> encodeAnswer_;
    /// True for a request that asks whether the instance is ready.
    std::function<bool(const HttpServerRequest &)> isReadinessCheck_;
};
} // namespace Marjoramfold
