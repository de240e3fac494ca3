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
/// Receives the JSON document of an answer, or an error. It may be called from any thread, once.
using JsonCallback = std::function<void(Result<nlohmann::json>)>;

/// A publish as an operator hands it in.
struct PublishCommand {
    /// Made by the operator's program, so that a publish can be repeated without taking effect twice.
    RecordId publishId_;
    /// Version that was edited; 0 when there was none.
    Offset baseVersion_ = 0;
    std::string author_;
    std::string text_;
};

/// Commands to the control thread. Hooks may be called from any thread.
struct ControlCommands {
    std::function<void(PublishCommand command, JsonCallback done)> publishRules_;
    std::function<void(JobSpec spec, std::string traceParent, JsonCallback done)> submitJob_;
    std::function<void(std::vector<JobId> jobs, JsonCallback done)> cancelJobs_;
};

/// Queries to the control thread. Hooks may be called from any thread.
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
    /// Spans of a trace by its id in hexadecimal.
    std::function<void(std::string traceId, JsonCallback done)> trace_;
    /// Answers when the instance can serve; else an error.
    std::function<void(JsonCallback done)> ready_;
    /// Text exposition of the metrics.
    std::function<std::string()> metrics_;
};
} // namespace Marjoramfold
