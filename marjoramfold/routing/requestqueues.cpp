#include "marjoramfold/routing/requestqueues.h"

#include <algorithm>

namespace Marjoramfold
{
namespace
{
/// Weight of a team without a priority rule. Levels are added to it, so that no team starves.
constexpr double BaseWeight = 10.0;
} // namespace

RequestQueues::RequestQueues(RequestQueueOptions options)
    : options_(options)
{
}

auto RequestQueues::applyRules(const RuleSet &rules) -> void
{
    weights_.clear();
    for (const auto &[team, rule] : rules.priorities_) {
        weights_[team] = BaseWeight + std::max(0, rule.level_);
    }
    for (auto &[team, queues] : teams_) {
        queues.weight_ = weightOf(team);
    }
}

auto RequestQueues::push(const TeamId &team, PriorityClass priority, RequestNumber number) -> bool
{
    auto &queues = queuesOf(team);
    auto &queue = queues.queues_[static_cast<std::size_t>(priority)];
    if (queue.size() >= options_.maxPerTeamAndPriority_ || size_ >= options_.maxTotal_) {
        return false;
    }
    activate(team, queues);
    queue.push_back(number);
    ++queues.size_;
    ++size_;
    return true;
}

auto RequestQueues::pushFront(const TeamId &team, PriorityClass priority, RequestNumber number) -> void
{
    auto &queues = queuesOf(team);
    // Refunds the virtual time that pop() charged; the next pop() charges it again.
    deactivate(team, queues);
    queues.virtualTime_ -= 1.0 / queues.weight_;
    activeTeams_.emplace(queues.virtualTime_, team);
    queues.queues_[static_cast<std::size_t>(priority)].push_front(number);
    ++queues.size_;
    ++size_;
}

auto RequestQueues::pop() -> std::optional<RequestNumber>
{
    if (activeTeams_.empty()) {
        return std::nullopt;
    }
    const auto team = activeTeams_.begin()->second;
    auto &queues = teams_.at(team);
    activeTeams_.erase(activeTeams_.begin());
    systemVirtualTime_ = queues.virtualTime_;
    const auto queue = std::find_if(queues.queues_.rbegin(), queues.queues_.rend(), [](const auto &candidate) {
        return !candidate.empty();
    });
    const auto number = queue->front();
    queue->pop_front();
    --queues.size_;
    --size_;
    queues.virtualTime_ += 1.0 / queues.weight_;
    if (queues.size_ > 0) {
        activeTeams_.emplace(queues.virtualTime_, team);
    }
    return number;
}

auto RequestQueues::remove(const TeamId &team, PriorityClass priority, RequestNumber number) -> void
{
    const auto found = teams_.find(team);
    if (found == teams_.end()) {
        return;
    }
    auto &queues = found->second;
    auto &queue = queues.queues_[static_cast<std::size_t>(priority)];
    const auto position = std::find(queue.begin(), queue.end(), number);
    if (position == queue.end()) {
        return;
    }
    queue.erase(position);
    --queues.size_;
    --size_;
    if (queues.size_ == 0) {
        deactivate(team, queues);
    }
}

auto RequestQueues::size() const -> std::size_t
{
    return size_;
}

auto RequestQueues::hasRoom(const TeamId &team, PriorityClass priority) const -> bool
{
    if (size_ >= options_.maxTotal_) {
        return false;
    }
    const auto found = teams_.find(team);
    return found == teams_.end() || found->second.queues_[static_cast<std::size_t>(priority)].size() < options_.maxPerTeamAndPriority_;
}

auto RequestQueues::queuesOf(const TeamId &team) -> TeamQueues &
{
    auto &queues = teams_[team];
    if (queues.weight_ == 0) {
        queues.weight_ = weightOf(team);
    }
    return queues;
}

auto RequestQueues::activate(const TeamId &team, TeamQueues &queues) -> void
{
    if (queues.size_ == 0) {
        // A team gets no credit for the time in which it had no requests.
        queues.virtualTime_ = std::max(queues.virtualTime_, systemVirtualTime_);
        activeTeams_.emplace(queues.virtualTime_, team);
    }
}

auto RequestQueues::deactivate(const TeamId &team, TeamQueues &queues) -> void
{
    activeTeams_.erase({queues.virtualTime_, team});
}

auto RequestQueues::weightOf(const TeamId &team) const -> double
{
    const auto found = weights_.find(team);
    return found == weights_.end() ? BaseWeight : found->second;
}
} // namespace Marjoramfold
