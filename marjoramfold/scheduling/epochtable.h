#pragma once

#include "marjoramfold/core/ids.h"
#include "marjoramfold/log/records.h"

#include <map>
#include <vector>

namespace Marjoramfold
{
/// Who owns an availability zone, as the records of the `control` stream make it.
struct ZoneEpoch {
    /// Offset of the claim in force; 0 before the first.
    Offset epoch_ = 0;
    /// The owner; empty before the first claim and after a release.
    InstanceId owner_;
    /// Deputies by rank from 1.
    std::vector<InstanceId> deputies_;
    /// The owner gave the availability zone up; the epoch stays in force until the next claim.
    bool isReleased_ = false;
};

/// Derives the epoch in force of each availability zone. A pure state machine: all readers of the same records agree.
///
/// A reader whose log lost its beginning takes a zone's first claim as in force provisionally. A record that an owner wrote under
/// an epoch proves that epoch; the claims after the newest proven epoch are judged from there on.
class EpochTable
{
public:
    /// Starts at the first offset the log keeps; drops everything known.
    auto startReading(Offset first) -> void;

    /// Applies a record. True when it changed owner or epoch.
    auto apply(Offset offset, const ClaimRecord &record) -> bool;
    auto apply(const RenewalRecord &record) -> bool;
    auto apply(const ReleaseRecord &record) -> bool;

    /// Learns from a record of an owner that its epoch was in force. Owners write only under an epoch that they have read as valid.
    auto confirmEpoch(const AvailabilityZoneId &zone, Offset epoch) -> bool;

    /// Learns the epoch that was in force in an availability zone at the first offset read; 0 when it had none.
    auto setInitialEpoch(const AvailabilityZoneId &zone, Offset epoch) -> void;

    /// The epoch of an availability zone; epoch 0 when none is known.
    [[nodiscard]] auto find(const AvailabilityZoneId &zone) const -> ZoneEpoch;

private:
    struct ReadClaim {
        Offset offset_ = 0;
        ClaimRecord record_;
    };
    struct Zone {
        ZoneEpoch inForce_;
        /// An epoch is known for sure, not only assumed because the log lost its beginning.
        bool isConfirmed_ = false;
        /// The newest epoch that is known for sure.
        Offset confirmed_ = 0;
        /// Claims after the newest proven epoch, in order.
        std::vector<ReadClaim> claims_;
    };

    auto findOrAddZone(const AvailabilityZoneId &zone) -> Zone &;
    static auto applyClaim(Zone &zone, const ReadClaim &claim) -> bool;
    static auto confirm(Zone &zone, Offset epoch) -> bool;

    bool hasLogStart_ = true;
    std::map<AvailabilityZoneId, Zone> zones_;
};
} // namespace Marjoramfold
