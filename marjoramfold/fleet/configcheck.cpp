#include "marjoramfold/fleet/configcheck.h"

#include <algorithm>
#include <map>
#include <unordered_map>
#include <utility>

namespace Marjoramfold
{
namespace
{
/// A job's ID has this many hexadecimal digits and follows the path prefix of its queue.
constexpr std::size_t JobIdDigits = 16;

/// Longer names are cut off, since a finding for each of many entries may repeat them.
constexpr std::size_t MaxNameBytes = 128;

auto quoted(const std::string &name) -> std::string
{
    return name.size() > MaxNameBytes ? "'" + name.substr(0, MaxNameBytes) + "...'" : "'" + name + "'";
}

auto isPathCharacter(char c) -> bool
{
    return c > ' ' && c < '\x7f' && c != '?' && c != '#';
}

auto isHeaderCharacter(char c) -> bool
{
    return c > ' ' && c < '\x7f';
}

auto isHexDigit(char c) -> bool
{
    return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'f');
}

/// Checks one configuration.
class ConfigChecker
{
public:
    explicit ConfigChecker(const OperatorConfig &config)
        : config_(config)
    {
    }

    auto run(std::optional<std::int64_t> accelerators) -> std::vector<ConfigFinding>
    {
        checkPools();
        checkRoutes();
        checkQueues();
        checkTeams();
        checkGuarantees(accelerators);
        return std::move(findings_);
    }

private:
    auto add(ConfigFindingKind kind, ConfigList list, std::size_t index, const std::string &message) -> void
    {
        std::string entry;
        switch (list) {
        case ConfigList::Queues:
            entry = "queue " + quoted(config_.queues()[index].name_);
            break;
        case ConfigList::Pools:
            entry = "pool " + quoted(config_.pools()[index].name_);
            break;
        case ConfigList::Teams:
            entry = "team " + quoted(config_.teams()[index].id_.value());
            break;
        }
        findings_.push_back({kind, list, index, std::move(entry), message});
    }

    /// Checks the name of an entry; the later one of two with the same name is in force.
    auto checkName(ConfigList list, std::size_t index, const std::string &name, std::unordered_map<std::string, std::size_t> &known) -> void
    {
        if (name.empty()) {
            add(ConfigFindingKind::Error, list, index, "the name is empty");
        }
        if (!known.emplace(name, index).second) {
            add(ConfigFindingKind::Error, list, index, "an earlier entry has the same name; this one takes its place in lookups by name");
        }
    }

    auto checkPools() -> void
    {
        for (std::size_t i = 0; i < config_.pools().size(); ++i) {
            checkName(ConfigList::Pools, i, config_.pools()[i].name_, poolsByName_);
        }
    }

    auto checkRoutes() -> void
    {
        std::map<std::pair<std::string, std::string>, std::size_t> routes;
        for (std::size_t i = 0; i < config_.queues().size(); ++i) {
            const auto &queue = config_.queues()[i];
            if (queue.host_.empty()) {
                add(ConfigFindingKind::NeverMatches, ConfigList::Queues, i, "the host is empty");
            }
            if (!queue.pathPrefix_.empty() && !queue.pathPrefix_.starts_with('/')) {
                add(ConfigFindingKind::NeverMatches, ConfigList::Queues, i, "the path prefix does not begin with '/', as every path does");
            } else if (!std::all_of(queue.pathPrefix_.begin(), queue.pathPrefix_.end(), isPathCharacter)) {
                add(ConfigFindingKind::NeverMatches, ConfigList::Queues, i, "the path prefix has a character that no path has");
            }
            if (const auto [found, isNew] = routes.emplace(std::pair(queue.host_, queue.pathPrefix_), i); !isNew) {
                add(ConfigFindingKind::NeverMatches,
                    ConfigList::Queues,
                    i,
                    "queue " + quoted(config_.queues()[found->second].name_) + " has the same host and path prefix; only one of them gets the requests");
            }
        }
        for (const auto &[route, index] : routes) {
            checkTakenIds(routes, route, index);
        }
    }

    /// Finds a queue whose prefix is that of another one and the first digits of a job ID: it takes the other one's requests for such IDs.
    auto checkTakenIds(const std::map<std::pair<std::string, std::string>, std::size_t> &routes,
                       const std::pair<std::string, std::string> &route,
                       std::size_t index) -> void
    {
        auto shorter = route;
        auto &prefix = shorter.second;
        for (std::size_t digits = 0; digits < JobIdDigits && !prefix.empty() && isHexDigit(prefix.back()); ++digits) {
            prefix.pop_back();
            if (const auto found = routes.find(shorter); found != routes.end()) {
                add(ConfigFindingKind::NeverMatches,
                    ConfigList::Queues,
                    found->second,
                    "requests for job IDs that begin with '" + route.second.substr(prefix.size()) + "' match the longer path prefix of queue "
                        + quoted(config_.queues()[index].name_) + " and are refused there");
                return;
            }
        }
    }

    auto checkQueues() -> void
    {
        std::unordered_map<std::string, std::size_t> known;
        for (std::size_t i = 0; i < config_.queues().size(); ++i) {
            const auto &queue = config_.queues()[i];
            checkName(ConfigList::Queues, i, queue.name_, known);
            if (const auto pool = poolsByName_.find(queue.pool_); pool == poolsByName_.end()) {
                add(ConfigFindingKind::Error, ConfigList::Queues, i, "its pool " + quoted(queue.pool_) + " is not in the configuration");
            } else if (config_.pools()[pool->second].poweredOff_) {
                add(ConfigFindingKind::Contradiction, ConfigList::Queues, i, "the machines of its pool " + quoted(queue.pool_) + " are powered off");
            }
            if (queue.requiresAdmissionCheck_) {
                add(ConfigFindingKind::Error, ConfigList::Queues, i, "it requires an external check of workers, which is not supported; its jobs do not start");
            }
            if (queue.stretch_ < 1.0 && queue.targetLatency_ == std::chrono::milliseconds(0)) {
                add(ConfigFindingKind::Contradiction,
                    ConfigList::Queues,
                    i,
                    "the stretch is below 1 and the target latency is 0, so that every job is late even if it never waits");
            }
        }
    }

    auto checkTeams() -> void
    {
        std::unordered_map<std::string, std::size_t> known;
        std::unordered_map<std::string, std::size_t> owners;
        for (std::size_t i = 0; i < config_.teams().size(); ++i) {
            const auto &team = config_.teams()[i];
            checkName(ConfigList::Teams, i, team.id_.value(), known);
            if (team.keys_.empty()) {
                add(ConfigFindingKind::NeverMatches, ConfigList::Teams, i, "it has no API key, so that no caller belongs to it");
            }
            for (std::size_t k = 0; k < team.keys_.size(); ++k) {
                checkKey(i, k, owners);
            }
        }
    }

    /// Checks a key of a team, which is named by its position since it is a secret.
    auto checkKey(std::size_t team, std::size_t position, std::unordered_map<std::string, std::size_t> &owners) -> void
    {
        const auto &key = config_.teams()[team].keys_[position];
        const auto name = "API key " + std::to_string(position + 1);
        if (key.empty() || !std::all_of(key.begin(), key.end(), isHeaderCharacter)) {
            add(ConfigFindingKind::NeverMatches, ConfigList::Teams, team, name + " is empty or has a character that no header has");
            return;
        }
        const auto [owner, isNew] = owners.emplace(key, team);
        if (isNew) {
            return;
        }
        if (owner->second == team) {
            add(ConfigFindingKind::Error, ConfigList::Teams, team, name + " is listed twice");
        } else {
            add(ConfigFindingKind::Error,
                ConfigList::Teams,
                team,
                name + " is also a key of team " + quoted(config_.teams()[owner->second].id_.value()) + "; its callers count as this team");
        }
    }

    auto checkGuarantees(std::optional<std::int64_t> accelerators) -> void
    {
        const auto hasUrgentQueue = std::any_of(config_.queues().begin(), config_.queues().end(), [](const QueueConfig &queue) {
            return queue.priority_ == 0;
        });
        std::int64_t sum = 0;
        for (std::size_t i = 0; i < config_.teams().size(); ++i) {
            const auto guaranteed = config_.teams()[i].guaranteedAccelerators_;
            sum += guaranteed;
            if (guaranteed > 0 && !hasUrgentQueue) {
                add(ConfigFindingKind::Contradiction, ConfigList::Teams, i, "it has guaranteed accelerators, but no queue has priority 0, to which they apply");
            }
        }
        if (accelerators && sum > *accelerators) {
            findings_.push_back({ConfigFindingKind::Contradiction,
                                 std::nullopt,
                                 0,
                                 "configuration",
                                 "the teams are guaranteed " + std::to_string(sum) + " accelerators, and there are " + std::to_string(*accelerators)});
        }
    }

    const OperatorConfig &config_;
    std::vector<ConfigFinding> findings_;
    std::unordered_map<std::string, std::size_t> poolsByName_;
};
} // namespace

auto nameOf(ConfigFindingKind kind) -> std::string_view
{
    switch (kind) {
    case ConfigFindingKind::Error:
        return "error";
    case ConfigFindingKind::NeverMatches:
        return "never_matches";
    case ConfigFindingKind::Contradiction:
        return "contradiction";
    }
    return "unknown";
}

auto checkConfig(const OperatorConfig &config, std::optional<std::int64_t> accelerators) -> std::vector<ConfigFinding>
{
    return ConfigChecker(config).run(accelerators);
}
} // namespace Marjoramfold
