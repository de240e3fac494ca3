#pragma once

#include <chrono>
#include <cstdint>
#include <random>
#include <string>

namespace Marjoramfold
{
/// Faults of one route. They apply to open and new connections at once.
struct RouteFaults {
    /// Time by which every chunk or datagram is held back, in order.
    std::chrono::milliseconds delay_{0};
    /// Share of datagrams that are lost, and of new TCP connections that are closed at once.
    double drop_ = 0;
    /// Nothing passes towards the server. TCP bytes wait and pass when the cut ends, as retransmissions do; datagrams are lost.
    bool cutToServer_ = false;
    /// Nothing passes towards the client.
    bool cutToClient_ = false;
};

/// One forwarded address.
struct RouteOptions {
    std::string name_;
    std::string listenAddress_ = "127.0.0.1";
    std::uint16_t listenPort_ = 0;
    std::string serverAddress_;
    std::uint16_t serverPort_ = 0;
};

/// True for the given share of calls.
inline auto hits(double share, std::mt19937_64 &random) -> bool
{
    return share > 0 && std::uniform_real_distribution<double>(0, 1)(random) < share;
}
} // namespace Marjoramfold
