#include "udproute.h"

#include <asio/buffer.hpp>
#include <asio/steady_timer.hpp>

#include <functional>
#include <string>

namespace Marjoramfold
{
UdpRoute::UdpRoute(asio::io_context &context, RouteOptions options, std::uint64_t seed)
    : context_(context)
    , options_(std::move(options))
    , socket_(context, {asio::ip::make_address(options_.listenAddress_), options_.listenPort_})
    , server_(asio::ip::make_address(options_.serverAddress_), options_.serverPort_)
    , random_(seed)
{
    receiveFromClients();
}

auto UdpRoute::port() const -> std::uint16_t
{
    return socket_.local_endpoint().port();
}

auto UdpRoute::setFaults(const RouteFaults &faults) -> void
{
    faults_ = faults;
}

auto UdpRoute::clients() const -> std::size_t
{
    return peers_.size();
}

auto UdpRoute::receiveFromClients() -> void
{
    socket_.async_receive_from(asio::buffer(buffer_), sender_, [this](const std::error_code &error, std::size_t size) {
        if (error == asio::error::operation_aborted) {
            return;
        }
        if (!error) {
            const auto peer = peerOf(sender_);
            forward(faults_.cutToServer_, std::string(buffer_.data(), size), [this, peer](const std::string &datagram) {
                std::error_code ignored;
                peer->socket_.send_to(asio::buffer(datagram), server_, 0, ignored);
            });
        }
        receiveFromClients();
    });
}

auto UdpRoute::peerOf(const Endpoint &client) -> std::shared_ptr<Peer>
{
    auto &peer = peers_[client];
    if (!peer) {
        peer = std::make_shared<Peer>(context_);
        peer->socket_.open(server_.protocol());
        peer->socket_.bind({asio::ip::make_address(options_.listenAddress_), 0});
        receiveFromServer(peer, client);
    }
    return peer;
}

auto UdpRoute::receiveFromServer(const std::shared_ptr<Peer> &peer, const Endpoint &client) -> void
{
    peer->socket_.async_receive_from(asio::buffer(peer->buffer_), peer->from_, [this, peer, client](const std::error_code &error, std::size_t size) {
        if (error == asio::error::operation_aborted) {
            return;
        }
        if (!error) {
            forward(faults_.cutToClient_, std::string(peer->buffer_.data(), size), [this, client](const std::string &datagram) {
                std::error_code ignored;
                socket_.send_to(asio::buffer(datagram), client, 0, ignored);
            });
        }
        receiveFromServer(peer, client);
    });
}

auto UdpRoute::forward(bool isCut, std::string datagram, std::function<void(const std::string &)> send) -> void
{
    if (isCut || chance(faults_.drop_, random_)) {
        return;
    }
    if (faults_.delay_.count() == 0) {
        send(datagram);
        return;
    }
    auto timer = std::make_shared<asio::steady_timer>(context_, faults_.delay_);
    timer->async_wait([timer, datagram = std::move(datagram), send = std::move(send)](const std::error_code &error) {
        if (!error) {
            send(datagram);
        }
    });
}
} // namespace Marjoramfold
