#include "marjoramfold/routing/intenttable.h"

#include <openssl/sha.h>

#include <algorithm>
#include <charconv>
#include <cstring>

namespace Marjoramfold
{
namespace
{
constexpr auto LaterFirst = [](const auto &left, const auto &right) -> bool {
    return left.time_ > right.time_;
};

/// Incarnation that an intent id names; nothing when it is no number.
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
    noteCoverage(page, now);
    std::vector<std::string> named;
    for (const auto &record : page.records_) {
        if (const auto *batch = std::get_if<IntentBatchRecord>(&record.record_)) {
            for (const auto &intent : batch->intents_) {
                applyIntent(intent, batch->instance_, record.time_, named);
            }
        }
    }
    if (!page.records_.empty()) {
        prune(page.records_.back().time_);
    }
    return named;
}

auto IntentTable::noteCoverage(const IntentPage &page, WallTime now) -> void
{
    if (page.begins_) {
        // From offset 0 on, nothing was dropped. Otherwise what older records said is unknown; the first one read says how old.
        coveredFrom_ = page.first_ == 0 ? WallTime::min() : now;
        awaitsFirstRecord_ = page.first_ != 0;
    }
    if (awaitsFirstRecord_ && !page.records_.empty()) {
        coveredFrom_ = std::min(*coveredFrom_, page.records_.front().time_);
        awaitsFirstRecord_ = false;
    }
}

auto IntentTable::applyIntent(const Intent &intent, const InstanceId &instance, WallTime recordTime, std::vector<std::string> &named) -> void
{
    const auto keyTime = callerKeyTime(intent.key_);
    const auto incarnation = incarnationOf(intent.intentId_);
    if (!keyTime || !incarnation || (filter_ && !filter_(intent.key_))) {
        return;
    }
    named.push_back(intent.key_);
    // A record outside the window never owns its key, since an earlier one may be forgotten already.
    const auto tooEarly = recordTime < *keyTime - window_.maxAhead_ - window_.clockSlop_;
    const auto tooLate = recordTime > *keyTime + window_.maxAge_ + window_.clockSlop_;
    if (tooEarly || tooLate) {
        return;
    }
    const auto hash = hashOf(intent.key_);
    const auto owner = isCovered(*keyTime) ? ownerIndex({instance, *incarnation}) : UnknownOwner;
    if (owners_.emplace(hash, owner).second) {
        expiries_.push_back({*keyTime + window_.maxAge_ + 2 * window_.clockSlop_, hash});
        std::push_heap(expiries_.begin(), expiries_.end(), LaterFirst);
    }
}

auto IntentTable::verdict(const std::string &key, WallTime keyTime) const -> IntentVerdict
{
    const auto found = owners_.find(hashOf(key));
    if (found != owners_.end()) {
        return found->second == UnknownOwner ? IntentVerdict::NotCovered : IntentVerdict::Owned;
    }
    return isCovered(keyTime) ? IntentVerdict::Free : IntentVerdict::NotCovered;
}

auto IntentTable::owner(const std::string &key) const -> std::optional<InstanceIncarnation>
{
    const auto found = owners_.find(hashOf(key));
    const auto known = found != owners_.end() && found->second != UnknownOwner;
    return known ? std::optional(writers_[found->second]) : std::nullopt;
}

auto IntentTable::isCovered(WallTime keyTime) const -> bool
{
    return coveredFrom_ && *coveredFrom_ <= keyTime - window_.maxAhead_ - window_.clockSlop_;
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
    // Newest first: a fleet has few live incarnations, and the newest write most.
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
        std::pop_heap(expiries_.begin(), expiries_.end(), LaterFirst);
        owners_.erase(expiries_.back().key_);
        expiries_.pop_back();
    }
}
} // namespace Marjoramfold
