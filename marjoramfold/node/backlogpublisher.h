#pragma once

#include "marjoramfold/core/clock.h"
#include "marjoramfold/dispatch/backlogforecast.h"
#include "marjoramfold/node/admission.h"
#include "marjoramfold/store/streamstore.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <set>
#include <string>

namespace Marjoramfold
{
/// The leader's part of admission control: forecasts once per second, and publishes a record while a queue must reject.
class BacklogPublisher
{
public:
    /// Appends a record to the feed and then runs the callback.
    using Publish = std::function<void(KeyedRecord, std::function<void()>)>;

    BacklogPublisher(std::uint64_t epoch, std::function<BacklogSample()> takeSample, Publish publish);

    /// Makes a forecast when the last one is a second old.
    auto check(BootTime now) -> void;

private:
    auto logChanges(const std::vector<QueueForecast> &rejecting) -> void;

    std::uint64_t epoch_;
    std::function<BacklogSample()> takeSample_;
    Publish publish_;
    BacklogForecast forecast_;
    std::set<std::string> rejecting_;
    BootTime checkedAt_{};
    std::uint64_t published_ = 0;
    /// The newest published record names queues, so that one must follow when rejecting ends.
    bool mustEnd_ = false;
    /// A record is being appended. There is only one, so that a slow store does not get a series of outdated records.
    std::shared_ptr<bool> publishing_ = std::make_shared<bool>(false);
};
} // namespace Marjoramfold
