#include "experiment/policies.h"

#include <gflags/gflags.h>

#include <iostream>

DEFINE_string(scenario, "agenda-carpatica", "agenda-carpatica, tritura-certo or design-size");
DEFINE_string(policy, "marjoramfold", "policy to run; see the design page, section 5.11");
DEFINE_uint64(seed, 1, "seed of the workload");
DEFINE_double(scale, 1.0, "size of design-size over the two-year plan");
DEFINE_bool(json, false, "print one JSON object in one line");
DEFINE_bool(violations, false, "list violations and unfinished jobs on standard error");

auto main(int argc, char **argv) -> int
{
    using namespace Marjoramfold;
    gflags::SetUsageMessage("Runs a scheduling policy on a scenario against fakes and reports what it achieved.");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
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
    const auto result = runExperiment(*scenario, *factory);
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
