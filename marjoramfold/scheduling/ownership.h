#pragma once

#include "marjoramfold/core/clock.h"
#include "marjoramfold/scheduling/epochtable.h"

#include <chrono>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

namespace Marjoramfold
{
/// Times of the ownership of an availability zone.
struct OwnershipOptions {
    std::chrono::milliseconds lease_{15'000};
    std::chrono::milliseconds renewInterval_{5'000};
    /// Wait per rank of a candidate, so that one claim normally wins.
    std::chrono::milliseconds rankDelay_{300};
    /// Reads are fresh when the end of the log was confirmed within this time; above the wait of one long poll.
    std::chrono::milliseconds maxReadAge_{2'500};
    /// A gap between two steps that counts as a pause of the process.
    std::chrono::milliseconds pauseThreshold_{1'000};
    /// The log must be unreachable for this long before a deputy acts, so that one failed read is not an outage.
    std::chrono::milliseconds minOutage_{1'000};
    /// A deputy must be missing for this long before the owner claims again with other deputies.
    std::chrono::milliseconds deputyReplacementDelay_{30'000};
    std::size_t maxDeputies_ = 2;
};

/// An entry instance that may own the availability zone.
struct OwnershipCandidate {
    InstanceId id_;
    AvailabilityZoneId zone_;
};

/// Append this record to `control`.
struct AppendOwnershipRecord {
    Record record_;
};

/// Fence the workers under this epoch, then schedule. Also replaces an earlier epoch of the same instance.
struct ActivateEpoch {
    Epoch epoch_;
};

/// Send no more commands to the workers.
struct DeactivateEpoch {
};

using OwnershipCommand = std::variant<AppendOwnershipRecord, ActivateEpoch, DeactivateEpoch>;

/// Ownership of one availability zone as one instance sees it: a deterministic state machine without I/O.
///
/// Inputs are noted by the methods; step() decides and must be called after each input and at least every 100 ms.
class Ownership
{
public:
    /// The prefix makes record ids unique to this run of the instance.
    Ownership(AvailabilityZoneId zone, OwnershipCandidate self, std::string idPrefix, OwnershipOptions options = {});

    /// Reading of `control` starts at the first offset the log keeps.
    auto startReading(Offset first) -> void;

    /// Takes a record of `control`, in order. Records of other availability zones and other types are ignored.
    auto apply(Offset offset, const Record &record, SteadyTime now) -> void;

    /// Takes what the log's follower knows: start of the last read that reached the end, and since when reads fail.
    auto onLogStatus(std::optional<SteadyTime> confirmedAt, std::optional<SteadyTime> unreachableSince) -> void;

    /// Takes the live entry instances that are not draining, this one included, and the ones that the failure detector has confirmed dead.
    auto onInstancesChanged(std::vector<OwnershipCandidate> candidates, const std::set<InstanceId> &confirmedDead, SteadyTime now) -> void;

    /// A worker refused a command because it has seen a newer epoch.
    auto onStaleEpochRejected(SteadyTime now) -> void;

    /// A record that a command asked for was surely not appended.
    auto onAppendFailed(const RecordId &id) -> void;

    /// The instance drains: it gives the availability zone up and claims no more.
    auto release() -> void;

    /// Decides. Commands must be carried out in order.
    [[nodiscard]] auto step(SteadyTime now) -> std::vector<OwnershipCommand>;

    /// Owner, epoch and deputies as the log makes them.
    [[nodiscard]] auto inForce() const -> ZoneEpoch;

    /// The epoch under which this instance may send commands now, if any.
    [[nodiscard]] auto activeEpoch() const -> std::optional<Epoch>;

    [[nodiscard]] auto zone() const -> const AvailabilityZoneId &;

private:
    using Commands = std::vector<OwnershipCommand>;

    struct PendingRecord {
        RecordId id_;
        SteadyTime sentAt_;
    };

    auto applyClaim(Offset offset, const ClaimRecord &record, SteadyTime now) -> void;
    auto applyRenewal(const RenewalRecord &record, SteadyTime now) -> void;
    auto accountForPauseAndOutage(SteadyTime now) -> void;
    auto stepOwner(SteadyTime now, Commands &commands) -> void;
    auto stepCandidate(SteadyTime now, Commands &commands) -> void;
    auto renew(SteadyTime now, Commands &commands) -> void;
    auto refreshDeputies(SteadyTime now, Commands &commands) -> void;
    auto claim(SteadyTime now, Commands &commands) -> void;
    auto setActiveEpoch(std::optional<Epoch> wanted, Commands &commands) -> void;

    [[nodiscard]] auto isOwner() const -> bool;
    [[nodiscard]] auto isFresh(SteadyTime now) const -> bool;
    [[nodiscard]] auto mayActAsOwner(SteadyTime now) const -> bool;
    [[nodiscard]] auto isDead(const InstanceId &id) const -> bool;
    [[nodiscard]] auto isVacant(SteadyTime now) const -> bool;
    [[nodiscard]] auto deputyRank() const -> std::optional<std::uint32_t>;
    [[nodiscard]] auto mayActAsDeputy(SteadyTime now) const -> bool;
    [[nodiscard]] auto rankedCandidates() const -> std::vector<OwnershipCandidate>;
    [[nodiscard]] auto claimDelay() const -> std::chrono::milliseconds;
    [[nodiscard]] auto chooseDeputies() const -> std::vector<InstanceId>;
    [[nodiscard]] auto newId(std::string_view kind) -> RecordId;

    AvailabilityZoneId zone_;
    OwnershipCandidate self_;
    std::string idPrefix_;
    OwnershipOptions options_;
    EpochTable table_;

    std::vector<OwnershipCandidate> candidates_;
    /// Instances confirmed dead, and since when.
    std::map<InstanceId, SteadyTime> deadSince_;
    std::optional<SteadyTime> confirmedAt_;
    std::optional<SteadyTime> unreachableSince_;

    /// Epoch of this run's own claim; 0 for none. An epoch of an earlier run under the same id is another's.
    Offset ownEpoch_ = 0;
    std::optional<Epoch> activeEpoch_;
    /// The own lease, counted from when the newest renewal that took effect was sent.
    SteadyTime leaseUntil_;
    SteadyTime nextRenewalAt_;
    /// End of the last pause of this process, and the last refusal by a worker: the log must be read anew after either.
    std::optional<SteadyTime> pauseEnd_;
    std::optional<SteadyTime> rejectedAt_;
    std::optional<SteadyTime> deputyMissingSince_;
    /// Epoch under which a worker refused this instance as a deputy.
    Offset rejectedDeputyEpoch_ = 0;

    std::optional<PendingRecord> pendingClaim_;
    std::vector<PendingRecord> pendingRenewals_;
    /// When the owner was last heard of in the log; outages do not count.
    std::optional<SteadyTime> ownerSeenAt_;
    std::optional<SteadyTime> vacantSince_;
    std::optional<SteadyTime> lastStep_;
    bool isDraining_ = false;
    bool isReleaseSent_ = false;
    std::uint64_t idCounter_ = 0;
};
} // namespace Marjoramfold
