#include "marjoramfold/membership/peerconnection.h"

#include "marjoramfold/membership/hostport.h"

#include <asio/connect.hpp>
#include <asio/post.hpp>
#include <asio/write.hpp>

#include <algorithm>

namespace Marjoramfold
{
using asio::ip::tcp;

PeerConnection::PeerConnection(asio::io_context &context, PeerTarget target, EnvelopeCodec &codec, PeerClientOptions options)
    : context_(context)
    , target_(std::move(target))
    , codec_(codec)
    , options_(options)
    , socket_(context)
    , resolver_(context)
    , connectTimer_(context)
    , idleTimer_(context)
    , chunk_(FrameChunkBytes, '\0')
{
}

auto PeerConnection::start() -> void
{
    connectTimer_.expires_after(options_.connectTimeout_);
    connectTimer_.async_wait([self = shared_from_this()](std::error_code error) {
        if (!error && !self->connected_) {
            self->fail("timed out while connecting");
        }
    });
    const auto address = parseHostPort(target_.address_);
    if (!address) {
        asio::post(context_, [self = shared_from_this()] {
            self->fail("address '" + self->target_.address_ + "' is not HOST:PORT");
        });
        return;
    }
    connect(address->host_, std::to_string(address->port_));
}

auto PeerConnection::connect(const std::string &host, const std::string &port) -> void
{
    const auto onConnected = [self = shared_from_this()](std::error_code error, const tcp::endpoint & /*endpoint*/) {
        if (error) {
            self->fail(error.message());
        } else {
            self->connected();
        }
    };
    std::error_code notNumeric;
    const auto address = asio::ip::make_address(host, notNumeric);
    if (!notNumeric) {
        const tcp::endpoint endpoint(address, static_cast<std::uint16_t>(std::stoul(port)));
        socket_.async_connect(endpoint, [onConnected, endpoint](std::error_code error) {
            onConnected(error, endpoint);
        });
        return;
    }
    resolver_.async_resolve(host, port, [self = shared_from_this(), onConnected](std::error_code error, const tcp::resolver::results_type &results) {
        if (error) {
            self->fail(error.message());
        } else if (!self->closed_) {
            asio::async_connect(self->socket_, results, onConnected);
        }
    });
}

auto PeerConnection::connected() -> void
{
    if (closed_) {
        return;
    }
    connected_ = true;
    connectTimer_.cancel();
    std::error_code ignored;
    socket_.set_option(tcp::no_delay(true), ignored);
    restartIdleTimer();
    read();
    write();
}

auto PeerConnection::request(std::uint64_t correlation, const PeerMessage &message, std::chrono::milliseconds timeout, Callback done) -> void
{
    if (pending_.size() >= options_.maxPendingPerPeer_) {
        refuse({ErrorKind::QueueFull, "too many requests to " + target_.id_.value() + " are pending", std::nullopt}, std::move(done));
        return;
    }
    const auto sealed = codec_.seal(target_.id_, message, correlation);
    if (sealed.empty()) {
        refuse({ErrorKind::InvalidRequest, "the message exceeds the frame limit, or no signing key is set", std::nullopt}, std::move(done));
        return;
    }
    auto timer = std::make_shared<asio::steady_timer>(context_, timeout);
    timer->async_wait([self = shared_from_this(), correlation, timer](std::error_code error) {
        if (!error) {
            self->timedOut(correlation);
        }
    });
    pending_[correlation] = {std::move(done), std::move(timer), false};
    outgoing_.push_back({correlation, withFrameLength(sealed)});
    write();
}

auto PeerConnection::refuse(Error error, Callback done) -> void
{
    asio::post(context_, [self = shared_from_this(), error = std::move(error), done = std::move(done)] {
        if (!self->closed_) {
            done(error);
        }
    });
}

auto PeerConnection::write() -> void
{
    if (closed_ || !connected_ || writing_ || outgoing_.empty()) {
        return;
    }
    writing_ = true;
    if (const auto found = pending_.find(outgoing_.front().correlation_); found != pending_.end()) {
        found->second.sent_ = true;
    }
    asio::async_write(socket_, asio::buffer(outgoing_.front().bytes_), [self = shared_from_this()](std::error_code error, std::size_t /*size*/) {
        self->writing_ = false;
        if (error) {
            self->fail(error.message());
            return;
        }
        if (!self->closed_) {
            self->outgoing_.pop_front();
            self->write();
        }
    });
}

auto PeerConnection::read() -> void
{
    socket_.async_read_some(asio::buffer(chunk_), [self = shared_from_this()](std::error_code error, std::size_t size) {
        if (error) {
            self->fail(error.message());
            return;
        }
        self->assembler_.append(self->chunk_.data(), size);
        self->processFrames();
        if (!self->closed_) {
            self->read();
        }
    });
}

auto PeerConnection::processFrames() -> void
{
    std::string frame;
    while (!closed_) {
        const auto state = assembler_.next(frame);
        if (state == FrameAssembler::State::Incomplete) {
            return;
        }
        if (state == FrameAssembler::State::Invalid) {
            fail("the peer sent a frame of an invalid length");
            return;
        }
        auto opened = codec_.open(frame, std::chrono::steady_clock::now());
        auto *message = std::get_if<OpenedMessage>(&opened);
        if (message == nullptr || message->sender_ != target_.id_) {
            fail("the peer sent an invalid frame");
            return;
        }
        // finish() drops a reply that arrives after its request timed out.
        if (auto *refusal = std::get_if<PeerRefusal>(&message->message_)) {
            const auto kind = errorKindFromName(refusal->kind_).value_or(ErrorKind::Internal);
            finish(message->correlation_, Error{kind, std::move(refusal->message_), std::nullopt});
        } else {
            finish(message->correlation_, std::move(message->message_));
        }
    }
}

auto PeerConnection::timedOut(std::uint64_t correlation) -> void
{
    const auto found = pending_.find(correlation);
    if (found == pending_.end()) {
        return;
    }
    if (found->second.sent_) {
        finish(correlation, Error{ErrorKind::Timeout, "no reply from " + target_.id_.value() + " within the timeout", std::nullopt});
        return;
    }
    // No byte of the request was sent, so it is removed from the queue and certainly did not run.
    std::erase_if(outgoing_, [correlation](const Outgoing &item) {
        return item.correlation_ == correlation;
    });
    finish(correlation, Error{ErrorKind::ConnectFailed, "the request to " + target_.id_.value() + " was not sent within the timeout", std::nullopt});
}

auto PeerConnection::finish(std::uint64_t correlation, Result<PeerMessage> result) -> void
{
    const auto found = pending_.find(correlation);
    if (found == pending_.end()) {
        return;
    }
    const auto done = std::move(found->second.done_);
    found->second.timer_->cancel();
    pending_.erase(found);
    if (!closed_) {
        restartIdleTimer();
    }
    done(std::move(result));
}

auto PeerConnection::fail(const std::string &reason) -> void
{
    if (closed_) {
        return;
    }
    auto failed = std::move(pending_);
    pending_.clear();
    close();
    for (auto &[correlation, request] : failed) {
        request.timer_->cancel();
        const auto kind = request.sent_ ? ErrorKind::TransportFailed : ErrorKind::ConnectFailed;
        request.done_(Error{kind, "connection to " + target_.id_.value() + ": " + reason, std::nullopt});
    }
}

auto PeerConnection::restartIdleTimer() -> void
{
    idleTimer_.expires_after(options_.idleTimeout_);
    idleTimer_.async_wait([self = shared_from_this()](std::error_code error) {
        if (!error && self->pending_.empty()) {
            self->fail("closed after the idle timeout");
        }
    });
}

auto PeerConnection::close() -> void
{
    closed_ = true;
    std::error_code ignored;
    socket_.close(ignored);
    resolver_.cancel();
    connectTimer_.cancel();
    idleTimer_.cancel();
    for (auto &[correlation, request] : pending_) {
        request.timer_->cancel();
    }
    pending_.clear();
}

auto PeerConnection::isClosed() const -> bool
{
    return closed_;
}
} // namespace Marjoramfold
