#include "commands.h"

#include <array>
#include <fstream>
#include <iterator>
#include <random>
#include <sstream>

namespace Marjoramfold::Ctl
{
namespace
{
using nlohmann::json;

auto dumpLine(const json &value) -> std::string
{
    return value.dump(2, ' ', false, json::error_handler_t::replace);
}
} // namespace

auto allCommands() -> std::vector<Command>
{
    std::vector<Command> commands;
    for (const auto &group : {rulesCommands(), jobCommands(), inspectCommands(), accountCommands(), configCommands()}) {
        commands.insert(commands.end(), group.begin(), group.end());
    }
    return commands;
}

auto reportError(Terminal &terminal, const EntryError &error) -> ExitCode
{
    if (terminal.json_) {
        terminal.out_ << dumpLine(toJson(error)) << '\n';
        return ExitCode::Refused;
    }
    terminal.err_ << "marjoramctl: " << toText(error) << '\n';
    for (const auto &collision : listOf(error.details_, "collisions")) {
        terminal.err_ << "  collides: " << (collision.is_string() ? toCell(collision) : textOr(collision, "key", "")) << '\n';
        for (const auto *side : {"in_force", "published"}) {
            if (collision.is_object() && collision.contains(side)) {
                terminal.err_ << "    " << side << ": " << toCell(collision[side]) << '\n';
            }
        }
    }
    return ExitCode::Refused;
}

auto reportWrongUse(Terminal &terminal, const std::string &message) -> ExitCode
{
    if (terminal.json_) {
        terminal.out_ << dumpLine({{"error", {{"kind", "wrong_use"}, {"message", message}, {"ran", "no"}}}}) << '\n';
    } else {
        terminal.err_ << "marjoramctl: " << printable(message) << '\n';
    }
    return ExitCode::WrongUse;
}

auto report(Terminal &terminal, const json &answer, const std::function<void()> &writeText) -> ExitCode
{
    if (terminal.json_) {
        terminal.out_ << dumpLine(answer) << '\n';
    } else {
        writeText();
    }
    return ExitCode::Done;
}

auto readFile(const std::string &path) -> std::optional<std::string>
{
    std::ifstream file(path, std::ios::binary);
    if (!file) {
        return std::nullopt;
    }
    std::string content{std::istreambuf_iterator<char>(file), std::istreambuf_iterator<char>()};
    // Opening a directory succeeds; only reading it fails.
    return file.bad() ? std::nullopt : std::optional<std::string>(std::move(content));
}

auto generateId(const std::string &prefix) -> std::string
{
    constexpr std::size_t Digits = 24;
    constexpr std::string_view Alphabet = "0123456789abcdef";
    std::random_device source;
    auto id = prefix;
    for (std::size_t i = 0; i < Digits; ++i) {
        id.push_back(Alphabet[source() % Alphabet.size()]);
    }
    return id;
}

auto textOr(const json &object, const char *key, const std::string &fallback) -> std::string
{
    return object.is_object() && object.contains(key) ? toCell(object[key]) : fallback;
}

auto numberOr(const json &object, const char *key, std::int64_t fallback) -> std::int64_t
{
    return object.is_object() && object.contains(key) && object[key].is_number_integer() ? object[key].get<std::int64_t>() : fallback;
}

auto flagOr(const json &object, const char *key, bool fallback) -> bool
{
    return object.is_object() && object.contains(key) && object[key].is_boolean() ? object[key].get<bool>() : fallback;
}

auto listOf(const json &object, const char *key) -> json
{
    if (object.is_array()) {
        return object;
    }
    return object.is_object() && object.contains(key) && object[key].is_array() ? object[key] : json::array();
}
} // namespace Marjoramfold::Ctl
