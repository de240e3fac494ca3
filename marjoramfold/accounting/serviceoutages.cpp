#include "marjoramfold/accounting/serviceoutages.h"

#include <algorithm>

namespace Marjoramfold
{
auto ServiceOutages::leadershipClaimed(const std::string &instance, std::chrono::milliseconds now, std::chrono::milliseconds silent) -> void
{
    // A leader that was killed writes no line, so the claim tells since when it was silent.
    claims_[instance] = std::max(now - silent, leaderSince_);
}

auto ServiceOutages::leadershipBegun(const std::string &instance, std::chrono::milliseconds now) -> void
{
    auto since = leaderlessSince_.value_or(now);
    if (const auto claim = claims_.find(instance); claim != claims_.end()) {
        since = std::min(since, claim->second);
    }
    // Before the first leader of the log it is not known whether there was another one.
    if (leader_ && since < now) {
        leaderless_.push_back({since, now});
    }
    claims_.clear();
    leaderlessSince_.reset();
    leader_ = instance;
    leaderSince_ = now;
}

auto ServiceOutages::leadershipEnded(const std::string &instance, std::chrono::milliseconds now) -> void
{
    if (leader_ == instance && !leaderlessSince_) {
        leaderlessSince_ = now;
    }
}

auto ServiceOutages::storeLost(const std::string &instance, const std::string &topic, std::chrono::milliseconds now) -> void
{
    auto &store = stores_[instance];
    if (store.lostTopics_.empty()) {
        store.lostSince_ = now;
    }
    store.lostTopics_.insert(topic);
}

auto ServiceOutages::storeRegained(const std::string &instance, const std::string &topic, std::chrono::milliseconds now) -> void
{
    auto &store = stores_[instance];
    if (store.lostTopics_.erase(topic) > 0 && store.lostTopics_.empty()) {
        store.spans_.push_back({store.lostSince_, now});
    }
}

auto ServiceOutages::withoutLeader(std::chrono::milliseconds from, std::chrono::milliseconds to) const -> std::chrono::milliseconds
{
    auto sum = overlap(leaderless_, from, to);
    if (leaderlessSince_) {
        sum += overlap({{*leaderlessSince_, to}}, from, to);
    }
    return sum;
}

auto ServiceOutages::withoutStore(std::chrono::milliseconds from, std::chrono::milliseconds to) const -> std::chrono::milliseconds
{
    const auto found = leader_ ? stores_.find(*leader_) : stores_.end();
    if (found == stores_.end()) {
        return std::chrono::milliseconds(0);
    }
    auto sum = overlap(found->second.spans_, from, to);
    if (!found->second.lostTopics_.empty()) {
        sum += overlap({{found->second.lostSince_, to}}, from, to);
    }
    return sum;
}

auto ServiceOutages::overlap(const std::vector<Span> &spans, std::chrono::milliseconds from, std::chrono::milliseconds to) -> std::chrono::milliseconds
{
    std::chrono::milliseconds sum{0};
    // Spans are in the order of time, so the search from the end stops at the first one before the range.
    for (auto span = spans.rbegin(); span != spans.rend() && span->to_ > from; ++span) {
        sum += std::max(std::min(span->to_, to) - std::max(span->from_, from), std::chrono::milliseconds(0));
    }
    return sum;
}
} // namespace Marjoramfold
