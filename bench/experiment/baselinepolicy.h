#pragma once

#include "baselineplacement.h"
#include "marjoramfold/scheduling/events.h"
#include "marjoramfold/scheduling/scheduleroptions.h"

#include <map>
#include <set>
#include <unordered_map>
#include <vector>

namespace Marjoramfold
{
/// A scheduler that places jobs in arrival order by first fit and starts gangs by the protocol of docs/design.md, section 5.5.
///
/// It models the ordinary scheduler that a platform starts with, and is meant to be a strong baseline: urgent jobs queue first,
/// quotas and availability zones are respected, failed gangs are retried with backoff on other workers, failing workers are
/// quarantined and probed, and gangs in an availability zone that is taken out are stopped with a checkpoint and requeued.
/// It has no guarantees, no other preemption, no run time estimates and no migration.
///
/// FirstFit keeps strict arrival order, so that it never starves a large job. A head-of-line job does not block others while
/// it cannot run for a reason other than capacity: backoff, quota, or all its zones being out.
/// FirstFitSkip lets any job that fits overtake; it uses capacity better but can starve large jobs.
class BaselinePolicy
{
public:
    explicit BaselinePolicy(BaselineKind kind);

    [[nodiscard]] auto handle(const SchedulerEvent &event, SteadyTime now) -> std::vector<SchedulerCommand>;

private:
    enum class MemberState {
        Held,
        Holding,
        Starting,
        Running,
        Stopping,
        Released,
    };
    struct Member {
        std::size_t worker_ = 0;
        MemberState state_ = MemberState::Holding;
        bool started_ = false;
        bool finished_ = false;
        std::chrono::milliseconds progress_{0};
    };
    struct Job {
        JobSpec spec_;
        std::uint64_t arrivalOrder_ = 0;
        int partition_ = AllPartitions;
        JobState state_ = JobState::Waiting;
        std::uint32_t attempt_ = 0;
        std::chrono::milliseconds progress_{0};
        std::vector<Member> members_;
        SteadyTime notBefore_;
        /// Time of the last renewal of its leases.
        SteadyTime renewedAt_;
        int failures_ = 0;
        std::vector<std::size_t> failedWorkers_;
        bool failedByWorker_ = false;
        bool cancelled_ = false;
        std::string reason_;
    };
    struct QueueKey {
        int partition_ = 0;
        bool notUrgent_ = true;
        std::uint64_t arrivalOrder_ = 0;
        auto operator<=>(const QueueKey &) const = default;
    };
    /// Jobs that failed on a worker, each with the time of the failure.
    using Failures = std::vector<std::pair<JobId, SteadyTime>>;

    auto on(const WorkerUp &event) -> void;
    auto on(const WorkerDown &event) -> void;
    auto on(const WorkerLeaving &event) -> void;
    auto on(const JobArrived &event) -> void;
    auto on(const GangRecovered &event) -> void;
    auto on(const JobsCancelled &event) -> void;
    auto on(const RulesChanged &event) -> void;
    auto on(const StartGateChanged &event) -> void;
    auto on(const TaskCommandResult &event) -> void;
    auto on(const TaskEnded &event) -> void;
    auto on(const UsageReported &event) -> void;
    auto on(const ProbeResult &event) -> void;
    /// Never occurs, since a baseline owns every availability zone: no job is withdrawn and no team has usage elsewhere.
    auto on(const JobWithdrawn &event) -> void;
    auto on(const TeamUseElsewhere &event) -> void;
    auto on(const Tick &event) -> void;

    auto findMember(const TaskId &task, Job *&job) -> Member *;
    auto enqueue(Job &job) -> void;
    auto placeQueuedJobs() -> void;
    auto tryStart(Job &job) -> bool;
    auto matchesUnplacedJob(const Job &job, const std::vector<const Job *> &unplaced) const -> bool;
    auto isEligible(const Job &job) const -> bool;
    auto startIfAllHeld(Job &job) -> void;
    auto markRunningIfAllStarted(Job &job) -> void;
    auto renewAll() -> void;
    auto stopGang(Job &job, std::chrono::milliseconds grace, const std::string &reason) -> void;
    auto stopGangsOn(std::size_t worker, const std::string &reason) -> void;
    auto releaseAfterLease(const Job &job, std::size_t member) -> void;
    auto releaseExpiredMembers() -> void;
    auto releaseMember(Job &job, Member &member) -> void;
    auto endAttemptIfReleased(Job &job) -> void;
    auto recordFailure(Job &job, std::size_t worker) -> void;
    auto endJob(Job &job, JobState state, const std::string &reason) -> void;
    auto sendCommand(TaskCommandKind kind, const Job &job, std::size_t member, std::chrono::milliseconds lease) -> void;

    BaselineKind kind_;
    SchedulerOptions options_;
    BaselinePlacement placement_;
    SteadyTime now_;
    SteadyTime lastRenewal_;
    SteadyTime lastProbe_;
    std::vector<SchedulerCommand> commands_;
    std::unordered_map<JobId, Job> jobs_;
    std::map<QueueKey, JobId> queue_;
    std::map<TeamId, int> acceleratorsInUse_;
    std::unordered_map<std::size_t, Failures> workerFailures_;
    /// Members whose state is unknown, by the end of their leases: until then they may still run.
    std::multimap<SteadyTime, TaskId> lostMembers_;
    /// Earliest end of a backoff among waiting jobs.
    SteadyTime nextBackoffEnd_ = SteadyTime::max();
    /// Jobs with a member on each worker.
    std::vector<std::set<JobId>> gangsByWorker_;
    std::uint64_t nextArrivalOrder_ = 0;
    /// Whether a change may allow a waiting job to start.
    bool placementNeeded_ = false;
};
} // namespace Marjoramfold
