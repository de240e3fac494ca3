#pragma once

#include <nlohmann/json.hpp>

#include <chrono>

namespace Marjoramfold
{
/// Faults of the executor stand-in. Shares are between 0 and 1 and say how many requests have the fault.
struct ExecutorFaults {
    /// Extra time of each execution, in its slot.
    std::chrono::milliseconds slow_{0};
    /// Share answered with status 500 after the execution.
    double failing_ = 0;
    /// Share answered with the answer of an earlier request.
    double crossed_ = 0;
    /// Share whose answer is held back by lateBy_ after the execution, outside its slot.
    double late_ = 0;
    std::chrono::milliseconds lateBy_{1'000};
    /// Share whose answer is cut in the middle.
    double torn_ = 0;
    /// Share that is executed and never answered; the connection stays open.
    double noAnswer_ = 0;
    /// Share that is executed and whose connection is closed without an answer.
    double closed_ = 0;
    /// Refuses all work with X-Leaving.
    bool leaving_ = false;
};

/// Reads {"slow_ms","failing","crossed","late","late_ms","torn","no_answer","closed","leaving"}; absent fields keep their values.
inline auto applyFaults(const nlohmann::json &body, ExecutorFaults &faults) -> void
{
    faults.slow_ = std::chrono::milliseconds(body.value("slow_ms", faults.slow_.count()));
    faults.failing_ = body.value("failing", faults.failing_);
    faults.crossed_ = body.value("crossed", faults.crossed_);
    faults.late_ = body.value("late", faults.late_);
    faults.lateBy_ = std::chrono::milliseconds(body.value("late_ms", faults.lateBy_.count()));
    faults.torn_ = body.value("torn", faults.torn_);
    faults.noAnswer_ = body.value("no_answer", faults.noAnswer_);
    faults.closed_ = body.value("closed", faults.closed_);
    faults.leaving_ = body.value("leaving", faults.leaving_);
}
} // namespace Marjoramfold
