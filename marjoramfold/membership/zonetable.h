#pragma once

#include "marjoramfold/core/clock.h"
#include "marjoramfold/membership/peermessages.h"

#include <map>
#include <optional>
#include <vector>

namespace Marjoramfold
{
/// The newest digest of an availability zone, with times on this instance's clock.
struct KnownDigest {
    /// The digest with its age on arrival.
    ZoneDigest digest_;
    /// Creation time of the digest on this instance's clock, assuming the greatest age that it can have.
    SteadyTime madeAt_;
    /// True when network delay cannot make the confirmation appear fresher than it is.
    bool confirmationBounded_ = true;
};

/// Time at which this instance first learned that a rule version is in force on all live instances of a zone.
struct InForceRecord {
    Offset version_ = 0;
    SteadyTime seenAt_;
};

/// Newest digests and capacities of all availability zones. Does no I/O.
class ZoneTable
{
public:
    /// Stores a digest that was created at madeAt on this instance's clock, unless a newer one is known. True when it was stored.
    auto mergeDigest(const ZoneDigest &digest, SteadyTime madeAt, bool confirmationBounded, SteadyTime now) -> bool;

    /// Expands a refresh to a full digest; empty when the earlier digest is not known.
    [[nodiscard]] auto complete(const DigestRefresh &refresh) const -> std::optional<ZoneDigest>;

    /// Stores a zone's capacity if it is newer than the known one. True when it was stored.
    auto mergeCapacity(const AdvertisedCapacity &capacity) -> bool;

    /// Records the zones that have members, so that the timeout also applies to a zone without any digest.
    auto recordZones(const std::vector<AvailabilityZoneId> &zones, SteadyTime now) -> void;

    /// When the newest digest of a zone was created, or the zone was first recorded; empty for an unknown zone.
    [[nodiscard]] auto lastContact(const AvailabilityZoneId &zone) const -> std::optional<SteadyTime>;

    /// The newest digest of a zone, of any age.
    [[nodiscard]] auto find(const AvailabilityZoneId &zone) const -> const KnownDigest *;

    [[nodiscard]] auto all() const -> const std::map<AvailabilityZoneId, KnownDigest> &;

    /// The newest known capacity of a zone.
    [[nodiscard]] auto capacity(const AvailabilityZoneId &zone) const -> const AdvertisedCapacity *;

    [[nodiscard]] auto capacities() const -> const std::map<AvailabilityZoneId, AdvertisedCapacity> &;

    /// When a version, or a newer one, was first known to be in force on all live instances of a zone.
    [[nodiscard]] auto inForceSince(const AvailabilityZoneId &zone, Offset version) const -> std::optional<SteadyTime>;

    /// Digests to forward now, with updated ages; those older than maxAge are omitted.
    [[nodiscard]] auto exported(SteadyTime now, std::chrono::milliseconds maxAge) const -> std::vector<ZoneDigest>;

private:
    std::map<AvailabilityZoneId, KnownDigest> digests_;
    std::map<AvailabilityZoneId, AdvertisedCapacity> capacities_;
    std::map<AvailabilityZoneId, SteadyTime> firstSeen_;
    std::map<AvailabilityZoneId, std::vector<InForceRecord>> inForce_;
};

/// Hash of the fields of a digest that a refresh omits.
[[nodiscard]] auto contentHash(const ZoneDigest &digest) -> std::uint32_t;

/// Refresh that replaces a digest for a receiver that knows the other fields.
[[nodiscard]] auto refreshOf(const ZoneDigest &digest) -> DigestRefresh;

/// Lowest version in force among the live instances of a digest; 0 when one has not reported.
[[nodiscard]] auto lowestVersion(const ZoneDigest &digest) -> Offset;

/// Number of live instances in a digest that have not confirmed a version or a newer one.
[[nodiscard]] auto unconfirmedInstances(const ZoneDigest &digest, Offset version) -> unsigned;
} // namespace Marjoramfold
