#pragma once

#include <chrono>
#include <cstdint>
#include <random>
#include <string>

namespace Marjoramfold
{
/// Faults of one route. They apply immediately to open and new connections.
struct RouteFaults {
    /// Delay of every chunk or datagram, in order.
    std::chrono::milliseconds delay_{0};
    /// Probability that a datagram is lost, and that a new TCP connection is reset at once.
    double drop_ = 0;
    /// Blocks traffic to the server. TCP bytes are delivered when the cut ends, as by retransmission; datagrams are lost.
    bool cutToServer_ = false;
    /// Blocks traffic to the client.
    bool cutToClient_ = false;
};

/// Name and addresses of one route.
struct RouteOptions {
    std::string name_;
    std::string listenAddress_ = "127.0.0.1";
    std::uint16_t listenPort_ = 0;
    std::string serverAddress_;
    std::uint16_t serverPort_ = 0;
};

/// Returns true with the given probability.
inline auto chance(double probability, std::mt19937_64 &random) -> bool
{
    return probability > 0 && std::uniform_real_distribution<double>(0, 1)(random) < probability;
}
} // namespace Marjoramfold
