#pragma once

#include "marjoramfold/membership/membership.h"
#include "marjoramfold/membership/membershipview.h"
#include "marjoramfold/membership/udptransport.h"

#include <asio/io_context.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace Marjoramfold
{
/// Runs Membership over UDP on the caller's io_context, which exactly one thread must run.
class MembershipLoop
{
public:
    /// Callbacks for members that join, change or end, and for detected pauses of this process.
    struct Hooks {
        std::function<void(const MemberChanged &)> memberChanged_;
        std::function<void(const PauseDetected &)> pauseDetected_;
    };

    /// The key ring must outlive the loop.
    MembershipLoop(asio::io_context &context, const KeyRing &keys, Hooks hooks);
    ~MembershipLoop();
    MembershipLoop(const MembershipLoop &) = delete;
    auto operator=(const MembershipLoop &) -> MembershipLoop & = delete;

    /// Binds the UDP socket and starts. Port 0 selects a free port. An empty address in the options is set to the bound
    /// host and port. Throws std::system_error when the address cannot be bound. Returns the bound port.
    auto start(MembershipOptions options, const std::string &bindHost, std::uint16_t port) -> std::uint16_t;

    /// Handles an event of the caller: the local state, the instance list, or draining.
    auto post(const MembershipEvent &event) -> void;

    /// Announces to all live peers that this instance stops, and closes the socket.
    auto leave() -> void;

    /// Queries of the current state; valid after start().
    [[nodiscard]] auto view() const -> const MembershipView &;

    /// Counters of the socket; valid after start().
    [[nodiscard]] auto transport() const -> const UdpTransport &;

private:
    class Impl;
    std::shared_ptr<Impl> impl_;
};
} // namespace Marjoramfold
