#include "marjoramfold/scheduling/ownership.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace Marjoramfold
{
Ownership::Ownership(AvailabilityZoneId zone, OwnershipCandidate self, std::string idPrefix, OwnershipOptions options)
    : zone_(std::move(zone))
    , self_(std::move(self))
    , idPrefix_(std::move(idPrefix))
    , options_(options)
{
}

auto Ownership::startReading(Offset first) -> void
{
    table_.startReading(first);
    ownerSeenAt_.reset();
    // The claim may be below the first retained record; it then counts as one of an earlier incarnation.
    pendingClaim_.reset();
    pendingRenewals_.clear();
}

auto Ownership::apply(Offset offset, const Record &record, SteadyTime now) -> void
{
    if (const auto *claimed = std::get_if<ClaimRecord>(&record); claimed != nullptr && claimed->zone_ == zone_) {
        applyClaim(offset, *claimed, now);
    } else if (const auto *renewal = std::get_if<RenewalRecord>(&record); renewal != nullptr && renewal->zone_ == zone_) {
        applyRenewal(*renewal, now);
    } else if (const auto *released = std::get_if<ReleaseRecord>(&record); released != nullptr && released->zone_ == zone_) {
        table_.apply(*released);
    }
}

auto Ownership::applyClaim(Offset offset, const ClaimRecord &record, SteadyTime now) -> void
{
    const auto isOwn = pendingClaim_ && pendingClaim_->id_ == record.id_;
    if (table_.apply(offset, record)) {
        ownerSeenAt_ = now;
        if (isOwn) {
            ownEpoch_ = offset;
            leaseUntil_ = pendingClaim_->sentAt_ + options_.lease_;
            nextRenewalAt_ = pendingClaim_->sentAt_ + options_.renewInterval_;
            pendingRenewals_.clear();
            rejectedAt_.reset();
            deputyMissingSince_.reset();
        }
    }
    if (isOwn) {
        pendingClaim_.reset();
    }
}

auto Ownership::applyRenewal(const RenewalRecord &record, SteadyTime now) -> void
{
    table_.apply(record);
    if (record.epoch_ != table_.find(zone_).epoch_) {
        return;
    }
    ownerSeenAt_ = now;
    const auto own = std::find_if(pendingRenewals_.begin(), pendingRenewals_.end(), [&](const PendingRecord &pending) {
        return pending.id_ == record.id_;
    });
    if (own != pendingRenewals_.end()) {
        leaseUntil_ = std::max(leaseUntil_, own->sentAt_ + options_.lease_);
        pendingRenewals_.erase(pendingRenewals_.begin(), own + 1);
    }
}

auto Ownership::onLogStatus(std::optional<SteadyTime> confirmedAt, std::optional<SteadyTime> unreachableSince) -> void
{
    confirmedAt_ = confirmedAt;
    unreachableSince_ = unreachableSince;
}

auto Ownership::onInstancesChanged(std::vector<OwnershipCandidate> candidates, const std::set<InstanceId> &confirmedDead, SteadyTime now) -> void
{
    candidates_ = std::move(candidates);
    std::erase_if(deadSince_, [&](const auto &entry) {
        return !confirmedDead.contains(entry.first);
    });
    for (const auto &id : confirmedDead) {
        deadSince_.try_emplace(id, now);
    }
}

auto Ownership::onStaleEpochRejected(SteadyTime now) -> void
{
    if (activeEpoch_ && activeEpoch_->rank_ > 0) {
        rejectedDeputyEpoch_ = activeEpoch_->claim_;
    } else if (activeEpoch_) {
        rejectedAt_ = now;
    }
}

auto Ownership::onAppendFailed(const RecordId &id) -> void
{
    if (pendingClaim_ && pendingClaim_->id_ == id) {
        pendingClaim_.reset();
    }
}

auto Ownership::release() -> void
{
    isDraining_ = true;
}

auto Ownership::step(SteadyTime now) -> std::vector<OwnershipCommand>
{
    Commands commands;
    accountForPauseAndOutage(now);
    if (isOwner()) {
        stepOwner(now, commands);
    } else {
        stepCandidate(now, commands);
    }
    lastStep_ = now;
    return commands;
}

auto Ownership::inForce() const -> ZoneEpoch
{
    return table_.find(zone_);
}

auto Ownership::activeEpoch() const -> std::optional<Epoch>
{
    return activeEpoch_;
}

auto Ownership::zone() const -> const AvailabilityZoneId &
{
    return zone_;
}

/// Extends the lease while the log is unreachable, and detects pauses of the process.
auto Ownership::accountForPauseAndOutage(SteadyTime now) -> void
{
    const auto gap = lastStep_ ? now - *lastStep_ : SteadyTime::duration::zero();
    if (gap > options_.pauseThreshold_) {
        pauseEnd_ = now;
    }
    if (!unreachableSince_) {
        return;
    }
    // No instance can claim or renew during an outage, so the lease restarts for the owner and its readers when the log returns.
    if (ownerSeenAt_) {
        ownerSeenAt_ = now;
    }
    if (gap < options_.lease_ && lastStep_ && *lastStep_ <= leaseUntil_) {
        leaseUntil_ = std::max(leaseUntil_, now + options_.lease_);
    }
}

auto Ownership::stepOwner(SteadyTime now, Commands &commands) -> void
{
    vacantSince_.reset();
    if (isDraining_) {
        setActiveEpoch(std::nullopt, commands);
        if (!isReleaseSent_) {
            isReleaseSent_ = true;
            commands.emplace_back(AppendOwnershipRecord{ReleaseRecord{newId("release"), zone_, self_.id_, ownEpoch_}});
        }
        return;
    }
    if (rejectedAt_) {
        setActiveEpoch(std::nullopt, commands);
        // A worker has seen a higher epoch, such as a deputy's, although this instance owns the zone. Only a new claim gives a higher one.
        if (isFresh(now) && *confirmedAt_ > *rejectedAt_) {
            claim(now, commands);
        }
        return;
    }
    setActiveEpoch(mayActAsOwner(now) ? std::optional(Epoch{ownEpoch_, 0}) : std::nullopt, commands);
    renew(now, commands);
    refreshDeputies(now, commands);
}

auto Ownership::stepCandidate(SteadyTime now, Commands &commands) -> void
{
    if (isDraining_) {
        setActiveEpoch(std::nullopt, commands);
        return;
    }
    const auto isActiveDeputy = activeEpoch_ && activeEpoch_->rank_ > 0 && activeEpoch_->claim_ == inForce().epoch_ && rejectedDeputyEpoch_ != inForce().epoch_;
    if (mayActAsDeputy(now)) {
        setActiveEpoch(Epoch{inForce().epoch_, *deputyRank()}, commands);
    } else if (!isActiveDeputy) {
        setActiveEpoch(std::nullopt, commands);
    }
    // An active deputy continues until another claim is in force, so that the availability zone always has a scheduler.
    if (!isFresh(now) || (!isActiveDeputy && !isVacant(now))) {
        vacantSince_.reset();
        return;
    }
    vacantSince_ = vacantSince_.value_or(now);
    if (isActiveDeputy || now - *vacantSince_ >= claimDelay()) {
        claim(now, commands);
    }
}

auto Ownership::renew(SteadyTime now, Commands &commands) -> void
{
    // Renewals are not queued during an outage; the next one is due when the log returns.
    if (now < nextRenewalAt_ || unreachableSince_) {
        return;
    }
    constexpr std::size_t MaxPendingRenewals = 8;
    if (pendingRenewals_.size() == MaxPendingRenewals) {
        pendingRenewals_.erase(pendingRenewals_.begin());
    }
    pendingRenewals_.push_back({newId("renewal"), now});
    commands.emplace_back(AppendOwnershipRecord{RenewalRecord{pendingRenewals_.back().id_, zone_, self_.id_, ownEpoch_, inForce().deputies_}});
    nextRenewalAt_ = now + options_.renewInterval_;
}

/// Claims again with other deputies when one has been missing for long and a replacement is available.
auto Ownership::refreshDeputies(SteadyTime now, Commands &commands) -> void
{
    const auto deputies = inForce().deputies_;
    const auto isPresent = [&](const InstanceId &id) {
        return !isDead(id) && std::any_of(candidates_.begin(), candidates_.end(), [&](const OwnershipCandidate &candidate) {
            return candidate.id_ == id;
        });
    };
    const auto present = static_cast<std::size_t>(std::count_if(deputies.begin(), deputies.end(), isPresent));
    if (present >= chooseDeputies().size()) {
        deputyMissingSince_.reset();
        return;
    }
    deputyMissingSince_ = deputyMissingSince_.value_or(now);
    if (now - *deputyMissingSince_ >= options_.deputyReplacementDelay_ && isFresh(now)) {
        claim(now, commands);
    }
}

auto Ownership::claim(SteadyTime now, Commands &commands) -> void
{
    if (pendingClaim_) {
        return;
    }
    pendingClaim_ = PendingRecord{newId("claim"), now};
    commands.emplace_back(AppendOwnershipRecord{ClaimRecord{pendingClaim_->id_, zone_, self_.id_, inForce().epoch_, chooseDeputies()}});
}

auto Ownership::setActiveEpoch(std::optional<Epoch> wanted, Commands &commands) -> void
{
    if (wanted == activeEpoch_) {
        return;
    }
    if (wanted) {
        commands.emplace_back(ActivateEpoch{*wanted});
    } else {
        commands.emplace_back(DeactivateEpoch{});
    }
    activeEpoch_ = wanted;
}

auto Ownership::isOwner() const -> bool
{
    const auto current = inForce();
    return ownEpoch_ != 0 && current.epoch_ == ownEpoch_ && !current.isReleased_;
}

auto Ownership::isFresh(SteadyTime now) const -> bool
{
    return !unreachableSince_ && confirmedAt_ && now - *confirmedAt_ <= options_.maxReadAge_;
}

/// True during the lease, or when the log was read to its end after the lease expired and after the last pause.
auto Ownership::mayActAsOwner(SteadyTime now) const -> bool
{
    if (now <= leaseUntil_) {
        return true;
    }
    return isFresh(now) && (!pauseEnd_ || *confirmedAt_ >= *pauseEnd_);
}

auto Ownership::isDead(const InstanceId &id) const -> bool
{
    return deadSince_.contains(id);
}

/// Whether the availability zone has no owner that is expected to continue.
auto Ownership::isVacant(SteadyTime now) const -> bool
{
    const auto current = inForce();
    if (current.epoch_ == 0 || current.isReleased_ || current.owner_ == self_.id_) {
        return true;
    }
    // An owner that still writes to the log is only partitioned from this instance. Without this check, two partitioned instances
    // would keep claiming the zone from each other.
    const auto dead = deadSince_.find(current.owner_);
    if (dead != deadSince_.end() && (!ownerSeenAt_ || *ownerSeenAt_ < dead->second)) {
        return true;
    }
    return ownerSeenAt_ && now - *ownerSeenAt_ > options_.lease_;
}

auto Ownership::deputyRank() const -> std::optional<std::uint32_t>
{
    const auto deputies = inForce().deputies_;
    const auto found = std::find(deputies.begin(), deputies.end(), self_.id_);
    if (found == deputies.end()) {
        return std::nullopt;
    }
    return static_cast<std::uint32_t>(found - deputies.begin()) + 1;
}

/// True during a log outage, if the owner and all deputies ranked before this one are confirmed dead.
auto Ownership::mayActAsDeputy(SteadyTime now) const -> bool
{
    const auto current = inForce();
    const auto rank = deputyRank();
    if (!rank || current.isReleased_ || current.epoch_ == rejectedDeputyEpoch_ || !unreachableSince_ || now - *unreachableSince_ < options_.minOutage_) {
        return false;
    }
    return isDead(current.owner_) && std::all_of(current.deputies_.begin(), current.deputies_.begin() + (*rank - 1), [&](const InstanceId &id) {
               return isDead(id);
           });
}

/// Live candidates in claim order: those of this availability zone first, then by id.
auto Ownership::rankedCandidates() const -> std::vector<OwnershipCandidate>
{
    std::vector<OwnershipCandidate> order;
    std::copy_if(candidates_.begin(), candidates_.end(), std::back_inserter(order), [&](const OwnershipCandidate &candidate) {
        return !isDead(candidate.id_);
    });
    std::sort(order.begin(), order.end(), [&](const OwnershipCandidate &left, const OwnershipCandidate &right) {
        const auto leftElsewhere = left.zone_ != zone_;
        const auto rightElsewhere = right.zone_ != zone_;
        return std::tie(leftElsewhere, left.id_) < std::tie(rightElsewhere, right.id_);
    });
    return order;
}

auto Ownership::claimDelay() const -> std::chrono::milliseconds
{
    std::chrono::milliseconds delay{0};
    const auto expiredOwner = inForce().owner_;
    for (const auto &candidate : rankedCandidates()) {
        if (candidate.id_ == self_.id_) {
            break;
        }
        // An owner with an expired lease does not claim, so it adds no delay.
        delay += candidate.id_ == expiredOwner ? std::chrono::milliseconds(0) : options_.rankDelay_;
    }
    return delay;
}

auto Ownership::chooseDeputies() const -> std::vector<InstanceId>
{
    std::vector<InstanceId> deputies;
    for (const auto &candidate : rankedCandidates()) {
        if (candidate.id_ != self_.id_ && deputies.size() < options_.maxDeputies_) {
            deputies.push_back(candidate.id_);
        }
    }
    return deputies;
}

auto Ownership::newId(std::string_view kind) -> RecordId
{
    return RecordId(idPrefix_ + ":" + zone_.value() + ":" + std::string(kind) + ":" + std::to_string(++idCounter_));
}
} // namespace Marjoramfold
