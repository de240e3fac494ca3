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
/// Timing of the ownership protocol.
struct OwnershipOptions {
    std::chrono::milliseconds lease_{15'000};
    std::chrono::milliseconds renewInterval_{5'000};
    /// Claim delay per candidate rank, so that usually only one candidate claims.
    std::chrono::milliseconds rankDelay_{300};
    /// Reads are fresh when the end of the log was confirmed within this time; must exceed the wait of one long poll.
    std::chrono::milliseconds maxReadAge_{2'500};
    /// A longer gap between two steps counts as a pause of the process.
    std::chrono::milliseconds pauseThreshold_{1'000};
    /// How long the log must be unreachable before a deputy activates, so that one failed read does not count as an outage.
    std::chrono::milliseconds minOutage_{1'000};
    /// How long a deputy must be missing before the owner claims again with other deputies.
    std::chrono::milliseconds deputyReplacementDelay_{30'000};
    std::size_t maxDeputies_ = 2;
};

/// Entry instance that may own the availability zone, with its own zone.
struct OwnershipCandidate {
    InstanceId id_;
    AvailabilityZoneId zone_;
};

/// Appends a record to `control`.
struct AppendOwnershipRecord {
    Record record_;
};

/// Fences the workers under this epoch, then starts scheduling. Also replaces an earlier epoch of the same instance.
struct ActivateEpoch {
    Epoch epoch_;
};

/// Stops all commands to the workers.
struct DeactivateEpoch {
};

using OwnershipCommand = std::variant<AppendOwnershipRecord, ActivateEpoch, DeactivateEpoch>;

/// Ownership of one availability zone from the view of one instance: a deterministic state machine without I/O.
///
/// The input methods only store state; step() decides and must be called after each input and at least every 100 ms.
class Ownership
{
public:
    /// The prefix makes record ids unique to this incarnation of the instance.
    Ownership(AvailabilityZoneId zone, OwnershipCandidate self, std::string idPrefix, OwnershipOptions options = {});

    /// Clears the epoch state; reading of `control` starts at the first retained offset.
    auto startReading(Offset first) -> void;

    /// Applies the next record of `control`; ignores other availability zones and types.
    auto apply(Offset offset, const Record &record, SteadyTime now) -> void;

    /// Sets the start of the last read that reached the end of the log, and since when reads fail.
    auto onLogStatus(std::optional<SteadyTime> confirmedAt, std::optional<SteadyTime> unreachableSince) -> void;

    /// Sets the live entry instances that are not draining, including this one, and those confirmed dead by the failure detector.
    auto onInstancesChanged(std::vector<OwnershipCandidate> candidates, const std::set<InstanceId> &confirmedDead, SteadyTime now) -> void;

    /// A worker rejected a command because it has seen a newer epoch.
    auto onStaleEpochRejected(SteadyTime now) -> void;

    /// A requested record was definitely not appended.
    auto onAppendFailed(const RecordId &id) -> void;

    /// Releases the availability zone and stops claiming, because the instance drains.
    auto release() -> void;

    /// Returns commands that must be executed in order.
    [[nodiscard]] auto step(SteadyTime now) -> std::vector<OwnershipCommand>;

    /// Owner, epoch and deputies derived from the log.
    [[nodiscard]] auto inForce() const -> ZoneEpoch;

    /// The epoch under which this instance may currently send commands, if any.
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
    /// Instances confirmed dead, with the time of the confirmation.
    std::map<InstanceId, SteadyTime> deadSince_;
    std::optional<SteadyTime> confirmedAt_;
    std::optional<SteadyTime> unreachableSince_;

    /// Epoch claimed by this incarnation; 0 for none. Epochs of earlier incarnations of the same id are not its own.
    Offset ownEpoch_ = 0;
    std::optional<Epoch> activeEpoch_;
    /// Lease expiry, counted from the send time of the newest effective renewal.
    SteadyTime leaseUntil_;
    SteadyTime nextRenewalAt_;
    /// End of the last process pause, and the last rejection by a worker; each requires a fresh read of the log.
    std::optional<SteadyTime> pauseEnd_;
    std::optional<SteadyTime> rejectedAt_;
    std::optional<SteadyTime> deputyMissingSince_;
    /// Epoch under which a worker rejected this instance as a deputy.
    Offset rejectedDeputyEpoch_ = 0;

    std::optional<PendingRecord> pendingClaim_;
    std::vector<PendingRecord> pendingRenewals_;
    /// Time of the owner's last record in the log; advanced during log outages, so that they do not count as absence of the owner.
    std::optional<SteadyTime> ownerSeenAt_;
    std::optional<SteadyTime> vacantSince_;
    std::optional<SteadyTime> lastStep_;
    bool isDraining_ = false;
    bool isReleaseSent_ = false;
    std::uint64_t idCounter_ = 0;
};
} // namespace Marjoramfold
