#include "marjoramfold/rules/rulechecker.h"

#include <algorithm>
#include <cstdint>
#include <numeric>
#include <string>
#include <tuple>

namespace Marjoramfold
{
namespace
{
/// The guarantees of one availability zone.
using ZoneGuarantees = std::vector<const GuaranteeRule *>;

/// Column of a field in a rule's inline table.
auto fieldColumn(const RuleLine &line, std::string_view field) -> int
{
    const auto table = line.text_.find('{');
    return 1 + static_cast<int>(std::min(line.text_.find(field, table), line.text_.size()));
}

/// Column of the last part of a rule's key.
auto lastKeyColumn(const RuleLine &line, std::string_view part) -> int
{
    const auto position = line.text_.rfind(part, line.text_.find('='));
    return position == std::string::npos ? 1 : 1 + static_cast<int>(position);
}

auto guaranteesIn(const RuleSet &rules, const AvailabilityZoneId &zone) -> ZoneGuarantees
{
    ZoneGuarantees found;
    for (const auto &[team, zones] : rules.guarantees_) {
        const auto entry = zones.find(zone);
        if (entry != zones.end()) {
            found.push_back(&entry->second);
        }
    }
    return found;
}

auto totalOf(const ZoneGuarantees &guarantees) -> std::int64_t
{
    return std::accumulate(guarantees.begin(), guarantees.end(), std::int64_t(0), [](std::int64_t sum, const GuaranteeRule *rule) {
        return sum + rule->accelerators_;
    });
}

auto capacityOf(const AvailabilityZoneRule &zone) -> std::int64_t
{
    return std::int64_t(zone.workers_) * zone.acceleratorsPerWorker_;
}

/// A guarantee whose shapes do not fit on the workers, or null. Shapes are packed largest first.
auto findUnplaceable(const AvailabilityZoneRule &zone, ZoneGuarantees guarantees) -> const GuaranteeRule *
{
    std::stable_sort(guarantees.begin(), guarantees.end(), [](const GuaranteeRule *left, const GuaranteeRule *right) {
        return left->perWorker_ > right->perWorker_;
    });
    // Workers with the same free count are interchangeable: workersByFree[n] is the number of workers with n free accelerators.
    std::vector<std::int64_t> workersByFree(static_cast<std::size_t>(zone.acceleratorsPerWorker_) + 1);
    workersByFree.back() = zone.workers_;
    for (const auto *rule : guarantees) {
        auto shapes = std::int64_t(rule->accelerators_ / rule->perWorker_);
        const auto size = static_cast<std::size_t>(rule->perWorker_);
        // Best fit: the worker with the least free room that suffices is used first, so that larger free blocks stay whole.
        for (auto free = size; free < workersByFree.size() && shapes > 0; ++free) {
            const auto perWorker = static_cast<std::int64_t>(free / size);
            const auto whole = std::min(workersByFree[free], shapes / perWorker);
            workersByFree[free] -= whole;
            workersByFree[free - static_cast<std::size_t>(perWorker) * size] += whole;
            shapes -= whole * perWorker;
            if (shapes > 0 && shapes < perWorker && workersByFree[free] > 0) {
                --workersByFree[free];
                ++workersByFree[free - static_cast<std::size_t>(shapes) * size];
                shapes = 0;
            }
        }
        if (shapes > 0) {
            return rule;
        }
    }
    return nullptr;
}

/// Checks each guarantee by itself. Returns true when all of them can be checked against the capacity.
auto checkShapes(const RuleSet &rules, bool allZonesKnown, std::vector<RuleProblem> &errors) -> bool
{
    const auto errorsBefore = errors.size();
    for (const auto &[team, zones] : rules.guarantees_) {
        for (const auto &[zone, rule] : zones) {
            const auto declared = rules.zones_.find(zone);
            if (declared == rules.zones_.end()) {
                if (allZonesKnown) {
                    errors.push_back({rule.line_.number_, lastKeyColumn(rule.line_, zone.value()), "unknown availability zone '" + zone.value() + "'"});
                }
                continue;
            }
            const auto perWorker = declared->second.acceleratorsPerWorker_;
            if (rule.perWorker_ > perWorker) {
                errors.push_back({rule.line_.number_,
                                  fieldColumn(rule.line_, "per_worker"),
                                  "'per_worker' must be from 1 to " + std::to_string(perWorker) + ", the accelerators of one worker"});
            } else if (rule.accelerators_ % rule.perWorker_ != 0) {
                errors.push_back({rule.line_.number_, fieldColumn(rule.line_, "accelerators"), "'accelerators' must be a multiple of 'per_worker'"});
            }
        }
    }
    return errors.size() == errorsBefore;
}

/// Checks that the guarantees of each availability zone together fit its declared capacity.
auto checkCapacity(const RuleSet &rules, std::vector<RuleProblem> &errors) -> void
{
    for (const auto &[id, zone] : rules.zones_) {
        const auto guarantees = guaranteesIn(rules, id);
        const auto total = totalOf(guarantees);
        if (total > capacityOf(zone)) {
            const auto *last = *std::max_element(guarantees.begin(), guarantees.end(), [](const GuaranteeRule *left, const GuaranteeRule *right) {
                return left->line_.number_ < right->line_.number_;
            });
            errors.push_back(
                {last->line_.number_,
                 fieldColumn(last->line_, "accelerators"),
                 "guarantees in '" + id.value() + "' sum to " + std::to_string(total) + " accelerators; it has " + std::to_string(capacityOf(zone))});
        } else if (const auto *rule = findUnplaceable(zone, guarantees)) {
            errors.push_back(
                {rule->line_.number_, fieldColumn(rule->line_, "per_worker"), "the guaranteed shapes in '" + id.value() + "' do not fit its workers together"});
        }
    }
}

/// Warns when the remaining capacity cannot cover all guarantees while one availability zone is out.
auto warnOfZoneLoss(const RuleSet &rules, std::vector<RuleProblem> &warnings) -> void
{
    std::int64_t capacity = 0;
    std::int64_t guaranteed = 0;
    for (const auto &[id, zone] : rules.zones_) {
        capacity += zone.state_ == AvailabilityZoneState::In ? capacityOf(zone) : 0;
        guaranteed += totalOf(guaranteesIn(rules, id));
    }
    for (const auto &[id, zone] : rules.zones_) {
        const auto isIn = zone.state_ == AvailabilityZoneState::In;
        const auto left = capacity - (isIn ? capacityOf(zone) : 0);
        if (guaranteed > left) {
            warnings.push_back({zone.line_.number_,
                                1,
                                "with '" + id.value() + "' out, the guarantees of " + std::to_string(guaranteed)
                                    + " accelerators cannot be covered: " + std::to_string(left) + " are left"});
        }
    }
}

/// Warns of teams whose quota is below their guarantees.
auto warnOfLowQuotas(const RuleSet &rules, std::vector<RuleProblem> &warnings) -> void
{
    for (const auto &[team, quota] : rules.quotas_) {
        const auto found = rules.guarantees_.find(team);
        if (found == rules.guarantees_.end()) {
            continue;
        }
        std::int64_t total = 0;
        for (const auto &[zone, rule] : found->second) {
            total += rule.accelerators_;
        }
        if (total > quota.accelerators_) {
            warnings.push_back(
                {quota.line_.number_,
                 1,
                 "the quota of " + std::to_string(quota.accelerators_) + " is below the guarantees of " + std::to_string(total) + " accelerators"});
        }
    }
}

auto sortByPosition(std::vector<RuleProblem> &problems) -> void
{
    std::stable_sort(problems.begin(), problems.end(), [](const RuleProblem &left, const RuleProblem &right) {
        return std::tie(left.line_, left.column_) < std::tie(right.line_, right.column_);
    });
}
} // namespace

auto checkRules(std::string_view text, RuleLineCache *cache) -> RuleCheck
{
    auto parsed = parseRules(text, cache);
    RuleCheck check{std::move(parsed.rules_), std::move(parsed.errors_), {}};
    if (checkShapes(check.rules_, !parsed.hasInvalidZones_, check.errors_)) {
        checkCapacity(check.rules_, check.errors_);
    }
    if (check.isClean()) {
        warnOfZoneLoss(check.rules_, check.warnings_);
        warnOfLowQuotas(check.rules_, check.warnings_);
    }
    sortByPosition(check.errors_);
    sortByPosition(check.warnings_);
    return check;
}
} // namespace Marjoramfold
