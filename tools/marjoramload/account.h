#pragma once

#include "loadthread.h"

#include <cstdint>
#include <string>
#include <unordered_map>
#include <vector>

namespace Marjoramfold
{
/// Executions per key, summed over executors.
using ExecutionAccount = std::unordered_map<std::string, std::uint64_t>;

/// Fetches GET /v1/account of each executor. Throws std::runtime_error when one cannot be read.
[[nodiscard]] auto fetchAccount(const std::vector<std::string> &executors) -> ExecutionAccount;

/// The callers' view compared with the executors' accounts.
struct AccountReport {
    /// False when no executors were given, so that only the callers' view is known.
    bool checked_ = false;
    /// Requests without any answer.
    std::uint64_t lost_ = 0;
    /// Answers that belong to another request.
    std::uint64_t crossed_ = 0;
    /// Non-idempotent requests executed more than once.
    std::uint64_t doubled_ = 0;
    /// Refused as not run although they were executed.
    std::uint64_t falseNotRun_ = 0;
    /// Answered although no executor has executed them.
    std::uint64_t answeredNotExecuted_ = 0;
    /// Executions over requests sent to entries: above 1 by retries, below 1 by refusals.
    double amplification_ = 0;

    /// True when no promise about requests was broken.
    [[nodiscard]] auto isClean() const -> bool;
};

/// Compares the requests that went to entries with an account.
[[nodiscard]] auto compare(const std::vector<LoadSample> &samples, const ExecutionAccount &account, bool checked) -> AccountReport;
} // namespace Marjoramfold
