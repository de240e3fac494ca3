#pragma once

#include "marjoramfold/core/result.h"
#include "marjoramfold/entry/entrysettings.h"
#include "marjoramfold/membership/keyring.h"
#include "marjoramfold/membership/membership.h"
#include "marjoramfold/membership/membershipview.h"
#include "marjoramfold/membership/peerclient.h"
#include "marjoramfold/membership/peerserver.h"
#include "marjoramfold/membership/udptransport.h"
#include "marjoramfold/rules/ruleset.h"

#include <asio/io_context.hpp>

#include <functional>
#include <map>
#include <string>

namespace Marjoramfold
{
/// Callbacks of the peer controller.
struct PeerControllerHooks {
    /// State of this instance that is sent to the peers.
    std::function<NodeState()> localState_;
    /// The rule set in force; null before there is one.
    std::function<RuleSetPointer()> rules_;
    /// A peer has a newer rule set.
    std::function<void(Offset version, const std::string &text)> adoptRules_;
    /// A peer forwarded a call to this instance.
    std::function<void(ForwardRequest request, std::function<void(Result<ForwardReply>)> done)> handleForward_;
    /// A peer reported leaving targets.
    std::function<void(const std::vector<TargetId> &targets)> onTargetsLeaving_;
};

/// Runs the membership and the peer protocol of an instance. Control thread only.
class PeerController
{
public:
    PeerController(asio::io_context &context, const EntrySettings &settings, Incarnation incarnation, PeerControllerHooks hooks);

    /// Binds the peer port. Throws std::system_error when it is in use.
    auto start() -> void;

    /// Sends heartbeats and digests that are due, and fetches newer rules from a peer.
    auto tick(SteadyTime now) -> void;

    /// Passes the entry instances of the platform's instance list to membership.
    auto setListedInstances(std::vector<ListedInstance> instances, SteadyTime now) -> void;

    /// Announces to the peers that this instance drains, and later that it stops.
    auto announceDrain(SteadyTime now) -> void;
    auto announceLeave(SteadyTime now) -> void;

    /// Sends leaving targets to all live peers.
    auto broadcastLeavingTargets(const std::vector<TargetId> &targets) -> void;

    /// Forwards a call to an incarnation of an instance; fails when that incarnation is not live.
    auto forward(const InstanceId &instance,
                 Incarnation incarnation,
                 std::string key,
                 std::string body,
                 std::chrono::milliseconds timeout,
                 std::function<void(Result<ForwardReply>)> done) -> void;

    [[nodiscard]] auto view() const -> const MembershipView &;
    [[nodiscard]] auto datagrams() const -> const DatagramCounters &;
    [[nodiscard]] auto droppedDatagrams() const -> const DropCounters &;

private:
    auto handle(const MembershipEvent &event, SteadyTime now) -> void;
    auto fetchNewerRules(SteadyTime now) -> void;
    [[nodiscard]] auto makeHandlers() -> PeerHandlers;
    [[nodiscard]] auto contactAddress(const InstanceId &id, const std::string &address) const -> std::string;

    std::string listenAddress_;
    std::uint16_t peerPort_;
    /// Peer addresses of the settings. They override advertised ones, since a peer may be reachable only via a forwarder.
    std::map<InstanceId, std::string> configuredAddresses_;
    PeerControllerHooks hooks_;
    KeyRing keys_;
    Membership membership_;
    UdpTransport transport_;
    PeerServer server_;
    PeerClient client_;
    bool fetchingRules_ = false;
    SteadyTime nextRulesFetch_{};
};
} // namespace Marjoramfold
