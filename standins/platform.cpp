#include "standins/platform/platformservice.h"

#include <asio/signal_set.hpp>
#include <gflags/gflags.h>
#include <glog/logging.h>

#include <exception>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <sstream>

DEFINE_string(address, "127.0.0.1", "address to listen on");
DEFINE_uint32(port, 0, "port to listen on; 0 selects a free one");
DEFINE_string(port_file, "", "file to write the bound port to");
DEFINE_uint64(retention_records, 1'000'000, "records that a stream keeps");
DEFINE_uint64(retention_ms, 86'400'000, "time that a record is kept, in milliseconds");
DEFINE_int32(appends_per_second, 500, "appended records per second above which the log answers 503; 0 for no limit");
DEFINE_uint64(list_lag_ms, 1'000, "age of the instance list, in milliseconds");
DEFINE_string(instances, "", "JSON file with static entries of the instance list, an array");
DEFINE_uint64(seed, 1, "seed of random faults");

namespace
{
using namespace Marjoramfold;

/// Reads the static entries of the instance list from a file; returns false when an entry is invalid.
auto readStaticInstances(const std::string &path, InstanceList &list) -> bool
{
    std::ifstream file(path);
    std::stringstream text;
    text << file.rdbuf();
    const auto parsed = decodeInstanceList("{\"as_of_ms\":0,\"instances\":" + text.str() + "}");
    if (!file || !isOk(parsed) || valueOf(parsed).malformed_ > 0) {
        return false;
    }
    list = valueOf(parsed);
    return true;
}

auto run() -> int
{
    asio::io_context context;
    Standin::PlatformOptions options;
    options.retention_ = {FLAGS_retention_records, std::chrono::milliseconds(FLAGS_retention_ms)};
    options.maxAppendsPerSecond_ = FLAGS_appends_per_second;
    options.seed_ = FLAGS_seed;
    Standin::PlatformService service(context, options);
    service.instances().setLag(std::chrono::milliseconds(FLAGS_list_lag_ms));
    if (!FLAGS_instances.empty()) {
        InstanceList list;
        if (!readStaticInstances(FLAGS_instances, list)) {
            std::cerr << "standin-platform: " << FLAGS_instances << ": not a valid JSON array of instances\n";
            return 2;
        }
        for (const auto &instance : list.instances_) {
            service.instances().addStatic(instance, std::chrono::steady_clock::now());
        }
    }

    HttpServer server(context, {FLAGS_address, static_cast<std::uint16_t>(FLAGS_port)}, [&service](HttpServerRequest request, HttpResponder respond) {
        service.handle(std::move(request), std::move(respond));
    });
    const auto port = server.start();
    if (!FLAGS_port_file.empty()) {
        // Renamed into place, so that a reader never sees an empty file.
        std::ofstream(FLAGS_port_file + ".new") << port << '\n';
        std::filesystem::rename(FLAGS_port_file + ".new", FLAGS_port_file);
    }
    LOG(INFO) << "platform_listening address=" << FLAGS_address << " port=" << port;

    asio::signal_set signals(context, SIGINT, SIGTERM);
    signals.async_wait([&](const std::error_code & /*error*/, int /*signal*/) {
        context.stop();
    });
    context.run();
    return 0;
}
} // namespace

auto main(int argc, char **argv) -> int
{
    gflags::SetUsageMessage("stand-in for the platform: log, instance list and fault control");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    FLAGS_logtostderr = true;
    google::InitGoogleLogging(argv[0]);
    try {
        return run();
    } catch (const std::exception &error) {
        std::cerr << "standin-platform: " << error.what() << '\n';
        return 2;
    }
}
