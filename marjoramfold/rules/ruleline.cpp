#include "marjoramfold/rules/ruleline.h"

#include <fmt/format.h>
#include <toml++/toml.h>

#include <algorithm>

namespace Marjoramfold
{
namespace
{
constexpr std::string_view Whitespace = " \t";
constexpr std::string_view RuleForm = "a rule is one key with one inline table, such as priority.TEAM = { level = 60 }";

/// Length of the valid UTF-8 sequence at the start of a text; 0 when it is invalid.
auto sequenceLength(std::string_view text) -> std::size_t
{
    const auto lead = static_cast<unsigned char>(text[0]);
    const std::size_t length = lead < 0x80 ? 1 : lead >= 0xC2 && lead < 0xE0 ? 2 : lead >= 0xE0 && lead < 0xF0 ? 3 : lead >= 0xF0 && lead < 0xF5 ? 4 : 0;
    if (length == 0 || length > text.size()) {
        return 0;
    }
    for (std::size_t i = 1; i < length; ++i) {
        if ((static_cast<unsigned char>(text[i]) & 0xC0U) != 0x80U) {
            return 0;
        }
    }
    // Overlong forms, surrogates and values above U+10FFFF show in the second byte.
    const auto second = length > 1 ? static_cast<unsigned char>(text[1]) : 0U;
    const auto isInvalid =
        (lead == 0xE0 && second < 0xA0) || (lead == 0xED && second > 0x9F) || (lead == 0xF0 && second < 0x90) || (lead == 0xF4 && second > 0x8F);
    return isInvalid ? 0 : length;
}

/// Column of a byte position: characters before it, plus one.
auto columnAt(std::string_view line, std::size_t position) -> int
{
    const auto before = line.substr(0, position);
    return 1 + static_cast<int>(std::count_if(before.begin(), before.end(), [](char c) {
               return (static_cast<unsigned char>(c) & 0xC0U) != 0x80U;
           }));
}

/// Position of the first of the given characters outside of quoted text, or npos.
auto findOutsideQuotes(std::string_view line, std::string_view characters) -> std::size_t
{
    auto quote = '\0';
    for (std::size_t i = 0; i < line.size(); ++i) {
        const auto c = line[i];
        if (quote == '\0' && characters.find(c) != std::string_view::npos) {
            return i;
        }
        if (quote == '\0' && (c == '"' || c == '\'')) {
            quote = c;
        } else if (quote == '"' && c == '\\') {
            ++i;
        } else if (c == quote) {
            quote = '\0';
        }
    }
    return std::string_view::npos;
}

auto trim(std::string_view text) -> std::string_view
{
    const auto first = text.find_first_not_of(Whitespace);
    if (first == std::string_view::npos) {
        return {};
    }
    return text.substr(first, text.find_last_not_of(Whitespace) - first + 1);
}

/// NAME of a comment "# asked by NAME: reason"; empty when the comment has another form.
auto askedByOf(std::string_view comment) -> std::string_view
{
    constexpr std::string_view Prefix = "asked by ";
    auto rest = trim(comment.substr(1));
    if (rest.substr(0, Prefix.size()) != Prefix) {
        return {};
    }
    rest.remove_prefix(Prefix.size());
    const auto colon = rest.find(':');
    if (colon == std::string_view::npos || trim(rest.substr(colon + 1)).empty()) {
        return {};
    }
    return trim(rest.substr(0, colon));
}

/// Reads the fields of a rule's inline table.
auto readFields(const toml::table &table, int number, RuleSyntax &syntax, std::vector<RuleProblem> &errors) -> bool
{
    const auto errorsBefore = errors.size();
    for (const auto &[key, node] : table) {
        const auto column = static_cast<int>(key.source().begin.column);
        if (const auto *integer = node.as_integer()) {
            syntax.fields_.push_back({std::string(key.str()), integer->get(), column});
        } else if (const auto *string = node.as_string()) {
            syntax.fields_.push_back({std::string(key.str()), string->get(), column});
        } else {
            errors.push_back({number, column, fmt::format("'{}' must be a whole number or a text", key.str())});
        }
    }
    std::sort(syntax.fields_.begin(), syntax.fields_.end(), [](const RuleField &left, const RuleField &right) {
        return left.column_ < right.column_;
    });
    return errors.size() == errorsBefore;
}

/// Descends along a dotted key to the inline table of the rule.
auto readRule(const toml::table &root, int number, RuleSyntax &syntax, std::vector<RuleProblem> &errors) -> bool
{
    const auto *table = &root;
    while (!table->is_inline()) {
        if (table->size() != 1) {
            errors.push_back({number, 1, std::string(RuleForm)});
            return false;
        }
        const auto entry = table->begin();
        const auto &key = entry->first;
        const auto &node = entry->second;
        if (syntax.key_.empty()) {
            syntax.keyColumn_ = static_cast<int>(key.source().begin.column);
        }
        syntax.key_.emplace_back(key.str());
        if (!node.is_table()) {
            errors.push_back({number, static_cast<int>(node.source().begin.column), std::string(RuleForm)});
            return false;
        }
        table = node.as_table();
    }
    return readFields(*table, number, syntax, errors);
}

/// Parses one line as TOML; a syntax error is appended to the errors.
auto parseToml(std::string_view line, int number, std::vector<RuleProblem> &errors) -> std::optional<toml::table>
{
    try {
        return toml::parse(line);
    } catch (const toml::parse_error &error) {
        errors.push_back({number, std::max(1, static_cast<int>(error.source().begin.column)), std::string(error.description())});
        return std::nullopt;
    }
}
} // namespace

auto findInvalidUtf8(std::string_view line) -> std::optional<int>
{
    for (std::size_t position = 0; position < line.size();) {
        const auto length = sequenceLength(line.substr(position));
        if (length == 0) {
            return columnAt(line, position);
        }
        position += length;
    }
    return std::nullopt;
}

auto parseRuleLine(std::string_view line, int number, std::vector<RuleProblem> &errors) -> std::optional<RuleSyntax>
{
    if (const auto column = findInvalidUtf8(line)) {
        errors.push_back({number, *column, "invalid UTF-8 byte"});
        return std::nullopt;
    }
    const auto commentAt = findOutsideQuotes(line, "#");
    const auto hasRule = !trim(line.substr(0, commentAt)).empty();

    // toml++ 3.3 aborts the process on an array that is closed by '}'. Rules have no arrays, so lines with one are rejected before parsing.
    const auto arrayAt = findOutsideQuotes(line.substr(0, commentAt), "[");
    if (arrayAt != std::string_view::npos) {
        errors.push_back({number, columnAt(line, arrayAt), "a rule has no '[': " + std::string(RuleForm)});
        return std::nullopt;
    }

    // The TOML parser also checks whole-line comments, for control characters.
    const auto parsed = parseToml(line, number, errors);
    if (!parsed) {
        return std::nullopt;
    }
    if (!hasRule) {
        return std::nullopt;
    }

    RuleSyntax syntax;
    const auto errorsBefore = errors.size();
    static_cast<void>(readRule(*parsed, number, syntax, errors));
    const auto askedBy = commentAt == std::string_view::npos ? std::string_view() : askedByOf(line.substr(commentAt));
    if (askedBy.empty()) {
        const auto column = columnAt(line, std::min(commentAt, line.size()));
        errors.push_back({number, column, "a rule needs a comment '# asked by NAME: reason' at its end"});
    }
    if (errors.size() != errorsBefore) {
        return std::nullopt;
    }
    syntax.line_ = {number, std::string(line), std::string(askedBy)};
    return syntax;
}
} // namespace Marjoramfold
