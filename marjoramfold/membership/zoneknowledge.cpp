#include "marjoramfold/membership/zoneknowledge.h"

#include <algorithm>
#include <tuple>

namespace Marjoramfold
{
namespace
{
/// Versions that are remembered with the time when they came into force; enough for every publish of the last minutes.
constexpr std::size_t MaxInForceRecords = 32;

/// Most availability zones that are remembered.
constexpr std::size_t MaxKnownZones = 256;

auto isRepeat(const ZoneDigest &known, const ZoneDigest &offered) -> bool
{
    return known.delegate_ == offered.delegate_ && known.delegateIncarnation_ == offered.delegateIncarnation_ && offered.counter_ <= known.counter_;
}

auto precedence(const ZoneCapacity &capacity) -> std::tuple<Epoch, std::uint32_t>
{
    return {capacity.epoch_, capacity.counter_};
}
} // namespace

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

auto ZoneKnowledge::mergeDigest(const ZoneDigest &digest, SteadyTime madeAt, bool confirmationBounded, SteadyTime now) -> bool
{
    if (digest.zone_.isEmpty() || (!digests_.contains(digest.zone_) && digests_.size() >= MaxKnownZones)) {
        return false;
    }
    auto &known = digests_[digest.zone_];
    if (!known.digest_.zone_.isEmpty() && (isRepeat(known.digest_, digest) || madeAt <= known.madeAt_)) {
        return false;
    }
    known = {digest, madeAt, confirmationBounded};

    // Remember when the lowest version of the zone rose.
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

auto ZoneKnowledge::mergeCapacity(const ZoneCapacity &capacity) -> void
{
    if (capacity.zone_.isEmpty() || (!capacities_.contains(capacity.zone_) && capacities_.size() >= MaxKnownZones)) {
        return;
    }
    const auto [known, isNew] = capacities_.try_emplace(capacity.zone_, capacity);
    if (!isNew && precedence(known->second) < precedence(capacity)) {
        known->second = capacity;
    }
}

auto ZoneKnowledge::find(const AvailabilityZoneId &zone) const -> const KnownDigest *
{
    const auto found = digests_.find(zone);
    return found == digests_.end() ? nullptr : &found->second;
}

auto ZoneKnowledge::all() const -> const std::map<AvailabilityZoneId, KnownDigest> &
{
    return digests_;
}

auto ZoneKnowledge::capacity(const AvailabilityZoneId &zone) const -> const ZoneCapacity *
{
    const auto found = capacities_.find(zone);
    return found == capacities_.end() ? nullptr : &found->second;
}

auto ZoneKnowledge::capacities() const -> const std::map<AvailabilityZoneId, ZoneCapacity> &
{
    return capacities_;
}

auto ZoneKnowledge::inForceSince(const AvailabilityZoneId &zone, Offset version) const -> std::optional<SteadyTime>
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

auto ZoneKnowledge::exported(SteadyTime now, std::chrono::milliseconds maxAge) const -> std::vector<ZoneDigest>
{
    std::vector<ZoneDigest> digests;
    for (const auto &[zone, known] : digests_) {
        const auto age = std::chrono::ceil<std::chrono::milliseconds>(now - known.madeAt_);
        if (age > maxAge || digests.size() >= MaxZonesInMessage) {
            continue;
        }
        auto digest = known.digest_;
        digest.age_ = std::max(age, std::chrono::milliseconds(0));
        // A confirmation whose age is not bounded must not gain trust by being passed on.
        if (!known.confirmationBounded_) {
            digest.confirmationAge_.reset();
        }
        digests.push_back(std::move(digest));
    }
    return digests;
}
} // namespace Marjoramfold
