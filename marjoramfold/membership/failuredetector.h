#pragma once

#include "marjoramfold/core/clock.h"
#include "marjoramfold/membership/membershipoptions.h"

#include <map>
#include <vector>

namespace Marjoramfold
{
/// What a failure detector asks for about a silent peer.
struct SilenceAction {
    enum class Kind {
        Probe,
        ConfirmDead,
    };

    Kind kind_ = Kind::Probe;
    InstanceId peer_;
};

/// Times the silence of the peers that this instance monitors. Pure: a peer and a time in, actions out.
class FailureDetector
{
public:
    explicit FailureDetector(const MembershipOptions &options);

    /// Sets who is monitored. A new peer has the whole time from now.
    auto monitor(const std::vector<InstanceId> &peers, SteadyTime now) -> void;

    /// Notes a sign of life. It ends a suspicion.
    auto heard(const InstanceId &peer, SteadyTime now) -> void;

    /// Restarts all timeouts, after this process was paused.
    auto restart(SteadyTime now) -> void;

    /// Peers that must be probed or taken as dead now.
    [[nodiscard]] auto check(SteadyTime now) -> std::vector<SilenceAction>;

    /// True while a monitored peer is suspected.
    [[nodiscard]] auto isSuspected(const InstanceId &peer) const -> bool;

private:
    struct Watch {
        SteadyTime lastHeard_;
        SteadyTime nextProbe_;
        bool suspected_ = false;
    };

    auto reset(Watch &watch, SteadyTime now) const -> void;

    const MembershipOptions &options_;
    std::map<InstanceId, Watch> watches_;
};
} // namespace Marjoramfold
