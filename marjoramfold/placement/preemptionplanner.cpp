#include "marjoramfold/placement/preemptionplanner.h"

#include <algorithm>
#include <limits>
#include <map>
#include <unordered_map>

namespace Marjoramfold
{
namespace
{
// Search limit for gangs without accelerators; an availability zone may have hundreds of workers for them.
constexpr std::size_t MaxCoreWorkersSearched = 128;

// Tie-breaker: among options without victims, prefers the worker with the fewest accelerators left over.
constexpr double LeftoverCostWeight = 1e-6;
} // namespace

/// Search for one plan among a set of workers. Chosen victims count as evicted in all later choices.
class PreemptionPlanner::Search
{
public:
    Search(const ClusterState &cluster, const GangShape &shape, const EvictionCost &costOf, const WorkerRank &rankOf)
        : cluster_(&cluster)
        , shape_(shape)
        , costOf_(&costOf)
        , rankOf_(&rankOf)
    {
    }

    auto run(const std::vector<WorkerIndex> &workers) -> std::optional<PreemptionPlan>
    {
        auto remaining = shape_.tasks_;
        for (const auto worker : workers) {
            addOffer(offerOf(worker, remaining));
        }
        while (remaining > 0) {
            const auto best = std::min_element(offers_.begin(), offers_.end(), [](const Offer &one, const Offer &other) {
                return std::pair(one.rank_, one.costPerTask_) < std::pair(other.rank_, other.costPerTask_);
            });
            if (best == offers_.end()) {
                return std::nullopt;
            }
            // An offer for more tasks than are left may contain unneeded victims.
            if (best->tasks_ > remaining) {
                *best = *offerOf(best->worker_, remaining);
                continue;
            }
            const auto chosen = std::move(*best);
            offers_.erase(best);
            place(chosen);
            remaining -= chosen.tasks_;
            evictAll(chosen.victims_, remaining);
            // The same worker may hold more tasks if more victims are evicted.
            if (remaining > 0) {
                addOffer(offerOf(chosen.worker_, remaining));
            }
        }
        dropUnneededVictims();
        return std::move(plan_);
    }

private:
    /// Tasks that one worker can hold, and the victims to evict for them.
    struct Offer {
        WorkerIndex worker_ = 0;
        int tasks_ = 0;
        int rank_ = 0;
        double costPerTask_ = 0;
        std::vector<GangIndex> victims_;
    };

    auto place(const Offer &offer) -> void
    {
        for (auto &allocation : plan_.placement_) {
            if (allocation.worker_ == offer.worker_) {
                allocation.tasks_ += offer.tasks_;
                return;
            }
        }
        plan_.placement_.push_back({offer.worker_, offer.tasks_});
    }

    auto addOffer(std::optional<Offer> offer) -> void
    {
        if (offer) {
            offers_.push_back(std::move(*offer));
        }
    }

    // Recomputes the offers of workers on which the victims have reservations.
    auto evictAll(const std::vector<GangIndex> &victims, int remaining) -> void
    {
        for (const auto victim : victims) {
            plan_.victims_.push_back(victim);
            plan_.cost_ += costOf(victim).value_or(0);
        }
        if (remaining == 0 || victims.empty()) {
            return;
        }
        for (auto &offer : offers_) {
            const auto &reservations = cluster_->worker(offer.worker_).gangs_;
            const auto isAffected = std::any_of(reservations.begin(), reservations.end(), [&victims](const GangReservation &reservation) {
                return std::find(victims.begin(), victims.end(), reservation.gang_) != victims.end();
            });
            if (isAffected) {
                offer = *offerOf(offer.worker_, remaining);
            }
        }
    }

    auto offerOf(WorkerIndex worker, int remaining) -> std::optional<Offer>
    {
        const auto &record = cluster_->worker(worker);
        auto free = record.free();
        for (const auto &placed : plan_.placement_) {
            if (placed.worker_ == worker) {
                free -= resourcesOf(shape_.task_, placed.tasks_);
            }
        }
        std::vector<std::pair<double, const GangReservation *>> candidates;
        for (const auto &reservation : record.gangs_) {
            if (isEvicted(reservation.gang_)) {
                free += resourcesOf(reservation.task_, reservation.tasks_);
            } else if (const auto cost = costOf(reservation.gang_)) {
                candidates.emplace_back(*cost, &reservation);
            }
        }
        std::stable_sort(candidates.begin(), candidates.end(), [](const auto &one, const auto &other) {
            return one.first < other.first;
        });
        Offer best;
        best.worker_ = worker;
        best.rank_ = *rankOf_ ? (*rankOf_)(worker) : 0;
        Offer next = best;
        auto cost = 0.0;
        // Adds victims one by one and keeps the number of victims with the lowest cost per task.
        for (std::size_t evicted = 0;; ++evicted) {
            next.tasks_ = tasksThatFit(free, shape_.task_, remaining);
            const auto leftover = free.accelerators_ - next.tasks_ * shape_.task_.accelerators_;
            next.costPerTask_ = next.tasks_ > 0 ? cost / next.tasks_ + LeftoverCostWeight * leftover : std::numeric_limits<double>::max();
            if (next.tasks_ > 0 && (best.tasks_ == 0 || next.costPerTask_ < best.costPerTask_)) {
                best = next;
            }
            if (evicted == candidates.size() || next.tasks_ == remaining) {
                break;
            }
            const auto &reservation = *candidates[evicted].second;
            free += resourcesOf(reservation.task_, reservation.tasks_);
            cost += candidates[evicted].first;
            next.victims_.push_back(reservation.gang_);
        }
        return best.tasks_ > 0 ? std::optional(std::move(best)) : std::nullopt;
    }

    auto costOf(GangIndex gang) -> std::optional<double>
    {
        const auto [entry, isNew] = costs_.try_emplace(gang);
        if (isNew) {
            entry->second = (*costOf_)(gang);
        }
        return entry->second;
    }

    [[nodiscard]] auto isEvicted(GangIndex gang) const -> bool
    {
        return std::find(plan_.victims_.begin(), plan_.victims_.end(), gang) != plan_.victims_.end();
    }

    // A victim that was chosen early may be unneeded after more expensive ones were chosen for other gang members.
    auto dropUnneededVictims() -> void
    {
        auto mostExpensiveFirst = plan_.victims_;
        std::stable_sort(mostExpensiveFirst.begin(), mostExpensiveFirst.end(), [this](GangIndex one, GangIndex other) {
            return costOf(one) > costOf(other);
        });
        for (const auto victim : mostExpensiveFirst) {
            const auto kept = plan_.victims_;
            std::erase(plan_.victims_, victim);
            if (fits()) {
                plan_.cost_ -= costOf(victim).value_or(0);
            } else {
                plan_.victims_ = kept;
            }
        }
    }

    [[nodiscard]] auto fits() const -> bool
    {
        return std::all_of(plan_.placement_.begin(), plan_.placement_.end(), [this](const WorkerAllocation &placed) {
            const auto &record = cluster_->worker(placed.worker_);
            auto free = record.free();
            for (const auto &reservation : record.gangs_) {
                if (isEvicted(reservation.gang_)) {
                    free += resourcesOf(reservation.task_, reservation.tasks_);
                }
            }
            return free.covers(resourcesOf(shape_.task_, placed.tasks_));
        });
    }

    const ClusterState *cluster_;
    GangShape shape_;
    const EvictionCost *costOf_;
    const WorkerRank *rankOf_;
    PreemptionPlan plan_;
    std::vector<Offer> offers_;
    std::unordered_map<GangIndex, std::optional<double>> costs_;
};

PreemptionPlanner::PreemptionPlanner(const ClusterState &cluster)
    : cluster_(&cluster)
{
}

auto PreemptionPlanner::plan(const GangShape &shape,
                             ZoneIndex zone,
                             const EvictionCost &costOf,
                             const Placer::WorkerFilter &allows,
                             const WorkerRank &rankOf) const -> std::optional<PreemptionPlan>
{
    const auto &capacity = cluster_->zone(zone);
    const auto &all = shape.task_.accelerators_ > 0 ? capacity.acceleratorWorkers_ : capacity.workers_;
    std::vector<WorkerIndex> workers;
    for (const auto worker : all) {
        if (cluster_->worker(worker).isUsable() && (!allows || allows(worker))) {
            workers.push_back(worker);
        }
        if (shape.task_.accelerators_ == 0 && workers.size() >= MaxCoreWorkersSearched) {
            break;
        }
    }
    const auto onOneWorker = shape.adjacency_ == Adjacency::Worker;
    const auto searched = onOneWorker ? GangShape{resourcesOf(shape.task_, shape.tasks_), 1, Adjacency::None} : shape;
    if (shape.adjacency_ != Adjacency::Rack) {
        auto plan = Search(*cluster_, searched, costOf, rankOf).run(workers);
        if (plan && onOneWorker) {
            plan->placement_.front().tasks_ = shape.tasks_;
        }
        return plan;
    }
    std::map<RackIndex, std::vector<WorkerIndex>> racks;
    for (const auto worker : workers) {
        racks[cluster_->worker(worker).rack_].push_back(worker);
    }
    std::optional<PreemptionPlan> cheapest;
    for (const auto &[rack, members] : racks) {
        auto plan = Search(*cluster_, searched, costOf, rankOf).run(members);
        if (plan && (!cheapest || plan->cost_ < cheapest->cost_)) {
            cheapest = std::move(plan);
        }
    }
    return cheapest;
}
} // namespace Marjoramfold
