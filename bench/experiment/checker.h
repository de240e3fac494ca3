#pragma once

#include "fakecluster.h"

#include <map>
#include <set>
#include <string>
#include <vector>

namespace Marjoramfold
{
/// Longest time from the wish for a guaranteed shape, or an urgent job's submission, to its start.
constexpr std::chrono::milliseconds ReclaimBound{9'100};
/// Longest time that a part of a gang may compute without the rest: the first lease of a started task.
constexpr std::chrono::milliseconds PartialGangBound{3'000};
/// Longest time after an availability zone was taken out in which a Start may still arrive there.
constexpr std::chrono::milliseconds OutZoneBound{3'000};

/// Kinds of broken promises.
enum class ViolationKind {
    Guarantee,
    PartialGang,
    StartInOutZone,
    DoubleRun,
};

/// Numbers of violations by kind, with a line for people about each.
struct Violations {
    std::map<ViolationKind, int> counts_;
    std::vector<std::string> lines_;

    [[nodiscard]] auto count(ViolationKind kind) const -> int
    {
        const auto found = counts_.find(kind);
        return found == counts_.end() ? 0 : found->second;
    }
};

/// Counts broken promises from the state of the fakes alone; docs/measurements.md defines each kind.
class Checker : public FakeClusterObserver
{
public:
    Checker(const Scenario &scenario, const FakeCluster &cluster, const EventQueue &queue);

    /// A rule set took effect at the log, whether or not the policy knows it yet.
    auto rulesInForce(RuleSetPointer rules) -> void;
    auto jobSubmitted(std::size_t job) -> void;
    auto jobsCancelled(const std::vector<std::size_t> &jobs) -> void;

    /// All commands of one decision reached the workers.
    auto decisionCarriedOut() -> void;
    /// Looks at waiting work; called every second.
    auto tick() -> void;
    /// Counts what is still open at the end of the run.
    auto finish() -> void;

    [[nodiscard]] auto violations() const -> const Violations &
    {
        return violations_;
    }

    auto taskChanged(const FakeTask &task, const FakeAttempt &attempt) -> void override;
    auto taskStarted(const FakeTask &task) -> void override;
    auto taskGone(const FakeTask &task, const FakeAttempt &attempt) -> void override;
    auto attemptClosed(std::size_t job, const FakeAttempt &attempt) -> void override;
    auto workerChanged(std::size_t worker) -> void override;

private:
    /// A guarantee of a team in an availability zone, with the team's use there.
    struct Guarantee {
        int accelerators_ = 0;
        int perWorker_ = 1;
    };
    /// What the checker keeps of an availability zone.
    struct Zone {
        bool in_ = true;
        SteadyTime outSince_;
        int lostWorkers_ = 0;
        SteadyTime lastLoss_ = SteadyTime::min();
        std::vector<std::size_t> workers_;
        /// By team.
        std::vector<Guarantee> guarantees_;
        std::vector<int> used_;
        bool placed_ = false;
        bool broken_ = false;
    };
    /// What the checker keeps of a job.
    struct Job {
        std::size_t team_ = 0;
        bool waiting_ = false;
        std::optional<SteadyTime> coveredSince_;
        bool counted_ = false;
        /// A job with a lost member may start again only after that member's lease.
        SteadyTime notBefore_ = SteadyTime::min();
    };
    /// A gang on the workers.
    struct Gang {
        /// Fits in its team's guarantee as of its first Hold, so that no other team may preempt it.
        bool withinGuarantee_ = false;
        std::optional<SteadyTime> partialSince_;
        bool doubleCounted_ = false;
    };
    using GangKey = std::pair<std::size_t, std::uint32_t>;

    auto report(ViolationKind kind, const std::string &text) -> void;
    auto checkPartial(const FakeTask &task, const FakeAttempt &attempt) -> void;
    auto endPartial(const GangKey &key, Gang &gang) -> void;
    auto workersDisturbed(const Zone &zone) const -> bool;
    /// An availability zone in which the job's team is guaranteed what the job needs and does not use it, if there is one.
    auto coveringZone(std::size_t job) const -> std::optional<std::size_t>;
    auto reportWaiting(std::size_t job, std::size_t zone) -> void;
    auto tasksPerShape(const JobSpec &spec, const Guarantee &guarantee) const -> int;
    /// Size of an unused guaranteed shape that cannot be formed, or 0.
    auto missingShape(const Zone &zone) const -> int;
    auto teamIndex(const TeamId &team) -> std::size_t;

    const Scenario &scenario_;
    const FakeCluster &cluster_;
    const EventQueue &queue_;
    Violations violations_;
    std::vector<Zone> zones_;
    std::map<AvailabilityZoneId, std::size_t> zoneIndex_;
    std::vector<std::size_t> zoneOfWorker_;
    std::map<TeamId, std::size_t> teamIndex_;
    std::vector<int> quotas_;
    std::vector<int> usedByTeam_;
    std::vector<Job> jobs_;
    std::set<std::size_t> waiting_;
    std::map<GangKey, Gang> gangs_;
    /// Accelerators of each worker in use by gangs within their guarantees.
    std::vector<int> protected_;
};
} // namespace Marjoramfold
