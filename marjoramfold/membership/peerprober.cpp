#include "marjoramfold/membership/peerprober.h"

#include <algorithm>

namespace Marjoramfold
{
namespace
{
/// Most relayed probes that are waiting for a reply; bounds memory when many peers fail at once.
constexpr std::size_t MaxRelayedProbes = 256;

/// A later reply is useless, since the requester has confirmed or cleared the suspicion by then.
constexpr std::chrono::milliseconds RelayedProbeTimeout{1'000};
} // namespace

PeerProber::PeerProber(MembershipState &state)
    : state_(state)
    , random_(state.options_.randomSeed_ + 1)
{
}

auto PeerProber::chooseProbeRelays(const InstanceId &suspect) -> std::vector<InstanceId>
{
    // Every second relay comes from another zone if those have more candidates left, so that a partition inside a zone is bypassed
    // from outside.
    std::vector<InstanceId> own;
    std::vector<InstanceId> others;
    for (const auto &peer : state_.view_.livePeers()) {
        if (peer.id_ != suspect && !peer.suspected_) {
            (peer.zone_ == state_.options_.zone_ ? own : others).push_back(peer.id_);
        }
    }
    std::shuffle(own.begin(), own.end(), random_);
    std::shuffle(others.begin(), others.end(), random_);
    std::vector<InstanceId> relays;
    while (relays.size() < state_.options_.indirectProbes_ && !(own.empty() && others.empty())) {
        auto &source = own.empty() || (!others.empty() && others.size() > own.size() && relays.size() % 2 == 1) ? others : own;
        relays.push_back(source.back());
        source.pop_back();
    }
    return relays;
}

auto PeerProber::probe(const InstanceId &peer) -> void
{
    const auto *member = state_.table_.find(peer);
    if (member == nullptr) {
        return;
    }
    state_.send(peer, Ping{nextNonce_++});
    for (const auto &relay : chooseProbeRelays(peer)) {
        state_.send(relay, ProbeRequest{peer, member->entry_.address_});
    }
}

auto PeerProber::relayProbe(const ProbeRequest &request, const InstanceId &requester, const std::string &requesterAddress, SteadyTime now) -> void
{
    if (request.target_.isEmpty() || request.target_ == state_.options_.self_ || pending_.size() >= MaxRelayedProbes) {
        return;
    }
    pending_[nextNonce_] = {requester, requesterAddress, request.target_, now + RelayedProbeTimeout};
    state_.sendTo(request.target_, request.address_, Ping{nextNonce_});
    ++nextNonce_;
}

auto PeerProber::handlePingAck(const PingAck &ack, const InstanceId &target, Incarnation incarnation) -> void
{
    const auto found = pending_.find(ack.nonce_);
    if (found == pending_.end() || found->second.target_ != target) {
        return;
    }
    state_.sendTo(found->second.requester_, found->second.requesterAddress_, ProbeAnswer{target, incarnation});
    pending_.erase(found);
}

auto PeerProber::expire(SteadyTime now) -> void
{
    std::erase_if(pending_, [now](const auto &item) {
        return now >= item.second.expires_;
    });
}
} // namespace Marjoramfold
