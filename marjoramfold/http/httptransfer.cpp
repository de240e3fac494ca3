#include "marjoramfold/http/httptransfer.h"

#include <charconv>
#include <string_view>
#include <utility>

namespace Marjoramfold
{
namespace
{
/// Reads the status from a line such as "HTTP/1.1 200 OK"; 0 for another line.
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

/// Checks the required echo; false ends the transfer, and libcurl then closes the connection.
auto acceptHeader(HttpTransfer &transfer, std::string_view name, std::string_view value) -> bool
{
    const auto &echo = transfer.request_.echo_;
    if (!echo || !sameHeaderName(name, echo->name_)) {
        return true;
    }
    transfer.echoed_ = value == echo->value_;
    transfer.mismatched_ = !transfer.echoed_;
    return transfer.echoed_;
}

/// Checks at the end of the headers that the required echo came; error answers may lack it.
auto acceptHeaderEnd(HttpTransfer &transfer) -> bool
{
    constexpr int FirstFinalStatus = 200;
    constexpr int FirstServerError = 500;
    const auto needsEcho = transfer.request_.echo_ && transfer.headerStatus_ >= FirstFinalStatus && transfer.headerStatus_ < FirstServerError;
    transfer.mismatched_ = needsEcho && !transfer.echoed_;
    return !transfer.mismatched_;
}

/// Kind of a failed transfer; it decides whether the server may have received the request.
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
        return acceptHeaderEnd(transfer) ? size * count : 0;
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
    return acceptHeader(transfer, line.substr(0, colon), value) ? size * count : 0;
}

auto beforeTransferSend(void *user, char * /*remoteAddress*/, char * /*localAddress*/, int /*remotePort*/, int /*localPort*/) -> int
{
    auto &transfer = *static_cast<HttpTransfer *>(user);
    return ++transfer.sends_ == 1 ? CURL_PREREQFUNC_OK : CURL_PREREQFUNC_ABORT;
}

auto resultOfTransfer(CURL *easy, CURLcode code, HttpTransfer &transfer) -> Result<HttpClientResponse>
{
    if (code == CURLE_OK) {
        long status = 0;
        curl_easy_getinfo(easy, CURLINFO_RESPONSE_CODE, &status);
        transfer.response_.status_ = static_cast<int>(status);
        return std::move(transfer.response_);
    }
    if (transfer.mismatched_) {
        return Error{ErrorKind::AnswerMismatch, "the answer of " + transfer.request_.address_ + " belongs to another request", std::nullopt};
    }
    const auto what = transfer.request_.method_ + " http://" + transfer.request_.address_ + transfer.request_.target_;
    return Error{failureKind(code, easy), what + ": " + curl_easy_strerror(code), std::nullopt};
}
} // namespace Marjoramfold
