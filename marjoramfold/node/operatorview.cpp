#include "marjoramfold/node/operatorview.h"

#include "marjoramfold/fleet/configcheck.h"
#include "marjoramfold/observability/logline.h"

#include <algorithm>
#include <utility>

namespace Marjoramfold
{
namespace
{
/// Findings of a configuration that are logged one by one.
constexpr std::size_t MaxLoggedFindings = 20;

/// Logs what is wrong with a configuration. It stays in force, since it also adds and revokes API keys.
auto logConfigFindings(const OperatorConfig &config) -> void
{
    const auto findings = checkConfig(config);
    for (std::size_t i = 0; i < std::min(findings.size(), MaxLoggedFindings); ++i) {
        LogLine(LogSeverity::Warning, "configuration_finding")
            .with("version", config.version())
            .with("kind", nameOf(findings[i].kind_))
            .with("where", findings[i].entry_)
            .with("reason", findings[i].message_);
    }
    if (findings.size() > MaxLoggedFindings) {
        LogLine(LogSeverity::Warning, "configuration_findings_omitted").with("version", config.version()).with("count", findings.size() - MaxLoggedFindings);
    }
}
} // namespace

OperatorView::OperatorView(const PlatformBinding &binding, StreamFollower::Schedule schedule, std::function<void()> onChanged)
    : decode_(binding.decodeOperatorRecord_)
    , onChanged_(std::move(onChanged))
{
    FollowerOptions options;
    options.stream_ = binding.operatorStream_;
    follower_ = std::make_shared<StreamFollower>(
        binding.store_,
        std::move(schedule),
        options,
        [this](const std::vector<StoredRecord> &records, bool loaded) {
            onRecords(records, loaded);
        },
        [this] {
            loading_ = true;
            loadedZones_.clear();
        });
}

auto OperatorView::start() -> void
{
    follower_->start();
}

auto OperatorView::config() const -> const OperatorConfig &
{
    return config_;
}

auto OperatorView::evacuatedZones() const -> const std::unordered_set<std::string> &
{
    return evacuatedZones_;
}

auto OperatorView::currentAsOf() const -> BootTime
{
    return follower_->currentAsOf();
}

auto OperatorView::onRecords(const std::vector<StoredRecord> &records, bool loaded) -> void
{
    for (const auto &stored : records) {
        auto record = decode_(stored.record_);
        if (!isOk(record)) {
            LogLine(LogSeverity::Error, "operator_record_unreadable")
                .with("key", stored.record_.key_)
                .with("offset", stored.offset_)
                .with("reason", errorOf(record).message_);
            continue;
        }
        if (auto *published = std::get_if<ConfigurationPublished>(&std::get<OperatorRecord>(record))) {
            // Older versions are ignored, since a load may deliver records older than those already applied.
            if (published->config_.version() > config_.version()) {
                LogLine(LogSeverity::Info, "configuration_in_force")
                    .with("version", published->config_.version())
                    .with("before", config_.version())
                    .with("offset", stored.offset_);
                config_ = std::move(published->config_);
                logConfigFindings(config_);
            }
        } else if (const auto *zone = std::get_if<ZoneChanged>(&std::get<OperatorRecord>(record))) {
            LogLine(LogSeverity::Info, zone->evacuated_ ? "zone_taken_out" : "zone_taken_back").with("zone", zone->zone_).with("offset", stored.offset_);
            if (zone->evacuated_) {
                evacuatedZones_.insert(zone->zone_);
                loadedZones_.insert(zone->zone_);
            } else {
                evacuatedZones_.erase(zone->zone_);
            }
        }
    }
    if (loaded && loading_) {
        loading_ = false;
        evacuatedZones_ = loadedZones_;
    }
    onChanged_();
}
} // namespace Marjoramfold
