#include "marjoramfold/http/httpclient.h"

#include <asio/ip/tcp.hpp>
#include <asio/post.hpp>
#include <asio/steady_timer.hpp>
#include <curl/curl.h>

#include <cassert>
#include <charconv>
#include <mutex>
#include <unordered_map>
#include <utility>

namespace Marjoramfold
{
namespace
{
/// Idle connections are not reused after this time. It is below the idle timeout of our servers, so that a request is not sent
/// on a connection that the server is about to close.
constexpr long MaxIdleSeconds = 30;

/// Initializes libcurl once in a process.
auto initializeCurl() -> void
{
    static std::once_flag once;
    std::call_once(once, [] {
        curl_global_init(CURL_GLOBAL_DEFAULT);
    });
}

/// One request in flight.
struct Transfer {
    HttpClientRequest request_;
    HttpClient::Callback callback_;
    HttpClientResponse response_;
    std::size_t maxBodyBytes_ = 0;
    curl_slist *headers_ = nullptr;
    /// Status of the answer whose headers are being read.
    int headerStatus_ = 0;
    bool echoed_ = false;
    bool mismatched_ = false;
    int sends_ = 0;
};

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
auto acceptHeader(Transfer &transfer, std::string_view name, std::string_view value) -> bool
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
auto acceptHeaderEnd(Transfer &transfer) -> bool
{
    constexpr int FirstFinalStatus = 200;
    constexpr int FirstServerError = 500;
    const auto needsEcho = transfer.request_.echo_ && transfer.headerStatus_ >= FirstFinalStatus && transfer.headerStatus_ < FirstServerError;
    transfer.mismatched_ = needsEcho && !transfer.echoed_;
    return !transfer.mismatched_;
}

/// Called by libcurl before it sends the request on a connection. libcurl repeats a request by itself when a reused connection
/// ends without an answer; the server may have run the first one, so the repeat is stopped here.
auto beforeSend(void *user, char * /*remoteAddress*/, char * /*localAddress*/, int /*remotePort*/, int /*localPort*/) -> int
{
    auto &transfer = *static_cast<Transfer *>(user);
    return ++transfer.sends_ == 1 ? CURL_PREREQFUNC_OK : CURL_PREREQFUNC_ABORT;
}

auto onBody(char *data, std::size_t size, std::size_t count, void *user) -> std::size_t
{
    auto &transfer = *static_cast<Transfer *>(user);
    if (transfer.response_.body_.size() + size * count > transfer.maxBodyBytes_) {
        return 0;
    }
    transfer.response_.body_.append(data, size * count);
    return size * count;
}

auto onHeader(char *data, std::size_t size, std::size_t count, void *user) -> std::size_t
{
    auto &transfer = *static_cast<Transfer *>(user);
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

/// libcurl's multi handle, its sockets and its timer.
class HttpClient::Impl : public std::enable_shared_from_this<HttpClient::Impl>
{
public:
    Impl(asio::io_context &context, HttpClientOptions options)
        : context_(context)
        , timer_(context)
        , options_(options)
    {
        initializeCurl();
        multi_ = curl_multi_init();
        curl_multi_setopt(multi_, CURLMOPT_SOCKETFUNCTION, &Impl::onSocketState);
        curl_multi_setopt(multi_, CURLMOPT_SOCKETDATA, this);
        curl_multi_setopt(multi_, CURLMOPT_TIMERFUNCTION, &Impl::onTimerWanted);
        curl_multi_setopt(multi_, CURLMOPT_TIMERDATA, this);
        curl_multi_setopt(multi_, CURLMOPT_MAX_HOST_CONNECTIONS, options_.maxConnectionsPerHost_);
        curl_multi_setopt(multi_, CURLMOPT_MAXCONNECTS, options_.maxIdleConnections_);
        // Answers are matched to requests by connection; multiplexing would let one slow answer hold up others.
        curl_multi_setopt(multi_, CURLMOPT_PIPELINING, static_cast<long>(CURLPIPE_NOTHING));
    }

    ~Impl()
    {
        for (auto &[easy, transfer] : transfers_) {
            curl_multi_remove_handle(multi_, easy);
            release(easy, *transfer);
        }
        transfers_.clear();
        for (auto *easy : idleHandles_) {
            curl_easy_cleanup(easy);
        }
        curl_multi_cleanup(multi_);
        for (auto &[fd, socket] : sockets_) {
            socket->socket_.release();
        }
    }

    Impl(const Impl &) = delete;
    auto operator=(const Impl &) -> Impl & = delete;

    auto send(HttpClientRequest request, Callback callback) -> void
    {
        auto transfer = std::make_unique<Transfer>();
        transfer->request_ = std::move(request);
        transfer->callback_ = std::move(callback);
        transfer->maxBodyBytes_ = options_.maxBodyBytes_;
        auto *easy = takeHandle();
        prepare(easy, *transfer);
        transfers_.emplace(easy, std::move(transfer));
        curl_multi_add_handle(multi_, easy);
    }

    [[nodiscard]] auto inFlight() const -> std::size_t
    {
        return transfers_.size();
    }

private:
    /// A socket that belongs to libcurl and is watched by asio.
    struct WatchedSocket {
        explicit WatchedSocket(asio::io_context &context)
            : socket_(context)
        {
        }
        asio::ip::tcp::socket socket_;
        int wanted_ = 0;
        bool reading_ = false;
        bool writing_ = false;
    };

    auto takeHandle() -> CURL *
    {
        if (idleHandles_.empty()) {
            return curl_easy_init();
        }
        auto *easy = idleHandles_.back();
        idleHandles_.pop_back();
        curl_easy_reset(easy);
        return easy;
    }

    auto prepare(CURL *easy, Transfer &transfer) -> void
    {
        const auto &request = transfer.request_;
        const auto url = "http://" + request.address_ + request.target_;
        curl_easy_setopt(easy, CURLOPT_URL, url.c_str());
        curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
        curl_easy_setopt(easy, CURLOPT_NOPROXY, "*");
        curl_easy_setopt(easy, CURLOPT_TCP_NODELAY, 1L);
        curl_easy_setopt(easy, CURLOPT_HTTP_VERSION, static_cast<long>(CURL_HTTP_VERSION_1_1));
        curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS, static_cast<long>(request.timeout_.count()));
        curl_easy_setopt(easy, CURLOPT_CONNECTTIMEOUT_MS, static_cast<long>(std::min(options_.connectTimeout_, request.timeout_).count()));
        curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, &onBody);
        curl_easy_setopt(easy, CURLOPT_WRITEDATA, &transfer);
        curl_easy_setopt(easy, CURLOPT_HEADERFUNCTION, &onHeader);
        curl_easy_setopt(easy, CURLOPT_HEADERDATA, &transfer);
        curl_easy_setopt(easy, CURLOPT_PREREQFUNCTION, &beforeSend);
        curl_easy_setopt(easy, CURLOPT_PREREQDATA, &transfer);
        curl_easy_setopt(easy, CURLOPT_MAXAGE_CONN, MaxIdleSeconds);
        if (request.method_ == "POST" || !request.body_.empty()) {
            curl_easy_setopt(easy, CURLOPT_POST, 1L);
            curl_easy_setopt(easy, CURLOPT_POSTFIELDSIZE, static_cast<long>(request.body_.size()));
            curl_easy_setopt(easy, CURLOPT_POSTFIELDS, request.body_.data());
        }
        if (request.method_ != "GET" && request.method_ != "POST") {
            curl_easy_setopt(easy, CURLOPT_CUSTOMREQUEST, request.method_.c_str());
        }
        // Without this, libcurl waits for "100 Continue" before it sends larger bodies.
        transfer.headers_ = curl_slist_append(nullptr, "Expect:");
        for (const auto &header : request.headers_) {
            transfer.headers_ = curl_slist_append(transfer.headers_, (header.name_ + ": " + header.value_).c_str());
        }
        curl_easy_setopt(easy, CURLOPT_HTTPHEADER, transfer.headers_);
    }

    auto release(CURL *easy, Transfer &transfer) -> void
    {
        curl_slist_free_all(transfer.headers_);
        transfer.headers_ = nullptr;
        constexpr std::size_t MaxIdleHandles = 256;
        if (idleHandles_.size() < MaxIdleHandles) {
            idleHandles_.push_back(easy);
        } else {
            curl_easy_cleanup(easy);
        }
    }

    /// Called by libcurl when it wants to be told of activity on a socket, or no longer.
    static auto onSocketState(CURL * /*easy*/, curl_socket_t fd, int what, void *user, void * /*socketData*/) -> int
    {
        auto &self = *static_cast<Impl *>(user);
        if (what == CURL_POLL_REMOVE) {
            const auto found = self.sockets_.find(fd);
            if (found != self.sockets_.end()) {
                found->second->wanted_ = 0;
                // libcurl owns the descriptor: asio lets go of it without closing it.
                found->second->socket_.release();
                self.sockets_.erase(found);
            }
            return 0;
        }
        auto &watched = self.sockets_[fd];
        if (!watched) {
            watched = std::make_shared<WatchedSocket>(self.context_);
            std::error_code ignored;
            watched->socket_.assign(asio::ip::tcp::v4(), fd, ignored);
        }
        watched->wanted_ = what;
        self.watch(fd, watched);
        return 0;
    }

    auto watch(curl_socket_t fd, const std::shared_ptr<WatchedSocket> &watched) -> void
    {
        if ((watched->wanted_ & CURL_POLL_IN) != 0 && !watched->reading_) {
            watched->reading_ = true;
            waitFor(fd, watched, asio::ip::tcp::socket::wait_read, CURL_CSELECT_IN);
        }
        if ((watched->wanted_ & CURL_POLL_OUT) != 0 && !watched->writing_) {
            watched->writing_ = true;
            waitFor(fd, watched, asio::ip::tcp::socket::wait_write, CURL_CSELECT_OUT);
        }
    }

    auto waitFor(curl_socket_t fd, const std::shared_ptr<WatchedSocket> &watched, asio::ip::tcp::socket::wait_type type, int action) -> void
    {
        watched->socket_.async_wait(type, [weak = weak_from_this(), watched, fd, action](const std::error_code &error) {
            const auto self = weak.lock();
            if (!self || error == asio::error::operation_aborted) {
                return;
            }
            (action == CURL_CSELECT_IN ? watched->reading_ : watched->writing_) = false;
            const auto found = self->sockets_.find(fd);
            if (found == self->sockets_.end() || found->second != watched) {
                return;
            }
            self->act(fd, error ? CURL_CSELECT_ERR : action);
            // libcurl may have closed and reopened the descriptor meanwhile.
            const auto still = self->sockets_.find(fd);
            if (still != self->sockets_.end() && still->second == watched) {
                self->watch(fd, watched);
            }
        });
    }

    /// Called by libcurl when it wants to be woken after a time; a negative one cancels.
    static auto onTimerWanted(CURLM * /*multi*/, long timeoutMs, void *user) -> int
    {
        auto &self = *static_cast<Impl *>(user);
        self.timer_.cancel();
        if (timeoutMs < 0) {
            return 0;
        }
        self.timer_.expires_after(std::chrono::milliseconds(timeoutMs));
        self.timer_.async_wait([weak = self.weak_from_this()](const std::error_code &error) {
            const auto locked = weak.lock();
            if (locked && !error) {
                locked->act(CURL_SOCKET_TIMEOUT, 0);
            }
        });
        return 0;
    }

    auto act(curl_socket_t fd, int action) -> void
    {
        int running = 0;
        curl_multi_socket_action(multi_, fd, action, &running);
        collectFinished();
    }

    auto collectFinished() -> void
    {
        int left = 0;
        while (auto *message = curl_multi_info_read(multi_, &left)) {
            if (message->msg == CURLMSG_DONE) {
                finish(message->easy_handle, message->data.result);
            }
        }
    }

    auto finish(CURL *easy, CURLcode code) -> void
    {
        const auto found = transfers_.find(easy);
        assert(found != transfers_.end());
        const auto transfer = std::move(found->second);
        transfers_.erase(found);
        auto result = resultOf(easy, code, *transfer);
        curl_multi_remove_handle(multi_, easy);
        release(easy, *transfer);
        // The callback may send again, so it runs after libcurl has returned.
        asio::post(context_, [callback = std::move(transfer->callback_), result = std::move(result)]() mutable {
            callback(std::move(result));
        });
    }

    static auto resultOf(CURL *easy, CURLcode code, Transfer &transfer) -> Result<HttpClientResponse>
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

    asio::io_context &context_;
    asio::steady_timer timer_;
    HttpClientOptions options_;
    CURLM *multi_ = nullptr;
    std::unordered_map<curl_socket_t, std::shared_ptr<WatchedSocket>> sockets_;
    std::unordered_map<CURL *, std::unique_ptr<Transfer>> transfers_;
    std::vector<CURL *> idleHandles_;
};

HttpClient::HttpClient(asio::io_context &context, HttpClientOptions options)
    : impl_(std::make_shared<Impl>(context, options))
{
}

HttpClient::~HttpClient() = default;

auto HttpClient::send(HttpClientRequest request, Callback callback) -> void
{
    impl_->send(std::move(request), std::move(callback));
}

auto HttpClient::inFlight() const -> std::size_t
{
    return impl_->inFlight();
}

auto sendAndWait(HttpClientRequest request) -> Result<HttpClientResponse>
{
    asio::io_context context;
    HttpClient client(context);
    Result<HttpClientResponse> answer = Error{ErrorKind::Internal, "no answer", std::nullopt};
    client.send(std::move(request), [&answer](Result<HttpClientResponse> result) {
        answer = std::move(result);
    });
    context.run();
    return answer;
}
} // namespace Marjoramfold
