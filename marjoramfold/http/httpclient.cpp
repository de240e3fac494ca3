#include "marjoramfold/http/httpclient.h"

#include "marjoramfold/http/httptransfer.h"

#include <asio/ip/tcp.hpp>
#include <asio/post.hpp>
#include <asio/steady_timer.hpp>
#include <curl/curl.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cassert>
#include <deque>
#include <mutex>
#include <unordered_map>
#include <utility>

namespace Marjoramfold
{
namespace
{
/// Idle connections are not reused after this time. It is below the idle timeout of HttpServer (60 s), so that no request is sent
/// on a connection that the server is about to close.
constexpr long MaxIdleSeconds = 30;

/// Initializes libcurl once per process.
auto initializeCurl() -> void
{
    static std::once_flag once;
    std::call_once(once, [] {
        curl_global_init(CURL_GLOBAL_DEFAULT);
    });
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
        , expiryTimer_(context)
    {
        initializeCurl();
        multi_ = curl_multi_init();
        curl_multi_setopt(multi_, CURLMOPT_SOCKETFUNCTION, &Impl::onSocketState);
        curl_multi_setopt(multi_, CURLMOPT_SOCKETDATA, this);
        curl_multi_setopt(multi_, CURLMOPT_TIMERFUNCTION, &Impl::onTimeoutRequested);
        curl_multi_setopt(multi_, CURLMOPT_TIMERDATA, this);
        curl_multi_setopt(multi_, CURLMOPT_MAXCONNECTS, options_.maxIdleConnections_);
        // Responses are matched to requests by connection; multiplexing would let a slow response delay others.
        curl_multi_setopt(multi_, CURLMOPT_PIPELINING, static_cast<long>(CURLPIPE_NOTHING));
    }

    ~Impl()
    {
        for (auto &[easy, transfer] : transfers_) {
            curl_multi_remove_handle(multi_, easy);
            releaseHandle(easy, *transfer);
        }
        transfers_.clear();
        for (auto *easy : idleHandles_) {
            curl_easy_cleanup(easy);
        }
        // libcurl closes its idle connections here, through onCloseSocket.
        curl_multi_cleanup(multi_);
        while (!sockets_.empty()) {
            unregister(sockets_.begin()->first);
        }
    }

    Impl(const Impl &) = delete;
    auto operator=(const Impl &) -> Impl & = delete;

    auto send(HttpClientRequest request, Callback callback) -> void
    {
        const WorkMeter::Scope scope(options_.workMeter_, WorkKind::Transport);
        auto transfer = std::make_unique<HttpTransfer>();
        transfer->deadline_ = BootClock::now() + request.timeout_;
        transfer->request_ = std::move(request);
        transfer->callback_ = std::move(callback);
        transfer->maxBodyBytes_ = options_.maxBodyBytes_;
        auto &host = hosts_[transfer->request_.address_];
        if (host.inFlight_ >= options_.maxConnectionsPerHost_) {
            host.waiting_.push_back(std::move(transfer));
            ++waiting_;
            startExpiryTimer();
            return;
        }
        start(host, std::move(transfer));
    }

    [[nodiscard]] auto inFlight() const -> std::size_t
    {
        return transfers_.size() + waiting_;
    }

    [[nodiscard]] auto bytes() const -> const HttpClientBytes &
    {
        return bytes_;
    }

private:
    using SteadyClock = std::chrono::steady_clock;

    /// A socket of libcurl that is registered with asio. Events are CURL_POLL_* flags.
    struct RegisteredSocket {
        explicit RegisteredSocket(asio::io_context &context)
            : socket_(context)
        {
        }
        asio::ip::tcp::socket socket_;
        int requestedEvents_ = 0;
        bool connected_ = false;
        bool isWaitingForRead_ = false;
        bool isWaitingForWrite_ = false;
    };

    /// Requests to one address. They are queued here, because libcurl would scan all its queued requests each time a connection
    /// becomes free.
    struct Host {
        long inFlight_ = 0;
        std::deque<std::unique_ptr<HttpTransfer>> waiting_;
    };

    auto start(Host &host, std::unique_ptr<HttpTransfer> transfer) -> void
    {
        ++host.inFlight_;
        auto *easy = acquireHandle();
        configureHandle(easy, *transfer, options_.connectTimeout_);
        transfers_.emplace(easy, std::move(transfer));
        curl_multi_add_handle(multi_, easy);
    }

    /// Starts the next queued request to an address after one has completed.
    auto startNext(const std::string &address) -> void
    {
        const auto found = hosts_.find(address);
        assert(found != hosts_.end());
        auto &host = found->second;
        --host.inFlight_;
        failExpired(host, BootClock::now());
        if (!host.waiting_.empty()) {
            auto next = std::move(host.waiting_.front());
            host.waiting_.pop_front();
            --waiting_;
            start(host, std::move(next));
        } else if (host.inFlight_ == 0) {
            hosts_.erase(found);
        }
    }

    /// Fails the requests at the front of the queue that are past their deadline; nothing of them was sent.
    auto failExpired(Host &host, BootTime now) -> void
    {
        while (!host.waiting_.empty() && host.waiting_.front()->deadline_ <= now) {
            const auto transfer = std::move(host.waiting_.front());
            host.waiting_.pop_front();
            --waiting_;
            postCallback(std::move(transfer->callback_),
                         Error{ErrorKind::ConnectFailed,
                               "no connection to " + transfer->request_.address_ + " became free before the timeout; the request was not sent",
                               std::nullopt});
        }
    }

    /// Polls the queued requests for expired deadlines while there are any.
    auto startExpiryTimer() -> void
    {
        if (expiryTimerRunning_) {
            return;
        }
        constexpr std::chrono::milliseconds ExpiryInterval{20};
        expiryTimerRunning_ = true;
        expiryTimer_.expires_after(ExpiryInterval);
        expiryTimer_.async_wait([weak = weak_from_this()](const std::error_code &error) {
            const auto self = weak.lock();
            if (!self || error) {
                return;
            }
            self->expiryTimerRunning_ = false;
            for (auto &[address, host] : self->hosts_) {
                self->failExpired(host, BootClock::now());
            }
            if (self->waiting_ > 0) {
                self->startExpiryTimer();
            }
        });
    }

    /// Runs a callback after libcurl has returned, since the callback may send another request.
    auto postCallback(Callback callback, Result<HttpClientResponse> result) -> void
    {
        asio::post(context_, [weak = weak_from_this(), callback = std::move(callback), result = std::move(result)]() mutable {
            if (const auto self = weak.lock(); self) {
                const WorkMeter::Scope scope(self->options_.workMeter_, self->options_.callbackWork_);
                callback(std::move(result));
            }
        });
    }

    auto acquireHandle() -> CURL *
    {
        if (idleHandles_.empty()) {
            return createHandle();
        }
        auto *easy = idleHandles_.back();
        idleHandles_.pop_back();
        return easy;
    }

    /// A handle with the options that all requests share; they are set once, because a handle is reused for many requests.
    auto createHandle() -> CURL *
    {
        auto *easy = curl_easy_init();
        curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
        curl_easy_setopt(easy, CURLOPT_NOPROXY, "*");
        curl_easy_setopt(easy, CURLOPT_TCP_NODELAY, 1L);
        curl_easy_setopt(easy, CURLOPT_HTTP_VERSION, static_cast<long>(CURL_HTTP_VERSION_1_1));
        curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, &onTransferBody);
        curl_easy_setopt(easy, CURLOPT_HEADERFUNCTION, &onTransferHeader);
        curl_easy_setopt(easy, CURLOPT_PREREQFUNCTION, &beforeTransferSend);
        curl_easy_setopt(easy, CURLOPT_MAXAGE_CONN, MaxIdleSeconds);
        curl_easy_setopt(easy, CURLOPT_OPENSOCKETFUNCTION, &Impl::onOpenSocket);
        curl_easy_setopt(easy, CURLOPT_OPENSOCKETDATA, this);
        curl_easy_setopt(easy, CURLOPT_CLOSESOCKETFUNCTION, &Impl::onCloseSocket);
        curl_easy_setopt(easy, CURLOPT_CLOSESOCKETDATA, this);
        return easy;
    }

    /// Frees the headers of a completed request and returns its handle to the pool.
    auto releaseHandle(CURL *easy, HttpTransfer &transfer) -> void
    {
        curl_easy_setopt(easy, CURLOPT_HTTPHEADER, nullptr);
        curl_slist_free_all(transfer.headers_);
        transfer.headers_ = nullptr;
        constexpr std::size_t MaxIdleHandles = 256;
        if (idleHandles_.size() < MaxIdleHandles) {
            idleHandles_.push_back(easy);
        } else {
            curl_easy_cleanup(easy);
        }
    }

    /// Called by libcurl to create a socket.
    static auto onOpenSocket(void *user, curlsocktype /*purpose*/, curl_sockaddr *address) -> curl_socket_t
    {
        const auto fd = ::socket(address->family, address->socktype | SOCK_CLOEXEC, address->protocol);
        // A new descriptor cannot be registered yet; a registration left over from its previous socket would act on the wrong connection.
        static_cast<Impl *>(user)->unregister(fd);
        return fd;
    }

    /// Called by libcurl to close a socket that was connected.
    static auto onCloseSocket(void *user, curl_socket_t fd) -> int
    {
        static_cast<Impl *>(user)->unregister(fd);
        return ::close(fd);
    }

    /// Called by libcurl to start or stop the notification of events on a socket.
    ///
    /// libcurl does so with every request, so a connected socket stays registered with asio until onCloseSocket. A socket that
    /// never connected is released at once, since libcurl 7.88 closes it without onCloseSocket; the kernel may then reuse its
    /// descriptor for another connection, possibly of another thread.
    static auto onSocketState(CURL * /*easy*/, curl_socket_t fd, int what, void *user, void * /*socketData*/) -> int
    {
        auto &self = *static_cast<Impl *>(user);
        const auto found = self.sockets_.find(fd);
        if (what == CURL_POLL_REMOVE) {
            if (found == self.sockets_.end()) {
                return 0;
            }
            found->second->requestedEvents_ = 0;
            if (!found->second->connected_) {
                self.unregister(fd);
            }
            return 0;
        }
        auto &registered = self.sockets_[fd];
        if (!registered) {
            registered = std::make_shared<RegisteredSocket>(self.context_);
            std::error_code ignored;
            registered->socket_.assign(asio::ip::tcp::v4(), fd, ignored);
        }
        // libcurl waits for input only on established connections.
        registered->connected_ = registered->connected_ || (what & CURL_POLL_IN) != 0;
        registered->requestedEvents_ = what;
        self.waitForRequestedEvents(fd, registered);
        return 0;
    }

    /// Unregisters a socket from asio without closing it.
    auto unregister(curl_socket_t fd) -> void
    {
        const auto found = sockets_.find(fd);
        if (found != sockets_.end()) {
            found->second->requestedEvents_ = 0;
            found->second->socket_.release();
            sockets_.erase(found);
        }
    }

    auto waitForRequestedEvents(curl_socket_t fd, const std::shared_ptr<RegisteredSocket> &registered) -> void
    {
        if ((registered->requestedEvents_ & CURL_POLL_IN) != 0 && !registered->isWaitingForRead_) {
            registered->isWaitingForRead_ = true;
            waitFor(fd, registered, asio::ip::tcp::socket::wait_read, CURL_CSELECT_IN);
        }
        if ((registered->requestedEvents_ & CURL_POLL_OUT) != 0 && !registered->isWaitingForWrite_) {
            registered->isWaitingForWrite_ = true;
            waitFor(fd, registered, asio::ip::tcp::socket::wait_write, CURL_CSELECT_OUT);
        }
    }

    auto waitFor(curl_socket_t fd, const std::shared_ptr<RegisteredSocket> &registered, asio::ip::tcp::socket::wait_type type, int action) -> void
    {
        registered->socket_.async_wait(type, [weak = weak_from_this(), registered, fd, action](const std::error_code &error) {
            const auto self = weak.lock();
            if (!self || error == asio::error::operation_aborted) {
                return;
            }
            (action == CURL_CSELECT_IN ? registered->isWaitingForRead_ : registered->isWaitingForWrite_) = false;
            const auto found = self->sockets_.find(fd);
            const auto requested = action == CURL_CSELECT_IN ? CURL_POLL_IN : CURL_POLL_OUT;
            // Events on an idle connection are ignored; libcurl checks the connection before it reuses it.
            if (found == self->sockets_.end() || found->second != registered || (registered->requestedEvents_ & requested) == 0) {
                return;
            }
            self->runSocketAction(fd, error ? CURL_CSELECT_ERR : action);
            // libcurl may have closed and reopened the descriptor in the meantime.
            const auto current = self->sockets_.find(fd);
            if (current != self->sockets_.end() && current->second == registered) {
                self->waitForRequestedEvents(fd, registered);
            }
        });
    }

    /// Called by libcurl to request a timeout; a negative one cancels it.
    ///
    /// libcurl changes its timeout several times per request. The asio timer is therefore set only when it has to expire earlier
    /// than it is already set to; when it expires too early, it is set again.
    static auto onTimeoutRequested(CURLM * /*multi*/, long timeoutMs, void *user) -> int
    {
        auto &self = *static_cast<Impl *>(user);
        self.curlTimeoutAt_ = timeoutMs < 0 ? SteadyClock::time_point::max() : SteadyClock::now() + std::chrono::milliseconds(timeoutMs);
        if (timeoutMs < 0) {
            // A pending timer would keep the io_context running.
            self.timer_.cancel();
            self.timerExpiresAt_ = SteadyClock::time_point::max();
        } else if (timeoutMs == 0) {
            self.postSocketAction();
        } else if (self.curlTimeoutAt_ < self.timerExpiresAt_) {
            self.setTimer();
        }
        return 0;
    }

    /// Runs libcurl in the next iteration of the event loop, once for all requests that were added in this one.
    auto postSocketAction() -> void
    {
        if (socketActionPosted_) {
            return;
        }
        socketActionPosted_ = true;
        asio::post(context_, [weak = weak_from_this()] {
            if (const auto self = weak.lock()) {
                self->socketActionPosted_ = false;
                self->runSocketAction(CURL_SOCKET_TIMEOUT, 0);
            }
        });
    }

    auto setTimer() -> void
    {
        timerExpiresAt_ = curlTimeoutAt_;
        timer_.expires_at(curlTimeoutAt_);
        timer_.async_wait([weak = weak_from_this()](const std::error_code &error) {
            const auto self = weak.lock();
            if (self && !error) {
                self->onTimer();
            }
        });
    }

    auto onTimer() -> void
    {
        timerExpiresAt_ = SteadyClock::time_point::max();
        if (SteadyClock::now() >= curlTimeoutAt_) {
            curlTimeoutAt_ = SteadyClock::time_point::max();
            runSocketAction(CURL_SOCKET_TIMEOUT, 0);
        }
        // libcurl may have changed its timeout in the meantime.
        if (curlTimeoutAt_ < timerExpiresAt_) {
            setTimer();
        }
    }

    auto runSocketAction(curl_socket_t fd, int action) -> void
    {
        const WorkMeter::Scope scope(options_.workMeter_, WorkKind::Transport);
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
        addBytesOfTransfer(easy, bytes_);
        const auto found = transfers_.find(easy);
        assert(found != transfers_.end());
        const auto transfer = std::move(found->second);
        transfers_.erase(found);
        auto result = resultOfTransfer(easy, code, *transfer);
        curl_multi_remove_handle(multi_, easy);
        releaseHandle(easy, *transfer);
        postCallback(std::move(transfer->callback_), std::move(result));
        startNext(transfer->request_.address_);
    }

    asio::io_context &context_;
    asio::steady_timer timer_;
    HttpClientOptions options_;
    HttpClientBytes bytes_;
    CURLM *multi_ = nullptr;
    std::unordered_map<curl_socket_t, std::shared_ptr<RegisteredSocket>> sockets_;
    /// When libcurl's timeout is due, and when the asio timer expires.
    SteadyClock::time_point curlTimeoutAt_ = SteadyClock::time_point::max();
    SteadyClock::time_point timerExpiresAt_ = SteadyClock::time_point::max();
    bool socketActionPosted_ = false;
    std::unordered_map<CURL *, std::unique_ptr<HttpTransfer>> transfers_;
    std::unordered_map<std::string, Host> hosts_;
    /// Queued requests of all hosts.
    std::size_t waiting_ = 0;
    bool expiryTimerRunning_ = false;
    asio::steady_timer expiryTimer_;
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

auto HttpClient::bytes() const -> const HttpClientBytes &
{
    return impl_->bytes();
}

auto sendAndWait(HttpClientRequest request) -> Result<HttpClientResponse>
{
    asio::io_context context;
    HttpClient client(context);
    Result<HttpClientResponse> answer = Error{ErrorKind::Internal, "the request ended without a response", std::nullopt};
    client.send(std::move(request), [&answer](Result<HttpClientResponse> result) {
        answer = std::move(result);
    });
    context.run();
    return answer;
}
} // namespace Marjoramfold
