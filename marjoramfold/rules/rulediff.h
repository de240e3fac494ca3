#pragma once

#include "marjoramfold/rules/ruleset.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace Marjoramfold
{
/// A line that differs between two rule sets: added without before_, removed without after_, else changed.
struct RuleChange {
    /// Key of the rule, such as "priority.planners".
    std::string key_;
    std::optional<RuleLine> before_;
    std::optional<RuleLine> after_;
};

/// A rule that a stale publish changes and that the set in force has changed since its base.
struct RuleCollision {
    std::string key_;
    /// The line in force; empty when the rule was removed.
    std::optional<RuleLine> inForce_;
    /// The line of the stale publish; empty when it removes the rule.
    std::optional<RuleLine> published_;
};

/// The lines of a rule set by key.
[[nodiscard]] auto linesByKey(const RuleSet &rules) -> std::map<std::string, RuleLine>;

/// The lines that differ between two sets, ordered by key. Line numbers are not compared.
[[nodiscard]] auto diffRules(const RuleSet &before, const RuleSet &after) -> std::vector<RuleChange>;

/// Collisions of a stale publish. When its base set is null, every line that differs from the set in force collides.
[[nodiscard]] auto findCollisions(const RuleSet *base, const RuleSet &inForce, const RuleSet &published) -> std::vector<RuleCollision>;
} // namespace Marjoramfold
