#pragma once

#include "marjoramfold/accounting/jobaccount.h"
#include "marjoramfold/accounting/logevent.h"
#include "marjoramfold/accounting/serviceoutages.h"

#include <compare>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace Marjoramfold
{
/// Makes an account of jobs from the log lines of instances, which may be given in any order.
class AccountBuilder
{
public:
    /// Adds a line. One that cannot be read is counted; an empty one is ignored.
    auto addLine(std::string_view line) -> void;

    /// Makes the account of all lines that were added. Call once.
    [[nodiscard]] auto finish() -> Account;

private:
    using Time = std::chrono::milliseconds;

    /// A step of one occurrence of a job.
    struct StepKey {
        std::string job_;
        std::int64_t occurrence_ = 0;
        std::int64_t step_ = 0;
        auto operator<=>(const StepKey &) const = default;
    };
    /// A run of one task.
    struct RunKey {
        StepKey step_;
        std::int64_t task_ = 0;
        std::int64_t run_ = 0;
        auto operator<=>(const RunKey &) const = default;
    };
    struct Step {
        /// Cores of a task; an accelerator counts as several.
        double cores_ = 0;
        bool hasSize_ = false;
        bool saves_ = false;
        bool gang_ = false;
        /// Time up to which the step's waits are accounted for.
        std::optional<Time> accountedUntil_;
        /// What the step waits for, by its last line since it was placed.
        std::optional<AccountCause> waitsFor_;
        /// Time and worker of the last placement, until a run begins there.
        std::optional<std::pair<Time, std::string>> placed_;
    };
    /// Why a run was stopped or ended.
    struct Reason {
        AccountCause cause_ = AccountCause::Stopped;
        std::string forJob_;
        /// Worker that failed, left or could not be reached, which may be another one than the run's.
        std::string worker_;
    };
    struct Run {
        std::optional<Reason> reason_;
        std::string worker_;
        std::string how_;
        Time ended_{0};
        Time ranFor_{0};
        bool began_ = false;
    };
    struct JobTimes {
        std::optional<Time> accepted_;
        std::optional<Time> finalAge_;
        /// Last end of one of its runs.
        std::optional<Time> lastEnd_;
        std::int64_t phase_ = 0;
        /// A step was placed when the job could no longer meet its objective.
        bool placedLate_ = false;
        /// The job was cancelled or has failed, so its runs were stopped.
        std::optional<AccountCause> stopped_;
    };

    auto apply(const LogEvent &event, Time now) -> bool;
    auto applyPlacement(const LogEvent &event, Time now) -> bool;
    auto applyWait(const LogEvent &event, Time now) -> bool;
    auto applyBegin(const LogEvent &event, Time now) -> bool;
    auto applyEnd(const LogEvent &event, Time now) -> bool;
    auto applyStop(const LogEvent &event, AccountCause cause) -> bool;
    auto applyPhase(const LogEvent &event, Time now) -> bool;
    auto applyCall(const LogEvent &event, Time now) -> bool;
    auto applyOutage(const LogEvent &event, Time now) -> bool;

    /// The job of an event's job_id, created when it is new; null without an ID.
    auto jobOf(const LogEvent &event) -> AccountedJob *;
    static auto stepKeyOf(const LogEvent &event) -> std::optional<StepKey>;
    static auto runKeyOf(const LogEvent &event) -> std::optional<RunKey>;

    /// Accounts for the time before the leader first considered a step: what of it passed without a leader or the store.
    auto addOutages(const StepKey &key, Step &step, Time until) -> void;
    auto addWait(const StepKey &key, Step &step, Time from, Time to, AccountCause cause) -> void;
    /// Accounts for the waits that last until the end of the log.
    auto addOpenWaits() -> void;
    auto addRun(const RunKey &key, const Run &run) -> void;
    [[nodiscard]] auto reasonOf(const RunKey &key, const Run &run, const Step &step) const -> Reason;
    auto decideOutcomes() -> void;
    auto completeJobs() -> void;

    std::vector<LogEvent> events_;
    Account account_;
    std::map<StepKey, Step> steps_;
    std::map<RunKey, Run> runs_;
    /// First reason for which a member of a gang ended, by step and run; members of a gang share their run numbers.
    std::map<std::pair<StepKey, std::int64_t>, Reason> gangReasons_;
    std::map<std::string, JobTimes> times_;
    ServiceOutages outages_;
    Time end_{0};
};
} // namespace Marjoramfold
