#include "marjoramfold/http/persistenthttpclient.h"

#include "marjoramfold/http/httprequesttext.h"
#include "marjoramfold/http/httpresponseparser.h"

#include <asio/ip/tcp.hpp>
#include <asio/post.hpp>
#include <asio/steady_timer.hpp>
#include <asio/write.hpp>

#include <algorithm>
#include <array>
#include <cassert>
#include <deque>
#include <list>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

namespace Marjoramfold
{
namespace
{
struct Connection;

/// A request with its callback, until it has a result.
struct Exchange {
    HttpClientRequest request_;
    PersistentHttpClient::Callback callback_;
    BootTime deadline_;
    /// The deadline, or earlier while connecting.
    BootTime expiresAt_;
    /// A byte of the request may have reached the server.
    bool sent_ = false;
    /// A kept connection turned out to be closed before a byte was sent.
    bool reconnected_ = false;
    /// Empty while the request waits for a connection.
    std::weak_ptr<Connection> connection_;
};

/// One connection and the exchange on it, if any.
struct Connection {
    Connection(asio::io_context &context, std::string address, std::size_t maxBodyBytes)
        : socket_(context)
        , address_(std::move(address))
        , parser_(maxBodyBytes)
    {
    }

    asio::ip::tcp::socket socket_;
    std::string address_;
    HttpResponseParser parser_;
    std::unique_ptr<Exchange> exchange_;
    std::string outgoing_;
    bool connected_ = false;
    bool waitsForInput_ = false;
    bool closed_ = false;
    bool isIdle_ = false;
    /// Position in the list of idle connections while it is idle.
    std::list<std::shared_ptr<Connection>>::iterator idlePosition_;
};

using ConnectionPointer = std::shared_ptr<Connection>;

/// Connections and waiting requests of one address.
struct Server {
    std::vector<ConnectionPointer> idle_;
    long open_ = 0;
    std::deque<std::unique_ptr<Exchange>> waiting_;
};
} // namespace

/// The connections, the requests and their deadlines.
class PersistentHttpClient::Impl : public std::enable_shared_from_this<Impl>
{
public:
    Impl(asio::io_context &context, HttpClientOptions options)
        : context_(context)
        , options_(options)
        , timer_(context)
    {
    }

    auto send(HttpClientRequest request, Callback callback) -> void
    {
        assert(!request.requiredEcho_);
        const WorkMeter::Scope scope(options_.workMeter_, WorkKind::Transport);
        auto exchange = std::make_unique<Exchange>();
        exchange->deadline_ = BootClock::now() + request.timeout_;
        exchange->request_ = std::move(request);
        exchange->callback_ = std::move(callback);
        ++inFlight_;
        setExpiry(*exchange, exchange->deadline_);
        if (exchange->request_.freshConnection_) {
            closeIdle(exchange->request_.address_);
        }
        auto &server = servers_[exchange->request_.address_];
        dispatch(server, std::move(exchange));
    }

    /// Closes all connections and drops the callbacks.
    auto shutDown() -> void
    {
        timer_.cancel();
        for (const auto &connection : std::exchange(connections_, {})) {
            connection->closed_ = true;
            std::error_code ignored;
            connection->socket_.close(ignored);
        }
        servers_.clear();
        idle_.clear();
    }

    [[nodiscard]] auto inFlight() const -> std::size_t
    {
        return inFlight_;
    }

    [[nodiscard]] auto idleConnections() const -> std::size_t
    {
        return idle_.size();
    }

private:
    using ExchangePointer = std::unique_ptr<Exchange>;

    auto dispatch(Server &server, ExchangePointer exchange) -> void
    {
        if (!server.idle_.empty()) {
            const auto connection = server.idle_.back();
            removeIdle(server, connection);
            begin(connection, std::move(exchange));
        } else if (server.open_ < options_.maxConnectionsPerHost_) {
            open(server, std::move(exchange));
        } else {
            server.waiting_.push_back(std::move(exchange));
        }
    }

    auto open(Server &server, ExchangePointer exchange) -> void
    {
        const auto address = exchange->request_.address_;
        const auto endpoint = parseEndpoint(address);
        if (!endpoint) {
            forgetUnused(address);
            complete(std::move(exchange), Error{ErrorKind::ConnectFailed, "the address " + address + " is not IP:PORT", std::nullopt});
            return;
        }
        ++server.open_;
        const auto connection = std::make_shared<Connection>(context_, address, options_.maxBodyBytes_);
        connections_.insert(connection);
        setExpiry(*exchange, std::min(exchange->deadline_, BootClock::now() + options_.connectTimeout_));
        exchange->connection_ = connection;
        connection->exchange_ = std::move(exchange);
        connection->socket_.async_connect(*endpoint, [weak = weak_from_this(), connection](const std::error_code &error) {
            const auto self = weak.lock();
            if (!self || connection->closed_) {
                return;
            }
            const WorkMeter::Scope scope(self->options_.workMeter_, WorkKind::Transport);
            if (error) {
                self->fail(connection, ErrorKind::ConnectFailed, error.message());
                return;
            }
            self->onConnected(connection);
        });
    }

    auto onConnected(const ConnectionPointer &connection) -> void
    {
        std::error_code error;
        connection->socket_.set_option(asio::ip::tcp::no_delay(true), error);
        connection->socket_.non_blocking(true, error);
        if (error) {
            fail(connection, ErrorKind::ConnectFailed, error.message());
            return;
        }
        connection->connected_ = true;
        auto exchange = std::move(connection->exchange_);
        setExpiry(*exchange, exchange->deadline_);
        begin(connection, std::move(exchange));
    }

    /// Writes the request of an exchange to an established connection.
    auto begin(const ConnectionPointer &connection, ExchangePointer exchange) -> void
    {
        if (exchange->deadline_ <= BootClock::now()) {
            // The process may have been suspended since the request was made.
            connection->exchange_ = std::move(exchange);
            fail(connection, ErrorKind::ConnectFailed, "the timeout passed before the request was sent");
            return;
        }
        connection->parser_.reset();
        connection->outgoing_ = encodeRequest(exchange->request_);
        exchange->connection_ = connection;
        connection->exchange_ = std::move(exchange);
        std::error_code error;
        const auto written = connection->socket_.write_some(asio::buffer(connection->outgoing_), error);
        if (error && error != asio::error::would_block) {
            retryOnNewConnection(connection, error);
            return;
        }
        connection->exchange_->sent_ = true;
        connection->outgoing_.erase(0, written);
        if (!connection->outgoing_.empty()) {
            writeRest(connection);
        }
        waitForInput(connection);
    }

    /// Nothing was written to a kept connection that its server has closed, so the request can be sent on another one.
    auto retryOnNewConnection(const ConnectionPointer &connection, const std::error_code &error) -> void
    {
        if (std::exchange(connection->exchange_->reconnected_, true)) {
            fail(connection, ErrorKind::ConnectFailed, error.message());
            return;
        }
        auto exchange = std::move(connection->exchange_);
        close(connection);
        auto &server = servers_[exchange->request_.address_];
        open(server, std::move(exchange));
    }

    auto writeRest(const ConnectionPointer &connection) -> void
    {
        asio::async_write(connection->socket_,
                          asio::buffer(connection->outgoing_),
                          [weak = weak_from_this(), connection](const std::error_code &error, std::size_t /*bytes*/) {
                              const auto self = weak.lock();
                              connection->outgoing_.clear();
                              if (self && error && !connection->closed_) {
                                  self->fail(connection, ErrorKind::TransportFailed, error.message());
                              }
                          });
    }

    auto waitForInput(const ConnectionPointer &connection) -> void
    {
        if (connection->waitsForInput_ || connection->closed_) {
            return;
        }
        connection->waitsForInput_ = true;
        // Waits also while the connection is idle, to notice that its server closes it.
        connection->socket_.async_wait(asio::ip::tcp::socket::wait_read, [weak = weak_from_this(), connection](const std::error_code &error) {
            const auto self = weak.lock();
            connection->waitsForInput_ = false;
            if (!self || connection->closed_) {
                return;
            }
            const WorkMeter::Scope scope(self->options_.workMeter_, WorkKind::Transport);
            if (error) {
                self->fail(connection, ErrorKind::TransportFailed, error.message());
                return;
            }
            self->receive(connection);
            self->waitForInput(connection);
        });
    }

    auto receive(const ConnectionPointer &connection) -> void
    {
        std::error_code error;
        const auto bytes = connection->socket_.read_some(asio::buffer(input_), error);
        if (error == asio::error::would_block) {
            return;
        }
        if (!connection->exchange_) {
            // The server has closed the idle connection, or sends what nobody asked for.
            close(connection);
            return;
        }
        if (error && error != asio::error::eof) {
            fail(connection, ErrorKind::TransportFailed, error.message());
            return;
        }
        const auto state = error ? connection->parser_.parseEnd() : connection->parser_.parse({input_.data(), bytes});
        if (state == HttpResponseParser::State::Malformed) {
            fail(connection, ErrorKind::TransportFailed, error ? "the connection was closed before the response was complete" : "the response is malformed");
        } else if (state == HttpResponseParser::State::Complete) {
            finish(connection, !error && connection->parser_.keepsConnection());
        }
    }

    auto finish(const ConnectionPointer &connection, bool keep) -> void
    {
        auto exchange = std::move(connection->exchange_);
        auto response = connection->parser_.takeResponse();
        // A response before the whole request was written ends the connection.
        if (keep && connection->outgoing_.empty()) {
            release(connection);
        } else {
            close(connection);
        }
        complete(std::move(exchange), std::move(response));
    }

    /// Makes a connection available for the next request.
    auto release(const ConnectionPointer &connection) -> void
    {
        auto &server = servers_[connection->address_];
        if (auto next = takeWaiting(server); next) {
            begin(connection, std::move(next));
            return;
        }
        connection->isIdle_ = true;
        server.idle_.push_back(connection);
        connection->idlePosition_ = idle_.insert(idle_.end(), connection);
        // As for libcurl, connections in use count too: together they must not exhaust the descriptors of the process.
        if (connections_.size() > static_cast<std::size_t>(options_.maxIdleConnections_)) {
            close(ConnectionPointer(idle_.front()));
        }
    }

    /// The first waiting request whose timeout has not passed; the others fail in expire().
    static auto takeWaiting(Server &server) -> ExchangePointer
    {
        const auto next = std::find_if(server.waiting_.begin(), server.waiting_.end(), [now = BootClock::now()](const auto &exchange) {
            return exchange->deadline_ > now;
        });
        if (next == server.waiting_.end()) {
            return nullptr;
        }
        auto exchange = std::move(*next);
        server.waiting_.erase(next);
        return exchange;
    }

    auto removeIdle(Server &server, const ConnectionPointer &connection) -> void
    {
        assert(connection->isIdle_);
        connection->isIdle_ = false;
        idle_.erase(connection->idlePosition_);
        std::erase(server.idle_, connection);
    }

    auto closeIdle(const std::string &address) -> void
    {
        const auto server = servers_.find(address);
        const auto idle = server == servers_.end() ? std::vector<ConnectionPointer>() : server->second.idle_;
        for (const auto &connection : idle) {
            close(connection);
        }
    }

    /// Forgets a server without connections and requests.
    auto forgetUnused(const std::string &address) -> void
    {
        const auto server = servers_.find(address);
        if (server != servers_.end() && server->second.open_ == 0 && server->second.waiting_.empty()) {
            servers_.erase(server);
        }
    }

    /// Closes a connection without an exchange and uses its place for a waiting request.
    auto close(const ConnectionPointer &connection) -> void
    {
        if (std::exchange(connection->closed_, true)) {
            return;
        }
        auto &server = servers_[connection->address_];
        if (connection->isIdle_) {
            removeIdle(server, connection);
        }
        std::error_code ignored;
        connection->socket_.close(ignored);
        connections_.erase(connection);
        --server.open_;
        if (auto next = takeWaiting(server); next) {
            open(server, std::move(next));
        }
        forgetUnused(connection->address_);
    }

    /// Fails the exchange of a connection, if any, and closes the connection.
    auto fail(const ConnectionPointer &connection, ErrorKind kind, const std::string &reason) -> void
    {
        auto exchange = std::move(connection->exchange_);
        close(connection);
        if (!exchange) {
            return;
        }
        const auto &request = exchange->request_;
        auto message = request.method_ + " http://" + request.address_ + request.target_ + ": " + reason;
        complete(std::move(exchange), Error{kind, std::move(message), std::nullopt});
    }

    auto complete(ExchangePointer exchange, Result<HttpClientResponse> result) -> void
    {
        deadlines_.erase({exchange->expiresAt_, exchange.get()});
        --inFlight_;
        if (deadlines_.empty()) {
            // A pending timer would keep the io_context running.
            timer_.cancel();
            timerExpiresAt_ = BootTime::max();
        }
        // Posted, since the callback may send another request.
        asio::post(context_, [weak = weak_from_this(), callback = std::move(exchange->callback_), result = std::move(result)]() mutable {
            if (const auto self = weak.lock(); self) {
                const WorkMeter::Scope scope(self->options_.workMeter_, self->options_.callbackWork_);
                callback(std::move(result));
            }
        });
    }

    auto setExpiry(Exchange &exchange, BootTime expiresAt) -> void
    {
        deadlines_.erase({exchange.expiresAt_, &exchange});
        exchange.expiresAt_ = expiresAt;
        deadlines_.insert({expiresAt, &exchange});
        startTimer();
    }

    /// Sets the timer unless it expires early enough; it is not moved back when a deadline is removed.
    auto startTimer() -> void
    {
        if (deadlines_.empty() || deadlines_.begin()->first >= timerExpiresAt_) {
            return;
        }
        timerExpiresAt_ = deadlines_.begin()->first;
        timer_.expires_after(std::max(BootTime::duration::zero(), timerExpiresAt_ - BootClock::now()));
        timer_.async_wait([weak = weak_from_this()](const std::error_code &error) {
            if (const auto self = weak.lock(); self && !error) {
                const WorkMeter::Scope scope(self->options_.workMeter_, WorkKind::Transport);
                self->timerExpiresAt_ = BootTime::max();
                self->expire();
                self->startTimer();
            }
        });
    }

    auto expire() -> void
    {
        const auto now = BootClock::now();
        while (!deadlines_.empty() && deadlines_.begin()->first <= now) {
            const auto *exchange = deadlines_.begin()->second;
            if (const auto connection = exchange->connection_.lock(); connection) {
                const auto kind = exchange->sent_ ? ErrorKind::Timeout : ErrorKind::ConnectFailed;
                // Other kept connections to the server may be dead as well.
                closeIdle(connection->address_);
                fail(connection, kind, "Timeout was reached");
                continue;
            }
            auto &server = servers_[exchange->request_.address_];
            const auto waiting = std::find_if(server.waiting_.begin(), server.waiting_.end(), [exchange](const auto &candidate) {
                return candidate.get() == exchange;
            });
            assert(waiting != server.waiting_.end());
            auto expired = std::move(*waiting);
            server.waiting_.erase(waiting);
            complete(std::move(expired),
                     Error{ErrorKind::ConnectFailed, "no connection became free before the timeout; the request was not sent", std::nullopt});
        }
    }

    static constexpr std::size_t InputBytes = 65'536;

    asio::io_context &context_;
    HttpClientOptions options_;
    asio::steady_timer timer_;
    BootTime timerExpiresAt_ = BootTime::max();
    std::unordered_map<std::string, Server> servers_;
    std::set<ConnectionPointer> connections_;
    /// Idle connections of all servers, the longest idle first.
    std::list<ConnectionPointer> idle_;
    std::set<std::pair<BootTime, const Exchange *>> deadlines_;
    std::size_t inFlight_ = 0;
    /// Shared by all connections, whose input is parsed as soon as it is read.
    std::array<char, InputBytes> input_{};
};

PersistentHttpClient::PersistentHttpClient(asio::io_context &context, HttpClientOptions options)
    : impl_(std::make_shared<Impl>(context, options))
{
}

PersistentHttpClient::~PersistentHttpClient()
{
    impl_->shutDown();
}

auto PersistentHttpClient::send(HttpClientRequest request, Callback callback) -> void
{
    impl_->send(std::move(request), std::move(callback));
}

auto PersistentHttpClient::inFlight() const -> std::size_t
{
    return impl_->inFlight();
}

auto PersistentHttpClient::idleConnections() const -> std::size_t
{
    return impl_->idleConnections();
}
} // namespace Marjoramfold
