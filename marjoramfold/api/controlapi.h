#pragma once

#include "marjoramfold/core/ids.h"
#include "marjoramfold/core/job.h"
#include "marjoramfold/core/result.h"

#include <nlohmann/json.hpp>

#include <functional>
#include <string>
#include <vector>

namespace Marjoramfold
{
/// Called once with the JSON document of an answer or with an error. Callable from any thread.
using JsonCallback = std::function<void(Result<nlohmann::json>)>;

/// A request to publish rules, as submitted by an operator.
struct PublishCommand {
    /// Assigned by the operator's program, so that a repeated publish takes effect only once.
    RecordId publishId_;
    /// Version that the text was edited from; 0 when there was none.
    Offset baseVersion_ = 0;
    std::string author_;
    std::string text_;
};

/// Functions that pass commands to the control thread. Callable from any thread.
struct ControlCommands {
    std::function<void(PublishCommand command, JsonCallback done)> publishRules_;
    std::function<void(JobSpec spec, std::string traceParent, JsonCallback done)> submitJob_;
    std::function<void(std::vector<JobId> jobs, JsonCallback done)> cancelJobs_;
};

/// Functions that pass queries to the control thread. Callable from any thread.
struct ControlQueries {
    std::function<void(JsonCallback done)> rules_;
    std::function<void(JsonCallback done)> rulesHistory_;
    std::function<void(Offset version, JsonCallback done)> rulesInForce_;
    std::function<void(JsonCallback done)> jobs_;
    std::function<void(JobId job, JsonCallback done)> job_;
    std::function<void(JobId job, JsonCallback done)> explainJob_;
    std::function<void(TeamId team, JsonCallback done)> explainTeam_;
    std::function<void(AvailabilityZoneId zone, JsonCallback done)> explainZone_;
    std::function<void(JsonCallback done)> status_;
    /// Spans of a trace; its id is hexadecimal.
    std::function<void(std::string traceId, JsonCallback done)> trace_;
    /// Succeeds when the instance is ready to serve; otherwise returns an error.
    std::function<void(JsonCallback done)> ready_;
    /// Metrics in the Prometheus text format.
    std::function<std::string()> metrics_;
};
} // namespace Marjoramfold
