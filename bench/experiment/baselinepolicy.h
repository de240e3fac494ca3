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
/// A scheduler that places jobs in arrival order by first fit, with the gang protocol of section 5.5.
///
/// It is the ordinary scheduler that a platform starts with, and is meant to do that job well: urgent jobs queue first, quotas
/// and availability zones are honoured, gangs that fail are retried with backoff away from the workers they failed on,
/// failing workers are quarantined and probed, and gangs leave an availability zone that is taken out by checkpoint. It knows
/// no guarantees, no preemption otherwise, no estimates and no moves.
///
/// FirstFit keeps strict arrival order, the classic meaning: it is the baseline that never starves a large job. Its head does
/// not hold up others while it cannot run for a reason that no free capacity cures: backoff, quota, all its zones out.
/// FirstFitSkip lets any job that fits go ahead; it uses capacity better and can starve large jobs.
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
        Gone,
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
        std::uint64_t order_ = 0;
        int share_ = SharedByAll;
        JobState state_ = JobState::Waiting;
        std::uint32_t attempt_ = 0;
        std::chrono::milliseconds progress_{0};
        std::vector<Member> members_;
        SteadyTime notBefore_;
        /// When its leases were renewed last.
        SteadyTime renewed_;
        int failures_ = 0;
        std::vector<std::size_t> failedWorkers_;
        bool failedByWorker_ = false;
        bool cancelled_ = false;
        std::string reason_;
    };
    struct QueueKey {
        int share_ = 0;
        bool ordinary_ = true;
        std::uint64_t order_ = 0;
        auto operator<=>(const QueueKey &) const = default;
    };
    /// Jobs that failed on a worker, with the time.
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
    /// The baselines own every availability zone, so no job is withdrawn from them and nothing runs elsewhere.
    auto on(const JobWithdrawn &event) -> void;
    auto on(const TeamUseElsewhere &event) -> void;
    auto on(const Tick &event) -> void;

    auto findMember(const TaskId &task, Job *&job) -> Member *;
    auto enqueue(Job &job) -> void;
    auto placeWaiting() -> void;
    auto tryStart(Job &job) -> bool;
    auto isLikeBlocked(const Job &job, const std::vector<const Job *> &blocked) const -> bool;
    auto mayRun(const Job &job) const -> bool;
    auto startAll(Job &job) -> void;
    auto confirm(Job &job) -> void;
    auto renewAll() -> void;
    auto stopGang(Job &job, std::chrono::milliseconds grace, const std::string &reason) -> void;
    auto stopGangsOn(std::size_t worker, const std::string &reason) -> void;
    auto waitForLease(const Job &job, std::size_t member) -> void;
    auto releaseLostMembers() -> void;
    auto memberGone(Job &job, Member &member) -> void;
    auto gangGone(Job &job) -> void;
    auto noteFailure(Job &job, std::size_t worker) -> void;
    auto end(Job &job, JobState state, const std::string &reason) -> void;
    auto send(TaskCommandKind kind, const Job &job, std::size_t member, std::chrono::milliseconds lease) -> void;

    BaselineKind kind_;
    SchedulerOptions options_;
    BaselinePlacement placement_;
    SteadyTime now_;
    SteadyTime lastRenewal_;
    SteadyTime lastProbe_;
    std::vector<SchedulerCommand> commands_;
    std::unordered_map<JobId, Job> jobs_;
    std::map<QueueKey, JobId> queue_;
    std::map<TeamId, int> used_;
    std::unordered_map<std::size_t, Failures> workerFailures_;
    /// Members whose workers are lost, by the end of their leases: until then they may still run.
    std::multimap<SteadyTime, TaskId> lostMembers_;
    /// End of the first backoff of a waiting job.
    SteadyTime nextBackoff_ = SteadyTime::max();
    /// Gangs on each worker.
    std::vector<std::set<JobId>> gangsOn_;
    std::uint64_t nextOrder_ = 0;
    /// Something changed that may let a waiting job start.
    bool changed_ = false;
};
} // namespace Marjoramfold
