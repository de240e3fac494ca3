#pragma once

#include "marjoramfold/core/clock.h"
#include "marjoramfold/fleet/operatorconfig.h"
#include "marjoramfold/node/platformbinding.h"
#include "marjoramfold/store/streamfollower.h"

#include <functional>
#include <memory>
#include <string>
#include <unordered_set>

namespace Marjoramfold
{
/// Follows the operators' stream: the newest configuration and the evacuated zones, with the time as of which they are current.
class OperatorView
{
public:
    OperatorView(const PlatformBinding &binding, StreamFollower::Schedule schedule, std::function<void()> onChanged);

    /// Starts following the operators' stream.
    auto start() -> void;

    [[nodiscard]] auto config() const -> const OperatorConfig &;
    [[nodiscard]] auto evacuatedZones() const -> const std::unordered_set<std::string> &;

    /// All operators' records stored before this time have been applied.
    [[nodiscard]] auto currentAsOf() const -> BootTime;

private:
    auto onRecords(const std::vector<StoredRecord> &records, bool loaded) -> void;

    std::function<Result<OperatorRecord>(const KeyedRecord &)> decode_;
    std::function<void()> onChanged_;
    std::shared_ptr<StreamFollower> follower_;
    OperatorConfig config_;
    std::unordered_set<std::string> evacuatedZones_;
    /// Evacuated zones found by the load in progress.
    std::unordered_set<std::string> loadedZones_;
    bool loading_ = false;
};
} // namespace Marjoramfold
