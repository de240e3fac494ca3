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
/// A request that the raw server received.
struct RawRequest {
    std::string method_;
    std::string target_;
    HttpHeaders headers_;
    std::string body_;
};

/// One answer with full control over what goes wrong on the wire.
struct RawAnswer {
    int status_ = 200;
    HttpHeaders headers_;
    std::string body_;
    /// Sends only half of the body and closes the connection.
    bool torn_ = false;
    /// Closes the connection without a byte.
    bool dropped_ = false;
    bool close_ = false;
};

using RawResponder = std::function<void(RawAnswer)>;

/// A small HTTP/1.1 server for stand-ins that have to send broken answers, which the real server cannot. Parses with http_parser.
class RawHttpServer
{
public:
    /// The handler gets the number of open connections, so that it can refuse beyond its limit.
    using Handler = std::function<void(RawRequest, std::size_t openConnections, RawResponder)>;

    RawHttpServer(asio::io_context &context, const std::string &address, std::uint16_t port, Handler handler);

    /// The bound port.
    [[nodiscard]] auto port() const -> std::uint16_t;

private:
    auto accept() -> void;

    asio::ip::tcp::acceptor acceptor_;
    std::shared_ptr<Handler> handler_;
    std::shared_ptr<std::size_t> open_ = std::make_shared<std::size_t>(0);
};
} // namespace Marjoramfold
