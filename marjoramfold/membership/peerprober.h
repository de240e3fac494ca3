#pragma once

#include "marjoramfold/membership/membershipstate.h"

#include <cstdint>
#include <map>
#include <random>

namespace Marjoramfold
{
/// Probes suspected peers directly and through relays, and relays probes of other instances.
class PeerProber
{
public:
    explicit PeerProber(MembershipState &state);

    /// Pings a peer that timed out, and asks relays to ping it too.
    auto probe(const InstanceId &peer) -> void;

    /// Pings a target on behalf of another instance.
    auto relayProbe(const ProbeRequest &request, const InstanceId &requester, const std::string &requesterAddress, SteadyTime now) -> void;

    /// Processes a reply to a ping, and reports it to the instance that requested a relayed probe.
    auto handlePingAck(const PingAck &ack, const InstanceId &target, Incarnation incarnation) -> void;

    /// Drops relayed probes that were not answered in time.
    auto expire(SteadyTime now) -> void;

private:
    /// A ping that was sent on behalf of another instance.
    struct RelayedProbe {
        InstanceId requester_;
        std::string requesterAddress_;
        InstanceId target_;
        SteadyTime expires_;
    };

    [[nodiscard]] auto chooseProbeRelays(const InstanceId &suspect) -> std::vector<InstanceId>;

    MembershipState &state_;
    std::minstd_rand random_;
    std::uint32_t nextNonce_ = 1;
    std::map<std::uint32_t, RelayedProbe> pending_;
};
} // namespace Marjoramfold
