#include "marjoramfold/membership/failuredetector.h"

#include <algorithm>

namespace Marjoramfold
{
FailureDetector::FailureDetector(const MembershipOptions &options)
    : options_(options)
{
}

auto FailureDetector::reset(MonitoredPeer &monitored, SteadyTime now) const -> void
{
    monitored = {now, now + options_.suspectAfter_, false};
}

auto FailureDetector::monitor(const std::vector<InstanceId> &peers, SteadyTime now) -> void
{
    std::erase_if(monitoredPeers_, [&peers](const auto &item) {
        return std::find(peers.begin(), peers.end(), item.first) == peers.end();
    });
    for (const auto &peer : peers) {
        if (const auto [added, isNew] = monitoredPeers_.try_emplace(peer); isNew) {
            reset(added->second, now);
        }
    }
}

auto FailureDetector::recordContact(const InstanceId &peer, SteadyTime now) -> void
{
    // A message that was queued must not set the last contact to an earlier time.
    if (const auto found = monitoredPeers_.find(peer); found != monitoredPeers_.end() && found->second.lastContact_ < now) {
        reset(found->second, now);
    }
}

auto FailureDetector::restart(SteadyTime now) -> void
{
    for (auto &[peer, monitored] : monitoredPeers_) {
        reset(monitored, now);
    }
}

auto FailureDetector::check(SteadyTime now) -> std::vector<FailureDetectorAction>
{
    std::vector<FailureDetectorAction> actions;
    for (auto &[peer, monitored] : monitoredPeers_) {
        if (now - monitored.lastContact_ >= options_.deadAfter_) {
            actions.push_back({FailureDetectorAction::Kind::ConfirmDead, peer});
        } else if (now >= monitored.nextProbe_) {
            monitored.suspected_ = true;
            monitored.nextProbe_ = now + options_.probeInterval_;
            actions.push_back({FailureDetectorAction::Kind::Probe, peer});
        }
    }
    return actions;
}

auto FailureDetector::isSuspected(const InstanceId &peer) const -> bool
{
    const auto found = monitoredPeers_.find(peer);
    return found != monitoredPeers_.end() && found->second.suspected_;
}
} // namespace Marjoramfold
