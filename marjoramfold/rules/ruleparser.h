#pragma once

#include "marjoramfold/rules/ruleset.h"

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace Marjoramfold
{
/// Largest rules file. A publish record and a copy sent to a peer must each fit into one message of 1 MiB.
constexpr std::size_t MaxRulesBytes = 960U << 10U;

/// An error or warning about a rules file.
struct RuleProblem {
    /// Line number from 1.
    int line_ = 0;
    /// Column in characters from 1.
    int column_ = 0;
    std::string message_;

    auto operator==(const RuleProblem &) const -> bool = default;
};

/// Parsed lines of a rules file, before the rules are checked against one another.
struct ParsedRules {
    RuleSet rules_;
    std::vector<RuleProblem> errors_;
    /// The line of an availability zone is invalid, so that lines that name a zone missing in rules_ are not reported as errors.
    bool hasInvalidZones_ = false;
};

class RuleLineCache;

/// Parses a rules file. Each line is parsed separately, so that every invalid line is reported. A cache only saves time.
[[nodiscard]] auto parseRules(std::string_view text, RuleLineCache *cache = nullptr) -> ParsedRules;

/// FILE:LINE:COLUMN: MESSAGE.
[[nodiscard]] auto toString(std::string_view file, const RuleProblem &problem) -> std::string;
} // namespace Marjoramfold
