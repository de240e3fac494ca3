#include "marjoramfold/entry/entrysettings.h"

#include "marjoramfold/entry/settingsreader.h"

#include <algorithm>
#include <array>
#include <fstream>
#include <functional>
#include <sstream>

namespace Marjoramfold
{
namespace
{
constexpr std::int64_t MaxPort = 65'535;
// A key id is one byte of the message envelope.
constexpr std::int64_t MaxKeyId = 255;
// Shorter keys can be guessed.
constexpr std::size_t MinSecretBytes = 16;

// Intents are kept for one hour, so caller-supplied keys need a longer retention than that; the minimum is lower for tests.
constexpr std::int64_t MinLogRetentionSeconds = 10;

using Problems = std::vector<std::string>;

/// Calls `read` with a reader of the table `name`. A missing table is a problem if required, else it is read as empty.
auto readTable(const toml::table &root, std::string_view name, bool required, Problems &problems, const std::function<void(SettingsReader &)> &read) -> void
{
    const auto *node = root.get(name);
    const toml::table empty;
    if (node != nullptr && !node->is_table()) {
        problems.push_back(std::string(name) + " must be a table");
        return;
    }
    if (node == nullptr && required) {
        problems.push_back("table [" + std::string(name) + "] is missing");
        return;
    }
    SettingsReader reader(node == nullptr ? empty : *node->as_table(), std::string(name) + ".", problems);
    read(reader);
    reader.finish();
}

/// Calls `read` with a reader for each table in the array `name`.
auto readTables(const toml::table &root, std::string_view name, Problems &problems, const std::function<void(SettingsReader &)> &read) -> void
{
    const auto *node = root.get(name);
    if (node == nullptr) {
        return;
    }
    const auto *array = node->as_array();
    if (array == nullptr) {
        problems.push_back(std::string(name) + " must be an array of tables");
        return;
    }
    for (std::size_t i = 0; i < array->size(); ++i) {
        const auto *table = array->get(i)->as_table();
        const auto prefix = std::string(name) + "[" + std::to_string(i) + "].";
        if (table == nullptr) {
            problems.push_back(prefix + " must be a table");
            continue;
        }
        SettingsReader reader(*table, prefix, problems);
        read(reader);
        reader.finish();
    }
}

auto hexDigit(char c) -> int
{
    if (c >= '0' && c <= '9') {
        return c - '0';
    }
    if (c >= 'a' && c <= 'f') {
        return c - 'a' + 10;
    }
    return -1;
}

/// Decodes lower-case hexadecimal text; empty if it is malformed.
auto fromHex(const std::string &text) -> std::string
{
    std::string bytes;
    if (text.size() % 2 != 0) {
        return bytes;
    }
    for (std::size_t i = 0; i < text.size(); i += 2) {
        const auto high = hexDigit(text[i]);
        const auto low = hexDigit(text[i + 1]);
        if (high < 0 || low < 0) {
            return {};
        }
        bytes.push_back(static_cast<char>(high * 16 + low));
    }
    return bytes;
}

auto readInstance(SettingsReader &reader, EntrySettings &settings) -> void
{
    settings.id_ = InstanceId(reader.text("id"));
    settings.zone_ = AvailabilityZoneId(reader.text("availability_zone"));
    settings.spanFile_ = reader.optionalText("span_file");
}

auto readListen(SettingsReader &reader, EntrySettings &settings) -> void
{
    settings.listenAddress_ = reader.text("address");
    if (!settings.listenAddress_.empty() && !isIpAddress(settings.listenAddress_)) {
        reader.report("address", "must be an IPv4 address, not '" + settings.listenAddress_ + "'");
    }
    settings.httpPort_ = static_cast<std::uint16_t>(reader.number("http_port", 1, MaxPort, std::nullopt));
    settings.peerPort_ = static_cast<std::uint16_t>(reader.number("peer_port", 1, MaxPort, std::nullopt));
    if (settings.httpPort_ == settings.peerPort_) {
        reader.report("peer_port", "must differ from http_port");
    }
}

auto readLimits(SettingsReader &reader, EntryLimits &limits) -> void
{
    limits.trafficThreads_ = static_cast<int>(reader.number("traffic_threads", 1, 16, limits.trafficThreads_));
    limits.maxQueuedPerTeam_ = static_cast<int>(reader.number("max_queued_per_team", 1, 100'000, limits.maxQueuedPerTeam_));
    limits.slotsPerTarget_ = static_cast<int>(reader.number("slots_per_target", 1, 1'000, limits.slotsPerTarget_));
    limits.connectionsPerTarget_ = static_cast<int>(reader.number("connections_per_target", 1, 10'000, limits.connectionsPerTarget_));
    limits.drainTimeout_ = std::chrono::milliseconds(reader.number("drain_timeout_ms", 0, 600'000, limits.drainTimeout_.count()));
}

auto readKey(SettingsReader &reader, EntrySettings &settings) -> void
{
    PeerKey key;
    key.id_ = static_cast<std::uint32_t>(reader.number("id", 1, MaxKeyId, std::nullopt));
    const auto hex = reader.text("secret");
    key.secret_ = fromHex(hex);
    if (!hex.empty() && key.secret_.size() < MinSecretBytes) {
        reader.report("secret", "must be at least 32 lower-case hexadecimal digits");
    }
    const auto sameId = [&key](const PeerKey &other) {
        return other.id_ == key.id_;
    };
    if (std::any_of(settings.keys_.begin(), settings.keys_.end(), sameId)) {
        reader.report("id", "is used by another key");
    }
    settings.keys_.push_back(std::move(key));
}

auto checkSigningKey(const EntrySettings &settings, Problems &problems) -> void
{
    const auto signs = [&settings](const PeerKey &key) {
        return key.id_ == settings.signingKey_;
    };
    if (std::none_of(settings.keys_.begin(), settings.keys_.end(), signs)) {
        problems.emplace_back("peers.signing_key is not the id of any [[key]] entry");
    }
}

auto checkRootKeys(const toml::table &root, Problems &problems) -> void
{
    constexpr std::array<std::string_view, 7> Known{"instance", "listen", "platform", "peers", "peer", "key", "limits"};
    for (const auto &[key, node] : root) {
        if (std::find(Known.begin(), Known.end(), key.str()) == Known.end()) {
            problems.push_back(std::string(key.str()) + " is not a known key");
        }
    }
}

auto joinProblems(const std::string &path, const Problems &problems) -> std::string
{
    std::string message;
    for (const auto &problem : problems) {
        message += (message.empty() ? "" : "\n") + path + ": " + problem;
    }
    return message;
}
} // namespace

auto parseEntrySettings(const std::string &text, const std::string &path) -> Result<EntrySettings>
{
    toml::table root;
    try {
        root = toml::parse(text, path);
    } catch (const toml::parse_error &error) {
        const auto &at = error.source().begin;
        const auto where = path + ":" + std::to_string(at.line) + ":" + std::to_string(at.column);
        return Error{ErrorKind::InvalidSettings, where + ": " + std::string(error.description()), std::nullopt};
    }
    EntrySettings settings;
    Problems problems;
    checkRootKeys(root, problems);
    readTable(root, "instance", true, problems, [&](SettingsReader &reader) {
        readInstance(reader, settings);
    });
    readTable(root, "listen", true, problems, [&](SettingsReader &reader) {
        readListen(reader, settings);
    });
    readTable(root, "platform", true, problems, [&](SettingsReader &reader) {
        settings.logAddress_ = reader.address("log");
        settings.instanceListAddress_ = reader.address("instance_list");
        settings.logRetention_ = std::chrono::seconds(reader.number("log_retention_s", MinLogRetentionSeconds, 31'536'000, 86'400));
    });
    readTable(root, "peers", true, problems, [&](SettingsReader &reader) {
        settings.signingKey_ = static_cast<std::uint32_t>(reader.number("signing_key", 1, MaxKeyId, std::nullopt));
    });
    readTable(root, "limits", false, problems, [&](SettingsReader &reader) {
        readLimits(reader, settings.limits_);
    });
    readTables(root, "peer", problems, [&](SettingsReader &reader) {
        settings.peers_.push_back({InstanceId(reader.text("id")), AvailabilityZoneId(reader.text("availability_zone")), reader.address("address")});
    });
    readTables(root, "key", problems, [&](SettingsReader &reader) {
        readKey(reader, settings);
    });
    checkSigningKey(settings, problems);
    if (!problems.empty()) {
        return Error{ErrorKind::InvalidSettings, joinProblems(path, problems), std::nullopt};
    }
    return settings;
}

auto loadEntrySettings(const std::string &path) -> Result<EntrySettings>
{
    std::ifstream file(path);
    if (!file) {
        return Error{ErrorKind::InvalidSettings, path + ": cannot be read", std::nullopt};
    }
    std::ostringstream text;
    text << file.rdbuf();
    return parseEntrySettings(text.str(), path);
}
} // namespace Marjoramfold
