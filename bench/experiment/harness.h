#pragma once

#include "metrics.h"
#include "violationchecker.h"

#include <nlohmann/json.hpp>

#include <functional>
#include <string>

namespace Marjoramfold
{
/// Creates the policy of a run.
using PolicyFactory = std::function<SchedulingPolicy(const Scenario &scenario)>;

/// Wall-clock durations of policy calls, in microseconds.
struct DecisionTimes {
    /// All calls.
    Distribution all_;
    /// Calls that returned at least one Hold.
    Distribution placing_;
};

/// Results of a run.
struct RunResult {
    CompletionTimes completion_;
    double fragmentation_ = 0;
    double utilization_ = 0;
    double meanTasks_ = 0;
    double zoneChangeUsefulWork_ = 0;
    Violations violations_;
    DecisionTimes decisions_;
    double peakMemoryMb_ = 0;
    /// Number of records that the policy wrote to the log, by kind.
    std::map<std::string, int> records_;
    int startsBeyondCheckpoint_ = 0;
    /// One line for each compared job that did not finish.
    std::vector<std::string> unfinished_;
    /// Simulated end of the run, in seconds.
    double endedAt_ = 0;
};

/// Runs a policy until the load has ended and all compared jobs are finished, or until the scenario ends.
[[nodiscard]] auto runExperiment(const Scenario &scenario, const PolicyFactory &makePolicy) -> RunResult;

/// Formats a result as the JSON object of docs/design.md, section 5.11, with further figures under "details".
[[nodiscard]] auto toJson(const Scenario &scenario, const std::string &policy, const RunResult &result) -> nlohmann::ordered_json;
} // namespace Marjoramfold
