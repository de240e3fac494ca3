#pragma once

#include "checker.h"
#include "metrics.h"

#include <nlohmann/json.hpp>

#include <functional>
#include <string>

namespace Marjoramfold
{
/// Creates the policy of a run.
using PolicyFactory = std::function<SchedulingPolicy(const Scenario &scenario)>;

/// Wall-clock times of policy calls, in microseconds.
struct DecisionTimes {
    /// All calls.
    Distribution all_;
    /// Calls that answered with at least one Hold.
    Distribution placing_;
};

/// What a run gave.
struct RunResult {
    CompletionTimes completion_;
    double fragmentation_ = 0;
    double utilization_ = 0;
    double meanTasks_ = 0;
    double zoneChangeUsefulWork_ = 0;
    Violations violations_;
    DecisionTimes decisions_;
    double peakMemoryMb_ = 0;
    /// Records that the policy wrote to the fake log, by kind.
    std::map<std::string, int> records_;
    int inventedProgress_ = 0;
    /// Compared jobs that did not finish, one line each.
    std::vector<std::string> unfinished_;
    /// Simulated end of the run, in seconds.
    double endedAt_ = 0;
};

/// Runs a policy on a scenario until all compared jobs are finished and the load has ended, or the scenario ends.
[[nodiscard]] auto runExperiment(const Scenario &scenario, const PolicyFactory &makePolicy) -> RunResult;

/// The result as the JSON object of section 5.11, with further figures under "details".
[[nodiscard]] auto toJson(const Scenario &scenario, const std::string &policy, const RunResult &result) -> nlohmann::ordered_json;
} // namespace Marjoramfold
