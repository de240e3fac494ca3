#include "marjoramfold/membership/peerserver.h"

#include "marjoramfold/membership/peerprotocol.h"

#include <asio/ip/tcp.hpp>
#include <asio/steady_timer.hpp>
#include <asio/write.hpp>

#include <deque>
#include <set>

namespace Marjoramfold
{
namespace
{
using asio::ip::tcp;

/// Delay after a failed accept, for example when the process has no free file descriptor.
constexpr std::chrono::milliseconds AcceptRetryDelay{100};

auto toRefusal(const Error &error) -> PeerMessage
{
    return PeerRefusal{std::string(errorAnswer(error.kind_).name_), error.message_};
}
} // namespace

/// The listener and the state that its connections share.
class PeerServer::Impl : public std::enable_shared_from_this<Impl>
{
public:
    Impl(asio::io_context &context, PeerIdentity self, const KeyRing &keys, PeerHandlers handlers, PeerServerOptions options)
        : context_(context)
        , acceptor_(context)
        , retryTimer_(context)
        , codec_({PeerChannel::StreamReply, PeerChannel::StreamRequest}, std::move(self), keys)
        , handlers_(std::move(handlers))
        , options_(options)
    {
    }

    auto start(const std::string &host, std::uint16_t port) -> std::uint16_t
    {
        const tcp::endpoint endpoint(asio::ip::make_address(host), port);
        acceptor_.open(endpoint.protocol());
        acceptor_.set_option(tcp::acceptor::reuse_address(true));
        acceptor_.bind(endpoint);
        acceptor_.listen();
        accept();
        return acceptor_.local_endpoint().port();
    }

    auto close() -> void;

    [[nodiscard]] auto drops() const -> const DropCounters &
    {
        return codec_.drops();
    }

    [[nodiscard]] auto connections() const -> std::size_t
    {
        return connections_.size();
    }

private:
    class Connection;

    auto accept() -> void;

    asio::io_context &context_;
    tcp::acceptor acceptor_;
    asio::steady_timer retryTimer_;
    EnvelopeCodec codec_;
    PeerHandlers handlers_;
    PeerServerOptions options_;
    std::set<std::shared_ptr<Connection>> connections_;
    std::size_t bufferedBytes_ = 0;
    bool closed_ = false;
};

/// One connection of a peer.
class PeerServer::Impl::Connection : public std::enable_shared_from_this<Connection>
{
public:
    Connection(tcp::socket socket, std::shared_ptr<Impl> server)
        : socket_(std::move(socket))
        , idleTimer_(server->context_)
        , server_(std::move(server))
        , chunk_(FrameChunkBytes, '\0')
    {
    }

    auto start() -> void
    {
        std::error_code ignored;
        socket_.set_option(tcp::no_delay(true), ignored);
        read();
    }

    auto close() -> void
    {
        if (!closed_) {
            closed_ = true;
            std::error_code ignored;
            socket_.close(ignored);
            idleTimer_.cancel();
            server_->bufferedBytes_ -= accounted_;
            accounted_ = 0;
            server_->connections_.erase(shared_from_this());
        }
    }

private:
    auto read() -> void
    {
        if (closed_ || reading_ || pending_ >= server_->options_.maxPendingPerConnection_) {
            return;
        }
        reading_ = true;
        restartIdleTimer();
        socket_.async_read_some(asio::buffer(chunk_), [self = shared_from_this()](std::error_code error, std::size_t size) {
            self->reading_ = false;
            if (error) {
                self->close();
                return;
            }
            self->assembler_.append(self->chunk_.data(), size);
            self->processFrames();
            self->accountBuffer();
            self->read();
        });
    }

    auto restartIdleTimer() -> void
    {
        idleTimer_.expires_after(server_->options_.idleTimeout_);
        idleTimer_.async_wait([self = shared_from_this()](std::error_code error) {
            if (!error && self->pending_ == 0) {
                self->close();
            }
        });
    }

    auto processFrames() -> void
    {
        std::string frame;
        while (!closed_) {
            const auto state = assembler_.next(frame);
            if (state == FrameAssembler::State::Incomplete) {
                return;
            }
            if (state == FrameAssembler::State::Invalid) {
                close();
                return;
            }
            auto opened = server_->codec_.open(frame, std::chrono::steady_clock::now());
            auto *message = std::get_if<OpenedMessage>(&opened);
            if (message == nullptr) {
                // An invalid frame means that the sender is not a peer, or that its stream is out of sync.
                close();
                return;
            }
            dispatch(std::move(*message));
        }
    }

    auto accountBuffer() -> void
    {
        if (closed_) {
            return;
        }
        server_->bufferedBytes_ += assembler_.buffered() - accounted_;
        accounted_ = assembler_.buffered();
        if (server_->bufferedBytes_ > server_->options_.maxBufferedBytes_) {
            close();
        }
    }

    auto dispatch(OpenedMessage message) -> void
    {
        ++pending_;
        const PeerSender sender{message.sender_, message.incarnation_};
        const auto correlation = message.correlation_;
        const auto &handlers = server_->handlers_;
        if (auto *ruleSet = std::get_if<RuleSetRequest>(&message.message_); ruleSet != nullptr && handlers.ruleSet_) {
            handlers.ruleSet_(sender, *ruleSet, makeReplyCallback<RuleSetReply>(sender.id_, correlation));
        } else if (auto *forward = std::get_if<ForwardRequest>(&message.message_); forward != nullptr && handlers.forward_) {
            handlers.forward_(sender, std::move(*forward), makeReplyCallback<ForwardReply>(sender.id_, correlation));
        } else if (auto *targets = std::get_if<TargetListMessage>(&message.message_); targets != nullptr && handlers.targetList_) {
            handlers.targetList_(sender, std::move(*targets));
            reply(sender.id_, correlation, Acknowledgement());
        } else {
            reply(sender.id_, correlation, toRefusal({ErrorKind::NotFound, "this instance has no handler for this type of request", std::nullopt}));
        }
    }

    template<typename Reply>
    auto makeReplyCallback(const InstanceId &recipient, std::uint64_t correlation) -> std::function<void(Result<Reply>)>
    {
        return [weak = this->weak_from_this(), recipient, correlation](Result<Reply> result) {
            const auto self = weak.lock();
            if (!self) {
                return;
            }
            if (isOk(result)) {
                self->reply(recipient, correlation, valueOf(std::move(result)));
            } else {
                self->reply(recipient, correlation, toRefusal(errorOf(result)));
            }
        };
    }

    auto reply(const InstanceId &recipient, std::uint64_t correlation, const PeerMessage &message) -> void
    {
        --pending_;
        if (closed_) {
            return;
        }
        auto sealed = server_->codec_.seal(recipient, message, correlation);
        if (sealed.empty()) {
            sealed = server_->codec_.seal(recipient, toRefusal({ErrorKind::Internal, "the reply exceeds the frame limit", std::nullopt}), correlation);
        }
        if (sealed.empty()) {
            close();
            return;
        }
        outgoing_.push_back(withFrameLength(sealed));
        if (outgoing_.size() == 1) {
            write();
        }
    }

    auto write() -> void
    {
        asio::async_write(socket_, asio::buffer(outgoing_.front()), [self = shared_from_this()](std::error_code error, std::size_t /*size*/) {
            if (error) {
                self->close();
                return;
            }
            self->outgoing_.pop_front();
            if (!self->outgoing_.empty()) {
                self->write();
            }
            self->read();
        });
    }

    tcp::socket socket_;
    asio::steady_timer idleTimer_;
    std::shared_ptr<Impl> server_;
    std::string chunk_;
    FrameAssembler assembler_;
    std::deque<std::string> outgoing_;
    std::size_t pending_ = 0;
    /// Bytes of this connection that are included in bufferedBytes_ of the server.
    std::size_t accounted_ = 0;
    bool reading_ = false;
    bool closed_ = false;
};

auto PeerServer::Impl::accept() -> void
{
    acceptor_.async_accept([self = shared_from_this()](std::error_code error, tcp::socket socket) {
        if (self->closed_) {
            return;
        }
        if (error) {
            self->retryTimer_.expires_after(AcceptRetryDelay);
            self->retryTimer_.async_wait([self](std::error_code cancelled) {
                if (!cancelled && !self->closed_) {
                    self->accept();
                }
            });
            return;
        }
        // Above the limit, the socket is destroyed here, which closes the connection.
        if (self->connections_.size() < self->options_.maxConnections_) {
            auto connection = std::make_shared<Connection>(std::move(socket), self);
            self->connections_.insert(connection);
            connection->start();
        }
        self->accept();
    });
}

auto PeerServer::Impl::close() -> void
{
    closed_ = true;
    std::error_code ignored;
    acceptor_.close(ignored);
    retryTimer_.cancel();
    const auto open = connections_;
    for (const auto &connection : open) {
        connection->close();
    }
}

PeerServer::PeerServer(asio::io_context &context, PeerIdentity self, const KeyRing &keys, PeerHandlers handlers, PeerServerOptions options)
    : impl_(std::make_shared<Impl>(context, std::move(self), keys, std::move(handlers), options))
{
}

PeerServer::~PeerServer()
{
    impl_->close();
}

auto PeerServer::start(const std::string &host, std::uint16_t port) -> std::uint16_t
{
    return impl_->start(host, port);
}

auto PeerServer::close() -> void
{
    impl_->close();
}

auto PeerServer::drops() const -> const DropCounters &
{
    return impl_->drops();
}

auto PeerServer::connections() const -> std::size_t
{
    return impl_->connections();
}
} // namespace Marjoramfold
