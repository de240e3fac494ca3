#pragma once

#include "marjoramfold/core/result.h"
#include "marjoramfold/http/httpmessage.h"

#include <asio/io_context.hpp>

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace Marjoramfold
{
/// A request to an HTTP server.
struct HttpClientRequest {
    std::string method_ = "GET";
    /// HOST:PORT of the server.
    std::string address_;
    /// Path and query.
    std::string target_;
    HttpHeaders headers_;
    std::string body_;
    /// Whole time for the exchange, connecting included.
    std::chrono::milliseconds timeout_{5'000};
    /// A header that the answer must repeat with the same value; an answer with another one ends the request and its connection.
    std::optional<HttpHeader> requiredEcho_ = std::nullopt;
    /// Opens a connection of its own, because those in use may have gone silent.
    bool freshConnection_ = false;
};

/// A complete answer: its body has the length that the server announced.
struct HttpClientResponse {
    int status_ = 0;
    HttpHeaders headers_;
    std::string body_;
};

/// Limits of an HTTP client.
struct HttpClientOptions {
    long maxConnectionsPerHost_ = 60;
    long maxIdleConnections_ = 512;
    std::chrono::milliseconds connectTimeout_{1'000};
    /// Largest answer body that is accepted, in bytes.
    std::size_t maxBodyBytes_ = 16U << 20U;
};

/// Bytes of HTTP messages of finished requests, without the headers of TCP and IP.
struct HttpClientBytes {
    std::uint64_t sent_ = 0;
    std::uint64_t received_ = 0;
};

/// Asynchronous HTTP client: libcurl's multi interface driven by the caller's io_context. Not thread-safe: use one per io_context.
///
/// Errors: ConnectFailed when no connection was made, so that no byte of the request was sent; Timeout or TransportFailed
/// when bytes may have reached the server; AnswerMismatch when the answer lacks the required echo. A request is sent at most once.
class HttpClient
{
public:
    using Callback = std::function<void(Result<HttpClientResponse>)>;

    explicit HttpClient(asio::io_context &context, HttpClientOptions options = {});
    ~HttpClient();
    HttpClient(const HttpClient &) = delete;
    auto operator=(const HttpClient &) -> HttpClient & = delete;

    /// Sends a request; the callback runs on the io_context, once. Destroying the client drops callbacks that have not run.
    auto send(HttpClientRequest request, Callback callback) -> void;

    /// Number of requests without an answer yet.
    [[nodiscard]] auto inFlight() const -> std::size_t;

    /// Bytes since the start.
    [[nodiscard]] auto bytes() const -> const HttpClientBytes &;

private:
    class Impl;
    std::shared_ptr<Impl> impl_;
};

/// Sends one request and waits for its answer; for command-line programs and tests.
[[nodiscard]] auto sendAndWait(HttpClientRequest request) -> Result<HttpClientResponse>;
} // namespace Marjoramfold
