#pragma once

#include "marjoramfold/core/clock.h"
#include "marjoramfold/membership/membershipoptions.h"

#include <map>
#include <vector>

namespace Marjoramfold
{
/// Action that a failure detector requests for a peer that timed out.
struct FailureDetectorAction {
    enum class Kind {
        Probe,
        ConfirmDead,
    };

    Kind kind_ = Kind::Probe;
    InstanceId peer_;
};

/// Measures the time since the last contact with each monitored peer. Does no I/O: the caller performs the returned actions.
class FailureDetector
{
public:
    explicit FailureDetector(const MembershipOptions &options);

    /// Sets the monitored peers. The timeouts of a new peer start now.
    auto monitor(const std::vector<InstanceId> &peers, SteadyTime now) -> void;

    /// Records that a message of a peer arrived, which clears a suspicion.
    auto recordContact(const InstanceId &peer, SteadyTime now) -> void;

    /// Restarts all timeouts after a pause of this process, during which no message could be processed.
    auto restart(SteadyTime now) -> void;

    /// Peers that must be probed or declared dead now.
    [[nodiscard]] auto check(SteadyTime now) -> std::vector<FailureDetectorAction>;

    [[nodiscard]] auto isSuspected(const InstanceId &peer) const -> bool;

private:
    struct MonitoredPeer {
        SteadyTime lastContact_;
        SteadyTime nextProbe_;
        bool suspected_ = false;
    };

    auto reset(MonitoredPeer &monitored, SteadyTime now) const -> void;

    const MembershipOptions &options_;
    std::map<InstanceId, MonitoredPeer> monitoredPeers_;
};
} // namespace Marjoramfold
