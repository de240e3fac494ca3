#include "executioncheck.h"

#include <nlohmann/json.hpp>

#include <stdexcept>

namespace Marjoramfold
{
auto fetchExecutionCounts(const std::vector<std::string> &executors) -> ExecutionCounts
{
    ExecutionCounts counts;
    for (const auto &address : executors) {
        const auto result = sendAndWait({"GET", address, "/v1/account", {}, "", std::chrono::seconds(30)});
        if (!isOk(result)) {
            throw std::runtime_error("cannot fetch execution counts from executor " + address + ": " + toString(errorOf(result)));
        }
        const auto body = nlohmann::json::parse(valueOf(result).body_, nullptr, false);
        if (!body.is_object() || !body.contains("executions")) {
            throw std::runtime_error("executor " + address + " answered /v1/account without an object 'executions'");
        }
        for (const auto &[key, count] : body["executions"].items()) {
            counts[key] += count.get<std::uint64_t>();
        }
    }
    return counts;
}

auto ExecutionCheck::isClean() const -> bool
{
    return lost_ == 0 && mismatched_ == 0 && duplicated_ == 0 && notRunButExecuted_ == 0 && answeredButNotExecuted_ == 0;
}

auto checkExecutions(const std::vector<LoadSample> &samples, const ExecutionCounts &counts, bool checked) -> ExecutionCheck
{
    ExecutionCheck check;
    check.checked_ = checked;
    std::uint64_t sent = 0;
    std::uint64_t executed = 0;
    for (const auto &sample : samples) {
        if (sample.class_ < 0) {
            continue;
        }
        ++sent;
        check.lost_ += sample.outcome_ == LoadOutcome::Lost ? 1 : 0;
        check.mismatched_ += sample.outcome_ == LoadOutcome::Mismatched ? 1 : 0;
        const auto found = counts.find(sample.key_);
        const auto executions = found == counts.end() ? 0 : found->second;
        executed += executions;
        if (checked) {
            check.duplicated_ += !sample.idempotent_ && executions > 1 ? 1 : 0;
            check.notRunButExecuted_ += sample.outcome_ == LoadOutcome::NotRun && executions > 0 ? 1 : 0;
            check.answeredButNotExecuted_ += sample.outcome_ == LoadOutcome::Answered && executions == 0 ? 1 : 0;
        }
    }
    check.amplification_ = sent == 0 ? 0 : static_cast<double>(executed) / static_cast<double>(sent);
    return check;
}
} // namespace Marjoramfold
