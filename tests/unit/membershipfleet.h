#pragma once

#include "marjoramfold/membership/envelope.h"
#include "marjoramfold/membership/membership.h"
#include "marjoramfold/membership/membershipview.h"

#include <algorithm>
#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <string>
#include <vector>

namespace Marjoramfold
{
/// Traffic of one node.
struct FleetTraffic {
    std::uint64_t sent_ = 0;
    std::uint64_t sentBytes_ = 0;
    std::uint64_t received_ = 0;
    std::uint64_t receivedBytes_ = 0;
};

/// Simulates several Membership state machines that exchange sealed datagrams. Only run() advances the clock.
class MembershipFleet
{
public:
    struct Node {
        MembershipOptions options_;
        std::unique_ptr<EnvelopeCodec> codec_;
        std::unique_ptr<Membership> membership_;
        bool running_ = true;
        bool paused_ = false;
        SteadyTime nextTick_;
        std::vector<MemberChanged> changes_;
        std::vector<PauseDetected> pauses_;
        std::vector<std::pair<std::string, std::string>> buffered_;
        std::vector<SteadyTime> bufferedAt_;
        FleetTraffic traffic_;
    };

    MembershipFleet()
    {
        keys_.accept(1, "0123456789abcdef0123456789abcdef");
        keys_.signWith(1);
    }

    /// Adds a node that starts now. The first node is the seed of all later ones.
    auto add(const std::string &id, const std::string &zone, Incarnation incarnation = 1) -> Node &
    {
        auto options = template_;
        options.self_ = InstanceId(id);
        options.zone_ = AvailabilityZoneId(zone);
        options.incarnation_ = incarnation;
        options.address_ = "10.0.0." + id + ":7000";
        if (firstAddress_.empty()) {
            firstAddress_ = options.address_;
        }
        options.seeds_ = {firstAddress_};
        options.randomSeed_ = static_cast<std::uint32_t>(std::hash<std::string>()(id) + incarnation);
        auto node = std::make_unique<Node>();
        node->options_ = options;
        node->codec_ = std::make_unique<EnvelopeCodec>(PeerChannels{}, PeerIdentity{options.self_, incarnation}, keys_);
        node->membership_ = std::make_unique<Membership>(options);
        // Ticks of different nodes are offset, as those of real processes are.
        node->nextTick_ = now_ + std::chrono::milliseconds(1 + nodes_.size() * 7 % 100);
        auto &slot = nodes_[id];
        slot = std::move(node);
        return *slot;
    }

    auto node(const std::string &id) -> Node &
    {
        return *nodes_.at(id);
    }

    auto view(const std::string &id) -> const MembershipView &
    {
        return node(id).membership_->view();
    }

    /// Handles an event on a node now.
    auto post(const std::string &id, const MembershipEvent &event) -> void
    {
        handle(node(id), event);
    }

    /// Ends a node without a leave message.
    auto kill(const std::string &id) -> void
    {
        node(id).running_ = false;
    }

    /// Pauses or resumes a node; datagrams that arrive during a pause are buffered, as in a socket.
    auto pause(const std::string &id, bool paused) -> void
    {
        auto &target = node(id);
        target.paused_ = paused;
        if (!paused) {
            target.nextTick_ = now_;
            const auto buffered = std::move(target.buffered_);
            const auto times = std::move(target.bufferedAt_);
            target.buffered_.clear();
            target.bufferedAt_.clear();
            for (std::size_t i = 0; i < buffered.size(); ++i) {
                receive(target, buffered[i].first, buffered[i].second, now_ - times[i]);
            }
        }
    }

    /// Advances the clock, ticking nodes and delivering datagrams.
    auto run(std::chrono::milliseconds duration) -> void
    {
        const auto end = now_ + duration;
        while (true) {
            auto next = end;
            Node *ticking = nullptr;
            for (auto &[id, node] : nodes_) {
                if (node->running_ && !node->paused_ && node->nextTick_ < next) {
                    next = node->nextTick_;
                    ticking = node.get();
                }
            }
            if (!inFlight_.empty() && inFlight_.top().at_ <= next) {
                deliver();
            } else if (ticking != nullptr) {
                now_ = next;
                ticking->nextTick_ = now_ + std::chrono::milliseconds(100);
                handle(*ticking, MembershipTick());
            } else {
                now_ = end;
                return;
            }
        }
    }

    /// Returns whether a datagram from one node to another is lost; by default none is.
    std::function<bool(const Node &, const Node &)> isLost_;
    /// Delay of a datagram from one node to another; 500 us by default.
    std::function<std::chrono::microseconds(const Node &, const Node &)> delay_;
    MembershipOptions template_;
    SteadyTime now_{std::chrono::hours(1)};
    std::map<std::string, std::unique_ptr<Node>> nodes_;
    KeyRing keys_;

private:
    struct InFlightDatagram {
        SteadyTime at_;
        std::uint64_t order_ = 0;
        std::string to_;
        std::string fromAddress_;
        std::string bytes_;

        auto operator<(const InFlightDatagram &other) const -> bool
        {
            return std::tie(at_, order_) > std::tie(other.at_, other.order_);
        }
    };

    auto handle(Node &node, const MembershipEvent &event) -> void
    {
        for (const auto &command : node.membership_->handle(event, now_)) {
            if (const auto *datagram = std::get_if<SendDatagram>(&command)) {
                send(node, *datagram);
            } else if (const auto *change = std::get_if<MemberChanged>(&command)) {
                node.changes_.push_back(*change);
            } else if (const auto *pause = std::get_if<PauseDetected>(&command)) {
                node.pauses_.push_back(*pause);
            }
        }
    }

    auto send(Node &from, const SendDatagram &command) -> void
    {
        auto bytes = from.codec_->seal(command.recipient_, command.message_);
        if (bytes.empty()) {
            throw std::logic_error("could not seal a message of type " + std::string(peerMessageName(command.message_)));
        }
        ++from.traffic_.sent_;
        from.traffic_.sentBytes_ += bytes.size();
        const auto target = std::find_if(nodes_.begin(), nodes_.end(), [&command](const auto &item) {
            return item.second->options_.address_ == command.address_;
        });
        if (target == nodes_.end() || (isLost_ && isLost_(from, *target->second))) {
            return;
        }
        const auto delay = delay_ ? delay_(from, *target->second) : std::chrono::microseconds(500);
        inFlight_.push({now_ + delay, ++order_, target->first, from.options_.address_, std::move(bytes)});
    }

    auto deliver() -> void
    {
        const auto datagram = inFlight_.top();
        inFlight_.pop();
        now_ = std::max(now_, datagram.at_);
        auto &target = node(datagram.to_);
        if (target.running_ && target.paused_) {
            target.buffered_.emplace_back(datagram.fromAddress_, datagram.bytes_);
            target.bufferedAt_.push_back(now_);
        } else if (target.running_) {
            receive(target, datagram.fromAddress_, datagram.bytes_, {});
        }
    }

    auto receive(Node &node, const std::string &fromAddress, const std::string &bytes, SteadyTime::duration queued) -> void
    {
        ++node.traffic_.received_;
        node.traffic_.receivedBytes_ += bytes.size();
        auto opened = node.codec_->open(bytes, now_);
        if (auto *message = std::get_if<OpenedMessage>(&opened)) {
            handle(node,
                   PeerDatagram{std::move(message->sender_),
                                message->incarnation_,
                                fromAddress,
                                std::move(message->message_),
                                std::chrono::floor<std::chrono::milliseconds>(queued)});
        }
    }

    std::priority_queue<InFlightDatagram> inFlight_;
    std::uint64_t order_ = 0;
    std::string firstAddress_;
};
} // namespace Marjoramfold
