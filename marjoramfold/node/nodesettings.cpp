#include "marjoramfold/node/nodesettings.h"

#include <toml++/toml.h>

#include <charconv>
#include <fstream>
#include <limits>
#include <sstream>

namespace Marjoramfold
{
namespace
{
/// The platform's bounds are at most one day.
constexpr double MaxSeconds = 86'400;
constexpr double MillisecondsPerSecond = 1000;

/// Reads values of a table. Throws Error for a missing or invalid value.
class TableReader
{
public:
    TableReader(const toml::table &root, std::string name)
        : name_(std::move(name))
    {
        const auto *table = root[name_].as_table();
        if (table == nullptr) {
            throw Error{ErrorKind::InvalidSettings, "[" + name_ + "] is missing or no table", std::nullopt};
        }
        table_ = table;
    }

    [[nodiscard]] auto text(const char *key) const -> std::string
    {
        const auto value = (*table_)[key].value<std::string>();
        if (!value || value->empty()) {
            fail(key, "must be a non-empty string");
        }
        return *value;
    }

    [[nodiscard]] auto address(const char *key) const -> std::string
    {
        const auto value = text(key);
        const auto colon = value.rfind(':');
        std::uint16_t port = 0;
        const auto *end = value.data() + value.size();
        if (colon == std::string::npos || colon == 0) {
            fail(key, "must be HOST:PORT");
        }
        if (const auto [rest, error] = std::from_chars(value.data() + colon + 1, end, port); error != std::errc() || rest != end || port == 0) {
            fail(key, "must have a port from 1 to 65535");
        }
        return value;
    }

    [[nodiscard]] auto number(const char *key, double min, double max) const -> double
    {
        const auto value = (*table_)[key].value<double>();
        // Also false for NaN, which TOML allows.
        if (const auto inRange = value && *value >= min && *value <= max; !inRange) {
            fail(key, "must be a number from " + std::to_string(min) + " to " + std::to_string(max));
        }
        return *value;
    }

    /// Reads a duration in milliseconds.
    [[nodiscard]] auto milliseconds(const char *key) const -> std::chrono::milliseconds
    {
        return std::chrono::milliseconds(static_cast<std::int64_t>(number(key, 0, MaxSeconds * MillisecondsPerSecond)));
    }

    /// Reads a duration in seconds, which may have a fraction.
    [[nodiscard]] auto seconds(const char *key) const -> std::chrono::milliseconds
    {
        return std::chrono::milliseconds(static_cast<std::int64_t>(number(key, 0, MaxSeconds) * MillisecondsPerSecond));
    }

    /// Reads a switch that may be missing, and then is off.
    [[nodiscard]] auto optionalSwitch(const char *key) const -> bool
    {
        const auto node = (*table_)[key];
        if (!node) {
            return false;
        }
        const auto *value = node.as_boolean();
        if (value == nullptr) {
            fail(key, "must be true or false");
        }
        return value->get();
    }

private:
    [[noreturn]] auto fail(const std::string &key, const std::string &reason) const -> void
    {
        throw Error{ErrorKind::InvalidSettings, name_ + "." + key + " " + reason, std::nullopt};
    }

    std::string name_;
    const toml::table *table_ = nullptr;
};

auto readAll(const toml::table &root) -> NodeSettings
{
    constexpr double MaxCores = 1024;
    constexpr double MaxFarFactor = 1000;
    constexpr double MinDescriptors = 256;
    constexpr double MaxDescriptors = 1 << 20;
    NodeSettings settings;
    const TableReader instance(root, "instance");
    settings.name_ = instance.text("name");
    settings.zone_ = instance.text("availability_zone");
    settings.coreShare_ = instance.number("core_share", 0, MaxCores);
    settings.maxDescriptors_ = static_cast<std::size_t>(instance.number("max_descriptors", MinDescriptors, MaxDescriptors));
    const TableReader listen(root, "listen");
    settings.callerAddress_ = listen.address("callers");
    settings.readinessAddress_ = listen.address("readiness");
    settings.metricsAddress_ = listen.address("metrics");
    const TableReader store(root, "store");
    settings.storeAddress_ = store.address("address");
    const TableReader bounds(root, "bounds");
    settings.revokeBound_ = bounds.milliseconds("revoke_ms");
    settings.shutdownGrace_ = bounds.seconds("grace_s");
    auto &dispatch = settings.dispatch_;
    dispatch.maxLease_ = bounds.milliseconds("longest_lease_ms");
    dispatch.maxStopTime_ = bounds.milliseconds("stop_ms");
    dispatch.guaranteedStartDeadline_ = bounds.milliseconds("reclaim_ms");
    dispatch.remoteSlowdown_ = bounds.number("far_factor", 1, MaxFarFactor);
    if (root.contains("scheduling")) {
        const TableReader scheduling(root, "scheduling");
        dispatch.preferFastWorkers_ = scheduling.optionalSwitch("prefer_fast_workers");
        dispatch.packRacks_ = scheduling.optionalSwitch("pack_racks");
        dispatch.shareRoomByCost_ = scheduling.optionalSwitch("share_room_by_cost");
        dispatch.rejectHopeless_ = scheduling.optionalSwitch("reject_hopeless");
    }
    return settings;
}
} // namespace

auto parseNodeSettings(const std::string &text) -> Result<NodeSettings>
{
    try {
        return readAll(toml::parse(text));
    } catch (const toml::parse_error &error) {
        std::ostringstream where;
        where << "line " << error.source().begin.line << ": " << error.description();
        return Error{ErrorKind::InvalidSettings, where.str(), std::nullopt};
    } catch (const Error &error) {
        return error;
    }
}

auto loadNodeSettings(const std::string &path) -> Result<NodeSettings>
{
    std::ifstream file(path);
    if (!file) {
        return Error{ErrorKind::InvalidSettings, path + " cannot be read", std::nullopt};
    }
    std::ostringstream text;
    text << file.rdbuf();
    return parseNodeSettings(text.str());
}
} // namespace Marjoramfold
