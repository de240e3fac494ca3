#include "marjoramfold/rules/rulediff.h"

#include <set>

namespace Marjoramfold
{
namespace
{
/// Part of a key as in a rules file: quoted when it holds a character that is not allowed in a bare TOML key.
auto keyPart(const std::string &name) -> std::string
{
    return name.find_first_of(".:") == std::string::npos ? name : '"' + name + '"';
}

auto findLine(const std::map<std::string, RuleLine> &lines, const std::string &key) -> std::optional<RuleLine>
{
    const auto found = lines.find(key);
    return found == lines.end() ? std::nullopt : std::optional(found->second);
}

auto differs(const std::optional<RuleLine> &left, const std::optional<RuleLine> &right) -> bool
{
    return left.has_value() != right.has_value() || (left && left->text_ != right->text_);
}
} // namespace

auto linesByKey(const RuleSet &rules) -> std::map<std::string, RuleLine>
{
    std::map<std::string, RuleLine> lines;
    for (const auto &[zone, rule] : rules.zones_) {
        lines.emplace("availability_zone." + keyPart(zone.value()), rule.line_);
    }
    for (const auto &[team, zones] : rules.guarantees_) {
        for (const auto &[zone, rule] : zones) {
            lines.emplace("guarantee." + keyPart(team.value()) + "." + keyPart(zone.value()), rule.line_);
        }
    }
    for (const auto &[team, rule] : rules.priorities_) {
        lines.emplace("priority." + keyPart(team.value()), rule.line_);
    }
    for (const auto &[team, rule] : rules.quotas_) {
        lines.emplace("quota." + keyPart(team.value()), rule.line_);
    }
    return lines;
}

auto diffRules(const RuleSet &before, const RuleSet &after) -> std::vector<RuleChange>
{
    const auto left = linesByKey(before);
    const auto right = linesByKey(after);
    std::set<std::string> keys;
    for (const auto *lines : {&left, &right}) {
        for (const auto &[key, line] : *lines) {
            keys.insert(key);
        }
    }
    std::vector<RuleChange> changes;
    for (const auto &key : keys) {
        RuleChange change{key, findLine(left, key), findLine(right, key)};
        if (differs(change.before_, change.after_)) {
            changes.push_back(std::move(change));
        }
    }
    return changes;
}

auto findCollisions(const RuleSet *base, const RuleSet &inForce, const RuleSet &published) -> std::vector<RuleCollision>
{
    std::set<std::string> changedSinceBase;
    std::set<std::string> changedByPublish;
    if (base != nullptr) {
        for (const auto &change : diffRules(*base, inForce)) {
            changedSinceBase.insert(change.key_);
        }
        for (const auto &change : diffRules(*base, published)) {
            changedByPublish.insert(change.key_);
        }
    }
    std::vector<RuleCollision> collisions;
    for (auto &change : diffRules(inForce, published)) {
        if (base == nullptr || (changedSinceBase.contains(change.key_) && changedByPublish.contains(change.key_))) {
            collisions.push_back({change.key_, std::move(change.before_), std::move(change.after_)});
        }
    }
    return collisions;
}
} // namespace Marjoramfold
