#include "marjoramfold/entry/taskcommandencoder.h"

namespace Marjoramfold
{
namespace
{
auto toWorkerKind(TaskCommandKind kind) -> WorkerCommandKind
{
    switch (kind) {
    case TaskCommandKind::Hold:
        return WorkerCommandKind::Hold;
    case TaskCommandKind::Start:
        return WorkerCommandKind::Start;
    case TaskCommandKind::Renew:
        return WorkerCommandKind::Renew;
    case TaskCommandKind::Checkpoint:
        return WorkerCommandKind::Checkpoint;
    case TaskCommandKind::Throttle:
        return WorkerCommandKind::Throttle;
    case TaskCommandKind::Stop:
        return WorkerCommandKind::Stop;
    }
    return WorkerCommandKind::Stop;
}
} // namespace

auto TaskCommandEncoder::setPayload(const JobId &job, const std::string &payload) -> void
{
    payloads_[job] = payload;
}

auto TaskCommandEncoder::removeJob(const JobId &job) -> void
{
    payloads_.erase(job);
    std::erase_if(holdSentAt_, [&job](const auto &entry) {
        return entry.first.job_ == job;
    });
}

auto TaskCommandEncoder::encode(const TaskCommand &command, SteadyTime now) -> WorkerCommand
{
    WorkerCommand encoded;
    encoded.kind_ = toWorkerKind(command.kind_);
    encoded.task_ = command.task_;
    encoded.resources_ = command.resources_;
    encoded.lease_ = command.lease_;
    encoded.progress_ = command.progress_;
    encoded.grace_ = command.grace_;
    if (command.kind_ == TaskCommandKind::Hold) {
        holdSentAt_[command.task_] = now;
    }
    if (command.kind_ == TaskCommandKind::Start) {
        const auto heldAt = holdSentAt_.find(command.task_);
        if (heldAt != holdSentAt_.end()) {
            encoded.sinceHold_ = std::chrono::duration_cast<std::chrono::milliseconds>(now - heldAt->second);
            holdSentAt_.erase(heldAt);
        }
        const auto payload = payloads_.find(command.task_.job_);
        encoded.payload_ = payload == payloads_.end() ? std::string() : payload->second;
    }
    return encoded;
}
} // namespace Marjoramfold
