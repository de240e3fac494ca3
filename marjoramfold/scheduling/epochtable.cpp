#include "marjoramfold/scheduling/epochtable.h"

#include <algorithm>
#include <utility>

namespace Marjoramfold
{
auto EpochTable::startReading(Offset first) -> void
{
    hasLogStart_ = first <= 1;
    zones_.clear();
}

auto EpochTable::apply(Offset offset, const ClaimRecord &record) -> bool
{
    auto &zone = findOrAddZone(record.zone_);
    zone.claims_.push_back({offset, record});
    return applyClaim(zone, zone.claims_.back());
}

auto EpochTable::apply(const RenewalRecord &record) -> bool
{
    auto changed = confirmEpoch(record.zone_, record.epoch_);
    auto &inForce = findOrAddZone(record.zone_).inForce_;
    // Restores the owner when the claim itself was truncated from the log.
    if (inForce.epoch_ == record.epoch_ && inForce.owner_.isEmpty() && !inForce.isReleased_) {
        inForce.owner_ = record.instance_;
        inForce.deputies_ = record.deputies_;
        changed = true;
    }
    return changed;
}

auto EpochTable::apply(const ReleaseRecord &record) -> bool
{
    auto changed = confirmEpoch(record.zone_, record.epoch_);
    auto &inForce = findOrAddZone(record.zone_).inForce_;
    if (inForce.epoch_ == record.epoch_ && !inForce.isReleased_) {
        inForce.owner_ = InstanceId();
        inForce.isReleased_ = true;
        changed = true;
    }
    return changed;
}

auto EpochTable::confirmEpoch(const AvailabilityZoneId &zone, Offset epoch) -> bool
{
    return epoch != 0 && confirm(findOrAddZone(zone), epoch);
}

auto EpochTable::setInitialEpoch(const AvailabilityZoneId &zone, Offset epoch) -> void
{
    zones_[zone] = {{epoch, InstanceId(), {}, false}, true, epoch, {}};
}

auto EpochTable::find(const AvailabilityZoneId &zone) const -> ZoneEpoch
{
    const auto found = zones_.find(zone);
    return found == zones_.end() ? ZoneEpoch() : found->second.inForce_;
}

auto EpochTable::findOrAddZone(const AvailabilityZoneId &zone) -> Zone &
{
    const auto [found, isNew] = zones_.try_emplace(zone);
    if (isNew) {
        found->second.isConfirmed_ = hasLogStart_;
    }
    return found->second;
}

/// Puts a claim in force if it supersedes the current epoch.
auto EpochTable::applyClaim(Zone &zone, const ReadClaim &claim) -> bool
{
    const auto isProvisional = !zone.isConfirmed_ && zone.inForce_.epoch_ == 0;
    if (claim.record_.supersedes_ != zone.inForce_.epoch_ && !isProvisional) {
        return false;
    }
    zone.inForce_ = {claim.offset_, claim.record_.instance_, claim.record_.deputies_, false};
    return true;
}

/// Confirms an epoch and applies the claims after it again.
auto EpochTable::confirm(Zone &zone, Offset epoch) -> bool
{
    if (zone.isConfirmed_ && epoch <= zone.confirmed_) {
        return false;
    }
    zone.isConfirmed_ = true;
    zone.confirmed_ = epoch;
    const auto before = std::exchange(zone.inForce_, {epoch, InstanceId(), {}, false});
    const auto claims = std::exchange(zone.claims_, {});
    for (const auto &claim : claims) {
        if (claim.offset_ == epoch) {
            zone.inForce_ = {epoch, claim.record_.instance_, claim.record_.deputies_, false};
        } else if (claim.offset_ > epoch) {
            zone.claims_.push_back(claim);
            applyClaim(zone, claim);
        }
    }
    // Keeps the owner read from a renewal or release when the claim itself was not read.
    if (before.epoch_ == zone.inForce_.epoch_) {
        zone.inForce_ = before;
        return false;
    }
    return true;
}
} // namespace Marjoramfold
