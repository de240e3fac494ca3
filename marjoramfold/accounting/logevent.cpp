#include "marjoramfold/accounting/logevent.h"

#include <algorithm>
#include <charconv>

namespace Marjoramfold
{
namespace
{
constexpr std::string_view TimestampForm = "dddd-dd-ddTdd:dd:dd.ddd+dd:dd";

/// Bound of counts and times: some 139 years in milliseconds. Sums over all lines of a log stay within the type.
constexpr std::int64_t MaxCount = std::int64_t(1) << 42;

auto isDigit(char c) -> bool
{
    return c >= '0' && c <= '9';
}

auto isNameCharacter(char c) -> bool
{
    return (c >= 'a' && c <= 'z') || c == '_' || isDigit(c);
}

auto isName(std::string_view text) -> bool
{
    return !text.empty() && std::all_of(text.begin(), text.end(), isNameCharacter);
}

/// Removes the next word, and the spaces before it, from the text.
auto takeWord(std::string_view &text) -> std::string_view
{
    text.remove_prefix(std::min(text.find_first_not_of(' '), text.size()));
    const auto word = text.substr(0, text.find(' '));
    text.remove_prefix(word.size());
    return word;
}

auto numberAt(std::string_view text, std::size_t at, std::size_t digits) -> int
{
    int value = 0;
    std::from_chars(text.data() + at, text.data() + at + digits, value);
    return value;
}

/// Parses a timestamp as instances write it.
auto parseTimestamp(std::string_view word) -> std::optional<std::chrono::milliseconds>
{
    if (word.size() != TimestampForm.size()) {
        return std::nullopt;
    }
    for (std::size_t i = 0; i < word.size(); ++i) {
        const auto form = TimestampForm[i];
        const auto matches = form == 'd' ? isDigit(word[i]) : word[i] == form || (form == '+' && word[i] == '-');
        if (!matches) {
            return std::nullopt;
        }
    }
    const std::chrono::year_month_day date{std::chrono::year(numberAt(word, 0, 4)),
                                           std::chrono::month(static_cast<unsigned>(numberAt(word, 5, 2))),
                                           std::chrono::day(static_cast<unsigned>(numberAt(word, 8, 2)))};
    if (!date.ok()) {
        return std::nullopt;
    }
    const auto offset = std::chrono::hours(numberAt(word, 24, 2)) + std::chrono::minutes(numberAt(word, 27, 2));
    const auto ofDay = std::chrono::hours(numberAt(word, 11, 2)) + std::chrono::minutes(numberAt(word, 14, 2)) + std::chrono::seconds(numberAt(word, 17, 2))
        + std::chrono::milliseconds(numberAt(word, 20, 3));
    const std::chrono::milliseconds local = std::chrono::sys_days(date).time_since_epoch() + ofDay;
    return word[23] == '-' ? local + offset : local - offset;
}

/// Takes one quoted value, whose opening quote is removed already; false when it has no end.
auto takeQuoted(std::string_view &text, std::string &value) -> bool
{
    while (!text.empty()) {
        const auto c = text.front();
        text.remove_prefix(1);
        if (c == '"') {
            return true;
        }
        if (c != '\\' || text.empty()) {
            value.push_back(c);
            continue;
        }
        const auto escaped = text.front();
        text.remove_prefix(1);
        unsigned byte = 0;
        if (escaped == 'x' && text.size() >= 2 && std::from_chars(text.data(), text.data() + 2, byte, 16).ptr == text.data() + 2) {
            value.push_back(static_cast<char>(byte));
            text.remove_prefix(2);
        } else if (escaped == 'n' || escaped == 'r' || escaped == 't') {
            value.push_back(escaped == 'n' ? '\n' : escaped == 'r' ? '\r' : '\t');
        } else {
            value.push_back(escaped);
        }
    }
    return false;
}
} // namespace

auto LogEvent::parse(std::string_view line) -> std::optional<LogEvent>
{
    if (line.size() > MaxLineBytes) {
        return std::nullopt;
    }
    auto rest = line;
    while (!rest.empty()) {
        const auto word = takeWord(rest);
        const auto time = parseTimestamp(word);
        if (!time) {
            continue;
        }
        LogEvent event;
        event.wallTime_ = *time;
        event.parsePrefix(line.substr(0, static_cast<std::size_t>(word.data() - line.data())));
        const auto severity = takeWord(rest);
        event.name_ = takeWord(rest);
        const auto hasForm = (severity == "I" || severity == "W" || severity == "E") && isName(event.name_);
        return hasForm && event.parseFields(rest) ? std::optional(std::move(event)) : std::nullopt;
    }
    return std::nullopt;
}

auto LogEvent::parsePrefix(std::string_view prefix) -> void
{
    const auto first = takeWord(prefix);
    auto last = first;
    for (auto word = takeWord(prefix); !word.empty(); word = takeWord(prefix)) {
        last = word;
    }
    double seconds = 0;
    const auto *end = first.data() + first.size();
    const auto [parsed, error] = std::from_chars(first.data(), end, seconds);
    constexpr auto MaxSeconds = static_cast<double>(MaxCount / 1000);
    // The comparison is false for a time that is not a number.
    const auto isTime = !first.empty() && error == std::errc() && parsed == end && seconds >= -MaxSeconds && seconds <= MaxSeconds;
    if (isTime) {
        prefixTime_ = std::chrono::milliseconds(static_cast<std::int64_t>(seconds * 1000));
    }
    if (!isTime || last.data() != first.data()) {
        instance_ = last;
    }
}

auto LogEvent::parseFields(std::string_view fields) -> bool
{
    while (true) {
        fields.remove_prefix(std::min(fields.find_first_not_of(' '), fields.size()));
        if (fields.empty()) {
            return true;
        }
        const auto equals = fields.find('=');
        if (equals == std::string_view::npos || !isName(fields.substr(0, equals))) {
            return false;
        }
        std::string key(fields.substr(0, equals));
        fields.remove_prefix(equals + 1);
        std::string value;
        if (fields.starts_with('"')) {
            fields.remove_prefix(1);
            if (!takeQuoted(fields, value)) {
                return false;
            }
        } else {
            value = fields.substr(0, fields.find(' '));
            fields.remove_prefix(value.size());
        }
        fields_.emplace_back(std::move(key), std::move(value));
    }
}

auto LogEvent::name() const -> const std::string &
{
    return name_;
}

auto LogEvent::instance() const -> const std::string &
{
    return instance_;
}

auto LogEvent::wallTime() const -> std::chrono::milliseconds
{
    return wallTime_;
}

auto LogEvent::prefixTime() const -> const std::optional<std::chrono::milliseconds> &
{
    return prefixTime_;
}

auto LogEvent::text(std::string_view key) const -> const std::string &
{
    static const std::string Empty;
    const auto found = std::find_if(fields_.begin(), fields_.end(), [key](const auto &field) {
        return field.first == key;
    });
    return found == fields_.end() ? Empty : found->second;
}

auto LogEvent::count(std::string_view key) const -> std::optional<std::int64_t>
{
    const auto &value = text(key);
    std::int64_t number = 0;
    const auto *end = value.data() + value.size();
    const auto [parsed, error] = std::from_chars(value.data(), end, number);
    const auto isValid = !value.empty() && error == std::errc() && parsed == end && number >= 0 && number <= MaxCount;
    return isValid ? std::optional(number) : std::nullopt;
}

auto LogEvent::time(std::string_view key) const -> std::optional<std::chrono::milliseconds>
{
    const auto number = count(key);
    return number ? std::optional(std::chrono::milliseconds(*number)) : std::nullopt;
}
} // namespace Marjoramfold
