#pragma once

#include "marjoramfold/log/logfollower.h"
#include "marjoramfold/log/records.h"
#include "marjoramfold/routing/issuedkeys.h"
#include "marjoramfold/routing/request.h"

#include <array>
#include <functional>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace Marjoramfold
{
/// Records of the stream `intents` in the order of the log, as a LogFollower reads them.
struct IntentPage {
    /// Reading begins, or begins again after records were dropped unread; see LogFollowerHooks::onBegin_.
    bool begins_ = false;
    /// When reading begins: offset of the first record that is kept.
    Offset first_ = 0;
    std::vector<FollowedRecord> records_;
};

/// The intent of an incarnation to run the request of a key. The incarnation is the intent id.
[[nodiscard]] auto makeIntent(const std::string &key, const InstanceIncarnation &writer) -> Intent;

/// Times for which caller's keys are accepted and intents remembered.
struct KeyWindow {
    std::chrono::seconds maxAge_{3'600};
    std::chrono::seconds maxAhead_{60};
    /// Largest difference between the clocks of the log and of the instances.
    std::chrono::seconds clockSlop_{60};
};

/// What the log says about a caller's key.
enum class IntentVerdict {
    /// No record for the key is known, and none can have been missed.
    Free,
    /// The first record for the key is known; see IntentTable::owner.
    Owned,
    /// Records for the key may have been missed, so the key cannot be decided.
    NotCovered,
};

/// Which incarnation may run the request of a caller's key: the one with the first intent in log order.
///
/// Every reader derives the same table from the same records. Only times of the log decide about acceptance, so that clocks of
/// the instances cannot make readers differ.
class IntentTable
{
public:
    explicit IntentTable(KeyWindow window);

    /// Only keys for which the filter is true are kept: each traffic thread keeps the keys that it owns.
    auto setFilter(std::function<bool(const std::string &)> filter) -> void;

    /// Applies records of the stream. Returns the keys that they name and that pass the filter.
    auto apply(const IntentPage &page, WallTime now) -> std::vector<std::string>;

    /// What the log says about a key so far.
    [[nodiscard]] auto verdict(const std::string &key, WallTime keyTime) const -> IntentVerdict;

    /// The incarnation that may run the request of a key.
    [[nodiscard]] auto owner(const std::string &key) const -> std::optional<InstanceIncarnation>;

    /// Number of keys remembered.
    [[nodiscard]] auto size() const -> std::size_t;

private:
    /// SHA-256 of a key, cut to 128 bits: an hour of keys has to fit into memory.
    using KeyHash = std::array<std::uint64_t, 2>;
    struct HashOfKeyHash {
        auto operator()(const KeyHash &hash) const noexcept -> std::size_t
        {
            return hash[0];
        }
    };
    struct Expiry {
        WallTime time_;
        KeyHash key_{};
    };

    [[nodiscard]] static auto hashOf(const std::string &key) -> KeyHash;
    auto noteCoverage(const IntentPage &page, WallTime now) -> void;
    auto applyIntent(const Intent &intent, const InstanceId &instance, WallTime recordTime, std::vector<std::string> &named) -> void;
    auto ownerIndex(const InstanceIncarnation &writer) -> std::uint32_t;
    [[nodiscard]] auto isCovered(WallTime keyTime) const -> bool;
    auto prune(WallTime logTime) -> void;

    /// Owner of a key whose first record may have been missed.
    static constexpr std::uint32_t UnknownOwner = UINT32_MAX;

    KeyWindow window_;
    std::function<bool(const std::string &)> filter_;
    std::unordered_map<KeyHash, std::uint32_t, HashOfKeyHash> owners_;
    std::vector<InstanceIncarnation> writers_;
    /// A heap with the earliest expiry in front.
    std::vector<Expiry> expiries_;
    /// Every record since this time was read; nothing before reading began.
    std::optional<WallTime> coveredFrom_;
    /// The time of the next record tells how far back the records reach.
    bool awaitsFirstRecord_ = false;
};
} // namespace Marjoramfold
