#include "marjoramfold/node/lastqueuesettings.h"

#include "marjoramfold/observability/logline.h"
#include "marjoramfold/store/recordcodec.h"

#include <cereal/types/chrono.hpp>
#include <cereal/types/string.hpp>
#include <fmt/format.h>
#include <openssl/sha.h>

#include <array>
#include <iterator>
#include <utility>

namespace Marjoramfold
{
namespace
{
/// Longest queue name that is used as a key; the platform allows keys of 255 bytes.
constexpr std::size_t MaxNameInKey = 200;

/// Stored settings of a queue: those that decide on accepted jobs.
struct StoredSettings {
    QueueConfig queue_;
    std::uint64_t version_ = 0;

    /// Serializes the settings with cereal.
    template<typename Archive>
    auto serialize(Archive &archive) -> void
    {
        archive(queue_.name_,
                queue_.pool_,
                queue_.priority_,
                queue_.maxAttempts_,
                queue_.stretch_,
                queue_.targetLatency_,
                queue_.requiresAdmissionCheck_,
                version_);
    }
};

auto keyOf(const std::string &queue) -> std::string
{
    const std::string prefix(LastQueueSettings::KeyPrefix);
    if (queue.size() <= MaxNameInKey) {
        return prefix + queue;
    }
    std::array<unsigned char, SHA256_DIGEST_LENGTH> digest{};
    SHA256(reinterpret_cast<const unsigned char *>(queue.data()), queue.size(), digest.data());
    auto key = prefix + "sha256:";
    for (const auto byte : digest) {
        fmt::format_to(std::back_inserter(key), "{:02x}", byte);
    }
    return key;
}

auto encode(const QueueConfig &queue, std::uint64_t version) -> std::string
{
    return encodeRecordValue(StoredSettings{queue, version});
}

/// True when both decide alike on accepted jobs; the version is not compared.
auto decidesAlike(const QueueConfig &left, const QueueConfig &right) -> bool
{
    return encode(left, 0) == encode(right, 0);
}
} // namespace

auto LastQueueSettings::applyRecord(const std::string &key, const std::optional<std::string> &value) -> void
{
    if (!value) {
        std::erase_if(entries_, [&key](const auto &entry) {
            return keyOf(entry.first) == key;
        });
        return;
    }
    auto decoded = decodeRecordValue<StoredSettings>(*value);
    if (!isOk(decoded)) {
        LogLine(LogSeverity::Error, "queue_settings_unreadable").with("key", key).with("reason", errorOf(decoded).message_);
        return;
    }
    auto settings = valueOf(std::move(decoded));
    auto &entry = entries_[settings.queue_.name_];
    entry.stored_ = *value;
    // An instance that has read an older configuration may store its settings after newer ones.
    if (settings.version_ >= entry.version_) {
        entry.queue_ = std::move(settings.queue_);
        entry.version_ = settings.version_;
    }
}

auto LastQueueSettings::beginReload() -> void
{
    reloading_ = true;
    for (auto &[name, entry] : entries_) {
        entry.stored_.reset();
    }
}

auto LastQueueSettings::endReload() -> void
{
    if (std::exchange(reloading_, false)) {
        std::erase_if(entries_, [](const auto &entry) {
            return !entry.second.stored_;
        });
    }
}

auto LastQueueSettings::observe(const OperatorConfig &config) -> void
{
    if (config.version() == 0) {
        return;
    }
    for (auto &[name, entry] : entries_) {
        const auto *queue = config.queueNamed(name);
        if (queue == nullptr) {
            entry.missingSince_ = entry.missingSince_.value_or(BootClock::now());
            continue;
        }
        entry.missingSince_.reset();
        if (config.version() >= entry.version_ && !decidesAlike(*queue, entry.queue_)) {
            entry.queue_ = *queue;
            entry.version_ = config.version();
        }
    }
}

auto LastQueueSettings::addMissing(const std::set<std::string> &queues, const OperatorConfig &config) -> void
{
    for (const auto &name : queues) {
        if (const auto *queue = config.queueNamed(name); queue != nullptr && !entries_.contains(name)) {
            entries_[name] = {*queue, config.version(), std::nullopt, std::nullopt};
        }
    }
}

auto LastQueueSettings::find(const std::string &queue) const -> const QueueConfig *
{
    const auto found = entries_.find(queue);
    return found == entries_.end() ? nullptr : &found->second.queue_;
}

auto LastQueueSettings::missingRecord(const QueueConfig &queue, std::uint64_t version) const -> std::optional<KeyedRecord>
{
    const auto found = entries_.find(queue.name_);
    const auto isStored = found != entries_.end() && found->second.stored_ && (found->second.version_ >= version || decidesAlike(found->second.queue_, queue));
    return isStored ? std::nullopt : std::optional(KeyedRecord{keyOf(queue.name_), encode(queue, version)});
}

auto LastQueueSettings::changedRecords() const -> std::vector<KeyedRecord>
{
    std::vector<KeyedRecord> changed;
    for (const auto &[name, entry] : entries_) {
        if (auto value = encode(entry.queue_, entry.version_); value != entry.stored_) {
            changed.push_back({keyOf(name), std::move(value)});
        }
    }
    return changed;
}

auto LastQueueSettings::unusedRecords(const std::set<std::string> &usedQueues, BootTime now, std::chrono::milliseconds minAbsence) const
    -> std::vector<KeyedRecord>
{
    std::vector<KeyedRecord> unused;
    for (const auto &[name, entry] : entries_) {
        if (entry.missingSince_ && now - *entry.missingSince_ >= minAbsence && !usedQueues.contains(name)) {
            unused.push_back({keyOf(name), std::nullopt});
        }
    }
    return unused;
}
} // namespace Marjoramfold
