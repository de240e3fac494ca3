#include "marjoramfold/routing/intenttable.h"

#include <openssl/sha.h>

#include <algorithm>
#include <charconv>
#include <cstring>

namespace Marjoramfold
{
namespace
{
constexpr auto ExpiresLater = [](const auto &left, const auto &right) -> bool {
    return left.time_ > right.time_;
};

/// Incarnation number in an intent id; empty when the id is not a number.
auto incarnationOf(const std::string &intentId) -> std::optional<std::uint64_t>
{
    std::uint64_t incarnation = 0;
    const auto *end = intentId.data() + intentId.size();
    const auto parsed = std::from_chars(intentId.data(), end, incarnation);
    const auto whole = !intentId.empty() && parsed.ec == std::errc() && parsed.ptr == end;
    return whole ? std::optional(incarnation) : std::nullopt;
}
} // namespace

auto makeIntent(const std::string &key, const InstanceIncarnation &writer) -> Intent
{
    return {key, std::to_string(writer.incarnation_)};
}

IntentTable::IntentTable(KeyWindow window)
    : window_(window)
{
}

auto IntentTable::setFilter(std::function<bool(const std::string &)> filter) -> void
{
    filter_ = std::move(filter);
}

auto IntentTable::apply(const IntentPage &page, WallTime now) -> std::vector<std::string>
{
    updateCoverage(page, now);
    std::vector<std::string> affectedKeys;
    for (const auto &record : page.records_) {
        if (const auto *batch = std::get_if<IntentBatchRecord>(&record.record_)) {
            for (const auto &intent : batch->intents_) {
                applyIntent(intent, batch->instance_, record.time_, affectedKeys);
            }
        }
    }
    if (!page.records_.empty()) {
        prune(page.records_.back().time_);
    }
    return affectedKeys;
}

auto IntentTable::updateCoverage(const IntentPage &page, WallTime now) -> void
{
    if (page.begins_) {
        // Nothing was dropped when reading starts at offset 0. Otherwise older records are unknown, and the first record read gives
        // the time from which on all are known.
        coverageStart_ = page.first_ == 0 ? WallTime::min() : now;
        firstRecordPending_ = page.first_ != 0;
    }
    if (firstRecordPending_ && !page.records_.empty()) {
        coverageStart_ = std::min(*coverageStart_, page.records_.front().time_);
        firstRecordPending_ = false;
    }
}

auto IntentTable::applyIntent(const Intent &intent, const InstanceId &instance, WallTime recordTime, std::vector<std::string> &affectedKeys) -> void
{
    const auto keyTime = callerKeyTime(intent.key_);
    const auto incarnation = incarnationOf(intent.intentId_);
    if (!keyTime || !incarnation || (filter_ && !filter_(intent.key_))) {
        return;
    }
    affectedKeys.push_back(intent.key_);
    // A record outside the window never owns its key, since an earlier record may have been pruned already.
    const auto tooEarly = recordTime < *keyTime - window_.maxAhead_ - window_.maxClockSkew_;
    const auto tooLate = recordTime > *keyTime + window_.maxAge_ + window_.maxClockSkew_;
    if (tooEarly || tooLate) {
        return;
    }
    const auto hash = hashOf(intent.key_);
    const auto owner = isCovered(*keyTime) ? ownerIndex({instance, *incarnation}) : UnknownOwner;
    if (owners_.emplace(hash, owner).second) {
        expiries_.push_back({*keyTime + window_.maxAge_ + 2 * window_.maxClockSkew_, hash});
        std::push_heap(expiries_.begin(), expiries_.end(), ExpiresLater);
    }
}

auto IntentTable::ownershipOf(const std::string &key, WallTime keyTime) const -> KeyOwnership
{
    const auto found = owners_.find(hashOf(key));
    if (found != owners_.end()) {
        return found->second == UnknownOwner ? KeyOwnership::Undetermined : KeyOwnership::Owned;
    }
    return isCovered(keyTime) ? KeyOwnership::Unclaimed : KeyOwnership::Undetermined;
}

auto IntentTable::owner(const std::string &key) const -> std::optional<InstanceIncarnation>
{
    const auto found = owners_.find(hashOf(key));
    const auto known = found != owners_.end() && found->second != UnknownOwner;
    return known ? std::optional(writers_[found->second]) : std::nullopt;
}

auto IntentTable::isCovered(WallTime keyTime) const -> bool
{
    return coverageStart_ && *coverageStart_ <= keyTime - window_.maxAhead_ - window_.maxClockSkew_;
}

auto IntentTable::size() const -> std::size_t
{
    return owners_.size();
}

auto IntentTable::hashOf(const std::string &key) -> KeyHash
{
    std::array<unsigned char, SHA256_DIGEST_LENGTH> digest{};
    SHA256(reinterpret_cast<const unsigned char *>(key.data()), key.size(), digest.data());
    KeyHash hash{};
    std::memcpy(hash.data(), digest.data(), sizeof(hash));
    return hash;
}

auto IntentTable::ownerIndex(const InstanceIncarnation &writer) -> std::uint32_t
{
    // Searches newest first: there are few live incarnations, and the newest write most records.
    const auto found = std::find(writers_.rbegin(), writers_.rend(), writer);
    if (found != writers_.rend()) {
        return static_cast<std::uint32_t>(std::distance(found, writers_.rend()) - 1);
    }
    writers_.push_back(writer);
    return static_cast<std::uint32_t>(writers_.size() - 1);
}

auto IntentTable::prune(WallTime logTime) -> void
{
    while (!expiries_.empty() && expiries_.front().time_ < logTime) {
        std::pop_heap(expiries_.begin(), expiries_.end(), ExpiresLater);
        owners_.erase(expiries_.back().key_);
        expiries_.pop_back();
    }
}
} // namespace Marjoramfold
