#pragma once

#include "fakecluster.h"

#include <map>
#include <set>
#include <string>
#include <vector>

namespace Marjoramfold
{
/// Longest time from a request for guaranteed capacity, or from the submission of an urgent job, to the start of the job.
constexpr std::chrono::milliseconds ReclaimBound{9'100};
/// Longest time that some members of a gang may compute without the others: the first lease of a started task.
constexpr std::chrono::milliseconds PartialGangBound{3'000};
/// Longest time after an availability zone is taken out during which a Start may still arrive there.
constexpr std::chrono::milliseconds OutZoneStartBound{3'000};

/// Invariants of the scheduler that a run can violate.
enum class ViolationKind {
    Guarantee,
    PartialGang,
    StartInOutZone,
    DoubleRun,
};

/// Number of violations by kind, and a readable line about each.
struct Violations {
    std::map<ViolationKind, int> counts_;
    std::vector<std::string> lines_;

    [[nodiscard]] auto count(ViolationKind kind) const -> int
    {
        const auto found = counts_.find(kind);
        return found == counts_.end() ? 0 : found->second;
    }
};

/// Counts violations from the simulated state alone, independent of the policy; docs/measurements.md defines each kind.
class ViolationChecker : public FakeClusterObserver
{
public:
    ViolationChecker(const Scenario &scenario, const FakeCluster &cluster, const EventQueue &queue);

    /// Called when a rule set takes effect in the log, whether or not the policy knows it yet.
    auto rulesInForce(RuleSetPointer rules) -> void;
    auto jobSubmitted(std::size_t job) -> void;
    auto jobsCancelled(const std::vector<std::size_t> &jobs) -> void;

    /// Called when the workers have received all commands of one decision.
    auto decisionApplied() -> void;
    /// Checks the waiting jobs; called every second.
    auto tick() -> void;
    /// Counts violations that are still in progress at the end of the run.
    auto finish() -> void;

    [[nodiscard]] auto violations() const -> const Violations &
    {
        return violations_;
    }

    auto taskChanged(const FakeTask &task, const FakeAttempt &attempt) -> void override;
    auto taskStarted(const FakeTask &task) -> void override;
    auto taskRemoved(const FakeTask &task, const FakeAttempt &attempt) -> void override;
    auto attemptClosed(std::size_t job, const FakeAttempt &attempt) -> void override;
    auto workerChanged(std::size_t worker) -> void override;

private:
    /// Guarantee of a team in an availability zone.
    struct Guarantee {
        int accelerators_ = 0;
        int perWorker_ = 1;
    };
    struct Zone {
        bool in_ = true;
        SteadyTime outSince_;
        int lostWorkers_ = 0;
        SteadyTime lastLoss_ = SteadyTime::min();
        std::vector<std::size_t> workers_;
        /// Guarantee and accelerators in use, by team.
        std::vector<Guarantee> guarantees_;
        std::vector<int> used_;
        bool placementChanged_ = false;
        bool shapeMissing_ = false;
    };
    struct Job {
        std::size_t team_ = 0;
        bool waiting_ = false;
        std::optional<SteadyTime> coveredSince_;
        bool reported_ = false;
        /// End of the leases of its lost members: the job may start again only then.
        SteadyTime notBefore_ = SteadyTime::min();
    };
    /// An attempt of a job that has members on workers.
    struct Gang {
        /// Whether the gang was within its team's guarantee at its first Hold, so that no other team may preempt it.
        bool withinGuarantee_ = false;
        std::optional<SteadyTime> partialSince_;
        bool doubleRunReported_ = false;
    };
    using GangKey = std::pair<std::size_t, std::uint32_t>;

    auto report(ViolationKind kind, const std::string &text) -> void;
    auto checkPartial(const FakeTask &task, const FakeAttempt &attempt) -> void;
    auto endPartial(const GangKey &key, Gang &gang) -> void;
    auto hadRecentWorkerLoss(const Zone &zone) const -> bool;
    /// An availability zone where the unused part of the team's guarantee covers the job, if there is one.
    auto coveringZone(std::size_t job) const -> std::optional<std::size_t>;
    auto reportUnmetGuarantee(std::size_t job, std::size_t zone) -> void;
    auto tasksPerShape(const JobSpec &spec, const Guarantee &guarantee) const -> int;
    /// Size of an unused guaranteed shape that cannot be formed even by preemption, or 0.
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
    /// Accelerators of each worker that are in use by gangs within their guarantees.
    std::vector<int> guaranteedInUse_;
};
} // namespace Marjoramfold
