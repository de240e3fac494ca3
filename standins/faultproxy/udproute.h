#pragma once

#include "routefaults.h"

#include <asio/io_context.hpp>
#include <asio/ip/udp.hpp>

#include <array>
#include <map>
#include <memory>

namespace Marjoramfold
{
/// Forwards datagrams to one server, with faults. Each client has its own socket to the server, so that replies reach the right client.
class UdpRoute
{
public:
    UdpRoute(asio::io_context &context, RouteOptions options, std::uint64_t seed);

    /// The bound port.
    [[nodiscard]] auto port() const -> std::uint16_t;

    auto setFaults(const RouteFaults &faults) -> void;

    /// Number of clients seen.
    [[nodiscard]] auto clients() const -> std::size_t;

private:
    using Endpoint = asio::ip::udp::endpoint;
    using Socket = asio::ip::udp::socket;

    static constexpr std::size_t MaxDatagramBytes = 65'536;

    /// Socket to the server for one client.
    struct Peer {
        explicit Peer(asio::io_context &context)
            : socket_(context)
        {
        }
        Socket socket_;
        Endpoint from_;
        std::array<char, MaxDatagramBytes> buffer_{};
    };

    auto receiveFromClients() -> void;
    auto receiveFromServer(const std::shared_ptr<Peer> &peer, const Endpoint &client) -> void;
    auto peerOf(const Endpoint &client) -> std::shared_ptr<Peer>;
    auto forward(bool isCut, std::string datagram, std::function<void(const std::string &)> send) -> void;

    asio::io_context &context_;
    RouteOptions options_;
    Socket socket_;
    Endpoint server_;
    Endpoint sender_;
    std::array<char, MaxDatagramBytes> buffer_{};
    RouteFaults faults_;
    std::mt19937_64 random_;
    std::map<Endpoint, std::shared_ptr<Peer>> peers_;
};
} // namespace Marjoramfold
