#include "standins/worker/workerserver.h"

#include <asio/io_context.hpp>
#include <asio/signal_set.hpp>
#include <gflags/gflags.h>
#include <glog/logging.h>

#include <fstream>

DEFINE_string(address, "127.0.0.1", "address to listen on");
DEFINE_uint32(port, 0, "port to listen on; 0 selects a free one");
DEFINE_string(port_file, "", "file to write the bound port to");
DEFINE_string(platform, "", "HOST:PORT of the platform to register with");
DEFINE_string(id, "worker-1", "identifier of this worker");
DEFINE_string(availability_zone, "", "availability zone of this worker");
DEFINE_string(rack, "rack-1", "rack of this worker");
DEFINE_int32(accelerators, 8, "accelerators");
DEFINE_int32(cores, 130, "processor cores");
DEFINE_int64(memory_mb, 500'000, "memory in megabytes");
DEFINE_int64(usage_lag_ms, 1'000, "lag of usage reports in milliseconds");

using namespace Marjoramfold;

auto main(int argc, char **argv) -> int
{
    FLAGS_logtostderr = true;
    gflags::SetUsageMessage("Stand-in for a worker of the platform, for tests and demonstrations.");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    google::InitGoogleLogging(argv[0]);
    asio::io_context context;
    asio::signal_set signals(context, SIGINT, SIGTERM);
    signals.async_wait([&context](const std::error_code &, int) {
        context.stop();
    });
    Standins::WorkerServer server(context,
                                  {FLAGS_address,
                                   static_cast<std::uint16_t>(FLAGS_port),
                                   FLAGS_platform,
                                   WorkerId(FLAGS_id),
                                   AvailabilityZoneId(FLAGS_availability_zone),
                                   RackId(FLAGS_rack),
                                   {FLAGS_accelerators, FLAGS_cores, FLAGS_memory_mb},
                                   std::chrono::milliseconds(FLAGS_usage_lag_ms)});
    const auto port = server.start();
    if (!FLAGS_port_file.empty()) {
        std::ofstream(FLAGS_port_file) << port << "\n";
    }
    LOG(INFO) << "worker_started worker=" << FLAGS_id << " address=" << FLAGS_address << ":" << port;
    context.run();
    return 0;
}
