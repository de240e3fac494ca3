#pragma once

#include "marjoramfold/routing/request.h"
#include "marjoramfold/rules/ruleset.h"

#include <memory>
#include <random>
#include <unordered_map>
#include <vector>

namespace Marjoramfold
{
/// Generator for random choices; the owner seeds it.
using RandomGenerator = std::mt19937_64;

/// A target as the instance list describes it.
struct TargetInfo {
    TargetId id_;
    AvailabilityZoneId zone_;
    /// HOST:PORT of the target.
    std::string address_;
    bool leaving_ = false;
};

/// The targets of one version of the instance list.
struct TargetList {
    /// Time of the list by the clock of the platform.
    WallTime asOf_;
    std::vector<TargetInfo> targets_;
};

using TargetListPointer = std::shared_ptr<const TargetList>;

/// Limits of a target pool.
struct TargetPoolOptions {
    AvailabilityZoneId ownZone_;
    /// Concurrent requests of this traffic thread to one target.
    int slotsPerTarget_ = 4;
    std::chrono::milliseconds initialEjectionTime_{1'000};
    std::chrono::milliseconds maxEjectionTime_{30'000};
    /// More than one, because a single failure may be caused by the request itself.
    int consecutiveFailuresToEject_ = 3;
    /// A target is slow when its average latency exceeds this multiple of the median of all targets.
    double slowLatencyFactor_ = 5.0;
    /// Latencies up to this are never slow.
    std::chrono::milliseconds minSlowLatency_{50};
    /// A target that refused requests as leaving is reinstated only by a list newer than the refusal by more than this.
    std::chrono::milliseconds maxListLag_{10'000};
};

/// Outcome of one exchange with a target.
enum class ExchangeOutcome {
    Answered,
    /// The target refused because it is leaving.
    RefusedLeaving,
    /// The target refused the request for another reason, such as no free slot.
    Refused,
    /// No connection was established, so no byte was sent.
    NotSent,
    Failed,
};

/// Load and health of one target.
struct Target {
    TargetInfo info_;
    int inFlight_ = 0;
    bool listed_ = true;
    /// Known to be leaving from its own refusal or from a peer, until a list newer than refusedAt_ has it as live.
    bool refusedLeaving_ = false;
    WallTime refusedAt_;
    bool zoneOutOfService_ = false;
    bool ejected_ = false;
    bool probing_ = false;
    SteadyTime probeAt_;
    std::chrono::milliseconds ejectionTime_{0};
    int consecutiveFailures_ = 0;
    /// Exponential moving average of the latency of answers, in microseconds; 0 before the first answer.
    double latencyUs_ = 0;
    SteadyTime lastAnswer_;
    int answersSinceReinstated_ = 0;
};

/// Selects targets and tracks their load and health. Deterministic: times and the random generator are passed in.
class TargetPool
{
public:
    explicit TargetPool(TargetPoolOptions options);

    /// Applies a list unless it is older than the one in use; true when it was applied.
    auto applyList(const TargetList &list) -> bool;

    /// Stops new requests to availability zones that the rules take out of service.
    auto applyRules(const RuleSet &rules) -> void;

    /// Stops new requests to a target that is leaving, for example according to a peer's newer list.
    auto markLeaving(const TargetId &id, WallTime now) -> void;

    /// Selects a target that is not excluded and reserves one of its slots; null when none has a free slot.
    [[nodiscard]] auto acquire(bool idempotent, const std::vector<TargetId> &excluded, SteadyTime now, RandomGenerator &random) -> const Target *;

    /// True when a target has a free slot or an ejected one is due for its probe.
    [[nodiscard]] auto hasFreeSlot(SteadyTime now) const -> bool;

    /// Ends an exchange: frees its slot and updates the health of the target.
    auto release(const TargetId &id, ExchangeOutcome outcome, std::chrono::microseconds latency, EventTime now) -> void;

    /// Counts a failure while the exchange is still open, such as a missed deadline.
    auto countFailure(const TargetId &id, SteadyTime now) -> void;

    /// Ejects targets whose average latency exceeds the limit for slow targets.
    auto ejectSlow(SteadyTime now) -> void;

    /// Shortest expected duration of an exchange, from recent answers; zero when there are none.
    [[nodiscard]] auto expectedLatency(SteadyTime now) const -> std::chrono::microseconds;

    /// Number of targets that may get requests, ejected ones included.
    [[nodiscard]] auto usableCount() const -> std::size_t;

    /// Number of slots of the targets that may get requests and are not ejected.
    [[nodiscard]] auto slotCount() const -> std::size_t;

    /// A target by id; null when it is unknown.
    [[nodiscard]] auto find(const TargetId &id) const -> const Target *;

private:
    [[nodiscard]] auto isUsable(const Target &target) const -> bool;
    [[nodiscard]] auto chooseProbe(bool idempotent, const std::vector<TargetId> &excluded, SteadyTime now) -> Target *;
    [[nodiscard]] auto chooseLeastLoaded(const std::vector<Target *> &candidates, const std::vector<TargetId> &excluded, RandomGenerator &random) -> Target *;
    auto eject(Target &target, SteadyTime now) -> void;
    auto recordFailure(Target &target, int failures, SteadyTime now) -> void;
    auto recordSuccess(Target &target, std::chrono::microseconds latency, SteadyTime now) -> void;
    auto rebuildCandidates() -> void;

    TargetPoolOptions options_;
    WallTime listAsOf_;
    bool hasList_ = false;
    std::unordered_map<TargetId, std::unique_ptr<Target>> targets_;
    std::unordered_map<AvailabilityZoneId, bool> zonesOutOfService_;
    /// Healthy targets that may get requests.
    std::vector<Target *> ownZoneTargets_;
    std::vector<Target *> otherZoneTargets_;
    std::vector<Target *> ejectedTargets_;
    /// Reused buffer of chooseLeastLoaded().
    std::vector<Target *> eligible_;
};
} // namespace Marjoramfold
