#include "marjoramfold/membership/peerclient.h"

#include "marjoramfold/membership/peerconnection.h"

#include <asio/post.hpp>

#include <map>

namespace Marjoramfold
{
/// Owns one connection for each peer.
class PeerClient::Impl
{
public:
    Impl(asio::io_context &context, PeerIdentity self, const KeyRing &keys, PeerClientOptions options)
        : context_(context)
        , codec_({PeerChannel::StreamRequest, PeerChannel::StreamReply}, std::move(self), keys)
        , options_(options)
    {
    }

    ~Impl()
    {
        close();
    }

    Impl(const Impl &) = delete;
    auto operator=(const Impl &) -> Impl & = delete;

    /// Sends a request whose reply must have the type Reply.
    template<typename Reply, typename Done>
    auto request(const PeerTarget &peer, const PeerMessage &message, std::chrono::milliseconds timeout, Done done) -> void
    {
        connectionTo(peer).request(++correlation_, message, timeout, [done = std::move(done)](Result<PeerMessage> result) {
            if (!isOk(result)) {
                done(errorOf(result));
                return;
            }
            auto answer = valueOf(std::move(result));
            if (auto *reply = std::get_if<Reply>(&answer)) {
                done(std::move(*reply));
            } else {
                done(Error{ErrorKind::Malformed, "the peer sent a reply of the wrong type", std::nullopt});
            }
        });
    }

    auto close() -> void
    {
        for (const auto &[key, connection] : connections_) {
            connection->close();
        }
        connections_.clear();
    }

    [[nodiscard]] auto drops() const -> const DropCounters &
    {
        return codec_.drops();
    }

private:
    auto connectionTo(const PeerTarget &peer) -> PeerConnection &
    {
        std::erase_if(connections_, [](const auto &item) {
            return item.second->isClosed();
        });
        auto &connection = connections_[{peer.id_, peer.address_}];
        if (!connection) {
            connection = std::make_shared<PeerConnection>(context_, peer, codec_, options_);
            connection->start();
        }
        return *connection;
    }

    asio::io_context &context_;
    EnvelopeCodec codec_;
    PeerClientOptions options_;
    std::map<std::pair<InstanceId, std::string>, std::shared_ptr<PeerConnection>> connections_;
    std::uint64_t correlation_ = 0;
};

PeerClient::PeerClient(asio::io_context &context, PeerIdentity self, const KeyRing &keys, PeerClientOptions options)
    : impl_(std::make_shared<Impl>(context, std::move(self), keys, options))
{
}

PeerClient::~PeerClient() = default;

auto PeerClient::requestRuleSet(const PeerTarget &peer, Offset newerThan, std::chrono::milliseconds timeout, std::function<void(Result<RuleSetReply>)> done)
    -> void
{
    impl_->request<RuleSetReply>(peer, RuleSetRequest{newerThan}, timeout, std::move(done));
}

auto PeerClient::forward(
    const PeerTarget &peer, std::string key, std::string body, std::chrono::milliseconds timeout, std::function<void(Result<ForwardReply>)> done) -> void
{
    impl_->request<ForwardReply>(peer, ForwardRequest{std::move(key), timeout, std::move(body)}, timeout, std::move(done));
}

auto PeerClient::sendTargetList(const PeerTarget &peer, TargetListMessage message, std::chrono::milliseconds timeout, std::function<void(Result<Success>)> done)
    -> void
{
    impl_->request<Acknowledgement>(peer, std::move(message), timeout, [done = std::move(done)](Result<Acknowledgement> result) {
        if (isOk(result)) {
            done(Success());
        } else {
            done(errorOf(result));
        }
    });
}

auto PeerClient::close() -> void
{
    impl_->close();
}

auto PeerClient::drops() const -> const DropCounters &
{
    return impl_->drops();
}
} // namespace Marjoramfold
