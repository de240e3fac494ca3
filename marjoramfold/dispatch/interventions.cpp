#include "marjoramfold/dispatch/fleetscheduler.h"
#include "marjoramfold/observability/logline.h"

#include <algorithm>
#include <chrono>
#include <optional>
#include <utility>
#include <vector>

namespace Marjoramfold
{
// Early stops of runs that would not end by themselves: stalled runs, and runs whose draining worker leaves first.

namespace
{
/// From this progress on, the elapsed time predicts the rest of a run better than its estimate does.
constexpr int MinExtrapolationPercent = 5;
/// A run counts as stalled if its progress is older than this on the worker's clock; reports are at least about 10 ms apart.
constexpr std::chrono::milliseconds MaxProgressAge{500};

/// Time on the worker's clock between the last progress of a run and the last report.
auto progressAge(const WorkerSession &session, const WorkerRun &run) -> std::chrono::milliseconds
{
    // Before a report of the incarnation lists the run, the clocks of the two may differ. At 100 percent the run is about to end, and
    // unchanged progress does not indicate a stall.
    return run.reported_ && run.percent_ < 100 ? session.reportClock_ - run.progressClock_ : std::chrono::milliseconds(0);
}
} // namespace

auto FleetScheduler::waitsForGangMember(const RunKey &key, const WorkerRun &run) -> bool
{
    if (run.gangSize_ <= 1 || run.percent_ > 0) {
        return false;
    }
    const auto *job = findJob(key.first.job_);
    if (job == nullptr) {
        return false;
    }
    const auto &tasks = job->occurrences_[key.first.occurrence_].steps_[key.first.step_].tasks_;
    auto member = key;
    for (member.first.index_ = 0; member.first.index_ < tasks.size(); ++member.first.index_) {
        const auto *session = sessions_.find(tasks[member.first.index_].worker_);
        if (session == nullptr) {
            return true;
        }
        const auto found = session->runs_.find(member);
        if (found == session->runs_.end() || found->second.stage_ != RunStage::Running) {
            return true;
        }
    }
    return false;
}

auto FleetScheduler::findStalls() -> void
{
    std::vector<std::pair<WorkerSession *, RunKey>> stalled;
    std::vector<std::pair<WorkerSession *, RunKey>> waiting;
    for (const auto &[id, session] : sessions_.all()) {
        for (const auto &[key, run] : session->runs_) {
            const auto share = std::chrono::duration_cast<std::chrono::milliseconds>(run.longestExpected_ * options_.stallRunTimeShare_);
            const auto hasExpectedTime = run.expected_.count() > 0;
            if (run.stage_ == RunStage::Running && hasExpectedTime && progressAge(*session, run) > std::max(options_.stallTimeout_, share)) {
                (waitsForGangMember(key, run) ? waiting : stalled).emplace_back(session.get(), key);
            }
        }
    }
    for (const auto &[session, key] : waiting) {
        LogLine(LogSeverity::Info, "gang_waits_for_member")
            .job(key.first.job_.value())
            .with("task", toString(key.first))
            .with("run", key.second)
            .with("worker", session->entry_.id_.value());
        sessions_.stop(session->entry_.id_, key.first, key.second);
    }
    for (const auto &[session, key] : stalled) {
        ++counts_.stalls_;
        LogLine(LogSeverity::Warning, "run_stalled")
            .job(key.first.job_.value())
            .with("task", toString(key.first))
            .with("run", key.second)
            .with("worker", session->entry_.id_.value())
            .with("percent", session->runs_.at(key).percent_);
        if (auto *job = findJob(key.first.job_); job != nullptr) {
            job->occurrences_[key.first.occurrence_].steps_[key.first.step_].tasks_[key.first.index_].addFailure(session->entry_.id_, BootClock::now());
        }
        recordWorkerFailure(*session, key.first.job_, FailureAttribution::Worker, "runs stalled");
        sessions_.stop(session->entry_.id_, key.first, key.second);
    }
}

auto FleetScheduler::remainingRunTime(const WorkerSession &session, const WorkerRun &run, BootTime now) -> std::optional<std::chrono::milliseconds>
{
    const auto hasNoExpectedTime = run.expected_.count() == 0;
    if (hasNoExpectedTime || progressAge(session, run) > MaxProgressAge) {
        return std::nullopt;
    }
    const auto remaining = static_cast<double>(100 - run.percent_);
    const auto sinceReport = std::chrono::duration_cast<std::chrono::milliseconds>(now - run.progressAt_);
    // A run that resumed from a checkpoint reports more progress than it made itself, so its rate cannot be extrapolated.
    if (!run.checkpointsOnStop_ && run.percent_ >= MinExtrapolationPercent) {
        const auto ranFor = std::chrono::duration_cast<std::chrono::milliseconds>(run.progressAt_ - run.acceptedAt_);
        return std::chrono::duration_cast<std::chrono::milliseconds>(ranFor * (remaining / run.percent_)) - sinceReport;
    }
    return std::chrono::duration_cast<std::chrono::milliseconds>(run.expected_ * (remaining / 100.0)) - sinceReport;
}

auto FleetScheduler::moveRunsOffDrainingWorkers(BootTime now) -> void
{
    std::vector<std::pair<WorkerSession *, RunKey>> moving;
    for (const auto &[id, session] : sessions_.all()) {
        if (!session->entry_.draining_) {
            continue;
        }
        for (const auto &[key, run] : session->runs_) {
            if (run.stage_ != RunStage::Running) {
                continue;
            }
            if (const auto remaining = remainingRunTime(*session, run, now); !remaining || *remaining > session->drainEndsAt_ - now) {
                moving.emplace_back(session.get(), key);
            }
        }
    }
    for (const auto &[session, key] : moving) {
        const auto &run = session->runs_.at(key);
        ++counts_.moves_;
        LogLine(LogSeverity::Info, "run_moved")
            .job(key.first.job_.value())
            .with("task", toString(key.first))
            .with("run", key.second)
            .with("worker", session->entry_.id_.value())
            .with("percent", run.percent_)
            .with("leaves_in_ms", std::chrono::duration_cast<std::chrono::milliseconds>(session->drainEndsAt_ - now).count());
        sessions_.stop(session->entry_.id_, key.first, key.second);
    }
}
} // namespace Marjoramfold
