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
/// Records of the stream `intents` in log order, as a LogFollower reads them.
struct IntentPage {
    /// True when reading starts, or restarts after records were dropped unread; see LogFollowerHooks::onBegin_.
    bool begins_ = false;
    /// Offset of the first retained record; valid when begins_ is set.
    Offset first_ = 0;
    std::vector<FollowedRecord> records_;
};

/// The intent of an incarnation to execute the request of a key; its id is the incarnation number.
[[nodiscard]] auto makeIntent(const std::string &key, const InstanceIncarnation &writer) -> Intent;

/// Time window in which keys made by callers are accepted and their intents are kept.
struct KeyWindow {
    std::chrono::seconds maxAge_{3'600};
    std::chrono::seconds maxAhead_{60};
    /// Between the clocks of the log and of the instances.
    std::chrono::seconds maxClockSkew_{60};
};

/// Ownership of a caller's key according to the log.
enum class KeyOwnership {
    /// No record for the key was read, and none can have been missed.
    Unclaimed,
    /// The first record for the key was read; see IntentTable::owner.
    Owned,
    /// Records for the key may have been missed.
    Undetermined,
};

/// Finds the incarnation that may execute the request of a caller's key: the one with the first intent in log order.
///
/// Every reader derives the same table from the same records. Intents are accepted by their timestamps in the log only, so that
/// clock skew between instances cannot make readers differ.
class IntentTable
{
public:
    explicit IntentTable(KeyWindow window);

    /// Keeps only keys for which the filter returns true: each traffic thread keeps the keys that it owns.
    auto setFilter(std::function<bool(const std::string &)> filter) -> void;

    /// Applies records of the stream and returns their keys that pass the filter.
    auto apply(const IntentPage &page, WallTime now) -> std::vector<std::string>;

    /// Ownership of a key according to the records applied so far.
    [[nodiscard]] auto ownershipOf(const std::string &key, WallTime keyTime) const -> KeyOwnership;

    /// The incarnation that may execute the request of a key; empty when it is not known.
    [[nodiscard]] auto owner(const std::string &key) const -> std::optional<InstanceIncarnation>;

    /// Number of keys in the table.
    [[nodiscard]] auto size() const -> std::size_t;

private:
    /// SHA-256 of a key, truncated to 128 bits so that an hour of keys fits into memory.
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
    auto updateCoverage(const IntentPage &page, WallTime now) -> void;
    auto applyIntent(const Intent &intent, const InstanceId &instance, WallTime recordTime, std::vector<std::string> &affectedKeys) -> void;
    auto ownerIndex(const InstanceIncarnation &writer) -> std::uint32_t;
    [[nodiscard]] auto isCovered(WallTime keyTime) const -> bool;
    auto prune(WallTime logTime) -> void;

    /// Index for a key whose first record may have been missed.
    static constexpr std::uint32_t UnknownOwner = UINT32_MAX;

    KeyWindow window_;
    std::function<bool(const std::string &)> filter_;
    /// Indexes into writers_.
    std::unordered_map<KeyHash, std::uint32_t, HashOfKeyHash> owners_;
    std::vector<InstanceIncarnation> writers_;
    /// Min-heap by expiry time.
    std::vector<Expiry> expiries_;
    /// Every record since this time was read; empty before the first read.
    std::optional<WallTime> coverageStart_;
    /// True while the next record read has to extend coverageStart_ back to its own time.
    bool firstRecordPending_ = false;
};
} // namespace Marjoramfold
