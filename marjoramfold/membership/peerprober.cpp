#include "marjoramfold/membership/peerprober.h"

#include <algorithm>

namespace Marjoramfold
{
namespace
{
/// Most pings for others that wait for an answer; bounds memory when many peers fail at once.
constexpr std::size_t MaxPendingHelp = 256;

/// A later answer is of no use, since the asker has decided by then.
constexpr std::chrono::milliseconds HelpTimeout{1'000};
} // namespace

PeerProber::PeerProber(MembershipState &state)
    : state_(state)
    , random_(state.options_.randomSeed_ + 1)
{
}

auto PeerProber::chooseHelpers(const InstanceId &suspect) -> std::vector<InstanceId>
{
    // Helpers come from the own and from other zones in turn, so that a split inside a zone is seen through from outside.
    std::vector<InstanceId> own;
    std::vector<InstanceId> others;
    for (const auto &peer : state_.view_.livePeers()) {
        if (peer.id_ != suspect && !peer.suspected_) {
            (peer.zone_ == state_.options_.zone_ ? own : others).push_back(peer.id_);
        }
    }
    std::shuffle(own.begin(), own.end(), random_);
    std::shuffle(others.begin(), others.end(), random_);
    std::vector<InstanceId> helpers;
    while (helpers.size() < state_.options_.helpers_ && !(own.empty() && others.empty())) {
        auto &source = own.empty() || (!others.empty() && others.size() > own.size() && helpers.size() % 2 == 1) ? others : own;
        helpers.push_back(source.back());
        source.pop_back();
    }
    return helpers;
}

auto PeerProber::probe(const InstanceId &peer) -> void
{
    const auto *member = state_.table_.find(peer);
    if (member == nullptr) {
        return;
    }
    state_.send(peer, Ping{nextNonce_++});
    for (const auto &helper : chooseHelpers(peer)) {
        state_.send(helper, ProbeRequest{peer, member->entry_.address_});
    }
}

auto PeerProber::help(const ProbeRequest &request, const InstanceId &asker, const std::string &askerAddress, SteadyTime now) -> void
{
    if (request.target_.isEmpty() || request.target_ == state_.options_.self_ || pending_.size() >= MaxPendingHelp) {
        return;
    }
    pending_[nextNonce_] = {asker, askerAddress, request.target_, now + HelpTimeout};
    state_.sendTo(request.target_, request.address_, Ping{nextNonce_});
    ++nextNonce_;
}

auto PeerProber::acknowledged(const PingAck &ack, const InstanceId &target, Incarnation incarnation) -> void
{
    const auto found = pending_.find(ack.nonce_);
    if (found == pending_.end() || found->second.target_ != target) {
        return;
    }
    state_.sendTo(found->second.asker_, found->second.askerAddress_, ProbeAnswer{target, incarnation});
    pending_.erase(found);
}

auto PeerProber::expire(SteadyTime now) -> void
{
    std::erase_if(pending_, [now](const auto &item) {
        return now >= item.second.expires_;
    });
}
} // namespace Marjoramfold
