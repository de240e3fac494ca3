#pragma once

#include "account.h"
#include "loadthread.h"

#include <nlohmann/json.hpp>

#include <string>
#include <vector>

namespace Marjoramfold
{
/// What the whole run is summed up from.
struct LoadRun {
    LoadMix mix_;
    std::vector<LoadSample> samples_;
    AccountReport account_;
    /// Time over which requests were sent.
    std::chrono::duration<double> sendTime_{0};
    std::chrono::microseconds largestSendDelay_{0};
};

/// The report as one JSON object; latencies in milliseconds.
[[nodiscard]] auto reportJson(const LoadRun &run) -> nlohmann::json;

/// The report as text for people.
[[nodiscard]] auto reportText(const nlohmann::json &report) -> std::string;
} // namespace Marjoramfold
