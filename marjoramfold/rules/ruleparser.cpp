#include "marjoramfold/rules/ruleparser.h"

#include "marjoramfold/core/jobjson.h"
#include "marjoramfold/rules/ruleline.h"
#include "marjoramfold/rules/rulelinecache.h"

#include <algorithm>
#include <array>
#include <limits>
#include <map>

namespace Marjoramfold
{
namespace
{
/// Largest number in a rule; keeps sums over all rules of a file far from 64-bit overflow.
constexpr std::int64_t MaxRuleNumber = 1'000'000;

/// Limit per worker; the check of guaranteed shapes needs memory in proportion.
constexpr std::int64_t MaxAcceleratorsPerWorker = 1'024;

/// Reads the fields of one rule and reports missing, unknown and invalid ones.
class FieldReader
{
public:
    FieldReader(const RuleSyntax &syntax, std::vector<RuleProblem> &errors)
        : syntax_(syntax)
        , errors_(errors)
        , errorsBefore_(errors.size())
    {
    }

    /// An integer within limits; 0 after an error.
    auto number(std::string_view name, std::int64_t minimum, std::int64_t maximum = MaxRuleNumber) -> int
    {
        const auto *field = find(name);
        if (field == nullptr) {
            return 0;
        }
        const auto *value = std::get_if<std::int64_t>(&field->value_);
        if (value == nullptr) {
            report(field->column_, "'" + std::string(name) + "' must be a whole number");
            return 0;
        }
        if (*value < minimum || *value > maximum) {
            report(field->column_, "'" + std::string(name) + "' must be from " + std::to_string(minimum) + " to " + std::to_string(maximum));
            return 0;
        }
        return static_cast<int>(*value);
    }

    /// The state of an availability zone; In after an error.
    auto state() -> AvailabilityZoneState
    {
        const auto *field = find("state");
        if (field == nullptr) {
            return AvailabilityZoneState::In;
        }
        const auto *value = std::get_if<std::string>(&field->value_);
        if (value == nullptr || (*value != "in" && *value != "out")) {
            report(field->column_, "'state' must be \"in\" or \"out\"");
            return AvailabilityZoneState::In;
        }
        return *value == "in" ? AvailabilityZoneState::In : AvailabilityZoneState::Out;
    }

    /// Reports fields that were not read. True when the rule had no error.
    auto finish() -> bool
    {
        for (const auto &field : syntax_.fields_) {
            if (std::find(requestedFields_.begin(), requestedFields_.end(), field.name_) == requestedFields_.end()) {
                report(field.column_, "unknown field '" + field.name_ + "' in " + syntax_.key_.front());
            }
        }
        return errors_.size() == errorsBefore_;
    }

private:
    auto find(std::string_view name) -> const RuleField *
    {
        requestedFields_.emplace_back(name);
        for (const auto &field : syntax_.fields_) {
            if (field.name_ == name) {
                return &field;
            }
        }
        report(syntax_.keyColumn_, syntax_.key_.front() + " needs the field '" + std::string(name) + "'");
        return nullptr;
    }

    auto report(int column, std::string message) -> void
    {
        errors_.push_back({syntax_.line_.number_, column, std::move(message)});
    }

    const RuleSyntax &syntax_;
    std::vector<RuleProblem> &errors_;
    std::size_t errorsBefore_;
    std::vector<std::string> requestedFields_;
};

auto addZone(const RuleSyntax &syntax, FieldReader &reader, RuleSet &rules) -> void
{
    AvailabilityZoneRule rule{AvailabilityZoneId(syntax.key_[1]),
                              reader.state(),
                              reader.number("workers", 0),
                              reader.number("workers_per_rack", 1),
                              reader.number("accelerators_per_worker", 0, MaxAcceleratorsPerWorker),
                              syntax.line_};
    if (reader.finish()) {
        rules.zones_.emplace(rule.zone_, std::move(rule));
    }
}

auto addGuarantee(const RuleSyntax &syntax, FieldReader &reader, RuleSet &rules) -> void
{
    GuaranteeRule rule{
        TeamId(syntax.key_[1]), AvailabilityZoneId(syntax.key_[2]), reader.number("accelerators", 1), reader.number("per_worker", 1), syntax.line_};
    if (reader.finish()) {
        rules.guarantees_[rule.team_].emplace(rule.zone_, std::move(rule));
    }
}

auto addPriority(const RuleSyntax &syntax, FieldReader &reader, RuleSet &rules) -> void
{
    PriorityRule rule{TeamId(syntax.key_[1]), reader.number("level", 0), syntax.line_};
    if (reader.finish()) {
        rules.priorities_.emplace(rule.team_, std::move(rule));
    }
}

auto addQuota(const RuleSyntax &syntax, FieldReader &reader, RuleSet &rules) -> void
{
    QuotaRule rule{TeamId(syntax.key_[1]), reader.number("accelerators", 0), syntax.line_};
    if (reader.finish()) {
        rules.quotas_.emplace(rule.team_, std::move(rule));
    }
}

/// A kind of rule, identified by the first part of its key.
struct RuleKind {
    std::string_view name_;
    std::size_t keyParts_;
    std::string_view form_;
    auto(*add_)(const RuleSyntax &, FieldReader &, RuleSet &) -> void;
};

constexpr std::array RuleKinds{
    RuleKind{"availability_zone", 2, "availability_zone.ZONE", &addZone},
    RuleKind{"guarantee", 3, "guarantee.TEAM.ZONE", &addGuarantee},
    RuleKind{"priority", 2, "priority.TEAM", &addPriority},
    RuleKind{"quota", 2, "quota.TEAM", &addQuota},
};

auto addRule(const RuleSyntax &syntax, std::map<std::vector<std::string>, int> &lineByKey, ParsedRules &parsed) -> void
{
    const auto report = [&](std::string message) {
        parsed.errors_.push_back({syntax.line_.number_, syntax.keyColumn_, std::move(message)});
    };
    const auto *kind = std::find_if(RuleKinds.begin(), RuleKinds.end(), [&](const RuleKind &candidate) {
        return candidate.name_ == syntax.key_.front();
    });
    if (kind == RuleKinds.end()) {
        report("unknown key '" + syntax.key_.front() + "'; known are availability_zone, guarantee, priority and quota");
        return;
    }
    if (syntax.key_.size() != kind->keyParts_) {
        report("the key must have the form " + std::string(kind->form_));
        return;
    }
    if (!std::all_of(syntax.key_.begin(), syntax.key_.end(), &isPlainIdentifier)) {
        report("names of teams and availability zones have 1 to 128 letters, digits, '.', '_', ':' or '-'");
        return;
    }
    const auto [first, isNew] = lineByKey.emplace(syntax.key_, syntax.line_.number_);
    if (!isNew) {
        report("duplicate of line " + std::to_string(first->second));
        return;
    }
    FieldReader reader(syntax, parsed.errors_);
    kind->add_(syntax, reader, parsed.rules_);
}
} // namespace

auto parseRules(std::string_view text, RuleLineCache *cache) -> ParsedRules
{
    ParsedRules parsed;
    parsed.rules_.text_ = text;
    if (text.size() > MaxRulesBytes) {
        parsed.errors_.push_back({1, 1, "the file has " + std::to_string(text.size()) + " bytes; the limit is " + std::to_string(MaxRulesBytes)});
        return parsed;
    }
    std::map<std::vector<std::string>, int> lineByKey;
    auto number = 0;
    for (auto rest = text; !rest.empty();) {
        const auto end = std::min(rest.find('\n'), rest.size());
        auto line = rest.substr(0, end);
        rest.remove_prefix(std::min(end + 1, rest.size()));
        if (!line.empty() && line.back() == '\r') {
            line.remove_suffix(1);
        }
        const auto errorsBefore = parsed.errors_.size();
        ++number;
        const auto syntax = cache != nullptr ? cache->parse(line, number, parsed.errors_) : parseRuleLine(line, number, parsed.errors_);
        if (syntax) {
            addRule(*syntax, lineByKey, parsed);
        }
        const auto isInvalid = parsed.errors_.size() != errorsBefore;
        parsed.hasInvalidZones_ = parsed.hasInvalidZones_ || (isInvalid && line.find("availability_zone") != std::string_view::npos);
    }
    if (cache != nullptr) {
        cache->endFile();
    }
    return parsed;
}

auto toString(std::string_view file, const RuleProblem &problem) -> std::string
{
    return std::string(file) + ":" + std::to_string(problem.line_) + ":" + std::to_string(problem.column_) + ": " + problem.message_;
}
} // namespace Marjoramfold
