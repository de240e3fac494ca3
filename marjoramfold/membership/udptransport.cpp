#include "marjoramfold/membership/udptransport.h"

#include "marjoramfold/membership/hostport.h"

#include <asio/ip/udp.hpp>
#include <sys/socket.h>
#include <sys/uio.h>

#include <algorithm>
#include <array>
#include <cstring>
#include <ctime>
#include <map>

namespace Marjoramfold
{
namespace
{
using asio::ip::udp;

/// Time for which a resolved address is cached.
constexpr std::chrono::seconds ResolvedNameLifetime{30};

/// Most resolved names in the cache, which is cleared when it is full.
constexpr std::size_t MaxResolvedNames = 1'024;

/// Most datagrams read per wakeup, so that other work of the io_context is not starved.
constexpr int MaxDatagramsPerWakeup = 64;

/// Size, sender and queueing time of a datagram read from the socket.
struct RawDatagram {
    std::size_t size_ = 0;
    udp::endpoint from_;
    std::chrono::milliseconds queued_{0};
};

/// Time that a datagram spent in the socket's buffer, from the kernel's receive timestamp.
auto queuedTime(const msghdr &header) -> std::chrono::milliseconds
{
    for (auto *control = CMSG_FIRSTHDR(&header); control != nullptr; control = CMSG_NXTHDR(const_cast<msghdr *>(&header), control)) {
        if (control->cmsg_level == SOL_SOCKET && control->cmsg_type == SCM_TIMESTAMPNS) {
            timespec stamp{};
            std::memcpy(&stamp, CMSG_DATA(control), sizeof(stamp));
            timespec now{};
            clock_gettime(CLOCK_REALTIME, &now);
            const auto waited = std::chrono::seconds(now.tv_sec - stamp.tv_sec) + std::chrono::nanoseconds(now.tv_nsec - stamp.tv_nsec);
            return std::max(std::chrono::floor<std::chrono::milliseconds>(waited), std::chrono::milliseconds(0));
        }
    }
    return std::chrono::milliseconds(0);
}

/// Reads one datagram without blocking; false when there is none.
auto readDatagram(int socket, std::string &buffer, RawDatagram &datagram) -> bool
{
    std::array<char, 128> control{};
    iovec part{buffer.data(), buffer.size()};
    msghdr header{};
    header.msg_name = datagram.from_.data();
    header.msg_namelen = static_cast<socklen_t>(datagram.from_.capacity());
    header.msg_iov = &part;
    header.msg_iovlen = 1;
    header.msg_control = control.data();
    header.msg_controllen = control.size();
    const auto size = ::recvmsg(socket, &header, MSG_DONTWAIT);
    if (size < 0) {
        return false;
    }
    datagram.from_.resize(header.msg_namelen);
    datagram.size_ = static_cast<std::size_t>(size);
    datagram.queued_ = queuedTime(header);
    return true;
}

auto toText(const udp::endpoint &endpoint) -> std::string
{
    const auto host = endpoint.address().to_string();
    return (endpoint.address().is_v6() ? "[" + host + "]" : host) + ":" + std::to_string(endpoint.port());
}
} // namespace

/// Owns the socket; pending operations keep it alive.
class UdpTransport::Impl : public std::enable_shared_from_this<Impl>
{
public:
    Impl(asio::io_context &context, PeerIdentity self, const KeyRing &keys, Handler handler)
        : socket_(context)
        , resolver_(context)
        , codec_({PeerChannel::Datagram, PeerChannel::Datagram}, std::move(self), keys)
        , handler_(std::move(handler))
        // One byte above the limit, so that a longer datagram is detected.
        , buffer_(MaxDatagramBytes + 1, '\0')
    {
    }

    auto start(const std::string &host, std::uint16_t port) -> std::uint16_t
    {
        const udp::endpoint endpoint(asio::ip::make_address(host), port);
        socket_.open(endpoint.protocol());
        socket_.bind(endpoint);
        socket_.non_blocking(true);
        const int on = 1;
        ::setsockopt(socket_.native_handle(), SOL_SOCKET, SO_TIMESTAMPNS, &on, sizeof(on));
        receive();
        return socket_.local_endpoint().port();
    }

    auto send(const SendDatagram &command) -> void
    {
        const auto parts = parseHostPort(command.address_);
        if (!parts) {
            ++counters_.notSent_;
            return;
        }
        std::error_code error;
        const auto address = asio::ip::make_address(parts->host_, error);
        if (!error) {
            sendTo(udp::endpoint(address, parts->port_), command);
        } else if (const auto known = resolved_.find(command.address_);
                   known != resolved_.end() && std::chrono::steady_clock::now() - known->second.at_ < ResolvedNameLifetime) {
            sendTo(known->second.endpoint_, command);
        } else {
            resolve(*parts, command);
        }
    }

    auto close() -> void
    {
        closed_ = true;
        std::error_code ignored;
        socket_.close(ignored);
        resolver_.cancel();
    }

    DatagramCounters counters_;

    [[nodiscard]] auto drops() const -> const DropCounters &
    {
        return codec_.drops();
    }

private:
    struct ResolvedName {
        udp::endpoint endpoint_;
        SteadyTime at_;
    };

    auto sendTo(const udp::endpoint &endpoint, const SendDatagram &command) -> void
    {
        const auto bytes = codec_.seal(command.recipient_, command.message_);
        std::error_code error;
        if (!bytes.empty()) {
            socket_.send_to(asio::buffer(bytes), endpoint, 0, error);
        }
        if (bytes.empty() || error) {
            ++counters_.notSent_;
            return;
        }
        ++counters_.sent_;
        counters_.sentBytes_ += bytes.size();
    }

    auto resolve(const HostPort &parts, const SendDatagram &command) -> void
    {
        resolver_.async_resolve(
            parts.host_, std::to_string(parts.port_), [self = shared_from_this(), command](std::error_code error, const udp::resolver::results_type &results) {
                if (error || results.empty() || self->closed_) {
                    ++self->counters_.notSent_;
                    return;
                }
                if (self->resolved_.size() >= MaxResolvedNames) {
                    self->resolved_.clear();
                }
                self->resolved_[command.address_] = {results.begin()->endpoint(), std::chrono::steady_clock::now()};
                self->sendTo(results.begin()->endpoint(), command);
            });
    }

    auto receive() -> void
    {
        socket_.async_wait(udp::socket::wait_read, [self = shared_from_this()](std::error_code error) {
            if (error || self->closed_) {
                return;
            }
            self->readAll();
            if (!self->closed_) {
                self->receive();
            }
        });
    }

    auto readAll() -> void
    {
        for (auto i = 0; i < MaxDatagramsPerWakeup && !closed_; ++i) {
            RawDatagram datagram;
            if (!readDatagram(socket_.native_handle(), buffer_, datagram)) {
                return;
            }
            ++counters_.received_;
            counters_.receivedBytes_ += datagram.size_;
            auto opened = codec_.open(std::string_view(buffer_).substr(0, datagram.size_), std::chrono::steady_clock::now());
            if (auto *message = std::get_if<OpenedMessage>(&opened)) {
                handler_({std::move(message->sender_), message->incarnation_, toText(datagram.from_), std::move(message->message_), datagram.queued_});
            }
        }
    }

    udp::socket socket_;
    udp::resolver resolver_;
    EnvelopeCodec codec_;
    Handler handler_;
    std::string buffer_;
    bool closed_ = false;
    std::map<std::string, ResolvedName> resolved_;
};

UdpTransport::UdpTransport(asio::io_context &context, PeerIdentity self, const KeyRing &keys, Handler handler)
    : impl_(std::make_shared<Impl>(context, std::move(self), keys, std::move(handler)))
{
}

UdpTransport::~UdpTransport()
{
    impl_->close();
}

auto UdpTransport::start(const std::string &host, std::uint16_t port) -> std::uint16_t
{
    return impl_->start(host, port);
}

auto UdpTransport::send(const SendDatagram &command) -> void
{
    impl_->send(command);
}

auto UdpTransport::close() -> void
{
    impl_->close();
}

auto UdpTransport::counters() const -> const DatagramCounters &
{
    return impl_->counters_;
}

auto UdpTransport::drops() const -> const DropCounters &
{
    return impl_->drops();
}
} // namespace Marjoramfold
