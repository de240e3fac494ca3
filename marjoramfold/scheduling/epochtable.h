#pragma once

#include "marjoramfold/core/ids.h"
#include "marjoramfold/log/records.h"

#include <map>
#include <vector>

namespace Marjoramfold
{
/// Owner and epoch of an availability zone, derived from the `control` stream.
struct ZoneEpoch {
    /// Offset of the claim in force; 0 before the first claim.
    Offset epoch_ = 0;
    /// The owner; empty before the first claim and after a release.
    InstanceId owner_;
    /// Deputies by rank from 1.
    std::vector<InstanceId> deputies_;
    /// Set by a release; the epoch stays in force until the next claim.
    bool isReleased_ = false;
};

/// Derives the epoch in force of each availability zone. Deterministic: all readers of the same records agree.
///
/// When the start of the log was truncated, the first claim read for a zone is in force provisionally. A record written by an owner
/// confirms its epoch; later claims are then applied again on top of the newest confirmed epoch.
class EpochTable
{
public:
    /// Clears all state and starts at the first retained offset of the log.
    auto startReading(Offset first) -> void;

    /// Applies a record; returns true when the owner or epoch changed.
    auto apply(Offset offset, const ClaimRecord &record) -> bool;
    auto apply(const RenewalRecord &record) -> bool;
    auto apply(const ReleaseRecord &record) -> bool;

    /// Confirms the epoch of an owner's record. Owners write only under an epoch that they have read as valid.
    auto confirmEpoch(const AvailabilityZoneId &zone, Offset epoch) -> bool;

    /// Sets the epoch in force at the first offset read; 0 for none.
    auto setInitialEpoch(const AvailabilityZoneId &zone, Offset epoch) -> void;

    /// Returns epoch 0 for an unknown availability zone.
    [[nodiscard]] auto find(const AvailabilityZoneId &zone) const -> ZoneEpoch;

private:
    struct ReadClaim {
        Offset offset_ = 0;
        ClaimRecord record_;
    };
    struct Zone {
        ZoneEpoch inForce_;
        /// False while the epoch is provisional because the start of the log was truncated.
        bool isConfirmed_ = false;
        /// The newest confirmed epoch.
        Offset confirmed_ = 0;
        /// Claims after the newest confirmed epoch, in log order.
        std::vector<ReadClaim> claims_;
    };

    auto findOrAddZone(const AvailabilityZoneId &zone) -> Zone &;
    static auto applyClaim(Zone &zone, const ReadClaim &claim) -> bool;
    static auto confirm(Zone &zone, Offset epoch) -> bool;

    bool hasLogStart_ = true;
    std::map<AvailabilityZoneId, Zone> zones_;
};
} // namespace Marjoramfold
