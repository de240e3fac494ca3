#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Marjoramfold
{
/// Why a job waited or lost work.
enum class AccountCause {
    // Waits.
    NoCapacity,
    WrongShape,
    Reservation,
    Rack,
    IdleReserve,
    WorkerFailures,
    Leader,
    Store,
    Start,
    /// The step waited, but no line says for what; waits under 2 s have none.
    NotLogged,
    // Lost work.
    Preempted,
    Reclaimed,
    DepartingWorker,
    Stalled,
    UnreachableWorker,
    Failed,
    Cancelled,
    JobFailed,
    /// The run was stopped, or ended with its gang, and no line says why.
    Stopped,
};

/// What became of a job.
enum class AccountedOutcome {
    OnTime,
    Late,
    Failed,
    Cancelled,
    Unfinished,
};

/// Times and amounts of work, for one or more jobs.
struct AccountTotals {
    /// Seconds of waiting, summed over steps.
    std::chrono::milliseconds waited_{0};
    /// Core-seconds of lost work.
    double lost_ = 0;
    /// Core-seconds of stopped work that is continued from a checkpoint.
    double saved_ = 0;
    /// Number of waits and runs.
    std::size_t count_ = 0;

    auto operator+=(const AccountTotals &other) -> AccountTotals &;
};

/// A wait of a step, or lost work of a run.
struct AccountEntry {
    std::string job_;
    AccountCause cause_ = AccountCause::NotLogged;
    /// Job for which the run was stopped; empty for other causes.
    std::string forJob_;
    /// Queue of that job; empty when it is not known.
    std::string forQueue_;
    /// Worker that the lost work is put down to; empty for waits and causes without one.
    std::string worker_;
    /// Time at which the wait ended or was last logged, or the run ended.
    std::chrono::milliseconds at_{0};
    AccountTotals totals_;
};

/// A job with what the log says about it.
struct AccountedJob {
    std::string id_;
    std::string queue_;
    std::string team_;
    std::optional<std::int64_t> priority_;
    AccountedOutcome outcome_ = AccountedOutcome::Unfinished;
    /// Time from the acceptance to the end, or to the last line of the log.
    std::chrono::milliseconds age_{0};
    /// Time that the job has to end in; empty when no line says it.
    std::optional<std::chrono::milliseconds> objective_;
    AccountTotals totals_;
};

/// Totals of the entries with a common key.
struct AccountSum {
    std::string key_;
    AccountTotals totals_;
    std::size_t jobs_ = 0;
    /// Cause with the most lost work; if no work was lost, the one with the longest wait.
    AccountCause largestCause_ = AccountCause::NotLogged;
};

/// What the jobs of a log waited for and lost.
struct Account {
    std::map<std::string, AccountedJob> jobs_;
    std::vector<AccountEntry> entries_;
    /// Submissions that were not accepted, by outcome of the call.
    std::map<std::string, std::size_t> rejectedSubmissions_;
    /// Number of lines that the instances dropped, by event.
    std::map<std::string, std::int64_t> droppedLines_;
    std::size_t lines_ = 0;
    std::size_t unreadableLines_ = 0;
    /// Runs that began and of whose end there is no line.
    std::size_t runsWithoutEnd_ = 0;
    /// Stopped runs whose cores are not known, since the line with them is missing.
    std::size_t runsWithoutSize_ = 0;
    /// Completed jobs without a known objective; they count as late only if a step was placed too late to meet it.
    std::size_t jobsWithoutObjective_ = 0;
    /// Time of the first line.
    std::chrono::milliseconds begin_{0};
};

[[nodiscard]] auto nameOf(AccountCause cause) -> std::string_view;
[[nodiscard]] auto nameOf(AccountedOutcome outcome) -> std::string_view;

/// True when one of the totals comes before the other in a report: by lost work, then by time of waiting.
[[nodiscard]] auto isLarger(const AccountTotals &left, const AccountTotals &right) -> bool;

/// Sums the entries by a key, the largest sum first.
[[nodiscard]] auto sumBy(const Account &account,
                         const std::vector<AccountEntry> &entries,
                         const std::function<std::string(const AccountEntry &, const AccountedJob &)> &key) -> std::vector<AccountSum>;

/// Late, lost and unfinished jobs, the one with the largest totals first.
[[nodiscard]] auto missedJobs(const Account &account) -> std::vector<const AccountedJob *>;
} // namespace Marjoramfold
