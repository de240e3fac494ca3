#pragma once

#include "marjoramfold/core/clock.h"
#include "marjoramfold/membership/peermessages.h"

#include <map>
#include <optional>
#include <vector>

namespace Marjoramfold
{
/// The newest digest of an availability zone, on this instance's clock.
struct KnownDigest {
    /// The digest with its age as stated on arrival.
    ZoneDigest digest_;
    /// When the delegate made the digest at the latest possible age, by this instance's clock.
    SteadyTime madeAt_;
    /// True when the age of the confirmation cannot understate the truth because of a slow network.
    bool confirmationBounded_ = true;
};

/// When a rule version came into force on all live instances of a zone, as far as this instance saw it.
struct InForceRecord {
    Offset version_ = 0;
    SteadyTime seenAt_;
};

/// Digests and capacities of all availability zones. Pure.
class ZoneTable
{
public:
    /// Takes a digest that was made at a time by this instance's clock, unless a newer one is known. True when it was taken.
    auto mergeDigest(const ZoneDigest &digest, SteadyTime madeAt, bool confirmationBounded, SteadyTime now) -> bool;

    /// The whole digest that a refresh stands for; empty when the earlier digest is not known.
    [[nodiscard]] auto complete(const DigestRefresh &refresh) const -> std::optional<ZoneDigest>;

    /// Takes the newer statement about the capacity of a zone. True when it was newer than the known one.
    auto mergeCapacity(const AdvertisedCapacity &capacity) -> bool;

    /// Notes which zones have members, so that the silence of a zone without any digest is timed too.
    auto noteZones(const std::vector<AvailabilityZoneId> &zones, SteadyTime now) -> void;

    /// When the newest digest of a zone was made, or the zone was first noted; empty for an unknown zone.
    [[nodiscard]] auto lastHeard(const AvailabilityZoneId &zone) const -> std::optional<SteadyTime>;

    /// The newest digest of a zone, of any age.
    [[nodiscard]] auto find(const AvailabilityZoneId &zone) const -> const KnownDigest *;

    [[nodiscard]] auto all() const -> const std::map<AvailabilityZoneId, KnownDigest> &;

    /// The newest statement about the capacity of a zone.
    [[nodiscard]] auto capacity(const AvailabilityZoneId &zone) const -> const AdvertisedCapacity *;

    [[nodiscard]] auto capacities() const -> const std::map<AvailabilityZoneId, AdvertisedCapacity> &;

    /// When a version, or a newer one, was first seen in force on all live instances of a zone.
    [[nodiscard]] auto inForceSince(const AvailabilityZoneId &zone, Offset version) const -> std::optional<SteadyTime>;

    /// Digests as they are passed on now, with their ages brought up to date; those over an age are left out.
    [[nodiscard]] auto exported(SteadyTime now, std::chrono::milliseconds maxAge) const -> std::vector<ZoneDigest>;

private:
    std::map<AvailabilityZoneId, KnownDigest> digests_;
    std::map<AvailabilityZoneId, AdvertisedCapacity> capacities_;
    std::map<AvailabilityZoneId, SteadyTime> noted_;
    std::map<AvailabilityZoneId, std::vector<InForceRecord>> inForce_;
};

/// Hash of what a refresh leaves out of a digest.
[[nodiscard]] auto contentHash(const ZoneDigest &digest) -> std::uint32_t;

/// What stands for a digest when the receiver knows the rest.
[[nodiscard]] auto refreshOf(const ZoneDigest &digest) -> DigestRefresh;

/// Lowest version in force among the live instances of a digest; 0 when one has not reported.
[[nodiscard]] auto lowestVersion(const ZoneDigest &digest) -> Offset;

/// Number of live instances of a digest that have not confirmed a version.
[[nodiscard]] auto unconfirmedInstances(const ZoneDigest &digest, Offset version) -> unsigned;
} // namespace Marjoramfold
