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
/// The operators' configuration and zone changes as this instance has read them, and how current they are.
class OperatorView
{
public:
    OperatorView(const PlatformBinding &binding, StreamFollower::Schedule schedule, std::function<void()> onChanged);

    /// Starts to follow the operators' stream.
    auto start() -> void;

    [[nodiscard]] auto directory() const -> const OperatorConfig &;
    [[nodiscard]] auto evacuatedZones() const -> const std::unordered_set<std::string> &;

    /// Everything that operators wrote before this time is in the view.
    [[nodiscard]] auto currentAsOf() const -> BootTime;

private:
    auto onRecords(const std::vector<StoredRecord> &records, bool loaded) -> void;

    std::function<Result<OperatorRecord>(const KeyedRecord &)> decode_;
    std::function<void()> onChanged_;
    std::shared_ptr<StreamFollower> follower_;
    OperatorConfig directory_;
    std::unordered_set<std::string> evacuatedZones_;
    /// Zones that a load in progress has brought.
    std::unordered_set<std::string> loadedZones_;
    bool loading_ = false;
};
} // namespace Marjoramfold
