#include "account.h"

#include <nlohmann/json.hpp>

#include <stdexcept>

namespace Marjoramfold
{
auto fetchAccount(const std::vector<std::string> &executors) -> ExecutionAccount
{
    ExecutionAccount account;
    for (const auto &address : executors) {
        const auto result = sendAndWait({"GET", address, "/v1/account", {}, "", std::chrono::seconds(30)});
        if (!isOk(result)) {
            throw std::runtime_error("account of " + address + ": " + toString(errorOf(result)));
        }
        const auto body = nlohmann::json::parse(valueOf(result).body_, nullptr, false);
        if (!body.is_object() || !body.contains("executions")) {
            throw std::runtime_error("account of " + address + ": unreadable answer");
        }
        for (const auto &[key, count] : body["executions"].items()) {
            account[key] += count.get<std::uint64_t>();
        }
    }
    return account;
}

auto AccountReport::isClean() const -> bool
{
    return lost_ == 0 && crossed_ == 0 && doubled_ == 0 && falseNotRun_ == 0 && answeredNotExecuted_ == 0;
}

auto compare(const std::vector<LoadSample> &samples, const ExecutionAccount &account, bool checked) -> AccountReport
{
    AccountReport report;
    report.checked_ = checked;
    std::uint64_t sent = 0;
    std::uint64_t executed = 0;
    for (const auto &sample : samples) {
        if (sample.class_ < 0) {
            continue;
        }
        ++sent;
        report.lost_ += sample.outcome_ == LoadOutcome::Lost ? 1 : 0;
        report.crossed_ += sample.outcome_ == LoadOutcome::Crossed ? 1 : 0;
        const auto found = account.find(sample.key_);
        const auto executions = found == account.end() ? 0 : found->second;
        executed += executions;
        if (checked) {
            report.doubled_ += !sample.idempotent_ && executions > 1 ? 1 : 0;
            report.falseNotRun_ += sample.outcome_ == LoadOutcome::NotRun && executions > 0 ? 1 : 0;
            report.answeredNotExecuted_ += sample.outcome_ == LoadOutcome::Answered && executions == 0 ? 1 : 0;
        }
    }
    report.amplification_ = sent == 0 ? 0 : static_cast<double>(executed) / static_cast<double>(sent);
    return report;
}
} // namespace Marjoramfold
