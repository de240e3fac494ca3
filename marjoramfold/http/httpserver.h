#pragma once

#include "marjoramfold/http/httpmessage.h"

#include <asio/io_context.hpp>

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace Marjoramfold
{
/// A request that a server received.
struct HttpServerRequest {
    std::string method_;
    /// Path and query.
    std::string target_;
    HttpHeaders headers_;
    std::string body_;
};

/// A response to a request.
struct HttpServerResponse {
    int status_ = 200;
    HttpHeaders headers_;
    std::string body_;
    std::string contentType_ = "application/json";
    bool closeConnection_ = false;
};

/// Sends the response to one request. May be called later and from any thread, once; without a call the connection stays open until it times out.
using HttpResponder = std::function<void(HttpServerResponse)>;

/// Handles a request on the server's io_context.
using HttpHandler = std::function<void(HttpServerRequest, HttpResponder)>;

/// Address and limits of a server.
struct HttpServerOptions {
    std::string address_ = "127.0.0.1";
    /// 0 selects a free port.
    std::uint16_t port_ = 0;
    /// Allows several servers, one per io_context, to share the port; the kernel distributes connections over them.
    bool reusePort_ = false;
    std::chrono::milliseconds idleTimeout_{60'000};
    std::chrono::milliseconds handlerTimeout_{300'000};
    std::size_t maxBodyBytes_ = 4U << 20U;
};

/// HTTP/1.1 server on the caller's io_context, which must be run by exactly one thread.
class HttpServer
{
public:
    HttpServer(asio::io_context &context, HttpServerOptions options, HttpHandler handler);
    ~HttpServer();
    HttpServer(const HttpServer &) = delete;
    auto operator=(const HttpServer &) -> HttpServer & = delete;

    /// Starts listening and returns the bound port. Throws std::exception when the address cannot be bound.
    auto start() -> std::uint16_t;

    /// Stops accepting connections; open connections are served until they are closed.
    auto stopAccepting() -> void;

    /// Closes the server; the same as stopAccepting().
    auto close() -> void;

private:
    class Impl;
    std::unique_ptr<Impl> impl_;
};
} // namespace Marjoramfold
