#include "marjoramfold/accounting/jobaccount.h"

#include <algorithm>
#include <array>
#include <set>
#include <tuple>
#include <utility>

namespace Marjoramfold
{
namespace
{
constexpr std::array CauseNames{
    std::pair{AccountCause::NoCapacity, "no_capacity"},
    std::pair{AccountCause::WrongShape, "wrong_shape"},
    std::pair{AccountCause::Reservation, "reservation"},
    std::pair{AccountCause::Rack, "rack"},
    std::pair{AccountCause::IdleReserve, "idle_reserve"},
    std::pair{AccountCause::WorkerFailures, "worker_failures"},
    std::pair{AccountCause::Leader, "leader"},
    std::pair{AccountCause::Store, "store"},
    std::pair{AccountCause::Start, "start"},
    std::pair{AccountCause::NotLogged, "not_logged"},
    std::pair{AccountCause::Preempted, "preempted"},
    std::pair{AccountCause::Reclaimed, "reclaimed"},
    std::pair{AccountCause::DepartingWorker, "departing_worker"},
    std::pair{AccountCause::Stalled, "stalled"},
    std::pair{AccountCause::UnreachableWorker, "unreachable_worker"},
    std::pair{AccountCause::Failed, "failed"},
    std::pair{AccountCause::Cancelled, "cancelled"},
    std::pair{AccountCause::JobFailed, "job_failed"},
    std::pair{AccountCause::Stopped, "stopped"},
};

constexpr std::array OutcomeNames{
    std::pair{AccountedOutcome::OnTime, "on_time"},
    std::pair{AccountedOutcome::Late, "late"},
    std::pair{AccountedOutcome::Failed, "failed"},
    std::pair{AccountedOutcome::Cancelled, "cancelled"},
    std::pair{AccountedOutcome::Unfinished, "unfinished"},
};

template<typename Names, typename Value>
auto nameIn(const Names &names, Value value) -> std::string_view
{
    const auto found = std::find_if(names.begin(), names.end(), [value](const auto &entry) {
        return entry.first == value;
    });
    return found == names.end() ? std::string_view("unknown") : std::string_view(found->second);
}

/// Totals of one key while they are summed.
struct PendingSum {
    AccountTotals totals_;
    std::set<std::string> jobs_;
    std::map<AccountCause, AccountTotals> causes_;
};
} // namespace

auto AccountTotals::operator+=(const AccountTotals &other) -> AccountTotals &
{
    waited_ += other.waited_;
    lost_ += other.lost_;
    saved_ += other.saved_;
    count_ += other.count_;
    return *this;
}

auto nameOf(AccountCause cause) -> std::string_view
{
    return nameIn(CauseNames, cause);
}

auto nameOf(AccountedOutcome outcome) -> std::string_view
{
    return nameIn(OutcomeNames, outcome);
}

auto isLarger(const AccountTotals &left, const AccountTotals &right) -> bool
{
    return std::tie(left.lost_, left.waited_, left.saved_) > std::tie(right.lost_, right.waited_, right.saved_);
}

auto sumBy(const Account &account, const std::vector<AccountEntry> &entries, const std::function<std::string(const AccountEntry &, const AccountedJob &)> &key)
    -> std::vector<AccountSum>
{
    std::map<std::string, PendingSum> pending;
    for (const auto &entry : entries) {
        auto &sum = pending[key(entry, account.jobs_.at(entry.job_))];
        sum.totals_ += entry.totals_;
        sum.jobs_.insert(entry.job_);
        sum.causes_[entry.cause_] += entry.totals_;
    }
    std::vector<AccountSum> sums;
    for (const auto &[name, sum] : pending) {
        const auto largest = std::max_element(sum.causes_.begin(), sum.causes_.end(), [](const auto &left, const auto &right) {
            return isLarger(right.second, left.second);
        });
        sums.push_back({name, sum.totals_, sum.jobs_.size(), largest->first});
    }
    std::stable_sort(sums.begin(), sums.end(), [](const AccountSum &left, const AccountSum &right) {
        return isLarger(left.totals_, right.totals_);
    });
    return sums;
}

auto missedJobs(const Account &account) -> std::vector<const AccountedJob *>
{
    std::vector<const AccountedJob *> jobs;
    for (const auto &[id, job] : account.jobs_) {
        if (job.outcome_ != AccountedOutcome::OnTime && job.outcome_ != AccountedOutcome::Cancelled) {
            jobs.push_back(&job);
        }
    }
    std::stable_sort(jobs.begin(), jobs.end(), [](const AccountedJob *left, const AccountedJob *right) {
        return isLarger(left->totals_, right->totals_);
    });
    return jobs;
}
} // namespace Marjoramfold
