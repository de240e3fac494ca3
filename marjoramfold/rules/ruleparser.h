#pragma once

#include "marjoramfold/rules/ruleset.h"

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace Marjoramfold
{
/// Largest rules file in bytes, so that a publish record and a peer's copy fit into one message of 1 MiB.
constexpr std::size_t MaxRulesBytes = 960U << 10U;

/// Something wrong or questionable in a rules file.
struct RuleProblem {
    /// Line number from 1.
    int line_ = 0;
    /// Column in characters from 1.
    int column_ = 0;
    std::string message_;

    auto operator==(const RuleProblem &) const -> bool = default;
};

/// A rules file line by line, before rules are compared with one another.
struct ParsedRules {
    RuleSet rules_;
    std::vector<RuleProblem> errors_;
    /// An availability zone's line is broken, so that a zone missing in rules_ is not an error of the lines that name it.
    bool hasBrokenZones_ = false;
};

class RuleLineCache;

/// Parses a rules file. Each line is parsed on its own, so that every broken line is reported. A cache changes only the time taken.
[[nodiscard]] auto parseRules(std::string_view text, RuleLineCache *cache = nullptr) -> ParsedRules;

/// FILE:LINE:COLUMN: MESSAGE.
[[nodiscard]] auto toString(std::string_view file, const RuleProblem &problem) -> std::string;
} // namespace Marjoramfold
