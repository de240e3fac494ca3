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
/// What the peer controller needs from its instance.
struct PeerControllerHooks {
    /// This instance's state for the others.
    std::function<NodeState()> localState_;
    /// The rule set in force; null before there is one.
    std::function<RuleSetPointer()> rules_;
    /// A peer has a newer rule set.
    std::function<void(Offset version, const std::string &text)> adoptRules_;
    /// A request with an issued key of this instance arrived from a peer.
    std::function<void(ForwardRequest request, std::function<void(Result<ForwardReply>)> done)> handleForward_;
    /// A peer knows targets that leave.
    std::function<void(const std::vector<TargetId> &targets)> onTargetsLeaving_;
};

/// Runs membership and the peer protocol of an instance. Control thread only.
class PeerController
{
public:
    PeerController(asio::io_context &context, const EntrySettings &settings, Incarnation incarnation, PeerControllerHooks hooks);

    /// Binds the peer port. Throws std::system_error when it is taken.
    auto start() -> void;

    /// Sends heartbeats and digests that are due, and fetches newer rules from a peer.
    auto tick(SteadyTime now) -> void;

    /// Adds contacts from the platform's instance list.
    auto setListedInstances(std::vector<ListedInstance> instances, SteadyTime now) -> void;

    /// Tells the others that this instance drains, and later that it stops.
    auto announceDrain(SteadyTime now) -> void;
    auto announceLeave(SteadyTime now) -> void;

    /// Tells all live peers about targets that leave.
    auto broadcastLeavingTargets(const std::vector<TargetId> &targets) -> void;

    /// Sends a request with an issued key to the run of an instance that issued it.
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
    /// Addresses of the settings. They win over what an instance says of itself, since the way to it may lead over a forwarder.
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
