#include "trace.h"

#include <algorithm>

namespace Marjoramfold
{
namespace
{
auto kindName(TaskCommandKind kind) -> std::string
{
    constexpr const char *Names[] = {"hold", "start", "renew", "checkpoint", "throttle", "stop"};
    return Names[static_cast<std::size_t>(kind)];
}

/// Formats an event or command if it concerns the traced job; empty otherwise.
class Describer
{
public:
    explicit Describer(const JobId &job)
        : job_(job)
    {
    }

    auto operator()(const JobArrived &event) const -> std::string
    {
        return ifTraced(event.spec_.id_, "arrived attempt=" + std::to_string(event.attempt_) + " progress_ms=" + std::to_string(event.progress_.count()));
    }
    auto operator()(const JobsCancelled &event) const -> std::string
    {
        return std::find(event.jobs_.begin(), event.jobs_.end(), job_) == event.jobs_.end() ? "" : "cancelled";
    }
    auto operator()(const TaskCommandResult &event) const -> std::string
    {
        const auto outcome = event.error_ ? "error=" + std::string(errorAnswer(event.error_->kind_).name_) : std::string("ok");
        return ifTraced(event.task_.job_,
                        kindName(event.kind_) + " result " + outcome + task(event.task_, event.worker_)
                            + " progress_ms=" + std::to_string(event.progress_.count()));
    }
    auto operator()(const TaskEnded &event) const -> std::string
    {
        return ifTraced(event.task_.job_,
                        "ended outcome=" + std::to_string(static_cast<int>(event.outcome_)) + task(event.task_, event.worker_) + " " + event.reason_);
    }
    auto operator()(const UsageReported &event) const -> std::string
    {
        return ifTraced(event.task_.job_, "usage memory_mb=" + std::to_string(event.used_.memoryMb_) + task(event.task_, event.worker_));
    }
    auto operator()(const TaskCommand &command) const -> std::string
    {
        return ifTraced(command.task_.job_,
                        kindName(command.kind_) + task(command.task_, command.worker_) + " memory_mb=" + std::to_string(command.resources_.memoryMb_)
                            + " grace_ms=" + std::to_string(command.grace_.count()) + " progress_ms=" + std::to_string(command.progress_.count()));
    }
    auto operator()(const JobStarted &record) const -> std::string
    {
        return ifTraced(record.job_, "record started");
    }
    auto operator()(const JobRequeued &record) const -> std::string
    {
        return ifTraced(record.job_, "record requeued progress_ms=" + std::to_string(record.progress_.count()) + " " + record.reason_);
    }
    auto operator()(const JobEnded &record) const -> std::string
    {
        return ifTraced(record.job_, "record ended " + std::string(toString(record.state_)) + " " + record.reason_);
    }
    auto operator()(const JobReassigned &record) const -> std::string
    {
        return ifTraced(record.job_, "record reassigned to=" + record.to_.value());
    }
    template<typename Other>
    auto operator()(const Other & /*other*/) const -> std::string
    {
        return "";
    }

private:
    auto ifTraced(const JobId &job, const std::string &text) const -> std::string
    {
        return job == job_ ? text : "";
    }
    static auto task(const TaskId &task, const WorkerId &worker) -> std::string
    {
        return " task=" + toString(task) + " worker=" + worker.value();
    }

    JobId job_;
};
} // namespace

auto tracePolicy(PolicyFactory factory, const JobId &job, std::ostream &out) -> PolicyFactory
{
    return [factory = std::move(factory), job, &out](const Scenario &scenario) -> SchedulingPolicy {
        return [inner = factory(scenario), describe = Describer(job), &out](const SchedulerEvent &event, SteadyTime now) {
            const auto write = [&](const char *direction, const std::string &text) {
                if (!text.empty()) {
                    out << "t=" << std::chrono::duration<double>(now - SteadyTime{}).count() << ' ' << direction << ' ' << text << '\n';
                }
            };
            write(">", std::visit(describe, event));
            auto commands = inner(event, now);
            for (const auto &command : commands) {
                write("<", std::visit(describe, command));
            }
            return commands;
        };
    };
}
} // namespace Marjoramfold
