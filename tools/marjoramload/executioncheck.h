#pragma once

#include "loadthread.h"

#include <cstdint>
#include <string>
#include <unordered_map>
#include <vector>

namespace Marjoramfold
{
/// Number of executions per request key, summed over all executors.
using ExecutionCounts = std::unordered_map<std::string, std::uint64_t>;

/// Fetches GET /v1/account of each executor. Throws std::runtime_error when an executor does not answer or its answer has no executions.
[[nodiscard]] auto fetchExecutionCounts(const std::vector<std::string> &executors) -> ExecutionCounts;

/// Outcomes seen by the callers, compared with the execution counts of the executors.
struct ExecutionCheck {
    /// False when no executors were given: only the outcomes seen by the callers are known.
    bool checked_ = false;
    /// Requests without an answer.
    std::uint64_t lost_ = 0;
    /// Requests that received the answer to another request.
    std::uint64_t mismatched_ = 0;
    /// Non-idempotent requests executed more than once.
    std::uint64_t duplicated_ = 0;
    /// Requests reported as not run that an executor executed.
    std::uint64_t notRunButExecuted_ = 0;
    /// Requests answered with success that no executor executed.
    std::uint64_t answeredButNotExecuted_ = 0;
    /// Executions per request sent to the entries: retries raise it above 1, rejections lower it below 1.
    double amplification_ = 0;

    /// True when every request received its own answer, was reported correctly, and was not executed twice unless idempotent.
    [[nodiscard]] auto isClean() const -> bool;
};

/// Checks the requests sent to entries against the execution counts.
[[nodiscard]] auto checkExecutions(const std::vector<LoadSample> &samples, const ExecutionCounts &counts, bool checked) -> ExecutionCheck;
} // namespace Marjoramfold
