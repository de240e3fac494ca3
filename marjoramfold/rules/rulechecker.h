#pragma once

#include "marjoramfold/rules/ruleparser.h"

#include <string_view>
#include <vector>

namespace Marjoramfold
{
/// Outcome of checking a rules file. The rules are usable only when there are no errors.
struct RuleCheck {
    RuleSet rules_;
    /// What makes the file unusable, by line.
    std::vector<RuleProblem> errors_;
    /// What an operator should know, by line.
    std::vector<RuleProblem> warnings_;

    /// True when the file can be put in force.
    [[nodiscard]] auto isClean() const -> bool
    {
        return errors_.empty();
    }
};

/// Parses a rules file and compares its rules with one another. The outcome depends on the text alone; a cache changes
/// only the time taken.
[[nodiscard]] auto checkRules(std::string_view text, RuleLineCache *cache = nullptr) -> RuleCheck;
} // namespace Marjoramfold
