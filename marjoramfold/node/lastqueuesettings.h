#pragma once

#include "marjoramfold/core/clock.h"
#include "marjoramfold/fleet/operatorconfig.h"
#include "marjoramfold/store/streamstore.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace Marjoramfold
{
/// Last settings in force of each queue that has had jobs, for accepted jobs whose queue is missing from the configuration.
///
/// They are stored in the feed: with the first submission to a queue, by the instance that accepts it, and after a change by the leader.
class LastQueueSettings
{
public:
    /// Prefix of the records' keys.
    static constexpr std::string_view KeyPrefix = "q/";

    /// Applies a record of the feed; without a value, the queue is forgotten.
    auto applyRecord(const std::string &key, const std::optional<std::string> &value) -> void;

    /// Starts a load of the newest records.
    auto beginReload() -> void;

    /// Ends a load and forgets the queues that it did not contain.
    auto endReload() -> void;

    /// Takes the settings of known queues from a configuration that came into force.
    auto observe(const OperatorConfig &config) -> void;

    /// Adds queues of jobs that were accepted by a version that stored no settings.
    auto addMissing(const std::set<std::string> &queues, const OperatorConfig &config) -> void;

    /// Last settings of a queue; null for one without jobs.
    [[nodiscard]] auto find(const std::string &queue) const -> const QueueConfig *;

    /// The record to store with a submission to a queue of the given configuration version; empty when the feed has these or newer settings.
    [[nodiscard]] auto missingRecord(const QueueConfig &queue, std::uint64_t version) const -> std::optional<KeyedRecord>;

    /// Records of the settings that differ from the stored ones.
    [[nodiscard]] auto changedRecords() const -> std::vector<KeyedRecord>;

    /// Tombstones for queues without jobs that have been missing from the configuration for at least `minAbsence`.
    [[nodiscard]] auto unusedRecords(const std::set<std::string> &usedQueues, BootTime now, std::chrono::milliseconds minAbsence) const
        -> std::vector<KeyedRecord>;

private:
    struct Entry {
        QueueConfig queue_;
        /// Version of the configuration that has these settings.
        std::uint64_t version_ = 0;
        /// Value of the stored record.
        std::optional<std::string> stored_;
        /// When a configuration without the queue was first observed.
        std::optional<BootTime> missingSince_;
    };

    std::map<std::string, Entry> entries_;
    bool reloading_ = false;
};
} // namespace Marjoramfold
