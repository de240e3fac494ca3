#include "tcproute.h"

#include <asio/buffer.hpp>
#include <asio/steady_timer.hpp>
#include <asio/write.hpp>

#include <array>
#include <functional>

namespace Marjoramfold
{
namespace
{
/// Interval at which a blocked direction checks whether the cut has ended.
constexpr std::chrono::milliseconds CutPollInterval{5};

constexpr std::size_t ChunkBytes = 16'384;

/// Closes a socket with a reset instead of an orderly shutdown.
auto resetSocket(asio::ip::tcp::socket &socket) -> void
{
    std::error_code ignored;
    socket.set_option(asio::socket_base::linger(true, 0), ignored);
    socket.close(ignored);
}
} // namespace

/// One forwarded connection: two directions that read, delay and write one chunk at a time.
class TcpLink : public std::enable_shared_from_this<TcpLink>
{
public:
    TcpLink(asio::ip::tcp::socket client, std::shared_ptr<const RouteFaults> faults)
        : client_(std::move(client))
        , server_(client_.get_executor())
        , faults_(std::move(faults))
        , toServer_(client_.get_executor())
        , toClient_(client_.get_executor())
    {
    }

    auto start(const asio::ip::tcp::endpoint &server) -> void
    {
        server_.async_connect(server, [self = shared_from_this()](const std::error_code &error) {
            if (error) {
                // As without the proxy, the connection of the client fails at once.
                self->reset();
                return;
            }
            std::error_code ignored;
            self->client_.set_option(asio::ip::tcp::no_delay(true), ignored);
            self->server_.set_option(asio::ip::tcp::no_delay(true), ignored);
            self->read(self->client_, self->server_, self->toServer_, &RouteFaults::cutToServer_);
            self->read(self->server_, self->client_, self->toClient_, &RouteFaults::cutToClient_);
        });
    }

    auto reset() -> void
    {
        resetSocket(client_);
        resetSocket(server_);
        toServer_.timer_.cancel();
        toClient_.timer_.cancel();
    }

    [[nodiscard]] auto isOpen() const -> bool
    {
        return client_.is_open();
    }

private:
    using Socket = asio::ip::tcp::socket;
    using CutFlag = bool RouteFaults::*;

    /// Buffered chunk and delay timer of one direction.
    struct Direction {
        explicit Direction(const Socket::executor_type &executor)
            : timer_(executor)
        {
        }
        std::array<char, ChunkBytes> buffer_{};
        asio::steady_timer timer_;
    };

    auto read(Socket &from, Socket &to, Direction &direction, CutFlag cut) -> void
    {
        from.async_read_some(asio::buffer(direction.buffer_),
                             [self = shared_from_this(), &from, &to, &direction, cut](const std::error_code &error, std::size_t size) {
                                 if (error) {
                                     self->finish(to, direction, cut);
                                     return;
                                 }
                                 self->runAfterDelay(direction, self->faults_->delay_, cut, [self, &from, &to, &direction, cut, size] {
                                     self->write(from, to, direction, cut, size);
                                 });
                             });
    }

    auto write(Socket &from, Socket &to, Direction &direction, CutFlag cut, std::size_t size) -> void
    {
        asio::async_write(to,
                          asio::buffer(direction.buffer_.data(), size),
                          [self = shared_from_this(), &from, &to, &direction, cut](const std::error_code &error, std::size_t /*size*/) {
                              if (error) {
                                  self->reset();
                                  return;
                              }
                              self->read(from, to, direction, cut);
                          });
    }

    /// Runs an action after a delay, and not before the direction's cut has ended.
    auto runAfterDelay(Direction &direction, std::chrono::milliseconds delay, CutFlag cut, std::function<void()> action) -> void
    {
        if (delay.count() == 0 && !((*faults_).*cut)) {
            action();
            return;
        }
        direction.timer_.expires_after(std::max(delay, (*faults_).*cut ? CutPollInterval : delay));
        direction.timer_.async_wait([self = shared_from_this(), &direction, cut, action = std::move(action)](const std::error_code &error) mutable {
            if (!error) {
                self->runAfterDelay(direction, std::chrono::milliseconds(0), cut, std::move(action));
            }
        });
    }

    /// Forwards the end of the stream in one direction.
    auto finish(Socket &to, Direction &direction, CutFlag cut) -> void
    {
        runAfterDelay(direction, faults_->delay_, cut, [self = shared_from_this(), &to] {
            std::error_code ignored;
            to.shutdown(Socket::shutdown_send, ignored);
            if (++self->endedDirections_ == 2) {
                self->client_.close(ignored);
                self->server_.close(ignored);
            }
        });
    }

    Socket client_;
    Socket server_;
    std::shared_ptr<const RouteFaults> faults_;
    Direction toServer_;
    Direction toClient_;
    int endedDirections_ = 0;
};

TcpRoute::TcpRoute(asio::io_context &context, RouteOptions options, std::uint64_t seed)
    : options_(std::move(options))
    , acceptor_(context, {asio::ip::make_address(options_.listenAddress_), options_.listenPort_})
    , random_(seed)
{
    accept();
}

auto TcpRoute::port() const -> std::uint16_t
{
    return acceptor_.local_endpoint().port();
}

auto TcpRoute::setFaults(const RouteFaults &faults) -> void
{
    *faults_ = faults;
}

auto TcpRoute::resetAll() -> void
{
    for (const auto &weak : links_) {
        if (const auto link = weak.lock()) {
            link->reset();
        }
    }
    links_.clear();
}

auto TcpRoute::openConnections() -> std::size_t
{
    removeClosed();
    return links_.size();
}

auto TcpRoute::accept() -> void
{
    acceptor_.async_accept([this](const std::error_code &error, asio::ip::tcp::socket client) {
        if (error == asio::error::operation_aborted) {
            return;
        }
        if (!error) {
            open(std::move(client));
        }
        accept();
    });
}

auto TcpRoute::open(asio::ip::tcp::socket client) -> void
{
    if (chance(faults_->drop_, random_)) {
        resetSocket(client);
        return;
    }
    removeClosed();
    const auto link = std::make_shared<TcpLink>(std::move(client), faults_);
    links_.insert(link);
    link->start({asio::ip::make_address(options_.serverAddress_), options_.serverPort_});
}

auto TcpRoute::removeClosed() -> void
{
    std::erase_if(links_, [](const std::weak_ptr<TcpLink> &weak) {
        const auto link = weak.lock();
        return !link || !link->isOpen();
    });
}
} // namespace Marjoramfold
