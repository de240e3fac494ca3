#pragma once

#include "marjoramfold/core/result.h"
#include "marjoramfold/membership/envelope.h"
#include "marjoramfold/membership/peerclient.h"
#include "marjoramfold/membership/peerprotocol.h"

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/steady_timer.hpp>

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>

namespace Marjoramfold
{
/// Client side of one connection to a peer. It cannot be reused once it is closed.
class PeerConnection : public std::enable_shared_from_this<PeerConnection>
{
public:
    using Callback = std::function<void(Result<PeerMessage>)>;

    /// The codec must outlive the connection.
    PeerConnection(asio::io_context &context, PeerTarget target, EnvelopeCodec &codec, PeerClientOptions options);

    /// Starts connecting to the peer.
    auto start() -> void;

    /// Sends a request; its correlation id must not be in use.
    auto request(std::uint64_t correlation, const PeerMessage &message, std::chrono::milliseconds timeout, Callback done) -> void;

    /// Closes the connection and discards all callbacks.
    auto close() -> void;

    [[nodiscard]] auto isClosed() const -> bool;

private:
    struct Pending {
        Callback done_;
        std::shared_ptr<asio::steady_timer> timer_;
        /// True once bytes of the request may have been sent.
        bool sent_ = false;
    };

    struct Outgoing {
        std::uint64_t correlation_ = 0;
        std::string bytes_;
    };

    /// Fails a request that was not sent; posts its callback to the io_context.
    auto refuse(Error error, Callback done) -> void;
    auto connect(const std::string &host, const std::string &port) -> void;
    auto connected() -> void;
    auto read() -> void;
    auto processFrames() -> void;
    auto write() -> void;
    auto timedOut(std::uint64_t correlation) -> void;
    auto finish(std::uint64_t correlation, Result<PeerMessage> result) -> void;
    auto fail(const std::string &reason) -> void;
    auto restartIdleTimer() -> void;

    asio::io_context &context_;
    PeerTarget target_;
    EnvelopeCodec &codec_;
    PeerClientOptions options_;
    asio::ip::tcp::socket socket_;
    asio::ip::tcp::resolver resolver_;
    asio::steady_timer connectTimer_;
    asio::steady_timer idleTimer_;
    std::string chunk_;
    FrameAssembler assembler_;
    std::map<std::uint64_t, Pending> pending_;
    std::deque<Outgoing> outgoing_;
    bool connected_ = false;
    bool writing_ = false;
    bool closed_ = false;
};
} // namespace Marjoramfold
