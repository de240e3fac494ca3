#include "mix.h"

#include <toml++/toml.h>

#include <array>
#include <sstream>
#include <stdexcept>
#include <string_view>

namespace Marjoramfold
{
namespace
{
constexpr std::array<std::string_view, 8> KnownFields = {"name", "team", "priority", "share", "idempotent_share", "body_bytes", "deadline_ms", "keys"};

/// Well below the 4 MiB that servers accept.
constexpr std::int64_t MaxBodyBytes = 1 << 20;

[[noreturn]] auto fail(const std::string &path, const toml::source_region &at, const std::string &reason) -> void
{
    std::ostringstream message;
    message << path << ":" << at.begin.line << ":" << at.begin.column << ": " << reason;
    throw std::runtime_error(message.str());
}

/// Reads a field if present; fails when its type is wrong.
template<typename Value>
auto readField(const std::string &path, const toml::table &table, std::string_view name, Value &value) -> void
{
    const auto node = table[name];
    if (!node) {
        return;
    }
    const auto read = node.template value<Value>();
    if (!read) {
        fail(path, node.node()->source(), "'" + std::string(name) + "' has the wrong type");
    }
    value = *read;
}

auto readClass(const std::string &path, const toml::table &table) -> LoadClass
{
    for (const auto &[name, node] : table) {
        if (std::find(KnownFields.begin(), KnownFields.end(), name.str()) == KnownFields.end()) {
            fail(path, node.source(), "unknown key '" + std::string(name.str()) + "'");
        }
    }
    LoadClass result;
    readField(path, table, "name", result.name_);
    readField(path, table, "team", result.team_);
    readField(path, table, "priority", result.priority_);
    readField(path, table, "share", result.share_);
    readField(path, table, "idempotent_share", result.idempotentShare_);
    auto bodyBytes = static_cast<std::int64_t>(result.bodyBytes_);
    readField(path, table, "body_bytes", bodyBytes);
    std::int64_t deadline = result.deadline_.count();
    readField(path, table, "deadline_ms", deadline);
    std::string keys = "issued";
    readField(path, table, "keys", keys);
    if (!priorityClassFromString(result.priority_)) {
        fail(path, table.source(), "unknown priority '" + result.priority_ + "'");
    }
    if (result.share_ <= 0 || result.idempotentShare_ < 0 || result.idempotentShare_ > 1) {
        fail(path, table.source(), "share must be above 0 and idempotent_share between 0 and 1");
    }
    if (bodyBytes < 0 || bodyBytes > MaxBodyBytes || deadline <= 0) {
        fail(path, table.source(), "body_bytes must be between 0 and 1048576 and deadline_ms above 0");
    }
    if (keys != "caller" && keys != "issued") {
        fail(path, table.source(), "keys must be caller or issued");
    }
    result.bodyBytes_ = static_cast<std::size_t>(bodyBytes);
    result.deadline_ = std::chrono::milliseconds(deadline);
    result.keySource_ = keys == "caller" ? KeySource::Caller : KeySource::Issued;
    return result;
}
} // namespace

auto readMix(const std::string &path) -> LoadMix
{
    toml::table file;
    try {
        file = toml::parse_file(path);
    } catch (const toml::parse_error &error) {
        fail(path, error.source(), std::string(error.description()));
    }
    LoadMix mix;
    const auto *classes = file["class"].as_array();
    if (classes == nullptr || classes->empty()) {
        throw std::runtime_error(path + ": the mix has no [[class]]");
    }
    for (const auto &node : *classes) {
        if (!node.is_table()) {
            fail(path, node.source(), "'class' must be a table");
        }
        mix.push_back(readClass(path, *node.as_table()));
    }
    return mix;
}
} // namespace Marjoramfold
