#include "marjoramfold/scheduling/scheduler.h"

#include "marjoramfold/scheduling/evacuation.h"
#include "marjoramfold/scheduling/guaranteepass.h"
#include "marjoramfold/scheduling/joblifecycle.h"
#include "marjoramfold/scheduling/memorylimitenforcer.h"
#include "marjoramfold/scheduling/quarantine.h"
#include "marjoramfold/scheduling/queuepass.h"
#include "marjoramfold/scheduling/relocation.h"

namespace Marjoramfold
{
/// Dispatches each event to the components that handle it.
class Scheduler::Impl
{
public:
    Impl(std::vector<AvailabilityZoneId> zones, const SchedulerOptions &options)
        : state_(std::move(zones), options)
        , lifecycle_(state_)
        , decisions_(state_, lifecycle_)
        , guaranteePass_(state_, decisions_)
        , queuePass_(state_, decisions_)
        , relocation_(state_, lifecycle_, decisions_)
        , evacuation_(state_, lifecycle_, decisions_, relocation_)
        , quarantine_(state_)
        , memoryLimit_(state_, lifecycle_)
    {
        lifecycle_.setTaskFailedHook([this](const JobRecord &job, WorkerIndex worker) {
            if (quarantine_.onTaskFailure(worker, job.spec_.id_)) {
                updateGuaranteeCapacity(worker);
            }
        });
    }

    auto handle(const SchedulerEvent &event, SteadyTime now) -> std::vector<SchedulerCommand>
    {
        state_.now_ = now;
        std::visit(
            [this](const auto &concrete) {
                on(concrete);
            },
            event);
        lifecycle_.starter().resumeAfterEvictions();
        guaranteePass_.run();
        auto commands = std::move(state_.commands_);
        state_.commands_.clear();
        return commands;
    }

    [[nodiscard]] auto explain(const JobId &id) const -> std::optional<JobExplanation>;
    [[nodiscard]] auto summarize(const AvailabilityZoneId &zone) const -> ZoneSummary;

private:
    auto on(const WorkerUp &event) -> void
    {
        const auto zone = state_.findZone(event.worker_.zone_);
        if (!zone) {
            return;
        }
        const auto worker = state_.cluster_.addOrUpdateWorker(event.worker_, *zone);
        updateGuaranteeCapacity(worker);
    }

    auto on(const WorkerDown &event) -> void
    {
        if (const auto worker = state_.cluster_.find(event.worker_)) {
            state_.cluster_.setUp(*worker, false);
            updateGuaranteeCapacity(*worker);
            lifecycle_.onWorkerDown(*worker);
        }
    }

    auto on(const WorkerLeaving &event) -> void
    {
        if (const auto worker = state_.cluster_.find(event.worker_)) {
            state_.cluster_.setLeaving(*worker, true);
            updateGuaranteeCapacity(*worker);
            evacuation_.onWorkerLeaving(*worker);
        }
    }

    auto on(const JobArrived &event) -> void
    {
        lifecycle_.add(event);
        auto *job = state_.jobs_.find(event.spec_.id_);
        if (job != nullptr && job->isUrgent() && job->queueKey_) {
            decisions_.startUrgent(*job);
        }
    }

    auto on(const GangRecovered &event) -> void
    {
        lifecycle_.recover(event);
    }

    auto on(const JobsCancelled &event) -> void
    {
        lifecycle_.cancel(event);
    }

    auto on(const JobWithdrawn &event) -> void
    {
        lifecycle_.withdraw(event);
    }

    auto on(const TeamUseElsewhere &event) -> void
    {
        state_.teamUseElsewhere_ = event.accelerators_;
    }

    auto on(const RulesChanged &event) -> void
    {
        state_.rules_ = event.rules_;
        state_.ledger_.setRules(*event.rules_);
        for (ZoneIndex zone = 0; zone < state_.zones_.size(); ++zone) {
            const auto rule = event.rules_->zones_.find(state_.zones_[zone].id_);
            evacuation_.onZoneChanged(zone, rule != event.rules_->zones_.end() && rule->second.state_ == AvailabilityZoneState::Out);
        }
        lifecycle_.onRulesChanged();
        state_.recheckGuarantees();
    }

    auto on(const StartGateChanged &event) -> void
    {
        if (const auto zone = state_.findZone(event.zone_)) {
            state_.zones_[*zone].gateOpen_ = event.open_;
            state_.recheckGuarantees();
        }
    }

    auto on(const TaskCommandResult &event) -> void
    {
        lifecycle_.onCommandResult(event);
    }

    auto on(const TaskEnded &event) -> void
    {
        lifecycle_.onTaskEnded(event);
    }

    auto on(const UsageReported &event) -> void
    {
        memoryLimit_.onUsage(event);
    }

    auto on(const ProbeResult &event) -> void
    {
        const auto worker = state_.cluster_.find(event.worker_);
        if (worker && quarantine_.onProbe(*worker, event.healthy_)) {
            updateGuaranteeCapacity(*worker);
        }
    }

    auto on(const Tick & /*event*/) -> void
    {
        if (state_.zones_.empty()) {
            return;
        }
        lifecycle_.onTick();
        lifecycle_.leases().renewDue();
        quarantine_.onTick();
        evacuation_.onTick();
        guaranteePass_.retry();
        const auto zone = decisions_.reservations().update();
        if (state_.options_.compaction_) {
            relocation_.startLarge(zone);
            relocation_.startUrgent();
        }
        queuePass_.run();
        if (state_.options_.compaction_) {
            relocation_.compact(zone);
        }
    }

    auto updateGuaranteeCapacity(WorkerIndex worker) -> void
    {
        const auto &record = state_.cluster_.worker(worker);
        state_.ledger_.setWorker(worker, record.zone_, record.isUsable() ? record.info_.capacity_.accelerators_ : 0);
        state_.recheckGuarantees();
    }

    SchedulerState state_;
    JobLifecycle lifecycle_;
    StartDecisions decisions_;
    GuaranteePass guaranteePass_;
    QueuePass queuePass_;
    Relocation relocation_;
    Evacuation evacuation_;
    Quarantine quarantine_;
    MemoryLimitEnforcer memoryLimit_;
};

auto Scheduler::Impl::explain(const JobId &id) const -> std::optional<JobExplanation>
{
    if (const auto *job = state_.jobs_.find(id)) {
        JobExplanation explanation{job->state_, job->reason_, {}, {}};
        if (job->rule_) {
            explanation.rules_.push_back(*job->rule_);
        }
        return explanation;
    }
    if (const auto *job = lifecycle_.ended(id)) {
        JobExplanation explanation{job->state_, job->reason_, {}, {}};
        if (job->rule_) {
            explanation.rules_.push_back(*job->rule_);
        }
        return explanation;
    }
    return std::nullopt;
}

auto Scheduler::Impl::summarize(const AvailabilityZoneId &zone) const -> ZoneSummary
{
    ZoneSummary summary;
    summary.zone_ = zone;
    const auto index = state_.findZone(zone);
    if (index) {
        summary.freeAccelerators_ = state_.cluster_.zone(*index).freeAccelerators_;
        summary.largestFreeGang_ = summary.freeAccelerators_;
        summary.waitingJobs_ = static_cast<int>(state_.queue_.size());
        summary.runningTasks_ = state_.runningTasks_[*index];
    }
    return summary;
}

Scheduler::Scheduler(std::vector<AvailabilityZoneId> zones, SchedulerOptions options)
    : impl_(std::make_unique<Impl>(std::move(zones), options))
{
}

Scheduler::~Scheduler() = default;
Scheduler::Scheduler(Scheduler &&) noexcept = default;
auto Scheduler::operator=(Scheduler &&) noexcept -> Scheduler & = default;

auto Scheduler::handle(const SchedulerEvent &event, SteadyTime now) -> std::vector<SchedulerCommand>
{
    return impl_->handle(event, now);
}

auto Scheduler::explain(const JobId &job) const -> std::optional<JobExplanation>
{
    return impl_->explain(job);
}

auto Scheduler::summarize(const AvailabilityZoneId &zone) const -> ZoneSummary
{
    return impl_->summarize(zone);
}
} // namespace Marjoramfold
