#include "marjoramfold/accounting/accountbuilder.h"

#include <algorithm>
#include <array>
#include <charconv>

namespace Marjoramfold
{
namespace
{
constexpr std::array<std::string_view, 20> UsedEvents{
    "step_placed",   "step_waits",      "run_began",          "run_ended",        "run_preempted",   "run_moved",        "run_stalled",
    "call_answered", "job_phase",       "job_runs_stopped",   "leadership_begun", "leadership_lost", "stepping_down",    "gang_waits_for_member",
    "stream_lost",   "stream_regained", "leadership_claimed", "fenced_by_worker", "lines_dropped",   "instance_stopped",
};

/// Cores that an accelerator counts as.
constexpr double CoresPerAccelerator = 8.0;
constexpr double MilliCoresPerCore = 1000.0;

/// Values of `phase` in job_phase.
constexpr std::int64_t CompletedPhase = 2;
constexpr std::int64_t FailedPhase = 3;
constexpr std::int64_t CancelledPhase = 4;

/// Causes by the preferences in `held_by`. A step that is held by several has the first of this list.
constexpr std::array HeldByCauses{
    std::pair{std::string_view("reservation"), AccountCause::Reservation},
    std::pair{std::string_view("locality"), AccountCause::Rack},
    std::pair{std::string_view("idle_reserve"), AccountCause::IdleReserve},
    std::pair{std::string_view("quarantine"), AccountCause::WorkerFailures},
    std::pair{std::string_view("recent_failure"), AccountCause::WorkerFailures},
    std::pair{std::string_view("avoidance"), AccountCause::WorkerFailures},
};

auto causeOfWait(const LogEvent &event) -> AccountCause
{
    const auto &heldBy = event.text("held_by");
    if (heldBy == "no_room") {
        // Workers with room for a task do not help a gang that needs more of them, and neither do workers that do not suit.
        const auto isWrongShape = event.count("with_room").value_or(0) > 0 || event.count("suitable") == 0;
        return isWrongShape ? AccountCause::WrongShape : AccountCause::NoCapacity;
    }
    const auto found = std::find_if(HeldByCauses.begin(), HeldByCauses.end(), [&heldBy](const auto &entry) {
        return heldBy.find(entry.first) != std::string::npos;
    });
    return found == HeldByCauses.end() ? AccountCause::NotLogged : found->second;
}

/// Splits JOB/OCCURRENCE/STEP/INDEX into the job and the numbers.
auto parseTask(std::string_view text) -> std::optional<std::pair<std::string, std::array<std::int64_t, 3>>>
{
    const auto slash = text.find('/');
    if (slash == 0 || slash == std::string_view::npos) {
        return std::nullopt;
    }
    std::array<std::int64_t, 3> numbers{};
    const auto *next = text.data() + slash;
    const auto *end = text.data() + text.size();
    for (auto &number : numbers) {
        if (next == end || *next != '/') {
            return std::nullopt;
        }
        const auto [rest, error] = std::from_chars(next + 1, end, number);
        if (error != std::errc() || number < 0) {
            return std::nullopt;
        }
        next = rest;
    }
    return next == end ? std::optional(std::pair(std::string(text.substr(0, slash)), numbers)) : std::nullopt;
}
} // namespace

auto AccountBuilder::addLine(std::string_view line) -> void
{
    if (line.find_first_not_of(" \r") == std::string_view::npos) {
        return;
    }
    ++account_.lines_;
    line.remove_suffix(line.ends_with('\r') ? 1 : 0);
    auto event = LogEvent::parse(line);
    if (!event) {
        ++account_.unreadableLines_;
    } else if (std::find(UsedEvents.begin(), UsedEvents.end(), event->name()) != UsedEvents.end()) {
        events_.push_back(std::move(*event));
    }
}

auto AccountBuilder::finish() -> Account
{
    // Wall clocks of instances differ, so the collector's times are used where all lines have them.
    const auto hasPrefixTimes = std::all_of(events_.begin(), events_.end(), [](const LogEvent &event) {
        return event.prefixTime().has_value();
    });
    const auto timeOf = [hasPrefixTimes](const LogEvent &event) {
        return hasPrefixTimes ? *event.prefixTime() : event.wallTime();
    };
    std::stable_sort(events_.begin(), events_.end(), [&timeOf](const LogEvent &left, const LogEvent &right) {
        return timeOf(left) < timeOf(right);
    });
    if (!events_.empty()) {
        account_.begin_ = timeOf(events_.front());
        end_ = timeOf(events_.back());
    }
    for (const auto &event : events_) {
        account_.unreadableLines_ += apply(event, timeOf(event)) ? 0 : 1;
    }
    decideOutcomes();
    addOpenWaits();
    for (const auto &[key, run] : runs_) {
        addRun(key, run);
    }
    completeJobs();
    return std::move(account_);
}

auto AccountBuilder::apply(const LogEvent &event, Time now) -> bool
{
    const auto &name = event.name();
    if (name == "step_placed") {
        return applyPlacement(event, now);
    }
    if (name == "step_waits") {
        return applyWait(event, now);
    }
    if (name == "run_began") {
        return applyBegin(event, now);
    }
    if (name == "run_ended") {
        return applyEnd(event, now);
    }
    if (name == "run_preempted") {
        return applyStop(event, event.count("priority") == 0 ? AccountCause::Reclaimed : AccountCause::Preempted);
    }
    if (name == "run_moved") {
        return applyStop(event, AccountCause::DepartingWorker);
    }
    if (name == "run_stalled") {
        return applyStop(event, AccountCause::Stalled);
    }
    if (name == "gang_waits_for_member") {
        return applyStop(event, AccountCause::UnreachableWorker);
    }
    if (name == "job_phase" || name == "job_runs_stopped") {
        return applyPhase(event, now);
    }
    return name == "call_answered" ? applyCall(event, now) : applyOutage(event, now);
}

auto AccountBuilder::applyPlacement(const LogEvent &event, Time now) -> bool
{
    const auto key = stepKeyOf(event);
    const auto waited = event.time("waited_ms");
    const auto milliCores = event.count("milli_cores");
    const auto accelerators = event.count("accelerators");
    auto *job = jobOf(event);
    if (!key || !waited || !milliCores || !accelerators || job == nullptr) {
        return false;
    }
    job->queue_ = event.text("queue");
    times_[job->id_].placedLate_ = event.count("lateness").value_or(0) > 0;
    auto &step = steps_[*key];
    step.cores_ = static_cast<double>(*milliCores) / MilliCoresPerCore + static_cast<double>(*accelerators) * CoresPerAccelerator;
    step.hasSize_ = true;
    step.saves_ = event.text("saves") == "true";
    step.gang_ = event.text("gang") == "true";
    addOutages(*key, step, now - *waited);
    addWait(*key, step, now - *waited, now, step.waitsFor_.value_or(AccountCause::NotLogged));
    step.waitsFor_.reset();
    step.placed_.emplace(now, event.text("first_worker"));
    return true;
}

auto AccountBuilder::applyWait(const LogEvent &event, Time now) -> bool
{
    const auto key = stepKeyOf(event);
    const auto waited = event.time("waited_ms");
    auto *job = jobOf(event);
    if (!key || !waited || job == nullptr) {
        return false;
    }
    job->queue_ = event.text("queue");
    auto &step = steps_[*key];
    addOutages(*key, step, now - *waited);
    step.waitsFor_ = causeOfWait(event);
    addWait(*key, step, now - *waited, now, *step.waitsFor_);
    return true;
}

auto AccountBuilder::applyBegin(const LogEvent &event, Time now) -> bool
{
    const auto key = runKeyOf(event);
    if (!key || jobOf(event) == nullptr) {
        return false;
    }
    auto &run = runs_[*key];
    run.began_ = true;
    run.worker_ = event.text("worker");
    auto &step = steps_[key->step_];
    if (step.placed_ && step.placed_->second == run.worker_) {
        addWait(key->step_, step, step.placed_->first, now, AccountCause::Start);
        step.placed_.reset();
    }
    return true;
}

auto AccountBuilder::applyEnd(const LogEvent &event, Time now) -> bool
{
    const auto key = runKeyOf(event);
    const auto ranFor = event.time("ran_ms");
    const auto &how = event.text("how");
    auto *job = jobOf(event);
    if (!key || !ranFor || how.empty() || job == nullptr) {
        return false;
    }
    auto &run = runs_[*key];
    const auto isFirst = run.how_.empty();
    // A run that was declared ended may report its end later. If it was completed, its work is used.
    if (isFirst || how == "done") {
        run.how_ = how;
    }
    if (isFirst) {
        run.ended_ = now;
        run.worker_ = event.text("worker");
        times_[job->id_].lastEnd_ = now;
    }
    run.ranFor_ = std::max(run.ranFor_, *ranFor);
    if (how == "failed") {
        gangReasons_.try_emplace({key->step_, key->run_}, Reason{AccountCause::Failed, {}, run.worker_});
    } else if (how == "lapsed" || how == "lost") {
        gangReasons_.try_emplace({key->step_, key->run_}, Reason{AccountCause::UnreachableWorker, {}, run.worker_});
    }
    return true;
}

auto AccountBuilder::applyStop(const LogEvent &event, AccountCause cause) -> bool
{
    const auto key = runKeyOf(event);
    auto *job = jobOf(event);
    if (!key || job == nullptr) {
        return false;
    }
    const Reason reason{cause, event.text("for_job"), event.text("worker")};
    auto &run = runs_[*key];
    if (!run.reason_) {
        run.reason_ = reason;
    }
    gangReasons_.try_emplace({key->step_, key->run_}, reason);
    if (event.name() == "run_preempted") {
        job->team_ = event.text("team");
        if (const auto priority = event.count("priority")) {
            job->priority_ = priority;
        }
        // Only work of priority 0 preempts.
        if (const auto found = account_.jobs_.find(reason.forJob_); found != account_.jobs_.end()) {
            found->second.team_ = event.text("for_team");
            found->second.priority_ = 0;
        }
    }
    return true;
}

auto AccountBuilder::applyPhase(const LogEvent &event, Time now) -> bool
{
    auto *job = jobOf(event);
    if (job == nullptr) {
        return false;
    }
    auto &times = times_[job->id_];
    if (event.name() == "job_runs_stopped") {
        times.stopped_ = event.text("reason") == "the job was cancelled" ? AccountCause::Cancelled : AccountCause::JobFailed;
        return true;
    }
    const auto phase = event.count("phase");
    const auto age = event.time("age_ms");
    if (!phase || !age) {
        return false;
    }
    job->queue_ = event.text("queue");
    if (!event.text("team").empty()) {
        job->team_ = event.text("team");
    }
    if (const auto priority = event.count("priority")) {
        job->priority_ = priority;
    }
    if (const auto objective = event.time("objective_ms")) {
        job->objective_ = objective;
    }
    times.accepted_ = times.accepted_.value_or(now - *age);
    times.phase_ = std::max(times.phase_, *phase);
    if (*phase >= CompletedPhase) {
        times.finalAge_ = *age;
    }
    return true;
}

auto AccountBuilder::applyCall(const LogEvent &event, Time now) -> bool
{
    if (event.text("call") != "submit") {
        return true;
    }
    if (event.text("outcome").empty()) {
        return false;
    }
    if (event.text("outcome") != "ok") {
        ++account_.rejectedSubmissions_[event.text("outcome")];
        return true;
    }
    const auto *job = jobOf(event);
    if (job == nullptr) {
        return false;
    }
    auto &times = times_[job->id_];
    times.accepted_ = times.accepted_.value_or(now);
    return true;
}

auto AccountBuilder::applyOutage(const LogEvent &event, Time now) -> bool
{
    const auto &name = event.name();
    if (name == "leadership_claimed") {
        outages_.leadershipClaimed(event.instance(), now, event.time("silent_ms").value_or(Time(0)));
    } else if (name == "leadership_begun") {
        outages_.leadershipBegun(event.instance(), now);
    } else if (name == "stream_lost") {
        outages_.storeLost(event.instance(), event.text("topic"), now);
    } else if (name == "stream_regained") {
        outages_.storeRegained(event.instance(), event.text("topic"), now);
    } else if (name == "lines_dropped") {
        const auto lines = event.count("lines");
        account_.droppedLines_[event.text("event")] += lines.value_or(0);
        return lines.has_value();
    } else {
        outages_.leadershipEnded(event.instance(), now);
    }
    return true;
}

auto AccountBuilder::jobOf(const LogEvent &event) -> AccountedJob *
{
    const auto &id = event.text("job_id");
    if (id.empty()) {
        return nullptr;
    }
    auto &job = account_.jobs_[id];
    job.id_ = id;
    return &job;
}

auto AccountBuilder::stepKeyOf(const LogEvent &event) -> std::optional<StepKey>
{
    const auto occurrence = event.count("occurrence");
    const auto step = event.count("step");
    return occurrence && step ? std::optional(StepKey{event.text("job_id"), *occurrence, *step}) : std::nullopt;
}

auto AccountBuilder::runKeyOf(const LogEvent &event) -> std::optional<RunKey>
{
    const auto task = parseTask(event.text("task"));
    const auto run = event.count("run");
    if (!task || !run || task->first != event.text("job_id")) {
        return std::nullopt;
    }
    return RunKey{{task->first, task->second[0], task->second[1]}, task->second[2], *run};
}

auto AccountBuilder::addOutages(const StepKey &key, Step &step, Time until) -> void
{
    const auto &times = times_[key.job_];
    // Later occurrences, and jobs whose acceptance is not in the log, have no known begin of the wait.
    const auto since = std::max(times.accepted_, times.lastEnd_);
    if (!since || (key.occurrence_ > 0 && !step.accountedUntil_)) {
        return;
    }
    const auto from = step.accountedUntil_ ? std::max(*since, *step.accountedUntil_) : *since;
    if (from >= until) {
        return;
    }
    const auto leader = outages_.withoutLeader(from, until);
    const auto store = std::min(outages_.withoutStore(from, until), until - from - leader);
    for (const auto &[cause, waited] : {std::pair{AccountCause::Leader, leader}, std::pair{AccountCause::Store, store}}) {
        if (waited > Time(0)) {
            account_.entries_.push_back({key.job_, cause, {}, {}, {}, until, {waited, 0, 0, 1}});
        }
    }
    step.accountedUntil_ = until;
}

auto AccountBuilder::addWait(const StepKey &key, Step &step, Time from, Time to, AccountCause cause) -> void
{
    from = std::max({from, step.accountedUntil_.value_or(from), account_.begin_});
    step.accountedUntil_ = std::max(step.accountedUntil_.value_or(to), to);
    if (from < to) {
        account_.entries_.push_back({key.job_, cause, {}, {}, {}, to, {to - from, 0, 0, 1}});
    }
}

auto AccountBuilder::addOpenWaits() -> void
{
    for (auto &[key, step] : steps_) {
        if (step.waitsFor_ && account_.jobs_.at(key.job_).outcome_ == AccountedOutcome::Unfinished) {
            addWait(key, step, step.accountedUntil_.value_or(end_), end_, *step.waitsFor_);
        }
    }
}

auto AccountBuilder::addRun(const RunKey &key, const Run &run) -> void
{
    account_.runsWithoutEnd_ += run.began_ && run.how_.empty() ? 1 : 0;
    if (run.how_.empty() || run.how_ == "done") {
        return;
    }
    const auto &step = steps_[key.step_];
    if (!step.hasSize_) {
        ++account_.runsWithoutSize_;
        return;
    }
    const auto work = step.cores_ * std::chrono::duration<double>(run.ranFor_).count();
    const auto isSaved = step.saves_ && run.how_ == "stopped";
    const auto reason = reasonOf(key, run, step);
    account_.entries_.push_back(
        {key.step_.job_, reason.cause_, reason.forJob_, {}, reason.worker_, run.ended_, {Time(0), isSaved ? 0 : work, isSaved ? work : 0, 1}});
}

auto AccountBuilder::reasonOf(const RunKey &key, const Run &run, const Step &step) const -> Reason
{
    if (run.how_ == "failed") {
        return {AccountCause::Failed, {}, run.worker_};
    }
    if (run.reason_) {
        return *run.reason_;
    }
    const auto ofGang = gangReasons_.find({key.step_, key.run_});
    const auto isGang = step.gang_ || run.how_ == "broken";
    const auto endedAlone = run.how_ == "lapsed" || run.how_ == "lost";
    if (isGang && !endedAlone && ofGang != gangReasons_.end()) {
        return ofGang->second;
    }
    if (const auto times = times_.find(key.step_.job_); times != times_.end() && times->second.stopped_) {
        return {*times->second.stopped_, {}, {}};
    }
    return endedAlone ? Reason{AccountCause::UnreachableWorker, {}, run.worker_} : Reason{};
}

auto AccountBuilder::decideOutcomes() -> void
{
    for (auto &[id, job] : account_.jobs_) {
        const auto &times = times_[id];
        job.age_ = times.finalAge_.value_or(end_ - times.accepted_.value_or(end_));
        if (times.phase_ == FailedPhase) {
            job.outcome_ = AccountedOutcome::Failed;
        } else if (times.phase_ == CancelledPhase) {
            job.outcome_ = AccountedOutcome::Cancelled;
        } else if (times.phase_ == CompletedPhase) {
            account_.jobsWithoutObjective_ += job.objective_ ? 0 : 1;
            const auto isLate = job.objective_ ? job.age_ > *job.objective_ : times.placedLate_;
            job.outcome_ = isLate ? AccountedOutcome::Late : AccountedOutcome::OnTime;
        }
    }
}

auto AccountBuilder::completeJobs() -> void
{
    std::map<std::string, std::int64_t> priorities;
    for (const auto &[id, job] : account_.jobs_) {
        if (job.priority_) {
            priorities[job.queue_] = *job.priority_;
        }
    }
    for (auto &[id, job] : account_.jobs_) {
        if (const auto found = priorities.find(job.queue_); !job.priority_ && found != priorities.end()) {
            job.priority_ = found->second;
        }
    }
    for (auto &entry : account_.entries_) {
        account_.jobs_.at(entry.job_).totals_ += entry.totals_;
        if (const auto found = account_.jobs_.find(entry.forJob_); found != account_.jobs_.end()) {
            entry.forQueue_ = found->second.queue_;
        }
    }
}
} // namespace Marjoramfold
