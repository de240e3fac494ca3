#pragma once

#include <nlohmann/json.hpp>

#include <chrono>

namespace Marjoramfold
{
/// Faults of the executor stand-in. Probabilities are between 0 and 1 and apply to each request.
struct ExecutorFaults {
    /// Time added to each execution; the execution occupies its slot meanwhile.
    std::chrono::milliseconds addedWorkTime_{0};
    /// Probability of status 500 after the execution.
    double failing_ = 0;
    /// Probability that the answer is that of an earlier request.
    double crossed_ = 0;
    /// Probability that the answer is delayed by lateDelay_ after the execution; the slot is free meanwhile.
    double late_ = 0;
    std::chrono::milliseconds lateDelay_{1'000};
    /// Probability that only half of the answer's body is sent.
    double truncated_ = 0;
    /// Probability that a request is executed but never answered and its connection stays open.
    double noAnswer_ = 0;
    /// Probability that a request is executed and its connection is closed without an answer.
    double closed_ = 0;
    /// Refuses all work with X-Leaving.
    bool leaving_ = false;
};

/// Reads {"slow_ms","failing","crossed","late","late_ms","torn","no_answer","closed","leaving"}; absent fields keep their values.
inline auto applyFaults(const nlohmann::json &body, ExecutorFaults &faults) -> void
{
    faults.addedWorkTime_ = std::chrono::milliseconds(body.value("slow_ms", faults.addedWorkTime_.count()));
    faults.failing_ = body.value("failing", faults.failing_);
    faults.crossed_ = body.value("crossed", faults.crossed_);
    faults.late_ = body.value("late", faults.late_);
    faults.lateDelay_ = std::chrono::milliseconds(body.value("late_ms", faults.lateDelay_.count()));
    faults.truncated_ = body.value("torn", faults.truncated_);
    faults.noAnswer_ = body.value("no_answer", faults.noAnswer_);
    faults.closed_ = body.value("closed", faults.closed_);
    faults.leaving_ = body.value("leaving", faults.leaving_);
}
} // namespace Marjoramfold
