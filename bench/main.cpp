#include "experiment/policies.h"
#include "experiment/summary.h"
#include "experiment/trace.h"

#include <gflags/gflags.h>

#include <fstream>
#include <iostream>

DEFINE_string(scenario, "agenda-carpatica", "agenda-carpatica, tritura-certo or design-size");
DEFINE_string(policy, "marjoramfold", "policy to run; see docs/design.md, section 5.11");
DEFINE_uint64(seed, 1, "seed of the workload");
DEFINE_double(scale, 1.0, "size of the design-size scenario relative to the two-year plan");
DEFINE_bool(json, false, "print the JSON object on one line");
DEFINE_bool(violations, false, "write violations and unfinished jobs to standard error");

DEFINE_string(trace, "", "id of a job whose events and commands are written to standard error");

DEFINE_string(summarize, "", "file with JSON lines of earlier runs; prints them as tables instead of running a policy");

auto main(int argc, char **argv) -> int
{
    using namespace Marjoramfold;
    gflags::SetUsageMessage("Runs a scheduling policy on a scenario in a simulated cluster and reports its results.");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    if (!FLAGS_summarize.empty()) {
        std::ifstream file(FLAGS_summarize);
        if (!file) {
            std::cerr << "cannot read the file " << FLAGS_summarize << '\n';
            return 2;
        }
        std::cout << summarize(file);
        return 0;
    }
    const auto scenario = makeScenario(FLAGS_scenario, FLAGS_seed, FLAGS_scale);
    const auto factory = policyFactory(FLAGS_policy);
    if (!scenario || !factory) {
        std::cerr << "unknown " << (scenario ? "policy" : "scenario") << "; policies:";
        for (const auto &name : policyNames()) {
            std::cerr << ' ' << name;
        }
        std::cerr << '\n';
        return 2;
    }
    const auto result = runExperiment(*scenario, FLAGS_trace.empty() ? *factory : tracePolicy(*factory, JobId(FLAGS_trace), std::cerr));
    std::cout << toJson(*scenario, FLAGS_policy, result).dump(FLAGS_json ? -1 : 2) << '\n';
    if (FLAGS_violations) {
        for (const auto &line : result.violations_.lines_) {
            std::cerr << line << '\n';
        }
        for (const auto &line : result.unfinished_) {
            std::cerr << line << '\n';
        }
    }
    return 0;
}
