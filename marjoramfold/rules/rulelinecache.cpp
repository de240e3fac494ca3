#include "marjoramfold/rules/rulelinecache.h"

#include <utility>

namespace Marjoramfold
{
auto RuleLineCache::parse(std::string_view line, int number, std::vector<RuleProblem> &errors) -> std::optional<RuleSyntax>
{
    std::string key(line);
    auto cached = previous_.extract(key);
    if (!cached.empty()) {
        auto syntax = cached.mapped();
        syntax.line_.number_ = number;
        current_.insert(std::move(cached));
        return syntax;
    }
    auto syntax = parseRuleLine(line, number, errors);
    if (syntax) {
        current_.emplace(std::move(key), *syntax);
    }
    return syntax;
}

auto RuleLineCache::endFile() -> void
{
    previous_ = std::exchange(current_, {});
}
} // namespace Marjoramfold
