#pragma once

#include "routefaults.h"

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>

#include <memory>
#include <set>

namespace Marjoramfold
{
class TcpLink;

/// Forwards TCP connections to one server, with faults.
class TcpRoute
{
public:
    TcpRoute(asio::io_context &context, RouteOptions options, std::uint64_t seed);

    /// The bound port.
    [[nodiscard]] auto port() const -> std::uint16_t;

    /// Sets the faults of open and new connections.
    auto setFaults(const RouteFaults &faults) -> void;

    /// Resets every open connection on both sides.
    auto resetAll() -> void;

    [[nodiscard]] auto openConnections() -> std::size_t;

private:
    auto accept() -> void;
    auto open(asio::ip::tcp::socket client) -> void;
    auto removeClosed() -> void;

    RouteOptions options_;
    asio::ip::tcp::acceptor acceptor_;
    std::shared_ptr<RouteFaults> faults_ = std::make_shared<RouteFaults>();
    std::mt19937_64 random_;
    std::set<std::weak_ptr<TcpLink>, std::owner_less<>> links_;
};
} // namespace Marjoramfold
