#include "baselineplacement.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace Marjoramfold
{
namespace
{
/// Teams whose share would be fewer workers have one share together, since gangs of several workers would never fit.
constexpr double SmallestShare = 4;
} // namespace

auto BaselinePlacement::addWorker(const WorkerInfo &info) -> void
{
    if (const auto known = indexOf(info.id_)) {
        auto &worker = workers_[*known];
        worker.lost_ = false;
        worker.leaving_ = false;
        worker.quarantined_ = false;
        return;
    }
    const auto index = workers_.size();
    index_[info.id_] = index;
    workers_.push_back({info, info.capacity_});
    auto &sameKind = info.capacity_.accelerators_ > 0 ? accelerated_ : plain_;
    sameKind[info.zone_].push_back(index);
    racks_[info.zone_][info.rack_].push_back(index);
    sharedOut_ = false;
}

auto BaselinePlacement::setRules(RuleSetPointer rules) -> void
{
    // Shares stay as they are when an availability zone leaves: they are fixed.
    rules_ = std::move(rules);
}

auto BaselinePlacement::indexOf(const WorkerId &worker) const -> std::optional<std::size_t>
{
    const auto found = index_.find(worker);
    return found == index_.end() ? std::nullopt : std::optional(found->second);
}

auto BaselinePlacement::isIn(const AvailabilityZoneId &zone) const -> bool
{
    const auto found = rules_->zones_.find(zone);
    return found != rules_->zones_.end() && found->second.state_ == AvailabilityZoneState::In;
}

auto BaselinePlacement::quota(const TeamId &team) const -> std::optional<int>
{
    const auto found = rules_->quotas_.find(team);
    return found == rules_->quotas_.end() ? std::nullopt : std::optional(found->second.accelerators_);
}

auto BaselinePlacement::shareOf(const JobSpec &spec) -> int
{
    // Workers without accelerators are not partitioned, as guarantees are in accelerators.
    if (kind_ != BaselineKind::Partition || spec.task_.accelerators_ == 0) {
        return SharedByAll;
    }
    if (!sharedOut_) {
        shareOut();
    }
    const auto found = shares_.find(spec.team_);
    const auto share = found == shares_.end() ? 0 : found->second;
    // A job that its share can never hold may use all workers, or it would never run.
    return canEverFit(spec, share) ? share : SharedByAll;
}

auto BaselinePlacement::shareOut() -> void
{
    sharedOut_ = true;
    std::map<TeamId, double> weights;
    auto total = 0.0;
    for (const auto &[team, guarantees] : rules_->guarantees_) {
        for (const auto &[zone, rule] : guarantees) {
            weights[team] += rule.accelerators_;
            total += rule.accelerators_;
        }
    }
    std::vector<std::size_t> order;
    for (const auto &[zone, workers] : accelerated_) {
        order.insert(order.end(), workers.begin(), workers.end());
    }
    // Share 0 is that of all small teams. Runs of workers are contiguous, so that a share holds gangs as large as possible.
    shares_.clear();
    auto next = 0;
    auto position = 0.0;
    for (const auto &[team, weight] : weights) {
        const auto size = weight / total * static_cast<double>(order.size());
        if (size < SmallestShare) {
            shares_[team] = 0;
            continue;
        }
        shares_[team] = ++next;
        const auto end = std::min<std::size_t>(order.size(), static_cast<std::size_t>(std::lround(position + size)));
        for (auto i = static_cast<std::size_t>(std::lround(position)); i < end; ++i) {
            workers_[order[i]].share_ = next;
        }
        position += size;
    }
    for (auto i = static_cast<std::size_t>(std::lround(position)); i < order.size(); ++i) {
        workers_[order[i]].share_ = 0;
    }
}

auto BaselinePlacement::place(const JobSpec &spec, int share, const std::vector<std::size_t> &avoided) const -> std::optional<std::vector<std::size_t>>
{
    return search({spec, share, avoided, false});
}

auto BaselinePlacement::canEverFit(const JobSpec &spec, int share) const -> bool
{
    return search({spec, share, {}, true}).has_value();
}

auto BaselinePlacement::search(const Search &search) const -> std::optional<std::vector<std::size_t>>
{
    // Work without accelerators fills the workers without accelerators of all zones first.
    if (search.spec_.task_.accelerators_ == 0 && search.spec_.adjacency_ != Adjacency::Rack) {
        if (auto found = searchZones(search, plain_)) {
            return found;
        }
    }
    if (search.spec_.adjacency_ != Adjacency::Rack) {
        return searchZones(search, accelerated_);
    }
    for (const auto &[zone, racks] : racks_) {
        for (const auto &[rack, workers] : racks) {
            auto found = isAllowed(search, zone) ? fill(search, workers) : std::vector<std::size_t>{};
            if (!found.empty()) {
                return found;
            }
        }
    }
    return std::nullopt;
}

auto BaselinePlacement::searchZones(const Search &search, const std::map<AvailabilityZoneId, std::vector<std::size_t>> &zones) const
    -> std::optional<std::vector<std::size_t>>
{
    for (const auto &[zone, workers] : zones) {
        auto found = isAllowed(search, zone) ? fill(search, workers) : std::vector<std::size_t>{};
        if (!found.empty()) {
            return found;
        }
    }
    return std::nullopt;
}

auto BaselinePlacement::isAllowed(const Search &search, const AvailabilityZoneId &zone) const -> bool
{
    const auto &allowed = search.spec_.allowedZones_;
    return (search.empty_ || isIn(zone)) && (allowed.empty() || std::find(allowed.begin(), allowed.end(), zone) != allowed.end());
}

auto BaselinePlacement::fill(const Search &search, const std::vector<std::size_t> &workers) const -> std::vector<std::size_t>
{
    const auto gangSize = static_cast<std::size_t>(search.spec_.gangSize_);
    std::vector<std::size_t> placed;
    for (const auto worker : workers) {
        const auto tasks = static_cast<std::size_t>(tasksThatFit(search, worker));
        if (search.spec_.adjacency_ == Adjacency::Worker && tasks < gangSize) {
            continue;
        }
        placed.insert(placed.end(), std::min(tasks, gangSize - placed.size()), worker);
        if (placed.size() == gangSize) {
            return placed;
        }
    }
    return {};
}

auto BaselinePlacement::tasksThatFit(const Search &search, std::size_t index) const -> int
{
    const auto &worker = workers_[index];
    if ((search.share_ != SharedByAll && worker.share_ != search.share_) || (!search.empty_ && !worker.usable())
        || std::find(search.avoided_.begin(), search.avoided_.end(), index) != search.avoided_.end()) {
        return 0;
    }
    const auto &have = search.empty_ ? worker.info_.capacity_ : worker.free_;
    const auto &need = search.spec_.task_;
    const auto fit = [](std::int64_t amount, std::int64_t each) {
        return each == 0 ? std::numeric_limits<std::int64_t>::max() : amount / each;
    };
    const auto tasks = std::min({fit(have.accelerators_, need.accelerators_), fit(have.cores_, need.cores_), fit(have.memoryMb_, need.memoryMb_)});
    return static_cast<int>(std::min<std::int64_t>(tasks, search.spec_.gangSize_));
}
} // namespace Marjoramfold
