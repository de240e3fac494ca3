#pragma once

#include "marjoramfold/core/clock.h"
#include "marjoramfold/membership/peermessages.h"

#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace Marjoramfold
{
/// A datagram that passed all checks of the envelope.
struct PeerDatagram {
    InstanceId sender_;
    Incarnation incarnation_ = 0;
    /// HOST:PORT of the sending socket.
    std::string fromAddress_;
    PeerMessage message_;
    /// Time in the receive buffer of the socket, for example while this process was paused.
    std::chrono::milliseconds queued_{0};
};

/// State of this instance; posted on each change and after each confirmation of the rules.
struct LocalStateChanged {
    NodeState state_;
};

/// An instance of the platform's list.
struct ListedInstance {
    InstanceId id_;
    AvailabilityZoneId zone_;
    std::string address_;
};

/// The platform's list of instances; it may be stale, so it is only used to find addresses to contact.
struct InstanceListRead {
    std::vector<ListedInstance> instances_;
};

/// This instance drains: it remains a member with the status Leaving.
struct DrainStarted {
};

/// This instance stops now; later events have no effect.
struct LeaveNow {
};

/// Drives the timers; must be posted at least ten times a second.
struct MembershipTick {
};

using MembershipEvent = std::variant<PeerDatagram, LocalStateChanged, InstanceListRead, DrainStarted, LeaveNow, MembershipTick>;

/// Command to send a datagram.
struct SendDatagram {
    /// Empty when the instance at the address is unknown.
    InstanceId recipient_;
    std::string address_;
    PeerMessage message_;
};

/// Notifies the caller that a member joined, changed or ended.
struct MemberChanged {
    MemberEntry member_;
    /// Empty for a new member.
    std::optional<MemberStatus> before_;
};

/// Notifies the caller of a gap between two events that shows that this process was paused.
struct PauseDetected {
    std::chrono::milliseconds gap_{0};
};

using MembershipCommand = std::variant<SendDatagram, MemberChanged, PauseDetected>;
} // namespace Marjoramfold
