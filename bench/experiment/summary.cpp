#include "summary.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <map>
#include <set>
#include <vector>

namespace Marjoramfold
{
namespace
{
/// All runs of a policy on a scenario.
using Runs = std::vector<nlohmann::json>;

/// Policies in the order of the table rows.
constexpr const char *PolicyOrder[] = {"marjoramfold", "no-backfill", "no-compaction", "declared-estimates", "first-fit", "first-fit-skip", "partition"};

auto valueAt(const nlohmann::json &run, const std::string &pointer) -> double
{
    return run.at(nlohmann::json::json_pointer(pointer)).get<double>();
}

auto mean(const Runs &runs, const std::string &pointer) -> double
{
    auto sum = 0.0;
    for (const auto &run : runs) {
        sum += valueAt(run, pointer);
    }
    return sum / static_cast<double>(runs.size());
}

auto maximum(const Runs &runs, const std::string &pointer) -> double
{
    auto result = 0.0;
    for (const auto &run : runs) {
        result = std::max(result, valueAt(run, pointer));
    }
    return result;
}

auto violations(const Runs &runs, const std::string &kind) -> int
{
    return static_cast<int>(mean(runs, "/violations/" + kind) * static_cast<double>(runs.size()) + 0.5);
}

auto row(const std::string &policy, const Runs &runs) -> std::string
{
    return fmt::format("| {} | {:.0f} of {:.0f} | {:.0f} | {:.0f} | {:.0f} | {:.0f} | {:.3f} | {:.3f} | {:.1f} | {}/{}/{}/{} | {:.1f} | {:.0f} | {:.1f} |\n",
                       policy,
                       mean(runs, "/jobs_finished"),
                       mean(runs, "/details/jobs_compared"),
                       mean(runs, "/completion_mean_s"),
                       mean(runs, "/completion_p95_s"),
                       mean(runs, "/completion_p99_s"),
                       mean(runs, "/large_completion_p99_s"),
                       mean(runs, "/fragmentation"),
                       mean(runs, "/zone_change_useful_work"),
                       maximum(runs, "/urgent_start_max_s"),
                       violations(runs, "guarantee"),
                       violations(runs, "partial_gang"),
                       violations(runs, "start_in_out_zone"),
                       violations(runs, "double_run"),
                       maximum(runs, "/decision_p50_us"),
                       maximum(runs, "/decision_p99_us"),
                       maximum(runs, "/peak_memory_mb"));
}
} // namespace

auto summarize(std::istream &lines) -> std::string
{
    std::map<std::string, std::map<std::string, Runs>> scenarios;
    std::map<std::string, std::set<std::uint64_t>> seeds;
    for (std::string line; std::getline(lines, line);) {
        auto run = nlohmann::json::parse(line);
        const auto scenario = run.at("scenario").get<std::string>();
        seeds[scenario].insert(run.at("seed").get<std::uint64_t>());
        scenarios[scenario][run.at("policy").get<std::string>()].push_back(std::move(run));
    }
    std::string text;
    for (const auto &[scenario, policies] : scenarios) {
        text += fmt::format("\n{}, seeds", scenario);
        for (const auto seed : seeds[scenario]) {
            text += fmt::format(" {}", seed);
        }
        text += ":\n\n| policy | finished | mean s | p95 s | p99 s | large p99 s | fragmentation | useful work | urgent start max s "
                "| violations g/p/z/d | p50 us | p99 us | MB |\n|---|---|---|---|---|---|---|---|---|---|---|---|---|\n";
        for (const auto *policy : PolicyOrder) {
            const auto found = policies.find(policy);
            text += found == policies.end() ? "" : row(policy, found->second);
        }
    }
    return text;
}
} // namespace Marjoramfold
