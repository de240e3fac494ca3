#pragma once

#include <chrono>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace Marjoramfold
{
/// Times without a leader, and times in which an instance could not read from the store, in the order of the log.
class ServiceOutages
{
public:
    /// An instance claims leadership; `silent` is the age of the former leader's last sign.
    auto leadershipClaimed(const std::string &instance, std::chrono::milliseconds now, std::chrono::milliseconds silent) -> void;

    /// An instance has loaded the state and leads.
    auto leadershipBegun(const std::string &instance, std::chrono::milliseconds now) -> void;

    /// An instance no longer leads. Ignored for others than the leader.
    auto leadershipEnded(const std::string &instance, std::chrono::milliseconds now) -> void;

    auto storeLost(const std::string &instance, const std::string &topic, std::chrono::milliseconds now) -> void;
    auto storeRegained(const std::string &instance, const std::string &topic, std::chrono::milliseconds now) -> void;

    /// Part of a time span without a leader.
    [[nodiscard]] auto withoutLeader(std::chrono::milliseconds from, std::chrono::milliseconds to) const -> std::chrono::milliseconds;

    /// Part of a time span in which the present leader could not read from the store.
    [[nodiscard]] auto withoutStore(std::chrono::milliseconds from, std::chrono::milliseconds to) const -> std::chrono::milliseconds;

private:
    struct Span {
        std::chrono::milliseconds from_{0};
        std::chrono::milliseconds to_{0};
    };
    struct StoreAccess {
        std::set<std::string> lostTopics_;
        std::chrono::milliseconds lostSince_{0};
        std::vector<Span> spans_;
    };

    [[nodiscard]] static auto overlap(const std::vector<Span> &spans, std::chrono::milliseconds from, std::chrono::milliseconds to)
        -> std::chrono::milliseconds;

    std::optional<std::string> leader_;
    std::chrono::milliseconds leaderSince_{0};
    /// Since when the leader was silent, by the claims of the instances that do not lead yet. A claim may fail.
    std::map<std::string, std::chrono::milliseconds> claims_;
    /// Start of the present time without a leader; empty while there is one.
    std::optional<std::chrono::milliseconds> leaderlessSince_;
    std::vector<Span> leaderless_;
    std::map<std::string, StoreAccess> stores_;
};
} // namespace Marjoramfold
