#include "marjoramfold/dispatch/workerselector.h"

#include "marjoramfold/dispatch/taskspread.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace Marjoramfold
{
namespace
{
/// A worker with progress within this time counts as healthy; faults that health checks do not detect last about 5 s.
constexpr std::chrono::milliseconds MaxHealthyAge{4000};
} // namespace

WorkerSelector::WorkerSelector(const WorkerSessionMap &sessions,
                               const std::unordered_set<std::string> &evacuatedZones,
                               GuaranteeOf guaranteeOf,
                               std::chrono::milliseconds lastResortDelay,
                               BootTime now,
                               const WorkerSpeeds *speeds)
    : sessions_(sessions)
    , guaranteeOf_(std::move(guaranteeOf))
    , now_(now)
    , knowsSpeeds_(speeds != nullptr)
{
    candidates_.reserve(sessions.size());
    for (const auto &[id, session] : sessions) {
        const auto usable = session->isCurrent() && !session->entry_.draining_ && session->unreachableSince_ == BootTime{}
            && !evacuatedZones.contains(session->entry_.zone_.value());
        if (usable) {
            const auto quarantined = session->quarantinedUntil_ > now;
            candidates_.push_back({session.get(), session->freeCapacity(), false, quarantined, quarantined && now - session->quarantinedAt_ < lastResortDelay});
            quarantined_ += quarantined ? 1 : 0;
            if (knowsSpeeds_) {
                candidates_.back().relativeDuration_ = speeds->relativeDuration(id);
                candidates_.back().speed_ = speedClassOf(candidates_.back().relativeDuration_);
            }
            if (!quarantined) {
                idle_.addWorker(session->entry_.pool_, session->entry_.rack_.value(), isIdle(candidates_.back()));
            }
        }
    }
}

auto WorkerSelector::packRacks() -> void
{
    packsRacks_ = true;
}

auto WorkerSelector::idleInRackOf(const Candidate &candidate) const -> std::size_t
{
    return idle_.idleInRack(candidate.session_->entry_.rack_.value());
}

auto WorkerSelector::takenAt() const -> BootTime
{
    return now_;
}

auto WorkerSelector::candidateOf(const WorkerSession &session) -> Candidate *
{
    const auto found = std::lower_bound(candidates_.begin(), candidates_.end(), session.entry_.id_, [](const Candidate &candidate, const WorkerId &id) {
        return candidate.session_->entry_.id_ < id;
    });
    return found != candidates_.end() && found->session_ == &session ? &*found : nullptr;
}

auto WorkerSelector::matches(const Candidate &candidate, const PlacementRequest &request) -> bool
{
    const auto &entry = candidate.session_->entry_;
    const auto &label = request.step_->requiredLabel_;
    return entry.pool_ == request.pool_ && (label.empty() || std::find(entry.labels_.begin(), entry.labels_.end(), label) != entry.labels_.end());
}

auto WorkerSelector::eligible(const Candidate &candidate, const PlacementRequest &request) -> bool
{
    const auto exclusion = candidate.barred_ ? Preference::RecentFailure : Preference::Quarantine;
    const auto allowed = !candidate.quarantined_ || request.waived_.contains(exclusion);
    const auto avoided = !request.waived_.contains(Preference::Avoidance) && request.avoidedWorkers_.contains(candidate.session_->entry_.id_);
    return allowed && !avoided && matches(candidate, request);
}

auto WorkerSelector::couldHoldUnquarantined(const PlacementRequest &request) -> bool
{
    if (quarantined_ == 0 || failed_.containsFit(request, false)) {
        return true;
    }
    if (failed_.contains(request, false, FailedRequests::Search::Capacity)) {
        return false;
    }
    const auto required = request.step_->gang_ ? request.count_ : 1;
    std::uint32_t fits = 0;
    for (const auto &candidate : candidates_) {
        if (!candidate.quarantined_ && eligible(candidate, request)) {
            const auto &entry = candidate.session_->entry_;
            fits += fittingTasks(entry.capacity_, request.step_->task_, request.taskLimitAt(entry.id_, required));
        }
        if (fits >= required) {
            failed_.addFit(request, false);
            return true;
        }
    }
    failed_.add(request, false, FailedRequests::Search::Capacity);
    return false;
}

auto WorkerSelector::groupsFor(const PlacementRequest &request, bool local, const CapacityFilter &accepts) -> std::vector<Group>
{
    const auto &step = *request.step_;
    const auto byRack = local && step.gang_ && step.prefersOneRack_ && request.count_ > 1;
    std::map<std::string_view, Group> groups;
    for (auto &candidate : candidates_) {
        // The capacity is compared first: on a full fleet it rules out almost all workers.
        if (!accepts(candidate) || !eligible(candidate, request)) {
            continue;
        }
        const auto &rack = candidate.session_->entry_.rack_.value();
        if (local && !step.dataRack_.empty() && rack != step.dataRack_) {
            continue;
        }
        groups[byRack ? std::string_view(rack) : std::string_view()].push_back(&candidate);
    }
    std::vector<Group> result;
    for (auto &[rack, group] : groups) {
        result.push_back(std::move(group));
    }
    return result;
}

auto WorkerSelector::freeAcceleratorsOf(std::string_view rack) -> std::int64_t
{
    if (rackFree_.empty()) {
        for (const auto &candidate : candidates_) {
            if (candidate.quarantined_) {
                continue;
            }
            rackFree_[candidate.session_->entry_.rack_.value()] += candidate.free_.accelerators_;
        }
    }
    const auto found = rackFree_.find(rack);
    return found == rackFree_.end() ? 0 : found->second;
}

auto WorkerSelector::spreadOver(const Group &group, const PlacementRequest &request) -> std::vector<WorkerSession *>
{
    std::vector<SpreadWorker> spread;
    spread.reserve(group.size());
    for (const auto *candidate : group) {
        const auto &session = *candidate->session_;
        const auto limit = request.taskLimitAt(session.entry_.id_, request.count_);
        spread.push_back({candidate->free_.milliCores_, session.runs_.size(), candidate->relativeDuration_, limit, candidate->quarantined_});
    }
    std::vector<WorkerSession *> workers;
    for (const auto index : spreadTasks(spread, request.count_)) {
        workers.push_back(group[index]->session_);
    }
    return workers;
}

auto WorkerSelector::selectWorkers(const Group &group, const PlacementRequest &request) const -> std::vector<WorkerSession *>
{
    // Reservations and the idle reserve keep capacity, of which such tasks take none.
    if (request.step_->task_ == ResourceVector()) {
        return spreadOver(group, request);
    }
    // Best fit: workers with the fewest free accelerators come first, so that large tasks still find large free blocks.
    std::vector<RankedCandidate> ranked;
    const auto preferHealthy = needsHealthyWorkers(request);
    auto spareWorkers = idle_.spareWorkers(request.pool_);
    const auto keepsReservations = request.priority_ > 0 && !request.waived_.contains(Preference::Reservation);
    const auto keepsIdleReserve = request.priority_ > 0 && !request.waived_.contains(Preference::IdleReserve);
    auto candidates = group;
    if (packsRacks_ && keepsIdleReserve) {
        // Decides which idle workers remain for urgent gangs.
        std::stable_sort(candidates.begin(), candidates.end(), [this](const Candidate *left, const Candidate *right) {
            return idleInRackOf(*left) < idleInRackOf(*right);
        });
    }
    for (const auto *candidate : candidates) {
        if (candidate->reserved_ && keepsReservations) {
            continue;
        }
        if (keepsIdleReserve && isIdle(*candidate)) {
            if (spareWorkers == 0) {
                continue;
            }
            --spareWorkers;
        }
        const auto &id = candidate->session_->entry_.id_;
        const auto fits = fittingTasks(candidate->free_, request.step_->task_, request.taskLimitAt(id, request.count_));
        if (fits > 0) {
            const auto withoutProgress = preferHealthy && !wasRecentlyHealthy(*candidate->session_);
            ranked.push_back({fits, candidate, (candidate->quarantined_ ? 2U : 0U) + (withoutProgress ? 1U : 0U), 0});
        }
    }
    rankBySpeed(ranked, request);
    std::stable_sort(ranked.begin(), ranked.end(), [this](const RankedCandidate &left, const RankedCandidate &right) {
        if (left.healthRank_ != right.healthRank_) {
            return left.healthRank_ < right.healthRank_;
        }
        if (left.speedRank_ != right.speedRank_) {
            return left.speedRank_ < right.speedRank_;
        }
        const auto leftFree = left.candidate_->free_.accelerators_;
        const auto rightFree = right.candidate_->free_.accelerators_;
        if (leftFree != rightFree || !packsRacks_) {
            return leftFree < rightFree;
        }
        return idleInRackOf(*left.candidate_) < idleInRackOf(*right.candidate_);
    });
    std::vector<WorkerSession *> workers;
    for (const auto &worker : ranked) {
        for (std::uint32_t i = 0; i < worker.fits_ && workers.size() < request.count_; ++i) {
            workers.push_back(worker.candidate_->session_);
        }
    }
    return workers;
}

auto WorkerSelector::rankBySpeed(std::vector<RankedCandidate> &ranked, const PlacementRequest &request) const -> void
{
    if (!knowsSpeeds_) {
        return;
    }
    std::vector<SpeedChoice> choices;
    choices.reserve(ranked.size());
    for (const auto &worker : ranked) {
        const auto isTooSlow = worker.candidate_->relativeDuration_ > request.maxRelativeDuration_;
        choices.push_back({worker.candidate_->speed_, isTooSlow, worker.fits_, worker.healthRank_});
    }
    const auto ranks = Marjoramfold::rankBySpeed(request, choices);
    for (std::size_t i = 0; i < ranked.size(); ++i) {
        ranked[i].speedRank_ = ranks[i];
    }
}

auto WorkerSelector::slowestSpeed(const std::vector<WorkerSession *> &workers, const PlacementRequest &request) -> SpeedClass
{
    auto slowest = SpeedClass::VeryFast;
    if (knowsSpeeds_ && prefersFastWorkers(request)) {
        for (const auto *session : workers) {
            slowest = std::max(slowest, candidateOf(*session)->speed_);
        }
    }
    return slowest;
}

auto WorkerSelector::findPlacement(const PlacementRequest &request, bool local) -> std::optional<PlacementDecision>
{
    if (failed_.contains(request, local, FailedRequests::Search::FreeCapacity)) {
        return std::nullopt;
    }
    auto choice = searchFreeCapacity(request, local);
    if (!choice) {
        failed_.add(request, local, FailedRequests::Search::FreeCapacity);
    }
    return choice;
}

auto WorkerSelector::searchFreeCapacity(const PlacementRequest &request, bool local) -> std::optional<PlacementDecision>
{
    const auto hasRoom = [&request](const Candidate &candidate) {
        return candidate.free_.covers(request.step_->task_) && !request.refusingWorkers_.contains(candidate.session_->entry_.id_);
    };
    if (needsHealthyWorkers(request)) {
        const auto isHealthy = [&hasRoom](const Candidate &candidate) {
            return hasRoom(candidate) && candidate.session_->failedJobs_.empty();
        };
        if (auto choice = findPlacementIn(groupsFor(request, local, isHealthy), request, local); choice) {
            return choice;
        }
    }
    return findPlacementIn(groupsFor(request, local, hasRoom), request, local);
}

auto WorkerSelector::findPlacementIn(const std::vector<Group> &groups, const PlacementRequest &request, bool local) -> std::optional<PlacementDecision>
{
    std::optional<PlacementDecision> best;
    std::tuple<std::size_t, SpeedClass, std::int64_t> bestScore;
    for (const auto &group : groups) {
        auto workers = selectWorkers(group, request);
        if (workers.empty() || (request.step_->gang_ && workers.size() < request.count_)) {
            continue;
        }
        // Prefers the rack with the fewest free accelerators, to leave large free blocks.
        const auto free = groups.size() > 1 ? freeAcceleratorsOf(group.front()->session_->entry_.rack_.value()) : 0;
        const auto withoutRecentProgress = std::count_if(workers.begin(), workers.end(), [this, &request](const WorkerSession *worker) {
            return needsHealthyWorkers(request) && !wasRecentlyHealthy(*worker);
        });
        const std::tuple score(static_cast<std::size_t>(withoutRecentProgress), slowestSpeed(workers, request), free);
        if (!best || score < bestScore) {
            best = PlacementDecision{std::move(workers), !local, {}};
            bestScore = score;
        }
    }
    return best;
}

auto WorkerSelector::couldFitLocally(const PlacementRequest &request) -> bool
{
    if (failed_.containsFit(request, true)) {
        return true;
    }
    if (failed_.contains(request, true, FailedRequests::Search::Capacity)) {
        return false;
    }
    const auto fits = fitsCapacity(request);
    if (fits) {
        failed_.addFit(request, true);
    } else {
        failed_.add(request, true, FailedRequests::Search::Capacity);
    }
    return fits;
}

auto WorkerSelector::fitsCapacity(const PlacementRequest &request) -> bool
{
    const auto couldHold = [&request](const Candidate &candidate) {
        return candidate.session_->entry_.capacity_.covers(request.step_->task_);
    };
    for (const auto &group : groupsFor(request, true, couldHold)) {
        std::uint32_t fits = 0;
        for (const auto *candidate : group) {
            fits +=
                fittingTasks(candidate->session_->entry_.capacity_, request.step_->task_, request.taskLimitAt(candidate->session_->entry_.id_, request.count_));
        }
        if (fits >= (request.step_->gang_ ? request.count_ : 1)) {
            return true;
        }
    }
    return false;
}

auto WorkerSelector::blockingPreferences(PlacementRequest request) -> std::optional<PreferenceSet>
{
    const auto kept = request.waived_;
    PreferenceSet waived(AllPreferences);
    const auto fits = [this, &request, &waived] {
        request.waived_ = waived;
        return findPlacement(request, !waived.contains(Preference::Locality)).has_value();
    };
    if (!fits()) {
        return std::nullopt;
    }
    auto blocking = waived;
    for (const auto preference : AllPreferences) {
        if (kept.contains(preference)) {
            blocking.remove(preference);
            continue;
        }
        waived.remove(preference);
        blocking.remove(preference);
        if (!fits()) {
            waived.add(preference);
            blocking.add(preference);
        }
    }
    return blocking;
}

auto WorkerSelector::isHeldBack(const PlacementRequest &request) -> bool
{
    if (failed_.contains(request, false, FailedRequests::Search::TwiceFree) || (!request.step_->service_ && !isUnderHalfUsed(request.pool_))) {
        return false;
    }
    const auto required = 2 * (request.step_->gang_ ? request.count_ : 1);
    std::uint32_t fits = 0;
    for (const auto &candidate : candidates_) {
        if (candidate.free_.covers(request.step_->task_) && matches(candidate, request)) {
            fits += fittingTasks(candidate.free_, request.step_->task_, request.taskLimitAt(candidate.session_->entry_.id_, required));
        }
        if (fits >= required) {
            return true;
        }
    }
    failed_.add(request, false, FailedRequests::Search::TwiceFree);
    return false;
}

auto WorkerSelector::isUnderHalfUsed(const std::string &pool) -> bool
{
    // A task of all accelerators may leave half of the cores free, and the platform does not say which resource counts.
    if (poolUse_.empty()) {
        for (const auto &[id, session] : sessions_) {
            if (session->listed_) {
                auto &pools = poolUse_[session->entry_.pool_];
                pools.listed_.add(*session);
                if (session->unreachableSince_ == BootTime{}) {
                    pools.reachable_.add(*session);
                }
            }
        }
    }
    const auto isUnderHalf = [](std::int64_t used, std::int64_t capacity) {
        return 2 * used < capacity;
    };
    const auto leavesHalf = [&isUnderHalf](const ResourceUse &use) {
        return isUnderHalf(use.used_.milliCores_, use.capacity_.milliCores_) || isUnderHalf(use.used_.memoryMb_, use.capacity_.memoryMb_)
            || isUnderHalf(use.used_.accelerators_, use.capacity_.accelerators_);
    };
    const auto &use = poolUse_[pool];
    return leavesHalf(use.listed_) || leavesHalf(use.reachable_);
}

auto WorkerSelector::acceleratorUtilization(const std::string &pool) const -> double
{
    std::int64_t capacity = 0;
    std::int64_t free = 0;
    for (const auto &candidate : candidates_) {
        if (candidate.quarantined_ || candidate.session_->entry_.pool_ != pool) {
            continue;
        }
        capacity += candidate.session_->entry_.capacity_.accelerators_;
        free += candidate.free_.accelerators_;
    }
    return capacity == 0 ? 0.0 : 1.0 - static_cast<double>(free) / static_cast<double>(capacity);
}

auto WorkerSelector::summarizeCapacity(const PlacementRequest &request) const -> CapacitySummary
{
    CapacitySummary summary;
    for (const auto &candidate : candidates_) {
        summary.quarantined_ += candidate.quarantined_ && matches(candidate, request) ? 1 : 0;
        if (!eligible(candidate, request)) {
            continue;
        }
        ++summary.eligible_;
        if (candidate.free_.covers(request.step_->task_)) {
            ++summary.withFreeCapacity_;
            summary.reserved_ += candidate.reserved_ ? 1 : 0;
            summary.idle_ += isIdle(candidate) ? 1 : 0;
        }
    }
    return summary;
}

auto WorkerSelector::needsHealthyWorkers(const PlacementRequest &request) -> bool
{
    return request.step_->gang_ || request.priority_ == 0;
}

auto WorkerSelector::wasRecentlyHealthy(const WorkerSession &session) const -> bool
{
    return now_ - session.lastHealthyAt_ <= MaxHealthyAge;
}

auto WorkerSelector::isIdle(const Candidate &candidate) -> bool
{
    const auto &capacity = candidate.session_->entry_.capacity_;
    return candidate.free_ == capacity && capacity != ResourceVector();
}

auto WorkerSelector::allocate(WorkerSession &session, const ResourceVector &demand) -> void
{
    if (auto *candidate = candidateOf(session); candidate != nullptr) {
        const auto wasIdle = isIdle(*candidate);
        candidate->free_ -= demand;
        if (!candidate->quarantined_ && wasIdle && !isIdle(*candidate)) {
            idle_.takeIdle(session.entry_.pool_, session.entry_.rack_.value());
        }
        if (!rackFree_.empty() && !candidate->quarantined_) {
            rackFree_[session.entry_.rack_.value()] -= demand.accelerators_;
        }
    }
}

auto WorkerSelector::reserve(WorkerSession &session) -> void
{
    if (auto *candidate = candidateOf(session); candidate != nullptr) {
        candidate->reserved_ = true;
    }
}
} // namespace Marjoramfold
