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
/// The instance that sent a request, as authenticated.
struct PeerSender {
    InstanceId id_;
    Incarnation incarnation_ = 0;
};

/// Hooks for requests of other instances, one for each type. A reply hook may be called later, on the io_context, once. An error is sent
/// as a refusal with its kind and message. A request without a hook is refused as NotFound.
struct PeerHandlers {
    std::function<void(const PeerSender &, RuleSetRequest, std::function<void(Result<RuleSetReply>)>)> ruleSet_;
    std::function<void(const PeerSender &, ForwardRequest, std::function<void(Result<ForwardReply>)>)> forward_;
    std::function<void(const PeerSender &, TargetListMessage)> targetList_;
};

/// Limits of the server.
struct PeerServerOptions {
    std::size_t maxConnections_ = 256;
    /// Bytes of incomplete frames on all connections together; the connection that exceeds it is closed. Whoever opens connections
    /// needs no key, so the sum must stay far below the 128 MB of a node.
    std::size_t maxBufferedBytes_ = 32U << 20U;
    /// Requests of one connection that wait for their handlers; reading stops at this number.
    std::size_t maxPendingPerConnection_ = 64;
    /// A connection without traffic for this long is closed.
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

    /// Starts to listen; port 0 takes a free one. Throws std::system_error when the address cannot be bound. Returns the bound port.
    auto start(const std::string &host, std::uint16_t port) -> std::uint16_t;

    /// Closes the listener and all connections; no handler runs afterwards.
    auto close() -> void;

    /// Received messages that were dropped, by reason.
    [[nodiscard]] auto drops() const -> const DropCounters &;

    /// Number of open connections.
    [[nodiscard]] auto connections() const -> std::size_t;

private:
    class Impl;
    std::shared_ptr<Impl> impl_;
};
} // namespace Marjoramfold
