#pragma once

#include "marjoramfold/rules/ruleparser.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace Marjoramfold
{
/// One field of a rule's inline table.
struct RuleField {
    std::string name_;
    std::variant<std::int64_t, std::string> value_;
    int column_ = 0;
};

/// A parsed rule line.
struct RuleSyntax {
    /// Parts of the dotted key.
    std::vector<std::string> key_;
    int keyColumn_ = 0;
    std::vector<RuleField> fields_;
    RuleLine line_;
};

/// Column of the first byte that is not valid UTF-8, if there is one.
[[nodiscard]] auto findInvalidUtf8(std::string_view line) -> std::optional<int>;

/// Parses one line. Empty for a blank line, a whole-line comment, or an invalid line, whose errors are appended.
[[nodiscard]] auto parseRuleLine(std::string_view line, int number, std::vector<RuleProblem> &errors) -> std::optional<RuleSyntax>;
} // namespace Marjoramfold
