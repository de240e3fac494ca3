#pragma once

#include "standins/cloud/leasedworker.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace Marjoramfold::Soak
{
using Clock = std::chrono::steady_clock;

/// What the callers of a soak run know about a job.
struct SoakJob {
    std::string id_;
    std::size_t tasks_ = 1;
    bool gang_ = false;
    bool urgent_ = false;
    /// Accelerators of each task.
    int accelerators_ = 1;
    /// Rack of the data; empty without one.
    std::string dataRack_;
    std::chrono::milliseconds work_{1000};
    /// Run time that the caller states; the true one if zero.
    std::chrono::milliseconds estimate_{0};
    /// A submission may have been stored: it was accepted, or its outcome is unknown.
    bool maybeStored_ = false;
    bool accepted_ = false;
    Clock::time_point acceptedAt_;
    /// Time at which all tasks had first started.
    std::optional<Clock::time_point> startedAt_;
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

    /// Records a start of the worker, which then runs nothing and has this number of accelerators.
    auto onWorkerBooted(const std::string &worker, int capacity) -> void;
    /// Checks a start of a run; a late one was sent seconds before.
    auto onRunStarted(const std::string &worker, const std::string &task, int run, bool late) -> void;
    auto onRunEnded(const std::string &worker, const std::string &task, int run, const std::string &outcome) -> void;
    auto onEndAcknowledged(const std::string &worker, const LeasedRunEnd &end) -> void;
    /// Records that a connection to an instance ended without an answer after the instance received a termination signal.
    auto onRequestCutDuringShutdown(const std::string &what) -> void;

    /// Number of members of a gang's run that have started and have not ended unsuccessfully.
    [[nodiscard]] auto presentMembers(const std::string &task, int run) const -> std::size_t;

    [[nodiscard]] auto violations() const -> const std::vector<std::string> &;
    auto addViolation(const std::string &what) -> void;

    /// Job id at the start of a task's wire name.
    [[nodiscard]] static auto jobOf(const std::string &task) -> std::string;

private:
    /// Worker and number of a run.
    using Run = std::pair<std::string, int>;

    std::map<std::string, SoakJob> jobs_;
    /// Runs of each task on the present incarnations of the workers.
    std::map<std::string, std::set<Run>> runsByTask_;
    std::map<std::string, std::map<int, std::size_t>> presentByRun_;
    std::map<std::string, int> usedByWorker_;
    std::map<std::string, int> capacityByWorker_;
    std::set<std::string> finishedTasks_;
    /// Numbers the starts and successful ends in the order in which they happened.
    std::uint64_t eventsSeen_ = 0;
    std::map<std::string, std::uint64_t> lastStartByTask_;
    std::map<std::string, std::map<Run, std::uint64_t>> doneRunsByTask_;
    std::vector<std::string> violations_;
};
} // namespace Marjoramfold::Soak
