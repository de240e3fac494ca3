#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/ip/udp.hpp>
#include <gflags/gflags.h>

#include <iostream>
#include <list>

DEFINE_string(address, "127.0.0.1", "address on which the ports must be free");
DEFINE_int32(count, 1, "number of ports");

namespace
{
/// A port that is bound for TCP and UDP until this object is destroyed.
struct BoundPort {
    asio::ip::tcp::acceptor tcp_;
    asio::ip::udp::socket udp_;
};

/// Binds a port that the system chooses for TCP, and the same one for UDP; returns false when it is in use for UDP.
auto bindPort(asio::io_context &context, const asio::ip::address &address, std::list<BoundPort> &ports) -> bool
{
    asio::ip::tcp::acceptor tcp(context, {address, 0}, false);
    asio::ip::udp::socket udp(context, asio::ip::udp::v4());
    std::error_code error;
    udp.bind({address, tcp.local_endpoint().port()}, error);
    if (error) {
        return false;
    }
    ports.push_back({std::move(tcp), std::move(udp)});
    return true;
}
} // namespace

auto main(int argc, char **argv) -> int
{
    gflags::SetUsageMessage("Prints ports that are free for TCP and UDP, one per line.");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    asio::io_context context;
    const auto address = asio::ip::make_address(FLAGS_address);
    // All ports stay bound until the last one is found, so that none is printed twice.
    std::list<BoundPort> ports;
    while (ports.size() < static_cast<std::size_t>(FLAGS_count)) {
        static_cast<void>(bindPort(context, address, ports));
    }
    for (const auto &port : ports) {
        std::cout << port.tcp_.local_endpoint().port() << "\n";
    }
    return 0;
}
