#pragma once

#include "marjoramfold/scheduling/events.h"
#include "marjoramfold/worker/workermessages.h"

#include <string>
#include <unordered_map>

namespace Marjoramfold
{
/// Turns the scheduler's commands into the worker protocol's, with what only the instance knows: payloads and the times of holds.
class TaskCommandEncoder
{
public:
    /// Sets what the tasks of a job run.
    auto setPayload(const JobId &job, const std::string &payload) -> void;

    /// Forgets a job that ended.
    auto removeJob(const JobId &job) -> void;

    /// The worker's command; `now` is when it is sent.
    auto encode(const TaskCommand &command, SteadyTime now) -> WorkerCommand;

private:
    std::unordered_map<JobId, std::string> payloads_;
    std::unordered_map<TaskId, SteadyTime> holdSentAt_;
};
} // namespace Marjoramfold
