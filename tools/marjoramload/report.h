#pragma once

#include "executioncheck.h"
#include "loadthread.h"

#include <nlohmann/json.hpp>

#include <string>
#include <vector>

namespace Marjoramfold
{
/// Data of a whole run that the report summarizes.
struct LoadRun {
    LoadMix mix_;
    std::vector<LoadSample> samples_;
    ExecutionCheck executionCheck_;
    /// Time from the first send to the last answer. Rates use it as divisor, so that a backlog at the end lowers them.
    std::chrono::duration<double> elapsed_{0};
    std::chrono::microseconds maxSendDelay_{0};
};

/// Summarizes a run as a JSON object; latencies in milliseconds.
[[nodiscard]] auto reportJson(const LoadRun &run) -> nlohmann::json;

/// Formats the JSON report as text.
[[nodiscard]] auto reportText(const nlohmann::json &report) -> std::string;
} // namespace Marjoramfold
