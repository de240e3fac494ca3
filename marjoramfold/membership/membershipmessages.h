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
    /// HOST:PORT that the datagram came from.
    std::string fromAddress_;
    PeerMessage message_;
    /// Time that the datagram waited in the receive buffer of the socket, for example while this process was paused.
    std::chrono::milliseconds queued_{0};
};

/// The state of this instance, whenever it changes and after each confirmation of the rules.
struct LocalStateChanged {
    NodeState state_;
};

/// An instance of the platform's list.
struct ListedInstance {
    InstanceId id_;
    AvailabilityZoneId zone_;
    std::string address_;
};

/// The platform's list of instances, which lags behind; used only to find contacts.
struct InstanceListRead {
    std::vector<ListedInstance> instances_;
};

/// This instance drains: it stays a member, and the others see it as leaving.
struct DrainStarted {
};

/// This instance stops now.
struct LeaveNow {
};

/// Time passed; to be sent at least ten times a second.
struct MembershipTick {
};

using MembershipEvent = std::variant<PeerDatagram, LocalStateChanged, InstanceListRead, DrainStarted, LeaveNow, MembershipTick>;

/// Send a datagram.
struct SendDatagram {
    /// Empty when the instance at the address is not known.
    InstanceId recipient_;
    std::string address_;
    PeerMessage message_;
};

/// A member joined, changed or ended; for logs, metrics and reactions of the control thread.
struct MemberChanged {
    MemberEntry member_;
    /// Empty for a member that was not known.
    std::optional<MemberStatus> before_;
};

/// A gap between two events showed that this process was paused.
struct PauseDetected {
    std::chrono::milliseconds gap_{0};
};

using MembershipCommand = std::variant<SendDatagram, MemberChanged, PauseDetected>;
} // namespace Marjoramfold
