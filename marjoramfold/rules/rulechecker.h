#pragma once

#include "marjoramfold/rules/ruleparser.h"

#include <string_view>
#include <vector>

namespace Marjoramfold
{
/// Result of checking a rules file. The rules are usable only when there are no errors.
struct RuleCheck {
    RuleSet rules_;
    /// Problems that make the file unusable, by line.
    std::vector<RuleProblem> errors_;
    /// Problems that do not prevent use, by line.
    std::vector<RuleProblem> warnings_;

    /// True when the file can be put in force.
    [[nodiscard]] auto isClean() const -> bool
    {
        return errors_.empty();
    }
};

/// Parses a rules file and checks its rules against one another. The result depends on the text alone; a cache only saves
/// time.
[[nodiscard]] auto checkRules(std::string_view text, RuleLineCache *cache = nullptr) -> RuleCheck;
} // namespace Marjoramfold
