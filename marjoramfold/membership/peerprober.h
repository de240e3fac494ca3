#pragma once

#include "marjoramfold/membership/membershipstate.h"

#include <cstdint>
#include <map>
#include <random>

namespace Marjoramfold
{
/// Probes suspected peers, itself and through third instances, and helps others to do so.
class PeerProber
{
public:
    explicit PeerProber(MembershipState &state);

    /// Pings a silent peer and asks helpers to do so too.
    auto probe(const InstanceId &peer) -> void;

    /// Pings a target for another instance.
    auto help(const ProbeRequest &request, const InstanceId &asker, const std::string &askerAddress, SteadyTime now) -> void;

    /// Takes an answer to a ping; tells the instance that asked for it.
    auto acknowledged(const PingAck &ack, const InstanceId &target, Incarnation incarnation) -> void;

    /// Forgets requests that were not answered in time.
    auto expire(SteadyTime now) -> void;

private:
    /// A ping that is sent for another instance.
    struct PendingHelp {
        InstanceId asker_;
        std::string askerAddress_;
        InstanceId target_;
        SteadyTime expires_;
    };

    [[nodiscard]] auto chooseHelpers(const InstanceId &suspect) -> std::vector<InstanceId>;

    MembershipState &state_;
    std::minstd_rand random_;
    std::uint32_t nextNonce_ = 1;
    std::map<std::uint32_t, PendingHelp> pending_;
};
} // namespace Marjoramfold
