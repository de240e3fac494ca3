// Sends open-loop load to running entries and checks the outcomes against the execution counts of the executors.

#include "marjoramload/executioncheck.h"
#include "marjoramload/loadthread.h"
#include "marjoramload/mix.h"
#include "marjoramload/report.h"

#include <gflags/gflags.h>

#include <iostream>
#include <memory>
#include <sstream>
#include <thread>

DEFINE_string(entries, "", "comma-separated HOST:PORT of entries, used round-robin");
DEFINE_string(executors, "", "comma-separated HOST:PORT of all executors, to check their execution counts per key; empty skips the check");
DEFINE_string(bare, "", "comma-separated HOST:PORT of executors that receive requests directly, for comparison");
DEFINE_string(mix, "", "TOML file with the request classes; empty sends small idempotent requests");
DEFINE_double(rate, 100, "requests per second to the entries");
DEFINE_double(bare_rate, 0, "requests per second sent directly to the executors of --bare");
DEFINE_double(seconds, 10, "duration of sending");
DEFINE_uint64(max_requests, 5'000'000, "maximum number of requests");
DEFINE_int32(threads, 1, "number of sending threads");
DEFINE_int32(connections, 64, "connections per thread and entry");
DEFINE_int32(patience_ms, 5'000, "time past the deadline after which a missing answer counts as lost");
DEFINE_uint64(seed, 1, "seed of the random choice of request classes");
DEFINE_bool(json, false, "print the report as JSON");

namespace
{
using namespace Marjoramfold;

auto split(const std::string &text) -> std::vector<std::string>
{
    std::vector<std::string> parts;
    std::istringstream stream(text);
    for (std::string part; std::getline(stream, part, ',');) {
        parts.push_back(part);
    }
    return parts;
}

auto optionsOf(const LoadMix &mix, int thread) -> LoadOptions
{
    LoadOptions options;
    options.entries_ = split(FLAGS_entries);
    options.directExecutors_ = split(FLAGS_bare);
    options.mix_ = mix;
    options.rate_ = FLAGS_rate / FLAGS_threads;
    options.directRate_ = FLAGS_bare_rate / FLAGS_threads;
    options.duration_ = std::chrono::milliseconds(static_cast<std::int64_t>(FLAGS_seconds * 1'000));
    options.maxRequests_ = FLAGS_max_requests / static_cast<std::size_t>(FLAGS_threads);
    options.timeoutMargin_ = std::chrono::milliseconds(FLAGS_patience_ms);
    options.connectionsPerEntry_ = FLAGS_connections;
    options.seed_ = FLAGS_seed + static_cast<std::uint64_t>(thread);
    const auto run = std::chrono::system_clock::now().time_since_epoch().count();
    options.keyPrefix_ = std::to_string(run) + "-" + std::to_string(thread) + "-";
    return options;
}

auto runThreads(const LoadMix &mix) -> LoadRun
{
    std::vector<std::unique_ptr<LoadThread>> loads;
    std::vector<std::thread> threads;
    for (auto i = 0; i < FLAGS_threads; ++i) {
        loads.push_back(std::make_unique<LoadThread>(optionsOf(mix, i)));
    }
    for (auto &load : loads) {
        threads.emplace_back([&load] {
            load->run();
        });
    }
    for (auto &thread : threads) {
        thread.join();
    }
    LoadRun run;
    run.mix_ = mix;
    for (const auto &load : loads) {
        run.samples_.insert(run.samples_.end(), load->samples().begin(), load->samples().end());
        run.elapsed_ = std::max(run.elapsed_, load->elapsed());
        run.maxSendDelay_ = std::max(run.maxSendDelay_, load->maxSendDelay());
    }
    return run;
}

auto measure() -> int
{
    const auto mix = FLAGS_mix.empty() ? LoadMix{LoadClass()} : readMix(FLAGS_mix);
    auto run = runThreads(mix);
    const auto executors = split(FLAGS_executors);
    run.executionCheck_ = checkExecutions(run.samples_, fetchExecutionCounts(executors), !executors.empty());
    const auto report = reportJson(run);
    std::cout << (FLAGS_json ? report.dump(2) + "\n" : reportText(report));
    return run.executionCheck_.isClean() ? 0 : 1;
}
} // namespace

auto main(int argc, char **argv) -> int
{
    gflags::SetUsageMessage("Open-loop load: --entries HOST:PORT,... --rate R --seconds S [--executors ...] [--bare ... --bare_rate R] [--mix FILE]. "
                            "Exit code 0 when the check of the requests is clean, 1 when it is not, 2 for invalid usage.");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    if ((FLAGS_entries.empty() && FLAGS_bare.empty()) || FLAGS_threads < 1 || FLAGS_rate < 0 || FLAGS_seconds <= 0) {
        std::cerr << "marjoramload: --entries or --bare is required, --threads and --seconds must be positive, and --rate must not be negative" << std::endl;
        return 2;
    }
    try {
        return measure();
    } catch (const std::exception &error) {
        std::cerr << "marjoramload: " << error.what() << std::endl;
        return 2;
    }
}
