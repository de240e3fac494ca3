#include "marjoramfold/membership/membershiploop.h"
#include "marjoramfold/membership/peerclient.h"
#include "marjoramfold/membership/peerprotocol.h"
#include "marjoramfold/membership/peerserver.h"

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/ip/udp.hpp>
#include <asio/read.hpp>
#include <asio/steady_timer.hpp>
#include <asio/write.hpp>
#include <catch2/catch.hpp>

#include <array>

using namespace Marjoramfold;
using namespace std::chrono_literals;

namespace
{
auto sharedKeys() -> KeyRing
{
    KeyRing keys;
    keys.accept(1, "0123456789abcdef0123456789abcdef");
    keys.signWith(1);
    return keys;
}

/// Runs the io_context until a condition holds; false after 30 s, which only a stuck test reaches.
template<typename Condition>
auto runUntil(asio::io_context &context, const Condition &condition) -> bool
{
    const auto end = std::chrono::steady_clock::now() + 30s;
    while (!condition() && std::chrono::steady_clock::now() < end) {
        context.restart();
        context.run_for(10ms);
    }
    return condition();
}

auto addressOf(std::uint16_t port) -> std::string
{
    return "127.0.0.1:" + std::to_string(port);
}

template<typename Value>
auto kindOf(const std::optional<Result<Value>> &result) -> std::string
{
    if (!result) {
        return "no answer";
    }
    return isOk(*result) ? "ok" : std::string(errorAnswer(errorOf(*result).kind_).name_);
}
} // namespace

SCENARIO("peers reply to framed requests", "[peers]")
{
    asio::io_context context;
    const auto keys = sharedKeys();
    std::vector<std::function<void(Result<ForwardReply>)>> pendingReplies;
    std::vector<TargetId> leaving;
    PeerHandlers handlers;
    handlers.ruleSet_ = [](const PeerSender &sender, RuleSetRequest request, const std::function<void(Result<RuleSetReply>)> &reply) {
        CHECK(sender.id_ == InstanceId("a1"));
        CHECK(sender.incarnation_ == 5);
        reply(RuleSetReply{request.newerThan_ + 1, std::string(1'000'000, 'r')});
    };
    handlers.forward_ = [&pendingReplies](const PeerSender & /*sender*/, const ForwardRequest &request, std::function<void(Result<ForwardReply>)> reply) {
        if (request.key_ == "refuse") {
            reply(Error{ErrorKind::KeyExpired, "too old", std::nullopt});
        } else if (request.key_ == "hold") {
            pendingReplies.push_back(std::move(reply));
        } else {
            reply(ForwardReply{request.key_ + "/" + request.body_ + "/" + std::to_string(request.remaining_.count())});
        }
    };
    handlers.targetList_ = [&leaving](const PeerSender & /*sender*/, TargetListMessage message) {
        leaving = std::move(message.leaving_);
    };
    PeerServer server(context, {InstanceId("b1"), 7}, keys, handlers);
    const PeerTarget target{InstanceId("b1"), addressOf(server.start("127.0.0.1", 0))};
    PeerClient client(context, {InstanceId("a1"), 5}, keys);

    WHEN("a rule set near the frame limit is requested")
    {
        std::optional<Result<RuleSetReply>> result;
        client.requestRuleSet(target, 41, 20s, [&](Result<RuleSetReply> answer) {
            result = std::move(answer);
        });
        REQUIRE(runUntil(context, [&] {
            return result.has_value();
        }));
        REQUIRE(kindOf(result) == "ok");
        REQUIRE(valueOf(*result).version_ == 42);
        REQUIRE(valueOf(*result).text_.size() == 1'000'000);
    }
    WHEN("a thousand requests are in flight on one connection")
    {
        auto matching = 0;
        for (auto i = 0; i < 1'000; ++i) {
            const auto body = std::to_string(i);
            client.forward(target, "key", body, 20s, [&matching, body](Result<ForwardReply> answer) {
                matching += isOk(answer) && valueOf(answer).body_ == "key/" + body + "/20000" ? 1 : 0;
            });
        }
        THEN("each receives its own reply")
        {
            REQUIRE(runUntil(context, [&] {
                return matching == 1'000;
            }));
            REQUIRE(server.connections() == 1);
        }
    }
    WHEN("the peer refuses")
    {
        std::optional<Result<ForwardReply>> result;
        client.forward(target, "refuse", "", 20s, [&](Result<ForwardReply> answer) {
            result = std::move(answer);
        });
        runUntil(context, [&] {
            return result.has_value();
        });
        REQUIRE(kindOf(result) == "key_expired");
        REQUIRE(errorOf(*result).message_ == "too old");
    }
    WHEN("a list of leaving targets is sent")
    {
        std::optional<Result<Success>> result;
        client.sendTargetList(target, {{TargetId("t1"), TargetId("t2")}}, 20s, [&](Result<Success> answer) {
            result = answer;
        });
        runUntil(context, [&] {
            return result.has_value();
        });
        REQUIRE(kindOf(result) == "ok");
        REQUIRE(leaving.size() == 2);
    }
    WHEN("the reply is not sent within the timeout")
    {
        std::optional<Result<ForwardReply>> result;
        client.forward(target, "hold", "", 50ms, [&](Result<ForwardReply> answer) {
            result = std::move(answer);
        });
        runUntil(context, [&] {
            return result.has_value();
        });
        THEN("the request may have run, and a late reply is dropped")
        {
            REQUIRE(kindOf(result) == "timeout");
            REQUIRE(pendingReplies.size() == 1);
            pendingReplies.front()(ForwardReply{"late"});
            std::optional<Result<ForwardReply>> next;
            client.forward(target, "key", "x", 20s, [&](Result<ForwardReply> answer) {
                next = std::move(answer);
            });
            runUntil(context, [&] {
                return next.has_value();
            });
            REQUIRE(kindOf(next) == "ok");
            REQUIRE(valueOf(*next).body_ == "key/x/20000");
        }
    }
    WHEN("the peer closes the connection before it replies")
    {
        std::optional<Result<ForwardReply>> result;
        client.forward(target, "hold", "", 20s, [&](Result<ForwardReply> answer) {
            result = std::move(answer);
        });
        runUntil(context, [&] {
            return !pendingReplies.empty();
        });
        server.close();
        runUntil(context, [&] {
            return result.has_value();
        });
        THEN("the request may have run; the next one certainly did not")
        {
            REQUIRE(kindOf(result) == "transport_failed");
            std::optional<Result<ForwardReply>> next;
            client.forward(target, "key", "", 20s, [&](Result<ForwardReply> answer) {
                next = std::move(answer);
            });
            runUntil(context, [&] {
                return next.has_value();
            });
            REQUIRE(kindOf(next) == "connect_failed");
        }
    }
    WHEN("a message exceeds the frame limit")
    {
        std::optional<Result<ForwardReply>> result;
        client.forward(target, "key", std::string(MaxFrameBytes, 'x'), 20s, [&](Result<ForwardReply> answer) {
            result = std::move(answer);
        });
        runUntil(context, [&] {
            return result.has_value();
        });
        REQUIRE(kindOf(result) == "invalid_request");
    }
    WHEN("another instance listens on the address")
    {
        std::optional<Result<ForwardReply>> result;
        client.forward({InstanceId("c9"), target.address_}, "key", "", 20s, [&](Result<ForwardReply> answer) {
            result = std::move(answer);
        });
        runUntil(context, [&] {
            return result.has_value();
        });
        THEN("it rejects a request that is addressed to another instance")
        {
            REQUIRE(kindOf(result) == "transport_failed");
            REQUIRE(server.drops().at(static_cast<std::size_t>(DropReason::BadMac)) == 1);
        }
    }
    WHEN("a captured frame is sent again on another connection")
    {
        EnvelopeCodec codec({PeerChannel::StreamRequest, PeerChannel::StreamReply}, {InstanceId("a7"), 1}, keys);
        const auto frame = withFrameLength(codec.seal(InstanceId("b1"), TargetListMessage{{TargetId("t9")}}, 1));
        const auto sendRaw = [&](const std::string &bytes) {
            asio::ip::tcp::socket socket(context);
            socket.connect({asio::ip::make_address("127.0.0.1"), static_cast<std::uint16_t>(std::stoi(target.address_.substr(10)))});
            asio::write(socket, asio::buffer(bytes));
            std::string answer(1, '\0');
            std::optional<std::error_code> read;
            asio::async_read(socket, asio::buffer(answer), [&](std::error_code error, std::size_t /*size*/) {
                read = error;
            });
            runUntil(context, [&] {
                return read.has_value();
            });
            return read.value_or(std::error_code());
        };
        REQUIRE_FALSE(sendRaw(frame));
        THEN("the connection is closed without a reply, as it is for random bytes")
        {
            REQUIRE(sendRaw(frame) == asio::error::eof);
            REQUIRE(server.drops().at(static_cast<std::size_t>(DropReason::Replayed)) == 1);
            REQUIRE(sendRaw(std::string(100, '\xff')) == asio::error::eof);
            REQUIRE(sendRaw(withFrameLength("not an envelope")) == asio::error::eof);
            REQUIRE(runUntil(context, [&] {
                return server.connections() == 0;
            }));
        }
    }
}

SCENARIO("incomplete frames of unauthenticated connections use bounded memory", "[peers]")
{
    asio::io_context context;
    const auto keys = sharedKeys();
    PeerServerOptions options;
    options.maxBufferedBytes_ = 200'000;
    options.maxConnections_ = 4;
    PeerServer server(context, {InstanceId("b1"), 7}, keys, {}, options);
    const asio::ip::tcp::endpoint endpoint(asio::ip::make_address("127.0.0.1"), server.start("127.0.0.1", 0));

    // Each connection announces a frame of the largest size and sends about half of the bytes that may be buffered in total.
    std::vector<asio::ip::tcp::socket> sockets;
    auto closed = 0;
    std::array<char, 6> read{};
    const std::string half = withFrameLength(std::string(MaxFrameBytes, 'x')).substr(0, 90'000);
    for (auto i = 0; i < 6; ++i) {
        sockets.emplace_back(context);
        sockets.back().connect(endpoint);
        std::error_code refused;
        asio::write(sockets.back(), asio::buffer(half), refused);
        sockets.back().async_read_some(asio::buffer(&read.at(static_cast<std::size_t>(i)), 1), [&closed](std::error_code error, std::size_t /*size*/) {
            closed += error && error != asio::error::operation_aborted ? 1 : 0;
        });
    }
    // Connections over the limit of bytes or of connections are closed; the others stay open.
    REQUIRE(runUntil(context, [&] {
        return closed == 4;
    }));
    REQUIRE(server.connections() == 2);
}

SCENARIO("instances discover one another over UDP", "[peers]")
{
    asio::io_context context;
    const auto keys = sharedKeys();
    std::vector<MemberChanged> changes;
    MembershipLoop first(context,
                         keys,
                         {[&changes](const MemberChanged &change) {
                              changes.push_back(change);
                          },
                          nullptr});
    MembershipOptions options;
    options.self_ = InstanceId("a1");
    options.incarnation_ = 1;
    options.zone_ = AvailabilityZoneId("zone-a");
    const auto firstPort = first.start(options, "127.0.0.1", 0);

    MembershipLoop second(context, keys, {});
    options.self_ = InstanceId("b1");
    options.zone_ = AvailabilityZoneId("zone-b");
    // Uses a host name, since settings may contain one.
    options.seeds_ = {"localhost:" + std::to_string(firstPort)};
    second.start(options, "127.0.0.1", 0);
    second.post(LocalStateChanged{{9, 100ms, true, {}}});

    REQUIRE(runUntil(context, [&] {
        return first.view().livePeers().size() == 1 && second.view().livePeers().size() == 1;
    }));
    REQUIRE(runUntil(context, [&] {
        return first.view().freshestConfirmation(ConfirmationScope::OtherZones, std::chrono::steady_clock::now()).has_value();
    }));
    REQUIRE(first.view().newestRules().holder_ == InstanceId("b1"));

    WHEN("random bytes and messages signed with an unknown secret arrive")
    {
        const auto before = first.transport().counters().received_;
        asio::ip::udp::socket sender(context, asio::ip::udp::v4());
        const asio::ip::udp::endpoint endpoint(asio::ip::make_address("127.0.0.1"), firstPort);
        sender.send_to(asio::buffer(std::string(2'000, 'x')), endpoint);
        sender.send_to(asio::buffer(std::string("hello")), endpoint);
        KeyRing otherKeys;
        otherKeys.accept(1, "another secret of enough bytes!!");
        otherKeys.signWith(1);
        EnvelopeCodec codec({}, {InstanceId("x1"), 1}, otherKeys);
        sender.send_to(asio::buffer(codec.seal(InstanceId("a1"), Ping{1})), endpoint);
        THEN("they are dropped and counted by reason")
        {
            const auto dropped = [&](DropReason reason) {
                return first.transport().drops().at(static_cast<std::size_t>(reason));
            };
            REQUIRE(runUntil(context, [&] {
                return dropped(DropReason::TooLong) == 1 && dropped(DropReason::TooShort) == 1 && dropped(DropReason::BadMac) == 1;
            }));
            REQUIRE(first.transport().counters().received_ >= before + 3);
            REQUIRE(first.view().livePeers().size() == 1);
        }
    }
    WHEN("one instance leaves")
    {
        second.leave();
        REQUIRE(runUntil(context, [&] {
            return first.view().livePeers().empty();
        }));
        REQUIRE(changes.back().member_.status_ == MemberStatus::Left);
    }
}
