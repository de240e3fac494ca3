#pragma once

#include "marjoramfold/core/result.h"
#include "marjoramfold/membership/envelope.h"

#include <asio/io_context.hpp>

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace Marjoramfold
{
/// The authenticated sender of a request.
struct PeerSender {
    InstanceId id_;
    Incarnation incarnation_ = 0;
};

/// Handlers for requests of other instances, one for each type. The reply callback is called once, possibly later, on the
/// io_context. An error is sent as a refusal with its kind and message. A request without a handler is refused as NotFound.
struct PeerHandlers {
    std::function<void(const PeerSender &, RuleSetRequest, std::function<void(Result<RuleSetReply>)>)> ruleSet_;
    std::function<void(const PeerSender &, ForwardRequest, std::function<void(Result<ForwardReply>)>)> forward_;
    std::function<void(const PeerSender &, TargetListMessage)> targetList_;
};

/// Limits of the server.
struct PeerServerOptions {
    std::size_t maxConnections_ = 256;
    /// Bytes of incomplete frames on all connections together; the connection that exceeds it is closed. Opening a connection
    /// requires no key, so the sum must stay far below the 128 MB of an instance.
    std::size_t maxBufferedBytes_ = 32U << 20U;
    /// Requests of one connection that are waiting for a reply; at this number the server stops reading from the connection.
    std::size_t maxPendingPerConnection_ = 64;
    /// Time without received data after which a connection without pending requests is closed.
    std::chrono::milliseconds idleTimeout_{60'000};
};

/// Answers framed requests of other instances over TCP, on the caller's io_context, which exactly one thread must run.
class PeerServer
{
public:
    /// The key ring must outlive the server.
    PeerServer(asio::io_context &context, PeerIdentity self, const KeyRing &keys, PeerHandlers handlers, PeerServerOptions options = {});
    ~PeerServer();
    PeerServer(const PeerServer &) = delete;
    auto operator=(const PeerServer &) -> PeerServer & = delete;

    /// Starts listening; port 0 selects a free one. Throws std::system_error when the address cannot be bound. Returns the bound port.
    auto start(const std::string &host, std::uint16_t port) -> std::uint16_t;

    /// Closes the listener and all connections; no handler is called afterwards.
    auto close() -> void;

    /// Received messages that were dropped, by reason.
    [[nodiscard]] auto drops() const -> const DropCounters &;

    [[nodiscard]] auto connections() const -> std::size_t;

private:
    class Impl;
    std::shared_ptr<Impl> impl_;
};
} // namespace Marjoramfold
