#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace Marjoramfold::Soak
{
using Clock = std::chrono::steady_clock;

/// What the callers of a soak run know about a job.
struct SoakJob {
    std::string id_;
    std::size_t tasks_ = 1;
    bool gang_ = false;
    std::chrono::milliseconds work_{1000};
    /// A submission may have been stored: it was accepted, or its outcome is unknown.
    bool maybeStored_ = false;
    bool accepted_ = false;
    Clock::time_point acceptedAt_;
    bool cancelSent_ = false;
    bool cancelled_ = false;
    Clock::time_point cancelledAt_;
    std::string state_;
    /// Time at which a caller first saw the job as completed.
    Clock::time_point completedAt_;
};

/// Checks the guarantees of the scheduler against what callers and workers see. Each violation is recorded as a line of text.
class InvariantChecker
{
public:
    auto addJob(const SoakJob &job) -> void;
    [[nodiscard]] auto job(const std::string &id) -> SoakJob &;
    [[nodiscard]] auto jobs() -> std::map<std::string, SoakJob> &;

    /// Checks the answer to a submission.
    auto onSubmitAnswer(const std::string &id, int status) -> void;
    /// Checks the answer to a state query; the status is 0 without an answer.
    auto onStateAnswer(const std::string &id, int status, const std::string &state) -> void;
    /// Checks the answer to a cancellation.
    auto onCancelAnswer(const std::string &id, int status) -> void;

    auto onRunStarted(const std::string &worker, const std::string &task, int run) -> void;
    auto onRunEnded(const std::string &worker, const std::string &task, int run, const std::string &outcome) -> void;
    auto onEndAcknowledged(const std::string &worker, const std::string &task, const std::string &outcome) -> void;
    /// Records that a connection to an instance ended without an answer after the instance received a termination signal.
    auto onRequestCutDuringShutdown(const std::string &what) -> void;

    /// Number of members of a gang's run that have started and have not ended unsuccessfully.
    [[nodiscard]] auto presentMembers(const std::string &task, int run) const -> std::size_t;

    [[nodiscard]] auto violations() const -> const std::vector<std::string> &;
    auto addViolation(const std::string &what) -> void;

    /// Job id at the start of a task's wire name.
    [[nodiscard]] static auto jobOf(const std::string &task) -> std::string;

private:
    std::map<std::string, SoakJob> jobs_;
    /// Workers that are running each task.
    std::map<std::string, std::set<std::string>> workersByTask_;
    std::map<std::string, std::map<int, std::size_t>> presentByRun_;
    std::map<std::string, std::size_t> tasksByWorker_;
    std::set<std::string> finishedTasks_;
    std::vector<std::string> violations_;
};
} // namespace Marjoramfold::Soak
