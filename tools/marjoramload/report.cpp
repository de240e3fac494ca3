#include "report.h"

#include <algorithm>
#include <iomanip>
#include <map>
#include <sstream>

namespace Marjoramfold
{
namespace
{
/// Latencies and outcomes of one group of requests.
struct Group {
    std::vector<std::int64_t> answeredUs_;
    std::uint64_t sent_ = 0;
    std::uint64_t notRun_ = 0;
    std::uint64_t maybeRan_ = 0;
    std::uint64_t lost_ = 0;
    std::uint64_t mismatched_ = 0;
    std::map<std::string, std::uint64_t> errors_;

    auto add(const LoadSample &sample) -> void
    {
        ++sent_;
        switch (sample.outcome_) {
        case LoadOutcome::Answered:
            answeredUs_.push_back(sample.latency_.count());
            break;
        case LoadOutcome::NotRun:
            ++notRun_;
            break;
        case LoadOutcome::MaybeRan:
            ++maybeRan_;
            break;
        case LoadOutcome::Lost:
            ++lost_;
            break;
        case LoadOutcome::Mismatched:
            ++mismatched_;
            break;
        }
        if (!sample.errorKind_.empty()) {
            ++errors_[sample.errorKind_];
        }
    }
};

/// Nearest-rank percentile, in milliseconds, of sorted latencies in microseconds; 0 when there are none.
auto percentileMs(const std::vector<std::int64_t> &sorted, double share) -> double
{
    if (sorted.empty()) {
        return 0;
    }
    const auto rank = static_cast<std::size_t>(share * static_cast<double>(sorted.size()));
    constexpr double MicrosecondsPerMillisecond = 1'000.0;
    return static_cast<double>(sorted[std::min(rank, sorted.size() - 1)]) / MicrosecondsPerMillisecond;
}

auto describe(Group &group, double seconds) -> nlohmann::json
{
    auto &latencies = group.answeredUs_;
    std::sort(latencies.begin(), latencies.end());
    return {{"sent", group.sent_},
            {"answered", latencies.size()},
            {"answered_per_s", seconds > 0 ? static_cast<double>(latencies.size()) / seconds : 0},
            {"not_run", group.notRun_},
            {"maybe_ran", group.maybeRan_},
            {"lost", group.lost_},
            {"crossed", group.mismatched_},
            {"errors", group.errors_},
            {"latency_ms",
             {{"p50", percentileMs(latencies, 0.50)},
              {"p90", percentileMs(latencies, 0.90)},
              {"p99", percentileMs(latencies, 0.99)},
              {"p999", percentileMs(latencies, 0.999)},
              {"max", percentileMs(latencies, 1.0)}}}};
}

auto appendGroup(std::ostringstream &text, const std::string &name, const nlohmann::json &group) -> void
{
    const auto &latency = group.at("latency_ms");
    text << std::left << std::setw(14) << name << std::right << " sent " << group.at("sent") << ", answered " << group.at("answered") << " (" << std::fixed
         << std::setprecision(0) << group.at("answered_per_s").get<double>() << "/s), not run " << group.at("not_run") << ", maybe ran "
         << group.at("maybe_ran") << ", lost " << group.at("lost") << ", crossed " << group.at("crossed") << "\n"
         << std::setw(14) << "" << std::setprecision(3) << " latency ms p50 " << latency.at("p50").get<double>() << ", p90 " << latency.at("p90").get<double>()
         << ", p99 " << latency.at("p99").get<double>() << ", p99.9 " << latency.at("p999").get<double>() << ", max " << latency.at("max").get<double>()
         << "\n";
    for (const auto &[kind, count] : group.at("errors").items()) {
        text << std::setw(14) << ""
             << " error " << kind << ": " << count << "\n";
    }
}
} // namespace

auto reportJson(const LoadRun &run) -> nlohmann::json
{
    Group all;
    Group direct;
    std::vector<Group> classes(run.mix_.size());
    for (const auto &sample : run.samples_) {
        if (sample.class_ < 0) {
            direct.add(sample);
            continue;
        }
        all.add(sample);
        classes[static_cast<std::size_t>(sample.class_)].add(sample);
    }
    const auto seconds = run.elapsed_.count();
    nlohmann::json report = {{"seconds", seconds},
                             {"largest_send_delay_ms", std::chrono::duration<double, std::milli>(run.maxSendDelay_).count()},
                             {"entry", describe(all, seconds)}};
    for (std::size_t i = 0; i < classes.size(); ++i) {
        report["classes"][run.mix_[i].name_] = describe(classes[i], seconds);
    }
    if (direct.sent_ > 0) {
        report["bare"] = describe(direct, seconds);
        const auto median = [](const nlohmann::json &group) {
            return group.at("latency_ms").at("p50").get<double>();
        };
        report["added_p50_ms"] = median(report["entry"]) - median(report["bare"]);
    }
    report["account"] = {{"checked", run.executionCheck_.checked_},
                         {"clean", run.executionCheck_.isClean()},
                         {"lost", run.executionCheck_.lost_},
                         {"crossed", run.executionCheck_.mismatched_},
                         {"doubled", run.executionCheck_.duplicated_},
                         {"not_run_but_executed", run.executionCheck_.notRunButExecuted_},
                         {"answered_but_not_executed", run.executionCheck_.answeredButNotExecuted_},
                         {"amplification", run.executionCheck_.amplification_}};
    return report;
}

auto reportText(const nlohmann::json &report) -> std::string
{
    std::ostringstream text;
    appendGroup(text, "all", report.at("entry"));
    for (const auto &[name, group] : report.at("classes").items()) {
        appendGroup(text, name, group);
    }
    if (report.contains("bare")) {
        appendGroup(text, "bare executor", report.at("bare"));
        text << "added p50 " << std::setprecision(3) << report.at("added_p50_ms").get<double>() << " ms\n";
    }
    const auto &account = report.at("account");
    if (account.at("checked").get<bool>()) {
        text << "account: " << (account.at("clean").get<bool>() ? "clean" : "NOT CLEAN") << ", lost " << account.at("lost") << ", doubled "
             << account.at("doubled") << ", crossed " << account.at("crossed") << ", not run but executed " << account.at("not_run_but_executed")
             << ", answered but not executed " << account.at("answered_but_not_executed") << ", amplification " << std::setprecision(4)
             << account.at("amplification").get<double>() << "\n";
    } else {
        text << "account: not checked (no --executors)\n";
    }
    text << "largest delay of a send after its intended time: " << std::setprecision(3) << report.at("largest_send_delay_ms").get<double>() << " ms\n";
    return text.str();
}
} // namespace Marjoramfold
