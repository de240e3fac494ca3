// Serves only the request interface of an entry instance, with targets from the command line instead of a platform.
// Used to measure the request path in isolation.

#include "marjoramfold/api/erroranswer.h"
#include "marjoramfold/api/requesthandlers.h"

#include <asio/executor_work_guard.hpp>
#include <asio/signal_set.hpp>
#include <gflags/gflags.h>

#include <csignal>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <sstream>
#include <thread>

DEFINE_string(address, "127.0.0.1", "address to listen on");
DEFINE_int32(port, 0, "port to listen on; 0 selects a free port");
DEFINE_string(port_file, "", "file to write the bound port to");
DEFINE_string(targets, "", "comma-separated HOST:PORT of the targets");
DEFINE_string(zone, "cluj-a", "availability zone of the entry and of its targets");
DEFINE_string(id, "entry-1", "id of the instance");
DEFINE_int32(threads, 2, "number of traffic threads");
DEFINE_int32(slots, 8, "maximum concurrent requests per target");

namespace
{
using namespace Marjoramfold;

auto targetList() -> TargetListPointer
{
    auto list = std::make_shared<TargetList>();
    list->asOf_ = std::chrono::system_clock::now();
    std::istringstream addresses(FLAGS_targets);
    std::string address;
    while (std::getline(addresses, address, ',')) {
        list->targets_.push_back({TargetId(address), AvailabilityZoneId(FLAGS_zone), address, false});
    }
    return list;
}

auto routerOptions() -> RouterGroupOptions
{
    RouterGroupOptions options;
    const auto incarnation = static_cast<std::uint64_t>(std::chrono::system_clock::now().time_since_epoch().count());
    auto &dispatcher = options.router_.dispatcher_;
    dispatcher.self_ = {InstanceId(FLAGS_id), incarnation};
    dispatcher.pool_.ownZone_ = AvailabilityZoneId(FLAGS_zone);
    dispatcher.keySecrets_ = {"request-entry"};
    dispatcher.seed_ = incarnation;
    options.slotsPerTarget_ = FLAGS_slots;
    return options;
}

/// HTTP server and request handlers of one traffic thread.
struct TrafficThread {
    explicit TrafficThread(RouterGroup &routers, std::size_t index)
        : commands_(routers, index)
        , queries_(routers, index)
    {
    }

    auto listen(asio::io_context &context, std::uint16_t port) -> std::uint16_t
    {
        HttpServerOptions options;
        options.address_ = FLAGS_address;
        options.port_ = port;
        options.reusePort_ = true;
        server_ = std::make_unique<HttpServer>(context, options, [this](HttpServerRequest request, const HttpResponder &respond) {
            if (!handleRequestPath(commands_, queries_, request, respond)) {
                respond(errorResponse({ErrorKind::NotFound, "no such path", std::nullopt}));
            }
        });
        return server_->start();
    }

    RequestCommandHandlers commands_;
    RequestQueryHandlers queries_;
    std::unique_ptr<HttpServer> server_;
};

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
    std::vector<std::unique_ptr<asio::io_context>> contexts;
    std::vector<asio::io_context *> pointers;
    for (auto i = 0; i < FLAGS_threads; ++i) {
        contexts.push_back(std::make_unique<asio::io_context>(1));
        pointers.push_back(contexts.back().get());
    }
    RouterGroup routers(pointers, routerOptions(), {});
    routers.publishRules(std::make_shared<RuleSet>());
    routers.publishTargets(targetList());

    std::vector<std::unique_ptr<TrafficThread>> traffic;
    auto port = static_cast<std::uint16_t>(FLAGS_port);
    for (std::size_t i = 0; i < pointers.size(); ++i) {
        traffic.push_back(std::make_unique<TrafficThread>(routers, i));
        port = traffic.back()->listen(*pointers[i], port);
    }
    writePortFile(port);
    std::cout << "event=listening id=" << FLAGS_id << " port=" << port << std::endl;

    std::vector<std::thread> threads;
    threads.reserve(pointers.size());
    for (auto *context : pointers) {
        threads.emplace_back([context] {
            context->run();
        });
    }
    asio::io_context control(1);
    asio::signal_set signals(control, SIGTERM, SIGINT);
    signals.async_wait([&](const std::error_code & /*error*/, int /*signal*/) {
        routers.drain([&] {
            control.stop();
        });
    });
    const auto keepRunning = asio::make_work_guard(control);
    control.run();
    for (auto *context : pointers) {
        context->stop();
    }
    for (auto &thread : threads) {
        thread.join();
    }
}
} // namespace

auto main(int argc, char **argv) -> int
{
    gflags::SetUsageMessage("Serves the request interface of an entry instance without a platform: --targets HOST:PORT,...");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    try {
        run();
    } catch (const std::exception &error) {
        std::cerr << "event=failed message=\"" << error.what() << "\"" << std::endl;
        return 1;
    }
    return 0;
}
