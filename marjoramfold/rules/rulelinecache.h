#pragma once

#include "marjoramfold/rules/ruleline.h"

#include <string>
#include <string_view>
#include <unordered_map>

namespace Marjoramfold
{
/// Caches the parsed lines of the previous file. Successive rule sets differ in few lines, and parsing a line as TOML costs far
/// more than looking it up.
class RuleLineCache
{
public:
    /// As parseRuleLine, but reuses the result of a valid line from the previous file.
    [[nodiscard]] auto parse(std::string_view line, int number, std::vector<RuleProblem> &errors) -> std::optional<RuleSyntax>;

    /// Marks the end of a file; drops cached lines that it did not contain.
    auto endFile() -> void;

private:
    using Lines = std::unordered_map<std::string, RuleSyntax>;

    Lines previous_;
    Lines current_;
};
} // namespace Marjoramfold
