#include "marjoramfold/node/leaderruntime.h"

#include <utility>
#include <vector>

namespace Marjoramfold
{
// The last settings of queues with jobs, which the leader stores after a change.

namespace
{
/// Settings of a queue are stored again when the feed has not shown them after this time.
constexpr std::chrono::seconds SettingsRepeatInterval{2};
} // namespace

auto LeaderRuntime::queuesWithJobs() const -> std::set<std::string>
{
    std::set<std::string> queues;
    for (const auto &[id, job] : feed_.jobs()) {
        queues.insert(job.submission_.queue_);
    }
    return queues;
}

auto LeaderRuntime::storeQueueSettings() -> void
{
    auto &settings = feed_.queueSettings();
    settings.observe(context_.config_());
    if (!begun_) {
        return;
    }
    const auto now = BootClock::now();
    if (now - settingsSentAt_ > SettingsRepeatInterval) {
        sentSettings_.clear();
    }
    std::vector<KeyedRecord> changed;
    for (auto &record : settings.changedRecords()) {
        if (auto &sent = sentSettings_[record.key_]; sent != *record.value_ && storedBytes(record) <= MaxRecordBytes) {
            sent = *record.value_;
            changed.push_back(std::move(record));
        }
    }
    if (!changed.empty()) {
        settingsSentAt_ = now;
        feedAppender_->writeInOrder(std::move(changed), {});
    }
}
} // namespace Marjoramfold
