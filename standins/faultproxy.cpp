// Forwards TCP and UDP between programs under test, with faults set over HTTP.

#include "faultproxy/faultproxy.h"

#include <asio/signal_set.hpp>
#include <gflags/gflags.h>

#include <csignal>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <sstream>

DEFINE_string(address, "127.0.0.1", "address to listen on, for the control interface and the routes");
DEFINE_int32(port, 0, "port of the control interface; 0 selects a free one");
DEFINE_string(port_file, "", "file to write the port of the control interface to");
DEFINE_string(routes, "", "comma-separated NAME=PROTOCOL:LISTENPORT:HOST:PORT with PROTOCOL tcp, udp or both; LISTENPORT 0 selects a free one");
DEFINE_uint64(seed, 1, "seed of random losses");

namespace
{
using namespace Marjoramfold;

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
    FaultProxy proxy(context, FLAGS_address, FLAGS_seed);
    std::istringstream routes(FLAGS_routes);
    for (std::string route; std::getline(routes, route, ',');) {
        proxy.addRoute(route);
    }
    HttpServerOptions options;
    options.address_ = FLAGS_address;
    options.port_ = static_cast<std::uint16_t>(FLAGS_port);
    HttpServer control(context, options, [&proxy](const HttpServerRequest &request, const HttpResponder &respond) {
        proxy.handle(request, respond);
    });
    const auto port = control.start();
    writePortFile(port);
    std::cout << "event=listening port=" << port << std::endl;
    asio::signal_set signals(context, SIGTERM, SIGINT);
    signals.async_wait([&context](const std::error_code & /*error*/, int /*signal*/) {
        context.stop();
    });
    context.run();
}
} // namespace

auto main(int argc, char **argv) -> int
{
    gflags::SetUsageMessage("Fault proxy: --routes NAME=tcp:LISTENPORT:HOST:PORT,...; POST /v1/faults, GET /v1/routes.");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    try {
        run();
    } catch (const std::exception &error) {
        std::cerr << "event=failed message=\"" << error.what() << "\"" << std::endl;
        return 1;
    }
    return 0;
}
