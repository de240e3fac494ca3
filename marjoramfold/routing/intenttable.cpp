#include "marjoramfold/routing/intenttable.h"

#include <openssl/sha.h>

#include <algorithm>
#include <cstring>

namespace Marjoramfold
{
namespace
{
constexpr auto LaterFirst = [](const auto &left, const auto &right) -> bool {
    return left.time_ > right.time_;
};
} // namespace

auto toJson(const IntentBatch &batch) -> nlohmann::json
{
    return {{"id", batch.id_.value()},
            {"type", "IntentBatch"},
            {"instance", batch.writer_.instance_.value()},
            {"incarnation", batch.writer_.incarnation_},
            {"keys", batch.keys_}};
}

auto intentBatchFromJson(const nlohmann::json &body) -> std::optional<IntentBatch>
{
    if (!body.is_object() || body.value("type", nlohmann::json()) != "IntentBatch") {
        return std::nullopt;
    }
    const auto wellFormed = body.contains("id") && body["id"].is_string() && body.contains("instance") && body["instance"].is_string()
        && body.contains("incarnation") && body["incarnation"].is_number_unsigned() && body.contains("keys") && body["keys"].is_array();
    if (!wellFormed) {
        return std::nullopt;
    }
    IntentBatch batch;
    batch.id_ = RecordId(body["id"].get<std::string>());
    batch.writer_ = {InstanceId(body["instance"].get<std::string>()), body["incarnation"].get<std::uint64_t>()};
    for (const auto &key : body["keys"]) {
        if (!key.is_string()) {
            return std::nullopt;
        }
        batch.keys_.push_back(key.get<std::string>());
    }
    return batch;
}

IntentTable::IntentTable(KeyWindow window)
    : window_(window)
{
}

auto IntentTable::setFilter(std::function<bool(const std::string &)> filter) -> void
{
    filter_ = std::move(filter);
}

auto IntentTable::apply(const LogPage &page, WallTime now) -> std::vector<std::string>
{
    noteCoverage(page, now);
    std::vector<std::string> named;
    for (const auto &record : page.records_) {
        if (next_ && record.offset_ < *next_) {
            continue;
        }
        next_ = record.offset_ + 1;
        if (const auto batch = intentBatchFromJson(record.body_)) {
            applyBatch(*batch, record.time_, named);
        }
    }
    if (!page.records_.empty()) {
        prune(page.records_.back().time_);
    }
    return named;
}

auto IntentTable::noteCoverage(const LogPage &page, WallTime now) -> void
{
    const auto start = page.records_.empty() ? page.end_ : page.records_.front().offset_;
    if (next_ && start <= *next_) {
        return;
    }
    if (!next_ && page.first_ == 0 && start == 0) {
        // The whole stream is read from its beginning.
        coveredFrom_ = WallTime::min();
    } else {
        // Records before this page were dropped or skipped: what they said is unknown.
        coveredFrom_ = page.records_.empty() ? now : page.records_.front().time_;
    }
    next_ = start;
}

auto IntentTable::applyBatch(const IntentBatch &batch, WallTime recordTime, std::vector<std::string> &named) -> void
{
    for (const auto &key : batch.keys_) {
        if (filter_ && !filter_(key)) {
            continue;
        }
        const auto keyTime = callerKeyTime(key);
        if (!keyTime) {
            continue;
        }
        named.push_back(key);
        // A record outside the window never owns its key, since an earlier one may be forgotten already.
        const auto tooEarly = recordTime < *keyTime - window_.maxAhead_ - window_.clockSlop_;
        const auto tooLate = recordTime > *keyTime + window_.maxAge_ + window_.clockSlop_;
        if (tooEarly || tooLate) {
            continue;
        }
        const auto hash = hashOf(key);
        const auto owner = isCovered(*keyTime) ? ownerIndex(batch.writer_) : UnknownOwner;
        if (owners_.emplace(hash, owner).second) {
            expiries_.push_back({*keyTime + window_.maxAge_ + 2 * window_.clockSlop_, hash});
            std::push_heap(expiries_.begin(), expiries_.end(), LaterFirst);
        }
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
