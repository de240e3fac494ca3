#pragma once

#include "marjoramfold/membership/envelope.h"
#include "marjoramfold/membership/membershipmessages.h"

#include <asio/io_context.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace Marjoramfold
{
/// Numbers of datagrams and bytes, excluding UDP and IP headers.
struct DatagramCounters {
    std::uint64_t sent_ = 0;
    std::uint64_t sentBytes_ = 0;
    std::uint64_t received_ = 0;
    std::uint64_t receivedBytes_ = 0;
    /// Messages that were not sent: invalid or unresolved address, over the limit, no signing key, or a socket error.
    std::uint64_t notSent_ = 0;
};

/// Sends and receives the datagrams of Membership on the caller's io_context, which exactly one thread must run.
class UdpTransport
{
public:
    using Handler = std::function<void(PeerDatagram)>;

    /// The key ring must outlive the transport. Messages that fail a check are counted and not passed to the handler.
    UdpTransport(asio::io_context &context, PeerIdentity self, const KeyRing &keys, Handler handler);
    ~UdpTransport();
    UdpTransport(const UdpTransport &) = delete;
    auto operator=(const UdpTransport &) -> UdpTransport & = delete;

    /// Binds and starts receiving; port 0 selects a free one. Throws std::system_error when the address cannot be bound. Returns the bound port.
    auto start(const std::string &host, std::uint16_t port) -> std::uint16_t;

    /// Sends a message; host names are resolved in the background and cached. Failures are only counted, since datagrams may be lost anyway.
    auto send(const SendDatagram &command) -> void;

    /// Closes the socket; the handler is not called afterwards.
    auto close() -> void;

    [[nodiscard]] auto counters() const -> const DatagramCounters &;

    /// Received messages that were dropped, by reason.
    [[nodiscard]] auto drops() const -> const DropCounters &;

private:
    class Impl;
    std::shared_ptr<Impl> impl_;
};
} // namespace Marjoramfold
