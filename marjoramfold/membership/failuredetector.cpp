#include "marjoramfold/membership/failuredetector.h"

#include <algorithm>

namespace Marjoramfold
{
FailureDetector::FailureDetector(const MembershipOptions &options)
    : options_(options)
{
}

auto FailureDetector::reset(Watch &watch, SteadyTime now) const -> void
{
    watch = {now, now + options_.suspectAfter_, false};
}

auto FailureDetector::monitor(const std::vector<InstanceId> &peers, SteadyTime now) -> void
{
    std::erase_if(watches_, [&peers](const auto &item) {
        return std::find(peers.begin(), peers.end(), item.first) == peers.end();
    });
    for (const auto &peer : peers) {
        if (const auto [added, isNew] = watches_.try_emplace(peer); isNew) {
            reset(added->second, now);
        }
    }
}

auto FailureDetector::heard(const InstanceId &peer, SteadyTime now) -> void
{
    // A message that waited in a queue must not move the time back.
    if (const auto found = watches_.find(peer); found != watches_.end() && found->second.lastHeard_ < now) {
        reset(found->second, now);
    }
}

auto FailureDetector::restart(SteadyTime now) -> void
{
    for (auto &[peer, watch] : watches_) {
        reset(watch, now);
    }
}

auto FailureDetector::check(SteadyTime now) -> std::vector<SilenceAction>
{
    std::vector<SilenceAction> actions;
    for (auto &[peer, watch] : watches_) {
        if (now - watch.lastHeard_ >= options_.deadAfter_) {
            actions.push_back({SilenceAction::Kind::ConfirmDead, peer});
        } else if (now >= watch.nextProbe_) {
            watch.suspected_ = true;
            watch.nextProbe_ = now + options_.probeInterval_;
            actions.push_back({SilenceAction::Kind::Probe, peer});
        }
    }
    return actions;
}

auto FailureDetector::isSuspected(const InstanceId &peer) const -> bool
{
    const auto found = watches_.find(peer);
    return found != watches_.end() && found->second.suspected_;
}
} // namespace Marjoramfold
