#pragma once

#include "marjoramfold/http/httpclient.h"

#include <asio/io_context.hpp>

#include <cstddef>
#include <memory>

namespace Marjoramfold
{
/// Asynchronous HTTP client for many servers at once, each with a few open connections. Not thread-safe: use one per io_context.
///
/// Has the errors of HttpClient, but its cost of a request does not grow with the number of servers: libcurl walks lists of all its
/// requests and connections. Addresses are IP:PORT, and responses are not checked for an echo.
class PersistentHttpClient
{
public:
    using Callback = HttpClient::Callback;

    explicit PersistentHttpClient(asio::io_context &context, HttpClientOptions options = {});
    ~PersistentHttpClient();
    PersistentHttpClient(const PersistentHttpClient &) = delete;
    auto operator=(const PersistentHttpClient &) -> PersistentHttpClient & = delete;

    /// Sends a request; the callback runs once, on the io_context. Callbacks that have not run when the client is destroyed are dropped.
    auto send(HttpClientRequest request, Callback callback) -> void;

    /// Number of requests without a result.
    [[nodiscard]] auto inFlight() const -> std::size_t;

    /// Number of connections that wait for a request.
    [[nodiscard]] auto idleConnections() const -> std::size_t;

private:
    class Impl;
    std::shared_ptr<Impl> impl_;
};
} // namespace Marjoramfold
