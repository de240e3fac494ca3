#include "marjoramfold/membership/zonetable.h"

#include <algorithm>
#include <tuple>

namespace Marjoramfold
{
namespace
{
/// Versions kept per zone with the time when they came into force; enough for every publish of the last minutes.
constexpr std::size_t MaxInForceRecords = 32;

/// Most availability zones in the table.
constexpr std::size_t MaxKnownZones = 256;

/// True for a digest of the same delegate that is not newer. Another incarnation starts its counter at another value.
auto isRepeat(const ZoneDigest &known, const ZoneDigest &offered) -> bool
{
    constexpr std::uint32_t Window = 64;
    return known.counter_ - offered.counter_ < Window;
}

/// FNV-1a hash; std::hash may differ between builds.
auto hashOf(std::string_view text) -> std::uint32_t
{
    constexpr std::uint32_t OffsetBasis = 2'166'136'261U;
    constexpr std::uint32_t Prime = 16'777'619U;
    auto hash = OffsetBasis;
    for (const auto c : text) {
        hash = (hash ^ static_cast<unsigned char>(c)) * Prime;
    }
    return hash;
}

auto precedence(const AdvertisedCapacity &capacity) -> std::tuple<Epoch, std::uint32_t>
{
    return {capacity.epoch_, capacity.counter_};
}
} // namespace

auto contentHash(const ZoneDigest &digest) -> std::uint32_t
{
    auto text = digest.zone_.value();
    const auto add = [&text](std::uint64_t value) {
        text += '/' + std::to_string(value);
    };
    add(digest.confirmedVersion_);
    add(static_cast<std::uint64_t>(digest.logState_));
    add(digest.delegateHasNewest_ ? 1 : 0);
    add(digest.liveInstances_);
    add(digest.drainingInstances_);
    add(digest.membersFingerprint_);
    for (const auto &count : digest.versions_) {
        add(count.version_);
        add(count.instances_);
    }
    return hashOf(text);
}

auto refreshOf(const ZoneDigest &digest) -> DigestRefresh
{
    return {hashOf(digest.zone_.value()), digest.counter_, contentHash(digest), digest.age_, digest.confirmationAge_};
}

auto ZoneTable::complete(const DigestRefresh &refresh) const -> std::optional<ZoneDigest>
{
    for (const auto &[zone, known] : digests_) {
        if (hashOf(zone.value()) == refresh.zoneKey_ && contentHash(known.digest_) == refresh.contentHash_) {
            auto digest = known.digest_;
            digest.counter_ = refresh.counter_;
            digest.age_ = refresh.age_;
            digest.confirmationAge_ = refresh.confirmationAge_;
            return digest;
        }
    }
    return std::nullopt;
}

auto lowestVersion(const ZoneDigest &digest) -> Offset
{
    return digest.versions_.empty() ? 0 : digest.versions_.back().version_;
}

auto unconfirmedInstances(const ZoneDigest &digest, Offset version) -> unsigned
{
    unsigned count = 0;
    for (const auto &entry : digest.versions_) {
        count += entry.version_ < version ? entry.instances_ : 0U;
    }
    return count;
}

auto ZoneTable::mergeDigest(const ZoneDigest &digest, SteadyTime madeAt, bool confirmationBounded, SteadyTime now) -> bool
{
    if (digest.zone_.isEmpty() || (!digests_.contains(digest.zone_) && digests_.size() >= MaxKnownZones)) {
        return false;
    }
    auto &known = digests_[digest.zone_];
    if (!known.digest_.zone_.isEmpty() && (isRepeat(known.digest_, digest) || madeAt <= known.madeAt_)) {
        return false;
    }
    known = {digest, madeAt, confirmationBounded};

    // Record when the lowest version of the zone increased.
    auto &records = inForce_[digest.zone_];
    const auto lowest = lowestVersion(digest);
    if (lowest > 0 && (records.empty() || records.back().version_ < lowest)) {
        records.push_back({lowest, now});
        if (records.size() > MaxInForceRecords) {
            records.erase(records.begin());
        }
    }
    return true;
}

auto ZoneTable::mergeCapacity(const AdvertisedCapacity &capacity) -> bool
{
    if (capacity.zone_.isEmpty() || (!capacities_.contains(capacity.zone_) && capacities_.size() >= MaxKnownZones)) {
        return false;
    }
    const auto [known, isNew] = capacities_.try_emplace(capacity.zone_, capacity);
    if (!isNew && precedence(known->second) < precedence(capacity)) {
        known->second = capacity;
        return true;
    }
    return isNew;
}

auto ZoneTable::recordZones(const std::vector<AvailabilityZoneId> &zones, SteadyTime now) -> void
{
    std::erase_if(firstSeen_, [&zones](const auto &item) {
        return std::find(zones.begin(), zones.end(), item.first) == zones.end();
    });
    for (const auto &zone : zones) {
        firstSeen_.try_emplace(zone, now);
    }
}

auto ZoneTable::lastContact(const AvailabilityZoneId &zone) const -> std::optional<SteadyTime>
{
    std::optional<SteadyTime> contactAt;
    if (const auto firstSeen = firstSeen_.find(zone); firstSeen != firstSeen_.end()) {
        contactAt = firstSeen->second;
    }
    if (const auto *known = find(zone); known != nullptr && (!contactAt || *contactAt < known->madeAt_)) {
        contactAt = known->madeAt_;
    }
    return contactAt;
}

auto ZoneTable::find(const AvailabilityZoneId &zone) const -> const KnownDigest *
{
    const auto found = digests_.find(zone);
    return found == digests_.end() ? nullptr : &found->second;
}

auto ZoneTable::all() const -> const std::map<AvailabilityZoneId, KnownDigest> &
{
    return digests_;
}

auto ZoneTable::capacity(const AvailabilityZoneId &zone) const -> const AdvertisedCapacity *
{
    const auto found = capacities_.find(zone);
    return found == capacities_.end() ? nullptr : &found->second;
}

auto ZoneTable::capacities() const -> const std::map<AvailabilityZoneId, AdvertisedCapacity> &
{
    return capacities_;
}

auto ZoneTable::inForceSince(const AvailabilityZoneId &zone, Offset version) const -> std::optional<SteadyTime>
{
    const auto found = inForce_.find(zone);
    if (found == inForce_.end()) {
        return std::nullopt;
    }
    const auto record = std::find_if(found->second.begin(), found->second.end(), [version](const InForceRecord &candidate) {
        return candidate.version_ >= version;
    });
    return record == found->second.end() ? std::nullopt : std::optional<SteadyTime>(record->seenAt_);
}

auto ZoneTable::exported(SteadyTime now, std::chrono::milliseconds maxAge) const -> std::vector<ZoneDigest>
{
    std::vector<ZoneDigest> digests;
    for (const auto &[zone, known] : digests_) {
        const auto age = std::chrono::ceil<std::chrono::milliseconds>(now - known.madeAt_);
        if (age > maxAge || digests.size() >= MaxZonesInMessage) {
            continue;
        }
        auto digest = known.digest_;
        digest.age_ = std::max(age, std::chrono::milliseconds(0));
        // Receivers of gossip treat every age as bounded, so an unbounded confirmation must not be forwarded.
        if (!known.confirmationBounded_) {
            digest.confirmationAge_.reset();
        }
        digests.push_back(std::move(digest));
    }
    return digests;
}
} // namespace Marjoramfold
