#include "marjoramfold/node/instancemetrics.h"

#include <array>
#include <string>
#include <utility>

namespace Marjoramfold
{
InstanceMetrics::InstanceMetrics(MetricsRegistry &registry)
    : ready_(registry.gauge({"marjoramfold_ready", "1 while the instance takes calls", {}}).at())
    , leads_(registry.gauge({"marjoramfold_leads", "1 while the instance leads", {}}).at())
    , jobs_(registry.gauge({"marjoramfold_known_jobs", "Jobs that the instance knows from the feed", {}}).at())
    , appendBacklog_(registry.gauge({"marjoramfold_append_backlog", "Writes of the instance that the store has not confirmed", {}}).at())
    , workers_(registry.gauge({"marjoramfold_leader_workers", "Workers that the leader knows", {}}).at())
    , unresponsiveWorkers_(registry.gauge({"marjoramfold_leader_silent_workers", "Workers that do not answer the leader", {}}).at())
    , runs_(registry.gauge({"marjoramfold_leader_runs", "Runs that take room at workers", {}}).at())
    , decisions_(registry.gauge({"marjoramfold_leader_decisions", "Decisions and outcomes since this instance leads", {"kind"}}))
    , speeds_(registry.gauge({"marjoramfold_leader_worker_speeds", "Workers by the class of their learned speed", {"class"}}))
    , work_(registry.counter({"marjoramfold_control_work_seconds_total", "Time that the control thread spent on each kind of work", {"kind"}}))
{
}

auto InstanceMetrics::addWork(const WorkSummary &work) -> void
{
    for (std::size_t kind = 0; kind < WorkKindCount; ++kind) {
        work_.at({std::string(toString(static_cast<WorkKind>(kind)))}).Increment(std::chrono::duration<double>(work.times_.at(kind)).count());
    }
}

auto InstanceMetrics::update(bool ready, const JobFeed &feed, const OrderedAppender &appender, const LeaderRuntime *leader) -> void
{
    ready_.Set(ready ? 1 : 0);
    leads_.Set(leader == nullptr ? 0 : 1);
    jobs_.Set(static_cast<double>(feed.jobs().size()));
    appendBacklog_.Set(static_cast<double>(appender.backlog()));
    std::size_t workers = 0;
    std::size_t unresponsive = 0;
    std::size_t runs = 0;
    SchedulerCounts counts;
    std::array<std::size_t, SpeedClassCount> speeds{};
    if (leader != nullptr) {
        counts = leader->scheduler().counts();
        speeds = leader->scheduler().workerSpeeds().countByClass();
        for (const auto &[id, session] : leader->scheduler().sessions().all()) {
            ++workers;
            unresponsive += session->unreachableSince_ == BootTime{} ? 0 : 1;
            runs += session->runs_.size();
        }
    }
    workers_.Set(static_cast<double>(workers));
    unresponsiveWorkers_.Set(static_cast<double>(unresponsive));
    runs_.Set(static_cast<double>(runs));
    const std::pair<const char *, std::uint64_t> kinds[] = {
        {"start", counts.starts_},
        {"done", counts.doneRuns_},
        {"failed", counts.failedRuns_},
        {"lost", counts.lostRuns_},
        {"preemption", counts.preemptions_},
        {"reclaim", counts.reclaims_},
        {"awaited_end", counts.awaitedEnds_},
        {"stopped_core_second", static_cast<std::uint64_t>(counts.stoppedCoreSeconds_)},
        {"stall", counts.stalls_},
        {"move", counts.moves_},
        {"waived_placement", counts.waivedPlacements_},
        {"unexpected_run", counts.unexpectedRuns_},
        {"speed_sample", counts.speedSamples_},
    };
    for (const auto &[kind, value] : kinds) {
        decisions_.at({kind}).Set(static_cast<double>(value));
    }
    for (std::size_t number = 0; number < SpeedClassCount; ++number) {
        speeds_.at({std::string(toString(static_cast<SpeedClass>(number)))}).Set(static_cast<double>(speeds.at(number)));
    }
}
} // namespace Marjoramfold
