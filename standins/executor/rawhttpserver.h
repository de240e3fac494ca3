#pragma once

#include "marjoramfold/http/httpmessage.h"

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace Marjoramfold
{
/// A request received by RawHttpServer.
struct RawRequest {
    std::string method_;
    std::string target_;
    HttpHeaders headers_;
    std::string body_;
};

/// An answer, with options that break it on the wire.
struct RawAnswer {
    int status_ = 200;
    HttpHeaders headers_;
    std::string body_;
    /// Sends only half of the body and closes the connection.
    bool truncated_ = false;
    /// Closes the connection without sending anything.
    bool dropped_ = false;
    bool close_ = false;
};

using RawResponder = std::function<void(RawAnswer)>;

/// A small HTTP/1.1 server for stand-ins that must send broken answers, which HttpServer cannot. Parses with http_parser.
class RawHttpServer
{
public:
    /// Receives the number of open connections, so that it can refuse requests above its limit.
    using Handler = std::function<void(RawRequest, std::size_t openConnections, RawResponder)>;

    RawHttpServer(asio::io_context &context, const std::string &address, std::uint16_t port, Handler handler);

    /// The bound port.
    [[nodiscard]] auto port() const -> std::uint16_t;

private:
    auto accept() -> void;

    asio::ip::tcp::acceptor acceptor_;
    std::shared_ptr<Handler> handler_;
    std::shared_ptr<std::size_t> openConnections_ = std::make_shared<std::size_t>(0);
};
} // namespace Marjoramfold
