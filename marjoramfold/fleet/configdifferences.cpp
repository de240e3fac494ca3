#include "marjoramfold/fleet/configdifferences.h"

#include <fmt/format.h>

#include <algorithm>
#include <map>
#include <set>
#include <utility>

namespace Marjoramfold
{
namespace
{
/// Named values of one entry, as text.
using EntryValues = std::vector<std::pair<std::string, std::string>>;

/// Adds the differences of one kind of entry. A later entry takes the place of an earlier one of the same name, as in lookups.
auto addDifferences(const std::string &kind,
                    const std::map<std::string, EntryValues> &before,
                    const std::map<std::string, EntryValues> &after,
                    std::vector<std::string> &differences) -> void
{
    for (const auto &[name, values] : before) {
        const auto found = after.find(name);
        if (found == after.end()) {
            differences.push_back(fmt::format("{} '{}' is removed", kind, name));
            continue;
        }
        for (std::size_t i = 0; i < values.size(); ++i) {
            if (values[i].second != found->second[i].second) {
                differences.push_back(fmt::format("{} '{}': {} changes from {} to {}", kind, name, values[i].first, values[i].second, found->second[i].second));
            }
        }
    }
    for (const auto &[name, values] : after) {
        if (!before.contains(name)) {
            differences.push_back(fmt::format("{} '{}' is added", kind, name));
        }
    }
}

auto queuesOf(const OperatorConfig &config) -> std::map<std::string, EntryValues>
{
    std::map<std::string, EntryValues> entries;
    for (const auto &queue : config.queues()) {
        entries[queue.name_] = {{"host", "'" + queue.host_ + "'"},
                                {"path prefix", "'" + queue.pathPrefix_ + "'"},
                                {"pool", "'" + queue.pool_ + "'"},
                                {"priority", std::to_string(queue.priority_)},
                                {"maximum number of attempts", std::to_string(queue.maxAttempts_)},
                                {"stretch", fmt::format("{}", queue.stretch_)},
                                {"target latency", fmt::format("{} ms", queue.targetLatency_.count())},
                                {"public access", queue.public_ ? "yes" : "no"},
                                {"external check of workers", queue.requiresAdmissionCheck_ ? "yes" : "no"}};
    }
    return entries;
}

auto poolsOf(const OperatorConfig &config) -> std::map<std::string, EntryValues>
{
    std::map<std::string, EntryValues> entries;
    for (const auto &pool : config.pools()) {
        entries[pool.name_] = {{"capacity enforced by workers", pool.enforcesCapacity_ ? "yes" : "no"}, {"powered off", pool.poweredOff_ ? "yes" : "no"}};
    }
    return entries;
}

auto teamsOf(const OperatorConfig &config) -> std::map<std::string, EntryValues>
{
    std::map<std::string, EntryValues> entries;
    for (const auto &team : config.teams()) {
        entries[team.id_.value()] = {{"guaranteed accelerators", std::to_string(team.guaranteedAccelerators_)}};
    }
    return entries;
}

auto keysOf(const OperatorConfig &config) -> std::map<std::string, std::set<std::string>>
{
    std::map<std::string, std::set<std::string>> keys;
    for (const auto &team : config.teams()) {
        keys[team.id_.value()].insert(team.keys_.begin(), team.keys_.end());
    }
    return keys;
}

/// Number of keys that are in the first set only.
auto countMissing(const std::set<std::string> &keys, const std::set<std::string> &others) -> std::ptrdiff_t
{
    return std::count_if(keys.begin(), keys.end(), [&others](const std::string &key) {
        return !others.contains(key);
    });
}

/// Adds the numbers of keys that teams gain and lose. Keys are secrets, so they are not named.
auto addKeyDifferences(const OperatorConfig &before, const OperatorConfig &after, std::vector<std::string> &differences) -> void
{
    const auto former = keysOf(before);
    for (const auto &[team, keys] : keysOf(after)) {
        const auto found = former.find(team);
        if (found == former.end()) {
            continue;
        }
        const auto added = countMissing(keys, found->second);
        const auto removed = countMissing(found->second, keys);
        if (added + removed > 0) {
            differences.push_back(fmt::format("team '{}': {} API keys are added, {} are removed", team, added, removed));
        }
    }
}
} // namespace

auto describeDifferences(const OperatorConfig &before, const OperatorConfig &after) -> std::vector<std::string>
{
    std::vector<std::string> differences;
    if (before.version() != after.version()) {
        differences.push_back(fmt::format("the version changes from {} to {}", before.version(), after.version()));
    }
    addDifferences("queue", queuesOf(before), queuesOf(after), differences);
    addDifferences("pool", poolsOf(before), poolsOf(after), differences);
    addDifferences("team", teamsOf(before), teamsOf(after), differences);
    addKeyDifferences(before, after, differences);
    return differences;
}
} // namespace Marjoramfold
