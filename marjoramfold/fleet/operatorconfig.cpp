#include "marjoramfold/fleet/operatorconfig.h"

#include <algorithm>
#include <utility>

namespace Marjoramfold
{
OperatorConfig::OperatorConfig(std::uint64_t version, std::vector<QueueConfig> queues, std::vector<PoolConfig> pools, std::vector<TeamConfig> teams)
    : version_(version)
    , queues_(std::move(queues))
    , pools_(std::move(pools))
    , teams_(std::move(teams))
{
    for (std::size_t i = 0; i < queues_.size(); ++i) {
        queuesByHost_[queues_[i].host_].push_back(i);
        queuesByName_[queues_[i].name_] = i;
    }
    // Longest prefix first, so that the first match is the most specific one.
    for (auto &[host, indexes] : queuesByHost_) {
        std::sort(indexes.begin(), indexes.end(), [this](std::size_t left, std::size_t right) {
            return queues_[left].pathPrefix_.size() > queues_[right].pathPrefix_.size();
        });
    }
    for (std::size_t i = 0; i < teams_.size(); ++i) {
        guarantees_[teams_[i].id_] = teams_[i].guaranteedAccelerators_;
        for (const auto &key : teams_[i].keys_) {
            teamsByKey_[key] = i;
        }
    }
}

auto OperatorConfig::version() const -> std::uint64_t
{
    return version_;
}

auto OperatorConfig::queues() const -> const std::vector<QueueConfig> &
{
    return queues_;
}

auto OperatorConfig::pools() const -> const std::vector<PoolConfig> &
{
    return pools_;
}

auto OperatorConfig::teams() const -> const std::vector<TeamConfig> &
{
    return teams_;
}

auto OperatorConfig::findQueue(std::string_view host, std::string_view path) const -> const QueueConfig *
{
    const auto found = queuesByHost_.find(std::string(host));
    if (found == queuesByHost_.end()) {
        return nullptr;
    }
    for (const auto index : found->second) {
        if (path.starts_with(queues_[index].pathPrefix_)) {
            return &queues_[index];
        }
    }
    return nullptr;
}

auto OperatorConfig::queueNamed(const std::string &name) const -> const QueueConfig *
{
    const auto found = queuesByName_.find(name);
    return found == queuesByName_.end() ? nullptr : &queues_[found->second];
}

auto OperatorConfig::teamOfKey(const std::string &key) const -> const TeamConfig *
{
    const auto found = teamsByKey_.find(key);
    return found == teamsByKey_.end() ? nullptr : &teams_[found->second];
}

auto OperatorConfig::guaranteedAccelerators(const TeamId &team) const -> std::int64_t
{
    const auto found = guarantees_.find(team);
    return found == guarantees_.end() ? 0 : found->second;
}
} // namespace Marjoramfold
