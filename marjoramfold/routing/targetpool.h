#pragma once

#include "marjoramfold/routing/request.h"
#include "marjoramfold/rules/ruleset.h"

#include <memory>
#include <random>
#include <unordered_map>
#include <vector>

namespace Marjoramfold
{
/// The generator of random choices; seeded by the owner.
using RandomGenerator = std::mt19937_64;

/// A target as the instance list describes it.
struct TargetInfo {
    TargetId id_;
    AvailabilityZoneId zone_;
    /// HOST:PORT of the target.
    std::string address_;
    bool leaving_ = false;
};

/// The targets of the instance list at a time.
struct TargetList {
    /// When the platform made the list, by its clock.
    WallTime asOf_;
    std::vector<TargetInfo> targets_;
};

using TargetListPointer = std::shared_ptr<const TargetList>;

/// Limits of a target pool.
struct TargetPoolOptions {
    AvailabilityZoneId ownZone_;
    /// Requests in progress at one target at once, from this traffic thread.
    int slotsPerTarget_ = 4;
    std::chrono::milliseconds firstEjection_{1'000};
    std::chrono::milliseconds longestEjection_{30'000};
    /// Failures in a row that eject a target. A single one may be the request's own fault.
    int failuresToEject_ = 3;
    /// A target is slow when its mean latency exceeds this many times the median of all targets.
    double slowFactor_ = 5.0;
    /// Latencies below this never count as slow.
    std::chrono::milliseconds slowFloor_{50};
    /// A list this much newer than a target's own refusal may call the target live again. It covers the lag of the list.
    std::chrono::milliseconds listLag_{10'000};
};

/// What became of one exchange with a target.
enum class ExchangeOutcome {
    Answered,
    /// The target refused because it is leaving.
    RefusedLeaving,
    /// The target refused the request for another reason, such as no free slot.
    Refused,
    /// No connection was made, so that no byte was sent.
    NotSent,
    Failed,
};

/// One target with its load and health.
struct Target {
    TargetInfo info_;
    int inFlight_ = 0;
    bool listed_ = true;
    /// Refused work by itself; holds until a list newer than refusedAt_ calls the target live.
    bool refusedLeaving_ = false;
    WallTime refusedAt_;
    bool zoneOut_ = false;
    bool ejected_ = false;
    bool probing_ = false;
    SteadyTime probeAt_;
    std::chrono::milliseconds ejection_{0};
    int failuresInRow_ = 0;
    /// Moving mean of the latency of answers, in microseconds; 0 before the first answer.
    double latencyUs_ = 0;
    SteadyTime lastAnswer_;
    int answersSinceReturn_ = 0;
};

/// Chooses targets and keeps their load and health. Pure: times and random choices are passed in.
class TargetPool
{
public:
    explicit TargetPool(TargetPoolOptions options);

    /// Takes a list unless it is older than the one in use; true when it was taken.
    auto applyList(const TargetList &list) -> bool;

    /// Takes the availability zones that operators have out.
    auto applyRules(const RuleSet &rules) -> void;

    /// Stops new work to a target that is known to leave, for example from a peer's newer list.
    auto markLeaving(const TargetId &id, WallTime now) -> void;

    /// Chooses a target with a free slot and takes the slot; null when there is none.
    [[nodiscard]] auto take(bool idempotent, const std::vector<TargetId> &excluded, SteadyTime now, RandomGenerator &random) -> const Target *;

    /// True when a target has a free slot or an ejected one is due for its probe.
    [[nodiscard]] auto hasFreeSlot(SteadyTime now) const -> bool;

    /// Ends an exchange: frees its slot and judges the target.
    auto release(const TargetId &id, ExchangeOutcome outcome, std::chrono::microseconds latency, Moment now) -> void;

    /// Counts a failure while the exchange is still open, such as a deadline that passed.
    auto countFailure(const TargetId &id, SteadyTime now) -> void;

    /// Ejects targets that are much slower than the others.
    auto ejectSlow(SteadyTime now) -> void;

    /// Expected time of an exchange, from recent answers; zero when there are none.
    [[nodiscard]] auto expectedLatency(SteadyTime now) const -> std::chrono::microseconds;

    /// Number of targets that may get work, ejected ones included.
    [[nodiscard]] auto usableCount() const -> std::size_t;

    /// Slots of the targets that may get work and are not ejected.
    [[nodiscard]] auto slotCount() const -> std::size_t;

    /// A target by id; null when it is unknown.
    [[nodiscard]] auto find(const TargetId &id) const -> const Target *;

private:
    [[nodiscard]] auto isUsable(const Target &target) const -> bool;
    [[nodiscard]] auto takeProbe(bool idempotent, const std::vector<TargetId> &excluded, SteadyTime now) -> Target *;
    [[nodiscard]] auto takeLeastLoaded(const std::vector<Target *> &candidates, const std::vector<TargetId> &excluded, RandomGenerator &random) -> Target *;
    auto eject(Target &target, SteadyTime now) -> void;
    auto fail(Target &target, int failures, SteadyTime now) -> void;
    auto succeed(Target &target, std::chrono::microseconds latency, SteadyTime now) -> void;
    auto rebuild() -> void;

    TargetPoolOptions options_;
    WallTime listAsOf_;
    bool hasList_ = false;
    std::unordered_map<TargetId, std::unique_ptr<Target>> targets_;
    std::unordered_map<AvailabilityZoneId, bool> zonesOut_;
    /// Healthy targets that may get work, of the own availability zone and of the others.
    std::vector<Target *> own_;
    std::vector<Target *> others_;
    std::vector<Target *> ejected_;
    std::vector<Target *> scratch_;
};
} // namespace Marjoramfold
