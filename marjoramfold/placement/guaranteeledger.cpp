#include "marjoramfold/placement/guaranteeledger.h"

#include <algorithm>

namespace Marjoramfold
{
auto unformableAccelerators(AcceleratorHistogram available, const AcceleratorHistogram &shapes) -> int
{
    auto missing = 0;
    for (auto size = shapes.size(); size-- > 1;) {
        auto wanted = shapes[size];
        // Best fit: uses the smallest worker that holds the shape and moves its remainder to the smaller size class.
        for (auto free = size; wanted > 0 && free < available.size();) {
            const auto taken = std::min(wanted, available[free]);
            available[free] -= taken;
            available[free - size] += taken;
            wanted -= taken;
            free = taken > 0 && free >= 2 * size ? free - size : free + 1;
        }
        missing += wanted * static_cast<int>(size);
    }
    return missing;
}

GuaranteeLedger::GuaranteeLedger(std::vector<AvailabilityZoneId> zones)
    : zones_(zones.size())
{
    for (std::size_t i = 0; i < zones.size(); ++i) {
        zones_[i].id_ = std::move(zones[i]);
    }
}

auto GuaranteeLedger::setRules(const RuleSet &rules) -> void
{
    for (auto &zone : zones_) {
        zone.unusedShapes_.clear();
        for (auto &[team, account] : zone.accounts_) {
            account.accelerators_ = 0;
        }
        for (const auto &[team, guarantees] : rules.guarantees_) {
            const auto rule = guarantees.find(zone.id_);
            if (rule != guarantees.end()) {
                auto &account = zone.accounts_[team];
                account.accelerators_ = rule->second.accelerators_;
                account.perWorker_ = std::max(rule->second.perWorker_, 1);
            }
        }
        for (const auto &[team, account] : zone.accounts_) {
            addTo(zone.unusedShapes_, account.perWorker_, account.unusedShapes());
        }
    }
}

auto GuaranteeLedger::setWorker(WorkerIndex worker, ZoneIndex zone, int accelerators) -> void
{
    if (workers_.size() <= worker) {
        workers_.resize(worker + 1);
    }
    auto &record = workers_[worker];
    addTo(zones_[zone].available_, record.available(), -1);
    record.offered_ = accelerators;
    addTo(zones_[zone].available_, record.available(), 1);
}

auto GuaranteeLedger::covers(ZoneIndex zone, const TeamId &team, int accelerators) const -> bool
{
    const auto &accounts = zones_[zone].accounts_;
    const auto account = accounts.find(team);
    return account != accounts.end() && accelerators > 0 && account->second.total_ + accelerators <= account->second.accelerators_;
}

auto GuaranteeLedger::changeTotalUse(ZoneIndex zone, const TeamId &team, int change) -> void
{
    zones_[zone].accounts_[team].total_ += change;
}

auto GuaranteeLedger::mayPromote(ZoneIndex zone, const TeamId &team, int accelerators) const -> bool
{
    const auto &accounts = zones_[zone].accounts_;
    const auto account = accounts.find(team);
    // A team above its guarantee has borrowed work in any case; which of its gangs counts as borrowed is then left unchanged.
    return account != accounts.end() && account->second.total_ <= account->second.accelerators_
        && account->second.used_ + accelerators <= account->second.accelerators_;
}

auto GuaranteeLedger::preservesUnusedShapes(ZoneIndex zone, const TeamId &team, const GangPlacement &placement, int acceleratorsPerTask) const -> bool
{
    const auto &before = zones_[zone];
    auto available = before.available_;
    auto shapes = before.unusedShapes_;
    auto account = before.accounts_.at(team);
    addTo(shapes, account.perWorker_, -account.unusedShapes());
    for (const auto &allocation : placement) {
        auto worker = workers_[allocation.worker_];
        addTo(available, worker.available(), -1);
        worker.guaranteed_ += allocation.tasks_ * acceleratorsPerTask;
        addTo(available, worker.available(), 1);
        account.used_ += allocation.tasks_ * acceleratorsPerTask;
    }
    addTo(shapes, account.perWorker_, account.unusedShapes());
    const auto missing = unformableAccelerators(std::move(available), shapes);
    return missing == 0 || missing <= unformable(zone);
}

auto GuaranteeLedger::charge(ZoneIndex zone, const TeamId &team, WorkerIndex worker, int accelerators) -> void
{
    changeUse(zone, team, worker, accelerators);
}

auto GuaranteeLedger::refund(ZoneIndex zone, const TeamId &team, WorkerIndex worker, int accelerators) -> void
{
    changeUse(zone, team, worker, -accelerators);
}

auto GuaranteeLedger::unformable(ZoneIndex zone) const -> int
{
    return unformableAccelerators(zones_[zone].available_, zones_[zone].unusedShapes_);
}

auto GuaranteeLedger::available(WorkerIndex worker) const -> int
{
    return worker < workers_.size() ? workers_[worker].available() : 0;
}

auto GuaranteeLedger::hasGuarantee(const TeamId &team) const -> bool
{
    return std::any_of(zones_.begin(), zones_.end(), [&team](const Zone &zone) {
        const auto account = zone.accounts_.find(team);
        return account != zone.accounts_.end() && account->second.accelerators_ > 0;
    });
}

auto GuaranteeLedger::addTo(AcceleratorHistogram &histogram, int accelerators, int count) -> void
{
    const auto size = static_cast<std::size_t>(accelerators);
    if (histogram.size() <= size) {
        histogram.resize(size + 1, 0);
    }
    histogram[size] += count;
}

auto GuaranteeLedger::changeUse(ZoneIndex zone, const TeamId &team, WorkerIndex worker, int change) -> void
{
    auto &record = workers_[worker];
    auto &account = zones_[zone].accounts_[team];
    addTo(zones_[zone].available_, record.available(), -1);
    addTo(zones_[zone].unusedShapes_, account.perWorker_, -account.unusedShapes());
    record.guaranteed_ += change;
    account.used_ += change;
    addTo(zones_[zone].available_, record.available(), 1);
    addTo(zones_[zone].unusedShapes_, account.perWorker_, account.unusedShapes());
}
} // namespace Marjoramfold
