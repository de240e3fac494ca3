#include "marjoramfold/http/httptransfer.h"

#include <algorithm>
#include <charconv>
#include <string_view>
#include <utility>

namespace Marjoramfold
{
namespace
{
/// Parses the status of a line such as "HTTP/1.1 200 OK"; 0 for other lines.
auto statusOfLine(std::string_view line) -> int
{
    constexpr std::string_view Protocol = "HTTP/1.";
    constexpr std::size_t StatusAt = 9;
    int status = 0;
    if (line.starts_with(Protocol) && line.size() >= StatusAt + 3) {
        std::from_chars(line.data() + StatusAt, line.data() + StatusAt + 3, status);
    }
    return status;
}

/// Checks a header against the required echo; on false, libcurl aborts the transfer and closes the connection.
auto checkEcho(HttpTransfer &transfer, std::string_view name, std::string_view value) -> bool
{
    const auto &echo = transfer.request_.requiredEcho_;
    if (!echo || !sameHeaderName(name, echo->name_)) {
        return true;
    }
    transfer.echoMatched_ = value == echo->value_;
    transfer.echoMismatched_ = !transfer.echoMatched_;
    return transfer.echoMatched_;
}

/// Checks at the end of the headers that the required echo was received; server errors may lack it.
auto checkEchoReceived(HttpTransfer &transfer) -> bool
{
    constexpr int FirstFinalStatus = 200;
    constexpr int FirstServerError = 500;
    const auto needsEcho = transfer.request_.requiredEcho_ && transfer.headerStatus_ >= FirstFinalStatus && transfer.headerStatus_ < FirstServerError;
    transfer.echoMismatched_ = needsEcho && !transfer.echoMatched_;
    return !transfer.echoMismatched_;
}

/// Error kind of a failed transfer: ConnectFailed when the server cannot have received the request.
auto failureKind(CURLcode code, CURL *easy) -> ErrorKind
{
    long requestBytes = 0;
    curl_easy_getinfo(easy, CURLINFO_REQUEST_SIZE, &requestBytes);
    if (requestBytes == 0) {
        return ErrorKind::ConnectFailed;
    }
    return code == CURLE_OPERATION_TIMEDOUT ? ErrorKind::Timeout : ErrorKind::TransportFailed;
}
} // namespace

auto onTransferBody(char *data, std::size_t size, std::size_t count, void *user) -> std::size_t
{
    auto &transfer = *static_cast<HttpTransfer *>(user);
    if (transfer.response_.body_.size() + size * count > transfer.maxBodyBytes_) {
        return 0;
    }
    transfer.response_.body_.append(data, size * count);
    return size * count;
}

auto onTransferHeader(char *data, std::size_t size, std::size_t count, void *user) -> std::size_t
{
    auto &transfer = *static_cast<HttpTransfer *>(user);
    const std::string_view line(data, size * count);
    if (line == "\r\n") {
        return checkEchoReceived(transfer) ? size * count : 0;
    }
    if (const auto status = statusOfLine(line); status != 0) {
        transfer.headerStatus_ = status;
        return size * count;
    }
    const auto colon = line.find(':');
    if (colon == std::string_view::npos) {
        return size * count;
    }
    auto value = line.substr(colon + 1);
    while (!value.empty() && (value.front() == ' ' || value.front() == '\t')) {
        value.remove_prefix(1);
    }
    while (!value.empty() && (value.back() == '\r' || value.back() == '\n' || value.back() == ' ')) {
        value.remove_suffix(1);
    }
    transfer.response_.headers_.push_back({std::string(line.substr(0, colon)), std::string(value)});
    return checkEcho(transfer, line.substr(0, colon), value) ? size * count : 0;
}

auto beforeTransferSend(void *user, char * /*remoteAddress*/, char * /*localAddress*/, int /*remotePort*/, int /*localPort*/) -> int
{
    auto &transfer = *static_cast<HttpTransfer *>(user);
    const auto isFirst = ++transfer.sendCount_ == 1;
    return isFirst && BootClock::now() < transfer.deadline_ ? CURL_PREREQFUNC_OK : CURL_PREREQFUNC_ABORT;
}

auto resultOfTransfer(CURL *easy, CURLcode code, HttpTransfer &transfer) -> Result<HttpClientResponse>
{
    if (code == CURLE_OK) {
        long status = 0;
        curl_easy_getinfo(easy, CURLINFO_RESPONSE_CODE, &status);
        transfer.response_.status_ = static_cast<int>(status);
        return std::move(transfer.response_);
    }
    if (transfer.echoMismatched_) {
        return Error{
            ErrorKind::AnswerMismatch, "the response of " + transfer.request_.address_ + " belongs to another request; closing the connection", std::nullopt};
    }
    const auto requestLine = transfer.request_.method_ + " http://" + transfer.request_.address_ + transfer.request_.target_;
    return Error{failureKind(code, easy), requestLine + ": " + curl_easy_strerror(code), std::nullopt};
}

auto addBytesOfTransfer(CURL *easy, HttpClientBytes &bytes) -> void
{
    long requestBytes = 0;
    long headerBytes = 0;
    curl_off_t uploaded = 0;
    curl_off_t downloaded = 0;
    curl_easy_getinfo(easy, CURLINFO_REQUEST_SIZE, &requestBytes);
    curl_easy_getinfo(easy, CURLINFO_HEADER_SIZE, &headerBytes);
    curl_easy_getinfo(easy, CURLINFO_SIZE_UPLOAD_T, &uploaded);
    curl_easy_getinfo(easy, CURLINFO_SIZE_DOWNLOAD_T, &downloaded);
    bytes.sent_ += static_cast<std::uint64_t>(requestBytes) + static_cast<std::uint64_t>(uploaded);
    bytes.received_ += static_cast<std::uint64_t>(headerBytes) + static_cast<std::uint64_t>(downloaded);
}

auto configureHandle(CURL *easy, HttpTransfer &transfer, std::chrono::milliseconds connectTimeout) -> void
{
    const auto &request = transfer.request_;
    const auto url = "http://" + request.address_ + request.target_;
    curl_easy_setopt(easy, CURLOPT_URL, url.c_str());
    // At least 1 ms, since libcurl treats 0 as no limit.
    const auto timeLeft = std::max(std::chrono::milliseconds(1), std::chrono::ceil<std::chrono::milliseconds>(transfer.deadline_ - BootClock::now()));
    curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS, static_cast<long>(timeLeft.count()));
    curl_easy_setopt(easy, CURLOPT_CONNECTTIMEOUT_MS, static_cast<long>(std::min(connectTimeout, timeLeft).count()));
    curl_easy_setopt(easy, CURLOPT_FRESH_CONNECT, request.freshConnection_ ? 1L : 0L);
    curl_easy_setopt(easy, CURLOPT_WRITEDATA, &transfer);
    curl_easy_setopt(easy, CURLOPT_HEADERDATA, &transfer);
    curl_easy_setopt(easy, CURLOPT_PREREQDATA, &transfer);
    if (request.method_ == "POST" || !request.body_.empty()) {
        curl_easy_setopt(easy, CURLOPT_POST, 1L);
        curl_easy_setopt(easy, CURLOPT_POSTFIELDSIZE, static_cast<long>(request.body_.size()));
        curl_easy_setopt(easy, CURLOPT_POSTFIELDS, request.body_.data());
    } else {
        curl_easy_setopt(easy, CURLOPT_HTTPGET, 1L);
    }
    const auto isGetOrPost = request.method_ == "GET" || request.method_ == "POST";
    curl_easy_setopt(easy, CURLOPT_CUSTOMREQUEST, isGetOrPost ? nullptr : request.method_.c_str());
    // Disables libcurl's wait for "100 Continue" before it sends larger bodies.
    transfer.headers_ = curl_slist_append(nullptr, "Expect:");
    for (const auto &header : request.headers_) {
        transfer.headers_ = curl_slist_append(transfer.headers_, (header.name_ + ": " + header.value_).c_str());
    }
    curl_easy_setopt(easy, CURLOPT_HTTPHEADER, transfer.headers_);
}
} // namespace Marjoramfold
