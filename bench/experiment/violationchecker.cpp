#include "violationchecker.h"

#include <algorithm>
#include <limits>

namespace Marjoramfold
{
namespace
{
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::size_t MaxReportedLines = 200;
/// Detection of a lost worker takes up to 3 s, and the reclaim that follows has its own bound.
constexpr milliseconds WorkerLossGrace = seconds(3) + ReclaimBound;

/// Backoff after a number of failures: 1 s, doubled by each further failure up to 60 s.
auto retryDelay(int failures) -> milliseconds
{
    constexpr int LongestExponent = 6;
    return failures == 0 ? milliseconds(0) : milliseconds(std::min(60'000, 1'000 << std::min(failures - 1, LongestExponent)));
}
} // namespace

ViolationChecker::ViolationChecker(const Scenario &scenario, const FakeCluster &cluster, const EventQueue &queue)
    : scenario_(scenario)
    , cluster_(cluster)
    , queue_(queue)
    , jobs_(scenario.jobs_.size())
    , guaranteedInUse_(scenario.workers_.size())
{
    for (const auto &[id, rule] : scenario.rules_.front().rules_->zones_) {
        zoneIndex_[id] = zones_.size();
        zones_.emplace_back();
    }
    for (std::size_t i = 0; i < scenario.workers_.size(); ++i) {
        zoneOfWorker_.push_back(zoneIndex_.at(scenario.workers_[i].zone_));
        zones_[zoneOfWorker_.back()].workers_.push_back(i);
    }
    for (std::size_t i = 0; i < jobs_.size(); ++i) {
        jobs_[i].team_ = teamIndex(scenario.jobs_[i].spec_.team_);
    }
    for (const auto &[team, guarantees] : scenario.rules_.front().rules_->guarantees_) {
        static_cast<void>(teamIndex(team));
    }
    usedByTeam_.resize(teamIndex_.size());
    for (auto &zone : zones_) {
        zone.used_.resize(teamIndex_.size());
    }
}

auto ViolationChecker::teamIndex(const TeamId &team) -> std::size_t
{
    return teamIndex_.try_emplace(team, teamIndex_.size()).first->second;
}

auto ViolationChecker::rulesInForce(RuleSetPointer rules) -> void
{
    for (auto &[id, index] : zoneIndex_) {
        auto &zone = zones_[index];
        const auto in = rules->zones_.at(id).state_ == AvailabilityZoneState::In;
        zone.outSince_ = zone.in_ && !in ? queue_.now() : zone.outSince_;
        zone.in_ = in;
        zone.shapeMissing_ = false;
        zone.guarantees_.assign(teamIndex_.size(), Guarantee{});
    }
    for (const auto &[team, guarantees] : rules->guarantees_) {
        for (const auto &[zone, rule] : guarantees) {
            zones_[zoneIndex_.at(zone)].guarantees_[teamIndex_.at(team)] = {rule.accelerators_, rule.perWorker_};
        }
    }
    quotas_.assign(teamIndex_.size(), std::numeric_limits<int>::max());
    for (const auto &[team, rule] : rules->quotas_) {
        if (const auto found = teamIndex_.find(team); found != teamIndex_.end()) {
            quotas_[found->second] = rule.accelerators_;
        }
    }
    // The reclaim bound starts anew: the policy has that time to learn the new rules and start the jobs that they allow.
    for (const auto job : waiting_) {
        jobs_[job].coveredSince_.reset();
    }
}

auto ViolationChecker::jobSubmitted(std::size_t job) -> void
{
    const auto kind = scenario_.jobs_[job].kind_;
    if (kind != PlannedJobKind::Impossible && kind != PlannedJobKind::Crashing) {
        jobs_[job].waiting_ = true;
        waiting_.insert(job);
    }
}

auto ViolationChecker::jobsCancelled(const std::vector<std::size_t> &jobs) -> void
{
    for (const auto job : jobs) {
        jobs_[job].waiting_ = false;
        waiting_.erase(job);
    }
}

auto ViolationChecker::report(ViolationKind kind, const std::string &text) -> void
{
    ++violations_.counts_[kind];
    if (violations_.lines_.size() < MaxReportedLines) {
        const auto time = std::chrono::duration<double>(queue_.now() - SteadyTime{}).count();
        violations_.lines_.push_back("t=" + std::to_string(time) + " " + text);
    }
}

auto ViolationChecker::taskChanged(const FakeTask &task, const FakeAttempt &attempt) -> void
{
    const auto zoneNumber = zoneOfWorker_[task.worker_];
    auto &zone = zones_[zoneNumber];
    const auto team = jobs_[task.job_].team_;
    const GangKey key{task.job_, attempt.number_};
    if (task.state_ == FakeTaskState::Held) {
        auto found = gangs_.find(key);
        if (found == gangs_.end()) {
            Gang gang;
            const auto accelerators = scenario_.jobs_[task.job_].accelerators();
            gang.withinGuarantee_ = zone.used_[team] + accelerators <= zone.guarantees_[team].accelerators_;
            found = gangs_.emplace(key, gang).first;
            waiting_.erase(task.job_);
        }
        zone.used_[team] += task.resources_.accelerators_;
        usedByTeam_[team] += task.resources_.accelerators_;
        guaranteedInUse_[task.worker_] += found->second.withinGuarantee_ ? task.resources_.accelerators_ : 0;
        zone.placementChanged_ = true;
    }
    checkPartial(task, attempt);
}

auto ViolationChecker::taskStarted(const FakeTask &task) -> void
{
    const auto &zone = zones_[zoneOfWorker_[task.worker_]];
    if (!zone.in_ && queue_.now() - zone.outSince_ > OutZoneStartBound) {
        report(ViolationKind::StartInOutZone, "start_in_out_zone task=" + toString(task.id_));
    }
    const auto &job = cluster_.jobs()[task.job_];
    auto twice = job.finished_.has_value();
    for (const auto &[number, attempt] : job.attempts_) {
        twice = twice || (number != task.id_.attempt_ && attempt.computing_ > 0);
    }
    auto &gang = gangs_.at({task.job_, task.id_.attempt_});
    if (twice && !gang.doubleRunReported_) {
        gang.doubleRunReported_ = true;
        report(ViolationKind::DoubleRun, "double_run task=" + toString(task.id_));
    }
}

auto ViolationChecker::taskRemoved(const FakeTask &task, const FakeAttempt &attempt) -> void
{
    auto &zone = zones_[zoneOfWorker_[task.worker_]];
    const auto team = jobs_[task.job_].team_;
    zone.used_[team] -= task.resources_.accelerators_;
    usedByTeam_[team] -= task.resources_.accelerators_;
    if (gangs_.at({task.job_, attempt.number_}).withinGuarantee_) {
        guaranteedInUse_[task.worker_] -= task.resources_.accelerators_;
    }
    checkPartial(task, attempt);
}

auto ViolationChecker::attemptClosed(std::size_t job, const FakeAttempt &attempt) -> void
{
    const auto found = gangs_.find({job, attempt.number_});
    if (found != gangs_.end()) {
        endPartial(found->first, found->second);
        gangs_.erase(found);
    }
    jobs_[job].notBefore_ = std::max(jobs_[job].notBefore_, attempt.lostLeaseEnd_);
    if (jobs_[job].waiting_ && !cluster_.jobs()[job].finished_) {
        jobs_[job].coveredSince_.reset();
        jobs_[job].reported_ = false;
        waiting_.insert(job);
    }
}

auto ViolationChecker::workerChanged(std::size_t worker) -> void
{
    auto &zone = zones_[zoneOfWorker_[worker]];
    zone.lostWorkers_ += cluster_.workers()[worker].lost_ ? 1 : -1;
    zone.lastLoss_ = queue_.now();
}

auto ViolationChecker::checkPartial(const FakeTask &task, const FakeAttempt &attempt) -> void
{
    const GangKey key{task.job_, attempt.number_};
    auto &gang = gangs_.at(key);
    const auto partial = attempt.computing_ > 0 && attempt.computing_ + attempt.finished_ < scenario_.jobs_[task.job_].spec_.gangSize_;
    if (partial && !gang.partialSince_) {
        gang.partialSince_ = queue_.now();
    }
    if (!partial) {
        endPartial(key, gang);
    }
}

auto ViolationChecker::endPartial(const GangKey &key, Gang &gang) -> void
{
    if (gang.partialSince_ && queue_.now() - *gang.partialSince_ > PartialGangBound) {
        const auto &id = scenario_.jobs_[key.first].spec_.id_;
        report(ViolationKind::PartialGang, "partial_gang job=" + id.value() + " attempt=" + std::to_string(key.second));
    }
    gang.partialSince_.reset();
}

auto ViolationChecker::hadRecentWorkerLoss(const Zone &zone) const -> bool
{
    return zone.lostWorkers_ > 0 || (zone.lastLoss_ != SteadyTime::min() && queue_.now() - zone.lastLoss_ < WorkerLossGrace);
}

auto ViolationChecker::tasksPerShape(const JobSpec &spec, const Guarantee &guarantee) const -> int
{
    // A shape includes cores and memory of the worker in proportion to its accelerators.
    const auto &capacity = scenario_.workers_.front().capacity_;
    const auto share = [&](std::int64_t whole) {
        return whole * guarantee.perWorker_ / std::max(1, capacity.accelerators_);
    };
    const auto fit = [](std::int64_t have, std::int64_t need) {
        return need == 0 ? std::numeric_limits<std::int64_t>::max() : have / need;
    };
    const auto tasks = std::min({fit(guarantee.perWorker_, spec.task_.accelerators_),
                                 fit(share(capacity.cores_), spec.task_.cores_),
                                 fit(share(capacity.memoryMb_), spec.task_.memoryMb_)});
    return static_cast<int>(std::min<std::int64_t>(tasks, spec.gangSize_));
}

auto ViolationChecker::coveringZone(std::size_t job) const -> std::optional<std::size_t>
{
    const auto &planned = scenario_.jobs_[job];
    const auto team = jobs_[job].team_;
    const auto &spec = planned.spec_;
    // Guarantees cover accelerators only, and do not place shapes in the same rack.
    if (spec.task_.accelerators_ == 0 || spec.adjacency_ == Adjacency::Rack || usedByTeam_[team] + planned.accelerators() > quotas_[team]) {
        return std::nullopt;
    }
    for (const auto &[id, index] : zoneIndex_) {
        const auto &zone = zones_[index];
        const auto &guarantee = zone.guarantees_[team];
        const auto allowed = spec.allowedZones_.empty() || std::find(spec.allowedZones_.begin(), spec.allowedZones_.end(), id) != spec.allowedZones_.end();
        const auto shapes = (guarantee.accelerators_ - zone.used_[team]) / guarantee.perWorker_;
        if (!zone.in_ || !allowed || shapes <= 0 || hadRecentWorkerLoss(zone)) {
            continue;
        }
        const auto perShape = tasksPerShape(spec, guarantee);
        const auto usableShapes = spec.adjacency_ == Adjacency::Worker ? 1 : shapes;
        if (perShape * usableShapes >= spec.gangSize_) {
            return index;
        }
    }
    return std::nullopt;
}

auto ViolationChecker::tick() -> void
{
    for (const auto index : waiting_) {
        auto &job = jobs_[index];
        const auto zone = coveringZone(index);
        if (!zone || queue_.now() < std::max(job.notBefore_, cluster_.jobs()[index].possiblyRenewedUntil_)) {
            job.coveredSince_.reset();
            continue;
        }
        job.coveredSince_ = job.coveredSince_.value_or(queue_.now());
        const auto bound = ReclaimBound + retryDelay(cluster_.jobs()[index].failures_);
        if (!job.reported_ && queue_.now() - *job.coveredSince_ > bound) {
            job.reported_ = true;
            reportUnmetGuarantee(index, *zone);
        }
    }
}

auto ViolationChecker::reportUnmetGuarantee(std::size_t index, std::size_t zoneNumber) -> void
{
    const auto &spec = scenario_.jobs_[index].spec_;
    const auto &zone = zones_[zoneNumber];
    const auto team = jobs_[index].team_;
    const auto since = std::chrono::duration<double>(*jobs_[index].coveredSince_ - SteadyTime{}).count();
    report(ViolationKind::Guarantee,
           "guarantee job=" + spec.id_.value() + " team=" + spec.team_.value() + " tasks=" + std::to_string(spec.gangSize_)
               + " accelerators=" + std::to_string(spec.task_.accelerators_) + " since=" + std::to_string(since) + " zone=" + std::to_string(zoneNumber)
               + " used=" + std::to_string(zone.used_[team]) + " guaranteed=" + std::to_string(zone.guarantees_[team].accelerators_)
               + " per_worker=" + std::to_string(zone.guarantees_[team].perWorker_) + " failures=" + std::to_string(cluster_.jobs()[index].failures_));
}

auto ViolationChecker::decisionApplied() -> void
{
    for (const auto &[id, index] : zoneIndex_) {
        auto &zone = zones_[index];
        if (!zone.placementChanged_ || !zone.in_ || hadRecentWorkerLoss(zone)) {
            continue;
        }
        zone.placementChanged_ = false;
        const auto missing = missingShape(zone);
        if (missing > 0 && !zone.shapeMissing_) {
            report(ViolationKind::Guarantee, "guarantee zone=" + id.value() + " cannot form unused shapes of " + std::to_string(missing));
        }
        zone.shapeMissing_ = missing > 0;
    }
}

auto ViolationChecker::missingShape(const Zone &zone) const -> int
{
    // Unused shapes by size. Sizes are multiples of each other, so packing the largest first wastes nothing.
    std::map<int, int, std::greater<>> shapes;
    for (std::size_t team = 0; team < zone.guarantees_.size(); ++team) {
        const auto &guarantee = zone.guarantees_[team];
        const auto unused = (guarantee.accelerators_ - zone.used_[team]) / guarantee.perWorker_;
        if (unused > 0) {
            shapes[guarantee.perWorker_] += unused;
        }
    }
    auto neededAccelerators = 0;
    for (const auto &[size, count] : shapes) {
        neededAccelerators += size * count;
        auto slots = 0;
        for (const auto worker : zone.workers_) {
            slots += (scenario_.workers_[worker].capacity_.accelerators_ - guaranteedInUse_[worker]) / size;
        }
        // Larger shapes use accelerators in multiples of this size.
        if (slots * size < neededAccelerators) {
            return size;
        }
    }
    return 0;
}

auto ViolationChecker::finish() -> void
{
    for (auto &[key, gang] : gangs_) {
        endPartial(key, gang);
    }
}
} // namespace Marjoramfold
