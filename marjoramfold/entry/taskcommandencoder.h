#pragma once

#include "marjoramfold/scheduling/events.h"
#include "marjoramfold/worker/workermessages.h"

#include <string>
#include <unordered_map>

namespace Marjoramfold
{
/// Converts scheduler commands to worker commands and adds payloads and the time since the hold, which the scheduler does not track.
class TaskCommandEncoder
{
public:
    /// Sets the payload of a job's tasks.
    auto setPayload(const JobId &job, const std::string &payload) -> void;

    /// Drops the state of a job that ended or moved to another availability zone.
    auto removeJob(const JobId &job) -> void;

    /// Encodes a command that is sent at `now`.
    auto encode(const TaskCommand &command, SteadyTime now) -> WorkerCommand;

private:
    std::unordered_map<JobId, std::string> payloads_;
    std::unordered_map<TaskId, SteadyTime> holdSentAt_;
};
} // namespace Marjoramfold
