#pragma once

#include "marjoramfold/core/result.h"
#include "marjoramfold/membership/envelope.h"

#include <asio/io_context.hpp>

#include <chrono>
#include <functional>
#include <memory>
#include <string>

namespace Marjoramfold
{
/// The instance that a request goes to.
struct PeerTarget {
    InstanceId id_;
    /// HOST:PORT of its TCP server.
    std::string address_;
};

/// Limits of the client.
struct PeerClientOptions {
    std::chrono::milliseconds connectTimeout_{1'000};
    /// Requests to one peer that are waiting for a reply.
    std::size_t maxPendingPerPeer_ = 1'024;
    /// Time after which an unused connection is closed.
    std::chrono::milliseconds idleTimeout_{30'000};
};

/// Sends framed requests to other instances over TCP, one connection for each peer, on the caller's io_context, which exactly
/// one thread must run. Each callback runs once; destroying the client discards those that have not run.
///
/// Errors: ConnectFailed when no byte of the request was sent; Timeout or TransportFailed when the peer may have received it;
/// QueueFull when too many requests are pending; InvalidRequest when the message exceeds the frame limit; Malformed when the reply
/// has the wrong type; else the kind of the peer's refusal.
class PeerClient
{
public:
    /// The key ring must outlive the client.
    PeerClient(asio::io_context &context, PeerIdentity self, const KeyRing &keys, PeerClientOptions options = {});
    ~PeerClient();
    PeerClient(const PeerClient &) = delete;
    auto operator=(const PeerClient &) -> PeerClient & = delete;

    /// Requests a peer's rule set if it is newer than a version. A reply with empty text means that the peer has no newer one.
    auto requestRuleSet(const PeerTarget &peer, Offset newerThan, std::chrono::milliseconds timeout, std::function<void(Result<RuleSetReply>)> done) -> void;

    /// Forwards a request with an issued key; the timeout is the time left until the deadline and is part of the message.
    auto forward(const PeerTarget &peer, std::string key, std::string body, std::chrono::milliseconds timeout, std::function<void(Result<ForwardReply>)> done)
        -> void;

    /// Sends the list of leaving targets to a peer.
    auto sendTargetList(const PeerTarget &peer, TargetListMessage message, std::chrono::milliseconds timeout, std::function<void(Result<Success>)> done)
        -> void;

    /// Closes all connections and discards all callbacks.
    auto close() -> void;

    /// Received messages that were dropped, by reason.
    [[nodiscard]] auto drops() const -> const DropCounters &;

private:
    class Impl;
    std::shared_ptr<Impl> impl_;
};
} // namespace Marjoramfold
