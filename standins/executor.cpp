// Stand-in for a target of requests: see docs/design.md, section 5.10.

#include "executor/executor.h"

#include "marjoramfold/http/httpclient.h"

#include <asio/signal_set.hpp>
#include <gflags/gflags.h>

#include <csignal>
#include <filesystem>
#include <fstream>
#include <iostream>

DEFINE_string(address, "127.0.0.1", "address to listen on");
DEFINE_int32(port, 0, "port to listen on; 0 selects a free one");
DEFINE_string(port_file, "", "file to write the bound port to");
DEFINE_string(zone, "cluj-a", "availability zone of the executor");
DEFINE_string(id, "executor-1", "id of the executor");
DEFINE_string(platform, "", "HOST:PORT of the platform to register with; empty for none");
DEFINE_int32(slots, 8, "maximum number of concurrent executions");
DEFINE_int32(connections, 60, "maximum number of open connections");
DEFINE_int32(work_us, 0, "duration of one execution in microseconds");

namespace
{
using namespace Marjoramfold;

/// Interval of registrations, which the platform treats as heartbeats.
constexpr std::chrono::seconds HeartbeatInterval{1};

/// Registers the executor with the platform at a fixed interval.
class Registration
{
public:
    Registration(asio::io_context &context, const Executor &executor)
        : client_(context)
        , timer_(context)
        , executor_(executor)
    {
        sendHeartbeat();
    }

private:
    auto sendHeartbeat() -> void
    {
        const nlohmann::json entry = {{"id", FLAGS_id},
                                      {"role", "target"},
                                      {"availability_zone", FLAGS_zone},
                                      {"address", FLAGS_address + ":" + std::to_string(executor_.port())},
                                      {"state", executor_.isLeaving() ? "leaving" : "live"}};
        client_.send({"PUT", FLAGS_platform, "/v1/instances/" + FLAGS_id, {{"Content-Type", "application/json"}}, entry.dump(), HeartbeatInterval},
                     [](const Result<HttpClientResponse> & /*result*/) {
                         // A failed heartbeat is not retried; the next one follows at the regular interval.
                     });
        timer_.expires_after(HeartbeatInterval);
        timer_.async_wait([this](const std::error_code &error) {
            if (!error) {
                sendHeartbeat();
            }
        });
    }

    HttpClient client_;
    asio::steady_timer timer_;
    const Executor &executor_;
};

/// Writes the port to a temporary file and renames it, so that a reader never sees a partial file.
auto writePortFile(std::uint16_t port) -> void
{
    if (FLAGS_port_file.empty()) {
        return;
    }
    const auto temporary = FLAGS_port_file + ".tmp";
    std::ofstream(temporary) << port << "\n";
    std::filesystem::rename(temporary, FLAGS_port_file);
}

auto run() -> void
{
    asio::io_context context(1);
    Executor executor(context,
                      {FLAGS_id,
                       FLAGS_address,
                       static_cast<std::uint16_t>(FLAGS_port),
                       FLAGS_slots,
                       static_cast<std::size_t>(FLAGS_connections),
                       std::chrono::microseconds(FLAGS_work_us),
                       std::hash<std::string>()(FLAGS_id)});
    writePortFile(executor.port());
    std::cout << "event=listening id=" << FLAGS_id << " address=" << FLAGS_address << " port=" << executor.port() << std::endl;
    std::optional<Registration> registration;
    if (!FLAGS_platform.empty()) {
        registration.emplace(context, executor);
    }
    asio::signal_set signals(context, SIGTERM, SIGINT);
    signals.async_wait([&context](const std::error_code & /*error*/, int /*signal*/) {
        context.stop();
    });
    context.run();
}
} // namespace

auto main(int argc, char **argv) -> int
{
    gflags::SetUsageMessage("Executor stand-in: POST /v1/execute, POST /v1/faults, GET /v1/account.");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    try {
        run();
    } catch (const std::exception &error) {
        std::cerr << "event=failed message=\"" << error.what() << "\"" << std::endl;
        return 1;
    }
    return 0;
}
