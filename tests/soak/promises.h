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

/// What the soak knows of a job from its caller's side.
struct SoakJob {
    std::string id_;
    std::size_t tasks_ = 1;
    bool gang_ = false;
    std::chrono::milliseconds work_{1000};
    /// A try may have been stored: it was accepted, or its outcome is unknown.
    bool maybeStored_ = false;
    bool accepted_ = false;
    Clock::time_point acceptedAt_;
    bool cancelSent_ = false;
    bool cancelled_ = false;
    Clock::time_point cancelledAt_;
    std::string state_;
    /// When a caller first saw the job as completed.
    Clock::time_point completedAt_;
};

/// Checks the promises from what callers and workers see. A broken one is kept as a line of text.
class Promises
{
public:
    auto addJob(const SoakJob &job) -> void;
    [[nodiscard]] auto job(const std::string &id) -> SoakJob &;
    [[nodiscard]] auto jobs() -> std::map<std::string, SoakJob> &;

    /// A caller's answer to a submission.
    auto submitted(const std::string &id, int status) -> void;
    /// A caller's answer to a question for the state; 0 without an answer.
    auto asked(const std::string &id, int status, const std::string &state) -> void;
    /// A caller's answer to a cancellation.
    auto cancelAnswered(const std::string &id, int status) -> void;

    auto began(const std::string &worker, const std::string &task, int run) -> void;
    auto ended(const std::string &worker, const std::string &task, int run, const std::string &how) -> void;
    auto acknowledged(const std::string &worker, const std::string &task, const std::string &how) -> void;
    /// A caller's connection to an instance that got a termination signal ended without an answer.
    auto cutDuringShutdown(const std::string &what) -> void;

    /// Members of a gang's run that are present.
    [[nodiscard]] auto present(const std::string &task, int run) const -> std::size_t;

    [[nodiscard]] auto broken() const -> const std::vector<std::string> &;
    auto breakPromise(const std::string &what) -> void;

    /// Id of the job that a task's wire name begins with.
    [[nodiscard]] static auto jobOf(const std::string &task) -> std::string;

private:
    std::map<std::string, SoakJob> jobs_;
    /// Workers that run each task.
    std::map<std::string, std::set<std::string>> running_;
    std::map<std::string, std::map<int, std::size_t>> present_;
    std::map<std::string, std::size_t> load_;
    std::set<std::string> finished_;
    std::vector<std::string> broken_;
};
} // namespace Marjoramfold::Soak
