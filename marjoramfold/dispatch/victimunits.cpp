#include "marjoramfold/dispatch/victimunits.h"

#include <algorithm>
#include <cstdint>
#include <tuple>
#include <unordered_map>
#include <utility>

namespace Marjoramfold
{
namespace
{
/// Cores that one accelerator counts for in costs.
constexpr double CoresPerAccelerator = 8.0;

/// Cost of a restart besides the lost work: the stop, the wait for capacity and the restore. A gang has to wait for room as a whole again.
constexpr double RestartSeconds = 1.0;
constexpr double GangRestartSeconds = 5.0;

/// Added to the lost time of a job that was just stopped for other work; falls to zero over the following time. A restarted run has lost little, so
/// without it the same job is stopped again and again: one job 176 times on a day. As long as the bulk tasks that are stopped most often.
constexpr double RepeatedStopSeconds = 10.0;
constexpr double RepeatedStopMemorySeconds = 60.0;

/// A run that ends within this time is waited for. It is no longer than the wait for a stop, and an estimate that has passed by this time is wrong.
constexpr std::chrono::milliseconds MaxWaitForEnd{300};

/// Lower bound of an expected remaining time.
constexpr double MinRemainingSeconds = 0.1;

auto inSeconds(BootTime::duration time) -> double
{
    return std::chrono::duration<double>(time).count();
}

auto coresOf(const ResourceVector &demand) -> double
{
    return static_cast<double>(demand.milliCores_) / 1000.0 + CoresPerAccelerator * static_cast<double>(demand.accelerators_);
}

/// Seconds that are added for a job that was stopped for other work recently.
auto repeatedStopSeconds(BootTime lastStopped, BootTime now) -> double
{
    if (lastStopped == BootTime{}) {
        return 0;
    }
    return RepeatedStopSeconds * std::clamp(1.0 - inSeconds(now - lastStopped) / RepeatedStopMemorySeconds, 0.0, 1.0);
}

/// Numbers the units: each run that is not a gang's gets its own, the members of a gang's run share one.
class UnitNumbers
{
public:
    auto numberOf(const RunKey &key, const WorkerRun &run) -> std::size_t
    {
        if (run.gangSize_ <= 1) {
            return count_++;
        }
        auto &gangs = gangsOf_[key.first.job_];
        const auto gang = std::tuple(key.first.occurrence_, key.first.step_, key.second);
        const auto found = std::find_if(gangs.begin(), gangs.end(), [&gang](const auto &entry) {
            return entry.first == gang;
        });
        if (found != gangs.end()) {
            return found->second;
        }
        gangs.emplace_back(gang, count_);
        return count_++;
    }

    [[nodiscard]] auto count() const -> std::size_t
    {
        return count_;
    }

private:
    /// Occurrence, step and number of a gang's run.
    using GangRun = std::tuple<std::uint32_t, std::uint32_t, std::uint32_t>;

    std::unordered_map<JobId, std::vector<std::pair<GangRun, std::size_t>>> gangsOf_;
    std::size_t count_ = 0;
};
} // namespace

VictimUnits::VictimUnits(const WorkerSessionMap &sessions, const std::vector<const WorkerSession *> &usable, const VictimHooks &hooks, BootTime now)
    : unitsAt_(usable.size())
{
    UnitNumbers numbers;
    std::vector<std::pair<std::size_t, VictimMember>> found;
    std::size_t nextUsable = 0;
    for (const auto &[id, session] : sessions) {
        const auto isUsable = nextUsable < usable.size() && usable[nextUsable] == session.get();
        const auto worker = isUsable ? nextUsable++ : NoWorker;
        for (const auto &[key, run] : session->runs_) {
            const auto unit = numbers.numberOf(key, run);
            found.push_back({unit, {session.get(), &key, &run, worker}});
            if (isUsable) {
                unitsAt_[worker].push_back(unit);
            }
        }
    }
    units_.resize(numbers.count());
    for (const auto &[unit, member] : found) {
        ++units_[unit].endMember_;
    }
    std::size_t end = 0;
    for (auto &unit : units_) {
        unit.firstMember_ = end;
        end += unit.endMember_;
        unit.endMember_ = unit.firstMember_;
    }
    members_.resize(found.size());
    for (const auto &[unit, member] : found) {
        members_[units_[unit].endMember_++] = member;
    }
    for (auto &unit : units_) {
        assess(unit, hooks, now);
        lowestPriority_ = std::max(lowestPriority_, anyMember(unit).run_->priority_);
        hasEnding_ = hasEnding_ || unit.isEnding_;
    }
}

auto VictimUnits::assess(VictimUnit &unit, const VictimHooks &hooks, BootTime now) const -> void
{
    const auto &first = anyMember(unit);
    const auto stopped = hooks.lastStopped_ ? hooks.lastStopped_(first.key_->first.job_) : BootTime{};
    const auto overhead = (first.run_->gangSize_ > 1 ? GangRestartSeconds : RestartSeconds) + repeatedStopSeconds(stopped, now);
    unit.remainingSeconds_ = MinRemainingSeconds;
    unit.endsSoon_ = true;
    for (auto i = unit.firstMember_; i < unit.endMember_; ++i) {
        const auto &[session, key, run, worker] = members_[i];
        const auto startedAt = run->acceptedAt_ == BootTime{} ? run->placedAt_ : run->acceptedAt_;
        unit.lostWork_ += (run->checkpointsOnStop_ ? 0.0 : inSeconds(now - startedAt)) * coresOf(run->demand_);
        unit.loss_ += overhead * coresOf(run->demand_);
        unit.isStopping_ = unit.isStopping_ || run->stage_ == RunStage::Stopping;
        unit.isEnding_ = unit.isEnding_ || (run->stage_ == RunStage::Stopping && session->unreachableSince_ == BootTime{});
        unit.isUnsent_ = unit.isUnsent_ || run->stage_ == RunStage::Recorded;
        unit.remainingSeconds_ = std::max(unit.remainingSeconds_, std::chrono::duration<double>(run->expected_).count() - inSeconds(now - run->placedAt_));
        if (unit.endsSoon_) {
            const auto remaining = hooks.remainingTime_ && run->stage_ == RunStage::Running ? hooks.remainingTime_(*session, *run) : std::nullopt;
            unit.endsSoon_ = remaining && *remaining <= MaxWaitForEnd && *remaining >= -MaxWaitForEnd;
        }
    }
    unit.loss_ += unit.lostWork_;
    unit.loss_ *= hooks.delayWeight_ ? hooks.delayWeight_(first.key_->first.job_) : 1.0;
}

auto VictimUnits::units() const -> const std::vector<VictimUnit> &
{
    return units_;
}

auto VictimUnits::members() const -> const std::vector<VictimMember> &
{
    return members_;
}

auto VictimUnits::unitsAt(std::size_t worker) const -> const std::vector<std::size_t> &
{
    return unitsAt_[worker];
}

auto VictimUnits::anyMember(const VictimUnit &unit) const -> const VictimMember &
{
    return members_[unit.firstMember_];
}

auto VictimUnits::mayMakeRoomFor(int priority) const -> bool
{
    return hasEnding_ || lowestPriority_ > priority;
}

auto VictimUnits::markStopped(std::size_t unit) -> void
{
    units_[unit].isStopping_ = true;
    units_[unit].isEnding_ = true;
    hasEnding_ = true;
}
} // namespace Marjoramfold
