#pragma once

#include "marjoramfold/routing/request.h"
#include "marjoramfold/rules/ruleset.h"

#include <array>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <utility>

namespace Marjoramfold
{
/// Limits of the queues of one traffic thread.
struct RequestQueueOptions {
    /// Requests queued per team and priority.
    std::size_t maxPerTeamAndPriority_ = 1'024;
    /// Requests in all queues.
    std::size_t maxTotal_ = 16'384;
};

/// Bounded queues per team and priority, with weighted fair queuing between teams and strict priority within a team.
class RequestQueues
{
public:
    explicit RequestQueues(RequestQueueOptions options);

    /// Sets the weights of the teams from their priority rules.
    auto applyRules(const RuleSet &rules) -> void;

    /// Appends a request; false when its queue or all queues together are full.
    [[nodiscard]] auto push(const TeamId &team, PriorityClass priority, RequestNumber number) -> bool;

    /// Returns a request to the front of its queue. Ignores the limits, since the request was admitted before.
    auto pushFront(const TeamId &team, PriorityClass priority, RequestNumber number) -> void;

    /// Removes and returns the next request; empty when none is queued.
    [[nodiscard]] auto pop() -> std::optional<RequestNumber>;

    /// Removes a request that is queued.
    auto remove(const TeamId &team, PriorityClass priority, RequestNumber number) -> void;

    /// Number of requests in all queues.
    [[nodiscard]] auto size() const -> std::size_t;

    /// True when push() would accept a request of this team and priority.
    [[nodiscard]] auto hasRoom(const TeamId &team, PriorityClass priority) const -> bool;

private:
    static constexpr std::size_t PriorityCount = 3;

    struct TeamQueues {
        /// Index: priority class, lowest first.
        std::array<std::deque<RequestNumber>, PriorityCount> queues_;
        std::size_t size_ = 0;
        double weight_ = 0;
        /// Service received so far, divided by the weight.
        double virtualTime_ = 0;
    };

    auto queuesOf(const TeamId &team) -> TeamQueues &;
    auto activate(const TeamId &team, TeamQueues &queues) -> void;
    auto deactivate(const TeamId &team, TeamQueues &queues) -> void;
    [[nodiscard]] auto weightOf(const TeamId &team) const -> double;

    RequestQueueOptions options_;
    std::map<TeamId, TeamQueues> teams_;
    std::map<TeamId, double> weights_;
    /// Teams with queued requests, by virtual time.
    std::set<std::pair<double, TeamId>> activeTeams_;
    /// Virtual time of the team that was served last.
    double systemVirtualTime_ = 0;
    std::size_t size_ = 0;
};
} // namespace Marjoramfold
