#include "marjoramfold/membership/membershiploop.h"

#include <asio/steady_timer.hpp>

#include <cassert>
#include <optional>

namespace Marjoramfold
{
namespace
{
constexpr std::chrono::milliseconds TickInterval{100};
} // namespace

/// Owns the state machine, its socket and its timer.
class MembershipLoop::Impl : public std::enable_shared_from_this<Impl>
{
public:
    Impl(asio::io_context &context, const KeyRing &keys, Hooks hooks)
        : context_(context)
        , keys_(keys)
        , hooks_(std::move(hooks))
        , timer_(context)
    {
    }

    auto start(MembershipOptions options, const std::string &bindHost, std::uint16_t port) -> std::uint16_t
    {
        assert(!transport_);
        transport_.emplace(context_, PeerIdentity{options.self_, options.incarnation_}, keys_, [weak = weak_from_this()](PeerDatagram datagram) {
            if (const auto self = weak.lock()) {
                self->handle(std::move(datagram));
            }
        });
        const auto bound = transport_->start(bindHost, port);
        if (options.address_.empty()) {
            options.address_ = (bindHost.find(':') == std::string::npos ? bindHost : "[" + bindHost + "]") + ":" + std::to_string(bound);
        }
        membership_.emplace(std::move(options));
        tick();
        return bound;
    }

    auto handle(const MembershipEvent &event) -> void
    {
        if (closed_ || !membership_) {
            return;
        }
        for (const auto &command : membership_->handle(event, std::chrono::steady_clock::now())) {
            execute(command);
        }
    }

    auto leave() -> void
    {
        handle(LeaveNow());
        close();
    }

    auto close() -> void
    {
        closed_ = true;
        timer_.cancel();
        if (transport_) {
            transport_->close();
        }
    }

    std::optional<UdpTransport> transport_;
    std::optional<Membership> membership_;

private:
    auto tick() -> void
    {
        handle(MembershipTick());
        timer_.expires_after(TickInterval);
        timer_.async_wait([self = shared_from_this()](std::error_code error) {
            if (!error && !self->closed_) {
                self->tick();
            }
        });
    }

    auto execute(const MembershipCommand &command) -> void
    {
        if (const auto *datagram = std::get_if<SendDatagram>(&command)) {
            transport_->send(*datagram);
        } else if (const auto *change = std::get_if<MemberChanged>(&command); change != nullptr && hooks_.memberChanged_) {
            hooks_.memberChanged_(*change);
        } else if (const auto *pause = std::get_if<PauseDetected>(&command); pause != nullptr && hooks_.pauseDetected_) {
            hooks_.pauseDetected_(*pause);
        }
    }

    asio::io_context &context_;
    const KeyRing &keys_;
    Hooks hooks_;
    asio::steady_timer timer_;
    bool closed_ = false;
};

MembershipLoop::MembershipLoop(asio::io_context &context, const KeyRing &keys, Hooks hooks)
    : impl_(std::make_shared<Impl>(context, keys, std::move(hooks)))
{
}

MembershipLoop::~MembershipLoop()
{
    impl_->close();
}

auto MembershipLoop::start(MembershipOptions options, const std::string &bindHost, std::uint16_t port) -> std::uint16_t
{
    return impl_->start(std::move(options), bindHost, port);
}

auto MembershipLoop::post(const MembershipEvent &event) -> void
{
    impl_->handle(event);
}

auto MembershipLoop::leave() -> void
{
    impl_->leave();
}

auto MembershipLoop::view() const -> const MembershipView &
{
    assert(impl_->membership_);
    return impl_->membership_->view();
}

auto MembershipLoop::transport() const -> const UdpTransport &
{
    assert(impl_->transport_);
    return *impl_->transport_;
}
} // namespace Marjoramfold
