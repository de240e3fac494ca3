#include "marjoramfold/entry/peercontroller.h"

#include <glog/logging.h>

#include <utility>

namespace Marjoramfold
{
namespace
{
constexpr std::chrono::milliseconds RulesFetchTimeout{2'000};
constexpr std::chrono::milliseconds RulesFetchDelay{200};
constexpr std::chrono::milliseconds TargetListTimeout{1'000};

auto makeKeyRing(const EntrySettings &settings) -> KeyRing
{
    KeyRing keys;
    for (const auto &key : settings.keys_) {
        keys.accept(static_cast<KeyId>(key.id_), key.secret_);
    }
    keys.signWith(static_cast<KeyId>(settings.signingKey_));
    return keys;
}

auto makeOptions(const EntrySettings &settings, Incarnation incarnation) -> MembershipOptions
{
    MembershipOptions options;
    options.self_ = settings.id_;
    options.incarnation_ = incarnation;
    options.zone_ = settings.zone_;
    options.address_ = settings.listenAddress_ + ":" + std::to_string(settings.peerPort_);
    for (const auto &peer : settings.peers_) {
        options.seeds_.push_back(peer.address_);
    }
    // Seeds differ between instances, so that they do not pick the same peers.
    options.randomSeed_ = static_cast<std::uint32_t>(std::hash<InstanceId>()(settings.id_) ^ incarnation);
    return options;
}

auto nameOf(MemberStatus status) -> std::string_view
{
    switch (status) {
    case MemberStatus::Alive:
        return "alive";
    case MemberStatus::Leaving:
        return "leaving";
    case MemberStatus::Dead:
        return "dead";
    case MemberStatus::Left:
        return "left";
    }
    return "unknown";
}
} // namespace

PeerController::PeerController(asio::io_context &context, const EntrySettings &settings, Incarnation incarnation, PeerControllerHooks hooks)
    : listenAddress_(settings.listenAddress_)
    , peerPort_(settings.peerPort_)
    , hooks_(std::move(hooks))
    , keys_(makeKeyRing(settings))
    , membership_(makeOptions(settings, incarnation))
    , transport_(context,
                 {settings.id_, incarnation},
                 keys_,
                 [this](PeerDatagram datagram) {
                     handle(std::move(datagram), std::chrono::steady_clock::now());
                 })
    , server_(context, {settings.id_, incarnation}, keys_, makeHandlers())
    , client_(context, {settings.id_, incarnation}, keys_)
{
    for (const auto &peer : settings.peers_) {
        configuredAddresses_[peer.id_] = peer.address_;
    }
}

auto PeerController::start() -> void
{
    transport_.start(listenAddress_, peerPort_);
    server_.start(listenAddress_, peerPort_);
}

auto PeerController::tick(SteadyTime now) -> void
{
    handle(LocalStateChanged{hooks_.localState_()}, now);
    handle(MembershipTick{}, now);
    fetchNewerRules(now);
}

auto PeerController::setListedInstances(std::vector<ListedInstance> instances, SteadyTime now) -> void
{
    handle(InstanceListRead{std::move(instances)}, now);
}

auto PeerController::announceDrain(SteadyTime now) -> void
{
    handle(DrainStarted{}, now);
}

auto PeerController::announceLeave(SteadyTime now) -> void
{
    handle(LeaveNow{}, now);
}

auto PeerController::broadcastLeavingTargets(const std::vector<TargetId> &targets) -> void
{
    for (const auto &peer : view().livePeers()) {
        client_.sendTargetList({peer.id_, contactAddress(peer.id_, peer.address_)}, {targets}, TargetListTimeout, [](const Result<Success> &) {});
    }
}

auto PeerController::forward(const InstanceId &instance,
                             Incarnation incarnation,
                             std::string key,
                             std::string body,
                             std::chrono::milliseconds timeout,
                             std::function<void(Result<ForwardReply>)> done) -> void
{
    const auto peer = view().livePeer(instance);
    if (!peer || peer->incarnation_ != incarnation) {
        done(Error{ErrorKind::MaybeRan, "the instance that owns the key is not reachable; the request may have run there", std::nullopt});
        return;
    }
    client_.forward({peer->id_, contactAddress(peer->id_, peer->address_)}, std::move(key), std::move(body), timeout, std::move(done));
}

auto PeerController::view() const -> const MembershipView &
{
    return membership_.view();
}

auto PeerController::datagrams() const -> const DatagramCounters &
{
    return transport_.counters();
}

auto PeerController::droppedDatagrams() const -> const DropCounters &
{
    return transport_.drops();
}

auto PeerController::handle(const MembershipEvent &event, SteadyTime now) -> void
{
    for (const auto &command : membership_.handle(event, now)) {
        if (const auto *send = std::get_if<SendDatagram>(&command)) {
            auto routed = *send;
            routed.address_ = contactAddress(send->recipient_, send->address_);
            transport_.send(routed);
        } else if (const auto *changed = std::get_if<MemberChanged>(&command)) {
            LOG(INFO) << "member_changed instance=" << changed->member_.id_.value() << " availability_zone=" << changed->member_.zone_.value()
                      << " incarnation=" << changed->member_.incarnation_ << " status=" << nameOf(changed->member_.status_);
        } else if (const auto *pause = std::get_if<PauseDetected>(&command)) {
            LOG(WARNING) << "pause_detected gap_ms=" << pause->gap_.count();
        }
    }
}

auto PeerController::fetchNewerRules(SteadyTime now) -> void
{
    const auto rules = hooks_.rules_();
    const auto version = rules ? rules->version_ : Offset(0);
    const auto newest = view().newestRules();
    if (fetchingRules_ || now < nextRulesFetch_ || newest.version_ <= version || newest.holder_.isEmpty()) {
        return;
    }
    fetchingRules_ = true;
    client_.requestRuleSet(
        {newest.holder_, contactAddress(newest.holder_, newest.address_)}, version, RulesFetchTimeout, [this](const Result<RuleSetReply> &reply) {
            fetchingRules_ = false;
            nextRulesFetch_ = std::chrono::steady_clock::now() + RulesFetchDelay;
            if (isOk(reply) && !valueOf(reply).text_.empty()) {
                hooks_.adoptRules_(valueOf(reply).version_, valueOf(reply).text_);
            }
        });
}

auto PeerController::makeHandlers() -> PeerHandlers
{
    PeerHandlers handlers;
    handlers.ruleSet_ = [this](const PeerSender &, const RuleSetRequest &request, const std::function<void(Result<RuleSetReply>)> &done) {
        const auto rules = hooks_.rules_();
        const auto isNewer = rules && rules->version_ > request.newerThan_;
        done(isNewer ? RuleSetReply{rules->version_, rules->text_} : RuleSetReply());
    };
    handlers.forward_ = [this](const PeerSender &, ForwardRequest request, std::function<void(Result<ForwardReply>)> done) {
        hooks_.handleForward_(std::move(request), std::move(done));
    };
    handlers.targetList_ = [this](const PeerSender &, const TargetListMessage &message) {
        hooks_.onTargetsLeaving_(message.leaving_);
    };
    return handlers;
}

auto PeerController::contactAddress(const InstanceId &id, const std::string &address) const -> std::string
{
    const auto route = configuredAddresses_.find(id);
    return route == configuredAddresses_.end() ? address : route->second;
}
} // namespace Marjoramfold
