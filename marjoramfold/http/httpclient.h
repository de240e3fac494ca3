#pragma once

#include "marjoramfold/core/result.h"
#include "marjoramfold/http/httpmessage.h"
#include "marjoramfold/observability/workmeter.h"

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
    /// Limit for the whole exchange, including queueing and connecting.
    std::chrono::milliseconds timeout_{5'000};
    /// A header that the response must repeat with the same value; another value fails the request and closes its connection.
    std::optional<HttpHeader> requiredEcho_ = std::nullopt;
    /// Opens a new connection, because existing ones may be dead without having been closed.
    bool freshConnection_ = false;
};

/// A complete response: its body has the length that the server announced.
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
    /// Largest response body that is accepted, in bytes.
    std::size_t maxBodyBytes_ = 16U << 20U;
    /// Measures the work of the client's thread; null for no measurement.
    WorkMeter *workMeter_ = nullptr;
    /// Kind of work that the callbacks count for.
    WorkKind callbackWork_ = WorkKind::StoreAnswers;
};

/// Bytes of HTTP messages of finished requests, without the headers of TCP and IP.
struct HttpClientBytes {
    std::uint64_t sent_ = 0;
    std::uint64_t received_ = 0;
};

/// Asynchronous HTTP client: libcurl's multi interface driven by the caller's io_context. Not thread-safe: use one per io_context.
///
/// Errors: ConnectFailed when no connection was made, so that no byte of the request was sent; Timeout or TransportFailed
/// when bytes may have reached the server; AnswerMismatch when the response lacks the required echo. A request is sent at most once.
class HttpClient
{
public:
    using Callback = std::function<void(Result<HttpClientResponse>)>;

    explicit HttpClient(asio::io_context &context, HttpClientOptions options = {});
    ~HttpClient();
    HttpClient(const HttpClient &) = delete;
    auto operator=(const HttpClient &) -> HttpClient & = delete;

    /// Sends a request; the callback runs once, on the io_context. Callbacks that have not run when the client is destroyed are dropped.
    auto send(HttpClientRequest request, Callback callback) -> void;

    /// Number of requests that have not completed.
    [[nodiscard]] auto inFlight() const -> std::size_t;

    /// Bytes since the client was created.
    [[nodiscard]] auto bytes() const -> const HttpClientBytes &;

private:
    class Impl;
    std::shared_ptr<Impl> impl_;
};

/// Sends one request and waits for its response; for command-line programs and tests.
[[nodiscard]] auto sendAndWait(HttpClientRequest request) -> Result<HttpClientResponse>;
} // namespace Marjoramfold
