#pragma once

#include "marjoramfold/core/clock.h"
#include "marjoramfold/http/httpclient.h"

#include <curl/curl.h>

#include <chrono>
#include <cstddef>

namespace Marjoramfold
{
/// One request of an HttpClient, from send() to its callback.
struct HttpTransfer {
    HttpClientRequest request_;
    HttpClient::Callback callback_;
    /// Includes the time in the queue.
    BootTime deadline_;
    HttpClientResponse response_;
    std::size_t maxBodyBytes_ = 0;
    curl_slist *headers_ = nullptr;
    /// Status of the response whose headers are being read.
    int headerStatus_ = 0;
    bool echoMatched_ = false;
    bool echoMismatched_ = false;
    int sendCount_ = 0;
};

/// libcurl's callback for a part of the body.
auto onTransferBody(char *data, std::size_t size, std::size_t count, void *transfer) -> std::size_t;

/// libcurl's callback for a header line; checks the required echo.
auto onTransferHeader(char *data, std::size_t size, std::size_t count, void *transfer) -> std::size_t;

/// Called by libcurl before it sends the request on a connection. libcurl resends a request by itself when a reused connection
/// ends without a response; the server may have run the first one, so this aborts the second send. It also aborts a send after the
/// deadline, which libcurl counts from its own start: the process may have been suspended in between.
auto beforeTransferSend(void *transfer, char *remoteAddress, char *localAddress, int remotePort, int localPort) -> int;

/// Sets every option of a handle that differs between requests, since a reused handle still has those of its last request.
auto configureHandle(CURL *easy, HttpTransfer &transfer, std::chrono::milliseconds connectTimeout) -> void;

/// The result of a transfer that libcurl has completed.
[[nodiscard]] auto resultOfTransfer(CURL *easy, CURLcode code, HttpTransfer &transfer) -> Result<HttpClientResponse>;

/// Adds the bytes that a transfer sent and received to the totals.
auto addBytesOfTransfer(CURL *easy, HttpClientBytes &bytes) -> void;
} // namespace Marjoramfold
