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
        curl_multi_setopt(multi_, CURLMOPT_TIMERFUNCTION, &Impl::onTimerWanted);
        curl_multi_setopt(multi_, CURLMOPT_TIMERDATA, this);
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
        // libcurl closes its idle connections here through onCloseSocket.
        curl_multi_cleanup(multi_);
        while (!sockets_.empty()) {
            unwatch(sockets_.begin()->first);
        }
    }

    Impl(const Impl &) = delete;
    auto operator=(const Impl &) -> Impl & = delete;

    auto send(HttpClientRequest request, Callback callback) -> void
    {
        auto transfer = std::make_unique<HttpTransfer>();
        transfer->deadline_ = SteadyClock::now() + request.timeout_;
        transfer->request_ = std::move(request);
        transfer->callback_ = std::move(callback);
        transfer->maxBodyBytes_ = options_.maxBodyBytes_;
        auto &host = hosts_[transfer->request_.address_];
        if (host.inFlight_ >= options_.maxConnectionsPerHost_) {
            host.waiting_.push_back(std::move(transfer));
            ++waiting_;
            armExpiry();
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

    /// A socket that libcurl uses and asio watches.
    struct WatchedSocket {
        explicit WatchedSocket(asio::io_context &context)
            : socket_(context)
        {
        }
        asio::ip::tcp::socket socket_;
        int wanted_ = 0;
        bool connected_ = false;
        bool reading_ = false;
        bool writing_ = false;
    };

    /// Requests to one address. libcurl would search through all that wait for a connection each time one becomes free, so they
    /// wait here.
    struct Host {
        long inFlight_ = 0;
        std::deque<std::unique_ptr<HttpTransfer>> waiting_;
    };

    auto start(Host &host, std::unique_ptr<HttpTransfer> transfer) -> void
    {
        ++host.inFlight_;
        auto *easy = takeHandle();
        prepareTransfer(easy, *transfer, options_.connectTimeout_);
        transfers_.emplace(easy, std::move(transfer));
        curl_multi_add_handle(multi_, easy);
    }

    /// Starts the next request to an address on which one ended.
    auto startNext(const std::string &address) -> void
    {
        const auto found = hosts_.find(address);
        assert(found != hosts_.end());
        auto &host = found->second;
        --host.inFlight_;
        expireFront(host, SteadyClock::now());
        if (!host.waiting_.empty()) {
            auto next = std::move(host.waiting_.front());
            host.waiting_.pop_front();
            --waiting_;
            start(host, std::move(next));
        } else if (host.inFlight_ == 0) {
            hosts_.erase(found);
        }
    }

    /// Ends the oldest waiting requests whose time is up; nothing of them was sent.
    auto expireFront(Host &host, SteadyClock::time_point now) -> void
    {
        while (!host.waiting_.empty() && host.waiting_.front()->deadline_ <= now) {
            const auto transfer = std::move(host.waiting_.front());
            host.waiting_.pop_front();
            --waiting_;
            deliver(std::move(transfer->callback_),
                    Error{ErrorKind::ConnectFailed, "no connection to " + transfer->request_.address_ + " became free", std::nullopt});
        }
    }

    /// Checks waiting requests for their end while there are any.
    auto armExpiry() -> void
    {
        if (expiryArmed_) {
            return;
        }
        constexpr std::chrono::milliseconds ExpiryInterval{20};
        expiryArmed_ = true;
        expiryTimer_.expires_after(ExpiryInterval);
        expiryTimer_.async_wait([weak = weak_from_this()](const std::error_code &error) {
            const auto self = weak.lock();
            if (!self || error) {
                return;
            }
            self->expiryArmed_ = false;
            for (auto &[address, host] : self->hosts_) {
                self->expireFront(host, SteadyClock::now());
            }
            if (self->waiting_ > 0) {
                self->armExpiry();
            }
        });
    }

    /// Runs a callback after libcurl has returned, since it may send again.
    auto deliver(Callback callback, Result<HttpClientResponse> result) -> void
    {
        asio::post(context_, [weak = weak_from_this(), callback = std::move(callback), result = std::move(result)]() mutable {
            if (!weak.expired()) {
                callback(std::move(result));
            }
        });
    }

    auto takeHandle() -> CURL *
    {
        if (idleHandles_.empty()) {
            return makeHandle();
        }
        auto *easy = idleHandles_.back();
        idleHandles_.pop_back();
        return easy;
    }

    /// A handle with the options that all requests share; they are set once because a handle serves many requests.
    auto makeHandle() -> CURL *
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

    /// Sets every option that differs between requests, since the handle still has those of its last one.
    auto release(CURL *easy, HttpTransfer &transfer) -> void
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

    /// Called by libcurl to make a socket.
    static auto onOpenSocket(void *user, curlsocktype /*purpose*/, curl_sockaddr *address) -> curl_socket_t
    {
        const auto fd = ::socket(address->family, address->socktype | SOCK_CLOEXEC, address->protocol);
        // A descriptor that is new cannot be watched yet; an old watch of its number would act on the wrong connection.
        static_cast<Impl *>(user)->unwatch(fd);
        return fd;
    }

    /// Called by libcurl to close a socket that was connected.
    static auto onCloseSocket(void *user, curl_socket_t fd) -> int
    {
        static_cast<Impl *>(user)->unwatch(fd);
        return ::close(fd);
    }

    /// Called by libcurl when it wants to be told of activity on a socket, or no longer.
    ///
    /// libcurl starts and stops watching a connection with every request, so that asio keeps a connected socket registered until
    /// onCloseSocket. A socket that never connected is released at once, since libcurl 7.88 closes it without onCloseSocket; its
    /// number then soon belongs to another connection, perhaps of another thread.
    static auto onSocketState(CURL * /*easy*/, curl_socket_t fd, int what, void *user, void * /*socketData*/) -> int
    {
        auto &self = *static_cast<Impl *>(user);
        const auto found = self.sockets_.find(fd);
        if (what == CURL_POLL_REMOVE) {
            if (found == self.sockets_.end()) {
                return 0;
            }
            found->second->wanted_ = 0;
            if (!found->second->connected_) {
                self.unwatch(fd);
            }
            return 0;
        }
        auto &watched = self.sockets_[fd];
        if (!watched) {
            watched = std::make_shared<WatchedSocket>(self.context_);
            std::error_code ignored;
            watched->socket_.assign(asio::ip::tcp::v4(), fd, ignored);
        }
        // libcurl waits for answers only on connections that are made.
        watched->connected_ = watched->connected_ || (what & CURL_POLL_IN) != 0;
        watched->wanted_ = what;
        self.watch(fd, watched);
        return 0;
    }

    /// Takes a socket from asio without closing it.
    auto unwatch(curl_socket_t fd) -> void
    {
        const auto found = sockets_.find(fd);
        if (found != sockets_.end()) {
            found->second->wanted_ = 0;
            found->second->socket_.release();
            sockets_.erase(found);
        }
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
            const auto wanted = action == CURL_CSELECT_IN ? CURL_POLL_IN : CURL_POLL_OUT;
            // Activity on an idle connection is left for libcurl to find when it wants to use the connection again.
            if (found == self->sockets_.end() || found->second != watched || (watched->wanted_ & wanted) == 0) {
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
    ///
    /// libcurl changes its mind several times with each request. The system's timer is therefore only set when it has to go off
    /// earlier than it is set already; when it goes off too early it is set again.
    static auto onTimerWanted(CURLM * /*multi*/, long timeoutMs, void *user) -> int
    {
        auto &self = *static_cast<Impl *>(user);
        self.wakeAt_ = timeoutMs < 0 ? SteadyClock::time_point::max() : SteadyClock::now() + std::chrono::milliseconds(timeoutMs);
        if (timeoutMs < 0) {
            // A timer that is left would keep the io_context running.
            self.timer_.cancel();
            self.timerSetTo_ = SteadyClock::time_point::max();
        } else if (timeoutMs == 0) {
            self.actSoon();
        } else if (self.wakeAt_ < self.timerSetTo_) {
            self.setTimer();
        }
        return 0;
    }

    /// Lets libcurl act in the next turn of the loop, once for all requests that were added in this one.
    auto actSoon() -> void
    {
        if (actPosted_) {
            return;
        }
        actPosted_ = true;
        asio::post(context_, [weak = weak_from_this()] {
            if (const auto self = weak.lock()) {
                self->actPosted_ = false;
                self->act(CURL_SOCKET_TIMEOUT, 0);
            }
        });
    }

    auto setTimer() -> void
    {
        timerSetTo_ = wakeAt_;
        timer_.expires_at(wakeAt_);
        timer_.async_wait([weak = weak_from_this()](const std::error_code &error) {
            const auto self = weak.lock();
            if (self && !error) {
                self->onTimer();
            }
        });
    }

    auto onTimer() -> void
    {
        timerSetTo_ = SteadyClock::time_point::max();
        if (SteadyClock::now() >= wakeAt_) {
            wakeAt_ = SteadyClock::time_point::max();
            act(CURL_SOCKET_TIMEOUT, 0);
        }
        // libcurl may have set the timer meanwhile.
        if (wakeAt_ < timerSetTo_) {
            setTimer();
        }
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
        addBytesOfTransfer(easy, bytes_);
        const auto found = transfers_.find(easy);
        assert(found != transfers_.end());
        const auto transfer = std::move(found->second);
        transfers_.erase(found);
        auto result = resultOfTransfer(easy, code, *transfer);
        curl_multi_remove_handle(multi_, easy);
        release(easy, *transfer);
        deliver(std::move(transfer->callback_), std::move(result));
        startNext(transfer->request_.address_);
    }

    asio::io_context &context_;
    asio::steady_timer timer_;
    HttpClientOptions options_;
    HttpClientBytes bytes_;
    CURLM *multi_ = nullptr;
    std::unordered_map<curl_socket_t, std::shared_ptr<WatchedSocket>> sockets_;
    /// When libcurl wants to be woken, and when the timer goes off.
    SteadyClock::time_point wakeAt_ = SteadyClock::time_point::max();
    SteadyClock::time_point timerSetTo_ = SteadyClock::time_point::max();
    bool actPosted_ = false;
    std::unordered_map<CURL *, std::unique_ptr<HttpTransfer>> transfers_;
    std::unordered_map<std::string, Host> hosts_;
    /// Requests that wait in all hosts.
    std::size_t waiting_ = 0;
    bool expiryArmed_ = false;
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
    Result<HttpClientResponse> answer = Error{ErrorKind::Internal, "no answer", std::nullopt};
    client.send(std::move(request), [&answer](Result<HttpClientResponse> result) {
        answer = std::move(result);
    });
    context.run();
    return answer;
}
} // namespace Marjoramfold
