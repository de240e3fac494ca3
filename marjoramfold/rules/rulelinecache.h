#pragma once

#include "marjoramfold/rules/ruleline.h"

#include <string>
#include <string_view>
#include <unordered_map>

namespace Marjoramfold
{
/// Remembers the lines of the file parsed last. Successive rule sets differ in few lines, and parsing a line as TOML costs far
/// more than comparing it.
class RuleLineCache
{
public:
    /// As parseRuleLine, but takes the outcome of a line without errors from the file before.
    [[nodiscard]] auto parse(std::string_view line, int number, std::vector<RuleProblem> &errors) -> std::optional<RuleSyntax>;

    /// A file ends: lines that it did not have are forgotten.
    auto endFile() -> void;

private:
    using Lines = std::unordered_map<std::string, RuleSyntax>;

    Lines previous_;
    Lines current_;
};
} // namespace Marjoramfold
