#include "baselineplacement.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace Marjoramfold
{
namespace
{
/// Teams that would get fewer workers share one partition, since gangs that need several workers would not fit in theirs.
constexpr double MinPartitionWorkers = 4;
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
    partitionsAssigned_ = false;
}

auto BaselinePlacement::setRules(RuleSetPointer rules) -> void
{
    // Partitions are fixed: they do not change when an availability zone is taken out.
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

auto BaselinePlacement::partitionOf(const JobSpec &spec) -> int
{
    // Partition sizes follow guarantees, which are in accelerators, so other workers are not partitioned.
    if (kind_ != BaselineKind::Partition || spec.task_.accelerators_ == 0) {
        return AllPartitions;
    }
    if (!partitionsAssigned_) {
        assignPartitions();
    }
    const auto found = partitions_.find(spec.team_);
    const auto partition = found == partitions_.end() ? 0 : found->second;
    // A job that can never fit in its partition may use all workers; otherwise it would never run.
    return canEverFit(spec, partition) ? partition : AllPartitions;
}

auto BaselinePlacement::assignPartitions() -> void
{
    partitionsAssigned_ = true;
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
    // Partition 0 is shared by all small teams. Partitions are contiguous, so that the largest possible gangs fit.
    partitions_.clear();
    auto next = 0;
    auto position = 0.0;
    for (const auto &[team, weight] : weights) {
        const auto size = weight / total * static_cast<double>(order.size());
        if (size < MinPartitionWorkers) {
            partitions_[team] = 0;
            continue;
        }
        partitions_[team] = ++next;
        const auto end = std::min<std::size_t>(order.size(), static_cast<std::size_t>(std::lround(position + size)));
        for (auto i = static_cast<std::size_t>(std::lround(position)); i < end; ++i) {
            workers_[order[i]].partition_ = next;
        }
        position += size;
    }
    for (auto i = static_cast<std::size_t>(std::lround(position)); i < order.size(); ++i) {
        workers_[order[i]].partition_ = 0;
    }
}

auto BaselinePlacement::place(const JobSpec &spec, int partition, const std::vector<std::size_t> &avoided) const -> std::optional<std::vector<std::size_t>>
{
    return search({spec, partition, avoided, false});
}

auto BaselinePlacement::canEverFit(const JobSpec &spec, int partition) const -> bool
{
    return search({spec, partition, {}, true}).has_value();
}

auto BaselinePlacement::search(const Search &search) const -> std::optional<std::vector<std::size_t>>
{
    // Tasks without accelerators prefer the workers without accelerators of all zones.
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
    if ((search.partition_ != AllPartitions && worker.partition_ != search.partition_) || (!search.empty_ && !worker.usable())
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
