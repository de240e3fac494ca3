#include "marjoramfold/membership/membership.h"

#include "marjoramfold/membership/digestexchange.h"
#include "marjoramfold/membership/membershipstate.h"
#include "marjoramfold/membership/memberupdates.h"
#include "marjoramfold/membership/peerprober.h"

#include <algorithm>

namespace Marjoramfold
{
namespace
{
/// Addresses that are contacted at once while no live peer is known.
constexpr std::size_t InitialContactCount = 3;

/// Interval of contact attempts while no live peer is known.
constexpr std::chrono::milliseconds InitialContactInterval{500};

constexpr std::chrono::seconds PurgeInterval{10};

/// A member reports at every heartbeat while its confirmation is fresher than its zone's by more than this.
constexpr std::chrono::milliseconds ReportFreshnessMargin{1'000};

/// Periodic timer that is polled.
class IntervalTimer
{
public:
    /// True when the interval has passed since it last fired. Missed firings are skipped.
    auto fires(SteadyTime now, SteadyTime::duration interval) -> bool
    {
        if (started_ && now < next_) {
            return false;
        }
        next_ = started_ && now - next_ < interval ? next_ + interval : now + interval;
        started_ = true;
        return true;
    }

private:
    SteadyTime next_;
    bool started_ = false;
};
} // namespace

/// The state machine: dispatches events to its components and schedules the periodic messages.
class Membership::Impl
{
public:
    explicit Impl(MembershipOptions options)
        : state_(std::move(options))
        , updates_(state_)
        , digests_(state_)
        , prober_(state_)
    {
    }

    auto handle(const MembershipEvent &event, SteadyTime now) -> std::vector<MembershipCommand>
    {
        state_.commands_.clear();
        detectPause(now);
        state_.self_.now_ = now;
        if (!hasLeft_) {
            std::visit(
                [this, now](const auto &specific) {
                    on(specific, now);
                },
                event);
            updates_.flush();
            state_.detector_.monitor(state_.table_.predecessors(), now);
            reportToNewDelegate(now);
        }
        return std::move(state_.commands_);
    }

    [[nodiscard]] auto view() const -> const MembershipView &
    {
        return state_.view_;
    }

private:
    auto detectPause(SteadyTime now) -> void
    {
        if (lastCall_ && now - *lastCall_ > state_.options_.pauseThreshold_) {
            state_.detector_.restart(now);
            state_.commands_.emplace_back(PauseDetected{std::chrono::floor<std::chrono::milliseconds>(now - *lastCall_)});
        }
        lastCall_ = now;
    }

    auto on(const LocalStateChanged &change, SteadyTime now) -> void
    {
        auto &self = state_.self_;
        const auto isChanged = self.state_.ruleVersion_ != change.state_.ruleVersion_ || self.state_.logReadable_ != change.state_.logReadable_;
        self.state_ = change.state_;
        self.stateSetAt_ = now;
        if (isChanged) {
            report(now);
        }
    }

    auto on(const InstanceListRead &list, SteadyTime /*now*/) -> void
    {
        listedAddresses_.clear();
        for (const auto &instance : list.instances_) {
            if (instance.id_ != state_.options_.self_) {
                listedAddresses_.push_back(instance.address_);
            }
        }
    }

    auto on(const DrainStarted & /*event*/, SteadyTime /*now*/) -> void
    {
        if (state_.self_.entry_.status_ == MemberStatus::Alive) {
            state_.self_.entry_.status_ = MemberStatus::Leaving;
            updates_.announceSelf();
        }
    }

    auto on(const LeaveNow & /*event*/, SteadyTime /*now*/) -> void
    {
        state_.self_.entry_.status_ = MemberStatus::Left;
        // Sent directly to every live peer, since this instance cannot answer sync requests after it stopped.
        for (const auto *peer : state_.table_.allLivePeers()) {
            state_.send(peer->entry_.id_, MemberUpdate{{state_.self_.entry_}});
        }
        hasLeft_ = true;
    }

    auto on(const MembershipTick & /*tick*/, SteadyTime now) -> void
    {
        const auto &options = state_.options_;
        for (const auto &action : state_.detector_.check(now)) {
            if (action.kind_ == FailureDetectorAction::Kind::Probe) {
                prober_.probe(action.peer_);
            } else {
                updates_.confirmDead(action.peer_, now);
            }
        }
        if (heartbeatTimer_.fires(now, options.heartbeatInterval_)) {
            sendHeartbeats(now);
        }
        if (digestTimer_.fires(now, options.digestInterval_) && !options.fullMesh_) {
            digests_.run(now);
            repairMembers(now);
        }
        if (antiEntropyTimer_.fires(now, options.antiEntropyInterval_)) {
            updates_.sendAntiEntropy(now);
        }
        const auto hasNoLivePeers = state_.view_.livePeers().empty();
        if (contactTimer_.fires(now, hasNoLivePeers ? InitialContactInterval : options.contactInterval_)) {
            sendSyncRequests(hasNoLivePeers ? InitialContactCount : 1);
        }
        if (purgeTimer_.fires(now, PurgeInterval)) {
            state_.table_.purge(now);
        }
        state_.zoneTable_.recordZones(state_.table_.zones(), now);
        prober_.expire(now);
    }

    auto on(const PeerDatagram &datagram, SteadyTime now) -> void
    {
        // These messages are also processed when the sender is not a known member.
        if (const auto *sync = std::get_if<SyncRequest>(&datagram.message_)) {
            onSyncRequest(*sync, datagram, now);
            return;
        }
        if (const auto *update = std::get_if<MemberUpdate>(&datagram.message_)) {
            updates_.receive(*update, datagram.sender_, now);
            recordSenderContact(datagram, now);
            return;
        }
        if (const auto *ping = std::get_if<Ping>(&datagram.message_)) {
            state_.sendTo(datagram.sender_, datagram.fromAddress_, PingAck{ping->nonce_});
        }
        if (const auto *ack = std::get_if<PingAck>(&datagram.message_)) {
            prober_.handlePingAck(*ack, datagram.sender_, datagram.incarnation_);
        }
        if (!isFromLiveMember(datagram, now)) {
            return;
        }
        recordSenderContact(datagram, now);
        const auto receivedAt = now - datagram.queued_;
        if (const auto *heartbeat = std::get_if<Heartbeat>(&datagram.message_)) {
            if (heartbeat->state_) {
                state_.table_.storeReport(datagram.sender_, *heartbeat->state_, receivedAt);
            }
        } else if (const auto *digest = std::get_if<DigestMessage>(&datagram.message_)) {
            onDigest(*digest, datagram, receivedAt, now);
        } else if (const auto *gossip = std::get_if<ZoneGossip>(&datagram.message_)) {
            digests_.receive(*gossip, receivedAt, now);
        } else if (const auto *request = std::get_if<ProbeRequest>(&datagram.message_)) {
            prober_.relayProbe(*request, datagram.sender_, datagram.fromAddress_, now);
        } else if (const auto *answer = std::get_if<ProbeAnswer>(&datagram.message_)) {
            onProbeAnswer(*answer, receivedAt);
        }
    }

    /// Reconciles differing views of a zone in both directions, since either side may have missed changes.
    auto repairMembers(SteadyTime now) -> void
    {
        for (const auto &difference : digests_.findDifferences(now)) {
            state_.send(difference.peer_, SyncRequest{state_.self_.entry_});
            updates_.sendZone(difference.zone_, difference.peer_, now);
        }
    }

    auto onSyncRequest(const SyncRequest &sync, const PeerDatagram &datagram, SteadyTime now) -> void
    {
        if (sync.self_.id_ != datagram.sender_ || sync.self_.incarnation_ != datagram.incarnation_) {
            return;
        }
        updates_.apply(sync.self_, {}, now);
        updates_.sendTable(datagram.sender_, sync.self_.address_, now);
    }

    auto onDigest(const DigestMessage &message, const PeerDatagram &datagram, SteadyTime receivedAt, SteadyTime now) -> void
    {
        digests_.receive(message, datagram.sender_, datagram.incarnation_, receivedAt, now);
        // The sender considers this instance the delegate: send it the table, which has the members that it does not know.
        if (!state_.view_.isDelegate()) {
            updates_.sendTable(datagram.sender_, datagram.fromAddress_, now);
        }
    }

    auto onProbeAnswer(const ProbeAnswer &answer, SteadyTime receivedAt) -> void
    {
        const auto *member = state_.table_.find(answer.target_);
        if (member != nullptr && member->entry_.incarnation_ == answer.incarnation_) {
            state_.detector_.recordContact(answer.target_, receivedAt);
        }
    }

    /// True when the sender is a live member with the known incarnation. Otherwise sends what is needed to reconcile the two views.
    auto isFromLiveMember(const PeerDatagram &datagram, SteadyTime now) -> bool
    {
        const auto *member = state_.table_.find(datagram.sender_);
        if (member == nullptr || member->entry_.incarnation_ < datagram.incarnation_) {
            state_.sendTo(datagram.sender_, datagram.fromAddress_, SyncRequest{state_.self_.entry_});
            return false;
        }
        if (member->entry_.incarnation_ > datagram.incarnation_) {
            return false;
        }
        if (const auto *heartbeat = std::get_if<Heartbeat>(&datagram.message_)) {
            auto entry = member->entry_;
            entry.refutation_ = heartbeat->refutation_;
            entry.status_ = heartbeat->status_;
            updates_.apply(entry, state_.options_.zone_, now);
        }
        if (!isLive(member->entry_)) {
            // The sender is alive but recorded as dead: send it that entry, so that it refutes it.
            if (auto entry = state_.table_.exported(*member, now)) {
                state_.sendTo(datagram.sender_, datagram.fromAddress_, MemberUpdate{{std::move(*entry)}});
            }
            return false;
        }
        return true;
    }

    auto recordSenderContact(const PeerDatagram &datagram, SteadyTime now) -> void
    {
        const auto *member = state_.table_.find(datagram.sender_);
        if (member != nullptr && member->entry_.incarnation_ == datagram.incarnation_) {
            state_.detector_.recordContact(datagram.sender_, now - datagram.queued_);
        }
    }

    auto heartbeat(std::optional<NodeState> state) const -> Heartbeat
    {
        return {state_.self_.entry_.refutation_, state_.self_.entry_.status_, std::move(state)};
    }

    auto sendHeartbeats(SteadyTime now) -> void
    {
        const auto successors = state_.table_.successors();
        const auto delegate = state_.table_.delegateOf(state_.options_.zone_);
        const auto isReportDue = now - lastReport_ >= state_.options_.reportInterval_ || isFresherThanZone(now);
        for (const auto &peer : successors) {
            if (peer != delegate || !isReportDue) {
                state_.send(peer, heartbeat(std::nullopt));
            }
        }
        if (isReportDue) {
            report(now);
        }
    }

    /// Sends this instance's state to the delegate of its zone.
    auto report(SteadyTime now) -> void
    {
        const auto delegate = state_.table_.delegateOf(state_.options_.zone_);
        if (delegate != state_.options_.self_) {
            state_.send(delegate, heartbeat(state_.view_.localState(now)));
        }
        lastReport_ = now;
    }

    auto reportToNewDelegate(SteadyTime now) -> void
    {
        if (auto delegate = state_.table_.delegateOf(state_.options_.zone_); delegate != delegate_) {
            delegate_ = std::move(delegate);
            report(now);
        }
    }

    /// True when this instance's confirmation is much fresher than the one that its zone relays.
    auto isFresherThanZone(SteadyTime now) const -> bool
    {
        const auto own = state_.view_.localState(now).confirmationAge_;
        const auto *known = state_.zoneTable_.find(state_.options_.zone_);
        if (!own || known == nullptr) {
            return own.has_value();
        }
        const auto &stated = known->digest_.confirmationAge_;
        return !stated || *own + ReportFreshnessMargin < *stated + (now - known->madeAt_);
    }

    /// Sends sync requests to addresses without a known live member, so that partitions heal.
    auto sendSyncRequests(std::size_t count) -> void
    {
        auto addresses = state_.options_.seeds_;
        addresses.insert(addresses.end(), listedAddresses_.begin(), listedAddresses_.end());
        for (const auto &[id, member] : state_.table_.members()) {
            if (member.entry_.status_ == MemberStatus::Dead || state_.view_.isUnreachable(member.entry_.zone_)) {
                addresses.push_back(member.entry_.address_);
            }
        }
        std::sort(addresses.begin(), addresses.end());
        addresses.erase(std::unique(addresses.begin(), addresses.end()), addresses.end());
        std::erase(addresses, state_.options_.address_);
        for (const auto &peer : state_.view_.livePeers()) {
            std::erase(addresses, peer.address_);
        }
        for (std::size_t i = 0; i < std::min(count, addresses.size()); ++i) {
            state_.sendTo({}, addresses[contactCursor_++ % addresses.size()], SyncRequest{state_.self_.entry_});
        }
    }

    MembershipState state_;
    MemberUpdates updates_;
    DigestExchange digests_;
    PeerProber prober_;
    std::optional<SteadyTime> lastCall_;
    IntervalTimer heartbeatTimer_;
    IntervalTimer digestTimer_;
    IntervalTimer antiEntropyTimer_;
    IntervalTimer contactTimer_;
    IntervalTimer purgeTimer_;
    SteadyTime lastReport_;
    InstanceId delegate_;
    std::vector<std::string> listedAddresses_;
    std::size_t contactCursor_ = 0;
    bool hasLeft_ = false;
};

Membership::Membership(MembershipOptions options)
    : impl_(std::make_unique<Impl>(std::move(options)))
{
}

Membership::~Membership() = default;
Membership::Membership(Membership &&) noexcept = default;
auto Membership::operator=(Membership &&) noexcept -> Membership & = default;

auto Membership::handle(const MembershipEvent &event, SteadyTime now) -> std::vector<MembershipCommand>
{
    return impl_->handle(event, now);
}

auto Membership::view() const -> const MembershipView &
{
    return impl_->view();
}
} // namespace Marjoramfold
